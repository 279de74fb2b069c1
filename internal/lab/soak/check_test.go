package soak

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/internal/standin/fleetapi"
	"github.com/rockdoor/rockdoor/internal/standin/fleetcaller"
	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
)

// at returns a time of the synthetic run, in seconds.
func at(s float64) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(s * float64(time.Second)))
}

// sampleObservations returns observations of two processes that were started long before.
func sampleObservations() *Observations {
	f := newObservations()
	f.Starts[0], f.Starts[1] = []time.Time{at(-100)}, []time.Time{at(-100)}
	f.Ready[0], f.Ready[1] = []time.Time{at(-99)}, []time.Time{at(-99)}
	f.ConfigWrites = []ConfigWrite{{1, at(-50), at(-50)}, {2, at(10), at(10)}, {3, at(20), at(20)}}
	f.Leases = []Lease{{"gateway-0", 1, at(-90)}, {"gateway-1", 2, at(30)}}
	return f
}

// addAnsweredCall adds a call that got a response and ran once, for the test to change.
func (f *Observations) addAnsweredCall(id string, kind Kind, sent float64) (*Call, *Arrival) {
	c := &Call{
		ID: id, Kind: kind, Path: "/" + string(kind) + "/1", Body: "b", Incarnation: 1, Sent: at(sent), Ended: at(sent + 0.1), Timeout: callTimeout,
		Status: http.StatusOK, Sealed: true, Complete: true,
	}
	c.ResponseBody = expected(c)
	a := &Arrival{
		Arrival: fleetengine.Arrival{
			ID: id, Method: http.MethodPost, Path: c.Path, Body: "b", Remaining: time.Second, HasDeadline: true, Parts: []engine.Part{{ID: ownPart(c), Tokens: 1}},
		},
		Instance: "i-1", Service: serviceApp, At: at(sent + 0.01), Ended: at(sent + 0.09), Status: http.StatusOK, Ran: true,
	}
	if kind.Streams() {
		a.Service, a.Software, c.Timeout = serviceModels, writtenBy(c.ResponseBody), streamTimeout
	}
	f.Calls, f.Arrivals = append(f.Calls, c), append(f.Arrivals, a)
	return c, a
}

// addRepeat adds another arrival of a call.
func (f *Observations) addRepeat(a *Arrival, after float64) *Arrival {
	b := *a
	b.At, b.Ended, b.Instance = a.At.Add(time.Duration(after*float64(time.Second))), time.Time{}, "i-2"
	f.Arrivals = append(f.Arrivals, &b)
	return &b
}

func addCalls(f *Observations, n int, kind Kind, change func(c *Call, a *Arrival)) {
	for range n {
		c, a := f.addAnsweredCall("r", kind, 40+float64(len(f.Calls))/100)
		c.ID = c.ID + string(rune('a'+len(f.Calls)%26)) + string(rune('a'+len(f.Calls)/26))
		a.ID = c.ID
		change(c, a)
	}
}

