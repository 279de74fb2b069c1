package discovery_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/discovery"
	"github.com/rockdoor/rockdoor/internal/feed"
	"github.com/rockdoor/rockdoor/internal/standin/fleetstore"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore"
)

// copies is a relay that hands out what a test puts in.
type copies chan discovery.RelayUpdate

// FetchFresher implements discovery.Relay.
func (c copies) FetchFresher(context.Context, time.Duration) (discovery.RelayUpdate, error) {
	return discovery.RelayUpdate{}, fault.New(fault.NotFound, "no other scheduler has a fresher copy", "none in a test")
}

// Follow implements discovery.Relay.
func (c copies) Follow(ctx context.Context, _ feed.Position) (discovery.RelayUpdate, error) {
	select {
	case f := <-c:
		return f, nil
	case <-ctx.Done():
		return discovery.RelayUpdate{}, ctx.Err()
	}
}

// tell has a process hear from the scheduler that it follows.
func tell(relay copies, full bool, revision int, events ...objstore.Event) {
	relay <- followedWith(full, revision, events...)
}

func followedWith(full bool, revision int, events ...objstore.Event) discovery.RelayUpdate {
	return discovery.RelayUpdate{
		Update: feed.Update{Full: full, Events: events}, InstancesRevision: objstore.Revision(revision), Processes: 30, Schedulers: []members.Member{{Name: "other"}},
	}
}

// followedAt is what a scheduler says after one more instance has registered.
func followedAt(revision int) discovery.RelayUpdate {
	return followedWith(false, revision, registered(fmt.Sprint("i-", revision), revision))
}

// registered is the registration of an instance that is ready.
func registered(id string, version int) objstore.Event {
	return objstore.Event{Object: objstore.Object{Key: "servers/" + id, Version: objstore.Version(version), Value: []byte(`{"service": "s", "address": "10.0.0.1:80", "phase": "ready", "slots": 4}`)}}
}

// configAt is a configuration whose version is that of its object too.
func configAt(version int) objstore.Event {
	return objstore.Event{Object: objstore.Object{Key: "config/main", Version: objstore.Version(version), Value: fmt.Appendf(nil, `{"version": %d}`, version)}}
}

// TestACopyThatIsBehindTakesNothingOut has a process change to a scheduler whose copy is older
// than a registration that it knows: the instance stays, and a copy that is newer takes it
// out for good.
func TestACopyThatIsBehindTakesNothingOut(t *testing.T) {
	relay := make(copies)
	view := startFollowing(t, relay)
	tell(relay, true, 10, registered("i-1", 5), registered("i-2", 10))
	eventually(t, func() bool { return len(view().Usable("s")) == 2 })
	tell(relay, true, 9, registered("i-1", 5), registered("i-3", 9))
	eventually(t, func() bool { return view().Accepts("s", "i-3") })
	require.True(t, view().Accepts("s", "i-2"), "the copy may not have it yet")
	tell(relay, true, 11, registered("i-1", 5), registered("i-3", 9))
	eventually(t, func() bool { return !view().Accepts("s", "i-2") })
	tell(relay, true, 9, registered("i-1", 5), registered("i-2", 10), registered("i-4", 9))
	eventually(t, func() bool { return view().Accepts("s", "i-4") })
	require.False(t, view().Accepts("s", "i-2"), "it has gone")
}

// tellOlder has a process hear, until the test ends, what a scheduler has that was cut off from
// the store at a time: a copy that gets older and older.
func tellOlder(t *testing.T, relay copies, cut time.Time, events ...objstore.Event) {
	keepTelling(t, relay, func() discovery.RelayUpdate {
		return discovery.RelayUpdate{Age: time.Since(cut), InstancesRevision: 1, Processes: 30, Schedulers: []members.Member{{Name: "other"}}, Update: feed.Update{Events: events}}
	})
}

// keepTelling has a process hear, until the test ends, what a scheduler has.
func keepTelling(t *testing.T, relay copies, has func() discovery.RelayUpdate) {
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case relay <- has():
				time.Sleep(10 * time.Millisecond)
			case <-stop:
				return
			}
		}
	}()
}

// TestAllWatchersAreCutOff has those that a process follows answer it with copies that get
// older and older, as watchers do that are cut off from the store: the process learns of a
// change from the store itself within the bound, and does not ask it all the time.
func TestAllWatchersAreCutOff(t *testing.T) {
	relay := make(copies)
	fake := fleetstore.New()
	view := followingOn(t, fake, relay)
	setConfig(fake, 2)
	setInstance(fake, "i-1", "draining")
	cut := time.Now()
	tellOlder(t, relay, cut,
		configAt(1),
		registered("i-1", 1),
	)
	require.Eventually(t, func() bool { return version(view()) == 1 && view().Accepts("s", "i-1") }, within/2, tick)
	require.Eventually(t, func() bool { return version(view()) == 2 && !view().Accepts("s", "i-1") }, within-time.Since(cut), tick)
	before := fake.Calls()
	time.Sleep(within / 2)
	require.LessOrEqual(t, fake.Calls()-before, 6)
	require.Equal(t, int64(2), version(view()), "older copies change nothing")
	require.False(t, view().Accepts("s", "i-1"))
}

// deaf is a relay in which no scheduler answers.
type deaf struct{}

// Follow implements discovery.Relay.
func (deaf) Follow(context.Context, feed.Position) (discovery.RelayUpdate, error) {
	return discovery.RelayUpdate{}, fault.New(fault.Unavailable, "no scheduler answers", "none in a test")
}

