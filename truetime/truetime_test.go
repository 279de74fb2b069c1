package truetime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rockdoor/rockdoor/bootclock"
)

// newTestClock returns a clock that reads the given wall and boot-time clocks.
func newTestClock(wall *time.Time, boot *bootclock.Instant) *Clock {
	return newClock(func() time.Time { return *wall }, func() bootclock.Instant { return *boot })
}

// TestAMinorityOfWrongClocksDoesNotCount checks that the time stays between those of the right clocks,
// whichever other clocks are wrong or jump, including the host's own.
func TestAMinorityOfWrongClocksDoesNotCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		right := rapid.IntRange(2, 5).Draw(t, "right")
		wrong := rapid.IntRange(0, right-1).Draw(t, "wrong")
		true0, boot := time.Unix(1_000_000, 0), bootclock.Instant(time.Hour)
		var walls []time.Time
		for range right {
			walls = append(walls, true0.Add(time.Duration(rapid.IntRange(-20, 20).Draw(t, "error"))*time.Millisecond))
		}
		for range wrong {
			walls = append(walls, true0.Add(time.Duration(rapid.IntRange(-9000, 9000).Draw(t, "jump"))*time.Millisecond))
		}
		own := rapid.IntRange(0, len(walls)-1).Draw(t, "own")
		c := newTestClock(&walls[own], &boot)
		for n, w := range walls {
			if n != own {
				c.ObservePeer(string(rune('a'+n)), w)
			}
		}
		require.InDelta(t, 0, c.Now().Sub(true0).Seconds(), 0.0201)
	})
}

func TestSourceTakesPrecedenceWhileValid(t *testing.T) {
	wall, boot := time.Unix(1000, 0), bootclock.Instant(time.Hour)
	c := newTestClock(&wall, &boot)
	c.ObserveSource(time.Unix(2000, 0))
	boot = boot.Add(time.Second)
	wall = time.Unix(3000, 0)
	require.Equal(t, time.Unix(2001, 0), c.Now())
	boot = boot.Add(sampleLifetime)
	require.InDelta(t, 1011, float64(c.Now().Unix()), 1, "the host's own clock, which was set in the meantime")
}

// TestAClockThatIsSetIsFollowedSlowly has the clock of one of two hosts, which a median alone would follow,
// jump and jump back, while the other one drifts.
func TestAClockThatIsSetIsFollowedSlowly(t *testing.T) {
	boot := bootclock.Instant(time.Hour)
	start := time.Unix(1_000_000, 0)
	passed := func() time.Duration { return boot.Sub(bootclock.Instant(time.Hour)) }
	var jump, drift time.Duration
	own := start
	c := newTestClock(&own, &boot)
	other := start
	peer := newTestClock(&other, &boot)
	for step := range 400 {
		boot = boot.Add(100 * time.Millisecond)
		drift += 5 * time.Microsecond
		jump = 0
		if step > 100 && step < 250 {
			jump = -3500 * time.Millisecond
		}
		own = start.Add(passed() + drift)
		other = start.Add(passed() + jump)
		c.ObservePeer("peer", peer.HostTime())
		require.InDelta(t, 0, c.Now().Sub(start.Add(passed())).Seconds(), 0.02, step)
	}
	require.InDelta(t, drift.Seconds(), c.HostTime().Sub(start.Add(passed())).Seconds(), 0.001, "drift is followed")
}
