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
	// minHeartbeatTimeout is the minimum timeout of a heartbeat. With a short interval
	// and a slow link, a heartbeat may take longer than the interval.
	minHeartbeatTimeout = time.Second
)

// Heartbeater exchanges heartbeats with the gossip peers. Updates of the mirror spread
// by the same messages: a process sends heartbeats as soon as its mirror changes, and
// a peer with an older mirror fetches the difference.
type Heartbeater struct {
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
	// wantedRevision is the highest mirror revision seen in heartbeats.
	wantedRevision atomic.Int64

	mu       sync.Mutex
	inFlight map[string]bool // by address; true if an update is pending for it
	probed   map[string]bool // addresses whose first heartbeat succeeded or failed
}

// HeartbeaterOptions configures a Heartbeater.
type HeartbeaterOptions struct {
	Loop      *Loop
	Mirror    *mirror.Mirror
	Transport *peer.Transport
	Tracker   *routing.Tracker
	// StoreReachable reports whether the last call to the object API got a response.
	StoreReachable func() bool
	// Seeds are the addresses that get heartbeats as long as no member is known.
	Seeds    []string
	Interval time.Duration
	Logger   log.Logger
}

// NewHeartbeater returns a Heartbeater. The caller must call Run.
func NewHeartbeater(o HeartbeaterOptions) *Heartbeater {
	h := &Heartbeater{
		loop: o.Loop, mirror: o.Mirror, transport: o.Transport, tracker: o.Tracker,
		reachable: o.StoreReachable, seeds: o.Seeds, interval: o.Interval,
		logger:   log.With(o.Logger, "component", "heartbeat"),
		inFlight: map[string]bool{}, probed: map[string]bool{},
	}
	h.phase.Store(int32(peerpb.Phase_PHASE_STARTING))
	return h
}

// SetPhase changes the phase that the heartbeats report and sends them at once.
func (h *Heartbeater) SetPhase(ctx context.Context, p peerpb.Phase) {
	h.phase.Store(int32(p))
	h.sendAll(ctx, true)
}

// heartbeat returns the heartbeat of this process.
func (h *Heartbeater) heartbeat() *peerpb.Heartbeat {
	return &peerpb.Heartbeat{
		Phase:          peerpb.Phase(h.phase.Load()),
		MirrorRevision: int64(h.mirror.Revision()),
		MirrorAgeMs:    ageMillis(h.mirror.Age()),
		ConfigRevision: h.loop.Snapshot().Revision,
		StoreReachable: h.reachable(),
		Silent:         h.loop.Snapshot().Unresponsive,
	}
}

// heartbeatWithLoads returns the heartbeat of this process with its loads. Loads are sent
// only in responses, so that each process of a pair sends them once an interval.
func (h *Heartbeater) heartbeatWithLoads() *peerpb.Heartbeat {
	b := h.heartbeat()
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

// ageMillis returns the age of a mirror in milliseconds, rounded up, as heartbeats carry
// it: -1 stands for mirror.NeverConfirmed.
func ageMillis(age time.Duration) int64 {
	if age == mirror.NeverConfirmed {
		return -1
	}
	return (age + time.Millisecond - 1).Milliseconds()
}

// ageOf is the inverse of ageMillis.
func ageOf(millis int64) time.Duration {
	if millis < 0 {
		return mirror.NeverConfirmed
	}
	return time.Duration(millis) * time.Millisecond
}

// Run sends heartbeats until ctx ends.
func (h *Heartbeater) Run(ctx context.Context) error {
	tick := time.NewTicker(h.interval)
	defer tick.Stop()
	update := false
	for {
		changed := h.mirror.Changed()
		h.sendAll(ctx, update)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			update = false
		case <-changed:
			update = true
		}
	}
}

