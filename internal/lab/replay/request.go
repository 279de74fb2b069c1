package replay

import (
	"cmp"
	"time"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/placement"
)

// request is a request in flight.
type request struct {
	kind    Kind
	placer  *placement.Placer
	domain  string
	arrived time.Time
	// deadline is when the client disconnects if no response has begun.
	deadline time.Time
	prefix   string
	job      *placement.Job
	plan     placement.Plan
	ticket   *placement.Ticket
	// worth is the worth of a response in time.
	worth    float64
	attempts int
	// latency is the time to the first event and lastEvent the time of the newest one. longestGap is the
	// longest time between two events.
	latency, longestGap time.Duration
	lastEvent           time.Time
}

const (
	// maxAttempts is the number of times that a request is sent if engines reject it.
	maxAttempts = 2
	// freeHoldShare is the share of the target latency for which an unserved request may be held
	// without penalty. From fullHoldShare of the client timeout on, the penalty is the full worth
	// of the request. In between it grows linearly.
	freeHoldShare = 0.125
	fullHoldShare = 0.75
	// fixedWorthShare is the share of a request's worth that does not depend on its size.
	fixedWorthShare = 0.3
	// maxSizeFactor limits the worth of a large request to this multiple of the mean.
	maxSizeFactor = 4.0
)

// place has a request placed and sends it, or rejects it.
func (r *replay) place(q *request) {
	q.attempts++
	timeout := cmp.Or(q.kind.StatedTimeout, q.kind.ClientTimeout)
	if !r.o.UseStatedTimeout {
		timeout = q.kind.ClientTimeout
	}
	q.job.Elapsed = r.now.Sub(q.arrived)
	q.job.Remaining = timeout - q.job.Elapsed
	if q.kind.ResponseTimeout > 0 {
		q.job.ResponseTime = q.kind.ResponseTimeout - q.job.Elapsed
	}
	q.plan, q.ticket = q.placer.Place(q.job)
	switch {
	case q.ticket == nil:
		r.rejected(q)
	case q.plan.PrefillEngine == nil:
		r.send(q, q.plan.Target)
	default:
		r.send(q, q.plan.PrefillEngine)
	}
}

// send has a request arrive at the engine that prefills its prompt.
func (r *replay) send(q *request, i *fleet.Instance) {
	e := r.engines[i.ID]
	r.schedule(r.networkDelay(q.domain, i.Domain), func() {
		if _, rejects := e.faultAt(r.elapsed()); rejects {
			r.attemptFailed(q, i)
			return
		}
		e.pendingPrefills = append(e.pendingPrefills, q)
		r.prefillNext(e)
	})
}

// attemptFailed ends an attempt that an instance rejected, and retries elsewhere.
func (r *replay) attemptFailed(q *request, i *fleet.Instance) {
	if q.plan.PrefillEngine != nil {
		q.ticket.PrefillEnded(false, placement.Failed)
	}
	q.ticket.RunEnded(placement.Failed)
	q.ticket.Cancel()
	if q.attempts == maxAttempts {
		return // it was sent to engines, so that only its worth is lost
	}
	q.job.Avoid[i.ID] = true
	r.place(q)
}

// prefillNext has an idle engine prefill the most urgent prompt whose client still waits. A prefill
// that has begun is always completed.
func (r *replay) prefillNext(e *simEngine) {
	if e.prefilling {
		return
	}
	q := e.nextPrefill(r.now, r.clientDisconnected)
	if q == nil {
		return
	}
	e.prefilling = true
	duration := r.prefillDuration(e, q)
	if r.elapsed() < r.o.Length {
		r.countWorkspace(q, WorkspaceOutcome{PrefillMs: float64(duration) / float64(time.Millisecond)})
	}
	r.schedule(duration, func() {
		e.prefilling = false
		e.cache.add(q.prefix, q.kind.PrefixTokens, q.job.Call.PromptTokens-q.kind.PrefixTokens)
		r.prefillEnded(q)
		r.prefillNext(e)
	})
}

// prefillDuration returns the time that an engine takes to prefill a prompt.
func (r *replay) prefillDuration(e *simEngine, q *request) time.Duration {
	slowdown, _ := e.faultAt(r.elapsed())
	slowdown *= e.phaseSlowdown(r.elapsed())
	uncached := q.job.Call.PromptTokens
	moved := time.Duration(0)
	from := q.plan.FetchFrom
	switch {
	case e.cache.contains(q.prefix):
		uncached -= q.kind.PrefixTokens
	case from != nil && r.engines[from.ID].cache.contains(q.prefix):
		uncached -= q.kind.PrefixTokens
		moved = e.profile.transferTime(q.kind.PrefixTokens, from, e.Instance)
		r.result.MovedTokens += q.kind.PrefixTokens
	}
	if e.Role != engine.RolePrefill {
		slowdown *= mixedPrefillFactor
	}
	prefill := e.profile.prefillTime(placement.PrefillWork(q.job.Call.PromptTokens, uncached))
	e.prefilled += prefill.Seconds()
	return moved + time.Duration(slowdown*float64(prefill))
}

// mixedPrefillFactor is how much longer a prefill takes on a mixed engine, where the chunks of a
// prompt alternate with decode steps.
const mixedPrefillFactor = 2.0

