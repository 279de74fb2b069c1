package quarantine

import (
	"bytes"
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
)

const (
	// quarantineThreshold is the number of instances that must crash while running a request before
	// the request is rejected. Other requests that were in flight at a crash are retried too, but it
	// is less likely that the same ones are in flight at several crashes.
	quarantineThreshold = 3
	// quarantineTime is how long a request is rejected after its last crash, if crashes in trials have confirmed the verdict.
	// Then another trial is permitted, since the engines may have been fixed meanwhile.
	quarantineTime = 10 * time.Minute
	// firstTrialDelay is the time from the verdict to the first trial. What many clients repeat is in flight at every
	// crash, so it is blamed for the loss of a failure domain too, and no completion can clear what is rejected everywhere.
	// Each trial that crashes an instance multiplies the time until the next one by trialBackoff.
	firstTrialDelay = 2 * time.Second
	trialBackoff    = 30
	// trialInterval is the minimum time between two trials of a request in one process.
	trialInterval = 10 * time.Second
	// A process without permission for trials may start one between othersTrialDelay and othersTrialDelay+othersTrialSpread
	// after a trial is due, since the process with the permission may not get the request. The spread keeps processes from
	// trying at the same time.
	othersTrialDelay  = 2 * time.Second
	othersTrialSpread = 10 * time.Second
	// suspectRetention is how long a suspect is kept after its last crash, and the longest time
	// between the first and the last of the crashes that lead to a quarantine. A quarantined request is
	// kept for as long beyond its quarantine time, so that a trial may run.
	suspectRetention = 10 * time.Minute
	// sweepInterval is how often expired suspects are removed.
	sweepInterval = time.Second
	// sameCrashWindow is the maximum time between two observations of the same crash. The name of the
	// instance is not enough, since targets of the completion service keep their names when they
	// restart.
	sameCrashWindow = 2 * time.Second
	// An instance that completes a request clears the crashes before it, since other requests that
	// were in flight at a crash are completed by any instance. A single instance that survives a
	// poison request would clear it for all. crashesDespiteCompletions crashes of different instances
	// are therefore enough for the verdict if there are at least crashesPerCompleter of them for each
	// instance that has completed the request.
	crashesDespiteCompletions = 6
	crashesPerCompleter       = 3
	// maxSuspects limits the number of suspects in a table.
	maxSuspects = 4096
	// maxCrashes limits the number of crashes kept for each suspect.
	maxCrashes = 8
)

// Observation is the outcome of one run of a request.
type Observation struct {
	// Kind is the kind of cause that Request identifies.
	Kind    Kind
	Request Fingerprint
	// Instance is the instance that crashed while running the request. It is empty if the run was
	// successful.
	Instance string
	// CompletedBy is the instance that completed the request. If Instance is empty too, the request
	// was cleared by an operator or completed by an unknown instance.
	CompletedBy string
	// RunTime is the time from the start of the request on the instance to the crash.
	RunTime time.Duration
	At      bootclock.Instant
}

// Verdict says whether a request may be sent to an instance.
type Verdict struct {
	// Refused is true if the request is rejected. RetryAfter is then the time after which it may be
	// retried.
	Refused    bool
	RetryAfter time.Duration
	// Quarantined is true if the request is a poison request. Trial is true if it may run
	// nevertheless, because the quarantine time is over.
	Quarantined, Trial bool
	// CrashedInstances lists the instances that crashed while running the request, as far as these
	// crashes count against it.
	CrashedInstances []string
}

// Suspect is a request, or a part of prompts, that was in flight on instances when they crashed.
type Suspect struct {
	Kind    Kind
	Request Fingerprint
	Verdict Verdict
	// BlamedWith lists the other parts that have the same crashes. Only requests with all of them are rejected.
	BlamedWith []Fingerprint
	// SinceLastCrash is the time since the last crash.
	SinceLastCrash time.Duration
}

