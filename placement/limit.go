package placement

import (
	"time"

	"github.com/rockdoor/rockdoor/fleet"
)

// Limiter knows the rates of requests that runs of instances take from all processes together.
type Limiter interface {
	// Limited reports whether a run limits its rate.
	Limited(run string) bool
	// Allows reports whether a request may be sent to a run now. It counts as demand.
	Allows(run string) bool
	// Take counts a request that is sent to a run. Granted is true if the run limits its rate; ok is
	// false if the request may not be sent.
	Take(run string) (granted, ok bool)
	// RetryAfter returns when a request that a run does not take now may come back, 0 if the run limits
	// nothing.
	RetryAfter(run string) time.Duration
}

// withinLimit reports whether an instance's rate limit lets a request through.
func (p *Placer) withinLimit(i *fleet.Instance) bool {
	return p.limiter == nil || !p.policy.Has(RateLimits) || p.limiter.Allows(i.Run())
}

// tie returns what decides between instances that are as fit, at random so that processes which see the
// same loads spread. One that limits its rate goes first: what it takes now would lapse.
func (p *Placer) tie(i *fleet.Instance) float64 {
	if p.limiter != nil && p.limiter.Limited(i.Run()) {
		return 0
	}
	return p.random() * tieBreak
}

// take counts the send that a plan leads to against the rate limit of its instance. If that takes no
// more after all, the plan has no instance.
func (p *Placer) take(i *fleet.Instance, plan *Plan) bool {
	if p.limiter == nil || !p.policy.Has(RateLimits) {
		return true
	}
	granted, ok := p.limiter.Take(i.Run())
	if !ok {
		plan.Reader, plan.Runner, plan.FetchFrom = nil, nil, nil
		plan.Reason, plan.RetryAfter = ReasonLimited, p.limiter.RetryAfter(i.Run())
		return false
	}
	plan.Granted = granted
	return true
}

// explainNone says of a plan without an instance whether that is due to rate limits, and when the
// first of the limited instances takes some again.
func (p *Placer) explainNone(plan *Plan, j *Job) {
	if p.limiter == nil {
		return
	}
	for _, i := range j.Permitted {
		after := p.limiter.RetryAfter(i.Run())
		if after == 0 || j.Avoid[i.ID] {
			continue
		}
		if plan.Reason != ReasonLimited || after < plan.RetryAfter {
			plan.Reason, plan.RetryAfter = ReasonLimited, after
		}
	}
}
