package scheduler

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/discovery"
	"github.com/rockdoor/rockdoor/internal/feed"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore"
)

const (
	// longPollShare is the part of Options.PropagationLimit for which a scheduler holds a follow call
	// while nothing changes. A follower allows the same time again before it treats the
	// scheduler as unresponsive.
	longPollShare = 0.1
	// staleShare is the part of Options.PropagationLimit above which a snapshot is stale, because its
	// sender is probably partitioned from the store. Normal staleness is up to 0.45: 0.25
	// between two responses of the store and 0.1 for each of two hops. A follower switches
	// away from a stale snapshot at 0.7 at the latest.
	staleShare = 0.6
	// schedulerStaleShare is staleShare for a scheduler. It must switch to a fresher snapshot
	// before its followers notice that it is stale: otherwise hundreds of followers switch at
	// once, and each downloads the whole deployment from another scheduler.
	schedulerStaleShare = 0.5
	// minSlack is the minimum time that a response may take beyond the time for which the
	// scheduler holds the call.
	minSlack = 150 * time.Millisecond
	// maxFollowAttempts is how many schedulers are tried in a row, also when looking for a
	// fresher snapshot: all but one of those that watch the store may be partitioned together.
	maxFollowAttempts = 3
	// readyPollInterval is how often a process that is not ready checks whether it has become
	// ready, while followers wait for it.
	readyPollInterval = 30 * time.Millisecond
	// minFreshnessGain is by how much another snapshot must be fresher to switch to it.
	minFreshnessGain = 200 * time.Millisecond
)

func (o *Options) longPollWait() time.Duration {
	return time.Duration(longPollShare * float64(o.PropagationLimit))
}

// staleAge returns the age from which a snapshot is stale and a fresher one is looked for.
func (o *Options) staleAge() time.Duration {
	share := staleShare
	if o.View().Scheduling {
		share = schedulerStaleShare
	}
	return time.Duration(share * float64(o.PropagationLimit))
}

// Follow implements discovery.Relay.
func (c *Client) Follow(ctx context.Context, after feed.Position) (discovery.RelayUpdate, error) {
	var lastErr error = fault.New(fault.Unavailable, "no scheduler is known", "the process reads the store directly")
	order, maxAttempts := c.followOrder(), maxFollowAttempts
	if c.needsPartialSnapshot() {
		order = c.partialSnapshotOrder()
		maxAttempts = len(order)
	}
	for n, s := range order[:min(maxAttempts, len(order))] {
		f, err := c.followScheduler(ctx, s, after, c.o.longPollWait(), 0)
		if err != nil {
			if !fault.Is(lastErr, fault.Denied) { // a scheduler that rejects the call is alive
				lastErr = err
			}
			continue
		}
		if f.Age >= c.o.staleAge() {
			f = c.switchToFresher(ctx, s, f, order[n+1:])
		}
		return f, nil
	}
	return discovery.RelayUpdate{}, lastErr
}

// followOrder returns the processes to follow, in order: schedulers, or for a scheduler, watchers.
func (c *Client) followOrder() []members.Member {
	v := c.o.View()
	candidates := v.Schedulers
	if v.Scheduling {
		candidates = v.Watchers
	}
	order := c.ranking.order(candidates, len(candidates))
	preferred := c.preferred.Load()
	for n, s := range order {
		if preferred != nil && s.Name == *preferred {
			copy(order[1:n+1], order[:n])
			order[0] = s
		}
	}
	return order
}

// switchToFresher returns the snapshot of another scheduler if it is fresher than current, which
// was received from the scheduler from. It then prefers that other scheduler.
func (c *Client) switchToFresher(ctx context.Context, from members.Member, current discovery.RelayUpdate, others []members.Member) discovery.RelayUpdate {
	fresher, s, err := c.fetchFirstFresher(ctx, current.Age, others[:min(maxFollowAttempts, len(others))])
	if err != nil {
		return current
	}
	level.Info(c.logger).Log("msg", "switched from a stale snapshot to a fresher one", "from", from.Name, "age", current.Age, "to", s.Name, "new_age", fresher.Age)
	c.preferred.Store(&s.Name)
	return fresher
}

// FetchFresher implements discovery.Relay. A scheduler has followers of its own and asks all other
// schedulers, since the store may respond to only one of them. Another process asks a few at random.
func (c *Client) FetchFresher(ctx context.Context, age time.Duration) (discovery.RelayUpdate, error) {
	others := c.OtherSchedulers()
	rand.Shuffle(len(others), func(i, k int) { others[i], others[k] = others[k], others[i] })
	if !c.o.View().Scheduling {
		others = others[:min(maxFollowAttempts, len(others))]
	}
	f, _, err := c.fetchFirstFresher(ctx, age, others)
	return f, err
}

