package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// sicknessSeed selects a separate random sequence for sick instances, so that the schedules of the other faults don't
	// depend on them.
	sicknessSeed = 3
	// meanSicknessInterval is the mean time between two instances that become sick, meanServiceCrashInterval that between two
	// crashes of a whole service.
	meanSicknessInterval     = 4 * time.Second
	meanServiceCrashInterval = 25 * time.Second
	// maxSilence is the longest time for which an instance is silent.
	maxSilence = 10 * time.Second
)

// sickInstanceActions has instances accept requests without a response, state that requests are not meant for them, or
// send bytes without end; and all instances of a service crash together.
func sickInstanceActions(seed uint64, layout *Layout, length time.Duration) []Action {
	s := &scheduleBuilder{rng: rand.New(rand.NewPCG(seed, sicknessSeed)), layout: layout}
	sick := s.atRandomIntervals(meanSicknessInterval, length, func() Action {
		a := Action{Place: s.rng.IntN(len(layout.Places)), Count: 1 + s.rng.IntN(maxFailedRequests), Duration: s.randomDuration(maxSilence)}
		a.Fault = []Fault{FaultMisdirect, FaultSilent, FaultEndlessHead, FaultEndlessEvent}[s.rng.IntN(4)]
		return a
	})
	crashes := s.atRandomIntervals(meanServiceCrashInterval, length, func() Action {
		return Action{Fault: FaultCrashAll, Service: serviceApp}
	})
	return slices.Concat(sick, crashes)
}
