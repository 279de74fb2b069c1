package capacity

import (
	"math"
	"slices"
	"time"

	"github.com/rockdoor/rockdoor/roles"
)

// Need is the number of engines that a service needs, and why.
type Need struct {
	// Engines suffice for the peak with plannedUtilization. AfterLoss suffice for it as long as engines
	// take to start. While the demand is not known, both are the number to keep.
	Engines, AfterLoss int
	// Spot is the number of spot engines that meet both, OnDemand that of on-demand engines.
	Spot, OnDemand int
	// Unavailable are the failure domains that have no spot engines at present.
	Unavailable []string
	// Releasing is true if engines beyond the need may be released.
	Releasing bool
}

// DemandInput is the state that a decision by demand is based on.
type DemandInput struct {
	Input
	Now    time.Time
	Demand Demand
	// Slots is the number of responses that an engine decodes at the same time, 0 if no engine serves.
	Slots int
}

const (
	// plannedUtilization is the share of the prefill engines that the peak may keep busy. Prompts then
	// mostly find an idle engine, so that the time in queue stays far below the latency targets of 0.5
	// to 1.5 s although some prompts take 0.3 s and more.
	plannedUtilization = 0.7
	// utilizationAfterLoss applies for the seconds until lost engines are replaced. The peak is the mean
	// of a short window, so a queue that forms in it is shorter than the latency targets.
	utilizationAfterLoss = 1.0
	// minNeeded is the least number of engines: two that decode and one that prefills, and another for
	// the loss of one.
	minNeeded = 4
	// settleTime is how long the number of engines must not have grown before on-demand engines of a new
	// deployment are replaced by spot engines. Engines register one after the other within seconds.
	settleTime = 2 * time.Second
	// growInterval is the time between two orders while engines still register.
	growInterval = time.Second
	// In each failure domain, at most releaseShare of the spot engines are released per releaseInterval.
	// The prompts that a released engine had cached are prefilled again, a few at a time.
	releaseInterval = time.Second
	releaseShare    = 0.1
	// calmTime is how long all domains must have had engines available before any are released. It is
	// assumed that reclaims which belong together reach one domain after the other within this time.
	calmTime = 5 * time.Second
	// spotPatience is how long domains may have been without available spot engines before on-demand
	// engines restore plannedUtilization. Most reclaims are assumed to end sooner.
	spotPatience = 15 * time.Second
	// maxDemandAge is the age of the demand above which no engines are released.
	maxDemandAge = 5 * time.Second
)

// DemandPolicy decides for one service by its demand. It must be used by one goroutine only.
//
// It answers traffic whose kinds alternate every few seconds, and domains that lose all their spot
// engines one after the other, each without replacement for some seconds. At any time, the engines that
// would remain after the loss of the largest domain's spot engines suffice for the peak until others have
// started. While a domain has none available, the rule holds for the remaining ones, so that the next
// loss is covered as well. Engines are added at once and released slowly, and only if the demand is
// known. Where spot engines aren't cheaper, nothing changes.
type DemandPolicy struct {
	// standing is the number of engines that the operator or an earlier holder of the duty had.
	standing int
	// grewAt is when more engines were last seen than before, raisedAt when the number to keep followed.
	grewAt, raisedAt time.Time
	seen             int
	// limits decides while the demand is not known.
	limits Policy
	// slots is the last known number of slots of an engine.
	slots   int
	domains map[string]*domainState
	// startedAt is the time of the first decision. lossAt is when a domain last had no engines available,
	// lossBeganAt when that began.
	startedAt, lossAt, lossBeganAt time.Time
}

// domainState is what the policy remembers of a failure domain.
type domainState struct {
	// ordered is the last target for spot engines.
	ordered int
	// served is true if more than one spot engine has served since the last loss.
	served     bool
	lostAt     time.Time
	releasedAt time.Time
}

// Restore sets the number of engines that an earlier holder had.
func (p *DemandPolicy) Restore(engines int) { p.standing = max(p.standing, engines) }

