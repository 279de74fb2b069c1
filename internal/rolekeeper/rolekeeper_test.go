package rolekeeper

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/duty"
	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
	"github.com/rockdoor/rockdoor/internal/standin/fleetstore"
	"github.com/rockdoor/rockdoor/internal/upstream"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/placement"
	"github.com/rockdoor/rockdoor/platform"
	"github.com/rockdoor/rockdoor/roles"
)

const (
	testTTL   = 900 * time.Millisecond
	testApart = 500 * time.Millisecond
	testSlots = 4
)

// pool is a service's engines and the store, as several keepers see them.
type pool struct {
	t       *testing.T
	store   *fleetstore.Server
	address string
	engines []*fleetengine.Engine
	view    atomic.Pointer[fleet.View]
	// running and queued are the load at each generating and reading engine.
	running, queued atomic.Int64
}

func newPool(t *testing.T, stages ...string) *pool {
	t.Helper()
	p := &pool{t: t, store: fleetstore.New()}
	server := httptest.NewServer(p.store)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	p.address = server.Listener.Addr().String()
	v := &fleet.View{Scheduling: true,
		Config:         &fleet.Config{Services: map[string]fleet.Service{"s": {Name: "s", KVCapacity: 1, RoleChange: 50 * time.Millisecond}}},
		InstancesKnown: true, Instances: map[string]*fleet.Instance{},
	}
	for n, stage := range stages {
		e := fleetengine.New(fmt.Sprint("i-", n), stage)
		e.RoleChange = 50 * time.Millisecond
		s := httptest.NewServer(e)
		t.Cleanup(s.Close)
		p.engines = append(p.engines, e)
		v.Instances[e.ID] = &fleet.Instance{ID: e.ID, Service: "s", Address: s.Listener.Addr().String(), Domain: "a", Slots: testSlots}
	}
	p.view.Store(v)
	p.refresh()
	return p
}

// refresh publishes the engines' roles, as their registrations do.
func (p *pool) refresh() {
	old := p.view.Load()
	v := *old
	v.Instances = map[string]*fleet.Instance{}
	for _, e := range p.engines {
		i := *old.Instances[e.ID]
		i.Role = engine.RoleMixed
		if e.Stage() == "prefill" {
			i.Role = engine.RolePrefill
		}
		v.Instances[e.ID] = &i
	}
	v.Index()
	p.view.Store(&v)
}

func (p *pool) load(id string) placement.Load {
	if p.view.Load().Instances[id].Role == engine.RolePrefill {
		var l placement.Load
		l.Pending[0].Prompts = int(p.queued.Load())
		return l
	}
	return placement.Load{Requests: int(p.running.Load()), LongResponses: int(p.running.Load())}
}

