// Package roles decides when an engine should change its role, so that the division of the engines
// between prefill and decode follows the mix of the traffic. A change makes an engine unavailable
// for seconds, so policies must not follow every fluctuation.
//
// To add a policy, implement Policy and add it to New.
package roles

import (
	"cmp"
	"fmt"
	"math"
	"time"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fault"
)

// Names of the policies in the configuration.
const (
	Manual      = "manual"
	Threshold   = "threshold"
	CostBenefit = "cost-benefit"
	Packing     = "packing"
)

// Engine describes one engine of a pool to a policy.
type Engine struct {
	Name   string
	Domain string
	Role   engine.Role
	// Movable is true if the engine may change its role now: the operator leaves the role to
	// rockdoor, the last change is long enough ago, no order is pending, and every request that may
	// run here could also run elsewhere.
	Movable bool
	// Requests is the number of requests in flight.
	Requests int
	// PrefillTokens is the number of prompt tokens pending prefill.
	PrefillTokens int
	// Slots is the number of requests that the engine runs concurrently, 0 if unknown.
	Slots int
	// PrefillSpeed and DecodeSpeed are relative to the typical engine, 0 if they are unknown or the engines
	// don't differ.
	PrefillSpeed, DecodeSpeed float64
}

// Demand is the rate at which work arrives at a pool, in tokens per second.
type Demand struct {
	// Prefill counts only prompts that are long enough for a separate prefill.
	Prefill float64
	Decode  float64
}

// Weights are an operator's priorities.
type Weights struct {
	// Goodput is the value of one second of one engine's work.
	Goodput float64
	// Change is the cost of one role change in addition to the work lost in it.
	Change float64
}

// Input is the state that a policy decides on.
type Input struct {
	Now     time.Time
	Engines []Engine
	Demand  Demand
	Weights Weights
	// QueueDelay is the average time for which pending prompts keep a prefill engine busy.
	QueueDelay time.Duration
	// Gateways is the number of processes that receive requests.
	Gateways int
	// WholeRequests is true if engines that decode also prefill long prompts while they have time.
	WholeRequests bool
}

// Change is a decision to change the role of one engine.
type Change struct {
	Engine string
	From   engine.Role
	To     engine.Role
	Reason string
}

// Policy decides on at most one role change per call. It is used by one goroutine and called about
// twice a second.
type Policy interface {
	Decide(in Input) *Change
}

// New returns the policy with the name.
func New(name string) (Policy, error) {
	switch name {
	case Manual:
		return manual{}, nil
	case Threshold:
		return threshold{}, nil
	case CostBenefit:
		return &costBenefit{}, nil
	case Packing:
		return &packing{}, nil
	}
	return nil, fault.Newf(fault.Invalid, "use one of manual, threshold, cost-benefit, packing", "unknown role policy %q", name)
}

// Assumed characteristics of an engine.
const (
	prefillTokensPerSecond = 20000.0 // prompt tokens per second
	decodeTokensPerSecond  = 1800.0  // output tokens per second at which the target for gaps between events is met
	// plannedUtilization is the share of an engine's speed that the policy counts on.
	plannedUtilization = 0.7
	// roleChangeTime is how long an engine is unavailable during a role change, including the time to
	// drain.
	roleChangeTime = 7 * time.Second
)

type manual struct{}

func (manual) Decide(Input) *Change { return nil }

// threshold changes a role as soon as the queue is long or prefill engines are idle. It is the
// baseline for comparisons.
type threshold struct{}

const maxQueueSeconds = 0.4 // seconds of pending prompts

func (threshold) Decide(in Input) *Change {
	prefillEngines, pendingTokens := 0, 0
	for _, e := range in.Engines {
		pendingTokens += e.PrefillTokens
		if e.Role == engine.RolePrefill {
			prefillEngines++
		}
	}
	queue := float64(pendingTokens) / prefillTokensPerSecond / float64(max(prefillEngines, 1))
	switch {
	case queue > maxQueueSeconds:
		return chooseEngine(in.Engines, engine.RoleMixed, engine.RolePrefill, fmt.Sprintf("%.2f s of prompts pending", queue))
	case pendingTokens == 0 && prefillEngines > 0:
		return chooseEngine(in.Engines, engine.RolePrefill, engine.RoleMixed, "no prompts pending")
	}
	return nil
}

// costBenefit changes a role once the loss of the present division, compared with the better one,
// equals the cost of a change. This bounds the total loss to twice that of a policy that knows the
// future, and a fluctuation that ends earlier causes no change at all.
//
// The loss is tracked for each number of prefill engines separately, so that several changes that
// have become due together follow each other at once.
type costBenefit struct {
	// balance[r] is the recent gain, in engine-seconds, of having r instead of r-1 prefill engines.
	// It is negative if that would have been a loss.
	balance      []float64
	lastDecideAt time.Time
}

const (
	// balanceDecay is the rate, in engine-seconds per second, at which a balance returns to zero
	// while the division makes no difference.
	balanceDecay = 0.5
	maxInterval  = 2 * time.Second
)

