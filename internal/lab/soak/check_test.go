package soak

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/internal/standin/fleetapi"
	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
)

// at returns a time of a made-up run.
func at(s float64) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(s * float64(time.Second)))
}

// madeUp returns facts of processes that have been running since long before.
func madeUp() *Facts {
	f := newFacts()
	f.Starts[0], f.Starts[1] = []time.Time{at(-100)}, []time.Time{at(-100)}
	f.Applied = []Applied{{1, at(-50), at(-50)}, {2, at(10), at(10)}, {3, at(20), at(20)}}
	f.Leases = []Lease{{"gateway-0", 1, at(-90)}, {"gateway-1", 2, at(30)}}
	return f
}

// answeredCall adds a call that was answered and ran once, to change it.
func (f *Facts) answeredCall(id string, kind Kind, sent float64) (*Call, *Arrival) {
	c := &Call{
		ID: id, Kind: kind, Path: "/" + string(kind) + "/1", Body: "b", Life: 1, Sent: at(sent), Ended: at(sent + 0.1), Wait: callTimeout,
		Status: http.StatusOK, Sealed: true, Whole: true,
	}
	c.Answer = expected(c)
	a := &Arrival{
		Arrival: fleetengine.Arrival{
			ID: id, Method: http.MethodPost, Path: c.Path, Body: "b", Left: time.Second, Timed: true, Parts: []engine.Part{{ID: ownPart(c), Tokens: 1}},
		},
		Instance: "i-1", Service: serviceApp, At: at(sent + 0.01), Ended: at(sent + 0.09), Status: http.StatusOK, Ran: true,
	}
	if kind.Streams() {
		a.Service, c.Wait = serviceModels, streamTimeout
	}
	f.Calls, f.Arrivals = append(f.Calls, c), append(f.Arrivals, a)
	return c, a
}

// again adds another arrival of a call.
func (f *Facts) again(a *Arrival, after float64) *Arrival {
	b := *a
	b.At, b.Ended, b.Instance = a.At.Add(time.Duration(after*float64(time.Second))), time.Time{}, "i-2"
	f.Arrivals = append(f.Arrivals, &b)
	return &b
}

func many(f *Facts, n int, kind Kind, change func(c *Call, a *Arrival)) {
	for range n {
		c, a := f.answeredCall("r", kind, 40+float64(len(f.Calls))/100)
		c.ID = c.ID + string(rune('a'+len(f.Calls)%26)) + string(rune('a'+len(f.Calls)/26))
		a.ID = c.ID
		change(c, a)
	}
}

