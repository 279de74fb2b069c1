package notice

import (
	"net/http"
	"strconv"
	"time"
)

// maxBackoff bounds the backoff that an instance can ask for.
const maxBackoff = time.Hour

// RequestedBackoff returns the backoff that an instance asks for by a response with status 503: its
// Retry-After header in seconds, 0 if it is missing or not a positive number.
func RequestedBackoff(status int, h http.Header) time.Duration {
	s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if status != http.StatusServiceUnavailable || err != nil || !(s > 0) {
		return 0
	}
	return time.Duration(min(s, maxBackoff.Seconds()) * float64(time.Second))
}
