// Package routing chooses the engine or backend server for a request from those
// that the placement rules permit. To add a policy, implement Policy and add its
// name to New.
package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/selector"
)

// MaxSample is the maximum number of permitted targets scored for one request.
const MaxSample = 32

// Cost is the estimated work of a request.
type Cost struct {
	// PrefillTokens is the number of prompt tokens that are not expected to be cached.
	PrefillTokens int
	// DecodeTokens is the expected number of output tokens.
	DecodeTokens int
}

// Load is the estimated work in flight at a target: the number of requests, and the
// tokens that all of them together still have to prefill and to decode.
type Load struct {
	Requests      int
	PrefillTokens int
	DecodeTokens  int
}

// Add returns the sum of two loads.
func (l Load) Add(m Load) Load {
	return Load{l.Requests + m.Requests, l.PrefillTokens + m.PrefillTokens, l.DecodeTokens + m.DecodeTokens}
}

// Rates describe the speed of a target.
type Rates struct {
	// PrefillPerSecond is the number of prompt tokens prefilled per second. The
	// completion-time policy uses DefaultRates if it is 0.
	PrefillPerSecond float64
	// StepBase and StepPerRequest give the time between two output tokens of a
	// request: StepBase + StepPerRequest * requests in flight.
	StepBase       time.Duration
	StepPerRequest time.Duration
}

// DefaultRates are used for a target whose own rates are not known.
var DefaultRates = Rates{PrefillPerSecond: 20000, StepBase: 12 * time.Millisecond, StepPerRequest: 250 * time.Microsecond}

// Candidate is a permitted target with its load and speed.
type Candidate struct {
	Target *config.Target
	Load   Load
	Rates  Rates
	// BreakerOpen means that the circuit breaker of the target is open because of recent
	// failures. Such a target is chosen only if the breakers of all candidates are.
	BreakerOpen bool
}

// Policy scores candidates; the lowest score wins.
type Policy interface {
	// Score returns the score of c for a request with the given cost.
	Score(cost Cost, c *Candidate) float64
}

// Observer is implemented by policies that need to be told which candidate was chosen.
type Observer interface {
	Chosen(c *Candidate)
}

// Reason states why a target was chosen.
type Reason string

// Reasons of a decision.
const (
	// ReasonBest means that the target had the lowest score.
	ReasonBest Reason = "best-score"
	// ReasonOnly means that the target was the only candidate.
	ReasonOnly Reason = "only-permitted"
	// ReasonLastResort means that the circuit breakers of all candidates are open.
	ReasonLastResort Reason = "last-resort"
	// ReasonNone means that there was no candidate.
	ReasonNone Reason = "none-permitted"
)

// Decision is the result of Choose.
type Decision struct {
	Chosen   *Candidate
	Score    float64
	RunnerUp *Candidate
	// RunnerUpScore is the score of RunnerUp.
	RunnerUpScore float64
	Reason        Reason
	// Considered is how many candidates were scored.
	Considered int
}

// Choose samples at most MaxSample of the candidates and chooses the one with the
// lowest score among them. Candidates whose circuit breaker is open rank behind all
// others. Ties are broken at random, so that processes that see the same loads do
// not all choose the same target. Choose reorders cands.
func Choose(p Policy, cost Cost, cands []Candidate) Decision {
	d := Decision{Score: math.Inf(1), RunnerUpScore: math.Inf(1), Reason: ReasonNone}
	permitted := len(cands)
	if permitted > MaxSample {
		cands = unbroken(cands)
	}
	shuffleFront(cands)
	cands = cands[:min(len(cands), MaxSample)]
	best, second := -1, -1
	for i := range cands {
		score := p.Score(cost, &cands[i])
		switch {
		case best < 0 || less(&cands[i], score, &cands[best], d.Score):
			second, d.RunnerUpScore = best, d.Score
			best, d.Score = i, score
		case second < 0 || less(&cands[i], score, &cands[second], d.RunnerUpScore):
			second, d.RunnerUpScore = i, score
		}
	}
	if best < 0 {
		return d
	}
	d.Considered = len(cands)
	d.Chosen = &cands[best]
	if o, ok := p.(Observer); ok {
		o.Chosen(d.Chosen)
	}
	if second >= 0 {
		d.RunnerUp = &cands[second]
	}
	d.Reason = reason(d.Chosen, permitted)
	return d
}

// unbroken returns the candidates whose circuit breakers are closed, all if there are none. It reorders
// cands.
func unbroken(cands []Candidate) []Candidate {
	n := 0
	for i := range cands {
		if !cands[i].BreakerOpen {
			cands[n], cands[i] = cands[i], cands[n]
			n++
		}
	}
	if n == 0 {
		return cands
	}
	return cands[:n]
}

func less(a *Candidate, aScore float64, b *Candidate, bScore float64) bool {
	if a.BreakerOpen != b.BreakerOpen {
		return b.BreakerOpen
	}
	return aScore < bScore
}

func reason(c *Candidate, permitted int) Reason {
	switch {
	case c.BreakerOpen:
		return ReasonLastResort
	case permitted == 1:
		return ReasonOnly
	}
	return ReasonBest
}

// Sample returns a random sample of at most MaxSample targets, so that the cost of
// a decision does not grow with the fleet.
func Sample(targets []*config.Target) []*config.Target {
	if len(targets) <= MaxSample {
		return targets
	}
	out := make([]*config.Target, MaxSample)
	start, stride := rand.IntN(len(targets)), len(targets)/MaxSample
	for i := range out {
		out[i] = targets[(start+i*stride+rand.IntN(stride))%len(targets)]
	}
	return out
}

// shuffleFront moves a random sample of MaxSample candidates to the front, in
// random order.
func shuffleFront(cands []Candidate) {
	for i := range min(len(cands), MaxSample) {
		j := i + rand.IntN(len(cands)-i)
		cands[i], cands[j] = cands[j], cands[i]
	}
}

// Rejection states why a target may not run a request.
type Rejection struct {
	Target string `json:"target"`
	Rule   string `json:"rule"`
}

// RuleNotActive starts the rule of a Rejection whose target is not active; the
// state follows it.
const RuleNotActive = "state is not active"

// Permit returns the active targets that all rules permit. If why is not nil, it is
// called with the reason for each target that is left out.
func Permit(targets []*config.Target, rules selector.All, why func(Rejection)) []*config.Target {
	var out []*config.Target
	for _, t := range targets {
		if t.State != config.Active {
			if why != nil {
				why(Rejection{t.Name, RuleNotActive + " but " + string(t.State)})
			}
			continue
		}
		if rule, rejected := rules.Rejects(t.Labels); rejected {
			if why != nil {
				why(Rejection{t.Name, rule})
			}
			continue
		}
		out = append(out, t)
	}
	return out
}
