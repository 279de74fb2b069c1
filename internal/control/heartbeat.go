package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/peer"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/mirror"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/routing"
)

const (
	fetchTimeout = 3 * time.Second
	// minBeatTimeout lets a heartbeat live longer than its interval on a slow link.
	minBeatTimeout = time.Second
)

// Heart exchanges heartbeats with the neighbours. News travels by the same
// messages: a process whose mirror moves beats at once, and whoever is behind
// fetches what it lacks.
type Heart struct {
	loop      *Loop
	mirror    *mirror.Mirror
	transport *peer.Transport
	tracker   *routing.Tracker
	reachable func() bool
	seeds     []string
	interval  time.Duration
	logger    log.Logger

	phase    atomic.Int32
	fetching atomic.Bool
	// wanted is the highest mirror revision that this process has heard of.
	wanted atomic.Int64

	mu       sync.Mutex
	inFlight map[string]bool // by address; true if there is news for it
	rounds   map[string]bool // addresses whose first beat ended
}

// HeartOptions of a Heart.
type HeartOptions struct {
	Loop      *Loop
	Mirror    *mirror.Mirror
	Transport *peer.Transport
	Tracker   *routing.Tracker
	// StoreReachable says whether the last call to the object API was answered.
	StoreReachable func() bool
	// Seeds are asked as long as no member is known.
	Seeds    []string
	Interval time.Duration
	Logger   log.Logger
}

// NewHeart returns a Heart that has to be run.
func NewHeart(o HeartOptions) *Heart {
	h := &Heart{
		loop: o.Loop, mirror: o.Mirror, transport: o.Transport, tracker: o.Tracker,
		reachable: o.StoreReachable, seeds: o.Seeds, interval: o.Interval,
		logger:   log.With(o.Logger, "component", "heartbeat"),
		inFlight: map[string]bool{}, rounds: map[string]bool{},
	}
	h.phase.Store(int32(peerpb.Phase_PHASE_STARTING))
	return h
}

// SetPhase changes what the heartbeats say about this process and beats at once.
func (h *Heart) SetPhase(ctx context.Context, p peerpb.Phase) {
	h.phase.Store(int32(p))
	h.beatAll(ctx, true)
}

// ownBeat returns the heartbeat of this process.
func (h *Heart) ownBeat() *peerpb.Heartbeat {
	return &peerpb.Heartbeat{
		Phase:          peerpb.Phase(h.phase.Load()),
		MirrorRevision: int64(h.mirror.Revision()),
		MirrorAgeMs:    ageMillis(h.mirror.Age()),
		ConfigRevision: h.loop.Snapshot().Revision,
		StoreReachable: h.reachable(),
		Silent:         h.loop.Snapshot().Silent,
	}
}

// answerBeat is ownBeat with the loads. They go only into answers, so that each
// pair of processes sends them once an interval each way.
func (h *Heart) answerBeat() *peerpb.Heartbeat {
	b := h.ownBeat()
	s := h.loop.Snapshot()
	if s.Config == nil {
		return b
	}
	h.tracker.Each(func(target string, l routing.Load) {
		if i, ok := s.Config.TargetIndex[target]; ok {
			b.Loads = append(b.Loads, uint32(i), uint32(l.Requests), uint32(max(l.PrefillTokens, 0)), uint32(max(l.DecodeTokens, 0)))
		}
	})
	h.tracker.Demand.Each(func(pool string, prefill, decode uint64) {
		b.Demand = append(b.Demand, &peerpb.PoolDemand{Pool: pool, PrefillTokens: prefill, DecodeTokens: decode})
	})
	return b
}

func ageMillis(age time.Duration) int64 {
	if age == mirror.NeverConfirmed {
		return -1
	}
	return (age + time.Millisecond - 1).Milliseconds()
}

func ageOf(millis int64) time.Duration {
	if millis < 0 {
		return mirror.NeverConfirmed
	}
	return time.Duration(millis) * time.Millisecond
}

// Run beats until ctx ends.
func (h *Heart) Run(ctx context.Context) error {
	tick := time.NewTicker(h.interval)
	defer tick.Stop()
	news := false
	for {
		changed := h.mirror.Changed()
		h.beatAll(ctx, news)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			news = false
		case <-changed:
			news = true
		}
	}
}

