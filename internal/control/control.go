package control

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/confstore"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/mirror"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/orders"
)

const (
	eventQueue   = 1024
	publishEvery = 100 * time.Millisecond
	// statesEvery is how often the list of members is joined with what is known
	// about them, unless the list itself changes.
	statesEvery    = 500 * time.Millisecond
	loadTimeout    = 10 * time.Second
	loadRetryDelay = 200 * time.Millisecond
	// loadsKeptFor is how long the loads of a member that is no longer heard
	// still count, in heartbeat intervals.
	loadsKeptFor = 6
)

// Options of a Loop.
type Options struct {
	Self       members.Member
	Mirror     *mirror.Mirror
	Loader     *confstore.Loader
	Heartbeat  time.Duration
	StaleAfter time.Duration
	Metrics    metrics.Registry
	Logger     log.Logger
}

// Loop is the goroutine that owns the control state.
type Loop struct {
	o        Options
	logger   log.Logger
	events   chan any
	snapshot atomic.Pointer[Snapshot]

	// The rest belongs to the goroutine of Run.
	registered []members.Member
	orders     map[string]orders.Record
	leaving    map[string]bool
	contacts   map[string]*contact
	neighbours map[string]bool
	said       map[string]saidSilent
	states     []MemberState
	statesAt   bootclock.Instant
	reports    map[string]Report
	cfg        *config.Compiled
	head       confstore.Head
	loading    int64 // revision being loaded, 0 if none
	// decided is the version of the head whose configuration is in force, or was left out.
	decided objstore.Version
	// provenAt is the last instant at which the configuration in force is known to have been the
	// newest one.
	provenAt bootclock.Instant
	dirty    bool
}

// New returns a loop that has to be run.
func New(o Options) *Loop {
	l := &Loop{
		o:        o,
		logger:   log.With(o.Logger, "component", "control"),
		events:   make(chan any, eventQueue),
		contacts: map[string]*contact{},
		said:     map[string]saidSilent{},
		reports:  map[string]Report{},
	}
	l.publish()
	return l
}

// Snapshot returns the latest snapshot. It never blocks.
func (l *Loop) Snapshot() *Snapshot { return l.snapshot.Load() }

// Events of the loop.
type (
	heartbeatSeen struct {
		from *peerpb.Identity
		beat *peerpb.Heartbeat
		// answer is true for the answer to a heartbeat of this process.
		answer bool
		// agreed is an instant at which the sender held nothing newer than this
		// process, 0 if that is not known.
		agreed bootclock.Instant
	}
	heartbeatFailed struct{ name, incarnation string }
	engineReported  struct {
		name   string
		report Report
	}
	configLoaded struct {
		head confstore.Head
		// version is that of the head's object.
		version objstore.Version
		cfg     *config.Compiled
		err     error
	}
)

// heartbeatArrived tells the loop of a heartbeat that a member sent. It never
// blocks; when the loop is overloaded the heartbeat is dropped.
func (l *Loop) heartbeatArrived(from *peerpb.Identity, beat *peerpb.Heartbeat) {
	l.send(heartbeatSeen{from: from, beat: beat})
}

// heartbeatAnswered tells the loop of the answer to a heartbeat sent at sent.
func (l *Loop) heartbeatAnswered(from *peerpb.Identity, beat *peerpb.Heartbeat, sent bootclock.Instant) {
	e := heartbeatSeen{from: from, beat: beat, answer: true}
	if beat.GetMirrorRevision() <= int64(l.o.Mirror.Revision()) {
		e.agreed = sent
	}
	l.send(e)
}

// EngineReported tells the loop of an engine's status.
func (l *Loop) EngineReported(name string, r Report) { l.send(engineReported{name, r}) }

func (l *Loop) send(e any) {
	select {
	case l.events <- e:
	default:
		metrics.GetOrRegisterCounter("control.events_dropped", l.o.Metrics).Inc(1)
	}
}

// Run owns the state until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	tick := time.NewTicker(publishEvery)
	defer tick.Stop()
	stale := time.NewTicker(l.o.Heartbeat)
	defer stale.Stop()
	changed := l.o.Mirror.Changed()
	l.mirrorChanged(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			changed = l.o.Mirror.Changed()
			l.mirrorChanged(ctx)
		case e := <-l.events:
			l.handle(ctx, e)
		case <-stale.C:
			l.dirty = true
		case <-tick.C:
			if l.dirty {
				l.publish()
			}
		}
	}
}

