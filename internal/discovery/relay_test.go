package discovery_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/discovery"
	"github.com/rockdoor/rockdoor/internal/feed"
	"github.com/rockdoor/rockdoor/internal/standin/fleetstore"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore"
)

// noConfig is the part of a relay whose schedulers don't tell their configuration.
type noConfig struct{}

// FetchConfig implements discovery.Relay.
func (noConfig) FetchConfig(context.Context, discovery.ConfigVersions, int, func(discovery.ConfigUpdate)) {
}

// FetchConfigFrom implements discovery.Relay.
func (noConfig) FetchConfigFrom(context.Context, members.Member, discovery.ConfigVersions) (discovery.ConfigUpdate, error) {
	return discovery.ConfigUpdate{}, fault.New(fault.Unavailable, "process does not answer", "not in this test")
}

// OfferConfig implements discovery.Relay.
func (noConfig) OfferConfig(context.Context) {}

// fakeRelay is a relay that returns the updates that a test sends on the channel.
type fakeRelay struct {
	noConfig
	updates chan discovery.RelayUpdate
}

func newFakeRelay() fakeRelay { return fakeRelay{updates: make(chan discovery.RelayUpdate)} }

// FetchFresher implements discovery.Relay.
func (c fakeRelay) FetchFresher(context.Context, time.Duration) (discovery.RelayUpdate, error) {
	return discovery.RelayUpdate{}, fault.New(fault.NotFound, "no other scheduler has a fresher snapshot", "not in this test")
}

// Follow implements discovery.Relay.
func (c fakeRelay) Follow(ctx context.Context, _ feed.Position) (discovery.RelayUpdate, error) {
	select {
	case f := <-c.updates:
		return f, nil
	case <-ctx.Done():
		return discovery.RelayUpdate{}, ctx.Err()
	}
}

// sendUpdate delivers an update from the scheduler that the process follows.
func sendUpdate(relay fakeRelay, full bool, revision int, events ...objstore.Event) {
	relay.updates <- updateWith(full, revision, events...)
}

func updateWith(full bool, revision int, events ...objstore.Event) discovery.RelayUpdate {
	return discovery.RelayUpdate{
		Update: feed.Update{Full: full, Events: events}, InstancesRevision: objstore.Revision(revision), Processes: 30, Schedulers: []members.Member{{Name: "other"}},
	}
}

// updateAt returns an update in which one more instance has registered.
func updateAt(revision int) discovery.RelayUpdate {
	return updateWith(false, revision, registered(fmt.Sprint("i-", revision), revision))
}

// registered returns the registration of a ready instance.
func registered(id string, version int) objstore.Event {
	return objstore.Event{Object: objstore.Object{Key: "servers/" + id, Version: objstore.Version(version), Value: []byte(`{"service": "s", "address": "10.0.0.1:80", "phase": "ready", "slots": 4}`)}}
}

// configAt returns a configuration whose version equals that of its object.
func configAt(version int) objstore.Event {
	return objstore.Event{Object: objstore.Object{Key: "config/main", Version: objstore.Version(version), Value: fmt.Appendf(nil, `{"version": %d}`, version)}}
}

// TestLaggingSnapshotRemovesNoInstance has a process change to a scheduler whose data is older than a
// registration that the process knows. The instance must stay; newer data must remove it for good.
func TestLaggingSnapshotRemovesNoInstance(t *testing.T) {
	relay := newFakeRelay()
	view := startFollowing(t, relay)
	sendUpdate(relay, true, 10, registered("i-1", 5), registered("i-2", 10))
	eventually(t, func() bool { return len(view().Usable("s")) == 2 })
	sendUpdate(relay, true, 9, registered("i-1", 5), registered("i-3", 9))
	eventually(t, func() bool { return view().Accepts("s", "i-3") })
	require.True(t, view().Accepts("s", "i-2"), "the scheduler may not have received it yet")
	sendUpdate(relay, true, 11, registered("i-1", 5), registered("i-3", 9))
	eventually(t, func() bool { return !view().Accepts("s", "i-2") })
	sendUpdate(relay, true, 9, registered("i-1", 5), registered("i-2", 10), registered("i-4", 9))
	eventually(t, func() bool { return view().Accepts("s", "i-4") })
	require.False(t, view().Accepts("s", "i-2"), "it has been removed")
}

