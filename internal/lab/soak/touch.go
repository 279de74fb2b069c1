package soak

import (
	"slices"
	"time"
)

// storeWide are the faults that strike the store for all processes.
var storeWide = []Fault{FaultStoreDown, FaultStoreSilent, FaultStoreSlow, FaultStoreLoses, FaultStoreLate, FaultStoreDeaf, FaultStoreForget, FaultStoreStale, FaultStoreRestore}

// planned are changes that a process must bear without any grace.
var planned = []Fault{FaultConfig, FaultReload}

// disturbs reports whether a fault excuses a process from bounds of time.
func (d *Disturbance) disturbs(gateway int) bool {
	switch {
	case slices.Contains(planned, d.Fault):
		return false
	case slices.Contains(storeWide, d.Fault):
		return true
	}
	return slices.Contains(d.Gateways, gateway)
}

// disturbed reports whether a process was disturbed at some time between two, by a fault that
// counts.
func (f *Facts) disturbed(gateway int, from, to time.Time, counts func(*Disturbance) bool) bool {
	return slices.ContainsFunc(f.Disturbances, func(d *Disturbance) bool {
		return d.From.Before(to) && d.To.After(from) && d.disturbs(gateway) && counts(d)
	})
}

func anyDisturbance(*Disturbance) bool { return true }

// inTouch reports whether a process was undisturbed at a time and for the contact time before
// it. Only then do bounds of time hold for it.
func (c *checker) inTouch(gateway int, at time.Time) bool {
	contact := c.o.Bounds.Contact
	for _, started := range c.f.Starts[gateway] {
		if started.Before(at) && started.After(at.Add(-contact)) {
			return false
		}
	}
	return !c.f.disturbed(gateway, at.Add(-contact), at, anyDisturbance)
}