// TestChecksFindViolations checks for each guarantee that a run which violates it is detected, and
// that a successful run is not reported.
func TestChecksFindViolations(t *testing.T) {
	type guaranteeCheck = func(*checker) Guarantee
	for name, c := range map[string]struct {
		check   guaranteeCheck
		violate func(f *Observations)
	}{
		"truncated response appears complete": {(*checker).responsesComplete, func(f *Observations) {
			c, _ := f.addAnsweredCall("r", Stream, 40)
			c.ResponseBody = c.ResponseBody[:40]
		}},
		"response with a malformed head": {(*checker).responsesComplete, func(f *Observations) {
			c, _ := f.addAnsweredCall("r", Stream, 40)
			c.Status, c.Complete, c.ResponseBody, c.Err = 0, false, "", fleetcaller.ErrMalformedHead.Error()
		}},
		"stream with events of two versions": {(*checker).responsesComplete, func(f *Observations) {
			c, _ := f.addAnsweredCall("r", Stream, 40)
			c.ResponseBody = expectedEvents(c, versionMark+"v1")
			c.ResponseBody = c.ResponseBody[:strings.LastIndex(c.ResponseBody, "v1")] + "v2\n\n"
		}},
		"stream resumed at another version": {(*checker).streamsOfOneVersion, func(f *Observations) {
			begun, _ := f.addAnsweredCall("r", Stream, 40)
			begun.ResponseBody, begun.Complete = expectedEvents(begun, versionMark+"v1")[:80], false
			c, _ := f.addAnsweredCall("q", Stream, 41)
			c.Resumes, c.After = "r", receivedEvents(begun.ResponseBody)
			c.ResponseBody = expectedEvents(c, versionMark+"v2")
		}},
		"event that no run wrote in a complete stream": {(*checker).streamsAsWritten, func(f *Observations) {
			c, _ := f.addAnsweredCall("r", Stream, 40)
			c.ResponseBody = strings.Replace(c.ResponseBody, "id: 3\n", "data: garbage\n\nid: 3\n", 1)
		}},
		"event without an ID is the last": {(*checker).streamsAsWritten, func(f *Observations) {
			c, _ := f.addAnsweredCall("r", Stream, 40)
			c.ResponseBody += "garbage"
		}},
		"complete stream ends early": {(*checker).streamsAsWritten, func(f *Observations) {
			c, _ := f.addAnsweredCall("r", Stream, 40)
			c.ResponseBody = c.ResponseBody[:strings.Index(c.ResponseBody, "id: 16")]
		}},
		"event is missing": {(*checker).streamsAsWritten, func(f *Observations) {
			c, _ := f.addAnsweredCall("r", Stream, 40)
			c.ResponseBody = c.ResponseBody[strings.Index(c.ResponseBody, "id: 2"):]
		}},
		"event of a version at which the request did not run": {(*checker).streamsAsWritten, func(f *Observations) {
			_, a := f.addAnsweredCall("r", Stream, 40)
			a.Software = "v2"
		}},
		"events of two versions at which the request ran": {(*checker).streamsAsWritten, func(f *Observations) {
			c, a := f.addAnsweredCall("r", Stream, 40)
			f.addRepeat(a, 0.01).Software = "v2"
			c.ResponseBody = strings.Replace(c.ResponseBody, "-16 by v1", "-16 by v2", 1)
		}},
		"streams with garbage do not continue": {(*checker).garbledStreamsContinue, func(f *Observations) {
			f.Engines = []*EngineRun{{Instance: "e1", Software: "v1", Started: at(0)}, {Instance: "e2", Software: "v1", Started: at(0)}}
			for n := range 2 * minResumptions {
				c, _ := f.addAnsweredCall(fmt.Sprint("r", n), Stream, 40)
				if n%2 == 0 {
					f.Garbled[c.ID], c.Complete, c.ResponseBody = true, false, c.ResponseBody[:strings.Index(c.ResponseBody, "id: 3")]
				}
			}
		}},
		"bytes of a foreign response": {(*checker).foreignNotRelayed, func(f *Observations) {
			c, _ := f.addAnsweredCall("r", Stream, 40)
			c.ResponseBody, c.Complete = foreignMark, false
		}},
		"status of a foreign response": {(*checker).foreignNotRelayed, func(f *Observations) {
			c, _ := f.addAnsweredCall("r", StreamOnce, 40)
			c.Status, c.ResponseBody = http.StatusPartialContent, ""
		}},
		"body without end appears complete": {(*checker).responsesComplete, func(f *Observations) {
			c, _ := f.addAnsweredCall("r", Once, 40)
			f.Endless["r"], c.ResponseBody = true, c.ResponseBody+strings.Repeat(fleetengine.EndlessFiller, 9)
		}},
		"other bytes in a body without end": {(*checker).responsesComplete, func(f *Observations) {
			c, _ := f.addAnsweredCall("r", Once, 40)
			f.Endless["r"], c.Complete, c.ResponseBody = true, false, c.ResponseBody+fleetengine.EndlessFiller+"answer to q"
		}},
		"requests beside bodies without end are rejected": {(*checker).servedBesideEndless, func(f *Observations) {
			f.Disturbances = []*Disturbance{{Fault: FaultEndlessBody, From: at(40), To: at(45)}}
			for n := range minBeside {
				c, _ := f.addAnsweredCall(fmt.Sprint("r", n), Stream, 41)
				if n%20 == 0 {
					c.ID, c.Status, c.Sealed = fmt.Sprint("q", n), http.StatusServiceUnavailable, false
				}
			}
		}},
		"slow upload across a stop is left without an answer": {(*checker).slowUploadsAnswered, func(f *Observations) {
			f.Disturbances = []*Disturbance{{Fault: FaultStop, Gateways: []int{0}, From: at(40.2), To: at(45)}}
			c, a := f.addAnsweredCall("r", Once, 40)
			a.ID, c.Slow, c.Whole, c.Ended, c.Status, c.Complete = "q", true, at(40.5), at(40.9), 0, false
		}},
		"new instance gets no request": {(*checker).newInstancesGetWork, func(f *Observations) {
			f.Registered = []Registered{{"i-9", serviceApp, at(30)}}
			addCalls(f, minNewcomerChances, Once, func(*Call, *Arrival) {})
		}},
		"process does not become ready": {(*checker).processesBecomeReady, func(f *Observations) {
			f.Starts[0], f.Ready[0] = append(f.Starts[0], at(40)), []time.Time{at(47)}
		}},
		"requests with a poison part go on": {(*checker).poisonPartsStopped, func(f *Observations) {
			for n := range poisonCrashes {
				f.PartCrashes = append(f.PartCrashes, at(30+float64(n)))
			}
			for n := range maxPoisonRuns + 1 {
				_, a := f.addAnsweredCall(fmt.Sprint("r", n), Stream, 40)
				a.Parts = withPoison(a.Parts)
			}
		}},
		"resumptions are rejected": {(*checker).resumptionsServed, func(f *Observations) {
			for n := range minEnginesOfVersion {
				f.Engines = append(f.Engines, &EngineRun{Instance: fmt.Sprint("e", n), Software: "v1", Started: at(0)})
			}
			begun, _ := f.addAnsweredCall("begun", Stream, 39)
			begun.ResponseBody = expectedEvents(begun, versionMark+"v1")
			for n := range 3 * minResumptions {
				c, _ := f.addAnsweredCall(fmt.Sprint("r", n), Stream, 40)
				if c.Status = http.StatusOK; n%3 > 0 {
					c.Resumes, c.Status = "begun", http.StatusServiceUnavailable
				}
			}
		}},
		"response to another request": {(*checker).responsesComplete, func(f *Observations) {
			c, _ := f.addAnsweredCall("r", Once, 40)
			c.ResponseBody = "answer to q"
		}},
		"repeated event, then truncated": {(*checker).responsesComplete, func(f *Observations) {
			c, _ := f.addAnsweredCall("r", Stream, 40)
			c.ResponseBody, c.Complete = c.ResponseBody[:15]+c.ResponseBody[:15], false
		}},
		"success without a seal": {(*checker).responsesComplete, func(f *Observations) {
			c, _ := f.addAnsweredCall("r", Once, 40)
			c.Sealed = false
		}},
		"sealed failure that no instance returned": {(*checker).responsesComplete, func(f *Observations) {
			c, _ := f.addAnsweredCall("r", Once, 40)
			c.Status = http.StatusInternalServerError
		}},
		"rejected but ran": {(*checker).refusedNeverRun, func(f *Observations) {
			c, _ := f.addAnsweredCall("r", Repeat, 40)
			c.Status = http.StatusServiceUnavailable
		}},
		"ran twice": {(*checker).atMostOnce, func(f *Observations) {
			_, a := f.addAnsweredCall("r", Once, 40)
			f.addRepeat(a, 1)
		}},
		"ran once in each of two attempts": {(*checker).atMostOnceOverAttempts, func(f *Observations) {
			f.addAttempts(http.StatusServiceUnavailable)
		}},
		"ran although its connection was closed unread": {(*checker).closedUnreadNeverRuns, func(f *Observations) {
			c, _ := f.addAnsweredCall("r", Once, 40)
			c.Status, c.Complete, c.Unread = 0, false, true
		}},
		"no client sent it": {(*checker).requestsUnchanged, func(f *Observations) {
			_, a := f.addAnsweredCall("r", Once, 40)
			a.ID = "q"
		}},
		"changed body": {(*checker).requestsUnchanged, func(f *Observations) {
			_, a := f.addAnsweredCall("r", Once, 40)
			a.Body = "c"
		}},
		"routed to the wrong service": {(*checker).routedAsConfigured, func(f *Observations) {
			_, a := f.addAnsweredCall("r", Once, 40)
			a.Service = serviceModels
		}},
		"denied": {(*checker).allowedNotDenied, func(f *Observations) {
			c, _ := f.addAnsweredCall("r", Once, 40)
			c.Status = http.StatusNotFound
		}},
		"unanswered on reused connections": {(*checker).reusedConnsAnswered, func(f *Observations) {
			addCalls(f, 4, Once, func(c *Call, _ *Arrival) { c.ReusedConn, c.Status, c.Complete = true, 0, false })
		}},
		"late responses": {(*checker).answeredInTime, func(f *Observations) {
			addCalls(f, 8, Once, func(c *Call, _ *Arrival) { c.Ended = c.Sent.Add(c.Timeout + time.Second) })
		}},
		"outdated configuration": {(*checker).configurationInForce, func(f *Observations) {
			_, a := f.addAnsweredCall("r", Mark, 40)
			a.Service = markService(2)
		}},
		"configuration version decreases": {(*checker).configurationMonotonic, func(f *Observations) {
			_, a := f.addAnsweredCall("r", Mark, 20.2)
			a.Service = markService(3)
			_, b := f.addAnsweredCall("q", Mark, 20.8)
			b.Service = markService(2)
		}},
		"new work to a withdrawn instance": {(*checker).withdrawnGetNoWork, func(f *Observations) {
			f.Withdrawals = []Withdrawal{{"i-1", at(30)}}
			f.addAnsweredCall("r", Once, 40)
		}},
		"rate limit exceeded": {(*checker).rateLimits, func(f *Observations) {
			f.Limits = []*Limit{{"i-1", 2, at(36), at(60)}}
			_, notified := f.addAnsweredCall("q", Once, 37)
			notified.ResponseStart, notified.RateLimited = notified.Ended, true
			addCalls(f, 18, Once, func(c *Call, _ *Arrival) { c.Gateway = 0 })
		}},
		"retry budget exceeded": {(*checker).budget, func(f *Observations) {
			addCalls(f, 30, Repeat, func(_ *Call, a *Arrival) { f.addRepeat(a, 0.01) })
		}},
		"deadlines too late": {(*checker).deadlines, func(f *Observations) {
			addCalls(f, 21, Once, func(_ *Call, a *Arrival) { a.Remaining = 9 * time.Second })
		}},
		"started after the client disconnected": {(*checker).canceledWorkEnds, func(f *Observations) {
			addCalls(f, 4, Stream, func(c *Call, a *Arrival) { c.CanceledAt, a.At = c.Sent, c.Sent.Add(time.Second) })
		}},
		"continues after the client disconnected": {(*checker).canceledWorkEnds, func(f *Observations) {
			c, a := f.addAnsweredCall("r", Stream, 40)
			c.CanceledAt, a.Ended = at(40.1), at(40.9)
		}},
		"two engines run one stream": {(*checker).resumedRunsExclusive, func(f *Observations) {
			_, a := f.addAnsweredCall("r", Stream, 40)
			a.Ended = at(42)
			f.addRepeat(a, 0.5)
		}},
		"client resumes a stream that goes on": {(*checker).resumedRunsExclusive, func(f *Observations) {
			_, a := f.addAnsweredCall("r", Stream, 40)
			a.Ended = at(41)
			c, _ := f.addAnsweredCall("q", Stream, 40.5)
			c.Resumes = "r"
		}},
		"order after the lease was lost": {(*checker).ordersUnderLease, func(f *Observations) {
			f.Orders = []*Order{{To: "i-1", Holder: "gateway-0", Token: 1, At: at(31)}}
		}},
		"order without a lease": {(*checker).ordersUnderLease, func(f *Observations) {
			f.Orders = []*Order{{To: "i-1", Holder: "gateway-0", Token: 7, At: at(31)}}
		}},
		"no pause between two holders": {(*checker).singleHolder, func(f *Observations) {
			f.Orders = []*Order{{To: "i-1", Holder: "gateway-0", Token: 1, At: at(30)}, {To: "i-1", Holder: "gateway-1", Token: 2, At: at(32)}}
		}},
		"token of two holders": {(*checker).singleHolder, func(f *Observations) {
			f.Orders = []*Order{{To: "i-1", Holder: "gateway-0", Token: 1, At: at(30)}, {To: "i-2", Holder: "gateway-1", Token: 1, At: at(50)}}
		}},
		"token decreases": {(*checker).singleHolder, func(f *Observations) {
			f.Orders = []*Order{{To: "i-1", Holder: "gateway-1", Token: 2, At: at(30)}, {To: "i-1", Holder: "gateway-0", Token: 1, At: at(50)}}
		}},
		"order in another process's name": {(*checker).singleHolder, func(f *Observations) {
			f.Orders = []*Order{{To: "i-1", From: "gateway-1", Holder: "gateway-0", Token: 1, At: at(20)}}
		}},
		"planned stop interrupts a request": {(*checker).plannedStopsLoseNothing, func(f *Observations) {
			f.Disturbances = []*Disturbance{{Fault: FaultStop, Gateways: []int{0}, From: at(39), To: at(45)}}
			c, _ := f.addAnsweredCall("r", Once, 40)
			c.Complete, c.Status = false, 0
		}},
		"exits on its own": {(*checker).processesExitWhenTold, func(f *Observations) {
			f.Exits = []Exit{{Gateway: 0, Incarnation: 1, At: at(40), Code: 2}}
		}},
		"exceeds its grace period": {(*checker).processesExitWhenTold, func(f *Observations) {
			f.Exits = []Exit{{Gateway: 0, Incarnation: 1, At: at(40), SentSignal: "SIGTERM", Code: -1, Signal: "killed", ExceededGrace: true}}
		}},
		"does not recover": {(*checker).servesAfterRecovery, func(f *Observations) {
			c, _ := f.addAnsweredCall("r", Once, 99)
			c.Status = http.StatusServiceUnavailable
		}},
		"client is never served":                {(*checker).neverServed, unserved(func(c *Call) bool { return strings.HasPrefix(c.ID, "c1-") })},
		"kind is never served":                  {(*checker).neverServed, unserved(func(c *Call) bool { return c.Kind == Repeat })},
		"host never serves":                     {(*checker).neverServed, unserved(func(c *Call) bool { return c.Gateway == 1 })},
		"subject is never served":               {(*checker).neverServed, unserved(func(c *Call) bool { return c.Subject == "sub2" })},
		"polled path is never served":           {(*checker).neverServed, unserved(func(c *Call) bool { return strings.HasSuffix(c.Path, polledPath) })},
		"client is not served after the faults": {(*checker).neverServed, unserved(func(c *Call) bool { return strings.HasPrefix(c.ID, "c1-") && c.Sent.After(at(92)) })},
	} {
		t.Run(name, func(t *testing.T) {
			healthy := sampleObservations()
			healthy.addAnsweredCall("sound", Once, 95)
			healthy.addAnsweredCall("stream", Stream, 95)
			require.Empty(t, c.check(newChecker(Options{Bounds: DefaultBounds, Processes: 2}, healthy, at(80))).Violations)
			violated := sampleObservations()
			c.violate(violated)
			require.NotEmpty(t, c.check(newChecker(Options{Bounds: DefaultBounds, Processes: 2}, violated, at(80))).Violations)
		})
	}
}