// sendAgingUpdates delivers, until the test ends, the updates of a scheduler that lost the store at the
// time cut, so that its data gets older and older.
func sendAgingUpdates(t *testing.T, relay fakeRelay, cut time.Time, events ...objstore.Event) {
	sendRepeatedly(t, relay, func() discovery.RelayUpdate {
		return discovery.RelayUpdate{Age: time.Since(cut), ConfigAge: time.Since(cut), InstancesRevision: 1, Processes: 30, Schedulers: []members.Member{{Name: "other"}}, Update: feed.Update{Events: events}}
	})
}

// sendRepeatedly delivers the results of update until the test ends.
func sendRepeatedly(t *testing.T, relay fakeRelay, update func() discovery.RelayUpdate) {
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case relay.updates <- update():
				time.Sleep(10 * time.Millisecond)
			case <-stop:
				return
			}
		}
	}()
}

// TestAllWatchersAreCutOff covers watchers that have lost the store, so that a process which follows
// them receives data that gets older and older. The process must learn of a change from the store within
// the propagation limit, without reading the store all the time.
func TestAllWatchersAreCutOff(t *testing.T) {
	relay := newFakeRelay()
	fake := fleetstore.New()
	view := startFollowingOn(t, fake, relay)
	setConfig(fake, 2)
	setInstance(fake, "i-1", "draining")
	cut := time.Now()
	sendAgingUpdates(t, relay, cut,
		configAt(1),
		registered("i-1", 1),
	)
	require.Eventually(t, func() bool { return version(view()) == 1 && view().Accepts("s", "i-1") }, propagationLimit/2, tick)
	require.Eventually(t, func() bool { return version(view()) == 2 && !view().Accepts("s", "i-1") }, propagationLimit-time.Since(cut), tick)
	before := fake.Calls()
	time.Sleep(propagationLimit / 2)
	require.LessOrEqual(t, fake.Calls()-before, 6)
	require.Equal(t, int64(2), version(view()), "older data changes nothing")
	require.False(t, view().Accepts("s", "i-1"))
}

// unavailableRelay is a relay for which no scheduler answers.
type unavailableRelay struct{ noConfig }

// Follow implements discovery.Relay.
func (unavailableRelay) Follow(context.Context, feed.Position) (discovery.RelayUpdate, error) {
	return discovery.RelayUpdate{}, fault.New(fault.Unavailable, "no scheduler answers", "not in this test")
}

// FetchFresher implements discovery.Relay.
func (unavailableRelay) FetchFresher(context.Context, time.Duration) (discovery.RelayUpdate, error) {
	return discovery.RelayUpdate{}, fault.New(fault.Unavailable, "no scheduler answers", "not in this test")
}

// TestRegistrationExpiredBeforeDirectReadIsKept covers a follower that reads the store directly after an outage.
// Registrations that expire in an outage must stay in use for a while, since the platform then drops those of
// instances that still run. Such a process once removed them at once, as its failed reads were not recorded as an
// outage.
func TestRegistrationExpiredBeforeDirectReadIsKept(t *testing.T) {
	relay := newFakeRelay()
	fake := fleetstore.New()
	view := startFollowingOn(t, fake, relay)
	setConfig(fake, 1)
	setInstance(fake, "i-1", "ready")
	cut := time.Now()
	sendAgingUpdates(t, relay, cut,
		configAt(1),
		registered("i-1", 1),
	)
	eventually(t, func() bool { return view().Accepts("s", "i-1") })
	fake.SetFaults(fleetstore.Faults{Down: true})
	time.Sleep(propagationLimit + propagationLimit/10 - time.Since(cut)) // it has read the store without success
	fake.Remove("servers", "i-1")
	fake.SetFaults(fleetstore.Faults{})
	require.Eventually(t, func() bool { return view().InstancesAge() < propagationLimit/2 }, 4*propagationLimit, time.Millisecond)
	require.NotNil(t, view().Instances["i-1"], "it was removed at once")
	eventually(t, func() bool { return view().Instances["i-1"] == nil })
}

