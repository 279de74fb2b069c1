package discovery_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/discovery"
	"github.com/rockdoor/rockdoor/internal/standin/fleetstore"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore"
)

// snapshotAge is how much older the snapshot is that the store is restored from in these tests.
const snapshotAge = 300 * time.Millisecond

// startRestored starts a process on a store, has it learn of changes, and then restores the store from a
// snapshot that lacks these changes. In the snapshot i-drains is ready, i-gone exists and i-new does not,
// and i-often has fewer changes, so that its next changes get revisions that were used before.
func startRestored(t *testing.T) (*fleetstore.Server, func() *fleet.View) {
	fake := fleetstore.New()
	fake.SetEra(3)
	setConfig(fake, 1)
	for _, id := range []string{"i-stays", "i-drains", "i-gone", "i-often"} {
		setInstance(fake, id, "ready")
	}
	view := startOn(t, fake, nil)
	eventually(t, func() bool { return len(view().Usable("s")) == 4 })
	time.Sleep(snapshotAge)
	snapshotAt := time.Now()
	for n := range 20 {
		setSlots(fake, "i-often", "ready", 5+n)
	}
	setConfig(fake, 2)
	setInstance(fake, "i-drains", "draining")
	fake.Remove("servers", "i-gone")
	setInstance(fake, "i-new", "ready")
	eventually(t, func() bool {
		return version(view()) == 2 && view().Accepts("s", "i-new") && view().Instances["i-gone"] == nil
	})
	require.False(t, view().Accepts("s", "i-drains"))
	fake.Restore(time.Since(snapshotAt) + snapshotAge/10)
	eventually(t, func() bool { return view().Era == 4 })
	return fake, view
}

// TestStoreRestoredFromOlderSnapshot makes changes after a restore, when the store uses revisions again. Without
// eras, such changes were taken for older than the known data until the revisions had passed the earlier ones: an
// instance that began to drain went on getting requests.
func TestStoreRestoredFromOlderSnapshot(t *testing.T) {
	fake, view := startRestored(t)
	setInstance(fake, "i-often", "draining")
	eventually(t, func() bool { return !view().Accepts("s", "i-often") })
	setInstance(fake, "i-later", "ready")
	eventually(t, func() bool { return view().Accepts("s", "i-later") })
}

// TestRestoredStoreDoesNotRevertKnownChanges restores a snapshot in which instances are ready that have begun to
// drain or were removed since, and which has an older configuration. None of this may come into force again.
func TestRestoredStoreDoesNotRevertKnownChanges(t *testing.T) {
	_, view := startRestored(t)
	for start := time.Now(); time.Since(start) < 2*expiredRetention; time.Sleep(tick) {
		v := view()
		require.False(t, v.Accepts("s", "i-drains"))
		require.False(t, v.Accepts("s", "i-gone"))
		require.Equal(t, int64(2), version(v))
		require.True(t, v.Accepts("s", "i-stays"))
	}
}

// TestInstanceMissingAfterRestoreMayRegisterAgain checks that an instance that is missing from the restored snapshot
// is kept for the time that instances have to register again, and removed after it.
func TestInstanceMissingAfterRestoreMayRegisterAgain(t *testing.T) {
	fake, view := startRestored(t)
	require.True(t, view().Accepts("s", "i-new"))
	time.Sleep(expiredRetention / 3)
	require.True(t, view().Accepts("s", "i-new"))
	setInstance(fake, "i-new", "ready")
	time.Sleep(2 * expiredRetention)
	require.True(t, view().Accepts("s", "i-new"), "it has registered again")

	_, view = startRestored(t)
	eventually(t, func() bool { return view().Instances["i-new"] == nil })
}

// TestWritesAfterRestoreAreApplied checks that what the operator and the instances write after the restore is applied,
// even if its version or revision was used before the restore.
func TestWritesAfterRestoreAreApplied(t *testing.T) {
	fake, view := startRestored(t)
	fake.Set("config", "main", map[string]any{"version": 2, "services": []map[string]any{{"name": "anew"}}})
	eventually(t, func() bool { _, ok := view().Config.Services["anew"]; return ok })
	setInstance(fake, "i-gone", "ready")
	eventually(t, func() bool { return view().Accepts("s", "i-gone") })
	setConfig(fake, 3)
	eventually(t, func() bool { return version(view()) == 3 })
}

// TestRulesStayInForceAfterRestore checks that rules that an operator was told are in force stay in force after a
// restore that lost them, until rules are applied again.
func TestRulesStayInForceAfterRestore(t *testing.T) {
	fake := fleetstore.New()
	fake.SetEra(1)
	view := startOn(t, fake, nil)
	fake.Set("rockdoor-rules", "main", map[string]any{"write": "w", "value": json.RawMessage(onlyA)})
	eventually(t, func() bool { return view().Rules != nil })
	time.Sleep(snapshotAge / 3)
	fake.Restore(snapshotAge)
	eventually(t, func() bool { return view().Era == 2 })
	time.Sleep(5 * applyLimit)
	require.False(t, permits(view(), "b"))
	fake.Set("rockdoor-rules", "main", map[string]any{"write": "w", "value": json.RawMessage(onlyB)})
	eventually(t, func() bool { return permits(view(), "b") })
}

// TestUpdatesOfEarlierEraAreIgnored has a process that has seen a restore receive updates from one that has not, such
// as a process that has lost the store or whose software does not know eras. The age of these updates is low, but they
// are of the store before the restore. The process must ignore them and read the store directly.
func TestUpdatesOfEarlierEraAreIgnored(t *testing.T) {
	fake := fleetstore.New()
	fake.SetEra(2)
	relay := newFakeRelay()
	view := startFollowingOn(t, fake, relay)
	setConfig(fake, 1)
	sendUpdate(relay, true, int(objstore.InEra(2, 30)), objstore.Event{Object: objstore.Object{
		Key: "config/main", Version: objstore.Version(objstore.InEra(2, 30)), Value: []byte(`{"version": 1}`),
	}})
	eventually(t, func() bool { return version(view()) == 1 })
	sendRepeatedly(t, relay, func() discovery.RelayUpdate {
		return discovery.RelayUpdate{Age: time.Millisecond, InstancesRevision: 7, Processes: 30, Schedulers: []members.Member{{Name: "other"}}}
	})
	setConfig(fake, 2)
	require.Eventually(t, func() bool { return version(view()) == 2 }, propagationLimit, tick)
}
