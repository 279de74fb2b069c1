// Package wallclock reads the host's wall clock. Builds with the tag labclock, for tests only, add an
// offset from a file, to simulate a host whose clock is set wrong.
package wallclock

import "time"

// OffsetFileVariable is the environment variable with the path of the file that holds the offset, such as
// -3.5s. Only builds with the tag labclock read it.
const OffsetFileVariable = "ROCKDOOR_LAB_CLOCK"

// Now returns the time of day by the host's clock.
func Now() time.Time { return time.Now().Add(offset()) }
