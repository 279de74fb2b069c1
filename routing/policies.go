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

// Names of the policies in the configuration.
const (
	CompletionTime   = "completion-time"
	LeastOutstanding = "least-outstanding"
	RoundRobin       = "round-robin"
	Random           = "random"
	SizeBased        = "size-based"
	Separating       = "separating"
)

// New returns a new policy of the given name.
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
	return nil, fault.Newf(fault.Invalid, "use one of completion-time, separating, size-based, least-outstanding, round-robin, random", "unknown policy %q", name)
}

// completionTime estimates the time to complete the request, in seconds: first the
// target prefills the pending prompts and the request's own prompt, then it decodes
// the output tokens at the step time of the batch including this request. The last
// term of the score is the delay that the request causes to the others in the batch.
type completionTime struct{}

func (completionTime) Score(cost Cost, c *Candidate) float64 {
	r := c.Rates
	if r.PrefillPerSecond == 0 {
		r = DefaultRates
	}
	prefill := float64(c.Load.PrefillTokens+cost.PrefillTokens) / r.PrefillPerSecond
	step := r.StepBase + r.StepPerRequest*time.Duration(1+c.Load.Requests)
	decode := float64(cost.DecodeTokens) * step.Seconds()
	return prefill + decode + queuedBatches(c)*step.Seconds()*float64(max(cost.DecodeTokens, 1))
}

// queuedBatches returns the number of requests in flight at the target, in units of
// its capacity, which is the size of a full batch.
func queuedBatches(c *Candidate) float64 {
	return float64(c.Load.Requests) / float64(max(c.Target.Capacity, 1))
}

type leastOutstanding struct{}

func (leastOutstanding) Score(_ Cost, c *Candidate) float64 { return float64(c.Load.Requests) }

type random struct{}

func (random) Score(Cost, *Candidate) float64 { return rand.Float64() }

// roundRobin chooses the target that was chosen least recently. Choose reports each
// choice to its method Chosen.
type roundRobin struct {
	choices    atomic.Int64
	lastChosen sync.Map // target name to the value of choices when it was last chosen
}

func (p *roundRobin) Score(_ Cost, c *Candidate) float64 {
	if turn, ok := p.lastChosen.Load(c.Target.Name); ok {
		return float64(turn.(int64))
	}
	return 0
}

// Chosen implements Observer.
func (p *roundRobin) Chosen(c *Candidate) { p.lastChosen.Store(c.Target.Name, p.choices.Add(1)) }

// longPromptTokens is the prompt length from which its prefill noticeably delays the
// output tokens of other requests in the batch.
const longPromptTokens = 512

// sizeBased sends long prompts and other requests to different targets, like
// size-based dispatching of files. The targets whose name has a hash divisible by
// three, on average a third of them, get the long prompts; the others get the rest.
type sizeBased struct{}

func (sizeBased) Score(cost Cost, c *Candidate) float64 {
	h := xxhash.Sum64String(c.Target.Name)
	if (cost.PrefillTokens >= longPromptTokens) == (h%3 == 0) {
		return float64(c.Load.Requests)
	}
	return wrongGroupPenalty + float64(c.Load.Requests)
}

// wrongGroupPenalty makes sizeBased choose a target of the other group only if the
// request's own group has no candidate.
const wrongGroupPenalty = 1e6

// separating adds to the score of completionTime a penalty for the interference
// between prefill and decode: the prefill of a long prompt delays the output tokens
// of all requests that decode on the same target. Long prompts therefore go to
// targets that already have some, and to other targets only when those become too
// slow.
type separating struct{}

const (
	// delayPenaltySeconds is the penalty, in seconds of completion time, for each request
	// whose output tokens are delayed.
	delayPenaltySeconds = 0.5
	// typicalLongPromptTokens is the assumed length of a long prompt, by which pending
	// prefill tokens are converted to a number of long prompts.
	typicalLongPromptTokens = 2000
	// maxDelayingPrompts is the number of pending long prompts from which the penalty no longer rises.
	// Prompts are prefilled one after another, and completionTime already counts their time. An
	// unbounded penalty would keep all short requests away from these targets and overload the others.
	maxDelayingPrompts = 2
)

func (separating) Score(cost Cost, c *Candidate) float64 {
	score := completionTime{}.Score(cost, c)
	prompts := math.Ceil(float64(c.Load.PrefillTokens) / typicalLongPromptTokens)
	if c.Load.PrefillTokens < longPromptTokens {
		prompts = 0
	}
	decoding := math.Max(0, float64(c.Load.Requests)-prompts)
	if cost.PrefillTokens >= longPromptTokens {
		return score + delayPenaltySeconds*decoding
	}
	return score + delayPenaltySeconds*math.Min(prompts, maxDelayingPrompts)
}
