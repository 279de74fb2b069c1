package capacity

import (
	"cmp"
	"slices"
)

// Policy decides for one service. It belongs to one goroutine.
//
// Where spot engines are cheaper, as many are had as there may be: a burst is over before
// more engines have started, and when a domain loses its spot engines those of the others
// are what is left. Lasting engines, which the operator has had, are given back as spot
// engines serve, and ordered again while fewer engines serve than have to be left.
type Policy struct {
	// wanted is how many engines are to be left when one domain has lost its spot engines.
	wanted int
}

// Decide returns how many engines there are to be in each domain of the input, in its order.
func (p *Policy) Decide(in Input) []Target {
	out := make([]Target, len(in.Domains))
	if in.Scaling.SpotPrice <= 0 || in.Scaling.SpotPrice >= 1 {
		for n, d := range in.Domains {
			out[n] = Target{Lasting: d.Lasting, Spot: d.Spot}
		}
		return out
	}
	p.learn(in)
	serving := 0
	for n, d := range in.Domains {
		out[n].Lasting = min(in.Scaling.MinEngines, d.Lasting)
		serving += d.Spot + out[n].Lasting
	}
	addLasting(in, out, p.wanted-serving)
	for n, d := range in.Domains {
		// Lasting engines that serve make room later; those that are ordered need it now.
		room := in.Scaling.MinEngines
		if out[n].Lasting > d.Lasting {
			room = out[n].Lasting
		}
		out[n].Spot = max(in.Scaling.MaxEngines-room, 0)
	}
	return out
}

// learn learns how many engines have to be left: what the operator had as lasting ones, or
// what all but one domain have as spot ones.
func (p *Policy) learn(in Input) {
	lasting, spot, most := 0, 0, 0
	for _, d := range in.Domains {
		lasting += d.Lasting
		spot += d.Spot
		most = max(most, d.Spot)
	}
	p.wanted = max(p.wanted, lasting, spot-most)
}

// addLasting adds lasting engines: those that serve already first, then where they cost
// least.
func addLasting(in Input, out []Target, missing int) {
	order := make([]int, len(in.Domains))
	for n := range order {
		order[n] = n
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(in.Domains[a].Price, in.Domains[b].Price) })
	for _, room := range []func(n int) int{
		func(n int) int { return in.Domains[n].Lasting - out[n].Lasting },
		func(n int) int { return in.Scaling.MaxEngines - in.Domains[n].Spot - out[n].Lasting },
	} {
		for _, n := range order {
			more := max(min(missing, room(n)), 0)
			out[n].Lasting += more
			missing -= more
		}
	}
}