func (l *Loop) handle(ctx context.Context, e any) {
	l.dirty = true
	switch e := e.(type) {
	case heartbeatSeen:
		l.heartbeat(e)
	case heartbeatFailed:
		l.failed(e)
	case engineReported:
		if e.report.Err != nil {
			e.report.Status = l.reports[e.name].Status
			e.report.Failures = l.reports[e.name].Failures + 1
		}
		l.reports[e.name] = e.report
	case configLoaded:
		l.adopt(ctx, e)
	}
}

func (l *Loop) heartbeat(e heartbeatSeen) {
	c := l.contact(e.from.GetName(), e.from.GetIncarnation())
	if c == nil {
		return // an earlier run of the member
	}
	c.failures = 0
	c.heard, c.beat = bootclock.Now(), e.beat
	if e.answer {
		c.loads = e.beat
	}
	c.agreed = max(c.agreed, e.agreed)
	l.hearSilent(e.beat.GetSilent())
}

// contact returns what is known of a run of a member, nil if a later run is
// known already.
func (l *Loop) contact(name, incarnation string) *contact {
	c := l.contacts[name]
	if c == nil || c.incarnation < incarnation {
		c = &contact{incarnation: incarnation}
		l.contacts[name] = c
	}
	if c.incarnation != incarnation {
		return nil
	}
	return c
}

func (l *Loop) failed(e heartbeatFailed) {
	if c := l.contact(e.name, e.incarnation); c != nil {
		c.failures++
		c.failedAt = bootclock.Now()
	}
}

// hearSilent takes in another process's word about silent members.
func (l *Loop) hearSilent(all []*peerpb.Silent) {
	for _, s := range all {
		at := bootclock.Now().Add(-time.Duration(s.GetAgeMs()) * time.Millisecond)
		if old, ok := l.said[s.GetName()]; ok && old.incarnation == s.GetIncarnation() && old.at >= at {
			continue
		}
		l.said[s.GetName()] = saidSilent{s.GetIncarnation(), at}
	}
}

// silent returns the members that this process, or one that it heard from, has
// found silent.
func (l *Loop) silent() []*peerpb.Silent {
	var out []*peerpb.Silent
	for name, c := range l.contacts {
		if l.neighbours[name] && c.silent(l.o.Heartbeat) {
			out = append(out, &peerpb.Silent{Name: name, Incarnation: c.incarnation, AgeMs: millisSince(c.failedAt)})
		}
	}
	for name, s := range l.said {
		c := l.contacts[name]
		heard := c != nil && c.heard > s.at
		if heard || bootclock.Since(s.at) > silentKeptFor {
			delete(l.said, name)
		} else if c == nil || !c.silent(l.o.Heartbeat) {
			out = append(out, &peerpb.Silent{Name: name, Incarnation: s.incarnation, AgeMs: millisSince(s.at)})
		}
	}
	return out
}

func millisSince(at bootclock.Instant) uint32 { return uint32(bootclock.Since(at).Milliseconds()) }

// mirrorChanged takes the members and the configuration head from the mirror.
func (l *Loop) mirrorChanged(ctx context.Context) {
	l.registered = members.Parse(l.o.Mirror.List(members.KeyPrefix))
	names := map[string]bool{}
	for _, m := range l.registered {
		names[m.Name] = true
	}
	l.neighbours = map[string]bool{}
	for _, m := range members.GossipPeers(l.registered, l.o.Self.Name) {
		l.neighbours[m.Name] = true
	}
	for name := range l.contacts {
		if !names[name] && bootclock.Since(l.contacts[name].heard) > loadsKeptFor*l.o.Heartbeat {
			delete(l.contacts, name)
		}
	}
	l.states = nil
	l.readState()
	l.loadNewest(ctx)
	l.publish()
}

// readState takes the orders and the leaving hosts from the mirror.
func (l *Loop) readState() {
	l.readLeaving()
	l.orders = map[string]orders.Record{}
	for _, obj := range l.o.Mirror.List(orders.KeyPrefix) {
		rec, err := orders.ParseRecord(obj)
		if err != nil {
			level.Error(l.logger).Log("msg", "order record not understood", "err", err)
			continue
		}
		l.orders[rec.Engine] = rec
	}
}

