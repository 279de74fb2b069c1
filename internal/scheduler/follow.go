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
	// followShare is the part of the time in which a change must have reached everybody
	// (Options.Within) for which a scheduler holds a call of one that follows it while
	// nothing changes. One that does not answer is noticed in it and as much again, slack.
	followShare = 0.1
	// staleShare is the part of that time from which on a copy is that of a process which is
	// cut off from the store: a quarter passes between two answers of the store, and two hops
	// add a tenth each. What is found then is left within seven tenths.
	staleShare = 0.6
	// schedulerStaleShare is the same for a scheduler. It looks for a fresher copy before those that follow it
	// do: hundreds that leave one at once each copy the whole deployment from another.
	schedulerStaleShare = 0.5
	// leastSlack is how long an answer may take at the least beyond the time that its call
	// is held.
	leastSlack = 150 * time.Millisecond
	// followAsks is how many schedulers are tried in a row, also for a fresher copy: those
	// that watch the store may be cut off together, but for one.
	followAsks = 3
	// readyCheck is how often a process that is not ready yet looks whether it is, for those
	// that wait for it.
	readyCheck = 30 * time.Millisecond
	// freshGain is how much fresher another copy must be.
	freshGain = 200 * time.Millisecond
)

func (o *Options) followWait() time.Duration {
	return time.Duration(followShare * float64(o.PropagationLimit))
}

// staleAge returns from which age on a copy is left for a fresher one.
func (o *Options) staleAge() time.Duration {
	share := staleShare
	if o.View().Scheduling {
		share = schedulerStaleShare
	}
	return time.Duration(share * float64(o.PropagationLimit))
}

// Follow implements discovery.Relay.
func (c *Client) Follow(ctx context.Context, after feed.Position) (discovery.RelayUpdate, error) {
	var failed error = fault.New(fault.Unavailable, "no scheduler is known", "the process looks at the store itself")
	order, most := c.inOrder(), followAsks
	if c.wantsHead() {
		order = c.headOrder()
		most = len(order)
	}
	for n, s := range order[:min(most, len(order))] {
		f, err := c.followOne(ctx, s, after, c.o.followWait(), 0)
		if err != nil {
			if !fault.Is(failed, fault.Denied) { // one that refuses lives
				failed = err
			}
			continue
		}
		if f.Age >= c.o.staleAge() {
			f = c.fresher(ctx, s, f, order[n+1:])
		}
		return f, nil
	}
	return discovery.RelayUpdate{}, failed
}

// inOrder returns whom this process follows: schedulers, or, if it is one, watchers.
func (c *Client) inOrder() []members.Member {
	v := c.o.View()
	from := v.Schedulers
	if v.Scheduling {
		from = v.Watchers
	}
	order := c.directory.order(from, len(from))
	fresh := c.fresh.Load()
	for n, s := range order {
		if fresh != nil && s.Name == *fresh {
			copy(order[1:n+1], order[:n])
			order[0] = s
		}
	}
	return order
}

// fresher returns what one of the other schedulers has if that is fresher than f, which from
// said, and goes on with that one.
func (c *Client) fresher(ctx context.Context, from members.Member, f discovery.RelayUpdate, others []members.Member) discovery.RelayUpdate {
	g, s, err := c.firstFresher(ctx, f.Age, others[:min(followAsks, len(others))])
	if err != nil {
		return f
	}
	level.Info(c.logger).Log("msg", "left a stale copy", "from", from.Name, "age", f.Age, "to", s.Name, "new_age", g.Age)
	c.fresh.Store(&s.Name)
	return g
}

// FetchFresher implements discovery.Relay. A scheduler, whom others follow, asks all other ones, since
// but one of them may be answered by the store; another process asks a few drawn at random.
func (c *Client) FetchFresher(ctx context.Context, age time.Duration) (discovery.RelayUpdate, error) {
	others := c.OtherSchedulers()
	rand.Shuffle(len(others), func(i, k int) { others[i], others[k] = others[k], others[i] })
	if !c.o.View().Scheduling {
		others = others[:min(followAsks, len(others))]
	}
	f, _, err := c.firstFresher(ctx, age, others)
	return f, err
}

