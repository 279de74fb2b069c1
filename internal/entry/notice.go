package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/internal/attempt"
)

// recordSignals records the backoff and the rate limit that a target announces in its
// response to an attempt.
func (r *run) recordSignals(t *config.Target, a *attempt.Attempt, sent bootclock.Instant) {
	if backoff := a.RequestedBackoff(); backoff > 0 {
		r.s.notices.RecordBackoff(t.Name, r.c.id, backoff)
	}
	if l, responded := a.RateLimit(); responded {
		r.s.limits.RecordResponse(t.Name, r.c.id, l, sent)
	}
}

// anyRateLimited reports whether any of the targets limits its rate.
func (r *run) anyRateLimited(permitted []*config.Target) bool {
	return slices.ContainsFunc(permitted, func(t *config.Target) bool { return r.s.limits.Limited(t.Name) })
}

// retryAfter returns the shortest time until a target that is in backoff or limits its rate accepts
// calls again. It returns fallback if no target is in backoff or limits its rate.
func (r *run) retryAfter(permitted []*config.Target, fallback time.Duration) time.Duration {
	var names []string
	shortest := time.Duration(0)
	for _, t := range permitted {
		names = append(names, t.Name)
		if after := r.s.limits.RetryAfter(t.Name); after > 0 && (shortest == 0 || after < shortest) {
			shortest = after
		}
	}
	if backoff := r.s.notices.ShortestBackoff(names); backoff > 0 && (shortest == 0 || backoff < shortest) {
		shortest = backoff
	}
	return cmp.Or(shortest, fallback)
}
