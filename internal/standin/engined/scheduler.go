package engined

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Timing is the performance model of an engine. Each step prefills up to
// PrefillChunk tokens and generates one token for every decoding sequence. It
// lasts StepBase + StepPerSeq*decoding + prefilled/PrefillRate, divided by
// Speedup. With the zero Timing, all work takes no time.
type Timing struct {
	// PrefillRate is the speed of prefilling, in tokens per second. 0 means no delay.
	PrefillRate float64 `json:"prefillRate"`
	// PrefillChunk is the maximum number of prompt tokens in one step. 0 means no limit.
	PrefillChunk int `json:"prefillChunk"`
	// StepBase is the fixed part of the duration of a step.
	StepBase time.Duration `json:"stepBase"`
	// StepPerSeq is the additional duration of a step for each decoding sequence.
	StepPerSeq time.Duration `json:"stepPerSeq"`
	// MaxSeqs is the maximum number of sequences in the batch; further ones wait. 0 means no
	// limit.
	MaxSeqs int `json:"maxSeqs"`
	// RoleChange is the duration of a change of the role. The engine is unavailable meanwhile.
	RoleChange time.Duration `json:"roleChange"`
	// ReportLag is the age of the load in status reports.
	ReportLag time.Duration `json:"reportLag"`
	// ImportRate is the speed of importing a KV cache, in tokens per second. 0 means no delay.
	ImportRate float64 `json:"importRate"`
	// Speedup divides all durations. 0 means no speedup.
	Speedup float64 `json:"speedup"`
}

// DefaultTiming approximates a mid-size model on one accelerator group.
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

// importTime returns the duration of the import of a KV cache.
func (t Timing) importTime(tokens int) time.Duration {
	if t.ImportRate == 0 {
		return 0
	}
	return t.scale(time.Duration(float64(tokens) / t.ImportRate * float64(time.Second)))
}

// stepTime returns the duration of a step.
func (t Timing) stepTime(decoding, prefilled int) time.Duration {
	d := t.StepBase + time.Duration(decoding)*t.StepPerSeq
	if t.PrefillRate > 0 {
		d += time.Duration(float64(prefilled) / t.PrefillRate * float64(time.Second))
	}
	return t.scale(d)
}

// sequence is one request inside the engine.
type sequence struct {
	ctx              context.Context
	priority         int
	remainingPrefill int // prompt tokens still to be prefilled
	remainingDecode  int // tokens still to be generated
	// ready receives one value for each generated token.
	ready chan struct{}
}

// scheduler simulates continuous batching. Sequences with a higher priority run first.
type scheduler struct {
	timing Timing
	mu     sync.Mutex
	wake   sync.Cond
	seqs   []*sequence
	closed bool
}

func newScheduler(t Timing) *scheduler {
	s := &scheduler{timing: t}
	s.wake.L = &s.mu
	return s
}

// enqueue adds a sequence to the queue and creates its ready channel.
func (s *scheduler) enqueue(q *sequence) {
	q.ready = make(chan struct{}, q.remainingDecode)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seqs = append(s.seqs, q)
	slices.SortStableFunc(s.seqs, func(a, b *sequence) int { return b.priority - a.priority })
	s.wake.Signal()
}

// queuedLoad returns the number of running and waiting sequences, and the number of tokens
// that all of them still have to prefill and to decode.
func (s *scheduler) queuedLoad() (running, waiting, prefill, decode int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	running = min(len(s.seqs), s.batchLimit())
	waiting = len(s.seqs) - running
	for _, q := range s.seqs {
		prefill += q.remainingPrefill
		decode += q.remainingDecode
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
	s.wake.Signal()
}

// run executes steps until the scheduler is closed. It waits while there are no sequences.
func (s *scheduler) run() {
	for {
		s.mu.Lock()
		s.dropCancelled()
		for len(s.seqs) == 0 && !s.closed {
			s.wake.Wait()
		}
		if s.closed {
			s.mu.Unlock()
			return
		}
		d := s.planStep()
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

// planStep subtracts the tokens that the next step prefills from the sequences, and returns the
// duration of the step. The caller holds s.mu.
func (s *scheduler) planStep() time.Duration {
	chunk := s.timing.PrefillChunk
	if chunk == 0 {
		chunk = 1 << 30
	}
	decoding, prefilled := 0, 0
	for _, q := range s.seqs[:min(len(s.seqs), s.batchLimit())] {
		if q.remainingPrefill > 0 {
			n := min(q.remainingPrefill, chunk-prefilled)
			q.remainingPrefill -= n
			prefilled += n
			continue
		}
		decoding++
	}
	return s.timing.stepTime(decoding, prefilled)
}

// finishStep generates one token for each sequence of the batch whose prompt is fully prefilled.
func (s *scheduler) finishStep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := min(len(s.seqs), s.batchLimit())
	for _, q := range s.seqs[:limit] {
		if q.remainingPrefill > 0 || q.remainingDecode == 0 {
			continue
		}
		q.remainingDecode--
		q.ready <- struct{}{}
	}
	s.seqs = slices.DeleteFunc(s.seqs, func(q *sequence) bool { return q.remainingDecode == 0 })
}