// firstFresher returns all that the first one of some schedulers has whose copy is fresher than
// an age, and which one that is. A copy that is not costs a message without its objects. The
// error is of kind NotFound if none of them has one.
func (c *Client) firstFresher(ctx context.Context, age time.Duration, among []members.Member) (discovery.RelayUpdate, members.Member, error) {
	var failed error = fault.New(fault.NotFound, "no other scheduler has a fresher copy", "the store is asked again")
	most := age - freshGain
	if most <= 0 {
		return discovery.RelayUpdate{}, members.Member{}, failed
	}
	for _, s := range among {
		f, err := c.followOne(ctx, s, feed.Position{}, 0, most)
		switch {
		case err != nil:
			failed = err
		case f.Age <= most:
			return f, s, nil
		}
	}
	return discovery.RelayUpdate{}, members.Member{}, failed
}

// followOne asks one scheduler for what has changed. A copy that is older than most, if that
// is not 0, comes without its objects.
func (c *Client) followOne(ctx context.Context, s members.Member, after feed.Position, wait, most time.Duration) (discovery.RelayUpdate, error) {
	fctx, cancel := context.WithTimeout(ctx, wait+max(c.o.followWait(), leastSlack))
	defer cancel()
	asked := bootclock.Now()
	resp, err := c.o.Transport.Call(fctx, s.Peer, &peerpb.Request{Body: &peerpb.Request_Follow{Follow: &peerpb.Follow{
		Run: after.RunID, Position: after.Sequence, LimitsPosition: c.limitsAt(after.RunID), Head: most == 0 && c.wantsHead(), WaitMs: uint32(wait.Milliseconds()), Unpacks: true, MaxAgeMs: uint32(min(most.Milliseconds(), math.MaxUint32)),
	}}})
	if err != nil {
		if ctx.Err() == nil && !fault.Is(err, fault.Denied) {
			c.directory.failed(s, err)
		}
		if fresh := c.fresh.Load(); fresh != nil && *fresh == s.Name {
			c.fresh.CompareAndSwap(fresh, nil)
		}
		return discovery.RelayUpdate{}, err
	}
	c.directory.answered(s)
	f, err := decodeUpdate(resp.GetUpdate())
	if err != nil {
		return f, err
	}
	if most == 0 && !f.Partial {
		c.o.Limits.ApplyUpdate(s.Name, resp.GetUpdate().GetLimits())
		c.limits.Store(&feed.Position{RunID: f.Position.RunID, Sequence: resp.GetUpdate().GetLimitsPosition()})
	}
	if us := resp.GetUpdate().GetTimeUs(); us != 0 {
		c.o.Clock.ObserveSource(time.UnixMicro(us))
	}
	// The age is as of the answer, which was given after the question was asked, and within
	// the wait. What it took beyond that, such as a pause of this process, is age too.
	f.Age += max(0, bootclock.Since(asked)-wait)
	f.ConfigFreshAt = asked.Add(-time.Duration(resp.GetUpdate().GetProofAgeMs()) * time.Millisecond)
	return f, nil
}

// limitsAt returns up to where the rate limits are known that a run of a scheduler tells of.
func (c *Client) limitsAt(run string) uint64 {
	if p := c.limits.Load(); p != nil && p.RunID == run {
		return p.Sequence
	}
	return 0
}

func decodeUpdate(m *peerpb.FollowUpdate) (discovery.RelayUpdate, error) {
	f := discovery.RelayUpdate{
		Update:  feed.Update{Position: feed.Position{RunID: m.GetRun(), Sequence: m.GetPosition()}, Full: m.GetFull()},
		Age:     time.Duration(m.GetAgeMs()) * time.Millisecond,
		Partial: m.GetHead(), StoreUp: m.GetStoreUp(), Processes: int(m.GetProcesses()), InstancesRevision: objstore.Revision(m.GetInstancesRevision()),
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
		f.Mesh = append(f.Mesh, member)
		if !s.GetReplaced() {
			f.Schedulers = append(f.Schedulers, member)
		}
		if s.GetWatcher() {
			f.Watchers = append(f.Watchers, member)
		}
	}
	return f, nil
}