// Table holds the observations of all suspects. It is safe for concurrent use.
type Table struct {
	now func() bootclock.Instant
	// mayTry reports whether this process may start trials as soon as they are due. If not, it may othersDelay later.
	mayTry      func() bool
	othersDelay time.Duration

	mu sync.Mutex
	// lastNumber is the number of the last observation.
	lastNumber uint64
	suspects   map[cause]*suspect
	// blame is the result of blamed as of the observation with number blameAsOf.
	blame     blame
	blameAsOf uint64
	// sweptAt is when expired suspects were last removed.
	sweptAt bootclock.Instant
	// victims are the next suspects to be evicted.
	victims []victim
	// updates has an entry if there are new observations.
	updates chan struct{}
}

// suspect holds the observations of one cause.
type suspect struct {
	kind Kind
	// crashes are in the order of their times.
	crashes []numberedObservation
	// lastSuccess is the last successful run. Its number is 0 if there is none.
	lastSuccess numberedObservation
	// lastClear is the last successful run that was a trial, or by no known instance. Its number is 0
	// if there is none.
	lastClear numberedObservation
	// completions are completions of the latest quarantineTime, one for each instance, at most maxCrashes.
	completions []numberedObservation
	// lastTrial is the time of the last trial.
	lastTrial bootclock.Instant
}

// numberedObservation is an observation with its number in this table.
type numberedObservation struct {
	number uint64
	Observation
}

// sameCrash reports whether two observations are of the same crash. Several processes may observe
// one, if each of them has sent the request to the instance.
func (n numberedObservation) sameCrash(o Observation) bool {
	apart := n.At.Sub(o.At)
	return n.Instance == o.Instance && max(apart, -apart) < sameCrashWindow
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{now: bootclock.Now, mayTry: func() bool { return true }, othersDelay: othersTrialDelay + rand.N(othersTrialSpread), suspects: map[cause]*suspect{}, updates: make(chan struct{}, 1)}
}

// SetClock replaces the clock. It must be called before the table is used.
func (t *Table) SetClock(now func() bootclock.Instant) { t.now = now }

// SetTrialPermission sets a function that reports whether this process may start trials as soon as they are due. It should
// return true in one process. Without it, every process may. It must be called before the table is used.
func (t *Table) SetTrialPermission(mayTry func() bool) { t.mayTry = mayTry }

// Updates returns a channel that has an entry when there are new observations.
func (t *Table) Updates() <-chan struct{} { return t.updates }

// Empty reports whether there are no suspects. Callers then need not compute fingerprints.
func (t *Table) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep()
	return len(t.suspects) == 0
}

// RecordCrash records that an instance has crashed while running a request, which had run there for
// the given time. It returns the verdict on the request.
func (t *Table) RecordCrash(f Fingerprint, instance string, ran time.Duration) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep()
	t.apply(Observation{Request: f, Instance: instance, RunTime: ran, At: t.now()})
	return t.verdictOf(f)
}

// RecordCompletion records that an instance has completed a request.
func (t *Table) RecordCompletion(f Fingerprint, instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep()
	t.apply(Observation{Request: f, CompletedBy: instance, At: t.now()})
}

// Clear records an operator's decision that a request does not crash instances any more.
func (t *Table) Clear(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep()
	t.apply(Observation{Request: f, At: t.now()})
}

// Merge merges observations of other processes into the table.
func (t *Table) Merge(all []Observation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep()
	for _, o := range all {
		t.apply(o)
	}
}

// apply adds an observation unless it is known or redundant. The time of an observation from another
// process is too late by the transit time of the message. A later time alone must therefore not make
// an observation new: processes would send the same one to each other forever. The caller holds the
// lock.
func (t *Table) apply(o Observation) {
	key := cause{o.Kind, o.Request}
	s := t.suspects[key]
	if s == nil && o.Instance == "" {
		return // a success is only of interest for a suspect
	}
	if t.now().Sub(o.At) > quarantineTime+suspectRetention {
		return // processes would send expired observations to each other again
	}
	if s == nil {
		s = &suspect{kind: o.Kind}
		t.evict()
		t.suspects[key] = s
	}
	if !s.isNew(o) {
		return
	}
	t.lastNumber++
	if o.Instance == "" {
		s.addSuccess(numberedObservation{t.lastNumber, o})
	} else {
		s.crashes = append(s.crashes, numberedObservation{t.lastNumber, o})
		slices.SortFunc(s.crashes, func(a, b numberedObservation) int { return cmp.Compare(a.At, b.At) })
		s.limitCrashes()
	}
	select {
	case t.updates <- struct{}{}:
	default: // an update is already pending
	}
}

