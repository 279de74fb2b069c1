package placement

import (
	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fleet"
)

// Candidate describes how one permitted instance is rated for a job.
type Candidate struct {
	Instance string      `json:"instance"`
	Domain   string      `json:"domain"`
	Software string      `json:"software,omitempty"`
	Role     engine.Role `json:"role,omitempty"`
	// Load is the work in flight there, from all processes.
	Load Load `json:"load"`
	// The estimates of a prefill engine, or of one that may run the request as a whole: uncached prompt
	// tokens, queueing delay and prefill time.
	Uncached     int     `json:"uncached,omitempty"`
	QueueDelayMs float64 `json:"aheadMs,omitempty"`
	PrefillMs    float64 `json:"readMs,omitempty"`
	// Score is comparable between instances of the same role; the lowest score wins.
	Score float64 `json:"score"`
	// Slowdown is the ratio of the engine's measured prefill times to the model's estimates.
	Slowdown float64 `json:"pace"`
	// PrefillSpeed and DecodeSpeed are those of the engine's profile, relative to the typical engine. They
	// are 0 if they are unknown or the service's engines don't differ.
	PrefillSpeed float64 `json:"prefillSpeed,omitempty"`
	DecodeSpeed  float64 `json:"decodeSpeed,omitempty"`
	// GapMs is the smoothed time between two events of a stream.
	GapMs float64 `json:"gapMs,omitempty"`
	// FailureRate is the share of recent requests that failed.
	FailureRate float64 `json:"failures"`
	// Unavailable is the reason why the instance gets no requests at present, empty if it may.
	Unavailable string `json:"why,omitempty"`
}

// Explain rates each permitted instance for a job without placing it. If the pool has several
// groups, it covers the preferred group of the prompt prefix.
func (p *Placer) Explain(j *Job) []Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setDefaultDomain(j)
	j.AwaitsRateLimit = true // explaining a job must not count as demand
	if groups := j.groups(); len(groups) > 1 && j.Call.PromptPrefix() != "" {
		j.Permitted = groups[p.preferredGroup(j, len(groups))]
	}
	prefillEngines, targets := p.eligible(j)
	medianGap := p.medianGap(targets)
	holders := p.cacheHolders(j, sharedParts(j.Call), prefillEngines)
	var wholeHolders cacheHolders
	if p.runsWhole(&j.Service) {
		wholeHolders = p.cacheHolders(j, holders.parts, targets)
	}
	var out []Candidate
	for _, i := range j.Permitted {
		st := p.state(i)
		c := Candidate{Instance: i.ID, Domain: i.Domain, Software: i.Software, Role: i.Role, Load: p.load(st), Slowdown: st.slowdown, GapMs: st.gapMs, FailureRate: st.failureRate, Unavailable: p.unavailableReason(j, i, st)}
		if st.profile != nil {
			c.PrefillSpeed, c.DecodeSpeed = st.profile.usedPrefillSpeed, st.profile.usedDecodeSpeed
		}
		if i.Role == engine.RolePrefill {
			e := p.estimate(j, i, holders, p.prefillRank(j.Route, false))
			c.Uncached, c.QueueDelayMs, c.PrefillMs, c.Score = e.uncached, e.queueMs, e.prefillMs, e.score
		} else {
			c.Score = p.targetScore(j, i, st, medianGap)
			if p.runsWhole(&j.Service) {
				e := p.estimateWhole(j, i, wholeHolders)
				c.Uncached, c.QueueDelayMs, c.PrefillMs = e.uncached, e.queueMs, e.prefillMs
			}
		}
		out = append(out, c)
	}
	return out
}

// Preview returns the plan for a job without placing it. It covers all groups, as placing it would.
func (p *Placer) Preview(j *Job) Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setDefaultDomain(j)
	j.AwaitsRateLimit = true
	c := p.chooseGroup(j, nil, p.choose)
	return c.plan
}

// unavailableReason returns why an instance gets no requests at present, empty if it may get them.
func (p *Placer) unavailableReason(j *Job, i *fleet.Instance, st *instanceState) string {
	switch {
	case p.isChangingRole(i):
		return "is changing its role"
	case !st.misdirection.canSend(p.now()):
		return "states that requests are not meant for it"
	case !st.silence.canSend(p.now()):
		return "does not respond"
	case !p.breakerCanSend(st, p.now()):
		return "fails all that it gets"
	case !p.withinRateLimit(j, i):
		return "has reached its rate limit"
	case i.Role != engine.RolePrefill && p.isFull(&j.Service, i, st):
		return "is full"
	}
	return ""
}
