package scheduler

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/feed"
	"github.com/rockdoor/rockdoor/internal/peer"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/placement"
)

// node is the scheduler client and server of one gateway.
type node struct {
	*Client
	*Server
	self   members.Member
	view   atomic.Pointer[fleet.View]
	placer *placement.Placer
	feed   *feed.Feed
	// frozen makes the node accept calls without responding; slow makes it respond too late; former makes it reject the
	// calls that former versions don't know.
	frozen, slow, former atomic.Bool
}

// HandlePeer implements peer.Handler.
func (n *node) HandlePeer(ctx context.Context, req *peerpb.Request) *peerpb.Response {
	if n.frozen.Load() {
		<-ctx.Done()
	}
	if n.former.Load() && req.GetConfigQuery() != nil {
		return &peerpb.Response{Error: "call is not known"}
	}
	resp := n.Server.HandlePeer(ctx, req)
	if n.slow.Load() {
		time.Sleep(2 * callTimeout)
	}
	return resp
}

// newNode starts a node in the failure domain given by the first letter of its name.
func newNode(t testing.TB, name string) *node {
	t.Helper()
	return newNodeOn(t, name, func(l net.Listener) net.Listener { return l })
}

// newNodeOn starts a node that accepts calls over a network link.
func newNodeOn(t testing.TB, name string, link func(net.Listener) net.Listener) *node {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	n := &node{self: members.Member{Name: name, Domain: name[:1], Peer: l.Addr().String()}, placer: placement.New(name[:1], nil, nil), feed: feed.New(name)}
	n.view.Store(&fleet.View{})
	reg := metrics.NewRegistry()
	transport := peer.NewTransport(&peerpb.Identity{Name: name, Incarnation: "1"}, n, reg, log.NewNopLogger())
	o := Options{Self: n.self, View: n.view.Load, Transport: transport, Placer: n.placer, PropagationLimit: testPropagationLimit, Metrics: reg, Logger: log.NewNopLogger()}
	n.Client, n.Server = NewClient(o), NewServer(o, n.feed)
	go func() { _ = transport.Serve(link(l)) }()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = n.Client.Run(ctx) }()
	t.Cleanup(func() { cancel(); n.frozen.Store(false); l.Close(); transport.Close() })
	return n
}

// testPropagationLimit is the time limit for a change to reach all processes.
const testPropagationLimit = 4 * time.Second

const (
	routeName   = "r"
	serviceName = "s"
)

// setView gives nodes the view of a fleet with the given schedulers and engines. The first letter
// of a name is the failure domain.
func setView(nodes, schedulers []*node, engines ...string) {
	c := &fleet.Config{
		Routes:   []fleet.Route{{Name: routeName, LatencyTarget: time.Second}},
		Services: map[string]fleet.Service{serviceName: {Name: serviceName, KVCapacity: 100_000}},
	}
	c.Index()
	for _, n := range nodes {
		v := &fleet.View{Config: c, InstancesKnown: true, ConfigConfirmedAt: bootclock.Now(), InstancesConfirmedAt: bootclock.Now(), Instances: map[string]*fleet.Instance{}, Processes: 30}
		for _, id := range engines {
			i := &fleet.Instance{ID: id, Service: serviceName, Domain: id[:1], Role: engine.RolePrefill, Slots: 10_000}
			if id[1] == 'd' {
				i.Role = engine.RoleMixed
			}
			v.Instances[id] = i
		}
		for _, s := range schedulers {
			v.Schedulers = append(v.Schedulers, s.self)
			v.Scheduling = v.Scheduling || s == n
		}
		v.Watchers, v.GossipPeers = v.Schedulers, v.Schedulers
		v.Index()
		n.view.Store(v)
	}
}

func jobFor(n *node, prefix string) *placement.Job {
	v := n.view.Load()
	return &placement.Job{
		Route: v.Config.RouteByName(routeName), Service: v.Config.Services[serviceName], Domain: n.self.Domain, Remaining: 2 * time.Second,
		Permitted: v.Permitted(routeName, serviceName),
		Call:      &engine.Call{ID: "1", PromptTokens: 9000, Parts: []engine.Part{{ID: prefix, Tokens: 8000}, {ID: "own", Tokens: 1000}}},
	}
}