// whom returns the members to beat: the neighbours, or the seeds, of which only
// the address is known, if there are none.
func (h *Heart) whom() []members.Member {
	var ms []members.Member
	for _, m := range h.loop.Snapshot().Members {
		ms = append(ms, m.Member)
	}
	if out := members.GossipPeers(ms, h.loop.o.Self.Name); len(out) > 0 {
		return out
	}
	var out []members.Member
	for _, s := range h.seeds {
		if s != h.loop.o.Self.Peer {
			out = append(out, members.Member{Peer: s})
		}
	}
	return out
}

// beatAll beats all neighbours. News is sent again to those that a beat without
// it is on its way to.
func (h *Heart) beatAll(ctx context.Context, news bool) {
	for _, m := range h.whom() {
		if h.start(m.Peer, news) {
			go h.beat(ctx, m)
		}
	}
}

// start claims the right to beat an address; a slow peer gets one beat at a time.
func (h *Heart) start(address string, news bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, beating := h.inFlight[address]; beating {
		h.inFlight[address] = h.inFlight[address] || news
		return false
	}
	h.inFlight[address] = false
	return true
}

// finish ends a beat. It returns true if there has been news since it began.
func (h *Heart) finish(address string) (again bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	again = h.inFlight[address]
	delete(h.inFlight, address)
	h.rounds[address] = true
	return again
}

// Asked reports whether every process that is to be beaten has answered or
// failed to answer at least once.
func (h *Heart) Asked() bool {
	all := h.whom()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range all {
		if !h.rounds[m.Peer] {
			return false
		}
	}
	return true
}

func (h *Heart) beat(ctx context.Context, to members.Member) {
	defer func() {
		if h.finish(to.Peer) && ctx.Err() == nil && h.start(to.Peer, false) {
			go h.beat(ctx, to)
		}
	}()
	bctx, cancel := context.WithTimeout(ctx, max(h.interval, minBeatTimeout))
	defer cancel()
	sent := bootclock.Now()
	resp, err := h.transport.Call(bctx, to.Peer, &peerpb.Request{Body: &peerpb.Request_Heartbeat{Heartbeat: h.ownBeat()}})
	if err != nil {
		level.Debug(h.logger).Log("msg", "no heartbeat", "peer", to.Peer, "err", err)
		if to.Name != "" {
			h.loop.send(heartbeatFailed{to.Name, to.Incarnation})
		}
		return
	}
	if beat := resp.GetHeartbeat(); beat != nil {
		h.answered(ctx, resp.GetFrom(), beat, to.Peer, sent)
	}
}

// answered takes in the answer to a heartbeat that was sent at the given
// instant. Only answers prove anything about the present: a heartbeat that
// arrives by itself may have waited while this process was paused.
func (h *Heart) answered(ctx context.Context, from *peerpb.Identity, beat *peerpb.Heartbeat, address string, sent bootclock.Instant) {
	remote := objstore.Revision(beat.GetMirrorRevision())
	if age := ageOf(beat.GetMirrorAgeMs()); age != mirror.NeverConfirmed {
		h.mirror.Confirm(remote, age+bootclock.Since(sent))
	}
	if remote > h.mirror.Revision() {
		h.fetch(ctx, address, remote)
	}
	h.loop.heartbeatAnswered(from, beat, sent)
}

// fetch brings the mirror forward from the process at address. News that
// arrives while a fetch is under way is fetched right after it.
func (h *Heart) fetch(ctx context.Context, address string, revision objstore.Revision) {
	for {
		wanted := h.wanted.Load()
		if int64(revision) <= wanted || h.wanted.CompareAndSwap(wanted, int64(revision)) {
			break
		}
	}
	for h.fetching.CompareAndSwap(false, true) {
		ok := h.fetchOnce(ctx, address)
		h.fetching.Store(false)
		if !ok || int64(h.mirror.Revision()) >= h.wanted.Load() {
			return
		}
	}
}