func (p *costBenefit) Decide(in Input) *Change {
	dt := min(in.Now.Sub(p.lastDecideAt), maxInterval)
	first := p.lastDecideAt.IsZero()
	p.lastDecideAt = in.Now
	if first || len(p.balance) != len(in.Engines)+1 {
		p.balance = make([]float64, len(in.Engines)+1)
		return nil
	}
	changeCost := roleChangeTime.Seconds()
	if in.Weights.Goodput > 0 {
		changeCost += in.Weights.Change / in.Weights.Goodput
	}
	prefillEngines := 0
	for _, e := range in.Engines {
		if e.Role == engine.RolePrefill {
			prefillEngines++
		}
	}
	for r := 1; r <= len(in.Engines); r++ {
		gain := missingEngines(in.Demand, r-1, len(in.Engines)) - missingEngines(in.Demand, r, len(in.Engines))
		p.balance[r] = advanceBalance(p.balance[r], gain, dt, changeCost)
	}
	reason := func(balance float64) string {
		return fmt.Sprintf("lost %.1f engine-seconds, a change costs %.1f; %.0f prompt and %.0f output tokens/s", math.Abs(balance), changeCost, in.Demand.Prefill, in.Demand.Decode)
	}
	var c *Change
	changed := prefillEngines
	switch {
	case prefillEngines < len(in.Engines) && p.balance[prefillEngines+1] >= changeCost:
		changed = prefillEngines + 1
		c = chooseEngine(in.Engines, engine.RoleMixed, engine.RolePrefill, reason(p.balance[changed]))
	case prefillEngines > 0 && p.balance[prefillEngines] <= -changeCost:
		c = chooseEngine(in.Engines, engine.RolePrefill, engine.RoleMixed, reason(p.balance[changed]))
	}
	if c != nil {
		p.balance[changed] = 0
	}
	return c
}

// advanceBalance updates a balance for an interval dt. The result stays within the cost of a
// change.
func advanceBalance(balance, gain float64, dt time.Duration, changeCost float64) float64 {
	step := balanceDecay * dt.Seconds()
	switch {
	case gain != 0:
		return min(max(balance+gain*dt.Seconds(), -changeCost), changeCost)
	case balance > 0:
		return max(0, balance-step)
	}
	return min(0, balance+step)
}

// missingEngines returns by how many engines a division falls short of the demand.
func missingEngines(d Demand, prefillEngines, engines int) float64 {
	if prefillEngines < 0 || prefillEngines > engines {
		return float64(engines)
	}
	needPrefill := d.Prefill / (prefillTokensPerSecond * plannedUtilization)
	needDecode := d.Decode / (decodeTokensPerSecond * plannedUtilization)
	return max(0, needPrefill-float64(prefillEngines)) + max(0, needDecode-float64(engines-prefillEngines))
}

const (
	// domainBalanceWeight is how many more requests the chosen engine may have for each additional
	// engine of the role in its failure domain. An engine without requests changes within seconds,
	// others only after their longest response.
	domainBalanceWeight = 2
	// speedWeight is how many more requests the chosen engine may have if it is better at its new role by a
	// factor of e. An engine that is better by half is worth a difference of one engine in a failure domain.
	speedWeight = 5
)

// chooseEngine picks the movable engine to change. It prefers failure domains with many engines of
// the role, engines with few requests, and engines that are better at the new role than at the old one. The
// fastest decode engines that the requests in flight need remain, because long responses take too long on
// others.
func chooseEngine(engines []Engine, from, to engine.Role, reason string) *Change {
	inDomain := map[string]int{}
	for _, e := range engines {
		if e.Role == from {
			inDomain[e.Domain]++
		}
	}
	missing := missingFastDecode(engines, to)
	var best *Engine
	least := math.Inf(1)
	for i := range engines {
		e := &engines[i]
		if e.Role != from || !e.Movable {
			continue
		}
		loss := float64(e.Requests-domainBalanceWeight*inDomain[e.Domain]) - speedWeight*e.advantage(to, missing)
		if loss < least {
			best, least = e, loss
		}
	}
	if best == nil {
		return nil
	}
	return &Change{Engine: best.Name, From: from, To: to, Reason: reason}
}

// advantage returns how much better the engine is at a new role than a typical one, as the logarithm of a
// factor: by its speed in the role relative to that in the other one, and otherwise by the faster ones for
// prefill, whose queues decide on latency. If fast decode engines are missing, only decode speeds count.
func (e *Engine) advantage(to engine.Role, missingFastDecode bool) float64 {
	prefill, decode := math.Log(cmp.Or(e.PrefillSpeed, 1)), math.Log(cmp.Or(e.DecodeSpeed, 1))
	value := 2*prefill - decode
	if missingFastDecode {
		value = -decode
	}
	if to == engine.RolePrefill {
		return value
	}
	return -value
}

// missingFastDecode reports whether the decode engines that are faster than the typical engine have too few
// slots for the requests in flight, or would have after one of them changes its role.
func missingFastDecode(engines []Engine, to engine.Role) bool {
	fast, requests, slots := 0, 0, 0
	for _, e := range engines {
		if e.Role == engine.RolePrefill {
			continue
		}
		requests += e.Requests
		slots = max(slots, e.Slots)
		if e.DecodeSpeed > 1 {
			fast++
		}
	}
	if to == engine.RolePrefill {
		fast--
	}
	return fast < max(minDecode, int(math.Ceil(float64(requests)*prefillHeadroom/float64(max(slots, 1)))))
}
