// Package bootclock reads a clock that also counts the time in which the
// process was stopped or the host was suspended. Leases and ages are measured
// on it, since the wall clock can be set and the monotonic clock of the
// language's runtime stands still in a suspend.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time since the host was booted. It has no meaning on another host.
type Instant time.Duration

// Now returns the present instant.
func Now() Instant {
	var ts unix.Timespec
	// The call cannot fail for this clock on Linux 2.6.39 and later.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return Instant(ts.Nano())
}

// Since returns the time that has passed since i.
func Since(i Instant) time.Duration { return time.Duration(Now() - i) }

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }
