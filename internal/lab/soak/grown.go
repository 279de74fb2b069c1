package soak

import (
	"math/rand/v2"
	"time"
)

const (
	// stayTime is how long an instance of a large layout stays on average. Of some hundred, two
	// leave each second, so that a run of half a minute has some fifty to judge.
	stayTime = 50 * time.Second
	// watcherEvery is the mean time between two faults of processes that watch the store for the
	// others, watcherFault the longest: the others leave one that is stale for longer.
	watcherEvery = 2 * time.Second
	watcherFault = 2500 * time.Millisecond
	// storeWideShare is the part of a run, its first one, that has faults of the store for all
	// processes. Nobody is in touch then: with them all through a run, no arrival was judged.
	storeWideShare = 0.25
	// mostRestores is how often the store comes back from an older copy in a run at the most,
	// oldestCopy how much older it is at the most, and writtenAgain in what time what the
	// operator and the instances wrote is written again: about two seconds, by the users'
	// pages.
	mostRestores = 2
	oldestCopy   = 6 * time.Second
	writtenAgain = 2 * time.Second
	// rollBegin and rollShare say when all processes are stopped and started again in turn, as
	// parts of a run.
	rollBegin = 0.3
	rollShare = 0.3
)

// storeWideUntil returns until when a run has faults of the store for all processes.
func storeWideUntil(length time.Duration) time.Duration {
	return time.Duration(storeWideShare * float64(length))
}

// restores returns at what times the store comes back from an older copy, among the faults of
// the store for all processes. For says how much older the copy is.
func (s *scheduler) restores(length time.Duration) []Action {
	var out []Action
	for range 1 + s.rng.IntN(mostRestores) {
		out = append(out, Action{At: s.upTo(storeWideUntil(length)), Fault: FaultStoreRestore, For: s.upTo(oldestCopy)})
	}
	return out
}

// restore has the store come back from an older copy. The operator and the instances write
// again, in any order; registrations of instances that are gone lapse again.
func (w *world) restore(op *operator, by time.Duration) {
	w.store.Restore(by)
	w.later(rand.N(writtenAgain), op.again)
	for _, p := range w.places {
		w.later(rand.N(writtenAgain), p.again)
	}
}

// again writes the newest configuration again.
func (o *operator) again() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.w.store.Configure(configuration(o.index))
}

// again writes what the registration of the present instance was, and lets those of earlier ones lapse.
func (p *place) again() {
	p.mu.Lock()
	e, starts, gone := p.now, p.starts, p.gone
	p.mu.Unlock()
	for n := range starts {
		if id := instanceID(p.number, n+1); id != e.ID || gone {
			p.w.store.Deregister(id)
		}
	}
	p.write(e, e.Stage())
}

// leaveActions are the ways in which instances leave.
var leaveActions = []weighted{
	{5, instanceFault(FaultDrain, 1, leaves)},
	{5, instanceFault(FaultRemove, 1, leaves)},
	{1, instanceFault(FaultCrash, 1, leaves)},
	{1, instanceFault(FaultReuse, 1, leaves)},
}

// leaves reports whether instances of a service leave more often than by the other faults. The
// services of marks have one instance each.
func leaves(service string) bool { return service == serviceApp || service == serviceModels }

// leaves returns instances that leave, and others that take their places.
func (s *scheduler) leaves(length time.Duration) []Action {
	every := stayTime / time.Duration(len(s.layout.Places))
	return s.often(every, length, func() Action { return s.pickFrom(leaveActions) })
}

// often returns actions with a mean time between two.
func (s *scheduler) often(every, length time.Duration, next func() Action) []Action {
	var out []Action
	for at := s.upTo(2 * every); at < length; at += s.upTo(2 * every) {
		a := next()
		a.At = at
		out = append(out, a)
	}
	return out
}

// watcherActions are short faults of what a process has to do with the store.
var watcherActions = []weighted{
	{2, func(s *scheduler) Action { return Action{Fault: FaultStoreSome} }},
	{2, func(s *scheduler) Action { return Action{Fault: FaultReset, Party: partyStore} }},
	{2, func(s *scheduler) Action {
		return Action{Fault: FaultSilence, Party: partyStore, Conditions: Conditions{CutThere: true, CutBack: true}}
	}},
	{1, func(s *scheduler) Action { return Action{Fault: FaultFreeze} }},
}

// watcherFaults returns short faults of processes that watch the store for the others.
func (s *scheduler) watcherFaults(length time.Duration) []Action {
	return s.often(watcherEvery, length, func() Action {
		a := s.pickFrom(watcherActions)
		a.Watcher, a.Gateways, a.For = true, []int{s.rng.IntN(s.processes)}, s.upTo(watcherFault)
		return a
	})
}

// roll returns planned stops of all processes, one after the other.
func (s *scheduler) roll(length time.Duration) []Action {
	gap := time.Duration(rollShare * float64(length) / float64(s.processes))
	var out []Action
	for n, process := range s.rng.Perm(s.processes) {
		at := time.Duration(rollBegin*float64(length)) + time.Duration(n)*gap
		out = append(out, Action{At: at, Fault: FaultStop, Gateways: []int{process}, For: s.upTo(time.Second)})
	}
	return out
}