// placeRemotely places a prompt through a scheduler. On a busy host a response may come too
// late, so that the process places the prompt itself. In that case it cancels the ticket, waits
// until the scheduler has cancelled the ticket of the late response, and tries again.
func placeRemotely(t *testing.T, n *node, prefix string) (placement.Plan, Ticket) {
	t.Helper()
	for range 20 {
		plan, ticket := n.Place(context.Background(), jobFor(n, prefix))
		require.NotNil(t, ticket)
		if plan.DecidedBy != n.self.Name {
			return plan, ticket
		}
		ticket.Cancel()
		time.Sleep(3 * unlistedGrace)
	}
	t.Fatal("no scheduler answers")
	return placement.Plan{}, nil
}

// TestProcessesShareOneScheduler places prompts with the same prefix from two processes through one scheduler.
// The second prompt must go to the engine that prefilled the first one, the load of both must be
// counted, and it must be removed at the end.
func TestProcessesShareOneScheduler(t *testing.T) {
	s, a, b := newNode(t, "a-sched"), newNode(t, "a-1"), newNode(t, "b-1")
	setView([]*node{s, a, b}, []*node{s}, "ap1", "ap2", "ap3", "bp4", "bp5", "ad1", "bd2")
	ctx := context.Background()
	plan, first := placeRemotely(t, a, "x")
	require.Equal(t, "a-sched", plan.DecidedBy)
	require.Equal(t, 1, s.placer.Load(plan.PrefillEngine).Requests)
	first = first.PlaceDecode(ctx, jobFor(a, "x"), &plan)
	require.Equal(t, plan.PrefillEngine.Domain+"d", plan.Target.ID[:2], "the decode engine is in the domain of the prefill engine")
	require.Zero(t, s.placer.Load(plan.PrefillEngine).Requests)

	again, second := placeRemotely(t, b, "x")
	require.Equal(t, plan.PrefillEngine.ID, again.PrefillEngine.ID)
	require.Equal(t, placement.ReasonCacheHolder, again.Reason)
	second = second.PlaceDecode(ctx, jobFor(b, "x"), &again)
	require.Equal(t, 2, totalLoad(s).Starting)
	first.FirstEvent()
	second.FirstEvent()
	require.Eventually(t, func() bool { return totalLoad(s).Starting == 0 }, time.Second, time.Millisecond)
	require.Equal(t, 2, totalLoad(s).Requests)
	first.RunEnded(placement.Succeeded)
	first.Cancel()
	second.Cancel()
	require.Eventually(t, func() bool { return totalLoad(s).Requests == 0 }, time.Second, time.Millisecond)
}

// totalLoad returns the sum of the loads that a scheduler counts at all engines.
func totalLoad(s *node) placement.Load {
	var sum placement.Load
	for _, l := range s.placer.LocalLoads() {
		sum = sum.Add(l)
	}
	return sum
}

// TestUnresponsiveSchedulerIsSkipped covers suspended schedulers: only one request may wait for a
// suspended scheduler. With all of them suspended, the process places requests itself.
func TestUnresponsiveSchedulerIsSkipped(t *testing.T) {
	near, far, a := newNode(t, "a-near"), newNode(t, "b-far"), newNode(t, "a-1")
	setView([]*node{near, far, a}, []*node{near, far}, "ap1", "ad1")
	ctx := context.Background()
	plan, ticket := placeRemotely(t, a, "x")
	require.Equal(t, "a-near", plan.DecidedBy)

	near.frozen.Store(true)
	begun := time.Now()
	ticket = ticket.PlaceDecode(ctx, jobFor(a, "x"), &plan)
	require.NotNil(t, ticket, "another scheduler takes over")
	require.NotEqual(t, "a-near", plan.DecidedBy)
	require.Equal(t, "ad1", plan.Target.ID)
	require.Less(t, time.Since(begun), time.Second, "the suspended scheduler is not waited for")
	require.Equal(t, "b-far", a.ranking.order(a.view.Load().Schedulers, 1)[0].Name, "the next request does not try the suspended scheduler first")
	plan, _ = placeRemotely(t, a, "x")
	require.Equal(t, "b-far", plan.DecidedBy)

	far.frozen.Store(true)
	plan, ticket = a.Place(ctx, jobFor(a, "x"))
	require.NotNil(t, ticket)
	require.Equal(t, "a-1", plan.DecidedBy)
}