// staleSnapshotRelay is a relay that returns a fresh snapshot which still contains a removed instance, as
// from a process that keeps it because it has lost the store too.
type staleSnapshotRelay struct {
	unavailableRelay
	instance objstore.Event
}

// FetchFresher implements discovery.Relay.
func (s staleSnapshotRelay) FetchFresher(context.Context, time.Duration) (discovery.RelayUpdate, error) {
	return updateWith(true, 1, s.instance), nil
}

// TestFetchedSnapshotDoesNotExtendUseOfExpiredInstance covers two watchers that lose the store for a moment, in which
// an instance is removed. The first one recovers and still keeps the instance for a short time. In this time the second
// one fetches a snapshot from it. When the second one counted the time for which it may keep the instance from the age
// of that snapshot, 13 of 96 requests reached the instance beyond the propagation limit.
func TestFetchedSnapshotDoesNotExtendUseOfExpiredInstance(t *testing.T) {
	fake := fleetstore.New()
	setInstance(fake, "i-1", "ready")
	view := startOn(t, fake, staleSnapshotRelay{instance: registered("i-1", 1)})
	eventually(t, func() bool { return view().Accepts("s", "i-1") })
	fake.SetFaults(fleetstore.Faults{DownKind: "servers"})
	eventually(t, func() bool { return !view().StoreUp })
	fake.Remove("servers", "i-1")
	removed := time.Now()
	eventually(t, func() bool { return view().InstancesAge() > propagationLimit*3/10 })
	require.Eventually(t, func() bool { return view().InstancesAge() < propagationLimit/4 }, 2*propagationLimit, time.Millisecond, "a snapshot is fetched")
	require.True(t, view().Accepts("s", "i-1"))
	fake.SetFaults(fleetstore.Faults{})
	eventually(t, func() bool { return view().StoreUp })
	time.Sleep(max(propagationLimit-time.Since(removed), propagationLimit/10))
	require.False(t, view().Accepts("s", "i-1"), "removed %s ago", time.Since(removed))
}

// TestLaggingSnapshotDoesNotRestoreAnExpiredInstance covers a process that keeps an instance for a while, since its
// registration went missing after a failed read, and then receives a snapshot of a process that has not seen the removal.
func TestLaggingSnapshotDoesNotRestoreAnExpiredInstance(t *testing.T) {
	relay := newFakeRelay()
	fake := fleetstore.New()
	view := startFollowingOn(t, fake, relay)
	setConfig(fake, 1)
	setInstance(fake, "i-1", "ready")
	var lagging atomic.Bool
	lost := time.Now()
	sendRepeatedly(t, relay, func() discovery.RelayUpdate {
		f := updateWith(lagging.Load(), 1, configAt(1), registered("i-1", 1))
		f.Age, f.ConfigAge = time.Since(lost), time.Since(lost)
		return f
	})
	eventually(t, func() bool { return view().Accepts("s", "i-1") })
	lagging.Store(true)
	fake.SetFaults(fleetstore.Faults{Down: true})
	require.Eventually(t, func() bool { return !view().StoreUp && time.Since(lost) > propagationLimit }, 2*propagationLimit, tick)
	fake.SetFaults(fleetstore.Faults{})
	fake.Remove("servers", "i-1")
	require.Eventually(t, func() bool { i := view().Instances["i-1"]; return i == nil || i.Expired }, 4*propagationLimit, time.Millisecond)
	require.Eventually(t, func() bool { return view().Instances["i-1"] == nil }, 2*expiredRetention, tick)
}