// Decide returns the targets for the domains of the input, in the same order.
func (p *DemandPolicy) Decide(in DemandInput) ([]Target, Need) {
	out := make([]Target, len(in.Domains))
	if in.Scaling.SpotPrice <= 0 || in.Scaling.SpotPrice >= 1 {
		for n, d := range in.Domains {
			out[n] = Target{OnDemand: d.OnDemand, Spot: d.Spot}
		}
		return out, Need{}
	}
	available := p.observe(&in)
	if !in.Demand.Known {
		return p.decideByLimits(&in, available)
	}
	need := p.need(&in)
	for n, d := range in.Domains {
		out[n].OnDemand = min(in.Scaling.MinEngines, d.OnDemand)
		need.OnDemand += out[n].OnDemand
		if !available[n] {
			need.Unavailable = append(need.Unavailable, d.Name)
		}
	}
	p.setSpot(&in, out, &need, available)
	if !in.Demand.Known && in.Now.Sub(p.grewAt) < settleTime {
		for n, d := range in.Domains {
			out[n].OnDemand = d.OnDemand
		}
		return out, need
	}
	p.setOnDemand(&in, out, &need, available)
	return out, need
}

// decideByLimits orders as many engines as the limits permit while the demand is not known: bursts and
// losses of domains may come before it is.
func (p *DemandPolicy) decideByLimits(in *DemandInput, available []bool) ([]Target, Need) {
	need := Need{Engines: p.standing, AfterLoss: p.standing}
	p.limits.minServing = max(p.limits.minServing, p.standing)
	out := p.limits.Decide(in.Input)
	for n, d := range in.Domains {
		p.domains[d.Name].ordered = out[n].Spot
		need.Spot += out[n].Spot
		need.OnDemand += out[n].OnDemand
		if !available[n] {
			need.Unavailable = append(need.Unavailable, d.Name)
		}
	}
	return out, need
}

// observe updates what is remembered, and returns whether each domain has spot engines available.
func (p *DemandPolicy) observe(in *DemandInput) []bool {
	if p.domains == nil {
		p.domains, p.startedAt = map[string]*domainState{}, in.Now
	}
	if in.Slots > 0 {
		p.slots = in.Slots
	}
	in.Slots = p.slots
	// Engines that an earlier holder has ordered may still be starting.
	starting := in.Now.Sub(p.startedAt) <= in.Scaling.StartupTime
	onDemand, spot, largest, available := 0, 0, 0, make([]bool, len(in.Domains))
	for n, d := range in.Domains {
		s := p.domains[d.Name]
		if s == nil {
			s = &domainState{}
			p.domains[d.Name] = s
		}
		if starting {
			s.ordered = max(s.ordered, d.Spot)
		}
		if s.served && d.Spot == 0 {
			s.lostAt = in.Now
		}
		s.served = d.Spot > 1 || s.served && d.Spot > 0
		// Even if the domain has engines available again, they don't serve before StartupTime.
		lost := !s.lostAt.IsZero() && in.Now.Sub(s.lostAt) < in.Scaling.StartupTime
		available[n] = !d.Exhausted && !lost
		onDemand += d.OnDemand
		spot += d.Spot + min(in.Scaling.MinEngines, d.OnDemand)
		largest = max(largest, d.Spot)
	}
	if slices.Contains(available, false) {
		if in.Now.Sub(p.lossAt) >= calmTime {
			p.lossBeganAt = in.Now
		}
		p.lossAt = in.Now
	}
	// Spot engines that start to serve replace on-demand engines, so their sum counts for nothing. Those
	// of the largest domain are the reserve.
	if stood := max(onDemand, spot-largest); !in.Demand.Measured && stood > max(p.seen, p.standing) {
		p.seen, p.grewAt = stood, in.Now
	}
	if p.seen > p.standing && in.Now.Sub(p.raisedAt) >= growInterval {
		p.standing, p.raisedAt = p.seen, in.Now
	}
	return available
}

// need returns the numbers of engines that the demand needs.
func (p *DemandPolicy) need(in *DemandInput) Need {
	limit := in.Scaling.MaxEngines * len(in.Domains)
	if !in.Demand.Known {
		// A peak that is known only in part is still a lower bound.
		n := min(max(p.standing, enginesFor(in.Demand.Peak, in.Slots, plannedUtilization, limit)), limit)
		return Need{Engines: n, AfterLoss: n}
	}
	need := Need{
		Engines:   enginesFor(in.Demand.Peak, in.Slots, plannedUtilization, limit),
		AfterLoss: enginesFor(in.Demand.Peak, in.Slots, utilizationAfterLoss, limit),
	}
	if !in.Demand.Measured {
		// The learned peak may be that of another day.
		need.Engines = max(need.Engines, min(p.standing, limit))
	}
	return need
}

