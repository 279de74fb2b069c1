// Package lifecycle takes a request from its admission to its one final state. It
// makes attempts while that is safe, and moves the state chart of requests with each,
// so that what is said of a request afterwards follows from what was done. How an
// attempt is made, and when another one is worth it, is the business of the services
// that use it.
package lifecycle

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/internal/charts"
	"github.com/rockdoor/rockdoor/statechart"
)

// Outcome is what became of one attempt.
type Outcome int

// Outcomes of attempts.
const (
	// Delivered: the caller has got the whole answer.
	Delivered Outcome = iota
	// NotRun: the target certainly did not run the request.
	NotRun
	// Lost: the target may have run the request, and its answer is not whole.
	Lost
	// Failed: the target ran the request and answered that it failed.
	Failed
)

// Steps are made for one request by the service that took it. R is what it answers
// itself when no target does.
type Steps[R any] interface {
	// RefreshConfig puts the next attempt under the newest configuration. A reply ends the
	// request.
	RefreshConfig() *R
	// ChooseTarget finds where the next attempt is made. A reply ends the request.
	ChooseTarget() *R
	// Attempt makes the attempt that was chosen.
	Attempt() (Outcome, error)
	// CanRetryAfterRun reports whether an attempt that may have run may be followed by
	// another one now.
	CanRetryAfterRun() bool
	// PrepareRetry prepares another attempt after one that ended with an error. A reply ends
	// the request.
	PrepareRetry(err error) *R
	// FinalReply returns the reply that is owed after the last attempt, nil if there is none.
	FinalReply(o Outcome, err error) *R
}

// Request is one request in the chart of requests. It belongs to one goroutine.
type Request struct {
	chart  *statechart.Instance
	id     string
	logger log.Logger
}

// New returns the life of a request that has been received.
func New(id string, logger log.Logger) *Request {
	return &Request{chart: charts.Request.Start(), id: id, logger: logger}
}

// Fire moves the chart. The chart refuses nothing that its users fire; a refusal would
// be a defect and is logged.
func (l *Request) Fire(e statechart.Event) {
	if _, err := l.chart.Fire(e); err != nil {
		level.Error(l.logger).Log("msg", "state chart", "request", l.id, "err", err)
	}
}

// State returns the state of the request.
func (l *Request) State() statechart.State { return l.chart.State() }

// MayHaveRun reports whether some target may have begun the request.
func (l *Request) MayHaveRun() bool {
	switch l.State() {
	case charts.RequestReceived, charts.RequestRouting, charts.RequestNotRun, charts.RequestDuplicate:
		return false
	}
	return true
}

// Serve makes attempts until an admitted request has a final state, and returns the
// reply that is owed to the caller, nil if the answer was passed on. The state says
// what the reply may claim.
func Serve[R any](l *Request, s Steps[R]) *R {
	for {
		if rep := next(s); rep != nil {
			l.Fire(charts.NoTarget)
			return rep
		}
		l.Fire(charts.Chosen)
		outcome, err := s.Attempt()
		event, again := follows(outcome, s.CanRetryAfterRun)
		l.Fire(event)
		if !again {
			return s.FinalReply(outcome, err)
		}
		if rep := s.PrepareRetry(err); rep != nil {
			l.Fire(charts.NoTarget)
			return rep
		}
	}
}

func next[R any](s Steps[R]) *R {
	if rep := s.RefreshConfig(); rep != nil {
		return rep
	}
	return s.ChooseTarget()
}

// follows returns the event that an attempt is for its request, and whether another
// attempt may follow.
func follows(o Outcome, repeatable func() bool) (statechart.Event, bool) {
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
