package soak

import (
	"slices"
	"time"
)

// storeWideFaults are the faults of the store that affect all processes.
var storeWideFaults = []Fault{FaultStoreDown, FaultStoreSilent, FaultStoreSlow, FaultStoreLoses, FaultStoreLate, FaultStoreSilentWatches, FaultStoreDropsHistory, FaultStoreStale, FaultStoreRestore}

// plannedChanges do not disturb a process: time bounds apply during them.
var plannedChanges = []Fault{FaultConfig, FaultReload}

// affects reports whether a fault excuses a process from time bounds.
func (d *Disturbance) affects(gateway int) bool {
	switch {
	case slices.Contains(plannedChanges, d.Fault):
		return false
	case slices.Contains(storeWideFaults, d.Fault):
		return true
	}
	return slices.Contains(d.Gateways, gateway)
}

// wasDisturbed reports whether a process was disturbed between two times by a fault for which
// counts returns true.
func (f *Observations) wasDisturbed(gateway int, from, to time.Time, counts func(*Disturbance) bool) bool {
	return slices.ContainsFunc(f.Disturbances, func(d *Disturbance) bool {
		return d.From.Before(to) && d.To.After(from) && d.affects(gateway) && counts(d)
	})
}

func anyDisturbance(*Disturbance) bool { return true }

func besidesRejections(d *Disturbance) bool { return d.Fault != FaultStoreRefusesSome }

// undisturbed reports whether a process was undisturbed at a time and during the contact time
// before it. Time bounds apply to a process only then.
func (c *checker) undisturbed(gateway int, at time.Time) bool {
	return c.undisturbedBy(gateway, at, anyDisturbance)
}

// undisturbedBy is like undisturbed, but only faults count for which counts returns true.
func (c *checker) undisturbedBy(gateway int, at time.Time, counts func(*Disturbance) bool) bool {
	contact := c.o.Bounds.ContactTime
	for _, started := range c.observed.Starts[gateway] {
		if started.Before(at) && started.After(at.Add(-contact)) {
			return false
		}
	}
	return !c.observed.wasDisturbed(gateway, at.Add(-contact), at, counts)
}
