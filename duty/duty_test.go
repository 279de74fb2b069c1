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
	testTTL   = 450 * time.Millisecond
	testApart = 1500 * time.Millisecond
	// soon is well within testApart.
	soon = testApart * 2 / 3
)

// newStore returns a store and its address.
func newStore(t *testing.T) (*fleetstore.Server, string) {
	t.Helper()
	fake := fleetstore.New()
	server := httptest.NewServer(fake)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return fake, server.Listener.Addr().String()
}

// holder runs an authority until the returned function is called.
func holder(t *testing.T, address, name string) (*duty.Authority, func()) {
	t.Helper()
	return holderWith(t, address, name, func() bool { return true })
}

// holderWith is holder for a process that is a scheduler while scheduling says so.
func holderWith(t *testing.T, address, name string, scheduling func() bool) (*duty.Authority, func()) {
	t.Helper()
	store := platform.NewStore(address)
	a := duty.New(duty.Options{
		Store: store, Prefix: platform.LeasePrefix, Self: members.Member{Name: name, Incarnation: name}, TTL: testTTL, HandoverDelay: testApart,
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

func acts(a *duty.Authority) func() bool {
	return func() bool { _, may := a.Grant(); return may }
}

// TestWhoHasToWait checks that the first holder ever acts at once, that one which gets its
// own lease back after an outage does so too, under a higher token, and that a successor
// waits for as long as the calls of two holders must lie apart.
func TestWhoHasToWait(t *testing.T) {
	fake, address := newStore(t)
	first, stopFirst := holder(t, address, "a")
	require.Eventually(t, acts(first), soon, time.Millisecond)
	before, _ := first.Grant()

	fake.SetFaults(fleetstore.Faults{Down: true})
	require.Eventually(t, func() bool { return !acts(first)() }, 2*testTTL, time.Millisecond)
	require.Error(t, before.Check())
	fake.SetFaults(fleetstore.Faults{})
	require.Eventually(t, acts(first), soon, time.Millisecond)
	again, _ := first.Grant()
	require.Greater(t, again.Token, before.Token)

	stopFirst()
	released := time.Now()
	next, _ := holder(t, address, "b")
	require.Eventually(t, acts(next), 3*testApart, time.Millisecond)
	require.GreaterOrEqual(t, time.Since(released), testApart)
	successor, _ := next.Grant()
	require.Greater(t, successor.Token, again.Token)
}

// TestALeaseThatIsBackIsNoLicence has a process get back a lease under which it had not acted
// yet: it waits for the holder before it, though it has acted before that one.
func TestALeaseThatIsBackIsNoLicence(t *testing.T) {
	fake, address := newStore(t)
	var scheduling atomic.Bool
	scheduling.Store(true)
	a, _ := holderWith(t, address, "a", scheduling.Load)
	require.Eventually(t, acts(a), soon, time.Millisecond)
	scheduling.Store(false)
	b, stopB := holder(t, address, "b")
	require.Eventually(t, acts(b), 4*testApart, time.Millisecond)
	stopB()
	last := time.Now()
	store := platform.NewStore(address)
	t.Cleanup(store.Close)
	held, err := store.Get(context.Background(), platform.LeasePrefix+newShard)
	require.NoError(t, err)
	scheduling.Store(true)
	require.Eventually(t, func() bool {
		now, err := store.Get(context.Background(), platform.LeasePrefix+newShard)
		return err == nil && now.Version != held.Version
	}, soon, time.Millisecond, "a has the lease again and waits")
	fake.SetFaults(fleetstore.Faults{Down: true})
	time.Sleep(testTTL * 5 / 4)
	fake.SetFaults(fleetstore.Faults{})
	require.Eventually(t, acts(a), 4*testApart, time.Millisecond)
	require.GreaterOrEqual(t, time.Since(last), testApart)
}

// TestAGrantEndsWithItsRelease has a holder become no scheduler, which gives its lease up while
// a duty may still have its grant in hand.
func TestAGrantEndsWithItsRelease(t *testing.T) {
	_, address := newStore(t)
	var scheduling atomic.Bool
	scheduling.Store(true)
	a, _ := holderWith(t, address, "a", scheduling.Load)
	require.Eventually(t, acts(a), soon, time.Millisecond)
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
