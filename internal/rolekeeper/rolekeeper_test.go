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
	testTTL           = 900 * time.Millisecond
	testHandoverDelay = 500 * time.Millisecond
	testSlots         = 4
)

// testPool holds the engines of a service and the store, which several keepers share.
type testPool struct {
	t       *testing.T
	store   *fleetstore.Server
	address string
	engines []*fleetengine.Engine
	view    atomic.Pointer[fleet.View]
	// running and queued are the load of each decode and of each prefill engine.
	running, queued atomic.Int64
}

func newTestPool(t *testing.T, stages ...string) *testPool {
	t.Helper()
	p := &testPool{t: t, store: fleetstore.New()}
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

// refresh publishes the engines' current roles, like their registrations.
func (p *testPool) refresh() {
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

func (p *testPool) load(id string) placement.Load {
	if p.view.Load().Instances[id].Role == engine.RolePrefill {
		var l placement.Load
		l.Pending[0].Prompts = int(p.queued.Load())
		return l
	}
	return placement.Load{Requests: int(p.running.Load()), LongResponses: int(p.running.Load())}
}

// keeper runs a Keeper until the returned function is called.
func (p *testPool) keeper(name string) (*Keeper, func()) {
	p.t.Helper()
	store := platform.NewStore(p.address)
	authority := duty.New(duty.Options{
		Store: store, Prefix: platform.LeasePrefix, Self: members.Member{Name: name, Incarnation: name + "-1"}, TTL: testTTL, HandoverDelay: testHandoverDelay,
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

func (p *testPool) orders() []fleetengine.Order {
	var out []fleetengine.Order
	for _, e := range p.engines {
		out = append(out, e.Orders()...)
	}
	return out
}

func TestHolderChangesRoles(t *testing.T) {
	p := newTestPool(t, "prefill", "decode", "decode", "decode", "decode", "decode")
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

// TestHandoverDelay stops the holder of the authority right after it has sent an order. The next
// holder must use a higher token and must not send an order before the handover delay has passed.
func TestHandoverDelay(t *testing.T) {
	p := newTestPool(t, "prefill", "decode", "decode", "decode", "decode", "decode")
	p.queued.Store(200)
	_, stopA := p.keeper("a")
	require.Eventually(t, func() bool { return len(p.orders()) > 0 }, 6*time.Second, time.Millisecond)
	stopA()
	last := time.Now()
	first := len(p.orders())
	p.refresh()
	p.queued.Store(0)
	p.running.Store(4 * testSlots) // so that the next holder has a reason for an order
	p.keeper("b")
	require.Eventually(t, func() bool { p.refresh(); return len(p.orders()) > first }, 8*time.Second, 10*time.Millisecond)
	for _, o := range p.orders() {
		if o.Holder == "b" {
			require.EqualValues(t, 2, o.Token)
			require.GreaterOrEqual(t, o.At.Sub(last), testHandoverDelay-50*time.Millisecond)
		}
	}
}

// TestPausedHolderSendsNoOrder checks that a holder which was paused until its grant expired cannot
// send an order any more.
func TestPausedHolderSendsNoOrder(t *testing.T) {
	p := newTestPool(t, "decode")
	k, stop := p.keeper("a")
	var g duty.Grant
	require.Eventually(t, func() bool {
		var held bool
		g, held = k.opts.Authority.Grant()
		return held
	}, 2*time.Second, time.Millisecond)
	require.NoError(t, g.Check())
	stop() // the lease is no longer renewed
	time.Sleep(testTTL)
	require.Error(t, g.Check())
	err := k.opts.Engines.Order(context.Background(), p.view.Load().Instances["i-0"].Address, engine.RoleOrder{
		Instance: "i-0", Role: engine.RolePrefill, Holder: g.Holder, Token: g.Token, Check: g.Check,
	})
	require.Error(t, err)
	require.Empty(t, p.orders())
}

// TestUnansweredOrderIsNotRepeated checks that an engine whose order got no response accepts
// requests, and gets no second order while the first may still be executed.
func TestUnansweredOrderIsNotRepeated(t *testing.T) {
	p := newTestPool(t, "prefill", "decode", "decode", "decode", "decode", "decode")
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
	p := newTestPool(t, "prefill", "decode", "decode", "decode", "decode", "decode")
	p.store.SetFaults(fleetstore.Faults{Down: true})
	p.queued.Store(200)
	p.keeper("a")
	time.Sleep(testTTL + testHandoverDelay + time.Second)
	require.Empty(t, p.orders())
}

// TestOrderToReplacedEngineIsRejected checks that an order is valid for one instance only, not for
// its address.
func TestOrderToReplacedEngineIsRejected(t *testing.T) {
	p := newTestPool(t, "decode")
	keeper := platform.NewEngineClient(upstream.New(metrics.NewRegistry()))
	err := keeper.Order(context.Background(), p.view.Load().Instances["i-0"].Address, engine.RoleOrder{Instance: "i-old", Role: engine.RolePrefill, Holder: "a", Token: 1})
	require.Error(t, err)
	require.Empty(t, p.orders())
}

// TestEngineIsNotOrderedWhileChanging checks that an engine which is already changing its role gets
// no order, and that no other engine is changed in its place.
func TestEngineIsNotOrderedWhileChanging(t *testing.T) {
	p := newTestPool(t, "prefill", "decode", "decode", "decode")
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

// TestLargeServiceChangesManyEnginesAtOnce covers a burst of prompts to 30 engines of which only
// one prefills. With four changes at a time the burst would end before enough engines have changed.
func TestLargeServiceChangesManyEnginesAtOnce(t *testing.T) {
	stages := []string{"prefill"}
	for range 29 {
		stages = append(stages, "decode")
	}
	p := newTestPool(t, stages...)
	p.queued.Store(200)
	k, _ := p.keeper("a")
	require.Eventually(t, func() bool { return len(k.Changing()) > minConcurrent }, 6*time.Second, time.Millisecond)
}

// TestOnlySchedulersHoldTheLease removes the holder from the schedulers, which must end its
// authority.
func TestOnlySchedulersHoldTheLease(t *testing.T) {
	p := newTestPool(t, "prefill", "decode", "decode", "decode", "decode", "decode")
	k, _ := p.keeper("a")
	require.Eventually(t, func() bool { _, held := k.opts.Authority.Grant(); return held }, 3*time.Second, 10*time.Millisecond)
	v := *p.view.Load()
	v.Scheduling = false
	p.view.Store(&v)
	require.Eventually(t, func() bool { _, held := k.opts.Authority.Grant(); return !held }, 3*time.Second, 10*time.Millisecond)
}
