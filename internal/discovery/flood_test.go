package discovery_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// burstDuration is how long changes follow one another.
	burstDuration = time.Second
	// maxRequests is the maximum number of requests per feed in this time: one every 80 ms, and a few at both ends.
	maxRequests = 16
)

// TestStoreCallsAreBoundedInBurst has instances register much faster than a process polls: the number of
// calls to the store must depend on the time, not on the number of instances.
func TestStoreCallsAreBoundedInBurst(t *testing.T) {
	fake, view := start(t)
	setConfig(fake, 1)
	setInstance(fake, "i-0", "ready")
	eventually(t, func() bool { return view().Accepts("s", "i-0") })
	before, n := fake.Calls(), 0
	for end := time.Now().Add(burstDuration); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		n++
		setInstance(fake, fmt.Sprint("i-", n), "ready")
	}
	eventually(t, func() bool { return len(view().Usable("s")) == n+1 })
	others := 3 * int(burstDuration/applyLimit) * 2 // watches of the configuration, rules and members
	require.LessOrEqual(t, fake.Calls()-before, maxRequests+others)
	require.Greater(t, n, 10*maxRequests)
}

// TestFollowRequestsAreBoundedInBurst has a scheduler answer each request at once, with a change.
func TestFollowRequestsAreBoundedInBurst(t *testing.T) {
	relay := newFakeRelay()
	view := startFollowing(t, relay)
	requests := 0
	for end := time.After(burstDuration); ; requests++ {
		select {
		case relay.updates <- updateAt(requests + 1):
			continue
		case <-end:
		}
		break
	}
	require.LessOrEqual(t, requests, maxRequests)
	eventually(t, func() bool { return len(view().Usable("s")) >= requests-1 })
}

// TestFirstChangeIsAppliedAtOnce measures how long a single change takes after a quiet time.
func TestFirstChangeIsAppliedAtOnce(t *testing.T) {
	fake, view := start(t)
	setConfig(fake, 1)
	eventually(t, func() bool { return version(view()) == 1 })
	time.Sleep(propagationLimit / 10)
	start := time.Now()
	setInstance(fake, "i-0", "ready")
	eventually(t, func() bool { return view().Accepts("s", "i-0") })
	require.Less(t, time.Since(start), propagationLimit/25)
}