// follow answers one that follows this process.
func (s *Server) follow(ctx context.Context, m *peerpb.Follow) *peerpb.Response {
	begun := time.Now()
	wait := min(time.Duration(m.GetWaitMs())*time.Millisecond, s.o.followWait())
	if !s.awaitReady(ctx, wait) {
		return &peerpb.Response{Error: "scheduler is not ready"}
	}
	if m.GetHead() {
		return s.followHead(m)
	}
	after := feed.Position{RunID: m.GetRun(), Sequence: m.GetPosition()}
	u, v := s.await(ctx, after, max(wait-time.Since(begun), 0))
	out := s.updateOf(v)
	out.Run, out.Position, out.Full = u.Position.RunID, u.Position.Sequence, u.Full
	if most := int64(m.GetMaxAgeMs()); most > 0 && out.AgeMs > most {
		u.Events = nil
	}
	if m.GetMaxAgeMs() == 0 {
		out.Limits, out.LimitsPosition = s.o.Limits.Since(m.GetLimitsPosition())
	}
	return s.answerFollow(out, after, u, m.GetUnpacks())
}

// updateOf returns what an answer to one that follows this process says of a view, without objects.
func (s *Server) updateOf(v *fleet.View) *peerpb.FollowUpdate {
	out := &peerpb.FollowUpdate{
		AgeMs: v.Age().Milliseconds(), StoreUp: v.StoreUp,
		ProofAgeMs: v.ConfigStaleness().Milliseconds() + 1, // rounded up
		TimeUs:     s.o.Clock.Now().UnixMicro(), InstancesRevision: int64(v.InstancesRevision),
		Processes: uint32(v.Processes),
	}
	for _, m := range v.GossipPeers {
		out.Schedulers = append(out.Schedulers, &peerpb.SchedulerAddress{
			Name: m.Name, Domain: m.Domain, Peer: m.Peer, Watcher: members.Contains(v.Watchers, m.Name), Replaced: !members.Contains(v.Schedulers, m.Name),
		})
	}
	return out
}

// answerFollow puts the objects of an update into an answer.
func (s *Server) answerFollow(out *peerpb.FollowUpdate, after feed.Position, u feed.Update, unpacks bool) *peerpb.Response {
	if err := s.putObjects(out, after, u, unpacks); err != nil {
		level.Error(s.logger).Log("msg", "copy not packed", "err", err)
		return &peerpb.Response{Error: "copy cannot be packed"}
	}
	return &peerpb.Response{Body: &peerpb.Response_Update{Update: out}}
}

// putObjects puts the objects of an update in, packed if they are many.
func (s *Server) putObjects(out *peerpb.FollowUpdate, after feed.Position, u feed.Update, unpacks bool) (err error) {
	if unpacks && worthPacking(u) {
		out.Packed, err = s.packs.of(after, u)
		return err
	}
	out.Objects = encodeObjects(u.Events)
	return nil
}

// awaitReady waits until this process is ready, and reports whether it is. After a start of all
// processes those that wait here ask nobody else.
func (s *Server) awaitReady(ctx context.Context, wait time.Duration) bool {
	end := time.Now().Add(wait)
	for !s.o.View().Ready() {
		if time.Now().After(end) {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(readyCheck):
		}
	}
	return true
}

// await waits for something that a copy lacks. The update has all that the returned view
// has: the view is taken first, and what is in a view was in the feed before, so that the
// view's ages hold for a copy with the update.
func (s *Server) await(ctx context.Context, p feed.Position, wait time.Duration) (feed.Update, *fleet.View) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for over := false; ; {
		v := s.o.View()
		u, changed := s.feed.Since(p)
		if over || u.Full || len(u.Events) > 0 {
			return u, v
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-ctx.Done():
			over = true
		}
	}
}
