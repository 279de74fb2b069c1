package soak

import (
	"net/http"
	"slices"
	"sort"
	"time"
)

// budgetedArrivals returns the arrivals of a request that count against the retry budget: all but
// the first one and the first accepted prefill.
func budgetedArrivals(arrivals []*Arrival) []*Arrival {
	var out []*Arrival
	prefilled := false
	for _, a := range arrivals {
		if a.PrefillOnly && a.Status == http.StatusOK && !prefilled {
			prefilled = true
			continue
		}
		out = append(out, a)
	}
	return out[min(1, len(out)):]
}

// budget checks that all processes together send each service no more arrivals beyond the first of
// each request than the retry budget allows.
func (c *checker) budget() Guarantee {
	g := Guarantee{Name: "all processes together keep the retry budget"}
	requests, extra := map[string][]time.Time{}, map[string][]*Arrival{}
	for id, arrivals := range c.arrivals {
		for _, a := range budgetedArrivals(arrivals) {
			extra[a.Service] = append(extra[a.Service], a)
		}
		if call := c.calls[id]; call != nil && call.Kind == Mark {
			requests[arrivals[0].Service] = append(requests[arrivals[0].Service], call.Sent)
		}
	}
	for _, call := range c.observed.Calls {
		switch {
		case call.Kind.Streams():
			requests[serviceModels] = append(requests[serviceModels], call.Sent)
		case call.Kind != Mark:
			requests[serviceApp] = append(requests[serviceApp], call.Sent)
		}
	}
	for service, sent := range requests {
		slices.SortFunc(sent, time.Time.Compare)
		c.checkBudget(&g, service, sent, extra[service])
	}
	return g
}

// checkBudget checks each window that ends with an arrival.
func (c *checker) checkBudget(g *Guarantee, service string, sent []time.Time, extra []*Arrival) {
	window := c.o.Bounds.RetryWindow
	slices.SortFunc(extra, func(a, b *Arrival) int { return a.At.Compare(b.At) })
	worst, first := 0.0, (*Arrival)(nil)
	for n, m := 0, 0; n < len(extra); n++ {
		for extra[n].At.Sub(extra[m].At) >= window {
			m++
		}
		g.Cases++
		end := extra[n].At
		baseline := max(between(sent, end.Add(-window), end), between(sent, end.Add(-2*window), end.Add(-window)),
			between(sent, end.Add(-3*window/2), end.Add(-window/2)))
		allowed := c.o.Bounds.RetryRatio*float64(baseline) + c.o.Bounds.RetrySlack
		if over := float64(n-m+1) - allowed; over > worst {
			worst, first = over, extra[n]
		}
	}
	if first != nil {
		g.addViolation(first.ID, "service %s got %.0f arrivals more than the budget in a window of %s", service, worst, window)
	}
}

// between counts the times in a sorted list that are after from and not after to.
func between(times []time.Time, from, to time.Time) int {
	upTo := func(t time.Time) int {
		return sort.Search(len(times), func(n int) bool { return times[n].After(t) })
	}
	return upTo(to) - upTo(from)
}
