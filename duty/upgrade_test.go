package duty_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/fleetstore"
	"github.com/rockdoor/rockdoor/lease"
	"github.com/rockdoor/rockdoor/platform"
)

// legacyShard is the name of the lease of previous versions.
const legacyShard = "roles"

// legacyLessee returns the lessee of a process of a previous version, which competes only for the
// legacy lease.
func legacyLessee(t *testing.T, address, name string) *lease.Lessee {
	t.Helper()
	store := platform.NewStore(address)
	t.Cleanup(store.Close)
	return lease.New(lease.Options{
		Store: store, Prefix: platform.LeasePrefix, Shard: legacyShard, Holder: name, Incarnation: name, TTL: testTTL, Logger: log.NewNopLogger(),
	})
}

func step(t *testing.T, l *lease.Lessee) lease.Grant {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	require.NoError(t, l.Step(ctx))
	g, _ := l.Grant()
	return g
}

// TestUpgradeKeepsOneHolder starts a process of this version while one of the previous version holds
// the legacy lease. The new process acts only after the old one has released the lease and the
// handover delay has passed, under a higher token, and no old process acquires the lease meanwhile.
// When the new process has stopped, an old one acquires the lease under a still higher token.
func TestUpgradeKeepsOneHolder(t *testing.T) {
	_, address := newStore(t)
	old := legacyLessee(t, address, "old")
	for range 3 { // the token is 3 after three holders
		step(t, old)
		require.NoError(t, old.Release(context.Background()))
	}
	oldToken := step(t, old).Token

	next, stopNext := runAuthority(t, address, "new")
	for end := time.Now().Add(testTTL + testHandoverDelay); time.Now().Before(end); time.Sleep(testTTL / 3) {
		require.Equal(t, oldToken, step(t, old).Token)
		require.False(t, mayAct(next)(), "two holders at once")
	}
	require.NoError(t, old.Release(context.Background()))
	released := time.Now()
	require.Eventually(t, mayAct(next), 3*testHandoverDelay, time.Millisecond)
	require.GreaterOrEqual(t, time.Since(released), testHandoverDelay)
	g, _ := next.Grant()
	require.Greater(t, g.Token, oldToken)

	other := legacyLessee(t, address, "other")
	for end := time.Now().Add(3 * testTTL); time.Now().Before(end); time.Sleep(testTTL / 3) {
		step(t, other)
		_, held := other.Grant()
		require.False(t, held, "two holders at once")
	}
	require.True(t, mayAct(next)())
	g, _ = next.Grant()
	stopNext()
	back := step(t, other)
	require.Greater(t, back.Token, g.Token)
}

// TestSuccessorTakesLegacyLeaseAtOnce has a process of this version end without releasing its
// leases. Its successor of this version must not wait for the legacy lease, which has a long TTL.
func TestSuccessorTakesLegacyLeaseAtOnce(t *testing.T) {
	fake, address := newStore(t)
	first, stopFirst := runAuthority(t, address, "a")
	require.Eventually(t, mayAct(first), soon, time.Millisecond)
	fake.SetFaults(fleetstore.Faults{Down: true})
	stopFirst()
	fake.SetFaults(fleetstore.Faults{})
	next, _ := runAuthority(t, address, "b")
	require.Eventually(t, mayAct(next), 2*(testTTL+testHandoverDelay), time.Millisecond)
}
