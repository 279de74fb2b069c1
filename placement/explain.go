package placement

import (
	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fleet"
)

// Candidate says how one permitted instance looks for a job.
type Candidate struct {
	Instance string      `json:"instance"`
	Domain   string      `json:"domain"`
	Role     engine.Role `json:"role,omitempty"`
	// Load is what all processes have in hand there.
	Load Load `json:"load"`
	// Uncached, AheadMs and ReadMs are the estimates for an engine that reads.
	Uncached     int     `json:"uncached,omitempty"`
	QueueDelayMs float64 `json:"aheadMs,omitempty"`
	PrefillMs    float64 `json:"readMs,omitempty"`
	// Score is compared among instances of the same role; the least wins.
	Score float64 `json:"score"`
	// Slowdown is how much longer an engine takes to read than the model says.
	Slowdown float64 `json:"pace"`
	// GapMs is the usual time between two events of a stream.
	GapMs float64 `json:"gapMs,omitempty"`
	// Failures is the share of recent requests that failed.
	Failures float64 `json:"failures"`
	// Unavailable says why the instance gets nothing now, empty if it may.
	Unavailable string `json:"why,omitempty"`
}

// Explain returns how each permitted instance looks for a job, without placing it; of a subject's home
// group, if there are several.
func (p *Placer) Explain(j *Job) []Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settleDomain(j)
	j.AwaitsRateLimit = true // it is no demand
	if groups := j.groups(); len(groups) > 1 && j.Call.Subject() != "" {
		j.Permitted = groups[p.homeGroup(j, len(groups))]
	}
	readers, runners := p.split(j)
	usual := p.usualGap(runners)
	keepers := p.keepers(j, partsOf(j.Call), readers)
	var out []Candidate
	for _, i := range j.Permitted {
		st := p.state(i)
		c := Candidate{Instance: i.ID, Domain: i.Domain, Role: i.Role, Load: p.load(st), Slowdown: st.pace, GapMs: st.gap, Failures: st.failures, Unavailable: p.why(j, i, st)}
		if i.Role == engine.RolePrefill {
			e := p.estimate(j, i, keepers, p.rankOf(j.Route, false))
			c.Uncached, c.QueueDelayMs, c.PrefillMs, c.Score = e.uncached, e.ahead, e.read, e.score
		} else {
			c.Score = p.runnerScore(j, i, st, usual)
		}
		out = append(out, c)
	}
	return out
}

// why says why an instance gets no request now.
func (p *Placer) why(j *Job, i *fleet.Instance, st *state) string {
	switch {
	case p.changing(i):
		return "is changing its role"
	case st.replaced:
		return "has lost its address to another"
	case !p.allows(st, p.now()):
		return "fails all that it gets"
	case !p.withinLimit(j, i):
		return "limits its rate of requests and takes no more now"
	case i.Role != engine.RolePrefill && p.full(&j.Service, i, st):
		return "is full"
	}
	return ""
}
