package soak

import (
	"fmt"
	"slices"
	"time"
)

// heldUp reports whether an order may have been held up on its way: its sender was woken, or a
// link to it healed, shortly before.
func (c *checker) heldUp(o *Order) bool {
	from := o.At.Add(-c.o.Bounds.Thaw)
	return slices.ContainsFunc(c.f.Disturbances, func(d *Disturbance) bool {
		if d.Fault != FaultFreeze && d.Fault != FaultOneWay && d.Fault != FaultSilence {
			return false
		}
		return d.To.After(from) && d.To.Before(o.At) && slices.ContainsFunc(d.Gateways, func(n int) bool { return gatewayName(n) == o.Holder })
	})
}

// oneHolder: whoever gives orders does so alone. Each engine, and the platform's API, sees
// tokens that never fall, one holder for each, and a pause between two holders.
func (c *checker) oneHolder() Promise {
	p := Promise{Name: "orders and reports come from one holder at a time"}
	last := map[string]*Order{}
	holders := map[int64]string{}
	orders := slices.Clone(c.f.Orders)
	slices.SortStableFunc(orders, func(a, b *Order) int { return a.At.Compare(b.At) })
	for _, o := range orders {
		p.Cases++
		if o.From != "" && o.From != o.Holder && c.o.Processes <= fullMesh {
			p.breach("", "an order to %s came from %s in the name of %s", o.To, o.From, o.Holder)
		}
		if h, used := holders[o.Token]; used && h != o.Holder {
			p.breach("", "token %d of %s and %s", o.Token, h, o.Holder)
		}
		holders[o.Token] = o.Holder
		if c.heldUp(o) {
			continue
		}
		before := last[o.To]
		last[o.To] = o
		switch {
		case before == nil:
		case o.Token < before.Token:
			p.breach("", "%s got token %d of %s %s after token %d of %s", o.To, o.Token, o.Holder, o.At.Sub(before.At), before.Token, before.Holder)
		case o.Holder != before.Holder && o.At.Sub(before.At) < c.o.Bounds.Lease:
			p.breach("", "%s got an order of %s %s after one of %s", o.To, o.Holder, o.At.Sub(before.At), before.Holder)
		}
	}
	return p
}

// fullMesh is the size up to which each process reads the store for itself, and a link belongs
// to the process that uses it.
const fullMesh = 16

// authority: each order was given under a lease that its sender had, and that nobody had taken
// over yet.
func (c *checker) authority() Promise {
	p := Promise{Name: "no order without the lease"}
	for _, o := range c.f.Orders {
		p.Cases++
		var granted, over time.Time
		for _, l := range c.f.Leases {
			switch {
			case l.Holder == o.Holder && l.Token == o.Token && granted.IsZero():
				granted = l.At
			case l.Token > o.Token && over.IsZero():
				over = l.At
			}
		}
		switch {
		case granted.IsZero() || granted.After(o.At):
			p.breach("", "an order to %s from %s with token %d, which it was never granted", o.To, o.Holder, o.Token).signs("component=duty", "component=lease")
		case !over.IsZero() && o.At.After(over) && !c.heldUp(o):
			p.breach("", "an order to %s from %s with token %d came %s after another took the lease", o.To, o.Holder, o.Token, o.At.Sub(over)).signs("component=duty", "component=lease")
		}
	}
	return p
}

// windowsHaveOneContent: what the platform was told of a window of usage never changes.
func (c *checker) windowsHaveOneContent() Promise {
	p := Promise{Name: "a window of usage is never reported with two contents"}
	first := map[int64]string{}
	for _, call := range c.reports {
		r := call.Report
		if r == nil {
			p.breach("", "a report of %s cannot be read: %q", call.Holder, call.Body)
			continue
		}
		p.Cases++
		counts := fmt.Sprint(r.Counts)
		if before, known := first[r.Window]; known && before != counts {
			p.breach("", "window %d was reported as %s and by %s as %s", r.Window, before, call.Holder, counts)
		}
		first[r.Window] = counts
	}
	return p
}
