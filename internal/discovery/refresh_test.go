package discovery_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/internal/discovery"
	"github.com/rockdoor/rockdoor/internal/standin/fleetstore"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore"
)

// otherSchedulers is a relay whose followed scheduler has lost the store, while other schedulers have newer objects.
type otherSchedulers struct {
	fakeRelay
	newer []objstore.Event
}

// FetchFresher implements discovery.Relay.
func (o otherSchedulers) FetchFresher(context.Context, time.Duration) (discovery.RelayUpdate, error) {
	return updateWith(true, 1, o.newer...), nil
}

// FetchConfig implements discovery.Relay.
func (o otherSchedulers) FetchConfig(_ context.Context, _ discovery.ConfigVersions, _ int, received func(discovery.ConfigUpdate)) {
	u := discovery.ConfigUpdate{From: "fresh", ConfirmedAt: bootclock.Now(), FreshAt: bootclock.Now()}
	for _, e := range o.newer {
		u.Objects = append(u.Objects, e.Object)
	}
	received(u)
}

// TestChangeReachesARejectedFollowerInTime covers a follower that the store rejects while the scheduler that it follows
// has lost the store too. The waits of one source after the other must not add up to more than the limit.
func TestChangeReachesARejectedFollowerInTime(t *testing.T) {
	relay := otherSchedulers{newFakeRelay(), []objstore.Event{configAt(2), registered("i-1", 1)}}
	fake := fleetstore.New()
	view := startFollowingOn(t, fake, relay)
	lost := time.Now()
	sendAgingUpdates(t, relay.fakeRelay, lost, configAt(1), registered("i-1", 1))
	require.Eventually(t, func() bool { return version(view()) == 1 }, propagationLimit/2, tick)
	fake.SetFaults(fleetstore.Faults{Down: true})
	require.Eventually(t, func() bool { return version(view()) == 2 }, propagationLimit-time.Since(lost), tick)
}

// TestRemovalReachesARejectedSchedulerInTime covers a scheduler that the store rejects while its watcher has lost the
// store too. The waits before it asks another process must leave its followers time to learn of a removal.
func TestRemovalReachesARejectedSchedulerInTime(t *testing.T) {
	relay := otherSchedulers{newFakeRelay(), []objstore.Event{configAt(1), registered("i-2", 2)}}
	fake := fleetstore.New()
	view := startFollowingOn(t, fake, relay)
	lost := time.Now()
	sendLostSchedulerUpdates(t, relay.fakeRelay, lost)
	require.Eventually(t, func() bool { return view().Scheduling && view().Accepts("s", "i-1") }, propagationLimit/4, tick)
	fake.SetFaults(fleetstore.Faults{Down: true})
	require.Eventually(t, func() bool { return !view().Accepts("s", "i-1") }, propagationLimit*3/4-time.Since(lost), tick)
}

// TestSchedulerSoonReadsAgainAfterAFailedRead covers a scheduler whose watcher has lost the store and whose own first read
// fails. The pause before the next read must leave its followers time to learn of a removal.
func TestSchedulerSoonReadsAgainAfterAFailedRead(t *testing.T) {
	relay := newFakeRelay()
	fake := fleetstore.New()
	view := startFollowingOn(t, fake, relay)
	setConfig(fake, 1)
	lost := time.Now()
	sendLostSchedulerUpdates(t, relay, lost)
	require.Eventually(t, func() bool { return view().Scheduling && view().Accepts("s", "i-1") }, propagationLimit/4, tick)
	fake.SetFaults(fleetstore.Faults{Down: true})
	require.Eventually(t, func() bool { return !view().StoreUp && view().InstancesAge() > propagationLimit*4/10 }, propagationLimit/2, tick)
	fake.SetFaults(fleetstore.Faults{})
	require.Eventually(t, func() bool { return !view().Accepts("s", "i-1") }, propagationLimit-time.Since(lost), tick)
}

// sendLostSchedulerUpdates delivers, until the test ends, the updates of a watcher that lost the store at the time lost to
// a process that is a scheduler.
func sendLostSchedulerUpdates(t *testing.T, relay fakeRelay, lost time.Time) {
	sendRepeatedly(t, relay, func() discovery.RelayUpdate {
		f := updateWith(false, 1, configAt(1), registered("i-1", 1))
		f.Age, f.ConfigAge = time.Since(lost), time.Since(lost)
		f.Schedulers = append(f.Schedulers, members.Member{Name: "self"})
		return f
	})
}
