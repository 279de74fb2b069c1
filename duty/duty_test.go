package duty_test

import (
	"context"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/duty"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/standin/fleetstore"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/platform"
)

const (
	testTTL           = 450 * time.Millisecond
	testHandoverDelay = 1500 * time.Millisecond
	// soon is the timeout for what must not wait for testHandoverDelay.
	soon = testHandoverDelay * 2 / 3
)

// newStore returns a store and its address.
func newStore(t *testing.T) (*fleetstore.Server, string) {
	t.Helper()
	fake := fleetstore.New()
	server := httptest.NewServer(fake)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return fake, server.Listener.Addr().String()
}

// runAuthority runs an Authority until the returned function is called.
func runAuthority(t *testing.T, address, name string) (*duty.Authority, func()) {
	t.Helper()
	return runAuthorityWhile(t, address, name, func() bool { return true })
}

// runAuthorityWhile is runAuthority for a process that is a scheduler while scheduling returns true.
func runAuthorityWhile(t *testing.T, address, name string, scheduling func() bool) (*duty.Authority, func()) {
	t.Helper()
	store := platform.NewStore(address)
	a := duty.New(duty.Options{
		Store: store, Prefix: platform.LeasePrefix, Self: members.Member{Name: name, Incarnation: name}, TTL: testTTL, HandoverDelay: testHandoverDelay,
		View: func() *fleet.View { return &fleet.View{Scheduling: scheduling()} }, LivePeers: func() []string { return nil }, Logger: log.NewNopLogger(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		a.Run(ctx)
	}()
	var once sync.Once
	stop := func() { once.Do(func() { cancel(); wg.Wait(); store.Close() }) }
	t.Cleanup(stop)
	return a, stop
}

func mayAct(a *duty.Authority) func() bool {
	return func() bool { _, may := a.Grant(); return may }
}

// TestOnlySuccessorsWait checks that the first holder ever acts at once, and so does a holder that
// reacquires its own lease after an outage, under a higher token. A successor waits for the handover
// delay.
func TestOnlySuccessorsWait(t *testing.T) {
	fake, address := newStore(t)
	first, stopFirst := runAuthority(t, address, "a")
	require.Eventually(t, mayAct(first), soon, time.Millisecond)
	before, _ := first.Grant()

	fake.SetFaults(fleetstore.Faults{Down: true})
	require.Eventually(t, func() bool { return !mayAct(first)() }, 2*testTTL, time.Millisecond)
	require.Error(t, before.Check())
	fake.SetFaults(fleetstore.Faults{})
	require.Eventually(t, mayAct(first), soon, time.Millisecond)
	again, _ := first.Grant()
	require.Greater(t, again.Token, before.Token)

	stopFirst()
	released := time.Now()
	next, _ := runAuthority(t, address, "b")
	require.Eventually(t, mayAct(next), 3*testHandoverDelay, time.Millisecond)
	require.GreaterOrEqual(t, time.Since(released), testHandoverDelay)
	successor, _ := next.Grant()
	require.Greater(t, successor.Token, again.Token)
}

// TestReacquiredLeaseIsNotEnoughToAct has a process reacquire a lease before it was permitted to act
// under it. It must still wait for its predecessor, even if it was itself the holder before that.
func TestReacquiredLeaseIsNotEnoughToAct(t *testing.T) {
	fake, address := newStore(t)
	var scheduling atomic.Bool
	scheduling.Store(true)
	a, _ := runAuthorityWhile(t, address, "a", scheduling.Load)
	require.Eventually(t, mayAct(a), soon, time.Millisecond)
	scheduling.Store(false)
	b, stopB := runAuthority(t, address, "b")
	require.Eventually(t, mayAct(b), 4*testHandoverDelay, time.Millisecond)
	stopB()
	last := time.Now()
	store := platform.NewStore(address)
	t.Cleanup(store.Close)
	held, err := store.Get(context.Background(), platform.LeasePrefix+currentShard)
	require.NoError(t, err)
	scheduling.Store(true)
	require.Eventually(t, func() bool {
		now, err := store.Get(context.Background(), platform.LeasePrefix+currentShard)
		return err == nil && now.Version != held.Version
	}, soon, time.Millisecond, "a holds the lease again and waits")
	fake.SetFaults(fleetstore.Faults{Down: true})
	time.Sleep(testTTL * 5 / 4)
	fake.SetFaults(fleetstore.Faults{})
	require.Eventually(t, mayAct(a), 4*testHandoverDelay, time.Millisecond)
	require.GreaterOrEqual(t, time.Since(last), testHandoverDelay)
}

// TestReleaseEndsGrant checks that a grant which a duty still uses ends when the holder releases the
// lease, here because it is no longer a scheduler.
func TestReleaseEndsGrant(t *testing.T) {
	_, address := newStore(t)
	var scheduling atomic.Bool
	scheduling.Store(true)
	a, _ := runAuthorityWhile(t, address, "a", scheduling.Load)
	require.Eventually(t, mayAct(a), soon, time.Millisecond)
	scheduling.Store(false)
	grants := make(chan duty.Grant, 1)
	require.Eventually(t, func() bool {
		g, may := a.Grant()
		if may {
			select {
			case <-grants:
			default:
			}
			grants <- g
		}
		return !may
	}, soon, time.Millisecond)
	require.Error(t, (<-grants).Check())
}