// addSuccess adds a successful run, which may be older than the last one.
func (s *suspect) addSuccess(n numberedObservation) {
	if s.lastSuccess.number == 0 || n.At > s.lastSuccess.At {
		s.lastSuccess = n
	}
	if s.kind != KindRequest {
		return // any first event clears a part
	}
	if s.clears(n.Observation) && (s.lastClear.number == 0 || n.At > s.lastClear.At) {
		s.lastClear = n
	}
	if n.CompletedBy != "" {
		others := slices.DeleteFunc(s.currentCompletions(n.At), func(c numberedObservation) bool { return c.CompletedBy == n.CompletedBy })
		s.completions = append(others[:min(len(others), maxCrashes-1)], n)
	}
}

// clears reports whether a successful run clears all crashes before it: one by no known instance, a trial after the
// quarantine time, or an earlier trial by an instance that had not completed the request. What one instance survives
// again and again is cleared once.
func (s *suspect) clears(o Observation) bool {
	since := o.At.Sub(s.lastCrash())
	switch {
	case o.CompletedBy == "", since >= quarantineTime:
		return true
	case since < firstTrialDelay || len(s.evidence()) < quarantineThreshold:
		return false
	}
	return !slices.ContainsFunc(s.currentCompletions(o.At), func(n numberedObservation) bool { return n.CompletedBy == o.CompletedBy })
}

// currentCompletions returns the completions of the last quarantineTime.
func (s *suspect) currentCompletions(now bootclock.Instant) []numberedObservation {
	return slices.DeleteFunc(slices.Clone(s.completions), func(n numberedObservation) bool { return now.Sub(n.At) > quarantineTime })
}

// isNew reports whether an observation changes the state of the suspect: a successful run after a
// crash, a completion by another instance, or another crash. Once maxCrashes are known, only a later crash is new.
func (s *suspect) isNew(o Observation) bool {
	if o.Instance == "" {
		if since := s.crashesAfter(s.lastSuccess); len(since) > 0 && o.At > since[0].At {
			return true
		}
		if s.kind != KindRequest {
			return false
		}
		if s.clears(o) {
			since := s.crashesAfter(s.lastClear)
			return len(since) > 0 && o.At > since[0].At
		}
		current := s.currentCompletions(o.At)
		return len(current) < maxCrashes && !slices.ContainsFunc(current, func(n numberedObservation) bool { return n.CompletedBy == o.CompletedBy })
	}
	if slices.ContainsFunc(s.crashes, func(n numberedObservation) bool { return n.sameCrash(o) }) {
		return false
	}
	return len(s.crashes) < maxCrashes || o.At > s.lastCrash().Add(sameCrashWindow)
}

// limitCrashes removes a crash if there are more than maxCrashes: the oldest one, unless it is part of
// the evidence. The crashes that led to a quarantine are kept, since those of trials are too far
// apart to count without them.
func (s *suspect) limitCrashes() {
	if len(s.crashes) <= maxCrashes {
		return
	}
	victim := 0
	if len(s.evidence()) == len(s.crashes) {
		victim = crashesDespiteCompletions
	}
	s.crashes = slices.Delete(s.crashes, victim, victim+1)
}

// sweep removes expired suspects, at most once each sweepInterval. The caller holds the lock.
func (t *Table) sweep() {
	now := t.now()
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	for f, s := range t.suspects {
		if now.Sub(s.lastCrash()) > s.retention() {
			delete(t.suspects, f)
			t.blameAsOf = 0
		}
	}
}

// retention returns how long the suspect is kept after its last crash.
func (s *suspect) retention() time.Duration {
	if len(s.evidence()) >= quarantineThreshold {
		return quarantineTime + suspectRetention
	}
	return suspectRetention
}

// victim is a suspect to be evicted, with what made it one.
type victim struct {
	cause
	crashes   int
	lastCrash bootclock.Instant
}

// victimBatch is the number of victims that are chosen at a time.
const victimBatch = 256

