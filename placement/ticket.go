package placement

import (
	"strconv"
	"time"

	"github.com/rockdoor/rockdoor/fleet"
)

// Ticket is a placed job. It belongs to the goroutine of the request.
type Ticket struct {
	p         *Placer
	model     *Model
	pending   *workspacePending
	work      *WorkTotals
	route     string
	workspace string
	// promptTokens is the size of the prompt: its shared parts and its unshared tokens.
	promptTokens   int
	parts          []Part
	unsharedTokens int
	prefillState   *instanceState
	targetState    *instanceState
	// prefillLoad is the load that the job adds to its prefill engine.
	prefillLoad Load
	// busyMs is how long the prompt keeps the prefill engine busy, in ms.
	busyMs float64
	// hold is the prompt's part of its workspace's share, nil if there is none.
	hold *shareHold
	// targetLoad is the load that the job adds to its target.
	targetLoad Load
	// reserved is the ID of a target with a rate limit, from which a request was reserved until the
	// prefill has ended. It is empty if there is none.
	reserved string
	// late is true if the prompt is prefilled only when no others are pending.
	late     bool
	placedAt time.Time
	// targetPlacedAt is when the target was chosen.
	targetPlacedAt time.Time
	prefilledAt    time.Time
	// queueEmpty is true if no other prompt was pending at the prefill engine when the job was placed.
	// prefillsBefore is the number of prompts that the engine had prefilled by then.
	queueEmpty     bool
	prefillsBefore uint64
	// expectedMs is the estimated time until the prefill ends, in ms, without the engine's slowdown
	// factor.
	expectedMs  float64
	starting    bool
	lastEventAt time.Time
	// firstEventAt is when the response began, zero if it has not. events counts its events, as far
	// as they are known.
	firstEventAt time.Time
	events       int
	// wholeModel is the model of the prefill at the target if the request runs there as a whole, and
	// wholeLoad the load that the job adds to its target until the first event; else nil and zero.
	wholeModel *Model
	wholeLoad  Load
	// targetMemory is the memory of the target's prefix cache in tokens if the target is recorded as having
	// a moved prompt cached from the first event on; else 0.
	targetMemory int
	// gaps and gapTotalMs are the number and the sum of the times between events. requestsAtStart is the
	// number of requests at the target when it was chosen, targetSlots its slots.
	gaps            int
	gapTotalMs      float64
	requestsAtStart int
	targetSlots     int
}

// assignPrefill adds the job to the load of its prefill engine. The caller holds the placer's lock.
func (t *Ticket) assignPrefill(plan *Plan) {
	t.prefillState = t.p.state(plan.PrefillEngine)
	t.prefillState.recordSend(t.placedAt)
	pendingLoad := t.p.load(t.prefillState)
	work := PrefillWork(t.promptTokens, plan.Uncached)
	t.queueEmpty = pendingLoad.Pending.All().Prompts == 0
	t.expectedMs = t.model.QueueMs(&pendingLoad.Pending, plan.Rank) + t.model.PrefillMs(work)
	t.late = plan.Late
	t.prefillLoad = Load{Requests: 1}
	t.prefillLoad.Pending[plan.Rank] = Backlog{1, work}
	t.p.addLocalLoad(t.prefillState, t.prefillLoad)
	t.busyMs = t.model.BusyMs(Backlog{1, work})
	t.pending.add(t.workspace, t.busyMs)
	t.recordWork(work)
	t.prefillsBefore = t.prefillState.prefills
}

// recordCached records that the prefill engine has the prompt cached. It must not be called before
// the prefill has ended, or other engines would fetch parts that are not there yet. The caller
// holds the placer's lock.
func (t *Ticket) recordCached() { t.recordCachedAt(t.prefillState) }

// recordCachedAt records that an engine has the prompt cached. The caller holds the placer's lock.
func (t *Ticket) recordCachedAt(st *instanceState) {
	st.recordPrefill(t.parts, t.unsharedTokens, len(t.p.instances))
	t.p.prefillLog.add(Prefill{st.id, t.parts, t.unsharedTokens}, t.p.now())
}

// recordWork adds a prefill to the work of the service. The caller holds the placer's lock.
func (t *Ticket) recordWork(prefill Work) {
	t.work.PrefillMs += t.model.tokensMs(prefill)
	t.work.Requests++
}

// assignTarget adds the job to the load of its target. long is true if the response counts as long. The
// caller holds the placer's lock.
func (t *Ticket) assignTarget(target *fleet.Instance, long bool) {
	t.targetState, t.targetPlacedAt = t.p.state(target), t.p.now()
	t.targetState.recordSend(t.targetPlacedAt)
	t.targetLoad = Load{Requests: 1}
	if long {
		t.targetLoad.LongResponses = 1
	}
	t.p.addLocalLoad(t.targetState, t.targetLoad)
	t.targetState.local.Starting++
	t.requestsAtStart, t.targetSlots = t.p.load(t.targetState).Requests, target.Slots
	t.starting = true
}

// addLocalLoad adds work of this process to the load of an instance. The caller holds the lock.
func (p *Placer) addLocalLoad(st *instanceState, work Load) {
	st.local = st.local.Add(work)
	p.busy[st.id] = st
}

// PrefillEnded records the end of a separate prefill. prefilled is true if it was successful.
func (t *Ticket) PrefillEnded(prefilled bool, o Outcome) {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	r := t.prefillState
	if r == nil {
		return
	}
	if prefilled {
		t.recordCached()
	}
	t.releasePrefill(prefilled)
	t.p.observeSuspensions(r, func() { r.recordAttempt(o, t.placedAt, t.p.now()) })
	if !prefilled {
		return
	}
	t.prefilledAt = t.p.now()
	took := t.prefilledAt.Sub(t.placedAt)
	if !t.late {
		r.observePrefill(toMillis(took), t.expectedMs)
	}
	// The duration of a prefill that waited for a prompt of another process doesn't show the engine's
	// speed.
	if !t.p.policy.Has(CleanSamples) || t.hadEngineAlone(r) {
		t.profilePrefill(r, toMillis(took))
		t.model.Observe(t.prefillLoad.Pending.All().Work, took)
	}
}

// hadEngineAlone reports whether no other prompt was pending at the prefill engine since the job
// was placed. The caller holds the lock.
func (t *Ticket) hadEngineAlone(r *instanceState) bool {
	others := t.p.load(r)
	return t.queueEmpty && r.prefills == t.prefillsBefore+1 && others.Pending.All().Prompts == 0
}

// FirstEvent records that the response begins.
func (t *Ticket) FirstEvent() {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	t.markStarted()
	t.wholePrefilled()
	t.firstEventAt = t.p.now()
	t.recordResponse(t.firstEventAt)
	if !t.prefilledAt.IsZero() {
		t.model.ObserveFirstEvent(t.p.now().Sub(t.prefilledAt))
		t.prefilledAt = time.Time{}
		if t.targetMemory > 0 && t.targetState != nil {
			t.targetState.cache.resize(t.targetMemory)
			t.recordCachedAt(t.targetState) // the engine keeps what was moved to it
		}
	}
}

// Event records that an event of the response has arrived. The time between two events measures the
// target's decode speed.
func (t *Ticket) Event() {
	now := t.p.now()
	last := t.lastEventAt
	t.lastEventAt = now
	t.events++
	if last.IsZero() {
		return
	}
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	if t.targetState != nil {
		t.recordResponse(now)
		t.targetState.observeGap(toMillis(now.Sub(last)))
		t.gaps++
		t.gapTotalMs += toMillis(now.Sub(last))
	}
}

// recordResponse records that the target has sent something. The caller holds the lock.
func (t *Ticket) recordResponse(now time.Time) {
	st := t.targetState
	switch {
	case st == nil:
	case st.silence.open():
		t.p.observeSuspensions(st, func() { st.silence.recordResponse(now) })
	default:
		st.silence.recordResponse(now)
	}
}

