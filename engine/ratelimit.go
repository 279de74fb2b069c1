package engine

import (
	"math"
	"strconv"
	"strings"
)

// maxRate bounds the rates that are kept, in requests a second: no instance takes more.
const maxRate = 1e6

// RateLimit is what an answer says of the rate of requests that its instance takes from all
// processes together. An answer that names none says that there is none any more.
type RateLimit struct {
	Limited bool
	// PerSecond is the rate in requests a second, if Limited. It may be 0.
	PerSecond float64
	// Unreadable is the text of a rate that cannot be used, which says nothing either way; empty
	// if there is none.
	Unreadable string
}

// ReadRateLimit reads the header in which an instance names the rate, empty if it names none.
func ReadRateLimit(text string) RateLimit {
	if text == "" {
		return RateLimit{}
	}
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	outside := err != nil && !math.IsInf(rate, 1)
	if outside || !(rate >= 0) {
		return RateLimit{Unreadable: text}
	}
	return RateLimit{Limited: true, PerSecond: min(rate, maxRate)}
}