// TestPlansAreCheckedAgainstViewOfSender covers a scheduler with a different list of instances. The
// instances that it chooses must not be used unless the view of the sender permits them.
func TestPlansAreCheckedAgainstViewOfSender(t *testing.T) {
	s, a := newNode(t, "a-sched"), newNode(t, "a-1")
	setView([]*node{s}, []*node{s}, "ap1", "ad1")
	setView([]*node{a}, []*node{s}, "ap2", "ad2")
	plan, ticket := a.Place(context.Background(), jobFor(a, "x"))
	require.NotNil(t, ticket)
	require.Equal(t, "ap2", plan.PrefillEngine.ID)
	require.Equal(t, "a-1", plan.DecidedBy)
	require.Eventually(t, func() bool { return len(s.placer.LocalLoads()) == 0 }, time.Second, time.Millisecond, "the ticket at the scheduler is cancelled")
}

// TestTicketsOfLostClientsAreCancelled covers clients that are killed with requests in flight, and a
// client that restarts.
func TestTicketsOfLostClientsAreCancelled(t *testing.T) {
	s, a := newNode(t, "a-sched"), newNode(t, "a-1")
	setView([]*node{s, a}, []*node{s}, "ap1", "ad1")
	_, _ = placeRemotely(t, a, "x")
	s.sweep(time.Now())
	require.Len(t, s.placer.LocalLoads(), 1)
	s.sweep(time.Now().Add(2 * clientTimeout))
	require.Empty(t, s.placer.LocalLoads())

	_, _ = placeRemotely(t, a, "x")
	s.recordContact(&peerpb.Identity{Name: "a-1", Incarnation: "2"})
	require.Empty(t, s.placer.LocalLoads())
	require.Nil(t, s.ticket(&peerpb.Identity{Name: "a-1", Incarnation: "2"}, s.lastTicketID))
}

// TestResumedSchedulerCancelsEndedTickets suspends a scheduler while requests that it placed end
// and new placement calls time out. After it resumes, it must not count any of these requests.
func TestResumedSchedulerCancelsEndedTickets(t *testing.T) {
	s, a := newNode(t, "a-sched"), newNode(t, "a-1")
	setView([]*node{s, a}, []*node{s}, "ap1", "ad1")
	ctx := context.Background()
	var tickets []Ticket
	for range 20 {
		_, ticket := placeRemotely(t, a, "x")
		tickets = append(tickets, ticket)
	}
	s.frozen.Store(true)
	for _, ticket := range tickets[1:] {
		ticket.Cancel()
	}
	_, unserved := a.Place(ctx, jobFor(a, "x"))
	unserved.Cancel()
	time.Sleep(2 * reportTimeout)
	require.Equal(t, 20, totalLoad(s).Requests)
	s.frozen.Store(false)
	require.Eventually(t, func() bool { return totalLoad(s).Requests == 1 }, 3*unlistedGrace, 10*time.Millisecond, "one request is still in flight")
	tickets[0].Cancel()
	require.Eventually(t, func() bool { return totalLoad(s).Requests == 0 }, time.Second, time.Millisecond)
}