// addAttempts adds two attempts of a request under one ID, both of which ran. The first one got the given status.
func (f *Observations) addAttempts(status int) {
	first, _ := f.addAnsweredCall("r", Once, 40)
	first.Status = status
	second, a := f.addAnsweredCall("r", Once, 41)
	second.Begun, second.Attempt, a.Attempt = "r", 1, "1"
}

// TestKilledProcessPromisesNothing covers a client that repeats a request which a killed process had read.
func TestKilledProcessPromisesNothing(t *testing.T) {
	f := sampleObservations()
	f.Disturbances = []*Disturbance{{Fault: FaultKill, Gateways: []int{0}, From: at(40), To: at(41)}}
	f.addAttempts(0)
	f.Calls[0].Unread = true
	c := newChecker(Options{Bounds: DefaultBounds, Processes: 2}, f, at(80))
	require.Empty(t, c.atMostOnceOverAttempts().Violations)
	require.Empty(t, c.closedUnreadNeverRuns().Violations)
	require.Equal(t, 1, c.atMostOnceOverAttempts().Cases)
}

// TestGarbageInASlowUploadsStreamIsNoInterruption covers a stream that a process breaks off, during its stop, because of its engine.
func TestGarbageInASlowUploadsStreamIsNoInterruption(t *testing.T) {
	for status, violations := range map[int]int{http.StatusOK: 0, 0: 1} {
		f := sampleObservations()
		f.Disturbances = []*Disturbance{{Fault: FaultStop, Gateways: []int{0}, From: at(40.2), To: at(45)}}
		c, _ := f.addAnsweredCall("r", StreamOnce, 40)
		f.Garbled["r"], c.Slow, c.Whole, c.Ended, c.Status, c.Complete = true, true, at(40.5), at(40.9), status, false
		require.Len(t, newChecker(Options{Bounds: DefaultBounds, Processes: 2}, f, at(80)).slowUploadsAnswered().Violations, violations)
	}
}