func (h *Heart) fetchOnce(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fetchTimeout)
	defer cancel()
	req := &peerpb.Request{Body: &peerpb.Request_FetchMirror{FetchMirror: &peerpb.FetchMirror{After: int64(h.mirror.Revision())}}}
	sent := bootclock.Now()
	resp, err := h.transport.Call(ctx, address, req)
	if err != nil {
		level.Debug(h.logger).Log("msg", "mirror not fetched", "peer", address, "err", err)
		return false
	}
	d := resp.GetMirror()
	if d == nil {
		return false
	}
	delta := decodeDelta(req.GetFetchMirror().GetAfter(), d)
	if delta.Age != mirror.NeverConfirmed {
		delta.Age += bootclock.Since(sent)
	}
	return h.mirror.Apply(delta)
}

// addressOf returns the peer address of a member by name, or "".
func (h *Heart) addressOf(name string) string {
	for _, m := range h.loop.Snapshot().Members {
		if m.Name == name {
			return m.Peer
		}
	}
	return ""
}

// Answer answers the calls that concern the control state, or returns nil.
func (h *Heart) Answer(req *peerpb.Request) *peerpb.Response {
	switch b := req.Body.(type) {
	case *peerpb.Request_Heartbeat:
		address := h.addressOf(req.GetFrom().GetName())
		if remote := objstore.Revision(b.Heartbeat.GetMirrorRevision()); address != "" && remote > h.mirror.Revision() {
			go h.fetch(context.Background(), address, remote)
		}
		h.loop.heartbeatArrived(req.GetFrom(), b.Heartbeat)
		return &peerpb.Response{Body: &peerpb.Response_Heartbeat{Heartbeat: h.answerBeat()}}
	case *peerpb.Request_FetchMirror:
		d := h.mirror.Since(objstore.Revision(b.FetchMirror.GetAfter()))
		return &peerpb.Response{Body: &peerpb.Response_Mirror{Mirror: encodeDelta(d)}}
	case *peerpb.Request_FetchChunk:
		content, _ := h.loop.o.Loader.Chunk(b.FetchChunk.GetDigest())
		return &peerpb.Response{Body: &peerpb.Response_Chunk{Chunk: &peerpb.Chunk{Content: content}}}
	}
	return nil
}

// ChunkFromPeers is a confstore.Source that asks members that have the newest
// configuration, a few at most.
func (h *Heart) ChunkFromPeers(ctx context.Context, digest string) ([]byte, error) {
	const maxAsked = 3
	asked := 0
	for _, m := range h.loop.Snapshot().Members {
		if m.Self || m.Health != members.Alive || asked == maxAsked {
			continue
		}
		asked++
		cctx, cancel := context.WithTimeout(ctx, minBeatTimeout)
		resp, err := h.transport.Call(cctx, m.Peer, &peerpb.Request{Body: &peerpb.Request_FetchChunk{FetchChunk: &peerpb.FetchChunk{Digest: digest}}})
		cancel()
		if content := resp.GetChunk().GetContent(); err == nil && len(content) > 0 {
			return content, nil
		}
	}
	return nil, fault.New(fault.Unavailable, "no peer that was asked has chunk "+digest, "the store is asked next")
}

func encodeDelta(d mirror.Delta) *peerpb.MirrorDelta {
	out := &peerpb.MirrorDelta{Revision: int64(d.Revision), AgeMs: ageMillis(d.Age), Full: d.Full}
	for _, e := range d.Events {
		out.Objects = append(out.Objects, &peerpb.MirrorObject{
			Key: e.Object.Key, Value: e.Object.Value, Version: int64(e.Object.Version),
			WriteId: e.Object.WriteID, Revision: int64(e.Revision), Deleted: e.Deleted,
		})
	}
	return out
}

func decodeDelta(base int64, d *peerpb.MirrorDelta) mirror.Delta {
	out := mirror.Delta{
		Base: objstore.Revision(base), Revision: objstore.Revision(d.GetRevision()),
		Age: ageOf(d.GetAgeMs()), Full: d.GetFull(),
	}
	for _, o := range d.GetObjects() {
		out.Events = append(out.Events, objstore.Event{
			Object: objstore.Object{
				Key: o.GetKey(), Value: o.GetValue(), Version: objstore.Version(o.GetVersion()), WriteID: o.GetWriteId(),
			},
			Deleted: o.GetDeleted(), Revision: objstore.Revision(o.GetRevision()),
		})
	}
	return out
}
