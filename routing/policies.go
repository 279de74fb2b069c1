package routing

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockdoor/rockdoor/fault"
)

// Names of the policies, as in the configuration.
const (
	CompletionTime   = "completion-time"
	LeastOutstanding = "least-outstanding"
	RoundRobin       = "round-robin"
	Random           = "random"
)

// New returns a policy by its name.
func New(name string) (Policy, error) {
	switch name {
	case CompletionTime:
		return completionTime{}, nil
	case LeastOutstanding:
		return leastOutstanding{}, nil
	case RoundRobin:
		return &roundRobin{}, nil
	case Random:
		return random{}, nil
	}
	return nil, fault.Newf(fault.Invalid, "use one of completion-time, least-outstanding, round-robin, random", "policy %q is not known", name)
}

// completionTime estimates, in seconds, when the request would be complete:
// the prompts ahead and its own are read, then its tokens are generated at the
// pace of the batch. What the request would cost the others in the batch is
// part of the score.
type completionTime struct{}

func (completionTime) Score(cost Cost, c *Candidate) float64 {
	r := c.Rates
	if r.PrefillPerSecond == 0 {
		r = DefaultRates
	}
	prefill := float64(c.Load.PrefillTokens+cost.PrefillTokens) / r.PrefillPerSecond
	step := r.StepBase + r.StepPerRequest*time.Duration(1+c.Load.Requests)
	decode := float64(cost.DecodeTokens) * step.Seconds()
	return prefill + decode + queueing(c)*step.Seconds()*float64(max(cost.DecodeTokens, 1))
}

// queueing returns how many full batches are ahead of the request.
func queueing(c *Candidate) float64 {
	return float64(c.Load.Requests) / float64(max(c.Target.Capacity, 1))
}

type leastOutstanding struct{}

func (leastOutstanding) Score(_ Cost, c *Candidate) float64 { return float64(c.Load.Requests) }

type random struct{}

func (random) Score(Cost, *Candidate) float64 { return rand.Float64() }

// roundRobin chooses the target that was chosen least recently. Chosen must be
// told of each choice, which Choose does for policies that have that method.
type roundRobin struct {
	turn atomic.Int64
	last sync.Map // target name to turn
}

func (p *roundRobin) Score(_ Cost, c *Candidate) float64 {
	if turn, ok := p.last.Load(c.Target.Name); ok {
		return float64(turn.(int64))
	}
	return 0
}

// Chosen implements Observer.
func (p *roundRobin) Chosen(c *Candidate) { p.last.Store(c.Target.Name, p.turn.Add(1)) }
