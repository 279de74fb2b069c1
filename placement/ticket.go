package placement

import (
	"time"

	"github.com/rockdoor/rockdoor/fleet"
)

// Ticket is a placed job. It belongs to the goroutine of the request.
type Ticket struct {
	p         *Placer
	model     *Model
	shares    *shares
	workspace string
	// tokens is the size of the prompt, parts its shared parts, own its other tokens.
	tokens int
	parts  []Part
	own    int
	reader *state
	runner *state
	// reading is what the job adds to the reader's load.
	reading Load
	// busy is how long the prompt keeps the reader busy, in ms.
	busy float64
	// running is what it adds to the runner's.
	running Load
	// reserved is the ID of a runner that limits its rate and of which a request has been taken for
	// the time when the prompt has been read, empty for none.
	reserved string
	// late is true if the prompt is read when no others wait.
	late  bool
	begun time.Time
	// sentAt is when the job was placed at the runner.
	sentAt time.Time
	readAt time.Time
	// idle is true if nothing was ahead at the reader, readsBefore the number of its
	// reads before this one.
	idle        bool
	readsBefore uint64
	// expected is the estimate of the read in ms, without the engine's pace.
	expected float64
	starting bool
	// eventAt is when the last event arrived.
	eventAt time.Time
}

// read counts the job at its reader. The caller holds the placer's lock.
func (t *Ticket) read(plan *Plan) {
	t.reader = t.p.state(plan.PrefillEngine)
	t.reader.breaker.sent(t.begun)
	ahead := t.p.load(t.reader)
	work := PrefillWork(t.tokens, plan.Uncached)
	t.idle = ahead.Pending.All().Prompts == 0
	t.expected = t.model.Ahead(&ahead.Pending, plan.Rank) + t.model.Read(work)
	t.late = plan.Late
	t.reading = Load{Requests: 1}
	t.reading.Pending[plan.Rank] = Backlog{1, work}
	t.p.addWork(t.reader, t.reading)
	t.busy = t.model.Busy(Backlog{1, work})
	t.shares.add(t.workspace, t.busy)
	t.readsBefore = t.reader.reads
}

// keep records that the reader keeps the prompt. Were it taken for kept from its placement on,
// others would fetch it from there before it is read. The caller holds the lock.
func (t *Ticket) keep() {
	t.reader.read(t.parts, t.own)
	t.p.reads.add(Prefill{t.reader.id, t.parts, t.own}, t.p.now())
}

// run counts the job at its runner. The caller holds the placer's lock.
func (t *Ticket) run(runner *fleet.Instance, long bool) {
	t.runner, t.sentAt = t.p.state(runner), t.p.now()
	t.runner.breaker.sent(t.sentAt)
	t.running = Load{Requests: 1}
	if long {
		t.running.LongResponses = 1
	}
	t.p.addWork(t.runner, t.running)
	t.runner.own.Starting++
	t.starting = true
}

// addWork counts work in hand at an instance. The caller holds the lock.
func (p *Placer) addWork(st *state, work Load) {
	st.own = st.own.Add(work)
	p.busy[st.id] = st
}

// PrefillEnded records how reading apart ended; read is true if the prompt was read.
func (t *Ticket) PrefillEnded(read bool, o Outcome) {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	r := t.reader
	if r == nil {
		return
	}
	if read {
		t.keep()
	}
	t.leaveReader()
	r.judge(o, t.begun, t.p.now())
	if !read {
		return
	}
	t.readAt = t.p.now()
	took := t.readAt.Sub(t.begun)
	if !t.late {
		r.measure(toMillis(took), t.expected)
	}
	// A read that waited for another process's tells nothing of the engine.
	if !t.p.policy.Has(CleanSamples) || t.alone(r) {
		t.model.Observe(t.reading.Pending.All().Work, took)
	}
}

// alone reports whether the prompt had its reader to itself from its placement on. The
// caller holds the lock.
func (t *Ticket) alone(r *state) bool {
	others := t.p.load(r)
	return t.idle && r.reads == t.readsBefore+1 && others.Pending.All().Prompts == 0
}

// FirstEvent records that the answer begins.
func (t *Ticket) FirstEvent() {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	t.started()
	if !t.readAt.IsZero() {
		t.model.ObserveAfter(t.p.now().Sub(t.readAt))
		t.readAt = time.Time{}
	}
}

// Event records that an event of the answer has arrived. The time between two tells
// how fast the runner generates.
func (t *Ticket) Event() {
	now := t.p.now()
	last := t.eventAt
	t.eventAt = now
	if last.IsZero() {
		return
	}
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	if t.runner != nil {
		t.runner.observeGap(toMillis(now.Sub(last)))
	}
}

// Gaps records how long the times between events were in the mean, of which there were n.
func (t *Ticket) Gaps(mean time.Duration, n int) {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	if t.runner == nil {
		return
	}
	for range min(n, maxGaps) {
		t.runner.observeGap(toMillis(mean))
	}
}

// leaveReader takes the job off its reader. The caller holds the lock.
func (t *Ticket) leaveReader() {
	t.reader.own = t.reader.own.Sub(t.reading)
	t.shares.remove(t.workspace, t.busy)
	t.reader = nil
}

// started takes the job off those that have not begun. The caller holds the lock.
func (t *Ticket) started() {
	if t.starting && t.runner != nil {
		t.runner.own.Starting--
	}
	t.starting = false
}

// leaveRunner takes the job off its runner. The caller holds the lock.
func (t *Ticket) leaveRunner() {
	t.started()
	t.runner.own = t.runner.own.Sub(t.running)
	t.runner = nil
}

// Outcome says what an attempt tells of the instance where it was made.
type Outcome int

// Outcomes.
const (
	// Succeeded: the instance did what it should, or is not to blame.
	Succeeded Outcome = iota
	// Failed: the instance refused, broke off or answered wrongly.
	Failed
	// Unreachable: nothing could be sent.
	Unreachable
	// Replaced: another instance has its address.
	Replaced
)

// judge takes in the outcome of an attempt that began at begun.
func (s *state) judge(o Outcome, begun, now time.Time) {
	switch o {
	case Unreachable:
		s.unreachable(now)
	case Replaced:
		s.replaced = true
	default:
		s.outcome(o == Failed, begun, now)
	}
}

// RunEnded records how the request ended at the runner.
func (t *Ticket) RunEnded(o Outcome) {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	if t.runner == nil {
		return
	}
	t.runner.judge(o, t.sentAt, t.p.now())
	t.leaveRunner()
}

// Cancel takes the job back without a verdict on the instances.
func (t *Ticket) Cancel() {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	if t.reader != nil {
		t.leaveReader()
	}
	if t.runner != nil {
		t.leaveRunner()
	}
}