// evict removes a suspect if the table is full: the one with the fewest crashes that count, and among
// equals the one whose last crash is the oldest. The caller holds the lock.
func (t *Table) evict() {
	for len(t.suspects) >= maxSuspects {
		if len(t.victims) == 0 {
			t.victims = t.chooseVictims()
		}
		v := t.victims[0]
		t.victims = t.victims[1:]
		s := t.suspects[v.cause]
		if s != nil && s.lastCrash() == v.lastCrash { // it has not crashed an instance since it was chosen
			delete(t.suspects, v.cause)
		}
	}
}

// chooseVictims returns the next suspects to be evicted, in order.
func (t *Table) chooseVictims() []victim {
	all := make([]victim, 0, len(t.suspects))
	for key, s := range t.suspects {
		all = append(all, victim{key, len(s.evidence()), s.lastCrash()})
	}
	slices.SortFunc(all, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.crashes, b.crashes), cmp.Compare(a.lastCrash, b.lastCrash))
	})
	return all[:victimBatch]
}

// evidence returns the crashes that count against the request: those since the last successful run
// or, if they are many, those since the last clear.
func (s *suspect) evidence() []numberedObservation {
	since := recent(s.crashesAfter(s.lastSuccess), quarantineThreshold)
	if len(since) >= quarantineThreshold || len(s.crashes) < crashesDespiteCompletions || s.kind != KindRequest {
		return since
	}
	crashes, crashed, completers := recent(s.crashesAfter(s.lastClear), crashesDespiteCompletions), map[string]bool{}, 0
	for _, e := range crashes {
		crashed[e.Instance] = true
	}
	for _, n := range s.currentCompletions(s.lastCrash()) {
		if s.lastClear.number == 0 || n.At > s.lastClear.At {
			completers++
		}
	}
	if len(crashed) >= max(crashesDespiteCompletions, crashesPerCompleter*completers) {
		return crashes
	}
	return since
}

// recent returns the last crashes, without those that are too old to count: before threshold crashes
// within suspectRetention there is no quarantine, and after that it continues until the suspect expires.
func recent(crashes []numberedObservation, threshold int) []numberedObservation {
	first := 0
	for n := range crashes {
		for crashes[n].At.Sub(crashes[first].At) > suspectRetention {
			first++
		}
		if n-first+1 >= threshold {
			break
		}
	}
	return crashes[first:]
}

// crashesAfter returns the crashes after a successful run, all if its number is 0.
func (s *suspect) crashesAfter(success numberedObservation) []numberedObservation {
	for n, e := range s.crashes {
		if success.number == 0 || e.At > success.At {
			return s.crashes[n:]
		}
	}
	return nil
}

func (s *suspect) lastCrash() bootclock.Instant {
	if len(s.crashes) == 0 {
		return 0
	}
	return s.crashes[len(s.crashes)-1].At
}

// Admit returns the verdict on a request that is to be sent to an instance. If it permits a poison
// request because its quarantine time is over, the request counts as the trial.
func (t *Table) Admit(f Fingerprint) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep()
	v := t.verdictOf(f)
	t.startTrial(&v, t.suspects[cause{KindRequest, f}])
	return v
}

// startTrial permits a trial of a blamed cause whose quarantine time is over, if this process may start one.
func (t *Table) startTrial(v *Verdict, s *suspect) {
	if !v.Quarantined || v.Refused {
		return
	}
	now := t.now()
	if others := s.trialDue().Add(t.othersDelay); now < others && !t.mayTry() {
		v.Refused, v.RetryAfter = true, others.Sub(now)
		return
	}
	v.Trial, s.lastTrial = true, now
}

// CancelTrial records that a request which was permitted as a trial has not run. Another one may be tried at once.
func (t *Table) CancelTrial(f Fingerprint, parts []Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	keys := []cause{{KindRequest, f}}
	for _, p := range parts {
		keys = append(keys, cause{KindPart, p.Shared})
	}
	for _, key := range keys {
		if s := t.suspects[key]; s != nil {
			s.lastTrial = 0
		}
	}
}

// Verdict returns the verdict on a request without starting a trial.
func (t *Table) Verdict(f Fingerprint) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep()
	return t.verdictOf(f)
}