// TestChecksFindBreaches makes up a run in which one promise was broken, for each promise.
func TestChecksFindBreaches(t *testing.T) {
	type promise = func(*checker) Promise
	for name, c := range map[string]struct {
		check  promise
		breach func(f *Facts)
	}{
		"a cut answer looks whole": {(*checker).answersAreWhole, func(f *Facts) {
			c, _ := f.answeredCall("r", Stream, 40)
			c.Answer = c.Answer[:40]
		}},
		"another's answer": {(*checker).answersAreWhole, func(f *Facts) {
			c, _ := f.answeredCall("r", Once, 40)
			c.Answer = "answer to q"
		}},
		"an event twice, then a cut": {(*checker).answersAreWhole, func(f *Facts) {
			c, _ := f.answeredCall("r", Stream, 40)
			c.Answer, c.Whole = c.Answer[:15]+c.Answer[:15], false
		}},
		"success without a seal": {(*checker).answersAreWhole, func(f *Facts) {
			c, _ := f.answeredCall("r", Once, 40)
			c.Sealed = false
		}},
		"a sealed failure of nobody": {(*checker).answersAreWhole, func(f *Facts) {
			c, _ := f.answeredCall("r", Once, 40)
			c.Status = http.StatusInternalServerError
		}},
		"refused but ran": {(*checker).refusalsAreTrue, func(f *Facts) {
			c, _ := f.answeredCall("r", Repeat, 40)
			c.Status = http.StatusServiceUnavailable
		}},
		"ran twice": {(*checker).atMostOnce, func(f *Facts) {
			_, a := f.answeredCall("r", Once, 40)
			f.again(a, 1)
		}},
		"never sent": {(*checker).unchanged, func(f *Facts) {
			_, a := f.answeredCall("r", Once, 40)
			a.ID = "q"
		}},
		"changed body": {(*checker).unchanged, func(f *Facts) {
			_, a := f.answeredCall("r", Once, 40)
			a.Body = "c"
		}},
		"wrong service": {(*checker).routed, func(f *Facts) {
			_, a := f.answeredCall("r", Once, 40)
			a.Service = serviceModels
		}},
		"denied": {(*checker).notDenied, func(f *Facts) {
			c, _ := f.answeredCall("r", Once, 40)
			c.Status = http.StatusNotFound
		}},
		"unanswered on kept connections": {(*checker).answered, func(f *Facts) {
			many(f, 4, Once, func(c *Call, _ *Arrival) { c.Kept, c.Status, c.Whole = true, 0, false })
		}},
		"late answers": {(*checker).inTime, func(f *Facts) {
			many(f, 8, Once, func(c *Call, _ *Arrival) { c.Ended = c.Sent.Add(c.Wait + time.Second) })
		}},
		"an old configuration": {(*checker).configurationInForce, func(f *Facts) {
			_, a := f.answeredCall("r", Mark, 40)
			a.Service = markService(2)
		}},
		"configuration goes back": {(*checker).configurationNeverBack, func(f *Facts) {
			_, a := f.answeredCall("r", Mark, 20.2)
			a.Service = markService(3)
			_, b := f.answeredCall("q", Mark, 20.8)
			b.Service = markService(2)
		}},
		"new work to the leaving": {(*checker).leavingGetNothing, func(f *Facts) {
			f.Leavings = []Leaving{{"i-1", at(30)}}
			f.answeredCall("r", Once, 40)
		}},
		"over a rate limit": {(*checker).rateLimits, func(f *Facts) {
			f.Limits = []*Limit{{"i-1", 2, at(36), at(60)}}
			_, told := f.answeredCall("q", Once, 37)
			told.Headed, told.Limited = told.Ended, true
			many(f, 18, Once, func(c *Call, _ *Arrival) { c.Gateway = 0 })
		}},
		"over budget": {(*checker).budget, func(f *Facts) {
			many(f, 30, Repeat, func(_ *Call, a *Arrival) { f.again(a, 0.01) })
		}},
		"too long deadlines": {(*checker).deadlines, func(f *Facts) {
			many(f, 21, Once, func(_ *Call, a *Arrival) { a.Left = 9 * time.Second })
		}},
		"begun after the caller left": {(*checker).goneIsOver, func(f *Facts) {
			many(f, 4, Stream, func(c *Call, a *Arrival) { c.Left, a.At = c.Sent, c.Sent.Add(time.Second) })
		}},
		"goes on after the caller left": {(*checker).goneIsOver, func(f *Facts) {
			c, a := f.answeredCall("r", Stream, 40)
			c.Left, a.Ended = at(40.1), at(40.9)
		}},
		"two engines at one stream": {(*checker).runsGoOnAlone, func(f *Facts) {
			_, a := f.answeredCall("r", Stream, 40)
			a.Ended = at(42)
			f.again(a, 0.5)
		}},
		"an order after the lease was lost": {(*checker).authority, func(f *Facts) {
			f.Orders = []*Order{{To: "i-1", Holder: "gateway-0", Token: 1, At: at(31)}}
		}},
		"an order without a lease": {(*checker).authority, func(f *Facts) {
			f.Orders = []*Order{{To: "i-1", Holder: "gateway-0", Token: 7, At: at(31)}}
		}},
		"holders take turns": {(*checker).oneHolder, func(f *Facts) {
			f.Orders = []*Order{{To: "i-1", Holder: "gateway-0", Token: 1, At: at(30)}, {To: "i-1", Holder: "gateway-1", Token: 2, At: at(32)}}
		}},
		"a token of two": {(*checker).oneHolder, func(f *Facts) {
			f.Orders = []*Order{{To: "i-1", Holder: "gateway-0", Token: 1, At: at(30)}, {To: "i-2", Holder: "gateway-1", Token: 1, At: at(50)}}
		}},
		"a lower token": {(*checker).oneHolder, func(f *Facts) {
			f.Orders = []*Order{{To: "i-1", Holder: "gateway-1", Token: 2, At: at(30)}, {To: "i-1", Holder: "gateway-0", Token: 1, At: at(50)}}
		}},
		"an order in another's name": {(*checker).oneHolder, func(f *Facts) {
			f.Orders = []*Order{{To: "i-1", From: "gateway-1", Holder: "gateway-0", Token: 1, At: at(20)}}
		}},
		"a stop cuts a request": {(*checker).stopsCutNothing, func(f *Facts) {
			f.Disturbances = []*Disturbance{{Fault: FaultStop, Gateways: []int{0}, From: at(39), To: at(45)}}
			c, _ := f.answeredCall("r", Once, 40)
			c.Whole, c.Status = false, 0
		}},
		"ends by itself": {(*checker).processesLive, func(f *Facts) {
			f.Exits = []Exit{{Gateway: 0, Life: 1, At: at(40), Code: 2}}
		}},
		"outlives its grace": {(*checker).processesLive, func(f *Facts) {
			f.Exits = []Exit{{Gateway: 0, Life: 1, At: at(40), Why: "SIGTERM", Code: -1, Signal: "killed", Overdue: true}}
		}},
		"does not recover": {(*checker).recovers, func(f *Facts) {
			c, _ := f.answeredCall("r", Once, 99)
			c.Status = http.StatusServiceUnavailable
		}},
	} {
		t.Run(name, func(t *testing.T) {
			sound := madeUp()
			sound.answeredCall("sound", Once, 95)
			require.Empty(t, c.check(newChecker(Options{Bounds: DefaultBounds, Processes: 2}, sound, at(80))).Breaches)
			broken := madeUp()
			c.breach(broken)
			require.NotEmpty(t, c.check(newChecker(Options{Bounds: DefaultBounds, Processes: 2}, broken, at(80))).Breaches)
		})
	}
}

