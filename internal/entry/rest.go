package entry

import (
	"cmp"
	"time"

	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/internal/attempt"
)

// heed takes in whether the target of an attempt asks for rest.
func (r *run) heed(t *config.Target, a *attempt.Attempt) {
	if rest := a.RestAsked(); rest > 0 {
		r.s.notices.Rests(t.Name, r.c.id, rest)
	}
}

// restLeft returns when the first of the targets that rest wants calls again, otherwise if none
// rests.
func (r *run) restLeft(permitted []*config.Target, otherwise time.Duration) time.Duration {
	var names []string
	for _, t := range permitted {
		names = append(names, t.Name)
	}
	return cmp.Or(r.s.notices.FirstRest(names), otherwise)
}
