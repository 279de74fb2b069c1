package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rockdoor/rockdoor/engine"
)

// atMostOnce checks that requests that must not be retried run at most once.
func (c *checker) atMostOnce() Guarantee {
	g := Guarantee{Name: "requests that must not be retried run at most once"}
	for _, call := range c.observed.Calls {
		if !call.Kind.AtMostOnce() {
			continue
		}
		g.Cases++
		if runs := c.runs(call); len(runs) > 1 {
			g.addViolation(call.ID, "%s: ran %d times, at %s and %s", call.ID, len(runs), runs[0].Instance, runs[1].Instance)
		}
	}
	return g
}

// requestsUnchanged checks that instances get requests exactly as clients sent them, and no others.
func (c *checker) requestsUnchanged() Guarantee {
	g := Guarantee{Name: "instances get the requests of clients, unchanged"}
	for _, a := range c.observed.Arrivals {
		g.Cases++
		call := c.calls[a.key()]
		switch {
		case call == nil:
			g.addViolation(a.ID, "%s: arrived at %s, but no client sent it", a.ID, a.Instance)
		case a.Method != http.MethodPost || a.Path != call.Path || a.Body != call.Body:
			g.addViolation(a.ID, "%s: arrived as %s %s with body %q", a.ID, a.Method, a.Path, a.Body)
		case call.Kind.Streams() && !hasPart(a, ownPart(call)):
			g.addViolation(a.ID, "%s: arrived with prompt %v", a.ID, a.Parts)
		}
	}
	return g
}

func hasPart(a *Arrival, id string) bool {
	return slices.ContainsFunc(a.Parts, func(p engine.Part) bool { return p.ID == id })
}

// routedAsConfigured checks that a service runs only requests that some configuration routes to it.
func (c *checker) routedAsConfigured() Guarantee {
	g := Guarantee{Name: "requests run only where a configuration routes them"}
	for _, a := range c.observed.Arrivals {
		call := c.calls[a.key()]
		if call == nil || !a.Ran && !a.PrefillOnly || a.Status == http.StatusMisdirectedRequest {
			continue // an instance that is not the intended one responds with 421, to a prefill too, and runs nothing
		}
		g.Cases++
		service := serviceApp
		if call.Kind.Streams() {
			service = serviceModels
		}
		if a.Service != service && (call.Kind != Mark || !strings.HasPrefix(a.Service, "mark-")) {
			g.addViolation(a.ID, "%s: %s ran at %s of %s", a.ID, call.Path, a.Instance, a.Service)
		}
	}
	return g
}

// withdrawnGetNoWork checks that instances get no new work from undisturbed processes once the
// drain bound has passed since they started to drain or were deregistered.
func (c *checker) withdrawnGetNoWork() Guarantee {
	g := Guarantee{Name: "withdrawn instances get no new work after the drain bound"}
	withdrawnAt := map[string]time.Time{}
	for _, l := range c.observed.Withdrawals {
		if at, ok := withdrawnAt[l.Instance]; !ok || l.At.Before(at) {
			withdrawnAt[l.Instance] = l.At
		}
	}
	g.Cases = len(withdrawnAt)
	latest := time.Duration(0)
	judged, excused := 0, 0
	for _, a := range c.observed.Arrivals {
		at, ok := withdrawnAt[a.Instance]
		call := c.calls[a.key()]
		if !ok || call == nil || a.At.Before(at) {
			continue
		}
		if a.Status == http.StatusMisdirectedRequest {
			continue
		}
		if !c.undisturbed(call.Gateway, a.At) {
			excused++
			continue
		}
		judged++
		after := a.At.Sub(at)
		latest = max(latest, after)
		if after > c.o.Bounds.Drain {
			g.addViolation(a.ID, "%s: reached %s %s after its withdrawal, from %s", a.ID, a.Instance, after, gatewayName(call.Gateway)).addLogPatterns("id=" + a.Instance + " ")
		}
	}
	g.Closest = fmt.Sprintf(" (%d later arrivals judged, %d excused, the last after %s)", judged, excused, latest.Round(time.Millisecond))
	return g
}

const (
	// deadlineSlack is how much later than the client's deadline an instance's may be.
	deadlineSlack = 500 * time.Millisecond
	// A run may have up to maxLongDeadlines arrivals, or a share of maxLongDeadlineShare of them,
	// with a longer deadline, by the users' rules.
	maxLongDeadlines     = 20
	maxLongDeadlineShare = 0.2
)