// TestRejectionForWantOfAnInstanceIsNotDueToBodiesWithoutEnd covers a service whose only instance is gone.
func TestRejectionForWantOfAnInstanceIsNotDueToBodiesWithoutEnd(t *testing.T) {
	for reason, violations := range map[string]int{noInstance + "mark-1 accepts the request": 0, "memory limit": 1} {
		f := sampleObservations()
		f.Disturbances = []*Disturbance{{Fault: FaultEndlessBody, From: at(40), To: at(45)}}
		for range minBeside {
			c, a := f.addAnsweredCall("r", Mark, 41)
			a.ID, c.Status, c.ResponseBody = "q", http.StatusServiceUnavailable, reason
		}
		require.Len(t, newChecker(Options{Bounds: DefaultBounds, Processes: 2}, f, at(80)).servedBesideEndless().Violations, violations)
	}
}

// unserved returns a violation in which the calls that lost selects are rejected. All others are served.
func unserved(lost func(c *Call) bool) func(f *Observations) {
	return func(f *Observations) {
		for n := range 240 {
			kind := []Kind{Once, Repeat, Stream, StreamOnce}[n/2%4]
			c, a := f.addAnsweredCall(fmt.Sprintf("c%d-%d", n%3, n), kind, 60+float64(n)*0.2)
			a.ID, c.Gateway = c.ID, n/3%2
			if kind.Streams() {
				c.Subject = fmt.Sprint("sub", n%5)
			}
			if kind == Repeat && n%3 == 0 {
				c.Path = "/" + string(Repeat) + polledPath
			}
			if lost(c) {
				c.Status = http.StatusServiceUnavailable
			}
		}
	}
}

