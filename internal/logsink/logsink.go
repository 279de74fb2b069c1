// Package logsink writes log lines without ever blocking the goroutine that logs. Lines wait in a bounded
// queue. When the queue is full, or the rate limit of the current second is used up, lines are dropped and
// counted. Lines of level debug, which successful requests log, are dropped before others.
package logsink

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity is the number of lines that wait for a slow reader, queueBytes the number of their bytes: the lines of a
	// few seconds at the usual rate.
	queueCapacity = 4096
	queueBytes    = 1 << 20
	// maxLineBytes is the length at which lines are cut. The fields that identify a request come first.
	maxLineBytes = 4 << 10
	// reservedShare is the share of the queue and of the rate limit that debug lines may not use.
	reservedShare = 0.25
	// DefaultRate is the default rate limit in lines per second: about ten lines for each request that a
	// small host accepts at its peak.
	DefaultRate = 2000
)

// debugLevel marks the lines that are dropped first.
var debugLevel = []byte("level=debug")

// Sink is an io.Writer that expects one log line in each call. It is safe for concurrent use.
type Sink struct {
	out            io.Writer
	lines          chan []byte
	rate           int64
	currentSecond  atomic.Int64
	usedThisSecond atomic.Int64
	dropped        atomic.Int64
	// queued is the number of bytes in the queue, cut the number of lines that were cut.
	queued, cut atomic.Int64
	done        chan struct{}
	// mu prevents Close from closing the channel lines while a line is being enqueued.
	mu     sync.RWMutex
	closed bool
}

// New returns a sink that writes at most rate lines per second to out.
func New(out io.Writer, rate int) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queueCapacity), rate: int64(rate), done: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	limit, capacity, room := s.rate, cap(s.lines), int64(queueBytes)
	if bytes.Contains(line[:min(len(line), maxLineBytes)], debugLevel) {
		limit -= int64(float64(limit) * reservedShare)
		capacity -= int(float64(capacity) * reservedShare)
		room -= int64(float64(room) * reservedShare)
	}
	now := time.Now().Unix()
	if old := s.currentSecond.Load(); old != now && s.currentSecond.CompareAndSwap(old, now) {
		s.usedThisSecond.Store(0)
	}
	if s.usedThisSecond.Add(1) > limit || len(s.lines) >= capacity || s.queued.Load() >= room {
		s.dropped.Add(1)
		return len(line), nil
	}
	if !s.enqueue(s.shorten(line)) {
		s.dropped.Add(1)
	}
	return len(line), nil
}

// shorten returns a copy of a line that is cut at maxLineBytes and then says so.
func (s *Sink) shorten(line []byte) []byte {
	if len(line) <= maxLineBytes {
		return bytes.Clone(line)
	}
	s.cut.Add(1)
	return fmt.Appendf(bytes.Clone(line[:maxLineBytes]), "... cut_bytes=%d\n", len(line)-maxLineBytes)
}

// enqueue adds a line to the queue. It reports false if the queue is full or the sink has been closed:
// goroutines of a process that is about to exit may still log.
func (s *Sink) enqueue(line []byte) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed {
		return false
	}
	s.queued.Add(int64(len(line)))
	select {
	case s.lines <- line:
		return true
	default:
		s.queued.Add(-int64(len(line)))
		return false
	}
}

// Dropped returns the number of lines that have been dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Cut returns the number of lines that were too long.
func (s *Sink) Cut() int64 { return s.cut.Load() }

// Close writes the lines in the queue, but waits no longer than timeout. Lines that are written later are
// dropped.
func (s *Sink) Close(timeout time.Duration) {
	s.mu.Lock()
	s.closed = true
	close(s.lines)
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(timeout):
	}
}

// run writes the lines in the queue as fast as the reader accepts them. Before the next line it reports the
// number of lines that were dropped.
func (s *Sink) run() {
	defer close(s.done)
	reported := int64(0)
	for line := range s.lines {
		if n := s.dropped.Load(); n != reported {
			fmt.Fprintf(s.out, "level=warn msg=\"log lines dropped\" lines=%d total=%d\n", n-reported, n)
			reported = n
		}
		if _, err := s.out.Write(line); err != nil {
			s.dropped.Add(1) // the output is broken, so the error cannot be logged
		}
		s.queued.Add(-int64(len(line)))
	}
}
