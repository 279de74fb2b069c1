package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/rockdoor/rockdoor/internal/standin/fleetapi"
)

// checker checks the guarantees. The observations must be complete and no longer change.
type checker struct {
	o        Options
	observed *Observations
	// calls and arrivals are indexed by the key of the attempt. The arrivals of an attempt are ordered by time.
	calls       map[string]*Call
	arrivals    map[string][]*Arrival
	faultsEnded time.Time
	// usageReports are the usage reports that the platform's API received.
	usageReports []fleetapi.Call
}

// check checks all guarantees and returns the report.
func check(w *world, faultsEnded time.Time) *Report {
	w.observed.mu.Lock()
	defer w.observed.mu.Unlock()
	c := newChecker(w.o, w.observed, faultsEnded)
	c.usageReports = w.api.Calls()
	r := c.summary()
	for _, g := range []struct {
		check func() Guarantee
		// rate is the number of cases that a run needs per process and minute of faults.
		rate float64
	}{
		{c.responsesComplete, 100}, {c.streamsAsWritten, 20}, {c.garbledStreamsContinue, 0}, {c.foreignNotRelayed, 0}, {c.servedBesideEndless, 0}, {c.slowUploadsAnswered, 0}, {c.newInstancesGetWork, 0}, {c.processesBecomeReady, 0}, {c.refusedNeverRun, 5}, {c.atMostOnce, 30}, {c.atMostOnceOverAttempts, 5}, {c.closedUnreadNeverRuns, 0}, {c.requestsUnchanged, 100}, {c.routedAsConfigured, 100}, {c.allowedNotDenied, 100},
		{c.reusedConnsAnswered, 30}, {c.answeredInTime, 0}, {c.configurationInForce, 10}, {c.configurationMonotonic, 20}, {c.withdrawnGetNoWork, minWithdrawalRate},
		{c.rateLimits, minLimitCaseRate},
		{c.budget, 0}, {c.deadlines, 30}, {c.canceledWorkEnds, 2}, {c.resumedRunsExclusive, 0}, {c.streamsOfOneVersion, minResumptionRate}, {c.resumptionsServed, 0}, {c.poisonPartsStopped, 0}, {c.singleHolder, 1}, {c.ordersUnderLease, 1},
		{c.usageWindowsStable, 1}, {c.plannedStopsLoseNothing, 2}, {c.processesExitWhenTold, 1}, {c.processesStayWithinLimits, 0}, {c.logsAreClean, 1}, {c.servesAfterRecovery, 3}, {c.neverServed, 1},
	} {
		guarantee := g.check()
		guarantee.MinCases = int(g.rate * c.o.Length.Minutes() * float64(c.o.Processes))
		r.Guarantees = append(r.Guarantees, guarantee)
	}
	return r
}

// minWithdrawalRate is the number of withdrawals that a run needs per process and minute. Without
// it, runs of 65 processes reported the guarantee as kept after only 2 and 7 withdrawals, which
// prove nothing.
const minWithdrawalRate = 1.5

// minResumptionRate is the number of resumptions with events that a run needs per process and minute.
const minResumptionRate = 0.5

// minLimitCaseRate is the number of instances with a rate limit that a run needs per process and
// minute.
const minLimitCaseRate = 0.5

func newChecker(o Options, f *Observations, faultsEnded time.Time) *checker {
	o.setDefaults()
	o.Bounds = o.relaxedBounds()
	c := &checker{o: o, observed: f, calls: map[string]*Call{}, arrivals: map[string][]*Arrival{}, faultsEnded: faultsEnded}
	for _, call := range f.Calls {
		c.calls[call.key()] = call
	}
	slices.SortStableFunc(f.Arrivals, func(a, b *Arrival) int { return a.At.Compare(b.At) })
	for _, a := range f.Arrivals {
		if a.Ended.IsZero() {
			a.Ran = !a.PrefillOnly // the instance never finished the request, so that it may have run
		}
		c.arrivals[a.key()] = append(c.arrivals[a.key()], a)
	}
	return c
}

func (c *checker) summary() *Report {
	r := &Report{
		Seed: c.o.Seed, Processes: c.o.Processes, Length: c.o.Length, Dir: c.o.Dir, Calls: len(c.observed.Calls), Arrivals: len(c.observed.Arrivals), LateResponses: c.observed.LateResponses,
		Outcomes: map[string]int{}, Faults: map[Fault]int{},
	}
	for _, call := range c.observed.Calls {
		r.Outcomes[outcome(call)]++
		r.Repeated += boolInt(call.Begun != "")
	}
	for _, d := range c.observed.Disturbances {
		r.Faults[d.Fault]++
	}
	r.ServedShare, _ = c.servedAfter(c.faultsEnded.Add(c.o.Bounds.Recovery))
	return r
}

func outcome(call *Call) string {
	switch {
	case !call.CanceledAt.IsZero():
		return "client canceled"
	case call.Status == 0:
		return "no response"
	case !call.Complete:
		return "cut"
	}
	return fmt.Sprint(call.Status)
}

// runs returns the arrivals of a call that an instance began to run.
func (c *checker) runs(call *Call) []*Arrival {
	var out []*Arrival
	for _, a := range c.arrivals[call.key()] {
		if a.Ran {
			out = append(out, a)
		}
	}
	return out
}

// anyAborted reports whether an instance aborted one of the arrivals.
func anyAborted(arrivals []*Arrival) bool {
	return slices.ContainsFunc(arrivals, func(a *Arrival) bool { return a.Aborted })
}

// addViolation adds a violation, to which the caller may add log patterns.
func (g *Guarantee) addViolation(request, format string, args ...any) *Violation {
	g.Violations = append(g.Violations, Violation{Request: request, What: fmt.Sprintf(format, args...)})
	return &g.Violations[len(g.Violations)-1]
}

// addLogPatterns adds substrings of the log lines that belong to the violation.
func (v *Violation) addLogPatterns(all ...string) { v.LogPatterns = append(v.LogPatterns, all...) }

// servedAfter returns the share of the requests sent after a time that got a complete response, and
// the number of those requests. Requests that their client canceled are not counted.
func (c *checker) servedAfter(at time.Time) (share float64, total int) {
	served := 0
	for _, call := range c.observed.Calls {
		if call.Sent.Before(at) || !countsAsAsked(call) {
			continue
		}
		total++
		served += boolInt(wasServed(call))
	}
	return float64(served) / float64(max(total, 1)), total
}

// minServedShare is the share of requests that must be served after the recovery.
const minServedShare = 0.9

func (c *checker) servesAfterRecovery() Guarantee {
	g := Guarantee{Name: "requests are served again after the faults have ended"}
	share, total := c.servedAfter(c.faultsEnded.Add(c.o.Bounds.Recovery))
	g.Cases = total
	if share < minServedShare {
		g.addViolation("", "%.0f%% of %d requests got a complete response", 100*share, total)
	}
	return g
}