// TestServedGroupsAreNoViolation checks that the sample of unserved has no violation by itself.
func TestServedGroupsAreNoViolation(t *testing.T) {
	f := sampleObservations()
	unserved(func(*Call) bool { return false })(f)
	g := newChecker(Options{Bounds: DefaultBounds, Processes: 2}, f, at(80)).neverServed()
	require.Empty(t, g.Violations)
	require.Greater(t, g.Cases, 12)
}

// TestConflictingUsageReportsAreViolations checks that a usage window may be reported twice, but
// not with different counts, and that an unreadable report is a violation too.
func TestConflictingUsageReportsAreViolations(t *testing.T) {
	c := newChecker(Options{Bounds: DefaultBounds}, sampleObservations(), at(80))
	report := func(count int) fleetapi.Call {
		return fleetapi.Call{Report: &fleetapi.Report{Window: 1, Counts: map[string]int{"w": count}}}
	}
	c.usageReports = []fleetapi.Call{report(1), report(1)}
	require.Empty(t, c.usageWindowsStable().Violations)
	c.usageReports = append(c.usageReports, report(2))
	require.NotEmpty(t, c.usageWindowsStable().Violations)
	c.usageReports = []fleetapi.Call{{Body: "unreadable"}}
	require.NotEmpty(t, c.usageWindowsStable().Violations)
}

