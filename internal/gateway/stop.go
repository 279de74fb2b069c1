package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/lifecycle"
)

// codeStopping is the outcome of a request for which too little time is left before the process ends.
const codeStopping = "stopping"

// stopRetry is the Retry-After of a process that is being stopped. It is short: other processes serve.
const stopRetry = 100 * time.Millisecond

// BeginStop has every later response close its client connection, so that clients reconnect to other processes, and rejects
// requests that cannot be expected to end before the given time.
func (s *Server) BeginStop(end time.Time) { s.drain.Begin(end) }

// EndRequests ends the requests in flight. Those whose response has not begun get 502 if they may have run, otherwise 503.
func (s *Server) EndRequests() { s.drain.End() }

// closeIfStopping has the response close its connection if the process is being stopped.
func (s *Server) closeIfStopping(w http.ResponseWriter) {
	if s.drain.Begun() {
		w.Header().Set("Connection", "close")
	}
}

// endReading has the body of a request no longer read once the requests in flight are ended.
func (s *Server) endReading(w http.ResponseWriter) (stop func() bool) {
	return context.AfterFunc(s.drain.Ending(), func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now()) })
}

// errNoTimeLeft returns an error if the process ends before another run of the request can be expected to. A response that
// has begun is continued as long as possible, because the client can no longer be rejected.
func (q *request) errNoTimeLeft() error {
	if q.responseStarted {
		return nil
	}
	prefilled := time.Duration(0)
	if q.kvSource != nil {
		prefilled = q.prefillTime
	}
	missing := q.s.drain.Missing(q.route.Name, q.route.LatencyTarget, prefilled, q.deadline)
	if missing == 0 {
		return nil
	}
	return fault.Newf(fault.Unavailable, "send the request to another process", "the process is being stopped: %s too little for a request of route %s", missing.Round(time.Millisecond), q.route.Name)
}

// stoppingReply returns the reply to a request that errNoTimeLeft rejects, nil if there is enough time.
func (q *request) stoppingReply() *reply {
	err := q.errNoTimeLeft()
	if err == nil {
		return nil
	}
	q.s.closeIfStopping(q.w)
	return replyFromState(codeStopping, err, stopRetry)
}

// endedByItself reports whether the duration of an attempt says how long runs take: it was answered, or ran into the deadline.
func (q *request) endedByItself(o lifecycle.Outcome) bool {
	return o == lifecycle.Delivered || o == lifecycle.Lost && !time.Now().Before(q.deadline)
}