// TestWindowsWithTwoContents covers reports of usage, which are not among the facts.
func TestWindowsWithTwoContents(t *testing.T) {
	c := newChecker(Options{Bounds: DefaultBounds}, madeUp(), at(80))
	report := func(count int) fleetapi.Call {
		return fleetapi.Call{Report: &fleetapi.Report{Window: 1, Counts: map[string]int{"w": count}}}
	}
	c.reports = []fleetapi.Call{report(1), report(1)}
	require.Empty(t, c.windowsHaveOneContent().Breaches)
	c.reports = append(c.reports, report(2))
	require.NotEmpty(t, c.windowsHaveOneContent().Breaches)
	c.reports = []fleetapi.Call{{Body: "unreadable"}}
	require.NotEmpty(t, c.windowsHaveOneContent().Breaches)
}

// TestReusedAddresses checks that a request that reaches another instance than it names shows
// the configuration by which it was sent.
func TestReusedAddresses(t *testing.T) {
	f := madeUp()
	_, a := f.answeredCall("r", Mark, 40)
	a.Service, a.Status, a.Ran = serviceApp, http.StatusMisdirectedRequest, false
	newest := 3 + markService0
	a.Meant = instanceID(newest, 1)
	c := newChecker(Options{Bounds: DefaultBounds, Processes: 2}, f, at(80))
	require.Empty(t, c.configurationInForce().Breaches)
	require.Empty(t, c.configurationNeverBack().Breaches)
	a.Meant = instanceID(newest-1, 1)
	require.NotEmpty(t, c.configurationInForce().Breaches)
}

// markService0 is the place of the first service of marks.
const markService0 = 3

// TestDisturbancesExcuse checks that bounds of time hold only for processes in touch, and that
// what must never happen holds for all.
func TestDisturbancesExcuse(t *testing.T) {
	f := madeUp()
	f.Leavings = []Leaving{{"i-1", at(30)}}
	_, a := f.answeredCall("r", Once, 40)
	f.again(a, 0.1)
	f.Disturbances = []*Disturbance{{Fault: FaultFreeze, Gateways: []int{0}, From: at(37), To: at(38)}}
	c := newChecker(Options{Bounds: DefaultBounds, Processes: 2}, f, at(80))
	require.Empty(t, c.leavingGetNothing().Breaches)
	require.NotEmpty(t, c.atMostOnce().Breaches)
	f.Disturbances[0].Gateways = []int{1}
	require.NotEmpty(t, c.leavingGetNothing().Breaches)
}

