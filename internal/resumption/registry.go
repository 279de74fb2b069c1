// Package resumption knows which software version began a stream. What two versions write of one stream
// doesn't fit together, so a client that resumes a stream must get an instance of that version.
package resumption

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/peer"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore"
)

const (
	// copies is the number of peers that get each record.
	copies = 3
	// batchDelay is how long records are collected before they are sent. A record that is lost with this
	// process in that time makes a resumption fail.
	batchDelay = 2 * time.Millisecond
	// maxUnsaved limits the records in one object of the store.
	maxUnsaved = 4000
	// maxBatch limits the records in one message.
	maxBatch = 1000
	// observeInterval is how often the versions of the instances are recorded.
	observeInterval = 250 * time.Millisecond
	// sendTimeout limits a call that sends records, askTimeout one that asks for a record. The client waits for
	// the latter, but only while a process that may have the record has not answered; without it, the client has to
	// begin the stream again.
	sendTimeout = 200 * time.Millisecond
	askTimeout  = 400 * time.Millisecond
)

// Source says how the origin of a stream is known.
type Source string

// Sources.
const (
	// SourceNone: the origin is not known.
	SourceNone Source = "none"
	// SourceRecord and SourcePeer: this process or another one has a record of the stream.
	SourceRecord Source = "record"
	SourcePeer   Source = "peer"
	// SourceStore: the store has a record of the stream.
	SourceStore Source = "store"
	// SourceOnlyVersion: no other version has served for as long as a stream may live.
	SourceOnlyVersion Source = "only-version"
)

// Options of a Registry.
type Options struct {
	View func() *fleet.View
	// Transport and Peers reach the processes that keep records for each other, in order of preference. If Peers
	// is nil, there are none.
	Transport *peer.Transport
	Peers     func() []members.Member
	// StaleAfter is the age from which registrations count as out of date, 0 for never.
	StaleAfter time.Duration
	// DrainUse is how long a draining instance may still get streams that only it can continue.
	DrainUse time.Duration
	// Store is for the time after the loss of all processes, nil for none.
	Store *StoreOptions
	// OnPublished is called with the versions that may begin streams, when they change. It may be nil.
	OnPublished func(context.Context, *fleet.Published)
	Metrics     metrics.Registry
	Logger      log.Logger
}

// Registry knows the origins of streams. It is safe for concurrent use.
type Registry struct {
	o       Options
	logger  log.Logger
	history *history
	table   *table
	// saver, reader and list are nil without a store.
	saver  *saver
	reader *sharedReads[storedRecords]
	list   *versionList

	mu sync.Mutex
	// pending are records to be sent. sharing has the services whose records are sent, see shares.
	pending []record
	// unsaved are records to be written to the store.
	unsaved []record
	sharing map[string]bool
	wake    chan struct{}
	// wakeSaver has an entry if there are unsaved records.
	wakeSaver chan struct{}
}

// New returns a registry. The caller must call Run if there are peers.
func New(o Options) *Registry {
	if o.Peers == nil {
		o.Peers = func() []members.Member { return nil }
	}
	r := &Registry{
		o: o, logger: log.With(o.Logger, "component", "resumption"), history: newHistory(o.StaleAfter), table: newTable(),
		sharing: map[string]bool{}, wake: make(chan struct{}, 1), wakeSaver: make(chan struct{}, 1),
	}
	if o.Store != nil {
		r.saver, r.reader = &saver{o: *o.Store, versions: map[int]objstore.Version{}}, newRecordReader(*o.Store)
		r.list = newVersionList(*o.Store, func() int { return o.View().Processes })
	}
	return r
}

// Run records the versions of instances and sends records to peers until ctx ends.
func (r *Registry) Run(ctx context.Context) error {
	if r.saver != nil {
		go r.runSaver(ctx)
		if r.o.OnPublished != nil {
			go r.runPublisher(ctx)
		}
	}
	tick := time.NewTicker(observeInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
			r.review()
		case <-r.wake:
			time.Sleep(batchDelay)
			r.sendPending(ctx)
		}
	}
	return nil
}

// Began records that an instance has begun a stream, or has continued it, for a client that may resume it
// within the given time.
func (r *Registry) Began(o Origin, life time.Duration) {
	r.table.add(o, life, true)
	rec, _ := r.table.find(o.Workspace, o.Request) // has what earlier records say, too
	if r.shares(o.Service) {
		r.enqueue(rec)
	}
}

// shares reports whether peers need the records of a service: they can't tell the version of a stream from the
// versions that serve, or from the list in the store, or this process can't rule that out.
func (r *Registry) shares(service string) bool {
	v := r.o.View()
	return !v.InstancesKnown || !v.StoreUp && r.list != nil || len(r.history.evidence(v, service, maxLife).Versions) > 1 || !r.history.isCurrent(v)
}

