package gateway

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"

	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/lifecycle"
	"github.com/rockdoor/rockdoor/internal/upstream"
)

// Bodies are read in chunks that grow from minReadBytes to maxReadBytes.
const (
	minReadBytes = 2 << 10
	maxReadBytes = 32 << 10
)

// errMemoryFull is returned by readBuffered if the memory limit or the limit on the body is reached.
var errMemoryFull = fault.New(fault.Exhausted, "memory limit for buffered bodies is reached", "ask again after the time in Retry-After")

// memoryBudget limits the total size of the request and response bodies that are buffered until the
// receiver has read them, so that a thousand slow clients cost a bounded amount of memory. It is
// safe for concurrent use.
type memoryBudget struct {
	// limit and used are in bytes; a limit of 0 means none.
	limit, used atomic.Int64
}

func (m *memoryBudget) reserve(n int64) bool {
	for {
		used, limit := m.used.Load(), m.limit.Load()
		if limit > 0 && used+n > limit {
			return false
		}
		if m.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// SetBufferLimit bounds the bytes of request and response bodies that are buffered. 0 means no limit.
func (s *Server) SetBufferLimit(bytes int64) {
	s.o.Metrics.GetOrRegister("gateway.buffered_bytes", metrics.NewFunctionalGauge(s.BufferedBytes))
	s.buffers.limit.Store(bytes)
}

// readBuffered reads up to limit bytes into memory that it reserves for the request. The error is
// io.EOF if the body was read to its end. It is errMemoryFull, with the bytes read so far, if
// limit bytes were read or no more memory can be reserved.
func (q *request) readBuffered(from io.Reader, limit int) ([]byte, error) {
	var out []byte
	for len(out) < limit {
		n := min(max(len(out), minReadBytes), maxReadBytes, limit-len(out))
		if !q.s.buffers.reserve(int64(n)) {
			return out, errMemoryFull
		}
		q.bufferedBytes += int64(n)
		out = slices.Grow(out, n)
		for end := len(out) + n; len(out) < end; {
			read, err := from.Read(out[len(out):end])
			out = out[:len(out)+read]
			if err != nil {
				return out, err // a truncated body ends with an error other than io.EOF
			}
		}
	}
	return out, errMemoryFull
}

// BufferedBytes returns how many bytes are reserved for buffered request and response bodies.
func (s *Server) BufferedBytes() int64 { return s.buffers.used.Load() }

// releaseBuffers returns the memory that the request has reserved.
func (q *request) releaseBuffers() {
	q.s.buffers.used.Add(-q.bufferedBytes)
	q.bufferedBytes = 0
}

// relayUnbuffered relays a response that is too large to buffer at the speed at which the client
// reads it; start is the part that has been read already. From here on the request cannot be
// retried, and a slow client slows down the instance.
func (q *request) relayUnbuffered(resp *upstream.Response, start []byte) (lifecycle.Outcome, error) {
	q.responseStarted, q.relayedAs = true, relayedUnbuffered
	q.copyHeaders(resp)
	if resp.Length >= 0 {
		q.w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	q.w.WriteHeader(resp.Status)
	q.s.countUnbuffered(q, resp, len(start))
	if _, err := q.w.Write(start); err != nil {
		resp.Close(false)
		return q.clientWriteFailed(err)
	}
	to := &clientWriter{w: q.w}
	_, err := io.CopyBuffer(to, struct{ io.Reader }{resp.Body}, make([]byte, maxReadBytes))
	resp.Close(err == nil)
	switch {
	case to.err != nil:
		return q.clientWriteFailed(to.err)
	case err != nil:
		return lifecycle.Lost, fault.Wrap(err, fault.Unknown, "answer was cut", "the client sees that it is incomplete")
	}
	return lifecycle.Delivered, nil
}

// countUnbuffered logs and counts a response that is not buffered whole, with the reason.
func (s *Server) countUnbuffered(q *request, resp *upstream.Response, read int) {
	reason := "memory"
	if read >= maxBufferedResponse {
		reason = "size"
	}
	s.count("answers_passed_on")
	s.count("answers_passed_on." + reason)
	level.Debug(s.o.Logger).Log("msg", "response not buffered", "request", q.call.ID, "service", q.service, "instance", q.plan.Target.ID, "reason", reason, "read", read, "length", resp.Length, "reserved", s.BufferedBytes())
}

// clientWriter records a failed write to the client, to tell it from a failed read of the response.
type clientWriter struct {
	w   http.ResponseWriter
	err error
}

func (c *clientWriter) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	c.err = err
	return n, err
}