// fetchFirstFresher returns the full snapshot of the first candidate whose snapshot is fresher
// than age, and that candidate. A candidate without a fresher snapshot sends a message without
// objects. The error is of kind NotFound if all candidates responded and none has a fresher one.
func (c *Client) fetchFirstFresher(ctx context.Context, age time.Duration, candidates []members.Member) (discovery.RelayUpdate, members.Member, error) {
	var lastErr error = fault.New(fault.NotFound, "no other scheduler has a fresher snapshot", "the store is asked again")
	maxAge := age - minFreshnessGain
	if maxAge <= 0 {
		return discovery.RelayUpdate{}, members.Member{}, lastErr
	}
	for _, s := range candidates {
		f, err := c.followScheduler(ctx, s, feed.Position{}, 0, maxAge)
		switch {
		case err != nil:
			lastErr = err
		case f.Age <= maxAge:
			return f, s, nil
		}
	}
	return discovery.RelayUpdate{}, members.Member{}, lastErr
}

// followScheduler requests the changes since a position from one scheduler. If maxAge is not 0
// and the scheduler's snapshot is older, the response has no objects.
func (c *Client) followScheduler(ctx context.Context, s members.Member, after feed.Position, wait, maxAge time.Duration) (discovery.RelayUpdate, error) {
	fctx, cancel := context.WithTimeout(ctx, wait+max(c.o.longPollWait(), minSlack))
	defer cancel()
	asked := bootclock.Now()
	resp, err := c.o.Transport.Call(fctx, s.Peer, &peerpb.Request{Body: &peerpb.Request_Follow{Follow: &peerpb.Follow{
		Peer: c.o.Self.Peer,
		Run:  after.RunID, Position: after.Sequence, LimitsPosition: c.limitsPositionIn(after.RunID), Head: maxAge == 0 && c.needsPartialSnapshot(), WaitMs: uint32(wait.Milliseconds()), Unpacks: true, MaxAgeMs: uint32(min(maxAge.Milliseconds(), math.MaxUint32)),
	}}})
	if err != nil {
		if ctx.Err() == nil && !fault.Is(err, fault.Denied) {
			c.ranking.recordFailure(s, err)
		}
		if fresh := c.preferred.Load(); fresh != nil && *fresh == s.Name {
			c.preferred.CompareAndSwap(fresh, nil)
		}
		return discovery.RelayUpdate{}, err
	}
	c.ranking.recordResponse(s)
	f, err := decodeUpdate(resp.GetUpdate())
	if err != nil {
		return f, err
	}
	if maxAge == 0 && !f.Partial {
		c.o.Limits.ApplyUpdate(s.Name, resp.GetUpdate().GetLimits())
		c.limitsPosition.Store(&feed.Position{RunID: f.Position.RunID, Sequence: resp.GetUpdate().GetLimitsPosition()})
	}
	if us := resp.GetUpdate().GetTimeUs(); us != 0 {
		c.o.Clock.ObserveSource(time.UnixMicro(us))
	}
	// The age in the response is valid at some time after the call was sent and within the
	// wait. Any time beyond the wait, such as a pause of this process, adds to the age.
	overdue := max(0, bootclock.Since(asked)-wait)
	f.Age += overdue
	f.ConfigAge += overdue
	f.ConfigFreshAt = asked.Add(-time.Duration(resp.GetUpdate().GetProofAgeMs()) * time.Millisecond)
	return f, nil
}

// limitsPositionIn returns the position up to which the rate limits sent by a run of a scheduler are known.
func (c *Client) limitsPositionIn(run string) uint64 {
	if p := c.limitsPosition.Load(); p != nil && p.RunID == run {
		return p.Sequence
	}
	return 0
}

func decodeUpdate(m *peerpb.FollowUpdate) (discovery.RelayUpdate, error) {
	f := discovery.RelayUpdate{
		Update:  feed.Update{Position: feed.Position{RunID: m.GetRun(), Sequence: m.GetPosition()}, Full: m.GetFull()},
		Age:     time.Duration(m.GetAgeMs()) * time.Millisecond,
		Partial: m.GetHead(), StoreUp: m.GetStoreUp(), ConfigUnconfirmed: m.GetConfigUnconfirmed(), Processes: int(m.GetProcesses()), InstancesRevision: objstore.Revision(m.GetInstancesRevision()),
	}
	if f.ConfigAge = f.Age; m.GetConfigAgeMs() > 0 {
		f.ConfigAge = time.Duration(m.GetConfigAgeMs()) * time.Millisecond
	}
	objects := m.GetObjects()
	if len(m.GetPacked()) > 0 {
		var err error
		if objects, err = unpackObjects(m.GetPacked()); err != nil {
			return f, err
		}
	}
	for _, o := range objects {
		f.Events = append(f.Events, objstore.Event{
			Object: objstore.Object{Key: o.GetKey(), Value: o.GetValue(), Version: objstore.Version(o.GetVersion())}, Deleted: o.GetDeleted(),
		})
	}
	for _, s := range m.GetSchedulers() {
		member := members.Member{Name: s.GetName(), Domain: s.GetDomain(), Peer: s.GetPeer()}
		f.GossipPeers = append(f.GossipPeers, member)
		if !s.GetReplaced() {
			f.Schedulers = append(f.Schedulers, member)
		}
		if s.GetWatcher() {
			f.Watchers = append(f.Watchers, member)
		}
	}
	return f, nil
}

