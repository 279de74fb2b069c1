package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rockdoor/rockdoor/internal/standin/fleetcaller"
)

// expected returns the complete response body for a request.
func expected(call *Call) string {
	if !call.Kind.Streams() {
		return "answer to " + call.ID
	}
	if v := writtenBy(call.ResponseBody); v != "" {
		return expectedEvents(call, versionMark+v)
	}
	for n := range maxVersions { // the first event is cut: any version may have written it
		if all := expectedEvents(call, versionMark+versionName(n)); strings.HasPrefix(all, call.ResponseBody) {
			return all
		}
	}
	return expectedEvents(call, "")
}

// expectedEvents returns the events of a stream, each of which ends in a suffix.
func expectedEvents(call *Call, suffix string) string {
	var b strings.Builder
	for n := call.After + 1; n <= streamEvents; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s-%d%s\n\n", n, call.ID, n, suffix)
	}
	return b.String()
}

// versionMark stands before the version in each event.
const versionMark = " by "

// writtenBy returns the version that wrote the first event of a response, empty if there is none.
func writtenBy(body string) string {
	first, _, whole := strings.Cut(body, "\n\n")
	if !whole {
		return ""
	}
	_, version, _ := strings.Cut(first, versionMark)
	return version
}

// streamsOfOneVersion checks that a stream that a client resumes continues at the version that began it. The events
// within one response are checked by responsesComplete.
func (c *checker) streamsOfOneVersion() Guarantee {
	g := Guarantee{Name: "a stream that a client resumes continues at the version that began it"}
	for _, call := range c.observed.Calls {
		begun := c.calls[call.resumedKey()]
		if begun == nil || receivedEvents(call.ResponseBody) == 0 {
			continue
		}
		g.Cases++
		if before, now := writtenBy(begun.ResponseBody), writtenBy(call.ResponseBody); before != now {
			g.addViolation(call.ID, "%s: continues at %s, begun as %s at %s", call.ID, now, begun.ID, before)
		}
	}
	return g
}

// minResumedShare is the share of new streams that begin, of which the share of resumptions that succeed must be at least
// this much.
const minResumedShare = 0.5

// resumptionsServed checks that undisturbed processes serve resumptions about as well as new streams.

func (c *checker) resumptionsServed() Guarantee {
	g := Guarantee{Name: "resumptions succeed at least half as often as new streams begin"}
	var begun, attempts, continued, resumed int
	for _, call := range c.observed.Calls {
		if call.Kind != Stream || call.Poisoned || !call.CanceledAt.IsZero() || !c.undisturbed(call.Gateway, call.Ended) {
			continue
		}
		served := call.Status == http.StatusOK
		if call.Resumes == "" {
			attempts++
			begun += boolInt(served)
			continue
		}
		if c.enginesOf(writtenBy(c.calls[call.resumedKey()].ResponseBody), call) < minEnginesOfVersion {
			continue
		}
		resumed++
		continued += boolInt(served)
	}
	g.Cases = resumed
	if resumed >= minResumptions && float64(continued)*float64(attempts) < minResumedShare*float64(begun)*float64(resumed) {
		g.addViolation("", "%d of %d resumptions succeeded, %d of %d new streams began", continued, resumed, begun, attempts)
	}
	return g
}

const (
	// minEnginesOfVersion is the number of engines of a stream's version from which its resumption counts, by the users'
	// rules, and engineStartTime the time after its start from which an engine counts.
	minEnginesOfVersion = 2
	engineStartTime     = time.Second
)

// enginesOf returns how many decode engines of a version served during the whole time of a call.
func (c *checker) enginesOf(version string, call *Call) (n int) {
	for _, e := range c.observed.Engines {
		withdrawn := slices.ContainsFunc(c.observed.Withdrawals, func(w Withdrawal) bool { return w.Instance == e.Instance && w.At.Before(call.Ended) })
		if e.Software == version && !withdrawn && e.Started.Add(engineStartTime).Before(call.Sent) && (e.Ended.IsZero() || e.Ended.After(call.Ended)) {
			n++
		}
	}
	return n
}

