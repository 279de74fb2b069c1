package placement

import (
	"time"

	"github.com/rockdoor/rockdoor/fleet"
)

// Ticket is a placed job. It belongs to the goroutine of the request.
type Ticket struct {
	p     *Placer
	model *Model
	// parts are the shared parts of the prompt, own its other tokens.
	parts  []Part
	own    int
	reader *state
	runner *state
	// reading is what the job adds to the reader's load.
	reading Load
	// running is what it adds to the runner's.
	running Load
	begun   time.Time
	readAt  time.Time
	// idle is true if nothing was ahead at the reader.
	idle bool
	// expected is the estimate of the read in ms, without the engine's pace.
	expected float64
	starting bool
	// eventAt is when the last event arrived.
	eventAt time.Time
}

// read counts the job at its reader. The caller holds the placer's lock.
func (t *Ticket) read(plan *Plan) {
	t.reader = t.p.state(plan.Reader)
	ahead := t.p.load(t.reader)
	t.idle = ahead.Prompts+ahead.LatePrompts == 0
	t.expected = t.model.Busy(ahead) + t.model.Read(plan.Uncached)
	t.reading = Load{Requests: 1, Prompts: 1, PromptTokens: plan.Uncached}
	if plan.Late {
		t.reading = Load{Requests: 1, LatePrompts: 1, LateTokens: plan.Uncached}
	}
	t.reader.own = t.reader.own.Add(t.reading)
	if !plan.Late {
		t.keep() // those that are placed next will find it read
	}
}

// keep records that the reader will keep the prompt. The caller holds the lock.
func (t *Ticket) keep() {
	t.reader.cache.read(t.parts, t.own)
	t.p.reads.add(Read{t.reader.id, t.parts, t.own})
}

// run counts the job at its runner. The caller holds the placer's lock.
func (t *Ticket) run(runner *fleet.Instance, long bool) {
	t.runner = t.p.state(runner)
	t.running = Load{Requests: 1}
	if long {
		t.running.Long = 1
	}
	t.runner.own = t.runner.own.Add(t.running)
	t.runner.own.Starting++
	t.starting = true
}

// Read records how reading apart ended; read is true if the prompt was read.
func (t *Ticket) Read(read bool, o Outcome) {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	r := t.reader
	if r == nil {
		return
	}
	if read && t.reading.LatePrompts > 0 {
		t.keep()
	}
	t.leaveReader()
	r.judge(o)
	if !read {
		return
	}
	t.readAt = time.Now()
	took := t.readAt.Sub(t.begun)
	if t.reading.LatePrompts == 0 {
		r.measure(toMillis(took), t.expected)
	}
	if t.idle {
		t.model.Observe(t.reading.PromptTokens+t.reading.LateTokens, took)
	}
}

// FirstEvent records that the answer begins.
func (t *Ticket) FirstEvent() {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	t.started()
	if !t.readAt.IsZero() {
		t.model.ObserveAfter(time.Since(t.readAt))
		t.readAt = time.Time{}
	}
}

// Event records that an event of the answer has arrived. The time between two tells
// how fast the runner generates.
func (t *Ticket) Event() {
	now := time.Now()
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

// leaveReader takes the job off its reader. The caller holds the lock.
func (t *Ticket) leaveReader() {
	t.reader.own = t.reader.own.sub(t.reading)
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
	t.runner.own = t.runner.own.sub(t.running)
	t.runner = nil
}

// Outcome says what an attempt tells of the instance where it was made.
type Outcome int

// Outcomes.
const (
	// Sound: the instance did what it should, or is not to blame.
	Sound Outcome = iota
	// Failed: the instance refused, broke off or answered wrongly.
	Failed
	// Unreachable: nothing could be sent.
	Unreachable
	// Replaced: another instance has its address.
	Replaced
)

func (s *state) judge(o Outcome) {
	switch o {
	case Unreachable:
		s.unreachable()
	case Replaced:
		s.replaced = true
	default:
		s.outcome(o == Failed)
	}
}

// Run records how the request ended at the runner.
func (t *Ticket) Run(o Outcome) {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	if t.runner == nil {
		return
	}
	t.runner.judge(o)
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
