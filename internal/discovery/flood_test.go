package discovery_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// floodFor is for how long changes come one after the other.
	floodFor = time.Second
	// mostAsked is how often a source may be asked meanwhile: every 80 ms, and at the ends.
	mostAsked = 16
)

// TestAFloodOfChangesIsAskedForInParts has instances register much faster than a process asks for changes:
// the calls to the store follow the time, not the instances.
func TestAFloodOfChangesIsAskedForInParts(t *testing.T) {
	fake, view := start(t)
	setConfig(fake, 1)
	setInstance(fake, "i-0", "ready")
	eventually(t, func() bool { return view().Accepts("s", "i-0") })
	before, n := fake.Calls(), 0
	for end := time.Now().Add(floodFor); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		n++
		setInstance(fake, fmt.Sprint("i-", n), "ready")
	}
	eventually(t, func() bool { return len(view().Usable("s")) == n+1 })
	others := 3 * int(floodFor/apply) * 2 // watches of configuration, rules and members
	require.LessOrEqual(t, fake.Calls()-before, mostAsked+others)
	require.Greater(t, n, 10*mostAsked)
}

// TestAFloodOfChangesIsFollowedInParts has a scheduler answer each question at once, with a change.
func TestAFloodOfChangesIsFollowedInParts(t *testing.T) {
	relay := make(copies)
	view := startFollowing(t, relay)
	asked := 0
	for end := time.After(floodFor); ; asked++ {
		select {
		case relay <- followedAt(asked + 1):
			continue
		case <-end:
		}
		break
	}
	require.LessOrEqual(t, asked, mostAsked)
	eventually(t, func() bool { return len(view().Usable("s")) >= asked-1 })
}

// TestTheFirstChangeIsToldAtOnce measures how long one change takes after a calm.
func TestTheFirstChangeIsToldAtOnce(t *testing.T) {
	fake, view := start(t)
	setConfig(fake, 1)
	eventually(t, func() bool { return version(view()) == 1 })
	time.Sleep(within / 10)
	begun := time.Now()
	setInstance(fake, "i-0", "ready")
	eventually(t, func() bool { return view().Accepts("s", "i-0") })
	require.Less(t, time.Since(begun), within/25)
}
