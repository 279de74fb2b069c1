package capacity

import (
	"cmp"
	"slices"
)

// Policy decides for one service. It must be used by one goroutine only.
//
// Where spot engines are cheaper, the policy orders as many as the limits permit. It doesn't scale
// with the load, because a burst is over before more engines have started. When one domain loses
// its spot engines, those of the other domains carry the load. The on-demand engines that the
// operator started with are released as spot engines start to serve, and ordered again while fewer
// than minServing engines serve.
type Policy struct {
	// minServing is the number of engines that must remain when one domain loses its spot engines.
	minServing int
}

// Decide returns the targets for the domains of the input, in the same order.
func (p *Policy) Decide(in Input) []Target {
	out := make([]Target, len(in.Domains))
	if in.Scaling.SpotPrice <= 0 || in.Scaling.SpotPrice >= 1 {
		for n, d := range in.Domains {
			out[n] = Target{OnDemand: d.OnDemand, Spot: d.Spot}
		}
		return out
	}
	p.updateMinServing(in)
	serving := 0
	for n, d := range in.Domains {
		out[n].OnDemand = min(in.Scaling.MinEngines, d.OnDemand)
		serving += d.Spot + out[n].OnDemand
	}
	addOnDemand(in, out, p.minServing-serving)
	for n, d := range in.Domains {
		// On-demand engines that already serve are released later, so they don't reduce the spot
		// engines. Those that have to be ordered count against the maximum at once.
		reserved := in.Scaling.MinEngines
		if out[n].OnDemand > d.OnDemand {
			reserved = out[n].OnDemand
		}
		out[n].Spot = max(in.Scaling.MaxEngines-reserved, 0)
	}
	return out
}

// updateMinServing raises minServing to the number of on-demand engines that the operator had, or
// to the spot engines of all domains but the largest.
func (p *Policy) updateMinServing(in Input) {
	onDemand, spot, maxSpot := 0, 0, 0
	for _, d := range in.Domains {
		onDemand += d.OnDemand
		spot += d.Spot
		maxSpot = max(maxSpot, d.Spot)
	}
	p.minServing = max(p.minServing, onDemand, spot-maxSpot)
}

// addOnDemand adds missing on-demand engines to the targets: first those that serve already, then
// new ones in the cheapest domains.
func addOnDemand(in Input, out []Target, missing int) {
	order := domainsByPrice(in.Domains)
	for _, available := range []func(n int) int{
		func(n int) int { return in.Domains[n].OnDemand - out[n].OnDemand },
		func(n int) int { return in.Scaling.MaxEngines - in.Domains[n].Spot - out[n].OnDemand },
	} {
		for _, n := range order {
			more := max(min(missing, available(n)), 0)
			out[n].OnDemand += more
			missing -= more
		}
	}
}

// domainsByPrice returns the indexes of the domains, the cheapest first.
func domainsByPrice(domains []Domain) []int {
	order := make([]int, len(domains))
	for n := range order {
		order[n] = n
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(domains[a].Price, domains[b].Price) })
	return order
}