// review records the versions of all instances. Once the records of a service have to be shared, those of
// the streams under way are sent.
func (r *Registry) review() {
	v := r.o.View()
	r.history.observe(v)
	for service := range v.Software() {
		shares := r.shares(service)
		r.mu.Lock()
		began := shares && !r.sharing[service]
		r.sharing[service] = shares
		r.mu.Unlock()
		if began {
			r.enqueue(r.table.ownOf(service)...)
		}
	}
	r.mu.Lock()
	waiting := len(r.unsaved) > 0
	r.mu.Unlock()
	if waiting {
		notify(r.wakeSaver)
	}
	metrics.GetOrRegisterGauge("resumption.records", r.o.Metrics).Update(int64(r.table.size()))
}

// enqueue adds records to those to be sent.
func (r *Registry) enqueue(records ...record) {
	if len(records) == 0 {
		return
	}
	r.mu.Lock()
	r.pending = append(r.pending, records...)
	r.pending = r.pending[max(0, len(r.pending)-maxRecords):]
	if r.saver != nil {
		r.unsaved = append(r.unsaved, records...)
		r.unsaved = r.unsaved[max(0, len(r.unsaved)-maxUnsaved):]
	}
	r.mu.Unlock()
	notify(r.wake)
	notify(r.wakeSaver)
}

// notify puts an entry into a channel that has room for one.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sendPending sends the pending records to peers. It does not wait for the responses.
func (r *Registry) sendPending(ctx context.Context) {
	r.mu.Lock()
	all := r.pending
	r.pending = nil
	r.mu.Unlock()
	for batch := range slices.Chunk(all, maxBatch) {
		s := &sender{r: r, peers: spread(r.o.Peers())}
		for range min(copies, len(s.peers)) {
			go s.send(ctx, encodeRecords(batch, r.table.now()))
		}
	}
}

// spread puts the first peer of each failure domain before the others, so that the copies outlast the loss of a domain.
func spread(peers []members.Member) []members.Member {
	seen := map[string]bool{}
	var first, rest []members.Member
	for _, p := range peers {
		if seen[p.Domain] {
			rest = append(rest, p)
			continue
		}
		seen[p.Domain] = true
		first = append(first, p)
	}
	return append(first, rest...)
}

// sender sends one batch to several peers. A peer that doesn't respond is replaced by the next one.
type sender struct {
	r     *Registry
	mu    sync.Mutex
	peers []members.Member
}

func (s *sender) send(ctx context.Context, origins []*peerpb.StreamOrigin) {
	for p, ok := s.next(); ok && ctx.Err() == nil; p, ok = s.next() {
		cctx, cancel := context.WithTimeout(ctx, sendTimeout)
		_, err := s.r.o.Transport.Call(cctx, p.Peer, &peerpb.Request{Body: &peerpb.Request_StreamOrigins{StreamOrigins: &peerpb.StreamOrigins{Origins: origins}}})
		cancel()
		if err == nil {
			return
		}
		s.r.count("copy_failed")
		level.Debug(s.r.logger).Log("msg", "records of streams not sent", "peer", p.Name, "records", len(origins), "err", err)
	}
}

// next returns the next peer to try.
func (s *sender) next() (members.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.peers) == 0 {
		return members.Member{}, false
	}
	p := s.peers[0]
	s.peers = s.peers[1:]
	return p, true
}

// Find returns the origin of the stream that a client resumes. It asks the peers unless this process has a record.
// service is the service of the stream if there is no record.
func (r *Registry) Find(ctx context.Context, workspace, request, service string, life time.Duration) (Origin, Source) {
	d := &decision{}
	o, source := r.find(ctx, workspace, request, service, life, d)
	r.count("found." + string(source))
	level.Info(r.logger).Log(append([]any{"msg", "origin of a stream", "request", request, "known_by", source, "software", o.Software, "service", service}, d.fields()...)...)
	return o, source
}

func (r *Registry) find(ctx context.Context, workspace, request, service string, life time.Duration, d *decision) (Origin, Source) {
	if request != "" {
		if rec, ok := r.table.find(workspace, request); ok {
			return known(rec.Origin, SourceRecord)
		}
	}
	own := r.history.evidence(r.o.View(), service, life)
	listed := r.startList(ctx, own)
	answers, asked := r.ask(ctx, &peerpb.StreamQuery{Request: request, Workspace: workspace, Service: service, LifeMs: uint32(life.Milliseconds())})
	v := r.o.View()
	own = r.history.evidence(v, service, life) // the process may have stood still meanwhile
	*d = decision{own: own, age: v.InstancesAge(), asked: asked, answered: len(answers)}
	for _, a := range answers {
		if a.GetOrigin() != nil {
			return known(decodeOrigin(a.GetOrigin()), SourcePeer)
		}
		d.peers = append(d.peers, Evidence{Versions: a.GetVersions(), Complete: a.GetComplete()})
	}
	if listed != nil {
		read := <-listed
		d.stored, d.listErr = read.evidence(service, life, r), read.err
	}
	if version, ok := d.onlyVersion(r.list != nil); ok {
		return Origin{Request: request, Workspace: workspace, Service: service, Software: version}, SourceOnlyVersion
	}
	if r.reader != nil {
		return r.findStored(ctx, workspace, request, d)
	}
	return Origin{}, SourceNone
}

