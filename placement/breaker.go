package placement

import "time"

const (
	// maxConsecutiveFailures is the number of failed attempts in a row that opens the breaker. At an
	// engine that fails a third of its requests, about one in 80 series of four attempts fails as a
	// whole.
	maxConsecutiveFailures = 4
	// maxOpenTime bounds the time between two probes of an instance whose breaker is open.
	maxOpenTime = 4 * time.Second
)

// breaker is a circuit breaker for one instance. Without it, an instance that fails every request
// at once would attract more of them, because it never has requests in flight and looks the least
// loaded, and would use up the retry budget.
type breaker struct {
	probation
	// failures counts consecutive failed attempts. failedAt is the time of the last one.
	failures int
	failedAt time.Time
}

// recordSuccess records a successful attempt and closes the breaker. An attempt that began before
// the last failure is ignored: an instance that rejects new requests may still finish those in
// flight.
func (b *breaker) recordSuccess(startedAt time.Time) {
	if startedAt.After(b.failedAt) {
		*b = breaker{}
	}
}

// recordFailure records a failed attempt. Failures of attempts that began before the breaker opened
// don't extend its open time.
func (b *breaker) recordFailure(now time.Time) {
	b.failures++
	b.failedAt = now
	if b.failures >= maxConsecutiveFailures {
		b.probation.recordFailure(now, maxOpenTime)
	}
}