// recipients returns the gossip peers. If there are none, it returns the seeds, for
// which only the address is set.
func (h *Heartbeater) recipients() []members.Member {
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

// sendAll sends a heartbeat to every recipient. If update is true, a recipient whose
// previous heartbeat is still in flight gets another heartbeat afterwards, since the
// one in flight does not carry the update.
func (h *Heartbeater) sendAll(ctx context.Context, update bool) {
	for _, m := range h.recipients() {
		if h.beginSend(m.Peer, update) {
			go h.send(ctx, m)
		}
	}
}

// beginSend reports whether a heartbeat may be sent to an address. At most one is in
// flight to each address.
func (h *Heartbeater) beginSend(address string, update bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, sending := h.inFlight[address]; sending {
		h.inFlight[address] = h.inFlight[address] || update
		return false
	}
	h.inFlight[address] = false
	return true
}

// endSend ends the sending of a heartbeat. It returns true if an update has become
// pending for the address in the meantime.
func (h *Heartbeater) endSend(address string) (again bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	again = h.inFlight[address]
	delete(h.inFlight, address)
	h.probed[address] = true
	return again
}

// ProbedAll reports whether at least one heartbeat to every recipient has succeeded or
// failed.
func (h *Heartbeater) ProbedAll() bool {
	all := h.recipients()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range all {
		if !h.probed[m.Peer] {
			return false
		}
	}
	return true
}

func (h *Heartbeater) send(ctx context.Context, to members.Member) {
	defer func() {
		if h.endSend(to.Peer) && ctx.Err() == nil && h.beginSend(to.Peer, false) {
			go h.send(ctx, to)
		}
	}()
	bctx, cancel := context.WithTimeout(ctx, max(h.interval, minHeartbeatTimeout))
	defer cancel()
	sent := bootclock.Now()
	resp, err := h.transport.Call(bctx, to.Peer, &peerpb.Request{Body: &peerpb.Request_Heartbeat{Heartbeat: h.heartbeat()}})
	if err != nil {
		level.Debug(h.logger).Log("msg", "heartbeat failed", "peer", to.Peer, "err", err)
		if to.Name != "" {
			h.loop.send(heartbeatFailed{to.Name, to.Incarnation})
		}
		return
	}
	if beat := resp.GetHeartbeat(); beat != nil {
		h.handleResponse(ctx, resp.GetFrom(), beat, to.Peer, sent)
	}
}

// handleResponse processes the response to a heartbeat that was sent at the given
// instant. Freshness is derived from responses only: a heartbeat of a peer may have
// been queued while this process was paused.
func (h *Heartbeater) handleResponse(ctx context.Context, from *peerpb.Identity, beat *peerpb.Heartbeat, address string, sent bootclock.Instant) {
	remote := objstore.Revision(beat.GetMirrorRevision())
	if age := ageOf(beat.GetMirrorAgeMs()); age != mirror.NeverConfirmed {
		h.mirror.Confirm(remote, age+bootclock.Since(sent))
	}
	if remote > h.mirror.Revision() {
		h.fetch(ctx, address, remote)
	}
	h.loop.responseArrived(from, beat, sent)
}

// fetch updates the mirror from the process at address. A newer revision that becomes
// known during a fetch is fetched right afterwards.
func (h *Heartbeater) fetch(ctx context.Context, address string, revision objstore.Revision) {
	for {
		wanted := h.wantedRevision.Load()
		if int64(revision) <= wanted || h.wantedRevision.CompareAndSwap(wanted, int64(revision)) {
			break
		}
	}
	for h.fetching.CompareAndSwap(false, true) {
		ok := h.fetchOnce(ctx, address)
		h.fetching.Store(false)
		if !ok || int64(h.mirror.Revision()) >= h.wantedRevision.Load() {
			return
		}
	}
}

func (h *Heartbeater) fetchOnce(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fetchTimeout)
	defer cancel()
	req := &peerpb.Request{Body: &peerpb.Request_FetchMirror{FetchMirror: &peerpb.FetchMirror{After: int64(h.mirror.Revision())}}}
	sent := bootclock.Now()
	resp, err := h.transport.Call(ctx, address, req)
	if err != nil {
		level.Debug(h.logger).Log("msg", "cannot fetch mirror", "peer", address, "err", err)
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
func (h *Heartbeater) addressOf(name string) string {
	for _, m := range h.loop.Snapshot().Members {
		if m.Name == name {
			return m.Peer
		}
	}
	return ""
}

// HandleRequest responds to peer calls that concern the control state. It returns nil
// for any other call.
func (h *Heartbeater) HandleRequest(req *peerpb.Request) *peerpb.Response {
	switch b := req.Body.(type) {
	case *peerpb.Request_Heartbeat:
		address := h.addressOf(req.GetFrom().GetName())
		if remote := objstore.Revision(b.Heartbeat.GetMirrorRevision()); address != "" && remote > h.mirror.Revision() {
			go h.fetch(context.Background(), address, remote)
		}
		h.loop.heartbeatArrived(req.GetFrom(), b.Heartbeat)
		return &peerpb.Response{Body: &peerpb.Response_Heartbeat{Heartbeat: h.heartbeatWithLoads()}}
	case *peerpb.Request_FetchMirror:
		d := h.mirror.Since(objstore.Revision(b.FetchMirror.GetAfter()))
		return &peerpb.Response{Body: &peerpb.Response_Mirror{Mirror: encodeDelta(d)}}
	case *peerpb.Request_FetchChunk:
		content, _ := h.loop.o.Loader.Chunk(b.FetchChunk.GetDigest())
		return &peerpb.Response{Body: &peerpb.Response_Chunk{Chunk: &peerpb.Chunk{Content: content}}}
	}
	return nil
}

// ChunkFromPeers is a confstore.Source that requests a chunk from a few live members.
func (h *Heartbeater) ChunkFromPeers(ctx context.Context, digest string) ([]byte, error) {
	const maxAsked = 3
	asked := 0
	for _, m := range h.loop.Snapshot().Members {
		if m.Self || m.Health != members.Alive || asked == maxAsked {
			continue
		}
		asked++
		cctx, cancel := context.WithTimeout(ctx, minHeartbeatTimeout)
		resp, err := h.transport.Call(cctx, m.Peer, &peerpb.Request{Body: &peerpb.Request_FetchChunk{FetchChunk: &peerpb.FetchChunk{Digest: digest}}})
		cancel()
		if content := resp.GetChunk().GetContent(); err == nil && len(content) > 0 {
			return content, nil
		}
	}
	return nil, fault.New(fault.Unavailable, "no peer that was asked has chunk "+digest, "the store is tried next")
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
