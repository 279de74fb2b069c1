package placement

import (
	"slices"
	"time"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fleet"
)

// Limiter tracks the request rate limits of instances, which apply to all processes together. A run
// is one run of an instance, named by its run ID.
type Limiter interface {
	// AnyLimited reports whether any run has a rate limit.
	AnyLimited() bool
	// Limited reports whether a run has a rate limit.
	Limited(run string) bool
	// CheckGrant reports whether a request may be sent to a run now. The request is added to the
	// demand for the run unless counted is true.
	CheckGrant(run string, counted bool) bool
	// UseGrant counts a request that is about to be sent to a run. granted is true if the run has a
	// rate limit; ok is false if the request must not be sent.
	UseGrant(run string) (granted, ok bool)
	// RetryAfter returns the delay after which a request that a run does not accept now should be
	// retried, 0 if the run has no rate limit.
	RetryAfter(run string) time.Duration
}

// anyRateLimited reports whether any instance has a rate limit. If none has, callers need not build
// the run IDs.
func (p *Placer) anyRateLimited() bool { return p.limiter != nil && p.limiter.AnyLimited() }

// withinRateLimit reports whether the instance's rate limit admits the job.
func (p *Placer) withinRateLimit(j *Job, i *fleet.Instance) bool {
	return !p.anyRateLimited() || p.limiter.CheckGrant(i.RunID(), j.AwaitsRateLimit)
}

// tieBreaker returns a random addition to a score, so that processes which see equal loads choose
// different instances. An instance with a rate limit gets none and wins the tie, because a
// grant that is not used now expires.
func (p *Placer) tieBreaker(i *fleet.Instance) float64 {
	if p.anyRateLimited() && p.limiter.Limited(i.RunID()) {
		return 0
	}
	return p.random() * tieBreak
}

// useRateGrant counts the plan's next request against the rate limit of its instance. If the limit
// has been reached in the meantime, it removes the instances from the plan and returns false.
func (p *Placer) useRateGrant(i *fleet.Instance, plan *Plan) bool {
	if !p.anyRateLimited() {
		plan.Granted = false
		return true
	}
	granted, ok := p.limiter.UseGrant(i.RunID())
	if !ok {
		plan.PrefillEngine, plan.Target, plan.FetchFrom = nil, nil, nil
		plan.Reason, plan.RetryAfter = ReasonLimited, p.limiter.RetryAfter(i.RunID())
		return false
	}
	plan.Granted = granted
	return true
}

// reserveTarget takes a request from the rate limit of a target before the prompt is prefilled, if
// all targets have rate limits. Without the reservation the prefilled prompt would wait while other
// requests use up the limit. If no target admits a request, it returns false and a plan without
// instances.
func (p *Placer) reserveTarget(t *Ticket, plan *Plan, j *Job, targets []*fleet.Instance) bool {
	if !p.anyRateLimited() || slices.ContainsFunc(targets, func(r *fleet.Instance) bool { return !p.limiter.Limited(r.RunID()) }) {
		return true
	}
	decodePlan := *plan
	if p.chooseTarget(&decodePlan, j, targets); decodePlan.Target == nil || !p.useRateGrant(decodePlan.Target, &decodePlan) {
		*plan = Plan{Reason: decodePlan.Reason, RetryAfter: decodePlan.RetryAfter, Uncached: plan.Uncached}
		return false
	}
	t.reserved = decodePlan.Target.ID
	return true
}

// reservedTarget returns the target that was reserved for a job, or nil if none was or if it may
// not be used any more.
func (p *Placer) reservedTarget(t *Ticket, j *Job) *fleet.Instance {
	if t.reserved == "" {
		return nil
	}
	for _, i := range j.Permitted {
		if st := p.state(i); i.ID == t.reserved && !j.Avoid[i.ID] && !p.isChangingRole(i) && st.misdirection.canSend(p.now()) && i.Role != engine.RolePrefill {
			return i
		}
	}
	return nil
}

// setRetryAfterProbe sets the retry delay of a plan that has no instance to the time until the first of the misdirected
// instances is probed, if there are any.
func (p *Placer) setRetryAfterProbe(plan *Plan, j *Job) {
	now := p.now()
	for _, i := range j.Permitted {
		m := &p.state(i).misdirection
		if !m.open() || j.Avoid[i.ID] {
			continue
		}
		if wait := max(m.probeAt.Sub(now), minRetryAfter); plan.RetryAfter == 0 || wait < plan.RetryAfter {
			plan.RetryAfter = wait
		}
	}
}

// setRateLimitReason sets the reason and the retry delay of a plan that has no instance because of
// rate limits. The rates of the limited instances add up, so the delay is the inverse of the sum of
// their inverse delays.
func (p *Placer) setRateLimitReason(plan *Plan, j *Job) {
	if !p.anyRateLimited() {
		return
	}
	totalRate := 0.0
	for _, i := range j.Permitted {
		if after := p.limiter.RetryAfter(i.RunID()); after > 0 && !j.Avoid[i.ID] {
			totalRate += 1 / after.Seconds()
		}
	}
	if totalRate > 0 {
		plan.Reason, plan.RetryAfter = ReasonLimited, max(time.Duration(float64(time.Second)/totalRate), minRetryAfter)
	}
}
