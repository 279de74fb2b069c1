// Package bootclock reads a clock that keeps running while the process is stopped or the host is
// suspended. Leases and ages are measured with it, since the wall clock can be set and the
// monotonic clock of the Go runtime stops during a suspend.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time since the boot of the host. It has no meaning on other hosts.
type Instant time.Duration

// Now returns the current instant.
func Now() Instant {
	var ts unix.Timespec
	// The call cannot fail for this clock on Linux 2.6.39 and later.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return Instant(ts.Nano())
}

// Since returns the time elapsed since i.
func Since(i Instant) time.Duration { return time.Duration(Now() - i) }

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }
