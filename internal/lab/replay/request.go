package replay

import (
	"cmp"
	"time"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/placement"
)

// request is one on its way.
type request struct {
	kind    Kind
	placer  *placement.Placer
	domain  string
	arrived time.Time
	// until is when its caller leaves if no answer has begun.
	until   time.Time
	subject string
	job     *placement.Job
	plan    placement.Plan
	ticket  *placement.Ticket
	// worth is that of an answer in time.
	worth float64
	tries int
}

const (
	// maxTries is how often a request is sent whose instance refuses it.
	maxTries = 2
	// freeHold is the part of the latency target for which an unserved request may be held
	// at no price, fullHold that of its caller's patience from which it costs all of its
	// worth. Between them the price grows evenly.
	freeHold = 0.125
	fullHold = 0.75
	// fixedWorth is the part of a request's worth that does not grow with its size.
	fixedWorth = 0.3
	// mostSizes bounds by how many times the mean a large request is worth more.
	mostSizes = 4.0
)

// place has a request placed and sent.
func (r *replay) place(q *request) {
	q.tries++
	left := cmp.Or(q.kind.Deadline, q.kind.Patience)
	if !r.o.IgnorePatience {
		left = q.kind.Patience
	}
	q.job.Elapsed = r.now.Sub(q.arrived)
	q.job.Remaining = left - q.job.Elapsed
	q.plan, q.ticket = q.placer.Place(q.job)
	switch {
	case q.ticket == nil:
		r.refused(q)
	case q.plan.PrefillEngine == nil:
		r.send(q, q.plan.Target)
	default:
		r.send(q, q.plan.PrefillEngine)
	}
}

// send has a request arrive where its prompt is to be read.
func (r *replay) send(q *request, i *fleet.Instance) {
	e := r.engines[i.ID]
	r.after(r.way(q.domain, i.Domain), func() {
		if _, refuses := e.fault(r.since()); refuses {
			r.failed(q, i)
			return
		}
		e.waiting = append(e.waiting, q)
		r.readNext(e)
	})
}

// failed ends a try that an instance refused; another one follows elsewhere.
func (r *replay) failed(q *request, i *fleet.Instance) {
	if q.plan.PrefillEngine != nil {
		q.ticket.PrefillEnded(false, placement.Failed)
	}
	q.ticket.RunEnded(placement.Failed)
	q.ticket.Cancel()
	if q.tries == maxTries {
		return // it was offered to engines, which costs nothing but its worth
	}
	q.job.Avoid[i.ID] = true
	r.place(q)
}

// readNext has an idle engine read the most urgent prompt that is still wanted. It finishes
// what it has begun.
func (r *replay) readNext(e *simEngine) {
	if e.busy {
		return
	}
	q := e.take(r.now, r.gone)
	if q == nil {
		return
	}
	e.busy = true
	r.after(r.reading(e, q), func() {
		e.busy = false
		e.memory.read(q.subject, q.kind.Shared, q.job.Call.PromptTokens-q.kind.Shared)
		r.hasRead(q)
		r.readNext(e)
	})
}

// reading returns how long an engine takes to read a prompt.
func (r *replay) reading(e *simEngine, q *request) time.Duration {
	slow, _ := e.fault(r.since())
	uncached := q.job.Call.PromptTokens
	moved := time.Duration(0)
	from := q.plan.FetchFrom
	switch {
	case e.memory.keeps(q.subject):
		uncached -= q.kind.Shared
	case from != nil && r.engines[from.ID].memory.keeps(q.subject):
		uncached -= q.kind.Shared
		moved = e.engines.moveTime(q.kind.Shared, from, e.Instance)
	}
	if e.Role != engine.RolePrefill {
		slow *= sharedReading
	}
	took := e.engines.readTime(placement.PrefillWork(q.job.Call.PromptTokens, uncached))
	return moved + time.Duration(slow*float64(took))
}

// sharedReading is how much longer an engine that generates takes to read: the pieces of a
// prompt take turns with the steps of what it generates.
const sharedReading = 2.0

// hasRead has a request run whose prompt was read.
func (r *replay) hasRead(q *request) {
	if q.plan.PrefillEngine == nil {
		r.arrive(q)
		return
	}
	q.ticket.PrefillEnded(true, placement.Succeeded)
	if !q.placer.PlaceDecode(q.job, &q.plan, q.ticket) {
		q.ticket.Cancel()
		r.refused(q)
		return
	}
	move := r.o.Engines.moveTime(q.job.Call.PromptTokens, q.plan.PrefillEngine, q.plan.Target)
	r.after(move, func() { r.arrive(q) })
}

// arrive has a request begin to run, or wait for a slot.
func (r *replay) arrive(q *request) {
	e := r.engines[q.plan.Target.ID]
	if _, refuses := e.fault(r.since()); refuses {
		r.failed(q, q.plan.Target)
		return
	}
	e.queued = append(e.queued, q)
	r.runNext(e)
}

// runNext fills the free slots of an engine.
func (r *replay) runNext(e *simEngine) {
	for len(e.queued) > 0 && e.running < e.engines.Slots {
		q := e.queued[0]
		e.queued = e.queued[1:]
		if r.now.After(q.until) {
			r.gone(q)
			continue
		}
		r.run(e, q)
	}
}

// run begins an answer.
func (r *replay) run(e *simEngine, q *request) {
	e.running++
	q.ticket.FirstEvent()
	slow, _ := e.fault(r.since())
	gap := time.Duration(slow * float64(e.engines.Event))
	r.begun(q, e, gap)
	r.events(e, q, q.kind.Events, gap)
}

// events has the events of an answer that are left follow each other, and ends it.
func (r *replay) events(e *simEngine, q *request, left int, gap time.Duration) {
	q.ticket.Event()
	if left > 1 {
		r.after(gap, func() { r.events(e, q, left-1, gap) })
		return
	}
	e.running--
	q.ticket.RunEnded(placement.Succeeded)
	r.runNext(e)
}

// begun counts a request whose answer begins now at an engine, with a time between events.
func (r *replay) begun(q *request, e *simEngine, gap time.Duration) {
	took := r.now.Add(r.way(e.Domain, q.domain)).Sub(q.arrived)
	o := Outcome{Answered: 1}
	earned := q.kind.LateWorth / cmp.Or(q.kind.Worth, 1) * q.worth
	steady := q.kind.Gap == 0 || gap <= q.kind.Gap
	if took <= q.kind.Target && steady {
		o.InTime, earned = 1, q.worth
	}
	r.result.Earned += earned
	r.count(q, o)
}

// gone ends a request whose caller has left.
func (r *replay) gone(q *request) {
	q.ticket.Cancel()
	r.held(q)
}

// refused ends a request that was not run.
func (r *replay) refused(q *request) {
	r.result.Prices += r.o.RefusalCost * q.worth
	r.held(q)
}

// held counts the price of a request that was held and not served.
func (r *replay) held(q *request) {
	free := freeHold * float64(q.kind.Target)
	full := fullHold * float64(q.kind.Patience)
	share := (float64(r.now.Sub(q.arrived)) - free) / (full - free)
	r.result.Prices += min(max(share, 0), 1) * q.worth
}

func (r *replay) count(q *request, o Outcome) {
	r.result.Outcomes[q.kind.Name] = r.result.Outcomes[q.kind.Name].Add(o)
}

// way returns how long bytes take between failure domains.
func (r *replay) way(from, to string) time.Duration {
	if from == to {
		return 0
	}
	return r.o.Cross
}
