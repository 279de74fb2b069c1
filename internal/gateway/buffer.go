package gateway

import (
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
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
	// copyBytes is the buffer of a response that is relayed unbuffered. It is small because any number of responses may be.
	copyBytes = 8 << 10
)

// errMemoryFull is returned by readBuffered if the limit on the body or the share of the memory is reached.
var errMemoryFull = fault.New(fault.Exhausted, "memory limit for buffered bodies is reached", "ask again after the time in Retry-After")

// SetBufferLimit bounds the bytes of request and response bodies that are buffered. 0 means no limit.
func (s *Server) SetBufferLimit(bytes int64) {
	s.o.Metrics.GetOrRegister("gateway.buffered_bytes", metrics.NewFunctionalGauge(s.BufferedBytes))
	s.o.Metrics.GetOrRegister("gateway.buffer_limit", metrics.NewFunctionalGauge(s.buffers.currentLimit))
	s.buffers.setLimit(bytes)
}

// readBuffered reads up to limit bytes of the target's response into memory that it reserves for it. The error is
// io.EOF if the body was read to its end. It is errMemoryFull, with the bytes read so far, if
// limit bytes were read or no more memory can be reserved.
func (q *request) readBuffered(from io.Reader, limit int) ([]byte, error) {
	body, err := q.readReserved(from, limit, source{class: responseBodies, owner: q.service, part: q.plan.Target.ID})
	if !errors.Is(err, io.EOF) && !errors.Is(err, errMemoryFull) {
		q.release(responseBodies) // a truncated body is of no use
	}
	return body, err
}

// readRequestBody is like readBuffered for the body of the request.
func (q *request) readRequestBody(from io.Reader, limit int) ([]byte, error) {
	return q.readReserved(from, limit, source{class: requestBodies, owner: q.route.Name, part: q.workspaceName()})
}

func (q *request) readReserved(from io.Reader, limit int, by source) ([]byte, error) {
	var out []byte
	for len(out) < limit {
		n := min(max(len(out), minReadBytes), maxReadBytes, limit-len(out))
		if !q.s.buffers.reserve(q, by, int64(n)) {
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
func (s *Server) BufferedBytes() int64 { return s.buffers.reserved() }

// releaseBuffers returns the memory that the request has reserved.
func (q *request) releaseBuffers() {
	q.release(requestBodies)
	q.release(responseBodies)
}

func (q *request) release(class bodyClass) {
	if q.bufferedBytes > 0 {
		q.bufferedBytes -= q.s.buffers.release(q, class)
	}
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
	q.countUnbuffered(resp, len(start))
	if _, err := q.w.Write(start); err != nil {
		resp.Close(false)
		return q.clientWriteFailed(err)
	}
	q.release(responseBodies)
	to := &clientWriter{w: q.w}
	_, err := io.CopyBuffer(to, struct{ io.Reader }{resp.Body}, make([]byte, copyBytes))
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
func (q *request) countUnbuffered(resp *upstream.Response, read int) {
	reason := "memory"
	if read >= maxBufferedResponse {
		reason = "size"
	}
	q.s.count("answers_passed_on")
	q.s.count("answers_passed_on." + reason)
	level.Debug(q.s.o.Logger).Log("msg", "response not buffered", "request", q.call.ID, "service", q.service, "instance", q.plan.Target.ID, "reason", reason, "read", read, "length", resp.Length, "reserved", q.s.BufferedBytes())
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