// prefillEnded continues a request whose prompt was prefilled: it is decoded on the same engine or
// its KV cache is transferred to the target.
func (r *replay) prefillEnded(q *request) {
	if q.plan.PrefillEngine == nil {
		r.enqueueDecode(q)
		return
	}
	q.ticket.PrefillEnded(true, placement.Succeeded)
	if !q.placer.PlaceDecode(q.job, &q.plan, q.ticket) {
		q.ticket.Cancel()
		r.rejected(q)
		return
	}
	move := r.o.EngineProfile.transferTime(q.job.Call.PromptTokens, q.plan.PrefillEngine, q.plan.Target)
	r.result.MovedTokens += q.job.Call.PromptTokens
	r.schedule(move, func() {
		r.engines[q.plan.Target.ID].cache.add(q.prefix, q.kind.PrefixTokens, q.job.Call.PromptTokens-q.kind.PrefixTokens)
		r.enqueueDecode(q)
	})
}

// enqueueDecode has a request arrive at its target, where it is decoded or waits for a slot.
func (r *replay) enqueueDecode(q *request) {
	e := r.engines[q.plan.Target.ID]
	if _, rejects := e.faultAt(r.elapsed()); rejects {
		r.attemptFailed(q, q.plan.Target)
		return
	}
	e.queuedDecodes = append(e.queuedDecodes, q)
	r.decodeNext(e)
}

// decodeNext fills the free slots of an engine.
func (r *replay) decodeNext(e *simEngine) {
	for len(e.queuedDecodes) > 0 && e.decoding < e.profile.Slots {
		q := e.queuedDecodes[0]
		e.queuedDecodes = e.queuedDecodes[1:]
		if r.now.After(q.deadline) {
			r.clientDisconnected(q)
			continue
		}
		r.startDecode(e, q)
	}
}

// startDecode starts a response.
func (r *replay) startDecode(e *simEngine, q *request) {
	e.decoding++
	e.decoded += float64(q.kind.Events)
	slowdown, _ := e.faultAt(r.elapsed())
	gap := time.Duration(slowdown * float64(e.profile.EventInterval))
	first := func() {
		q.ticket.FirstEvent()
		q.latency = r.now.Add(r.networkDelay(e.Domain, q.domain)).Sub(q.arrived)
		q.lastEvent = r.now
		if q.kind.Events > 1 {
			q.longestGap = gap
		}
		r.emitEvents(e, q, q.kind.Events, gap)
	}
	if e.profile.EventTokens == 0 {
		first()
		return
	}
	r.schedule(gap+e.interleavedTime(), first)
}

// emitEvents emits the remaining events of a response, and ends it. gap is the time between two events
// while the engine prefills nothing and is in no slow phase.
func (r *replay) emitEvents(e *simEngine, q *request, remaining int, gap time.Duration) {
	q.ticket.Event()
	q.longestGap = max(q.longestGap, r.now.Sub(q.lastEvent))
	q.lastEvent = r.now
	if remaining > 1 {
		wait := time.Duration(e.phaseSlowdown(r.elapsed())*float64(gap)) + e.interleavedTime()
		r.schedule(wait, func() { r.emitEvents(e, q, remaining-1, gap) })
		return
	}
	e.decoding--
	if !r.timedOut(q, e) {
		r.recordResponse(q)
	}
	q.ticket.RunEnded(placement.Succeeded)
	r.decodeNext(e)
}

// recordResponse counts a request whose response has ended.
func (r *replay) recordResponse(q *request) {
	r.result.FirstEvents = append(r.result.FirstEvents, q.latency)
	o := Outcome{Answered: 1}
	earned := q.kind.LateWorth / cmp.Or(q.kind.Worth, 1) * q.worth
	steady := q.kind.TargetGap == 0 || q.longestGap <= q.kind.TargetGap
	if q.latency <= q.kind.TargetLatency && steady {
		o.InTime, earned = 1, q.worth
	}
	r.result.EarnedWorth += earned
	r.count(q, o)
	r.countWorkspace(q, WorkspaceOutcome{EarnedWorth: earned})
}

// timedOut reports whether the client of a response that ends now has disconnected.
func (r *replay) timedOut(q *request, e *simEngine) bool {
	took := r.now.Add(r.networkDelay(e.Domain, q.domain)).Sub(q.arrived)
	limit := q.kind.ResponseTimeout
	return limit > 0 && took > limit
}

// clientDisconnected ends a request whose client has disconnected.
func (r *replay) clientDisconnected(q *request) {
	q.ticket.Cancel()
	r.chargeHolding(q)
}

// rejected ends a request that was not run.
func (r *replay) rejected(q *request) {
	r.result.Penalties += r.o.RejectionCost * q.worth
	r.chargeHolding(q)
}

// chargeHolding adds the penalty for holding a request that was not served.
func (r *replay) chargeHolding(q *request) {
	free := freeHoldShare * float64(q.kind.TargetLatency)
	full := fullHoldShare * float64(q.kind.ClientTimeout)
	share := (float64(r.now.Sub(q.arrived)) - free) / (full - free)
	r.result.Penalties += min(max(share, 0), 1) * q.worth
}

func (r *replay) count(q *request, o Outcome) {
	r.result.Outcomes[q.kind.Name] = r.result.Outcomes[q.kind.Name].Add(o)
	r.countWorkspace(q, WorkspaceOutcome{Outcome: o})
}

// countWorkspace adds to the outcome of the request's workspace.
func (r *replay) countWorkspace(q *request, o WorkspaceOutcome) {
	sum := r.result.Workspaces[q.job.Workspace]
	sum.Outcome = sum.Add(o.Outcome)
	sum.MaxWorth += o.MaxWorth
	sum.EarnedWorth += o.EarnedWorth
	sum.PrefillMs += o.PrefillMs
	r.result.Workspaces[q.job.Workspace] = sum
}

// networkDelay returns the network delay between two failure domains.
func (r *replay) networkDelay(from, to string) time.Duration {
	if from == to {
		return 0
	}
	return r.o.CrossDomainDelay
}
