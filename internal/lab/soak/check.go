package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/rockdoor/rockdoor/internal/standin/fleetapi"
)

// checker checks promises on facts that do not change any more.
type checker struct {
	o Options
	f *Facts
	// calls are by id, arrivals by the id of their request, in order of their times.
	calls    map[string]*Call
	arrivals map[string][]*Arrival
	healed   time.Time
	// reports are those of usage.
	reports []fleetapi.Call
}

// check checks all promises.
func check(w *world, healed time.Time) *Report {
	w.facts.mu.Lock()
	defer w.facts.mu.Unlock()
	c := newChecker(w.o, w.facts, healed)
	c.reports = w.api.Calls()
	r := c.summary()
	for _, p := range []struct {
		check func() Promise
		// rate is how many cases a run must have, for each process and minute of faults.
		rate float64
	}{
		{c.answersAreWhole, 100}, {c.refusalsAreTrue, 5}, {c.atMostOnce, 30}, {c.unchanged, 100}, {c.routed, 100}, {c.notDenied, 100},
		{c.answered, 30}, {c.inTime, 0}, {c.configurationInForce, 10}, {c.configurationNeverBack, 20}, {c.leavingGetNothing, leaveRate},
		{c.rateLimits, limitRate},
		{c.budget, 0}, {c.deadlines, 30}, {c.goneIsOver, 2}, {c.runsGoOnAlone, 0}, {c.oneHolder, 1}, {c.authority, 1},
		{c.windowsHaveOneContent, 1}, {c.stopsCutNothing, 2}, {c.processesLive, 1}, {c.logsAreClean, 1}, {c.recovers, 3},
	} {
		promise := p.check()
		promise.Least = int(p.rate * c.o.Length.Minutes() * float64(c.o.Processes))
		r.Promises = append(r.Promises, promise)
	}
	return r
}

// leaveRate is how many instances must leave, for each process and minute: of two, one proved nothing.
const leaveRate = 1.5

// limitRate is how many instances must have limited their rate, for each process and minute.
const limitRate = 0.5

func newChecker(o Options, f *Facts, healed time.Time) *checker {
	o.complete()
	o.Bounds = o.checked()
	c := &checker{o: o, f: f, calls: map[string]*Call{}, arrivals: map[string][]*Arrival{}, healed: healed}
	for _, call := range f.Calls {
		c.calls[call.ID] = call
	}
	slices.SortStableFunc(f.Arrivals, func(a, b *Arrival) int { return a.At.Compare(b.At) })
	for _, a := range f.Arrivals {
		if a.Ended.IsZero() {
			a.Ran = !a.Read // it hangs at the instance
		}
		c.arrivals[a.ID] = append(c.arrivals[a.ID], a)
	}
	return c
}

func (c *checker) summary() *Report {
	r := &Report{
		Seed: c.o.Seed, Processes: c.o.Processes, Length: c.o.Length, Dir: c.o.Dir, Calls: len(c.f.Calls), Arrivals: len(c.f.Arrivals),
		Answers: map[string]int{}, Faults: map[Fault]int{},
	}
	for _, call := range c.f.Calls {
		r.Answers[outcome(call)]++
	}
	for _, d := range c.f.Disturbances {
		r.Faults[d.Fault]++
	}
	r.Served, _ = c.servedAfter(c.healed.Add(c.o.Bounds.Recovery))
	return r
}

func outcome(call *Call) string {
	switch {
	case !call.Left.IsZero():
		return "caller left"
	case call.Status == 0:
		return "no answer"
	case !call.Whole:
		return "cut"
	}
	return fmt.Sprint(call.Status)
}

// runs returns the arrivals of a request that ran.
func (c *checker) runs(id string) []*Arrival {
	var out []*Arrival
	for _, a := range c.arrivals[id] {
		if a.Ran {
			out = append(out, a)
		}
	}
	return out
}

// broken reports whether an instance broke off one of the arrivals.
func broken(arrivals []*Arrival) bool {
	return slices.ContainsFunc(arrivals, func(a *Arrival) bool { return a.Broke })
}

// breach adds a case, whose signs in the logs may be added to it.
func (p *Promise) breach(request, format string, args ...any) *Breach {
	p.Breaches = append(p.Breaches, Breach{Request: request, What: fmt.Sprintf(format, args...)})
	return &p.Breaches[len(p.Breaches)-1]
}

// signs says what the lines of the logs hold that tell of a breach.
func (b *Breach) signs(all ...string) { b.Signs = append(b.Signs, all...) }

// servedAfter returns the share of requests that were answered whole, of those that were sent
// after a time and not left, and how many there were.
func (c *checker) servedAfter(at time.Time) (share float64, of int) {
	served := 0
	for _, call := range c.f.Calls {
		if call.Sent.Before(at) || !call.Left.IsZero() {
			continue
		}
		of++
		if call.Whole && (call.Status == http.StatusOK || call.Kind == Only && call.Status == http.StatusNotFound) {
			served++
		}
	}
	return float64(served) / float64(max(of, 1)), of
}

// leastServed is the share of requests that must be served after the recovery.
const leastServed = 0.9

func (c *checker) recovers() Promise {
	p := Promise{Name: "requests are served again once the faults are over"}
	share, of := c.servedAfter(c.healed.Add(c.o.Bounds.Recovery))
	p.Cases = of
	if share < leastServed {
		p.breach("", "%.0f%% of %d requests were answered whole", 100*share, of)
	}
	return p
}