// readLeaving takes the leaving hosts from the mirror. A list that cannot be read leaves the last
// one in force: without one, hosts that leave would get requests again.
func (l *Loop) readLeaving() {
	obj, ok := l.o.Mirror.Get(LeavingKey)
	if !ok {
		l.leaving = nil
		return
	}
	hosts, err := ParseLeaving(obj)
	if err != nil {
		level.Error(l.logger).Log("msg", "leaving hosts not understood", "version", obj.Version, "err", err)
		return
	}
	l.leaving = make(map[string]bool, len(hosts))
	for _, host := range hosts {
		l.leaving[host] = true
	}
}

// loadNewest starts to load the configuration of the mirrored head if it is
// newer than the one in force and no load is under way.
func (l *Loop) loadNewest(ctx context.Context) {
	obj, ok := l.o.Mirror.Get(confstore.HeadKey)
	if !ok || l.loading != 0 {
		return
	}
	a, err := confstore.ParseHead(obj)
	if err != nil {
		level.Error(l.logger).Log("msg", "configuration head not understood", "err", err)
	}
	if err != nil || a.Head.Revision <= l.head.Revision {
		l.decided = obj.Version
		return
	}
	l.loading = a.Head.Revision
	go func() {
		ctx, cancel := context.WithTimeout(ctx, loadTimeout)
		defer cancel()
		cfg, err := l.o.Loader.Load(ctx, a.Head)
		if err != nil {
			time.Sleep(loadRetryDelay)
		}
		l.events <- configLoaded{a.Head, obj.Version, cfg, err}
	}()
}

// adopt puts a loaded configuration in force, if it is newer.
func (l *Loop) adopt(ctx context.Context, e configLoaded) {
	l.loading = 0
	if !fault.Is(e.err, fault.Unavailable) { // what cannot be used leaves the last one in force
		l.decided = e.version
	}
	if e.err != nil {
		level.Warn(l.logger).Log("msg", "configuration not loaded", "revision", e.head.Revision, "err", e.err)
	} else if e.head.Revision > l.head.Revision {
		l.cfg, l.head = e.cfg, e.head
		for name := range l.reports {
			if l.cfg.Targets[name] == nil {
				delete(l.reports, name)
			}
		}
		level.Info(l.logger).Log("msg", "configuration in force", "revision", e.head.Revision, "change", e.head.ChangeID, "author", e.head.Author)
		l.publish()
	}
	l.loadNewest(ctx)
}

// publish makes the present state visible to the rest of the process.
func (l *Loop) publish() {
	l.dirty = false
	if l.states == nil || bootclock.Since(l.statesAt) >= statesEvery {
		l.states, l.statesAt = l.memberStates(), bootclock.Now()
	}
	silent := l.silent()
	states := l.states
	s := &Snapshot{
		Config:    l.cfg,
		Revision:  l.head.Revision,
		ChangeID:  l.head.ChangeID,
		Members:   states,
		PeerLoads: l.peerLoads(),
		Demand:    l.peerDemand(),
		Reports:   make(map[string]Report, len(l.reports)),
		Orders:    l.orders,
		Leaving:   l.leaving,
		Silent:    silent,
	}
	for name, r := range l.reports {
		s.Reports[name] = r
	}
	for _, m := range states {
		if m.Health.IsAlive() {
			s.Serving++
		}
	}
	fresh := l.majorityAgreed(states)
	if age := l.o.Mirror.Age(); age != mirror.NeverConfirmed {
		fresh = max(fresh, bootclock.Now().Add(-age))
	}
	if !l.behind() {
		l.provenAt = max(l.provenAt, fresh)
	}
	s.FreshUntil = l.provenAt.Add(l.o.StaleAfter)
	l.snapshot.Store(s)
}

// behind reports whether the copy of the store has a configuration that is yet to be put in force.
// That the copy is the newest proves nothing then of the one in force: a process that was paused
// would serve under it again.
func (l *Loop) behind() bool {
	obj, ok := l.o.Mirror.Get(confstore.HeadKey)
	return ok && obj.Version != l.decided
}

// kthLatest returns the k-th latest of the instants, or 0 if there are fewer.
func kthLatest(at []bootclock.Instant, k int) bootclock.Instant {
	if len(at) < k {
		return 0
	}
	slices.SortFunc(at, func(a, b bootclock.Instant) int { return cmp.Compare(b, a) })
	return at[k-1]
}