// What an instance named counts only for processes that had been told, and were in touch.
func TestARateLimitHoldsForThoseThatWereTold(t *testing.T) {
	f := madeUp()
	f.Limits = []*Limit{{"i-1", 2, at(36), at(60)}}
	many(f, 18, Once, func(*Call, *Arrival) {})
	require.Empty(t, newChecker(Options{Bounds: DefaultBounds}, f, at(80)).rateLimits().Breaches)
	_, told := f.answeredCall("q", Once, 37)
	told.Headed, told.Limited = told.Ended, true
	require.Len(t, newChecker(Options{Bounds: DefaultBounds}, f, at(80)).rateLimits().Breaches, 1)
	f.Disturbances = []*Disturbance{{Fault: FaultFreeze, Gateways: []int{0}, From: at(38), To: at(39)}}
	require.Empty(t, newChecker(Options{Bounds: DefaultBounds}, f, at(80)).rateLimits().Breaches)
}

// An engine's address had been given to another service's instance. The prompt that was sent to
// the engine, by its name, was refused with 421, and the check took it for one that ran there:
// "s2-c30-27: /stream-once/27 ran at i-13-2 of app", while the process said "engine i-8-1 has
// lost its address".
func TestAPromptAtAReusedAddressAccusesNobody(t *testing.T) {
	f := madeUp()
	_, a := f.answeredCall("r", StreamOnce, 40)
	read := *a
	read.At, read.Read, read.Ran, read.Status, read.Service, read.Meant = at(39.9), true, false, http.StatusMisdirectedRequest, serviceApp, "i-8-1"
	f.Arrivals = append(f.Arrivals, &read)
	require.Empty(t, newChecker(Options{Bounds: DefaultBounds}, f, at(80)).routed().Breaches)
	read.Status = http.StatusOK
	require.Len(t, newChecker(Options{Bounds: DefaultBounds}, f, at(80)).routed().Breaches, 1)
}

// Beside other work, processes that had logged their stop after 2.7 s were still there 8 s
// after they were asked to end, and counted as having outlived their grace period: "it ended
// 8.65s after it was asked to, with code 0". The signal at the end of that period leaves no
// code: they had exited before it.
func TestAProcessThatHasExitedAccusesNobody(t *testing.T) {
	f := madeUp()
	f.Exits = []Exit{{Gateway: 0, Life: 1, At: at(48.65), Asked: at(40), Why: "SIGTERM", Overdue: true}}
	require.Empty(t, newChecker(Options{Bounds: DefaultBounds}, f, at(80)).processesLive().Breaches)
	f.Exits[0].Code = 2
	require.Len(t, newChecker(Options{Bounds: DefaultBounds}, f, at(80)).processesLive().Breaches, 1)
}

// TestAProcessThatWasFrozenAtItsStartMayDieOfASignal has SIGTERM wait while a process is frozen from 12 ms after its
// start: it dies when that ends, 2.17 s after the start. One that was not frozen had the time to ask for its signals.
func TestAProcessThatWasFrozenAtItsStartMayDieOfASignal(t *testing.T) {
	f := madeUp()
	f.Starts[0] = []time.Time{at(40)}
	f.Exits = []Exit{{Gateway: 0, Life: 1, At: at(42.17), Asked: at(40.2), Why: "SIGTERM", Code: -1, Signal: syscall.SIGTERM.String()}}
	breaches := func() int {
		return len(newChecker(Options{Bounds: DefaultBounds}, f, at(80)).processesLive().Breaches)
	}
	f.Disturbances = []*Disturbance{
		{Fault: FaultFreeze, Gateways: []int{0}, From: at(40.012), To: at(42.17)},
		{Fault: FaultFreeze, Gateways: []int{0}, From: at(41), To: at(41.5)},
	}
	require.Zero(t, breaches())
	f.Disturbances = []*Disturbance{{Fault: FaultFreeze, Gateways: []int{0}, From: at(41), To: at(41.1)}}
	require.Equal(t, 1, breaches(), "it was awake for 2.07 s")
	f.Disturbances = nil
	require.Equal(t, 1, breaches())
}
