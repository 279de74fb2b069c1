package routing

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rockdoor/rockdoor/fault"
)

// Names of the policies, as in the configuration.
const (
	CompletionTime   = "completion-time"
	LeastOutstanding = "least-outstanding"
	RoundRobin       = "round-robin"
	Random           = "random"
	SizeBased        = "size-based"
	Separating       = "separating"
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
	case SizeBased:
		return sizeBased{}, nil
	case Separating:
		return separating{}, nil
	}
	return nil, fault.Newf(fault.Invalid, "use one of completion-time, separating, size-based, least-outstanding, round-robin, random", "policy %q is not known", name)
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

// longPrompt is the prompt, in tokens, from which reading it delays the tokens
// of others in the batch noticeably.
const longPrompt = 512

// sizeBased keeps long prompts and other requests on different targets, as
// size-based dispatch does with files: long prompts go to the third of the
// targets with the highest hash, the rest to the others.
type sizeBased struct{}

func (sizeBased) Score(cost Cost, c *Candidate) float64 {
	h := xxhash.Sum64String(c.Target.Name)
	if (cost.PrefillTokens >= longPrompt) == (h%3 == 0) {
		return float64(c.Load.Requests)
	}
	return otherSide + float64(c.Load.Requests)
}

// otherSide keeps a request on its side as long as any target there has room.
const otherSide = 1e6

// separating estimates the completion time like completionTime and adds the harm
// that prompts and decoding do to each other: a long prompt delays the tokens of
// everybody who decodes there, and tokens that are generated beside long prompts
// are late. So long prompts gather where there are some already, and move to
// other targets only when those get too slow.
type separating struct{}

const (
	// lateWeight is the price, in seconds, of one request whose tokens are late.
	lateWeight = 0.5
	// typicalLongPrompt turns prompt tokens in hand into a number of prompts.
	typicalLongPrompt = 2000
)

func (separating) Score(cost Cost, c *Candidate) float64 {
	score := completionTime{}.Score(cost, c)
	prompts := math.Ceil(float64(c.Load.PrefillTokens) / typicalLongPrompt)
	if c.Load.PrefillTokens < longPrompt {
		prompts = 0
	}
	decoding := math.Max(0, float64(c.Load.Requests)-prompts)
	if cost.PrefillTokens >= longPrompt {
		return score + lateWeight*decoding
	}
	return score + lateWeight*math.Min(prompts, 2)
}
