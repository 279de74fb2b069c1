package placement

import "time"

const (
	// tripAfter is how many attempts in a row must fail before an instance gets none. An
	// engine that fails a third of its requests does so once in 80 series of four.
	tripAfter = 4
	// firstPause and lastPause bound how long an instance gets none before one request
	// tries it again; each vain try doubles the pause.
	firstPause = 250 * time.Millisecond
	lastPause  = 4 * time.Second
)

// breaker keeps requests away from an instance that fails all of them. One that refuses
// at once never has work in hand, so that it looks like the least loaded of all, and would
// use the retry budget up.
type breaker struct {
	// failed counts the attempts in a row that failed, failedAt is when the last did.
	failed   int
	failedAt time.Time
	// pause is 0 while the breaker is closed.
	pause time.Duration
	// until is when the next request may try the instance, trying is true while one does.
	until  time.Time
	trying bool
}

// allows reports whether the instance may get a request.
func (b *breaker) allows(now time.Time) bool { return b.pause == 0 || !now.Before(b.until) }

// sent notes that a request is sent. While the breaker is open, no other one follows
// before it has ended or the pause has passed once more.
func (b *breaker) sent(now time.Time) {
	if b.pause > 0 {
		b.trying, b.until = true, now.Add(b.pause)
	}
}

// sound takes in that an attempt ended well. One that began before the last failure says
// nothing: an instance that refuses what is new may finish what it has.
func (b *breaker) sound(begun time.Time) {
	if begun.After(b.failedAt) {
		*b = breaker{}
	}
}

// fail takes in that an attempt failed. Those that began before the breaker opened don't
// make the pause longer.
func (b *breaker) fail(now time.Time) {
	b.failed++
	b.failedAt = now
	switch {
	case b.failed < tripAfter:
		return
	case b.pause == 0:
		b.pause = firstPause
	case b.trying:
		b.pause = min(2*b.pause, lastPause)
	default:
		return
	}
	b.trying, b.until = false, now.Add(b.pause)
}