// follow handles a follow request.
func (s *Server) follow(ctx context.Context, m *peerpb.Follow) *peerpb.Response {
	begun := time.Now()
	wait := min(time.Duration(m.GetWaitMs())*time.Millisecond, s.o.longPollWait())
	if !s.awaitReady(ctx, wait) {
		return &peerpb.Response{Error: "scheduler is not ready"}
	}
	if m.GetHead() {
		return s.sendPartialSnapshot(m)
	}
	after := feed.Position{RunID: m.GetRun(), Sequence: m.GetPosition()}
	u, v := s.awaitUpdate(ctx, after, max(wait-time.Since(begun), 0))
	out := s.updateFromView(v)
	out.Run, out.Position, out.Full = u.Position.RunID, u.Position.Sequence, u.Full
	if maxAge := int64(m.GetMaxAgeMs()); maxAge > 0 && out.AgeMs > maxAge {
		u.Events = nil
	}
	if m.GetMaxAgeMs() == 0 {
		out.Limits, out.LimitsPosition = s.o.Limits.Since(m.GetLimitsPosition())
	}
	return s.followResponse(out, after, u, m.GetUnpacks())
}

// updateFromView returns a follow response with the state of a view but without objects.
func (s *Server) updateFromView(v *fleet.View) *peerpb.FollowUpdate {
	out := &peerpb.FollowUpdate{
		AgeMs: v.Age().Milliseconds(), StoreUp: v.StoreUp,
		ProofAgeMs:  v.ConfigStaleness().Milliseconds() + 1, // rounded up, like the next one
		ConfigAgeMs: v.ConfigAge().Milliseconds() + 1, ConfigUnconfirmed: v.ConfigUnconfirmed,
		TimeUs: s.o.Clock.Now().UnixMicro(), InstancesRevision: int64(v.InstancesRevision),
		Processes: uint32(v.Processes),
	}
	for _, m := range v.GossipPeers {
		out.Schedulers = append(out.Schedulers, &peerpb.SchedulerAddress{
			Name: m.Name, Domain: m.Domain, Peer: m.Peer, Watcher: members.Contains(v.Watchers, m.Name), Replaced: !members.Contains(v.Schedulers, m.Name),
		})
	}
	return out
}

// followResponse returns a follow response with the objects of an update.
func (s *Server) followResponse(out *peerpb.FollowUpdate, after feed.Position, u feed.Update, unpacks bool) *peerpb.Response {
	if err := s.addObjects(out, after, u, unpacks); err != nil {
		level.Error(s.logger).Log("msg", "snapshot cannot be compressed", "err", err)
		return &peerpb.Response{Error: "copy cannot be packed"}
	}
	return &peerpb.Response{Body: &peerpb.Response_Update{Update: out}}
}

// addObjects adds the objects of an update to a response, compressed if they are large.
func (s *Server) addObjects(out *peerpb.FollowUpdate, after feed.Position, u feed.Update, unpacks bool) (err error) {
	if unpacks && shouldPack(u) {
		out.Packed, err = s.packs.get(after, u)
		return err
	}
	out.Objects = encodeObjects(u.Events)
	return nil
}

// awaitReady waits until this process is ready and reports whether it is. Holding the calls keeps
// followers from trying other schedulers when all processes start at the same time.
func (s *Server) awaitReady(ctx context.Context, wait time.Duration) bool {
	end := time.Now().Add(wait)
	for !s.o.View().Ready() {
		if time.Now().After(end) {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(readyPollInterval):
		}
	}
	return true
}

// awaitUpdate waits for changes after a position. The update contains everything in the returned
// view, so the ages in the view are valid for a follower that has applied the update: the
// view is read before the feed, and changes enter the feed before they enter a view.
func (s *Server) awaitUpdate(ctx context.Context, p feed.Position, wait time.Duration) (feed.Update, *fleet.View) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	first := s.o.View()
	for done := false; ; {
		v := s.o.View()
		u, changed := s.feed.Since(p)
		sourceChanged := v.StoreUp != first.StoreUp || v.ConfigUnconfirmed != first.ConfigUnconfirmed
		if done || sourceChanged || u.Full || len(u.Events) > 0 {
			return u, v
		}
		select {
		case <-changed:
		case <-timer.C:
			done = true
		case <-ctx.Done():
			done = true
		}
	}
}
