package soak

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// FaultLimit has an instance announce a rate limit in its responses for a time.
const FaultLimit Fault = "instance-limits-rate"

const (
	// meanLimitInterval is the mean time between two instances that start to announce a limit. Each
	// does so for minLimitDuration to maxLimitDuration, which exceeds the time for which processes
	// must be undisturbed before bounds apply.
	meanLimitInterval = 2 * time.Second
	minLimitDuration  = 5 * time.Second
	maxLimitDuration  = 12 * time.Second
	// minLimitRate and maxLimitRate bound the announced rates, in requests per second. Most of them
	// are below the rate of incoming requests.
	minLimitRate, maxLimitRate = 0.5, 10.0
	// Within limitWindow, an instance may get at most limitFactor times the requests that its rate
	// allows plus limitSlack, by the users' rules.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitNoticeTime is the time after which a process that got a response with the limit must
	// keep it.
	limitNoticeTime = 500 * time.Millisecond
)

// limitSeed selects a separate random sequence for rate limits, so that the schedules of the other
// faults stay the same as before rate limits were added.
const limitSeed = 1

// rateLimitActions returns the actions by which instances announce rate limits.
func rateLimitActions(seed uint64, layout *Layout, length time.Duration) []Action {
	s := &scheduleBuilder{rng: rand.New(rand.NewPCG(seed, limitSeed)), layout: layout}
	return s.atRandomIntervals(meanLimitInterval, length, func() Action {
		a := instanceFault(FaultLimit, 1, hasSeveralInstances)(s)
		a.Duration = minLimitDuration + s.randomDuration(maxLimitDuration-minLimitDuration)
		a.Rate = minLimitRate + (maxLimitRate-minLimitRate)*s.rng.Float64()
		return a
	})
}

// Limit is a period in which an instance announced a rate limit.
type Limit struct {
	Instance string
	// Rate is in requests per second.
	Rate     float64
	From, To time.Time
}

// announceRateLimit has the current instance announce a rate limit for a time, unless it has
// announced one before.
func (p *place) announceRateLimit(rate float64, d time.Duration) {
	e := p.currentInstance()
	l := &Limit{Instance: e.ID, Rate: rate, From: time.Now(), To: time.Now().Add(d)}
	known := false
	p.w.observed.record(func() {
		known = slices.ContainsFunc(p.w.observed.Limits, func(l *Limit) bool { return l.Instance == e.ID })
		if !known {
			p.w.observed.Limits = append(p.w.observed.Limits, l)
		}
	})
	if known {
		return
	}
	e.SetRateLimit(strconv.FormatFloat(rate, 'f', -1, 64))
	p.w.runAfter(d, func() {
		p.w.observed.record(func() { l.To = time.Now() })
		e.SetRateLimit("")
	})
}

// rateLimits checks that all processes together send an instance no more than the rate that it
// announces.
func (c *checker) rateLimits() Guarantee {
	g := Guarantee{Name: "all processes together keep the rate limit that an instance announces"}
	judged := 0
	for _, l := range c.observed.Limits {
		counted := c.judgedArrivals(l)
		judged += len(counted)
		if l.To.Sub(l.From) > c.o.Bounds.ContactTime && len(counted) > 0 {
			g.Cases++
		}
		c.checkRateLimit(&g, l, counted)
	}
	g.Closest = " (" + strconv.Itoa(judged) + " arrivals judged)"
	return g
}

// judgedArrivals returns the arrivals at an instance that count towards its limit, in order: those
// from undisturbed processes that passed on a response with the limit at least limitNoticeTime
// before.
func (c *checker) judgedArrivals(l *Limit) []*Arrival {
	var out []*Arrival
	noticedAt := map[int]time.Time{}
	for _, a := range c.observed.Arrivals {
		call := c.calls[a.key()]
		if a.Instance != l.Instance || call == nil || a.At.Before(l.From) || a.At.After(l.To) {
			continue
		}
		if at, ok := noticedAt[call.Gateway]; ok && a.At.Sub(at) >= limitNoticeTime && c.undisturbed(call.Gateway, a.At) {
			out = append(out, a)
		}
		if at, ok := noticedAt[call.Gateway]; a.RateLimited && (!ok || a.ResponseStart.Before(at)) {
			noticedAt[call.Gateway] = a.ResponseStart
		}
	}
	return out
}

// checkRateLimit checks each window that ends with an arrival.
func (c *checker) checkRateLimit(g *Guarantee, l *Limit, counted []*Arrival) {
	allowed := limitFactor*l.Rate*limitWindow.Seconds() + limitSlack
	for n, first := 0, 0; n < len(counted); n++ {
		for counted[n].At.Sub(counted[first].At) >= limitWindow {
			first++
		}
		if got := n - first + 1; float64(got) > allowed && counted[n].At.Sub(l.From) >= c.o.Bounds.ContactTime {
			g.addViolation(counted[n].ID, "%s: %s announced a limit of %.1f requests per second and got %d in %s", counted[n].ID, l.Instance, l.Rate, got, limitWindow).addLogPatterns("instance=" + l.Instance)
			return
		}
	}
}