// TestUnlistedTicketIsCancelledWithoutFurtherCalls has the response to the last placement call of a
// process come too late. Its ticket may be younger than unlistedGrace when the scheduler receives the
// list of open tickets without it. When no further list was sent, since no call followed, the ticket
// counted as load until the next call.
func TestUnlistedTicketIsCancelledWithoutFurtherCalls(t *testing.T) {
	s, a := newNode(t, "a-sched"), newNode(t, "a-1")
	setView([]*node{s, a}, []*node{s}, "ap1", "ad1")
	_, first := placeRemotely(t, a, "x")
	first.Cancel()
	require.Eventually(t, func() bool { return totalLoad(s).Requests == 0 }, 3*unlistedGrace, 10*time.Millisecond)
	s.slow.Store(true)
	plan, unserved := a.Place(context.Background(), jobFor(a, "x"))
	s.slow.Store(false)
	require.Equal(t, a.self.Name, plan.DecidedBy)
	unserved.Cancel()
	require.Eventually(t, func() bool { return totalLoad(s).Requests == 1 }, time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return totalLoad(s).Requests == 0 }, 3*unlistedGrace, 10*time.Millisecond)
}

// TestOnlySchedulersPlace covers a process that sends placement calls to one that is not a scheduler.
func TestOnlySchedulersPlace(t *testing.T) {
	s, a := newNode(t, "a-sched"), newNode(t, "a-1")
	setView([]*node{a}, []*node{s}, "ap1", "ad1")
	setView([]*node{s}, nil, "ap1", "ad1")
	plan, ticket := a.Place(context.Background(), jobFor(a, "x"))
	require.NotNil(t, ticket)
	require.Equal(t, "a-1", plan.DecidedBy)
}

// TestFollowersGetChangesAtOnce checks that a follower receives a change long before its call would
// time out, and which facts about the fleet the response has.
func TestFollowersGetChangesAtOnce(t *testing.T) {
	s, a := newNode(t, "a-sched"), newNode(t, "a-1")
	setView([]*node{s, a}, []*node{s}, "ap1")
	s.feed.Put(objstore.Object{Key: "k/1", Value: []byte("v"), Version: 4})
	f, err := a.Follow(context.Background(), feed.Position{})
	require.NoError(t, err)
	require.True(t, f.Full)
	require.Equal(t, []objstore.Event{{Object: objstore.Object{Key: "k/1", Value: []byte("v"), Version: 4}}}, f.Events)
	require.Equal(t, 30, f.Processes)
	require.Equal(t, []members.Member{s.self}, f.Schedulers)
	require.Equal(t, f.Schedulers, f.Watchers)

	time.AfterFunc(a.Client.o.longPollWait()/5, func() { s.feed.Remove("k/1") })
	begun := time.Now()
	f, err = a.Follow(context.Background(), f.Position)
	require.NoError(t, err)
	require.Less(t, time.Since(begun), a.Client.o.longPollWait())
	require.True(t, f.Events[0].Deleted)
}

// TestFollowerSwitchesToFresherSnapshot covers schedulers that are partitioned from the store and still
// respond to their followers. The only one that is not must be found in a single round.
func TestFollowerSwitchesToFresherSnapshot(t *testing.T) {
	near, near2, far, a := newNode(t, "a-near"), newNode(t, "a-near2"), newNode(t, "b-far"), newNode(t, "a-1")
	setView([]*node{near, near2, far, a}, []*node{near, near2, far}, "ap1")
	for _, n := range []*node{near, near2} {
		stale := *n.view.Load()
		stale.ConfigConfirmedAt = bootclock.Now().Add(-testPropagationLimit)
		n.view.Store(&stale)
	}
	var wg sync.WaitGroup
	for range 4 { // a process that stops following and starts again may have two calls at a time
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := a.Follow(context.Background(), feed.Position{})
			assert.NoError(t, err)
		}()
	}
	wg.Wait()
	for n := range 2 {
		f, err := a.Follow(context.Background(), feed.Position{})
		require.NoError(t, err)
		require.Equal(t, "b-far", f.Position.RunID, fmt.Sprint("call ", n))
	}
}

