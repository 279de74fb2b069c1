package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/internal/attempt"
)

// heed takes in what the target of an attempt says of itself: whether it asks for rest, and whether it
// limits the rate of requests.
func (r *run) heed(t *config.Target, a *attempt.Attempt, sent bootclock.Instant) {
	if rest := a.RequestedBackoff(); rest > 0 {
		r.s.notices.RecordBackoff(t.Name, r.c.id, rest)
	}
	if l, answered := a.RateLimit(); answered {
		r.s.limits.RecordResponse(t.Name, r.c.id, l, sent)
	}
}

// limited reports whether some of the targets limit their rate.
func (r *run) limited(permitted []*config.Target) bool {
	return slices.ContainsFunc(permitted, func(t *config.Target) bool { return r.s.limits.Limited(t.Name) })
}

// wantedAgain returns when the first of the targets that rest or limit their rate wants calls again,
// otherwise if none does.
func (r *run) wantedAgain(permitted []*config.Target, otherwise time.Duration) time.Duration {
	var names []string
	first := time.Duration(0)
	for _, t := range permitted {
		names = append(names, t.Name)
		if after := r.s.limits.RetryAfter(t.Name); after > 0 && (first == 0 || after < first) {
			first = after
		}
	}
	if rest := r.s.notices.ShortestBackoff(names); rest > 0 && (first == 0 || rest < first) {
		first = rest
	}
	return cmp.Or(first, otherwise)
}