// TestMisdirectedRequestShowsConfigOfNamedInstance checks that a request which reaches another
// instance than the one it names counts as an observation of the configuration by which it was
// sent.
func TestMisdirectedRequestShowsConfigOfNamedInstance(t *testing.T) {
	f := sampleObservations()
	_, a := f.addAnsweredCall("r", Mark, 40)
	a.Service, a.Status, a.Ran = serviceApp, http.StatusMisdirectedRequest, false
	newest := 3 + markService0
	a.TargetInstance = instanceID(newest, 1)
	c := newChecker(Options{Bounds: DefaultBounds, Processes: 2}, f, at(80))
	require.Empty(t, c.configurationInForce().Violations)
	require.Empty(t, c.configurationMonotonic().Violations)
	a.TargetInstance = instanceID(newest-1, 1)
	require.NotEmpty(t, c.configurationInForce().Violations)
}

// markService0 is the index of the first mark service's place.
const markService0 = 3

// TestDisturbancesExcuseTimeBounds checks that time bounds apply only to undisturbed processes, and
// that guarantees without a time bound apply to all.
func TestDisturbancesExcuseTimeBounds(t *testing.T) {
	f := sampleObservations()
	f.Withdrawals = []Withdrawal{{"i-1", at(30)}}
	_, a := f.addAnsweredCall("r", Once, 40)
	f.addRepeat(a, 0.1)
	f.Disturbances = []*Disturbance{{Fault: FaultFreeze, Gateways: []int{0}, From: at(37), To: at(38)}}
	c := newChecker(Options{Bounds: DefaultBounds, Processes: 2}, f, at(80))
	require.Empty(t, c.withdrawnGetNoWork().Violations)
	require.NotEmpty(t, c.atMostOnce().Violations)
	f.Disturbances[0].Gateways = []int{1}
	require.NotEmpty(t, c.withdrawnGetNoWork().Violations)
}