// FetchFresher implements discovery.Relay.
func (deaf) FetchFresher(context.Context, time.Duration) (discovery.RelayUpdate, error) {
	return discovery.RelayUpdate{}, fault.New(fault.Unavailable, "no scheduler answers", "none in a test")
}

// A watcher keeps a registration that lapsed while the store was away, since the platform then
// drops those of instances that still run. A process that looked at the store itself took them
// out at once: of its failed looks nobody was told, so that the store had not been away.
func TestLapsedAsAProcessSeesItThatLooksItself(t *testing.T) {
	relay := make(copies)
	fake := fleetstore.New()
	view := followingOn(t, fake, relay)
	setConfig(fake, 1)
	setInstance(fake, "i-1", "ready")
	cut := time.Now()
	tellOlder(t, relay, cut,
		configAt(1),
		registered("i-1", 1),
	)
	eventually(t, func() bool { return view().Accepts("s", "i-1") })
	fake.SetFaults(fleetstore.Faults{Down: true})
	time.Sleep(within + within/10 - time.Since(cut)) // it has looked in vain
	fake.Remove("servers", "i-1")
	fake.SetFaults(fleetstore.Faults{})
	require.Eventually(t, func() bool { return view().InstancesAge() < within/2 }, 4*within, time.Millisecond)
	require.NotNil(t, view().Instances["i-1"], "it went at once")
	eventually(t, func() bool { return view().Instances["i-1"] == nil })
}

// stillHas is a relay in which another process keeps an instance that has gone, as one does that has lost the
// store too, and is young otherwise.
type stillHas struct {
	deaf
	instance objstore.Event
}

// FetchFresher implements discovery.Relay.
func (s stillHas) FetchFresher(context.Context, time.Duration) (discovery.RelayUpdate, error) {
	return followedWith(true, 1, s.instance), nil
}

// Two watchers had lost the store for a moment, in which an instance went. One was back and kept it for less
// than a tick; the other copied just then, and counted the time for which it may keep the instance from the age
// of that copy: 13 of 96 requests reached the instance beyond the bound.
func TestACopyDoesNotProlongWhatHasLapsed(t *testing.T) {
	fake := fleetstore.New()
	setInstance(fake, "i-1", "ready")
	view := startOn(t, fake, stillHas{instance: registered("i-1", 1)})
	eventually(t, func() bool { return view().Accepts("s", "i-1") })
	fake.SetFaults(fleetstore.Faults{DownKind: "servers"})
	eventually(t, func() bool { return !view().StoreUp })
	fake.Remove("servers", "i-1")
	removed := time.Now()
	eventually(t, func() bool { return view().InstancesAge() > within/2 })
	require.Eventually(t, func() bool { return view().InstancesAge() < within/4 }, 2*within, time.Millisecond, "it copies")
	require.True(t, view().Accepts("s", "i-1"))
	fake.SetFaults(fleetstore.Faults{})
	eventually(t, func() bool { return view().StoreUp })
	time.Sleep(max(within-time.Since(removed), within/10))
	require.False(t, view().Accepts("s", "i-1"), "it left %s ago", time.Since(removed))
}

// A process changed from a scheduler to one that was behind, and then heard from this one that
// an earlier registration of an instance, which had come back since, was removed. It took the
// instance out and left the newer registration out too, as of a version that had gone.
func TestAnOlderRemovalLeavesANewerRegistration(t *testing.T) {
	relay := make(copies)
	view := startFollowing(t, relay)
	tell(relay, true, 12, registered("i-1", 12))
	eventually(t, func() bool { return view().Accepts("s", "i-1") })
	tell(relay, true, 6, registered("i-1", 5))
	gone := registered("i-1", 5)
	gone.Deleted, gone.Object.Value = true, nil
	tell(relay, false, 8, gone)
	tell(relay, false, 12, registered("i-1", 12), registered("i-2", 12))
	eventually(t, func() bool { return view().Accepts("s", "i-2") })
	require.True(t, view().Accepts("s", "i-1"))
}

// refusing is a relay whose schedulers answer that they are not ready.
type refusing struct{}

// Follow implements discovery.Relay.
func (refusing) Follow(context.Context, feed.Position) (discovery.RelayUpdate, error) {
	return discovery.RelayUpdate{}, fault.New(fault.Denied, "scheduler is not ready", "none in a test")
}

// FetchFresher implements discovery.Relay.
func (refusing) FetchFresher(context.Context, time.Duration) (discovery.RelayUpdate, error) {
	return discovery.RelayUpdate{}, fault.New(fault.Denied, "scheduler is not ready", "none in a test")
}

// TestAProcessWaitsForSchedulersThatStart checks that a process that is not ready leaves the
// store alone while the schedulers say that they are not ready either, but not for ever.
func TestAProcessWaitsForSchedulersThatStart(t *testing.T) {
	fake := fleetstore.New()
	setConfig(fake, 1)
	for n := range members.MaxFullMesh + 2 {
		setMember(t, fake, fmt.Sprint("m-", n))
	}
	view := startOn(t, fake, refusing{})
	time.Sleep(soon / 2)
	before := fake.Calls()
	time.Sleep(soon)
	require.Equal(t, before, fake.Calls())
	require.False(t, view().Ready())
	require.Eventually(t, func() bool { return view().Ready() }, 3*soon, 10*tick)
}
