// Package roles decides when an engine should change role, so that the split
// between reading prompts and generating tokens follows the mix of the traffic
// without a change for every swing. A change takes an engine away for seconds.
//
// Policies are named and small: implement Policy and add it to New.
package roles

import (
	"fmt"
	"math"
	"time"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fault"
)

// Names of the policies, as in the configuration.
const (
	Manual      = "manual"
	Threshold   = "threshold"
	CostBenefit = "cost-benefit"
	Packing     = "packing"
)

// Engine is one engine of a pool as the policies see it.
type Engine struct {
	Name   string
	Domain string
	Role   engine.Role
	// Movable engines may change role now: the operator leaves the role to
	// rockdoor, the last change is long enough ago, no order is open, and every
	// request that may run here could still run elsewhere.
	Movable bool
	// Requests are outstanding there.
	Requests int
	// PrefillTokens are outstanding there.
	PrefillTokens int
	// Slots is how many requests it works on at once, 0 if that is not known.
	Slots int
}

// Demand is the work that arrives at a pool.
type Demand struct {
	// Prefill counts only prompts long enough to be read apart. Both are in
	// tokens a second.
	Prefill float64
	Decode  float64
}

// Weights say what a team cares for.
type Weights struct {
	// Goodput is the worth of one second of one engine's work.
	Goodput float64
	// Change is the price of one role change beyond the work lost in it.
	Change float64
}

// Input is what a policy decides by.
type Input struct {
	Now     time.Time
	Engines []Engine
	Demand  Demand
	Weights Weights
	// Queue is how long the prompts in hand keep an engine that reads busy, on
	// average.
	Queue time.Duration
	// Gateways is how many processes bring requests.
	Gateways int
}

// Change is a decision.
type Change struct {
	Engine string
	From   engine.Role
	To     engine.Role
	Reason string
}

// Policy decides on at most one change at a time. It is used by one goroutine
// and called about twice a second.
type Policy interface {
	Decide(in Input) *Change
}

// New returns a policy by its name.
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
	return nil, fault.Newf(fault.Invalid, "use one of manual, threshold, cost-benefit, packing", "role policy %q is not known", name)
}

// Speeds of an engine that are assumed until they are learned.
const (
	prefillSpeed = 20000.0 // prompt tokens a second
	decodeSpeed  = 1800.0  // generated tokens a second within the bound between tokens
	// utilisation is the share of its speed that an engine can be planned for.
	utilisation = 0.7
	// changeTime is how long a change takes an engine away, with its draining.
	changeTime = 7 * time.Second
)

type manual struct{}

func (manual) Decide(Input) *Change { return nil }

// threshold changes a role as soon as a queue is long or an engine is idle. It
// is the baseline to compare with.
type threshold struct{}

const longQueue = 0.4 // seconds of prompts ahead

func (threshold) Decide(in Input) *Change {
	readers, ahead := 0, 0
	for _, e := range in.Engines {
		ahead += e.PrefillTokens
		if e.Role == engine.RolePrefill {
			readers++
		}
	}
	queue := float64(ahead) / prefillSpeed / float64(max(readers, 1))
	switch {
	case queue > longQueue:
		return move(in.Engines, engine.RoleMixed, engine.RolePrefill, fmt.Sprintf("%.2f s of prompts ahead", queue))
	case ahead == 0 && readers > 0:
		return move(in.Engines, engine.RolePrefill, engine.RoleMixed, "no prompts ahead")
	}
	return nil
}

// costBenefit changes a role once what the present split has lost, compared with
// the better one, equals what the change costs. Whoever waits that long loses at
// most twice of what somebody loses who knows the future, and a shift that is
// over sooner causes no change at all.
//
// The loss is kept for each number of readers apart, so that several changes
// that have paid for themselves at the same time follow each other at once.
type costBenefit struct {
	// balance[r] is what having r instead of r-1 engines in the prefill role
	// would have gained lately, in engine-seconds; negative if it would have lost.
	balance []float64
	last    time.Time
}

const (
	// fade is how fast a balance goes back to nothing while the split makes no
	// difference, in engine-seconds a second.
	fade   = 0.5
	maxGap = 2 * time.Second
)

func (p *costBenefit) Decide(in Input) *Change {
	dt := min(in.Now.Sub(p.last), maxGap)
	first := p.last.IsZero()
	p.last = in.Now
	if first || len(p.balance) != len(in.Engines)+1 {
		p.balance = make([]float64, len(in.Engines)+1)
		return nil
	}
	price := changeTime.Seconds()
	if in.Weights.Goodput > 0 {
		price += in.Weights.Change / in.Weights.Goodput
	}
	readers := 0
	for _, e := range in.Engines {
		if e.Role == engine.RolePrefill {
			readers++
		}
	}
	for r := 1; r <= len(in.Engines); r++ {
		gain := loss(in.Demand, r-1, len(in.Engines)) - loss(in.Demand, r, len(in.Engines))
		p.balance[r] = advance(p.balance[r], gain, dt, price)
	}
	why := func(balance float64) string {
		return fmt.Sprintf("lost %.1f engine-seconds, a change costs %.1f; %.0f prompt and %.0f output tokens/s", math.Abs(balance), price, in.Demand.Prefill, in.Demand.Decode)
	}
	var c *Change
	changed := readers
	switch {
	case readers < len(in.Engines) && p.balance[readers+1] >= price:
		changed = readers + 1
		c = move(in.Engines, engine.RoleMixed, engine.RolePrefill, why(p.balance[changed]))
	case readers > 0 && p.balance[readers] <= -price:
		c = move(in.Engines, engine.RolePrefill, engine.RoleMixed, why(p.balance[changed]))
	}
	if c != nil {
		p.balance[changed] = 0
	}
	return c
}

// advance moves a balance on by dt. It stays within the price of a change.
func advance(balance, gain float64, dt time.Duration, price float64) float64 {
	step := fade * dt.Seconds()
	switch {
	case gain != 0:
		return min(max(balance+gain*dt.Seconds(), -price), price)
	case balance > 0:
		return max(0, balance-step)
	}
	return min(0, balance+step)
}

// loss is how many engines' worth of work a split leaves undone or late.
func loss(d Demand, readers, engines int) float64 {
	if readers < 0 || readers > engines {
		return float64(engines)
	}
	needPrefill := d.Prefill / (prefillSpeed * utilisation)
	needDecode := d.Decode / (decodeSpeed * utilisation)
	return max(0, needPrefill-float64(readers)) + max(0, needDecode-float64(engines-readers))
}

// balanceWorth is how many more requests an engine that changes may have for each
// engine by which its failure domain has more of the role: an engine without
// requests changes within seconds, one with some after its longest answer.
const balanceWorth = 2

// move picks the engine to change: one in the failure domain that has the most
// engines of the role, and there the one with the least to lose.
func move(engines []Engine, from, to engine.Role, reason string) *Change {
	inDomain := map[string]int{}
	for _, e := range engines {
		if e.Role == from {
			inDomain[e.Domain]++
		}
	}
	var best *Engine
	least := math.MaxInt
	for i := range engines {
		e := &engines[i]
		if e.Role != from || !e.Movable {
			continue
		}
		if loss := e.Requests - balanceWorth*inDomain[e.Domain]; loss < least {
			best, least = e, loss
		}
	}
	if best == nil {
		return nil
	}
	return &Change{Engine: best.Name, From: from, To: to, Reason: reason}
}
