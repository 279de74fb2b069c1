// Package routing chooses the engine or backend server for a request among
// those that the placement rules permit. Policies are small and named, so that
// another one is one file: implement Policy and add it to Policies.
package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/selector"
)

// MaxSample bounds how many permitted targets are scored for one request.
const MaxSample = 32

// Cost is what a request asks of a target, as far as it is known beforehand.
type Cost struct {
	// PrefillTokens are the prompt tokens that are not expected to be cached.
	PrefillTokens int
	// DecodeTokens are the output tokens expected.
	DecodeTokens int
}

// Load is the work that a target is believed to have in hand.
type Load struct {
	Requests      int
	PrefillTokens int
	DecodeTokens  int
}

// Add returns the sum of two loads.
func (l Load) Add(m Load) Load {
	return Load{l.Requests + m.Requests, l.PrefillTokens + m.PrefillTokens, l.DecodeTokens + m.DecodeTokens}
}

// Rates are the speeds of a target.
type Rates struct {
	// PrefillPerSecond is in prompt tokens a second; 0 if prompts cost nothing.
	PrefillPerSecond float64
	// StepBase and StepPerRequest give the time between two tokens of a request
	// as StepBase + StepPerRequest * requests in hand.
	StepBase       time.Duration
	StepPerRequest time.Duration
}

// DefaultRates serve until a target's own have been learned.
var DefaultRates = Rates{PrefillPerSecond: 20000, StepBase: 12 * time.Millisecond, StepPerRequest: 250 * time.Microsecond}

// Candidate is a permitted target with what is known about it.
type Candidate struct {
	Target *config.Target
	Load   Load
	Rates  Rates
	// Broken targets have failed lately. They are chosen only if no other is left.
	Broken bool
}

// Policy scores candidates; the lowest score wins.
type Policy interface {
	// Score returns a number that grows with how unfit c is for the request.
	Score(cost Cost, c *Candidate) float64
}

// Observer is a Policy that wants to know what was chosen.
type Observer interface {
	Chosen(c *Candidate)
}

// Reason says why a target was chosen.
type Reason string

// Reasons of a decision.
const (
	// ReasonBest is the lowest score among the candidates.
	ReasonBest Reason = "best-score"
	// ReasonOnly is the only permitted target.
	ReasonOnly Reason = "only-permitted"
	// ReasonLastResort is a target that failed lately, as no other is left.
	ReasonLastResort Reason = "last-resort"
	// ReasonNone means that no target is permitted and available.
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

// Choose returns the candidate with the lowest score. Broken candidates lose to
// all others. Ties are broken at random, so that processes that see the same
// loads don't all choose the same target.
func Choose(p Policy, cost Cost, cands []Candidate) Decision {
	d := Decision{Score: math.Inf(1), RunnerUpScore: math.Inf(1), Reason: ReasonNone}
	sample(cands)
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
	d.Reason = reason(d.Chosen, len(cands))
	return d
}

func less(a *Candidate, aScore float64, b *Candidate, bScore float64) bool {
	if a.Broken != b.Broken {
		return b.Broken
	}
	return aScore < bScore
}

func reason(c *Candidate, considered int) Reason {
	switch {
	case c.Broken:
		return ReasonLastResort
	case considered == 1:
		return ReasonOnly
	}
	return ReasonBest
}

// Sample returns at most MaxSample of the targets, chosen at random, so that the
// cost of a decision does not grow with the fleet.
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

// sample moves a random choice of MaxSample candidates to the front, in random
// order.
func sample(cands []Candidate) {
	for i := range min(len(cands), MaxSample) {
		j := i + rand.IntN(len(cands)-i)
		cands[i], cands[j] = cands[j], cands[i]
	}
}

// Rejection says why a target may not run a request.
type Rejection struct {
	Target string `json:"target"`
	Rule   string `json:"rule"`
}

// RuleNotActive is the rule of a rejection for a target that is not active.
const RuleNotActive = "state is not active"

// Permit returns the targets that all rules permit and that are active. If why
// is not nil, it is called for each target that is left out.
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
