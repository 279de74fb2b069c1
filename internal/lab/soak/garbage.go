package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
)

// FaultGarble has an engine write into some streams what no run wrote. The streams end as complete.
const FaultGarble Fault = "instance-garbles"

const (
	// garbageSeed selects a separate random sequence for garbage, so that the schedules of the other faults don't depend on
	// it.
	garbageSeed = 6
	// meanGarbageInterval is the mean time between two engines that begin to send garbage, in every n-th stream with n up to
	// maxGarbleEvery.
	meanGarbageInterval = 2 * time.Second
	maxGarbageTime      = 5 * time.Second
	maxGarbleEvery      = 3
	// One in piecemealEvery engines sends each byte of a garbled stream by itself, one in lengthEvery states its length.
	piecemealEvery, lengthEvery = 3, 4
	// garbleStep spreads the forms of garbage over places and starts.
	garbleStep = 7
)

// garbageActions has engines send garbage in streams for a time.
func garbageActions(seed uint64, layout *Layout, length time.Duration) []Action {
	s := &scheduleBuilder{rng: rand.New(rand.NewPCG(seed, garbageSeed)), layout: layout}
	return s.atRandomIntervals(meanGarbageInterval, length, func() Action {
		a := instanceFault(FaultGarble, maxGarbleEvery, streamsResponses)(s)
		a.Duration = time.Second + s.randomDuration(maxGarbageTime-time.Second)
		return a
	})
}

// setGarble chooses how an engine garbles streams. The caller holds the lock.
func (p *place) setGarble(e *fleetengine.Engine) {
	forms := fleetengine.GarbledStreams()
	n := p.number + p.starts + int(p.w.o.Seed%uint64(len(forms)))
	form := forms[slices.Sorted(maps.Keys(forms))[n*garbleStep%len(forms)]]
	e.Garble = fleetengine.Garble{Piecemeal: n%piecemealEvery == 0, Length: n%lengthEvery == 0, Change: func(events []string) string {
		_, data, _ := strings.Cut(events[0], "data: ")
		p.w.observed.record(func() { p.w.observed.Garbled[data[:strings.LastIndex(data, "-")]] = true })
		return form(events)
	}}
}

// garble has the current engine garble every n-th stream for a time.
func (p *place) garble(every int, d time.Duration) {
	e := p.currentInstance()
	e.FailEvery(fleetengine.Garbled, every)
	p.w.runAfter(d, func() { e.Fail(fleetengine.None, 0) })
}

// streamsAsWritten checks each event that a client gets: a run of its request wrote it, it is the next one, and all events of
// a response are of one version.
func (c *checker) streamsAsWritten() Guarantee {
	g := Guarantee{Name: "clients get only events that runs of their request wrote, each the next one, of one version"}
	for _, call := range c.observed.Calls {
		if !call.Kind.Streams() || call.Status/100 != 2 {
			continue
		}
		g.Cases++
		if what := c.notAsWritten(call); what != "" {
			g.addViolation(call.ID, "%s: %s", call.ID, what)
		}
	}
	g.Closest = fmt.Sprintf(" (instances sent garbage for %d requests)", len(c.observed.Garbled))
	return g
}

// notAsWritten says what is wrong with the events of a stream, empty if nothing is.
func (c *checker) notAsWritten(call *Call) string {
	version, n, rest := "", call.After, call.ResponseBody
	for rest != "" {
		event, after, whole := strings.Cut(rest, "\n\n")
		n, rest = n+1, after
		text := fmt.Sprintf("id: %d\ndata: %s-%d", n, call.ID, n)
		writer := strings.TrimPrefix(strings.TrimPrefix(event, text), versionMark)
		switch {
		case !whole && (strings.HasPrefix(text, event) || strings.HasPrefix(event, text)):
			n-- // cut off
		case !whole || event != text && event != text+versionMark+writer || !c.ranAt(call, writer):
			return fmt.Sprintf("no run wrote %q in the place of event %d", tail(event), n)
		case n > call.After+1 && writer != version:
			return fmt.Sprintf("event %d is of %s, those before of %s", n, writer, version)
		default:
			version = writer
		}
	}
	if call.Complete && n != streamEvents {
		return fmt.Sprintf("ends as complete after event %d of %d", n, streamEvents)
	}
	return ""
}

// ranAt reports whether a call ran at an engine of a version.
func (c *checker) ranAt(call *Call, version string) bool {
	return slices.ContainsFunc(c.runs(call), func(a *Arrival) bool { return a.Software == version })
}

// injected reports whether the soak caused a disturbance.
func injected(d *Disturbance) bool { return d.Fault != FaultStarved }

// garbledStreamsContinue checks that streams which may be resumed go on elsewhere after garbage, at least half as often as
// others are whole. A process whose retry budget is used up breaks a stream off; it is whole, too, if its client resumes it up
// to its end. Streams that their client dropped or resumed at a disturbed process are not counted.
func (c *checker) garbledStreamsContinue() Guarantee {
	g := Guarantee{Name: "streams with garbage continue elsewhere at least half as often as others are whole"}
	ended, excused := map[string]bool{}, map[string]bool{}
	for _, call := range c.observed.Calls {
		switch {
		case call.Resumes == "":
		case !call.CanceledAt.IsZero() || !c.undisturbedBy(call.Gateway, call.Ended, injected):
			excused[call.resumedKey()] = true
		case call.Complete && c.notAsWritten(call) == "":
			ended[call.resumedKey()] = true
		}
	}
	var garbled, continued, others, whole int
	for _, call := range c.observed.Calls {
		if call.Kind != Stream || call.Poisoned || excused[call.key()] || call.Resumes != "" || call.Status != http.StatusOK || !call.CanceledAt.IsZero() || c.observed.wasDisturbed(call.Gateway, call.Sent, call.Ended, injected) {
			continue
		}
		ok := call.Complete && c.notAsWritten(call) == "" || ended[call.key()]
		if !c.observed.Garbled[call.ID] {
			others++
			whole += boolInt(ok)
		} else if v := writtenBy(call.ResponseBody); v != "" && c.enginesOf(v, call) >= minEnginesOfVersion {
			garbled++
			continued += boolInt(ok)
		}
	}
	g.Cases = garbled
	g.Closest = fmt.Sprintf(" (%d of %d, others %d of %d)", continued, garbled, whole, others)
	if garbled >= minResumptions && float64(continued)*float64(others) < minResumedShare*float64(whole)*float64(garbled) {
		g.addViolation("", "%d of %d streams with garbage are whole, %d of %d others", continued, garbled, whole, others)
	}
	return g
}
