//go:build labclock

package wallclock

import (
	"os"
	"strings"
	"time"
)

// offset reads the file at each call, so that a test can change the clock at any time. The offset is 0
// if the file does not exist or cannot be parsed.
func offset() time.Duration {
	text, err := os.ReadFile(os.Getenv(OffsetFileVariable))
	if err != nil {
		return 0
	}
	d, err := time.ParseDuration(strings.TrimSpace(string(text)))
	if err != nil {
		return 0
	}
	return d
}
