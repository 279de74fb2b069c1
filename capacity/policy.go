package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// lastingPart is the part of the wanted engines that are kept as lasting ones, spread over
// the failure domains, for when the platform takes spot engines away everywhere.
const lastingPart = 0.1

// stillTime is for how long the number of engines must stand still to be taken for the one
// that is wanted. A new fleet's engines register within a second.
const stillTime = 2 * time.Second

// Policy decides for one service. It belongs to one goroutine.
type Policy struct {
	// wanted is how many engines are to be left when a failure domain has lost its spot
	// engines; 0 until it is known.
	wanted int
	// present is how many engines there were last, since when.
	present int
	since   time.Time
}

// Decide returns how many engines to order in each domain of the input, in its order; nil
// while it is not known how many are wanted.
func (p *Policy) Decide(in Input) []Target {
	present := 0
	for _, d := range in.Domains {
		present += d.Lasting + d.Spot
	}
	if !p.learn(in, present) {
		return nil
	}
	if in.Scaling.SpotPrice <= 0 || in.Scaling.SpotPrice >= 1 {
		return lastingOnly(in, p.wanted)
	}
	return mostlySpot(in, p.wanted)
}

// learn learns how many engines are wanted from those that the operator has, or an earlier
// holder has ordered, once their number stands still. It reports whether that is known.
func (p *Policy) learn(in Input, present int) bool {
	if p.wanted > 0 {
		return true
	}
	if present != p.present || present == 0 {
		p.present, p.since = present, in.Now
		return false
	}
	if in.Now.Sub(p.since) < stillTime {
		return false
	}
	for _, d := range in.Domains {
		p.wanted += d.Lasting
	}
	if domains := len(in.Domains); domains > 1 {
		p.wanted += (present - p.wanted) * (domains - 1) / domains
	}
	return true
}

// lastingOnly spreads the wanted engines over the domains.
func lastingOnly(in Input, wanted int) []Target {
	out := make([]Target, len(in.Domains))
	for n := range out {
		out[n].Lasting = bound(in, ceil(wanted, len(out)))
	}
	return out
}

// mostlySpot has so many spot engines in each domain that the wanted engines are left when
// one domain loses its own. Lasting engines are given back only as spot engines serve in
// their place, and ordered as those go: together there are never fewer than are wanted, but
// while engines start.
func mostlySpot(in Input, wanted int) []Target {
	domains := len(in.Domains)
	least := max(in.Scaling.Least, ceil(int(math.Ceil(lastingPart*float64(wanted))), domains))
	all := bound(in, ceil(wanted, max(domains-1, 1)))
	out := make([]Target, domains)
	serving := 0
	for n, d := range in.Domains {
		out[n].Lasting = bound(in, least)
		serving += d.Spot + out[n].Lasting
	}
	addLasting(in, out, wanted-serving)
	for n, d := range in.Domains {
		// Lasting engines that have not left yet count against the bound as well.
		out[n].Spot = max(0, min(all-least, in.Scaling.Most-max(out[n].Lasting, d.Lasting)))
	}
	return out
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
		func(n int) int { return in.Scaling.Most - in.Domains[n].Spot - out[n].Lasting },
	} {
		for _, n := range order {
			more := max(min(missing, room(n)), 0)
			out[n].Lasting += more
			missing -= more
		}
	}
}

func ceil(n, parts int) int { return (n + parts - 1) / parts }

func bound(in Input, n int) int { return min(max(n, in.Scaling.Least), in.Scaling.Most) }