func (t *Table) verdictOf(f Fingerprint) Verdict {
	s := t.suspects[cause{KindRequest, f}]
	if s == nil {
		return Verdict{}
	}
	v := Verdict{CrashedInstances: instancesOf(s.evidence()), Quarantined: t.blamed().requests[f]}
	if v.Quarantined {
		v.Refused, v.RetryAfter = t.refusal(s)
	}
	return v
}

// refusal returns whether a blamed cause is rejected now, and for how long.
func (t *Table) refusal(s *suspect) (bool, time.Duration) {
	remaining := s.trialDue().Sub(t.now())
	return remaining > 0, max(remaining, 0)
}

// trialDue returns the time from which a trial of a blamed cause is permitted.
func (s *suspect) trialDue() bootclock.Instant {
	due := s.lastCrash().Add(s.trialDelay())
	if s.lastTrial > 0 {
		due = max(due, s.lastTrial.Add(trialInterval))
	}
	return due
}

// trialDelay returns the time from the last crash to the next trial.
func (s *suspect) trialDelay() time.Duration {
	if len(s.crashesAfter(s.lastSuccess)) < quarantineThreshold {
		return quarantineTime // blamed although instances have completed it
	}
	delay := firstTrialDelay
	for range s.failedTrials() {
		delay = min(trialBackoff*delay, quarantineTime)
	}
	return delay
}

// failedTrials returns how often instances have crashed since the crashes that led to the verdict.
func (s *suspect) failedTrials() (n int) {
	crashes := s.evidence()
	if len(crashes) < quarantineThreshold {
		return 0
	}
	previous := crashes[quarantineThreshold-1].At
	for _, c := range crashes[quarantineThreshold:] {
		if c.At.Sub(previous) > firstTrialDelay/2 { // otherwise it belongs to the same loss of instances
			n++
		}
		previous = c.At
	}
	return n
}

// Suspects returns all suspects: those with the most crashes that count first, among equals the one
// with the latest crash.
func (t *Table) Suspects() []Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep()
	now := t.now()
	var out []Suspect
	for key, s := range t.suspects {
		if key.kind != KindWorkspacePart {
			out = append(out, t.describe(key, s, now))
		}
	}
	slices.SortFunc(out, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(len(b.Verdict.CrashedInstances), len(a.Verdict.CrashedInstances)), cmp.Compare(a.SinceLastCrash, b.SinceLastCrash), bytes.Compare(a.Request[:], b.Request[:]))
	})
	return out
}

// describe returns what is known of a suspect.
func (t *Table) describe(key cause, s *suspect, now bootclock.Instant) Suspect {
	out := Suspect{Kind: key.kind, Request: key.id, SinceLastCrash: now.Sub(s.lastCrash())}
	if key.kind == KindRequest {
		out.Verdict = t.verdictOf(key.id)
		return out
	}
	out.Verdict.CrashedInstances = instancesOf(s.evidence())
	for _, members := range t.blamed().parts {
		if slices.Contains(members, key.id) {
			out.Verdict.Quarantined = true
			out.Verdict.Refused, out.Verdict.RetryAfter = t.refusal(s)
			out.BlamedWith = slices.DeleteFunc(slices.Clone(members), func(m Fingerprint) bool { return m == key.id })
		}
	}
	return out
}

// observations returns all observations of a suspect that matter, some of them twice.
func (s *suspect) observations() []numberedObservation {
	return slices.Concat([]numberedObservation{s.lastSuccess, s.lastClear}, s.completions, s.crashes)
}

// ObservationsAfter returns up to limit observations that follow the one with the given number, in
// their order, and the number of the last of them.
func (t *Table) ObservationsAfter(number uint64, limit int) ([]Observation, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep()
	var all []numberedObservation
	for _, s := range t.suspects {
		for _, o := range s.observations() {
			if o.number > number {
				all = append(all, o)
			}
		}
	}
	slices.SortFunc(all, func(a, b numberedObservation) int { return cmp.Compare(a.number, b.number) })
	all = slices.CompactFunc(all, func(a, b numberedObservation) bool { return a.number == b.number })
	all = all[:min(limit, len(all))]
	out := make([]Observation, 0, len(all))
	for _, o := range all {
		number = o.number
		out = append(out, o.Observation)
	}
	return out, number
}
