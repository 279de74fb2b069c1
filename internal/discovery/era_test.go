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

// before is how much older the copy is with which the store comes back in these tests.
const before = 300 * time.Millisecond

// restored starts a process on a store, has it learn of changes, and has the store come back
// from a copy that lacks them: i-drains was ready in it, i-gone was there, i-new was not, and
// i-often had been changed less often, so that its next changes get revisions that were given
// out before.
func restored(t *testing.T) (*fleetstore.Server, func() *fleet.View) {
	fake := fleetstore.New()
	fake.SetEra(3)
	setConfig(fake, 1)
	for _, id := range []string{"i-stays", "i-drains", "i-gone", "i-often"} {
		setInstance(fake, id, "ready")
	}
	see := startOn(t, fake, nil)
	eventually(t, func() bool { return len(see().Usable("s")) == 4 })
	time.Sleep(before)
	copied := time.Now()
	for n := range 20 {
		setSlots(fake, "i-often", "ready", 5+n)
	}
	setConfig(fake, 2)
	setInstance(fake, "i-drains", "draining")
	fake.Remove("servers", "i-gone")
	setInstance(fake, "i-new", "ready")
	eventually(t, func() bool {
		return version(see()) == 2 && see().Accepts("s", "i-new") && see().Instances["i-gone"] == nil
	})
	require.False(t, see().Accepts("s", "i-drains"))
	fake.Restore(time.Since(copied) + before/10)
	eventually(t, func() bool { return see().Era == 4 })
	return fake, see
}

// A store that comes back from an older copy gives revisions out again. What it said then was
// taken for older than what had been known, until its revisions had passed the former ones:
// here an instance that says that it leaves went on getting requests.
func TestAStoreComesBackFromAnOlderCopy(t *testing.T) {
	fake, see := restored(t)
	setInstance(fake, "i-often", "draining")
	eventually(t, func() bool { return !see().Accepts("s", "i-often") })
	setInstance(fake, "i-later", "ready")
	eventually(t, func() bool { return see().Accepts("s", "i-later") })
}

// The copy says that instances are ready that have said since that they leave, or have gone, and it has
// an older configuration. None of this comes back.
func TestWhatWasKnownDoesNotComeBackWithTheCopy(t *testing.T) {
	_, see := restored(t)
	for begun := time.Now(); time.Since(begun) < 2*lapseKept; time.Sleep(tick) {
		v := see()
		require.False(t, v.Accepts("s", "i-drains"))
		require.False(t, v.Accepts("s", "i-gone"))
		require.Equal(t, int64(2), version(v))
		require.True(t, v.Accepts("s", "i-stays"))
	}
}

// An instance that the copy lacks is used for as long as instances have to write again.
func TestWhatTheCopyLacksHasTimeToBeWrittenAgain(t *testing.T) {
	fake, see := restored(t)
	require.True(t, see().Accepts("s", "i-new"))
	time.Sleep(lapseKept / 3)
	require.True(t, see().Accepts("s", "i-new"))
	setInstance(fake, "i-new", "ready")
	time.Sleep(2 * lapseKept)
	require.True(t, see().Accepts("s", "i-new"), "it has written again")

	_, see = restored(t)
	eventually(t, func() bool { return see().Instances["i-new"] == nil })
}

// What the operator and the instances write anew counts, also under a number that was used before.
func TestWhatIsWrittenAnewCounts(t *testing.T) {
	fake, see := restored(t)
	fake.Set("config", "main", map[string]any{"version": 2, "services": []map[string]any{{"name": "anew"}}})
	eventually(t, func() bool { _, anew := see().Config.Services["anew"]; return anew })
	setInstance(fake, "i-gone", "ready")
	eventually(t, func() bool { return see().Accepts("s", "i-gone") })
	setConfig(fake, 3)
	eventually(t, func() bool { return version(see()) == 3 })
}

// Rules of place that an operator was told to be in force hold on until rules are applied again.
func TestRulesHoldWhereTheStoreComesBackOlder(t *testing.T) {
	fake := fleetstore.New()
	fake.SetEra(1)
	see := startOn(t, fake, nil)
	fake.Set("rockdoor-rules", "main", map[string]any{"write": "w", "value": json.RawMessage(onlyA)})
	eventually(t, func() bool { return see().Rules != nil })
	time.Sleep(before / 3)
	fake.Restore(before)
	eventually(t, func() bool { return see().Era == 2 })
	time.Sleep(5 * apply)
	require.False(t, permits(see(), "b"))
	fake.Set("rockdoor-rules", "main", map[string]any{"write": "w", "value": json.RawMessage(onlyB)})
	eventually(t, func() bool { return permits(see(), "b") })
}

// A process that knows of the store's return gets nothing from one that does not, as one that
// is cut off or of a version that counts no eras: its copies are young, but they are of what
// the store was before. It looks at the store itself.
func TestCopiesOfAnEarlierEraAreNotWaitedFor(t *testing.T) {
	fake := fleetstore.New()
	fake.SetEra(2)
	relay := make(copies)
	see := followingOn(t, fake, relay)
	setConfig(fake, 1)
	tell(relay, true, int(objstore.InEra(2, 30)), objstore.Event{Object: objstore.Object{
		Key: "config/main", Version: objstore.Version(objstore.InEra(2, 30)), Value: []byte(`{"version": 1}`),
	}})
	eventually(t, func() bool { return version(see()) == 1 })
	keepTelling(t, relay, func() discovery.RelayUpdate {
		return discovery.RelayUpdate{Age: time.Millisecond, InstancesRevision: 7, Processes: 30, Schedulers: []members.Member{{Name: "other"}}}
	})
	setConfig(fake, 2)
	require.Eventually(t, func() bool { return version(see()) == 2 }, within, tick)
}
