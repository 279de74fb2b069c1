package engined

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Timing is the speed of an engine. Each step of the engine prefills up to
// PrefillChunk tokens and generates one token for every decoding sequence. It
// lasts StepBase + StepPerSeq*decoding + prefilled/PrefillRate, divided by
// Speedup. The zero Timing answers at once.
type Timing struct {
	// PrefillRate is in tokens a second.
	PrefillRate float64 `json:"prefillRate"`
	// PrefillChunk is the most prompt tokens in one step.
	PrefillChunk int `json:"prefillChunk"`
	// StepBase is the time of a step with no work in it.
	StepBase time.Duration `json:"stepBase"`
	// StepPerSeq is added for each sequence that decodes in the step.
	StepPerSeq time.Duration `json:"stepPerSeq"`
	// MaxSeqs bounds the batch; further sequences wait.
	MaxSeqs int `json:"maxSeqs"`
	// RoleChange is how long the engine is unavailable while it changes role.
	RoleChange time.Duration `json:"roleChange"`
	// ReportLag is the age of the load that the engine reports.
	ReportLag time.Duration `json:"reportLag"`
	// ImportRate is how fast a KV cache is imported, in tokens a second.
	ImportRate float64 `json:"importRate"`
	// Speedup divides all times.
	Speedup float64 `json:"speedup"`
}

// DefaultTiming resembles a mid-size model on one accelerator group.
var DefaultTiming = Timing{
	PrefillRate:  20000,
	PrefillChunk: 2048,
	StepBase:     12 * time.Millisecond,
	StepPerSeq:   250 * time.Microsecond,
	MaxSeqs:      48,
	RoleChange:   4 * time.Second,
	ReportLag:    time.Second,
	ImportRate:   80000,
	Speedup:      1,
}

func (t Timing) scale(d time.Duration) time.Duration {
	if t.Speedup > 0 {
		return time.Duration(float64(d) / t.Speedup)
	}
	return d
}

// importTime is how long the import of a KV cache takes.
func (t Timing) importTime(tokens int) time.Duration {
	if t.ImportRate == 0 {
		return 0
	}
	return t.scale(time.Duration(float64(tokens) / t.ImportRate * float64(time.Second)))
}

func (t Timing) step(decoding, prefilled int) time.Duration {
	d := t.StepBase + time.Duration(decoding)*t.StepPerSeq
	if t.PrefillRate > 0 {
		d += time.Duration(float64(prefilled) / t.PrefillRate * float64(time.Second))
	}
	return t.scale(d)
}

// sequence is one request inside the engine.
type sequence struct {
	ctx      context.Context
	priority int
	prefill  int // prompt tokens still to be read
	decode   int // tokens still to be generated
	ready    chan struct{}
}

// scheduler batches sequences continuously, urgent ones first.
type scheduler struct {
	timing Timing
	mu     sync.Mutex
	work   sync.Cond
	seqs   []*sequence
	closed bool
}

func newScheduler(t Timing) *scheduler {
	s := &scheduler{timing: t}
	s.work.L = &s.mu
	return s
}

// add queues a sequence. One value arrives on its ready channel for each
// generated token.
func (s *scheduler) add(q *sequence) {
	q.ready = make(chan struct{}, q.decode)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seqs = append(s.seqs, q)
	slices.SortStableFunc(s.seqs, func(a, b *sequence) int { return b.priority - a.priority })
	s.work.Signal()
}

// load returns the number of running and waiting sequences and of tokens ahead.
func (s *scheduler) load() (running, waiting, prefill, decode int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	running = min(len(s.seqs), s.batchLimit())
	waiting = len(s.seqs) - running
	for _, q := range s.seqs {
		prefill += q.prefill
		decode += q.decode
	}
	return running, waiting, prefill, decode
}

func (s *scheduler) batchLimit() int {
	if s.timing.MaxSeqs > 0 {
		return s.timing.MaxSeqs
	}
	return len(s.seqs)
}

func (s *scheduler) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.work.Signal()
}

// run steps the engine until it is closed.
func (s *scheduler) run() {
	for {
		s.mu.Lock()
		s.dropCancelled()
		for len(s.seqs) == 0 && !s.closed {
			s.work.Wait()
		}
		if s.closed {
			s.mu.Unlock()
			return
		}
		d := s.plan()
		s.mu.Unlock()
		if d > 0 {
			time.Sleep(d)
		}
		s.finishStep()
	}
}

func (s *scheduler) dropCancelled() {
	s.seqs = slices.DeleteFunc(s.seqs, func(q *sequence) bool { return q.ctx.Err() != nil })
}

// plan takes the prefill of this step off the sequences and returns its time.
func (s *scheduler) plan() time.Duration {
	chunk := s.timing.PrefillChunk
	if chunk == 0 {
		chunk = 1 << 30
	}
	decoding, prefilled := 0, 0
	for _, q := range s.seqs[:min(len(s.seqs), s.batchLimit())] {
		if q.prefill > 0 {
			n := min(q.prefill, chunk-prefilled)
			q.prefill -= n
			prefilled += n
			continue
		}
		decoding++
	}
	return s.timing.step(decoding, prefilled)
}

// finishStep hands out one token to each sequence whose prompt has been read.
func (s *scheduler) finishStep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := min(len(s.seqs), s.batchLimit())
	for _, q := range s.seqs[:limit] {
		if q.prefill > 0 || q.decode == 0 {
			continue
		}
		q.decode--
		q.ready <- struct{}{}
	}
	s.seqs = slices.DeleteFunc(s.seqs, func(q *sequence) bool { return q.decode == 0 })
}
