package soak

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// FaultLimit has an instance name a rate limit in its answers for a time.
const FaultLimit Fault = "instance-limits-rate"

const (
	// limitEvery is the mean time between two instances that begin to limit their rate, limitLeast and
	// limitMost for how long each does: longer than processes must be undisturbed for bounds to hold.
	limitEvery = 2 * time.Second
	limitLeast = 5 * time.Second
	limitMost  = 12 * time.Second
	// leastLimit and mostLimit bound the rates, in requests a second: most are below what comes.
	leastLimit, mostLimit = 0.5, 10.0
	// limitWindow is the time in which an instance gets at most limitUse times its rate and limitSlack
	// requests, by the users' rules.
	limitWindow = 4 * time.Second
	limitUse    = 1.5
	limitSlack  = 5
	// limitTold is how long after it has passed on an answer with the limit a process is held to it.
	limitTold = 500 * time.Millisecond
)

// limitSeed keeps the draws of limits apart from those of the other faults, which a seed has drawn
// since before there were limits.
const limitSeed = 1

// limits returns instances that limit their rates for a time.
func limits(seed uint64, layout *Layout, length time.Duration) []Action {
	s := &scheduler{rng: rand.New(rand.NewPCG(seed, limitSeed)), layout: layout}
	return s.often(limitEvery, length, func() Action {
		a := instanceFault(FaultLimit, 1, leaves)(s)
		a.For = limitLeast + s.upTo(limitMost-limitLeast)
		a.Rate = leastLimit + (mostLimit-leastLimit)*s.rng.Float64()
		return a
	})
}

// Limit is a time in which an instance named a rate limit.
type Limit struct {
	Instance string
	// Rate is in requests a second.
	Rate     float64
	From, To time.Time
}

// limit has the present instance name a rate limit for a time, if it names none.
func (p *place) limit(rate float64, d time.Duration) {
	e := p.instance()
	l := &Limit{Instance: e.ID, Rate: rate, From: time.Now(), To: time.Now().Add(d)}
	known := false
	p.w.facts.note(func() {
		known = slices.ContainsFunc(p.w.facts.Limits, func(l *Limit) bool { return l.Instance == e.ID })
		if !known {
			p.w.facts.Limits = append(p.w.facts.Limits, l)
		}
	})
	if known {
		return
	}
	e.SetRateLimit(strconv.FormatFloat(rate, 'f', -1, 64))
	p.w.later(d, func() {
		p.w.facts.note(func() { l.To = time.Now() })
		e.SetRateLimit("")
	})
}

// rateLimits: all processes together send an instance no more than the rate that it names.
func (c *checker) rateLimits() Promise {
	p := Promise{Name: "all processes together keep the rate that an instance names"}
	judged := 0
	for _, l := range c.f.Limits {
		counted := c.limited(l)
		judged += len(counted)
		if l.To.Sub(l.From) > c.o.Bounds.Contact && len(counted) > 0 {
			p.Cases++
		}
		c.limitOf(&p, l, counted)
	}
	p.Closest = " (" + strconv.Itoa(judged) + " arrivals judged)"
	return p
}

// limited returns the arrivals at an instance that count against its limit, in order: those from
// undisturbed processes that had passed on an answer with it for a while.
func (c *checker) limited(l *Limit) []*Arrival {
	var out []*Arrival
	told := map[int]time.Time{}
	for _, a := range c.f.Arrivals {
		call := c.calls[a.ID]
		if a.Instance != l.Instance || call == nil || a.At.Before(l.From) || a.At.After(l.To) {
			continue
		}
		if at, ok := told[call.Gateway]; ok && a.At.Sub(at) >= limitTold && c.inTouch(call.Gateway, a.At) {
			out = append(out, a)
		}
		if at, ok := told[call.Gateway]; a.Limited && (!ok || a.Headed.Before(at)) {
			told[call.Gateway] = a.Headed
		}
	}
	return out
}

// limitOf looks at each window that ends with an arrival.
func (c *checker) limitOf(p *Promise, l *Limit, counted []*Arrival) {
	most := limitUse*l.Rate*limitWindow.Seconds() + limitSlack
	for n, first := 0, 0; n < len(counted); n++ {
		for counted[n].At.Sub(counted[first].At) >= limitWindow {
			first++
		}
		if got := n - first + 1; float64(got) > most && counted[n].At.Sub(l.From) >= c.o.Bounds.Contact {
			p.breach(counted[n].ID, "%s: %s named %.1f requests a second and got %d in %s", counted[n].ID, l.Instance, l.Rate, got, limitWindow).signs("instance=" + l.Instance)
			return
		}
	}
}