// minResumptions is the number of resumptions from which their share counts, by the users' rules.
const minResumptions = 12

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// responsesComplete checks that a successful response is the instance's complete response to this
// request, and that a truncated one does not appear complete.
func (c *checker) responsesComplete() Guarantee {
	g := Guarantee{Name: "a successful response is the complete response to its own request"}
	for _, call := range c.observed.Calls {
		if call.Err == fleetcaller.ErrMalformedHead.Error() {
			g.addViolation(call.ID, "%s: %s", call.ID, call.Err)
			continue
		}
		if call.Status == 0 {
			continue
		}
		g.Cases++
		want := expected(call)
		success := call.Status/100 == 2
		switch {
		case success && !call.Sealed:
			g.addViolation(call.ID, "%s: success without a seal", call.ID)
		case success && call.Complete && call.ResponseBody != want:
			g.addViolation(call.ID, "%s: appears complete but is %q", call.ID, tail(call.ResponseBody))
		case success && !strings.HasPrefix(want, call.ResponseBody) && !c.cutEndless(call):
			g.addViolation(call.ID, "%s: does not match the expected response: %q", call.ID, tail(call.ResponseBody))
		case !success && call.Sealed && !c.instanceReturned(call):
			g.addViolation(call.ID, "%s: sealed response %d that no instance returned", call.ID, call.Status)
		case call.Err == fleetcaller.ErrExtraBytes.Error():
			g.addViolation(call.ID, "%s: bytes after the response", call.ID)
		}
	}
	return g
}

func tail(text string) string { return text[max(0, len(text)-80):] }

// instanceReturned reports whether an instance responded to a request with the status that the
// client got.
func (c *checker) instanceReturned(call *Call) bool {
	return slices.ContainsFunc(c.arrivals[call.key()], func(a *Arrival) bool { return a.Status == call.Status })
}

// refusals are the statuses that guarantee that a request has not run and never will.
var refusals = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// refusedNeverRun checks that a request that was rejected with one of these statuses never runs.
func (c *checker) refusedNeverRun() Guarantee {
	g := Guarantee{Name: "rejected requests have not run and do not run later"}
	for _, call := range c.observed.Calls {
		if !slices.Contains(refusals, call.Status) {
			continue
		}
		g.Cases++
		for _, a := range c.runs(call) {
			g.addViolation(call.ID, "%s: rejected with %d, but ran at %s", call.ID, call.Status, a.Instance)
		}
	}
	return g
}

// allowedNotDenied checks that requests that every configuration allows are not denied.
func (c *checker) allowedNotDenied() Guarantee {
	g := Guarantee{Name: "requests that all configurations allow are not denied"}
	for _, call := range c.observed.Calls {
		if call.Kind == Only || call.Status == 0 {
			continue
		}
		g.Cases++
		if call.Status/100 == 3 || call.Status/100 == 4 && !slices.Contains(refusals, call.Status) {
			g.addViolation(call.ID, "%s: denied with %d: %s", call.ID, call.Status, tail(call.ResponseBody))
		}
	}
	return g
}

const (
	// maxUnanswered is the number of requests on reused connections that a process may leave
	// without a response, by the users' rules.
	maxUnanswered = 3
	// A run may have up to maxLateResponses late responses, or a share of maxLateShare of those
	// that waited until their timeout.
	maxLateResponses = 7
	maxLateShare     = 0.25
)

// reusedConnsAnswered checks that an undisturbed process answers a request on a reused connection
// that it passed on to an instance which did not abort it.
func (c *checker) reusedConnsAnswered() Guarantee {
	g := Guarantee{Name: "undisturbed processes answer requests on reused connections"}
	unanswered := map[int][]*Call{}
	for _, call := range c.observed.Calls {
		if !call.ReusedConn || !c.undisturbed(call.Gateway, call.Ended) {
			continue
		}
		g.Cases++
		arrivals := c.arrivals[call.key()]
		completed := len(arrivals) > 0 && !anyAborted(arrivals)
		if call.Status == 0 && call.CanceledAt.IsZero() && completed && call.duration() < call.Timeout {
			unanswered[call.Gateway] = append(unanswered[call.Gateway], call)
		}
	}
	for gateway, calls := range unanswered {
		if len(calls) > maxUnanswered {
			g.addViolation(calls[0].ID, "%s left %d requests unanswered, first %s: %s", gatewayName(gateway), len(calls), calls[0].ID, calls[0].Err)
		}
	}
	return g
}

// answeredInTime checks that undisturbed processes respond soon after the timeout of a route.
func (c *checker) answeredInTime() Guarantee {
	g := Guarantee{Name: "undisturbed processes send a final response soon after the timeout"}
	reachedTimeout, late := 0, []*Call{}
	for _, call := range c.observed.Calls {
		if !call.CanceledAt.IsZero() || call.duration() < call.Timeout || !c.undisturbed(call.Gateway, call.Ended) {
			continue
		}
		reachedTimeout++
		if call.duration() > call.Timeout+c.o.Bounds.LateResponse {
			late = append(late, call)
		}
	}
	g.Cases = reachedTimeout
	if len(late) > maxLateResponses && float64(len(late)) > maxLateShare*float64(reachedTimeout) {
		g.addViolation(late[0].ID, "%d of %d requests were unanswered %s after their timeout, first %s", len(late), reachedTimeout, c.o.Bounds.LateResponse, late[0].ID)
	}
	return g
}
