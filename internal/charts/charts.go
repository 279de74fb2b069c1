// Package charts holds the state charts of rockdoor. They are loaded and checked when the program
// starts.
package charts

import (
	"embed"

	"github.com/rockdoor/rockdoor/statechart"
)

//go:embed *.json
var files embed.FS

// The state charts.
var (
	Attempt = load("attempt.json")
	Request = load("request.json")
	Process = load("process.json")
	Order   = load("order.json")
)

// All lists the charts for the generated documentation.
var All = []*statechart.Chart{Attempt, Request, Process, Order}

func load(name string) *statechart.Chart {
	text, err := files.ReadFile(name)
	if err != nil {
		panic(err)
	}
	return statechart.MustLoad(text)
}

// States and events of the attempt chart.
const (
	AttemptConnecting statechart.State = "connecting"
	AttemptSent       statechart.State = "sent"
	AttemptAnswering  statechart.State = "answering"
	AttemptComplete   statechart.State = "complete"
	AttemptNotRun     statechart.State = "not_run"
	AttemptUnknown    statechart.State = "unknown"
	AttemptFailed     statechart.State = "failed"

	Connected statechart.Event = "connected"
	Unsent    statechart.Event = "unsent"
	Rejected  statechart.Event = "rejected"
	Answered  statechart.Event = "answered"
	Errored   statechart.Event = "errored"
	Finished  statechart.Event = "finished"
	Cut       statechart.Event = "cut"
)

// States and events of the request chart.
const (
	RequestReceived statechart.State = "received"
	RequestRouting  statechart.State = "routing"
	RequestComplete statechart.State = "complete"
	RequestNotRun   statechart.State = "not_run"
	RequestUnknown  statechart.State = "unknown"
	RequestFailed   statechart.State = "failed"
	// RequestDuplicate is the state of a request that got the response of another request with the
	// same idempotency key.
	RequestDuplicate statechart.State = "duplicate"

	Duplicate       statechart.Event = "duplicate"
	Admitted        statechart.Event = "admitted"
	Refused         statechart.Event = "refused"
	Chosen          statechart.Event = "chosen"
	NoTarget        statechart.Event = "no_target"
	AttemptNotBegun statechart.Event = "attempt_not_run"
	AttemptLost     statechart.Event = "attempt_lost"
	AttemptRepeat   statechart.Event = "attempt_repeat"
	AttemptDone     statechart.Event = "attempt_complete"
	AttemptError    statechart.Event = "attempt_failed"
)

// States and events of the process chart.
const (
	ProcessStarting statechart.State = "starting"
	ProcessServing  statechart.State = "serving"
	ProcessLeaving  statechart.State = "leaving"
	ProcessDraining statechart.State = "draining"
	ProcessStopped  statechart.State = "stopped"

	Joined      statechart.Event = "joined"
	StopAsked   statechart.Event = "stop_asked"
	GraceOver   statechart.Event = "grace_over"
	AllFinished statechart.Event = "all_finished"
)

// States and events of the order chart.
const (
	OrderDraining  statechart.State = "draining"
	OrderIntended  statechart.State = "intended"
	OrderChanging  statechart.State = "changing"
	OrderRestoring statechart.State = "restoring"
	OrderStuck     statechart.State = "stuck"
	OrderDone      statechart.State = "done"
	OrderFailed    statechart.State = "failed"

	Drained     statechart.Event = "drained"
	DrainFailed statechart.Event = "drain_failed"
	Taken       statechart.Event = "taken"
	NotTaken    statechart.Event = "refused"
	Lost        statechart.Event = "lost"
	Reached     statechart.Event = "reached"
	Unchanged   statechart.Event = "unchanged"
	HalfChanged statechart.Event = "half_changed"
	Restored    statechart.Event = "restored"
	NotRestored statechart.Event = "not_restored"
	Abandoned   statechart.Event = "abandoned"
)