// TestRateLimitAppliesAfterNotice checks that a rate limit applies only to processes that have
// received it and are undisturbed.
func TestRateLimitAppliesAfterNotice(t *testing.T) {
	f := sampleObservations()
	f.Limits = []*Limit{{"i-1", 2, at(36), at(60)}}
	addCalls(f, 18, Once, func(*Call, *Arrival) {})
	require.Empty(t, newChecker(Options{Bounds: DefaultBounds}, f, at(80)).rateLimits().Violations)
	_, notified := f.addAnsweredCall("q", Once, 37)
	notified.ResponseStart, notified.RateLimited = notified.Ended, true
	require.Len(t, newChecker(Options{Bounds: DefaultBounds}, f, at(80)).rateLimits().Violations, 1)
	f.Disturbances = []*Disturbance{{Fault: FaultFreeze, Gateways: []int{0}, From: at(38), To: at(39)}}
	require.Empty(t, newChecker(Options{Bounds: DefaultBounds}, f, at(80)).rateLimits().Violations)
}

// A prefill for an engine whose address had been reassigned to an instance of another service was
// rejected with 421. The check counted it as having run there: "s2-c30-27: /stream-once/27 ran at
// i-13-2 of app", while the process logged "engine i-8-1 has lost its address".
func TestMisdirectedPromptIsNoViolation(t *testing.T) {
	f := sampleObservations()
	_, a := f.addAnsweredCall("r", StreamOnce, 40)
	prefill := *a
	prefill.At, prefill.PrefillOnly, prefill.Ran, prefill.Status, prefill.Service, prefill.TargetInstance = at(39.9), true, false, http.StatusMisdirectedRequest, serviceApp, "i-8-1"
	f.Arrivals = append(f.Arrivals, &prefill)
	require.Empty(t, newChecker(Options{Bounds: DefaultBounds}, f, at(80)).routedAsConfigured().Violations)
	prefill.Status = http.StatusOK
	require.Len(t, newChecker(Options{Bounds: DefaultBounds}, f, at(80)).routedAsConfigured().Violations, 1)
}

