package soak

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
	"github.com/rockdoor/rockdoor/internal/standin/lateresponse"
)

// Faults of instances that reject requests and send responses in excess, and planned stops that overlap.
const (
	FaultLateResponses Fault = "instance-late-responses" // some responses are followed by others that belong to no request
	FaultFull          Fault = "service-full"            // instances run one request at a time and reject the rest
)

const (
	// lateSeed selects a separate random sequence for these faults, so that the schedules of the others don't depend on
	// them.
	lateSeed = 4
	// meanLateInterval, meanFullInterval and meanStopsInterval are the mean times between two such faults.
	meanLateInterval  = time.Second
	meanFullInterval  = 5 * time.Second
	meanStopsInterval = 8 * time.Second
	maxLateTime       = 8 * time.Second
	// maxLateFollowed is the largest share of responses that are followed by others, maxLateRow the largest number of those.
	maxLateFollowed = 0.5
	maxLateRow      = 3
	// maxStops is the number of processes that stop within stopsGap.
	maxStops = 3
	stopsGap = 1200 * time.Millisecond
	// fullCapacity is the number of requests that a full instance runs at a time.
	fullCapacity = 1
)

// lateResponseActions has instances send responses in excess and reject requests, and processes stop at the same time.
func lateResponseActions(seed uint64, processes int, layout *Layout, length time.Duration) []Action {
	s := &scheduleBuilder{rng: rand.New(rand.NewPCG(seed, lateSeed)), processes: processes, layout: layout}
	late := s.atRandomIntervals(meanLateInterval, length, func() Action {
		a := instanceFault(FaultLateResponses, 1, anyService)(s)
		if s.rng.IntN(2) == 0 {
			a = instanceFault(FaultLateResponses, 1, respondsWithoutStreaming)(s)
		}
		a.Rate, a.Duration = maxLateFollowed*s.rng.Float64(), s.randomDuration(maxLateTime)
		return a
	})
	full := s.atRandomIntervals(meanFullInterval, length, func() Action { return serviceFault(FaultFull)(s) })
	stops := s.atRandomIntervals(meanStopsInterval, length, func() Action { return Action{} })
	var overlapping []Action
	for _, at := range stops {
		for _, process := range s.rng.Perm(processes)[:min(maxStops, processes/2)] {
			overlapping = append(overlapping,
				Action{At: at.At + s.randomDuration(stopsGap), Fault: FaultReload, Gateways: []int{process}, Duration: s.randomDuration(time.Second)},
				Action{At: at.At + s.randomDuration(stopsGap), Fault: FaultStop, Gateways: []int{process}, Duration: s.randomDuration(time.Second)})
		}
	}
	return slices.Concat(late, full, overlapping)
}

// sendLateResponses has the current instance send responses in excess for a time.
func (p *place) sendLateResponses(share float64, d time.Duration) {
	p.mu.Lock()
	p.lateShare = share
	p.mu.Unlock()
	p.w.runAfter(d, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.lateShare = 0
	})
}

// fill has all instances of a service run one request at a time for a while.
func (w *world) fill(a Action) {
	for _, p := range w.places {
		if p.Service == a.Service {
			e := p.currentInstance()
			e.SetCapacity(fullCapacity)
			w.runAfter(a.Duration, func() { e.SetCapacity(0) })
		}
	}
}

// identifiesRejections reports whether the rejections of a place's instances state the ID of the request.
func (w *world) identifiesRejections(place int) bool { return (uint64(place)+w.o.Seed)%2 == 0 }

// followUp sends responses in excess after the response to a request.
func (p *place) followUp(r *http.Request, in fleetengine.Arrival) {
	p.mu.Lock()
	share := p.lateShare
	p.mu.Unlock()
	if rand.Float64() >= share {
		return
	}
	for range 1 + rand.IntN(maxLateRow) {
		late := randomLateResponse(in.ID)
		lateresponse.Send(r, late, []lateresponse.When{lateresponse.AtOnce, lateresponse.Later, lateresponse.BeforeNext, lateresponse.BeforeNext}[rand.IntN(4)])
		p.w.observed.record(func() { p.w.observed.LateResponses++ })
	}
}

// randomLateResponse returns a rejection, a success or a failure, which states the ID of the request before it or none.
func randomLateResponse(id string) lateresponse.Response {
	r := lateresponse.Response{}
	switch rand.IntN(5) {
	case 0:
		r.Status, r.Sealed, r.Body = http.StatusOK, true, "answer to "+id
	case 1:
		r.Status, r.Sealed, r.Body = http.StatusInternalServerError, true, "failed"
	case 2:
		r.Status = http.StatusMisdirectedRequest
	case 3:
		r.Status, r.NotRun = http.StatusTooManyRequests, true
	default:
		r.Status, r.NotRun = http.StatusServiceUnavailable, true
	}
	if rand.IntN(2) == 0 {
		r.ID = id
	}
	return r
}