// keeper runs a keeper until the returned function is called.
func (p *pool) keeper(name string) (*Keeper, func()) {
	p.t.Helper()
	store := platform.NewStore(p.address)
	authority := duty.New(duty.Options{
		Store: store, Prefix: platform.LeasePrefix, Self: members.Member{Name: name, Incarnation: name + "-1"}, TTL: testTTL, HandoverDelay: testApart,
		View: p.view.Load, LivePeers: func() []string { return nil }, Logger: log.NewNopLogger(),
	})
	k := New(Options{
		Authority: authority, Policy: roles.Packing, Engines: platform.NewEngineClient(upstream.New(metrics.NewRegistry())), Placer: placement.New("a", p.load, nil),
		View: p.view.Load, Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		authority.Run(ctx, k.Run)
	}()
	var once sync.Once
	stop := func() { once.Do(func() { cancel(); wg.Wait(); store.Close() }) }
	p.t.Cleanup(stop)
	return k, stop
}

func (p *pool) orders() []fleetengine.Order {
	var out []fleetengine.Order
	for _, e := range p.engines {
		out = append(out, e.Orders()...)
	}
	return out
}

func TestHolderChangesRoles(t *testing.T) {
	p := newPool(t, "prefill", "decode", "decode", "decode", "decode", "decode")
	p.queued.Store(200)
	k, _ := p.keeper("a")
	require.Eventually(t, func() bool { p.refresh(); return len(p.orders()) >= 2 }, 6*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { p.refresh(); return len(k.Changing()) == 0 }, 3*time.Second, 10*time.Millisecond)
	for _, o := range p.orders() {
		require.Equal(t, "prefill", o.Stage)
		require.Equal(t, "a", o.Holder)
		require.EqualValues(t, 1, o.Token)
	}
}

// TestTwoHoldersAreApart kills the holder at the worst point, right after an
// order, and checks that the next one orders with a higher token and not before
// the time that must lie between.
func TestTwoHoldersAreApart(t *testing.T) {
	p := newPool(t, "prefill", "decode", "decode", "decode", "decode", "decode")
	p.queued.Store(200)
	_, stopA := p.keeper("a")
	require.Eventually(t, func() bool { return len(p.orders()) > 0 }, 6*time.Second, time.Millisecond)
	stopA()
	last := time.Now()
	first := len(p.orders())
	p.refresh()
	p.queued.Store(0)
	p.running.Store(4 * testSlots) // so that the next holder has something to order
	p.keeper("b")
	require.Eventually(t, func() bool { p.refresh(); return len(p.orders()) > first }, 8*time.Second, 10*time.Millisecond)
	for _, o := range p.orders() {
		if o.Holder == "b" {
			require.EqualValues(t, 2, o.Token)
			require.GreaterOrEqual(t, o.At.Sub(last), testApart-50*time.Millisecond)
		}
	}
}

// TestPausedHolderGivesNoOrder checks the last step before an order is written:
// a holder that was paused until its grant ended does not write.
func TestPausedHolderGivesNoOrder(t *testing.T) {
	p := newPool(t, "decode")
	k, stop := p.keeper("a")
	var g duty.Grant
	require.Eventually(t, func() bool {
		var held bool
		g, held = k.o.Authority.Grant()
		return held
	}, 2*time.Second, time.Millisecond)
	require.NoError(t, g.Check())
	stop() // nobody renews the lease any more
	time.Sleep(testTTL)
	require.Error(t, g.Check())
	err := k.o.Engines.Order(context.Background(), p.view.Load().Instances["i-0"].Address, engine.RoleOrder{
		Instance: "i-0", Role: engine.RolePrefill, Holder: g.Holder, Token: g.Token, Check: g.Check,
	})
	require.Error(t, err)
	require.Empty(t, p.orders())
}

// TestUnansweredOrderIsLeftAlone checks that an engine whose order got no answer
// takes requests and gets no second order while the first may still arrive.
func TestUnansweredOrderIsLeftAlone(t *testing.T) {
	p := newPool(t, "prefill", "decode", "decode", "decode", "decode", "decode")
	for _, e := range p.engines {
		e.OrderDelay = 1500 * time.Millisecond
		e.Fail(fleetengine.LateOrders, -1)
	}
	p.queued.Store(200)
	k, _ := p.keeper("a")
	require.Eventually(t, func() bool { p.refresh(); return len(p.orders()) >= 2 }, 8*time.Second, 10*time.Millisecond)
	require.Empty(t, k.Changing())
	for _, e := range p.engines {
		require.LessOrEqual(t, len(e.Orders()), 1)
	}
}

func TestNoOrdersWithoutTheStore(t *testing.T) {
	p := newPool(t, "prefill", "decode", "decode", "decode", "decode", "decode")
	p.store.SetFaults(fleetstore.Faults{Down: true})
	p.queued.Store(200)
	p.keeper("a")
	time.Sleep(testTTL + testApart + time.Second)
	require.Empty(t, p.orders())
}

// TestOrdersToAReplacedEngine checks that an order names the run it is for.
func TestOrdersToAReplacedEngine(t *testing.T) {
	p := newPool(t, "decode")
	keeper := platform.NewEngineClient(upstream.New(metrics.NewRegistry()))
	err := keeper.Order(context.Background(), p.view.Load().Instances["i-0"].Address, engine.RoleOrder{Instance: "i-old", Role: engine.RolePrefill, Holder: "a", Token: 1})
	require.Error(t, err)
	require.Empty(t, p.orders())
}

// TestOrderOfAnEarlierHolder checks that an engine that is changing already gets
// no order, and that no other is taken in its place.
func TestOrderOfAnEarlierHolder(t *testing.T) {
	p := newPool(t, "prefill", "decode", "decode", "decode")
	for _, e := range p.engines {
		e.RoleChange = time.Hour
	}
	keeper := platform.NewEngineClient(upstream.New(metrics.NewRegistry()))
	for _, id := range []string{"i-1", "i-2"} {
		require.NoError(t, keeper.Order(context.Background(), p.view.Load().Instances[id].Address,
			engine.RoleOrder{Instance: id, Role: engine.RolePrefill, Holder: "old", Token: 1}))
	}
	p.queued.Store(200)
	p.keeper("a")
	time.Sleep(2500 * time.Millisecond)
	require.Len(t, p.orders(), 2)
}

// TestALargeServiceChangesManyEnginesAtOnce replays a burst of prompts before 30 engines of
// which all but one generate: with four changes at a time the burst is over first.
func TestALargeServiceChangesManyEnginesAtOnce(t *testing.T) {
	stages := []string{"prefill"}
	for range 29 {
		stages = append(stages, "decode")
	}
	p := newPool(t, stages...)
	p.queued.Store(200)
	k, _ := p.keeper("a")
	require.Eventually(t, func() bool { return len(k.Changing()) > minAtOnce }, 6*time.Second, time.Millisecond)
}

// TestOnlySchedulersHoldTheLease takes the holder out of the schedulers: the next one gives
// the orders.
func TestOnlySchedulersHoldTheLease(t *testing.T) {
	p := newPool(t, "prefill", "decode", "decode", "decode", "decode", "decode")
	k, _ := p.keeper("a")
	require.Eventually(t, func() bool { _, held := k.o.Authority.Grant(); return held }, 3*time.Second, 10*time.Millisecond)
	v := *p.view.Load()
	v.Scheduling = false
	p.view.Store(&v)
	require.Eventually(t, func() bool { _, held := k.o.Authority.Grant(); return !held }, 3*time.Second, 10*time.Millisecond)
}
