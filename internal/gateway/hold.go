package gateway

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/lifecycle"
	"github.com/rockdoor/rockdoor/internal/upstream"
)

// Bodies are read in pieces that grow from leastPiece to holdPiece bytes.
const (
	leastPiece = 2 << 10
	holdPiece  = 32 << 10
)

// errHoldFull ends a read that would exceed what may be held.
var errHoldFull = fault.New(fault.Exhausted, "bodies in hand take as much memory as they may", "ask again after the time in Retry-After")

// holdings counts the bytes of requests and answers that are held until the other side has read them, for all
// requests together: a thousand callers that read slowly cost a bounded amount of memory. It is safe for
// concurrent use.
type holdings struct {
	// most is the bound in bytes, 0 for none.
	most, held atomic.Int64
}

func (h *holdings) take(n int64) bool {
	for {
		held, most := h.held.Load(), h.most.Load()
		if most > 0 && held+n > most {
			return false
		}
		if h.held.CompareAndSwap(held, held+n) {
			return true
		}
	}
}

// SetBufferLimit bounds the bytes of requests and answers that are held, 0 for no bound.
func (s *Server) SetBufferLimit(bytes int64) { s.holdings.most.Store(bytes) }

// hold reads up to limit bytes and counts them for the request. The error is io.EOF if that was all there is,
// and errHoldFull, with what was read, if no more may be held.
func (q *request) hold(from io.Reader, limit int) ([]byte, error) {
	var out []byte
	for len(out) < limit {
		n := min(max(len(out), leastPiece), holdPiece, limit-len(out))
		if !q.s.holdings.take(int64(n)) {
			return out, errHoldFull
		}
		q.held += int64(n)
		out = slices.Grow(out, n)
		for end := len(out) + n; len(out) < end; {
			read, err := from.Read(out[len(out):end])
			out = out[:len(out)+read]
			if err != nil {
				return out, err // a body that was cut does not end with io.EOF
			}
		}
	}
	return out, errHoldFull
}

// BufferedBytes returns how many bytes of requests and answers are counted as held.
func (s *Server) BufferedBytes() int64 { return s.holdings.held.Load() }

// release gives back what is counted for the request.
func (q *request) release() {
	q.s.holdings.held.Add(-q.held)
	q.held = 0
}

// passOn passes on an answer of which a part has been read as the caller reads it: it cannot be asked for
// again, and the instance waits for a slow caller.
func (q *request) passOn(a *upstream.Response, begun []byte) (lifecycle.Outcome, error) {
	q.begun = true
	q.head(a)
	if a.Length >= 0 {
		q.w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	q.w.WriteHeader(a.Status)
	q.s.count("answers_passed_on")
	if _, err := q.w.Write(begun); err != nil {
		a.Close(false)
		return q.left(err)
	}
	to := &callerWriter{w: q.w}
	_, err := io.CopyBuffer(to, struct{ io.Reader }{a.Body}, make([]byte, holdPiece))
	a.Close(err == nil)
	switch {
	case to.err != nil:
		return q.left(to.err)
	case err != nil:
		return lifecycle.Lost, fault.Wrap(err, fault.Unknown, "answer was cut", "the caller sees that it is not whole")
	}
	return lifecycle.Delivered, nil
}

// callerWriter remembers that a caller could not be written to.
type callerWriter struct {
	w   http.ResponseWriter
	err error
}

func (c *callerWriter) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	c.err = err
	return n, err
}
