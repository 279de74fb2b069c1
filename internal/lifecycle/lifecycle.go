// Package lifecycle drives a request from its admission to its final state. It makes
// attempts as long as that is safe and fires events in the request's state chart for
// each one, so that the reported outcome always follows from the attempts made. The server that
// uses the package decides how an attempt is made and whether a retry is worthwhile.
package lifecycle

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/internal/charts"
	"github.com/rockdoor/rockdoor/statechart"
)

// Outcome is the result of one attempt.
type Outcome int

// Outcomes of attempts.
const (
	// Delivered means that the client received the complete response.
	Delivered Outcome = iota
	// NotRun means that the target certainly did not run the request.
	NotRun
	// Lost means that the target may have run the request, but no complete response arrived.
	Lost
	// Failed means that the target ran the request and responded that it failed.
	Failed
)

// Steps is implemented for each request by the server that handles it. R is the type of the
// reply that the server generates itself if the request gets no complete response.
type Steps[R any] interface {
	// RefreshConfig applies the newest configuration to the next attempt. A non-nil reply ends the
	// request.
	RefreshConfig() *R
	// ChooseTarget selects the target of the next attempt. A non-nil reply ends the request.
	ChooseTarget() *R
	// Attempt makes the attempt at the selected target.
	Attempt() (Outcome, error)
	// CanRetryAfterRun reports whether the request may be retried although the last attempt may have
	// run.
	CanRetryAfterRun() bool
	// PrepareRetry prepares a retry after an attempt that ended with err. A non-nil reply ends the
	// request.
	PrepareRetry(err error) *R
	// FinalReply returns the reply to send after the last attempt, nil if the response was delivered.
	FinalReply(o Outcome, err error) *R
}

// Request holds one request's state in the state chart of requests. It is used by one goroutine.
type Request struct {
	chart  *statechart.Instance
	id     string
	logger log.Logger
}

// New returns the lifecycle of a request in the state received.
func New(id string, logger log.Logger) *Request {
	return &Request{chart: charts.Request.Start(), id: id, logger: logger}
}

// Fire applies an event to the state chart. The chart accepts every event that its users fire,
// so an error would be a bug; it is logged.
func (l *Request) Fire(e statechart.Event) {
	if _, err := l.chart.Fire(e); err != nil {
		level.Error(l.logger).Log("msg", "state chart", "request", l.id, "err", err)
	}
}

// State returns the state of the request.
func (l *Request) State() statechart.State { return l.chart.State() }

// MayHaveRun reports whether any target may have started to run the request.
func (l *Request) MayHaveRun() bool {
	switch l.State() {
	case charts.RequestReceived, charts.RequestRouting, charts.RequestNotRun, charts.RequestDuplicate:
		return false
	}
	return true
}

// Serve makes attempts until an admitted request reaches a final state. It returns the reply to
// send to the client, nil if the response was delivered. The final state determines whether the
// reply may claim that the request has not run.
func Serve[R any](l *Request, s Steps[R]) *R {
	for {
		if rep := prepareAttempt(s); rep != nil {
			l.Fire(charts.NoTarget)
			return rep
		}
		l.Fire(charts.Chosen)
		outcome, err := s.Attempt()
		event, retry := attemptEvent(outcome, s.CanRetryAfterRun)
		l.Fire(event)
		if !retry {
			return s.FinalReply(outcome, err)
		}
		if rep := s.PrepareRetry(err); rep != nil {
			l.Fire(charts.NoTarget)
			return rep
		}
	}
}

func prepareAttempt[R any](s Steps[R]) *R {
	if rep := s.RefreshConfig(); rep != nil {
		return rep
	}
	return s.ChooseTarget()
}

// attemptEvent returns the event to fire after an attempt with the outcome o, and whether
// another attempt may follow.
func attemptEvent(o Outcome, repeatable func() bool) (statechart.Event, bool) {
	switch o {
	case Delivered:
		return charts.AttemptDone, false
	case Failed:
		return charts.AttemptError, false
	case NotRun:
		return charts.AttemptNotBegun, true
	}
	if repeatable() {
		return charts.AttemptRepeat, true
	}
	return charts.AttemptLost, false
}
