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

const (
	// FaultForeign has an engine answer some streams with responses that are none.
	FaultForeign Fault = "instance-sends-foreign-responses"
	// FaultEndlessBody has all instances of the plain service send bodies that do not end, FaultEndlessComments all engines
	// streams of comments that do not end.
	FaultEndlessBody     Fault = "service-endless-body"
	FaultEndlessComments Fault = "service-endless-comments"
)

const (
	// foreignSeed selects a separate random sequence for these faults, so that the schedules of the others don't depend on them.
	foreignSeed = 9
	// meanForeignInterval is the mean time between two engines that begin to send foreign responses, meanEndlessInterval that
	// between two services that begin to send bodies without end.
	meanForeignInterval = 3 * time.Second
	meanEndlessInterval = 8 * time.Second
	maxEndlessTime      = 3 * time.Second
	maxForeignEvery     = 3
	// foreignMark is in each foreign body.
	foreignMark = "foreign-bytes"
)

// foreignActions has engines answer streams with other things, and services send bodies without end.
func foreignActions(seed uint64, layout *Layout, length time.Duration) []Action {
	s := &scheduleBuilder{rng: rand.New(rand.NewPCG(seed, foreignSeed)), layout: layout}
	foreign := s.atRandomIntervals(meanForeignInterval, length, func() Action {
		return instanceFault(FaultForeign, maxForeignEvery, streamsResponses)(s)
	})
	endless := s.atRandomIntervals(meanEndlessInterval, length, func() Action {
		a := Action{Fault: FaultEndlessBody, Service: serviceApp, Duration: time.Second + s.randomDuration(maxEndlessTime-time.Second)}
		if s.rng.IntN(2) == 0 {
			a.Fault, a.Service = FaultEndlessComments, serviceModels
		}
		return a
	})
	return slices.Concat(foreign, endless)
}

// setForeign chooses the foreign responses of an engine. The caller holds the lock.
func (p *place) setForeign(e *fleetengine.Engine) {
	heads := fleetengine.ForeignHeads()
	n := p.number + p.starts + int(p.w.o.Seed%uint64(len(heads)))
	e.Foreign = fleetengine.Garble{
		Head: heads[slices.Sorted(maps.Keys(heads))[n*garbleStep%len(heads)]], Piecemeal: n%piecemealEvery == 0, Length: n%lengthEvery == 0,
		Change: func(events []string) string {
			_, data, _ := strings.Cut(events[0], "data: ")
			p.w.observed.record(func() { p.w.observed.Foreign[data[:strings.LastIndex(data, "-")]] = true })
			return "\x00\xff " + foreignMark + "\n\nid: 9\ndata: " + foreignMark + "\n\n"
		},
	}
}

// sendForeign has the current engine answer every n-th stream with a foreign response for a time.
func (p *place) sendForeign(every int, d time.Duration) {
	e := p.currentInstance()
	e.FailEvery(fleetengine.Foreign, every)
	p.w.runAfter(d, func() { e.Fail(fleetengine.None, 0) })
}

// respondWithoutEnd has all instances of a service send bodies without end for a time.
func (w *world) respondWithoutEnd(a Action) {
	f := fleetengine.EndlessBody
	if a.Fault == FaultEndlessComments {
		f = fleetengine.EndlessComments
	}
	for _, p := range w.places {
		if p.Service == a.Service {
			e := p.currentInstance()
			e.Fail(f, -1)
			w.runAfter(a.Duration, func() { e.Fail(fleetengine.None, 0) })
		}
	}
}

// foreignNotRelayed checks that no byte of a foreign response reaches a client, nor its status.
func (c *checker) foreignNotRelayed() Guarantee {
	g := Guarantee{Name: "clients get nothing of responses to streams that are no streams"}
	g.Cases = len(c.observed.Foreign)
	for _, call := range c.observed.Calls {
		switch {
		case strings.Contains(call.ResponseBody, foreignMark):
			g.addViolation(call.ID, "%s: foreign bytes %q", call.ID, tail(call.ResponseBody))
		case call.Kind.Streams() && call.Status != http.StatusOK && call.Status < http.StatusMultipleChoices && call.Status != 0:
			g.addViolation(call.ID, "%s: status %d", call.ID, call.Status)
		}
	}
	return g
}

// cutEndless reports whether a response is the beginning of a body without end and does not appear complete.
func (c *checker) cutEndless(call *Call) bool {
	rest, isAnswer := strings.CutPrefix(call.ResponseBody, "answer to "+call.ID)
	return isAnswer && !call.Complete && c.observed.Endless[call.ID] && strings.Trim(rest, fleetengine.EndlessFiller) == ""
}

const (
	// minBeside is the number of requests beside bodies without end from which their share counts. maxLostBeside is by how much
	// their share that is not passed on may exceed that of others.
	minBeside     = 50
	maxLostBeside = 0.02
	// noInstance begins the rejection of a request whose own service has no instance that accepts it.
	noInstance = "no instance of "
)

// servedBesideEndless checks that undisturbed processes pass on requests of other services beside bodies without end as they do
// at other times.
func (c *checker) servedBesideEndless() Guarantee {
	g := Guarantee{Name: "requests of other services are passed on beside bodies without end"}
	var beside, lost, others, otherLost int
	first := ""
	for _, call := range c.observed.Calls {
		if !countsAsAsked(call) || call.Slow || call.Resumes != "" || call.Kind == Only || !c.undisturbed(call.Gateway, call.Ended) {
			continue
		}
		isLost := !wasServed(call) && len(c.arrivals[call.key()]) == 0 && !strings.HasPrefix(call.ResponseBody, noInstance)
		if c.observed.besideEndless(call) {
			beside++
			if lost += boolInt(isLost); isLost {
				first = call.ID
			}
			continue
		}
		others++
		otherLost += boolInt(isLost)
	}
	g.Cases = beside
	g.Closest = fmt.Sprintf(" (not passed on: %d of %d, others %d of %d; %d bodies without end)", lost, beside, otherLost, others, len(c.observed.Endless))
	if beside >= minBeside && float64(lost)/float64(beside) > float64(otherLost)/float64(max(others, 1))+maxLostBeside {
		g.addViolation(first, "%d of %d requests were not passed on, %d of %d at other times", lost, beside, otherLost, others)
	}
	return g
}

// besideEndless reports whether another service than that of a call sent bodies without end meanwhile.
func (f *Observations) besideEndless(call *Call) bool {
	return slices.ContainsFunc(f.Disturbances, func(d *Disturbance) bool {
		other := d.Fault == FaultEndlessBody && (call.Kind.Streams() || call.Kind == Mark) || d.Fault == FaultEndlessComments && !call.Kind.Streams()
		return other && d.From.Before(call.Ended) && d.To.Add(streamTimeout).After(call.Sent)
	})
}