// RecordGaps records n gaps between events by their mean.
func (t *Ticket) RecordGaps(mean time.Duration, n int) {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	if t.targetState == nil {
		return
	}
	t.events, t.gaps, t.gapTotalMs = n+1, n, toMillis(mean)*float64(n)
	for range min(n, maxGapSamples) {
		t.targetState.observeGap(toMillis(mean))
	}
}

// releasePrefill removes the job from the load of its prefill engine. prefilled is true if its prompt
// was prefilled. The caller holds the lock.
func (t *Ticket) releasePrefill(prefilled bool) {
	t.prefillState.local = t.prefillState.local.Sub(t.prefillLoad)
	t.pending.remove(t.workspace, t.busyMs)
	t.hold.release(prefilled, t.p.now())
	t.hold = nil
	t.prefillState = nil
}

// markStarted stops counting the job as one whose response has not begun. The caller holds the lock.
func (t *Ticket) markStarted() {
	if t.starting && t.targetState != nil {
		t.targetState.local.Starting--
	}
	t.starting = false
}

// releaseTarget removes the job from the load of its target. The caller holds the lock.
func (t *Ticket) releaseTarget() {
	t.markStarted()
	t.releaseWhole()
	if !t.firstEventAt.IsZero() {
		t.work.DecodeMs += toMillis(t.p.now().Sub(t.firstEventAt))
		t.firstEventAt = time.Time{}
	}
	t.targetState.local = t.targetState.local.Sub(t.targetLoad)
	t.targetState = nil
}

// Outcome is the result of an attempt with regard to the instance.
type Outcome int

const (
	// Succeeded: the instance responded as it should, or its response was not read to its end for a reason of the client's.
	Succeeded Outcome = iota
	// Failed: the instance rejected the request, broke the connection or sent an invalid response.
	Failed
	// Unreachable: the connection failed, nothing was sent.
	Unreachable
	// Misdirected: the instance at the address states that the request was not meant for it.
	Misdirected
	// Unanswered: no response came before the client's timeout, or before the client left.
	Unanswered
	// Inconclusive: the attempt was ended for a reason that says nothing about the instance.
	Inconclusive
)

// String returns the outcome as it appears in logs.
func (o Outcome) String() string {
	names := [...]string{"succeeded", "failed", "unreachable", "misdirected", "unanswered", "inconclusive"}
	if o < 0 || int(o) >= len(names) {
		return strconv.Itoa(int(o))
	}
	return names[o]
}

// recordAttempt records the outcome of an attempt that began at startedAt.
func (s *instanceState) recordAttempt(o Outcome, startedAt, now time.Time) {
	switch o {
	case Unreachable:
		s.recordUnreachable(now)
	case Misdirected:
		s.silence.recordResponse(now)
		s.misdirection.record(true, startedAt, now)
	case Unanswered:
		s.silence.recordUnanswered(startedAt, now)
	case Inconclusive:
	default:
		s.silence.recordResponse(now)
		s.misdirection.record(false, startedAt, now)
		s.recordOutcome(o == Failed, startedAt, now)
	}
}

// RunEnded records how the request ended at its target.
func (t *Ticket) RunEnded(o Outcome) {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	if t.targetState == nil {
		return
	}
	t.p.observeSuspensions(t.targetState, func() { t.targetState.recordAttempt(o, t.targetPlacedAt, t.p.now()) })
	if o == Succeeded && t.events > 0 {
		t.p.lengths.Observe(t.route, t.workspace, t.events)
		t.profileDecode()
	}
	t.releaseTarget()
}

// Cancel releases the job's load without recording an outcome.
func (t *Ticket) Cancel() {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	if t.prefillState != nil {
		t.releasePrefill(false)
	}
	if t.targetState != nil {
		t.releaseTarget()
	}
}