// deadlines checks that the deadline an instance gets is no later than the client's.
func (c *checker) deadlines() Guarantee {
	g := Guarantee{Name: "instances get no more time than the client has remaining"}
	var over []*Arrival
	for _, a := range c.observed.Arrivals {
		call := c.calls[a.key()]
		if call == nil || !c.undisturbed(call.Gateway, a.At) {
			continue
		}
		g.Cases++
		if !a.HasDeadline || a.At.Add(a.Remaining).After(call.Sent.Add(call.Timeout+deadlineSlack)) {
			over = append(over, a)
		}
	}
	if len(over) > maxLongDeadlines && float64(len(over)) > maxLongDeadlineShare*float64(g.Cases) {
		g.addViolation(over[0].ID, "%d of %d arrivals had later deadlines than their clients, first %s", len(over), g.Cases, over[0].ID)
	}
	return g
}

const (
	// maxArrivalsAfterCancel is the number of arrivals after the client has disconnected that are
	// tolerated, maxContinuedShare the share of runs that may continue, by the users' rules.
	maxArrivalsAfterCancel = 3
	maxContinuedShare      = 0.25
)

// canceledWorkEnds checks that no work starts for a client that has disconnected, and that its
// running requests end.
func (c *checker) canceledWorkEnds() Guarantee {
	g := Guarantee{Name: "no work starts or continues for clients that have disconnected"}
	var after, continued []*Arrival
	eligible, longest := 0, time.Duration(0)
	for _, call := range c.observed.Calls {
		cutoff := call.CanceledAt.Add(c.o.Bounds.WorkAfterCancel)
		if call.CanceledAt.IsZero() || !c.undisturbed(call.Gateway, cutoff) {
			continue
		}
		for _, a := range c.arrivals[call.key()] {
			g.Cases++
			due := a.At.Add(workTime + streamEvents*eventGap) // by then, the run has ended on its own
			switch {
			case a.At.After(cutoff):
				after = append(after, a)
			case !a.Ran || !call.Kind.Streams() || due.Before(cutoff):
			default:
				eligible++
				if !a.Ended.IsZero() {
					longest = max(longest, a.Ended.Sub(call.CanceledAt))
				}
				if a.Ended.IsZero() || a.Ended.After(cutoff) {
					continued = append(continued, a)
				}
			}
		}
	}
	g.Closest = fmt.Sprintf(" (%d runs were under way, the last ended %s after its client)", eligible, longest.Round(time.Millisecond))
	if len(after) > maxArrivalsAfterCancel {
		g.addViolation(after[0].ID, "%d arrivals more than %s after the client had disconnected, first %s at %s", len(after), c.o.Bounds.WorkAfterCancel, after[0].ID, after[0].Instance)
	}
	if float64(len(continued)) > maxContinuedShare*float64(eligible) {
		g.addViolation(continued[0].ID, "%d of %d runs continued %s after the client had disconnected, first %s at %s", len(continued), eligible, c.o.Bounds.WorkAfterCancel, continued[0].ID, continued[0].Instance)
	}
	return g
}

// maxRunOverlap is how long an earlier run may continue beside the one that resumes it.
const maxRunOverlap = 400 * time.Millisecond

// resumedRunsExclusive checks that a stream that is resumed at another engine, by a process or by its client, has ended at the
// previous one.
func (c *checker) resumedRunsExclusive() Guarantee {
	g := Guarantee{Name: "a stream that is resumed elsewhere has ended at the previous engine"}
	longest := time.Duration(0)
	check := func(call *Call, before, next *Arrival) {
		g.Cases++
		overlap := before.Ended.Sub(next.At)
		if before.Ended.IsZero() {
			overlap = maxRunOverlap + time.Nanosecond
		}
		longest = max(longest, overlap)
		if overlap > maxRunOverlap {
			g.addViolation(call.ID, "%s: resumed at %s while %s still ran it", call.ID, next.Instance, before.Instance)
		}
	}
	for _, call := range c.observed.Calls {
		if !call.Kind.Streams() || !c.undisturbed(call.Gateway, call.Ended) {
			continue
		}
		runs := c.runs(call)
		for n := 1; n < len(runs); n++ {
			check(call, runs[n-1], runs[n])
		}
		begun := c.calls[call.resumedKey()]
		if begun == nil || len(runs) == 0 || !c.undisturbed(begun.Gateway, runs[0].At) {
			continue
		}
		for _, before := range c.runs(begun) {
			check(call, before, runs[0])
		}
	}
	g.Closest = fmt.Sprintf(" (the longest overlap: %s)", longest.Round(time.Millisecond))
	return g
}