// TestSchedulerSwitchesBeforeItsFollowers has a scheduler and another process follow a snapshot of the same age. The
// scheduler must switch to a fresher snapshot while the other process does not switch yet: otherwise all followers
// of the scheduler would download the whole deployment from another scheduler at once.
func TestSchedulerSwitchesBeforeItsFollowers(t *testing.T) {
	old, fresh, other, scheduler := newNode(t, "a-old"), newNode(t, "b-fresh"), newNode(t, "a-1"), newNode(t, "a-2")
	setView([]*node{old, fresh, other, scheduler}, []*node{old, fresh}, "ap1")
	stale := *old.view.Load()
	stale.ConfigConfirmedAt = bootclock.Now().Add(-testPropagationLimit * 11 / 20)
	old.view.Store(&stale)
	v := *scheduler.view.Load()
	v.Scheduling, v.Watchers = true, v.Schedulers
	scheduler.view.Store(&v)
	f, err := other.Follow(context.Background(), feed.Position{})
	require.NoError(t, err)
	require.Equal(t, "a-old", f.Position.RunID)
	f, err = scheduler.Follow(context.Background(), feed.Position{})
	require.NoError(t, err)
	require.Equal(t, "b-fresh", f.Position.RunID)
}

// TestSchedulerFindsTheOnlyFreshSnapshot covers a scheduler that looks for a fresher snapshot when the
// store responds to only one of five other schedulers. Asking three at random missed that one in
// four of ten cases, and the next try was seconds later. Snapshots that are not fresher must be sent
// without objects.
func TestSchedulerFindsTheOnlyFreshSnapshot(t *testing.T) {
	var all []*node
	for n := range 6 {
		all = append(all, newNode(t, fmt.Sprint("s-", n)))
	}
	setView(all, all, "ap1")
	a, fresh := all[0], all[5]
	for _, n := range all {
		n.feed.Put(objstore.Object{Key: "k/1", Value: []byte("v"), Version: 4})
	}
	for _, n := range all[:5] {
		stale := *n.view.Load()
		stale.ConfigConfirmedAt, stale.Scheduling = bootclock.Now().Add(-testPropagationLimit), true
		n.view.Store(&stale)
	}
	for range 20 {
		f, err := a.FetchFresher(context.Background(), testPropagationLimit)
		require.NoError(t, err)
		require.Equal(t, fresh.self.Name, f.Position.RunID)
		require.Len(t, f.Events, 1)
	}
	f, err := a.followScheduler(context.Background(), all[1].self, feed.Position{}, 0, testPropagationLimit/2)
	require.NoError(t, err)
	require.Empty(t, f.Events)
	_, err = fresh.FetchFresher(context.Background(), time.Millisecond)
	require.True(t, fault.Is(err, fault.NotFound))
}

// TestConfigFreshnessCountsFromTheRequest checks up to when a follower may consider its configuration the
// newest: not later than was confirmed at the time of its call, however long the call was held or
// the response took, and never for a configuration that it has not received.
func TestConfigFreshnessCountsFromTheRequest(t *testing.T) {
	s, a := newNode(t, "a-sched"), newNode(t, "a-1")
	setView([]*node{s, a}, []*node{s}, "ap1")
	const age = 700 * time.Millisecond
	v := *s.view.Load()
	v.ConfigFreshAt = bootclock.Now().Add(-age)
	s.view.Store(&v)
	f, err := a.Follow(context.Background(), feed.Position{})
	require.NoError(t, err)
	require.LessOrEqual(t, f.ConfigFreshAt, v.ConfigFreshAt)

	// While the call is held, the scheduler receives another configuration.
	time.AfterFunc(a.Client.o.longPollWait()/5, func() {
		s.feed.Put(objstore.Object{Key: "config/main", Version: 5})
		next := v
		next.ConfigFreshAt = bootclock.Now()
		s.view.Store(&next)
	})
	asked := bootclock.Now()
	f, err = a.Follow(context.Background(), f.Position)
	require.NoError(t, err)
	require.Len(t, f.Events, 1)
	require.Less(t, f.ConfigFreshAt, asked.Add(a.Client.o.longPollWait()))

	// A scheduler whose newer view was not in its feed when it responded confirms nothing new.
	for range 50 {
		u, view := s.awaitUpdate(context.Background(), f.Position, 0)
		require.False(t, view.ConfigFreshAt > v.ConfigFreshAt && u.Position.Sequence < f.Position.Sequence)
	}
}