// TestAnOlderRemovalLeavesANewerRegistration has a process change to a scheduler that lags behind, and receive from it
// the removal of an earlier registration of an instance that has registered again since. The process once removed the
// instance, and then ignored the newer registration as one of a removed version.
func TestAnOlderRemovalLeavesANewerRegistration(t *testing.T) {
	relay := newFakeRelay()
	view := startFollowing(t, relay)
	sendUpdate(relay, true, 12, registered("i-1", 12))
	eventually(t, func() bool { return view().Accepts("s", "i-1") })
	sendUpdate(relay, true, 6, registered("i-1", 5))
	removal := registered("i-1", 5)
	removal.Deleted, removal.Object.Value = true, nil
	sendUpdate(relay, false, 8, removal)
	sendUpdate(relay, false, 12, registered("i-1", 12), registered("i-2", 12))
	eventually(t, func() bool { return view().Accepts("s", "i-2") })
	require.True(t, view().Accepts("s", "i-1"))
}

// notReadyRelay is a relay whose schedulers answer that they are not ready.
type notReadyRelay struct{ noConfig }

// Follow implements discovery.Relay.
func (notReadyRelay) Follow(context.Context, feed.Position) (discovery.RelayUpdate, error) {
	return discovery.RelayUpdate{}, fault.New(fault.Denied, "scheduler is not ready", "not in this test")
}

// FetchFresher implements discovery.Relay.
func (notReadyRelay) FetchFresher(context.Context, time.Duration) (discovery.RelayUpdate, error) {
	return discovery.RelayUpdate{}, fault.New(fault.Denied, "scheduler is not ready", "not in this test")
}

// TestAProcessWaitsForSchedulersThatStart checks that a process that is not ready does not read the store
// while the schedulers answer that they are not ready either, and that it does so after a while.
func TestAProcessWaitsForSchedulersThatStart(t *testing.T) {
	fake := fleetstore.New()
	setConfig(fake, 1)
	for n := range members.MaxFullMesh + 2 {
		setMember(t, fake, fmt.Sprint("m-", n))
	}
	view := startOn(t, fake, notReadyRelay{})
	time.Sleep(testTimeout / 2)
	before := fake.Calls()
	time.Sleep(testTimeout)
	require.Equal(t, before, fake.Calls())
	require.False(t, view().Ready())
	require.Eventually(t, func() bool { return view().Ready() }, 3*testTimeout, 10*tick)
}

// TestAgeCountsFromTheReceipt has an update wait until a large one before it has been applied. The time that it waits
// must add to the age of its data.
func TestAgeCountsFromTheReceipt(t *testing.T) {
	const tolerance = 50 * time.Millisecond
	relay := newFakeRelay()
	fake := fleetstore.New()
	view := startFollowingOn(t, fake, relay)
	sendUpdate(relay, true, 1, configAt(1), registered("i-0", 1))
	eventually(t, func() bool { return view().Accepts("s", "i-0") })
	fake.SetFaults(fleetstore.Faults{Down: true}) // so that only updates confirm anything
	var many []objstore.Event
	for n := range 40_000 {
		many = append(many, registered(fmt.Sprint("i-", n), 2))
	}
	sendUpdate(relay, false, 2, many...)
	sendUpdate(relay, false, 3, configAt(2))
	received := bootclock.Now()
	require.Eventually(t, func() bool { return version(view()) == 2 }, 10*testTimeout, tick)
	require.Greater(t, bootclock.Since(received), 2*tolerance, "it had to wait")
	require.LessOrEqual(t, view().InstancesConfirmedAt, received.Add(tolerance))
	require.LessOrEqual(t, view().ConfigConfirmedAt, received.Add(tolerance))
}
