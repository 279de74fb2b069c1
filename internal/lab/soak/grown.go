package soak

import (
	"math/rand/v2"
	"time"
)

const (
	// meanInstanceLifetime is the mean lifetime of an instance in a large layout. Of about a
	// hundred instances, two end each second, so that a run of half a minute has about fifty
	// withdrawals to check.
	meanInstanceLifetime = 50 * time.Second
	// meanWatcherFaultInterval is the mean time between two faults of processes that watch the
	// store for the others. maxWatcherFault limits their duration, because the others switch to
	// another watcher if one is stale for longer.
	meanWatcherFaultInterval = 2 * time.Second
	maxWatcherFault          = 2500 * time.Millisecond
	// storeFaultsShare is the fraction of a run, from its start, in which faults of the store
	// affect all processes. No time bound applies to any process then: with such faults throughout
	// the run, no arrival could be checked against a time bound.
	storeFaultsShare = 0.25
	// maxRestores limits how often a run restores the store from an older snapshot, maxSnapshotAge
	// the age of the snapshot. Within rewriteTime, the operator and the instances write their
	// objects again; the users' pages state about two seconds.
	maxRestores    = 2
	maxSnapshotAge = 6 * time.Second
	rewriteTime    = 2 * time.Second
	// rollingRestartStart and rollingRestartShare are the start and the length of the rolling
	// restart of all processes, as fractions of a run.
	rollingRestartStart = 0.3
	rollingRestartShare = 0.3
)

// storeFaultsEnd returns the time after which a run has no more faults of the store for all
// processes.
func storeFaultsEnd(length time.Duration) time.Duration {
	return time.Duration(storeFaultsShare * float64(length))
}

// storeRestores returns the restores of the store from an older snapshot, within the time of the
// store-wide faults. Duration is the age of the snapshot.
func (s *scheduleBuilder) storeRestores(length time.Duration) []Action {
	var out []Action
	for range 1 + s.rng.IntN(maxRestores) {
		out = append(out, Action{At: s.randomDuration(storeFaultsEnd(length)), Fault: FaultStoreRestore, Duration: s.randomDuration(maxSnapshotAge)})
	}
	return out
}

// restoreStore restores the store from a snapshot of the given age. The operator and the instances
// then write their objects again, in any order, and the registrations of instances that have ended
// are removed again.
func (w *world) restoreStore(op *operator, by time.Duration) {
	w.store.Restore(by)
	w.runAfter(rand.N(rewriteTime), op.rewriteConfig)
	for _, p := range w.places {
		w.runAfter(rand.N(rewriteTime), p.rewriteRegistration)
	}
}

// rewriteConfig writes the newest configuration again.
func (o *operator) rewriteConfig() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.w.store.Configure(configuration(o.index))
}

// rewriteRegistration writes the registration of the current instance again, unless it was removed,
// and removes those of earlier instances.
func (p *place) rewriteRegistration() {
	p.mu.Lock()
	e, starts, deregistered := p.current, p.starts, p.deregistered
	p.mu.Unlock()
	for n := range starts {
		if id := instanceID(p.number, n+1); id != e.ID || deregistered {
			p.w.store.Deregister(id)
		}
	}
	p.register(e, e.Stage())
}

// withdrawalActions are the ways in which instances are withdrawn or end.
var withdrawalActions = []weightedAction{
	{5, instanceFault(FaultDrain, 1, hasSeveralInstances)},
	{5, instanceFault(FaultRemove, 1, hasSeveralInstances)},
	{1, instanceFault(FaultCrash, 1, hasSeveralInstances)},
	{1, instanceFault(FaultReuse, 1, hasSeveralInstances)},
}

// hasSeveralInstances reports whether a service has more than one instance, so that instances can
// be withdrawn more often than by the general faults. The mark services have one instance each.
func hasSeveralInstances(service string) bool {
	return service == serviceApp || service == serviceModels
}

// withdrawals returns withdrawals of instances, each of which is replaced by a new instance.
func (s *scheduleBuilder) withdrawals(length time.Duration) []Action {
	every := meanInstanceLifetime / time.Duration(len(s.layout.Places))
	return s.atRandomIntervals(every, length, func() Action { return s.randomActionFrom(withdrawalActions) })
}

// atRandomIntervals returns actions with the given mean time between two of them.
func (s *scheduleBuilder) atRandomIntervals(every, length time.Duration, next func() Action) []Action {
	var out []Action
	for at := s.randomDuration(2 * every); at < length; at += s.randomDuration(2 * every) {
		a := next()
		a.At = at
		out = append(out, a)
	}
	return out
}

// watcherActions are faults of a process or of its connection to the store.
var watcherActions = []weightedAction{
	{2, func(s *scheduleBuilder) Action { return Action{Fault: FaultStoreRefusesSome} }},
	{2, func(s *scheduleBuilder) Action { return Action{Fault: FaultReset, Party: partyStore} }},
	{2, func(s *scheduleBuilder) Action {
		return Action{Fault: FaultSilence, Party: partyStore, Conditions: Conditions{BlockForward: true, BlockBackward: true}}
	}},
	{1, func(s *scheduleBuilder) Action { return Action{Fault: FaultFreeze} }},
}

// watcherFaults returns short faults of processes that watch the store for the others.
func (s *scheduleBuilder) watcherFaults(length time.Duration) []Action {
	return s.atRandomIntervals(meanWatcherFaultInterval, length, func() Action {
		a := s.randomActionFrom(watcherActions)
		a.TargetWatcher, a.Gateways, a.Duration = true, []int{s.rng.IntN(s.processes)}, s.randomDuration(maxWatcherFault)
		return a
	})
}

// rollingRestart returns planned stops of all processes, one after the other.
func (s *scheduleBuilder) rollingRestart(length time.Duration) []Action {
	gap := time.Duration(rollingRestartShare * float64(length) / float64(s.processes))
	var out []Action
	for n, process := range s.rng.Perm(s.processes) {
		at := time.Duration(rollingRestartStart*float64(length)) + time.Duration(n)*gap
		out = append(out, Action{At: at, Fault: FaultStop, Gateways: []int{process}, Duration: s.randomDuration(time.Second)})
	}
	return out
}
