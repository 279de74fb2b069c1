package engine

import (
	"math"
	"strconv"
	"strings"
)

// maxRate is the maximum rate, in requests a second. Higher rates are reduced to it, since no
// instance serves more.
const maxRate = 1e6

// RateLimit is the rate limit that an instance announces in a response. It applies to the sum of
// the requests of all processes. A response without a limit revokes an earlier one.
type RateLimit struct {
	Limited bool
	// PerSecond is the rate in requests a second, if Limited. It may be 0.
	PerSecond float64
	// Malformed is the text of a malformed rate, empty if there is none. A malformed rate neither
	// sets nor revokes a limit.
	Malformed string
}

// ParseRateLimit parses the value of the rate limit header, which is empty if the response has no
// such header.
func ParseRateLimit(text string) RateLimit {
	if text == "" {
		return RateLimit{}
	}
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	outside := err != nil && !math.IsInf(rate, 1)
	if outside || !(rate >= 0) {
		return RateLimit{Malformed: text}
	}
	return RateLimit{Limited: true, PerSecond: min(rate, maxRate)}
}
