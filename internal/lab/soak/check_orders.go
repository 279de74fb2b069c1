package soak

import (
	"fmt"
	"slices"
	"time"
)

// mayHaveBeenDelayed reports whether an order may have been delayed on its way, because its sender
// resumed from a freeze, or a link to it recovered, shortly before.
func (c *checker) mayHaveBeenDelayed(o *Order) bool {
	from := o.At.Add(-c.o.Bounds.DelayedDelivery)
	return slices.ContainsFunc(c.observed.Disturbances, func(d *Disturbance) bool {
		if d.Fault != FaultFreeze && d.Fault != FaultOneWay && d.Fault != FaultSilence {
			return false
		}
		return d.To.After(from) && d.To.Before(o.At) && slices.ContainsFunc(d.Gateways, func(n int) bool { return gatewayName(n) == o.Holder })
	})
}

// singleHolder checks that only one process at a time sends orders. Each engine, and the platform's
// API, must see tokens that never decrease, one holder for each token, and a pause between two
// holders.
func (c *checker) singleHolder() Guarantee {
	g := Guarantee{Name: "orders and reports come from one holder at a time"}
	last := map[string]*Order{}
	holders := map[int64]string{}
	orders := slices.Clone(c.observed.Orders)
	slices.SortStableFunc(orders, func(a, b *Order) int { return a.At.Compare(b.At) })
	for _, o := range orders {
		g.Cases++
		if o.From != "" && o.From != o.Holder && c.o.Processes <= maxFullMesh {
			g.addViolation("", "an order to %s came from %s but names %s as the holder", o.To, o.From, o.Holder)
		}
		if h, used := holders[o.Token]; used && h != o.Holder {
			g.addViolation("", "token %d of %s and %s", o.Token, h, o.Holder)
		}
		holders[o.Token] = o.Holder
		if c.mayHaveBeenDelayed(o) {
			continue
		}
		before := last[o.To]
		last[o.To] = o
		switch {
		case before == nil:
		case o.Token < before.Token:
			g.addViolation("", "%s got token %d of %s %s after token %d of %s", o.To, o.Token, o.Holder, o.At.Sub(before.At), before.Token, before.Holder)
		case o.Holder != before.Holder && o.At.Sub(before.At) < c.o.Bounds.Lease:
			g.addViolation("", "%s got an order of %s %s after one of %s", o.To, o.Holder, o.At.Sub(before.At), before.Holder)
		}
	}
	return g
}

// maxFullMesh is the largest deployment in which each process reads the store itself, so that a
// link is used only by the process that it belongs to.
const maxFullMesh = 16

// ordersUnderLease checks that each order was sent under a lease that its sender had been granted
// and that no other process had taken over yet.
func (c *checker) ordersUnderLease() Guarantee {
	g := Guarantee{Name: "no order without the lease"}
	for _, o := range c.observed.Orders {
		g.Cases++
		var granted, superseded time.Time
		for _, l := range c.observed.Leases {
			switch {
			case l.Holder == o.Holder && l.Token == o.Token && granted.IsZero():
				granted = l.At
			case l.Token > o.Token && superseded.IsZero():
				superseded = l.At
			}
		}
		switch {
		case granted.IsZero() || granted.After(o.At):
			g.addViolation("", "an order to %s from %s with token %d, which it was never granted", o.To, o.Holder, o.Token).addLogPatterns("component=duty", "component=lease")
		case !superseded.IsZero() && o.At.After(superseded) && !c.mayHaveBeenDelayed(o):
			g.addViolation("", "an order to %s from %s with token %d came %s after another took the lease", o.To, o.Holder, o.Token, o.At.Sub(superseded)).addLogPatterns("component=duty", "component=lease")
		}
	}
	return g
}

// usageWindowsStable checks that all reports of a usage window have the same content.
func (c *checker) usageWindowsStable() Guarantee {
	g := Guarantee{Name: "a usage window is never reported with different contents"}
	first := map[int64]string{}
	for _, call := range c.usageReports {
		r := call.Report
		if r == nil {
			g.addViolation("", "cannot read a report of %s: %q", call.Holder, call.Body)
			continue
		}
		g.Cases++
		counts := fmt.Sprint(r.Counts)
		if before, known := first[r.Window]; known && before != counts {
			g.addViolation("", "window %d was reported as %s and by %s as %s", r.Window, before, call.Holder, counts)
		}
		first[r.Window] = counts
	}
	return g
}