// startList begins to read the list of versions if it may show that the service had only one.
func (r *Registry) startList(ctx context.Context, own Evidence) <-chan listResult {
	if r.list == nil || len(own.Versions) > 1 {
		return nil
	}
	out := make(chan listResult, 1)
	go func() {
		versions, err := r.list.read(ctx)
		out <- listResult{versions, err}
	}()
	return out
}

// MayContinueAt reports whether a draining instance may still continue a stream.
func (r *Registry) MayContinueAt(i *fleet.Instance) bool {
	r.history.observe(r.o.View())
	d, ok := r.history.drainingFor(i)
	return ok && d < r.o.DrainUse
}

// known returns the origin of a record, unless it is ambiguous.
func known(o Origin, s Source) (Origin, Source) {
	if o.Ambiguous {
		return Origin{}, SourceNone
	}
	return o, s
}

// onlyVersion returns the version of all streams of a service, if it is certain that there was only one. With a store, that takes
// the list of versions, read after the resumption arrived: a stream begins only at a version that is in it by then,
// whoever can't be asked. Without a store, all peers must have answered.
func (d *decision) onlyVersion(withStore bool) (string, bool) {
	all := append([]Evidence{d.own}, d.peers...)
	if !withStore {
		version, ok := onlyVersion(all)
		return version, ok && d.answered == d.asked
	}
	for n := range all {
		all[n].Complete = false
	}
	return onlyVersion(append(all, d.stored))
}

// onlyVersion returns the version that all evidence names, if at least one part of it is complete.
func onlyVersion(all []Evidence) (string, bool) {
	var versions []string
	complete := false
	for _, e := range all {
		versions = append(versions, e.Versions...)
		complete = complete || e.Complete
	}
	slices.Sort(versions)
	versions = slices.Compact(versions)
	if !complete || len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}

// ask asks all peers. It returns the answers that it has once one of them has a record, all have answered or
// askTimeout is over, and the number of peers. An answer with a record is the only one.
func (r *Registry) ask(ctx context.Context, q *peerpb.StreamQuery) (out []*peerpb.StreamReply, asked int) {
	peers := r.o.Peers()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	replies := make(chan *peerpb.StreamReply, len(peers))
	for _, p := range peers {
		go func() {
			resp, err := r.o.Transport.Call(ctx, p.Peer, &peerpb.Request{Body: &peerpb.Request_StreamQuery{StreamQuery: q}})
			if err != nil {
				r.count("peer_silent")
				level.Debug(r.logger).Log("msg", "peer not asked for the origin of a stream", "peer", p.Name, "request", q.GetRequest(), "err", err)
			}
			replies <- resp.GetStreamQuery()
		}()
	}
	for range peers {
		reply := <-replies
		if reply.GetOrigin() != nil {
			return []*peerpb.StreamReply{reply}, len(peers)
		}
		if reply != nil {
			out = append(out, reply)
		}
	}
	return out, len(peers)
}

// HandlePeer implements peer.Handler.
func (r *Registry) HandlePeer(_ context.Context, req *peerpb.Request) *peerpb.Response {
	if m := req.GetStreamOrigins(); m != nil {
		for _, o := range m.GetOrigins() {
			r.table.add(decodeOrigin(o), time.Duration(o.GetLifeMs())*time.Millisecond, false)
		}
		return &peerpb.Response{Body: &peerpb.Response_StreamOrigins{StreamOrigins: &peerpb.StreamOriginsTaken{}}}
	}
	q := req.GetStreamQuery()
	e := r.history.evidence(r.o.View(), q.GetService(), time.Duration(q.GetLifeMs())*time.Millisecond)
	reply := &peerpb.StreamReply{Versions: e.Versions, Complete: e.Complete}
	if rec, ok := r.table.find(q.GetWorkspace(), q.GetRequest()); ok && q.GetRequest() != "" {
		reply.Origin = encodeRecords([]record{rec}, r.table.now())[0]
	}
	return &peerpb.Response{Body: &peerpb.Response_StreamQuery{StreamQuery: reply}}
}

func (r *Registry) count(name string) {
	metrics.GetOrRegisterCounter("resumption."+name, r.o.Metrics).Inc(1)
}