// enginesFor returns the number of engines, of at most limit, for prefill and decode together. If slots is
// 0, as no engine has registered yet, the decode rate doesn't count.
func enginesFor(r Rate, slots int, utilization float64, limit int) int {
	if slots == 0 {
		r.Decode = 0
	}
	for n := minNeeded; n < limit; n++ {
		prefill := n - roles.MinDecodeEngines(r.Decode, max(slots, 1), n)
		if float64(prefill)*utilization >= r.Prefill {
			return n
		}
	}
	return limit
}

// spotEngines returns how many spot engines are needed in total if they are in k domains, one of which may
// be lost.
func (n *Need) spotEngines(k int) int {
	total := max(n.Engines-n.OnDemand, 0)
	if reserve := n.AfterLoss - n.OnDemand; reserve > 0 && k > 1 {
		total = max(total, ceilDiv(reserve*k, k-1))
	}
	return total
}

// setSpot sets the targets for spot engines.
func (p *DemandPolicy) setSpot(in *DemandInput, out []Target, need *Need, available []bool) {
	wanted := make([]int, len(in.Domains))
	need.Releasing = in.Demand.Measured && in.Now.Sub(in.Demand.ObservedAt) <= maxDemandAge && (p.lossAt.IsZero() || in.Now.Sub(p.lossAt) >= calmTime)
	for n, d := range in.Domains {
		k := len(in.Domains)
		if available[n] {
			k -= len(need.Unavailable)
		} // else it gets its usual part once it has engines again
		limit := max(in.Scaling.MaxEngines-out[n].OnDemand, 0)
		wanted[n] = min(max(ceilDiv(need.spotEngines(k), k), in.Scaling.MinEngines-out[n].OnDemand), limit)
		need.Releasing = need.Releasing && d.Spot >= wanted[n] // others first serve in place of those released
	}
	for n, d := range in.Domains {
		s := p.domains[d.Name]
		switch {
		case wanted[n] >= s.ordered:
			s.ordered = wanted[n]
		case !available[n]:
			s.ordered = max(wanted[n], d.Spot) // no others are starting
		case need.Releasing && in.Now.Sub(s.releasedAt) >= releaseInterval:
			s.ordered, s.releasedAt = max(wanted[n], s.ordered-int(math.Ceil(releaseShare*float64(s.ordered)))), in.Now
		}
		out[n].Spot = min(s.ordered, max(in.Scaling.MaxEngines-out[n].OnDemand, 0))
		need.Spot += out[n].Spot
	}
}

func ceilDiv(a, b int) int { return (a + b - 1) / max(b, 1) }

// setOnDemand adds on-demand engines to the targets: those that serve are kept until spot engines serve
// in their place, and others are ordered for what spot engines cannot provide. That is the need after a
// loss. The next loss is covered by the spot engines that are ordered in the other domains at once, or by
// on-demand engines if no domain has had any for as long as engines take to start.
func (p *DemandPolicy) setOnDemand(in *DemandInput, out []Target, need *Need, available []bool) {
	serving, obtainable, largest := need.OnDemand, need.OnDemand, 0
	for n, d := range in.Domains {
		serving += d.Spot
		obtain := d.Spot
		if available[n] {
			obtain = out[n].Spot
		}
		obtainable += obtain
		largest = max(largest, obtain)
	}
	byPrice := domainsByPrice(in.Domains)
	lacking := need.AfterLoss - obtainable
	if len(need.Unavailable) == len(in.Domains) && in.Now.Sub(p.lossBeganAt) >= in.Scaling.StartupTime {
		lacking += largest // no spot engines can be ordered in place of those that are lost next
	}
	if len(need.Unavailable) > 0 && in.Now.Sub(p.lossBeganAt) >= spotPatience {
		lacking = max(lacking, need.Engines-obtainable)
	}
	keep := max(need.Engines-serving, need.AfterLoss-serving, lacking)
	if !in.Demand.Measured {
		keep = max(keep, p.seen-serving) // others may have registered since the need was raised
	}
	for _, n := range byPrice {
		more := max(min(keep, in.Domains[n].OnDemand-out[n].OnDemand), 0)
		out[n].OnDemand += more
		keep -= more
		lacking -= more
	}
	// If possible, they leave room for the spot engines that replace them.
	for _, room := range []func(n int) int{func(n int) int { return max(out[n].Spot, in.Domains[n].Spot) }, func(n int) int { return in.Domains[n].Spot }} {
		for _, n := range byPrice {
			more := max(min(lacking, in.Scaling.MaxEngines-room(n)-out[n].OnDemand), 0)
			out[n].OnDemand += more
			lacking -= more
		}
	}
	need.OnDemand = 0
	for n := range out {
		need.OnDemand += out[n].OnDemand
	}
}