// On a machine busy with other work, processes that had logged their stop after 2.7 s still existed
// 8 s after they were asked to end, and were counted as having exceeded their grace period: "it
// ended 8.65s after it was asked to, with code 0". The exit code shows that they had exited before
// SIGKILL, which leaves none.
func TestExitBeforeGraceKillIsNoViolation(t *testing.T) {
	f := sampleObservations()
	f.Exits = []Exit{{Gateway: 0, Incarnation: 1, At: at(48.65), StopRequestedAt: at(40), SentSignal: "SIGTERM", ExceededGrace: true}}
	require.Empty(t, newChecker(Options{Bounds: DefaultBounds}, f, at(80)).processesExitWhenTold().Violations)
	f.Exits[0].Code = 2
	require.Len(t, newChecker(Options{Bounds: DefaultBounds}, f, at(80)).processesExitWhenTold().Violations, 1)
}

// TestProcessFrozenAtStartMayDieOfSignal covers a process that is frozen 12 ms after its start.
// SIGTERM stays pending until the freeze ends 2.17 s after the start, and then kills the process,
// which could not set up its signal handlers. A process that was not frozen had the time to set
// them up.
func TestProcessFrozenAtStartMayDieOfSignal(t *testing.T) {
	f := sampleObservations()
	f.Starts[0] = []time.Time{at(40)}
	f.Exits = []Exit{{Gateway: 0, Incarnation: 1, At: at(42.17), StopRequestedAt: at(40.2), SentSignal: "SIGTERM", Code: -1, Signal: syscall.SIGTERM.String()}}
	violations := func() int {
		return len(newChecker(Options{Bounds: DefaultBounds}, f, at(80)).processesExitWhenTold().Violations)
	}
	f.Disturbances = []*Disturbance{
		{Fault: FaultFreeze, Gateways: []int{0}, From: at(40.012), To: at(42.17)},
		{Fault: FaultFreeze, Gateways: []int{0}, From: at(41), To: at(41.5)},
	}
	require.Zero(t, violations())
	f.Disturbances = []*Disturbance{{Fault: FaultFreeze, Gateways: []int{0}, From: at(41), To: at(41.1)}}
	require.Equal(t, 1, violations(), "it ran for 2.07 s")
	f.Disturbances = nil
	require.Equal(t, 1, violations())
}

// TestProcessesBeyondTheirLimitsAreFound checks the memory and the descriptors that processes took against their limits.
func TestProcessesBeyondTheirLimitsAreFound(t *testing.T) {
	o := Options{Bounds: DefaultBounds, Processes: 2, MemoryMB: 64, Descriptors: 600}
	for _, c := range []struct {
		memory      float64
		descriptors int
		violations  int
	}{{63, 599, 0}, {65, 100, 1}, {30, 600, 1}, {65, 600, 2}} {
		f := &Observations{PeakMemoryMB: c.memory, MostDescriptors: c.descriptors}
		require.Len(t, newChecker(o, f, at(80)).processesStayWithinLimits().Violations, c.violations)
	}
}
