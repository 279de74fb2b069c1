package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// rejectionSeed selects a separate random sequence for rejections, so that the schedules of the other faults don't
	// depend on them.
	rejectionSeed = 2
	// meanRejectionInterval is the mean time between two periods in which the store rejects most processes.
	meanRejectionInterval = 12 * time.Second
	minRejection          = 2 * time.Second
	maxRejection          = 9 * time.Second
	// minServed is how many processes the store serves at least.
	minServed = 2
	// maxChangeDelay is how long after its begin the configuration changes at the latest.
	maxChangeDelay = 2 * time.Second
)

// rejectionActions has the store reject most processes at times, and the configuration change soon after.
func rejectionActions(seed uint64, processes int, layout *Layout, length time.Duration) []Action {
	if processes <= minServed {
		return nil
	}
	s := &scheduleBuilder{rng: rand.New(rand.NewPCG(seed, rejectionSeed)), processes: processes, layout: layout}
	rejections := s.atRandomIntervals(meanRejectionInterval, length, func() Action {
		rejected := s.rng.Perm(processes)[:processes-minServed-s.rng.IntN(max(processes/4, 1))]
		return Action{Fault: FaultStoreRefusesSome, Gateways: rejected, Duration: minRejection + s.randomDuration(maxRejection-minRejection)}
	})
	var changes []Action
	for _, a := range rejections {
		changes = append(changes, Action{At: a.At + s.randomDuration(maxChangeDelay), Fault: FaultConfig, Count: 1})
	}
	return slices.Concat(rejections, changes)
}
