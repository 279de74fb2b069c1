package placement

import (
	"slices"
	"time"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fleet"
)

// Limiter knows the rates of requests that runs of instances take from all processes together.
type Limiter interface {
	// AnyLimited reports whether any run limits its rate.
	AnyLimited() bool
	// Limited reports whether a run limits its rate.
	Limited(run string) bool
	// CheckGrant reports whether a request may be sent to a run now. It counts as demand, unless it has
	// been counted before.
	CheckGrant(run string, counted bool) bool
	// UseGrant counts a request that is sent to a run. Granted is true if the run limits its rate; ok is
	// false if the request may not be sent.
	UseGrant(run string) (granted, ok bool)
	// RetryAfter returns when a request that a run does not take now may come back, 0 if the run limits
	// nothing.
	RetryAfter(run string) time.Duration
}

// limits reports whether any instance limits its rate; without, the names of runs need not be made.
func (p *Placer) limits() bool { return p.limiter != nil && p.limiter.AnyLimited() }

// withinLimit reports whether an instance's rate limit lets a job through.
func (p *Placer) withinLimit(j *Job, i *fleet.Instance) bool {
	return !p.limits() || p.limiter.CheckGrant(i.RunID(), j.AwaitsRateLimit)
}

// tie returns what decides between instances that are as fit, at random so that processes which see the
// same loads spread. One that limits its rate goes first: what it takes now would lapse.
func (p *Placer) tie(i *fleet.Instance) float64 {
	if p.limits() && p.limiter.Limited(i.RunID()) {
		return 0
	}
	return p.random() * tieBreak
}

// take counts the send that a plan leads to against the rate limit of its instance. If that takes no
// more after all, the plan has no instance.
func (p *Placer) take(i *fleet.Instance, plan *Plan) bool {
	if !p.limits() {
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

// reserve takes a request of a runner before a prompt is read, if all runners limit their rates: prompts
// that were read would else wait for what others take meanwhile. If none takes one more, the plan has
// no instance.
func (p *Placer) reserve(t *Ticket, plan *Plan, j *Job, runners []*fleet.Instance) bool {
	if !p.limits() || slices.ContainsFunc(runners, func(r *fleet.Instance) bool { return !p.limiter.Limited(r.RunID()) }) {
		return true
	}
	run := *plan
	if p.chooseRunner(&run, j, runners); run.Target == nil || !p.take(run.Target, &run) {
		*plan = Plan{Reason: run.Reason, RetryAfter: run.RetryAfter, Uncached: plan.Uncached}
		return false
	}
	t.reserved = run.Target.ID
	return true
}

// reserved returns the runner that was reserved for a job, nil if there is none or it is not to be used
// any more.
func (p *Placer) reserved(t *Ticket, j *Job) *fleet.Instance {
	if t.reserved == "" {
		return nil
	}
	for _, i := range j.Permitted {
		if st := p.state(i); i.ID == t.reserved && !j.Avoid[i.ID] && !p.changing(i) && !st.replaced && i.Role != engine.RolePrefill {
			return i
		}
	}
	return nil
}

// explainNone says of a plan without an instance whether that is due to rate limits, and when to come
// back: the limited instances together take what wants to be sent in the harmonic sum of their times.
func (p *Placer) explainNone(plan *Plan, j *Job) {
	if !p.limits() {
		return
	}
	perSecond := 0.0
	for _, i := range j.Permitted {
		if after := p.limiter.RetryAfter(i.RunID()); after > 0 && !j.Avoid[i.ID] {
			perSecond += 1 / after.Seconds()
		}
	}
	if perSecond > 0 {
		plan.Reason, plan.RetryAfter = ReasonLimited, max(time.Duration(float64(time.Second)/perSecond), minRetry)
	}
}
