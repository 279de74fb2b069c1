package notice

import (
	"net/http"
	"strconv"
	"time"
)

// maxRest bounds the rest that an instance can ask for.
const maxRest = time.Hour

// RequestedBackoff returns for how long an instance that turned a request away wants nothing more, by
// the head of its answer; 0 if it does not say so in seconds.
func RequestedBackoff(status int, h http.Header) time.Duration {
	s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if status != http.StatusServiceUnavailable || err != nil || !(s > 0) {
		return 0
	}
	return time.Duration(min(s, maxRest.Seconds()) * float64(time.Second))
}
