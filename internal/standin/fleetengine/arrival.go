package fleetengine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rockdoor/rockdoor/engine"
)

// Stages of engines. The stage of a backend server is empty.
const (
	// StagePrefill is the stage of prefill engines.
	StagePrefill = "prefill"
	// StageDecode is the stage of decode engines.
	StageDecode = "decode"
)

const (
	headerRequestID = "X-Request-Id"
	// headerShuttingDown marks the responses of an instance that is shutting down.
	headerShuttingDown = "Server-Leaving"
	// headerRateLimit states the rate limit of an instance in its responses.
	headerRateLimit = "Server-Limit"
	// headerAttempt is a header of the stand-ins, which passes through like any other.
	headerAttempt = "Client-Attempt"
	// headerNotRun marks responses to requests that the instance did not run.
	headerNotRun = "X-Not-Executed"
)

// Arrival is a call as an instance receives it.
type Arrival struct {
	// ID is the ID of a client's request, empty for other calls.
	ID string
	// Attempt tells the attempts of a client under one ID apart, empty for the first one.
	Attempt            string
	Method, Path, Body string
	// TargetInstance is the ID of the instance that the call is intended for, empty if the call
	// states none.
	TargetInstance string
	// Remaining is the time until the client timeout. HasDeadline is false, and Remaining is 0, if
	// the call states no valid deadline.
	Remaining   time.Duration
	HasDeadline bool
	// PrefillOnly is true for a call that asks only for the prefill of the prompt.
	PrefillOnly bool
	Parts       []engine.Part
}

// ParseArrival parses the path and the headers of a call. The parameter body is the body of r, which
// the caller has already read.
func ParseArrival(r *http.Request, body []byte) Arrival {
	remaining, err := time.ParseDuration(r.Header.Get("X-Deadline-Ms") + "ms")
	return Arrival{
		ID: r.Header.Get(headerRequestID), Attempt: r.Header.Get(headerAttempt), Method: r.Method, Path: r.RequestURI, Body: string(body), TargetInstance: r.Header.Get("X-Expect-Instance"),
		Remaining: remaining, HasDeadline: err == nil, PrefillOnly: r.Header.Get("X-Serving-Stage") == StagePrefill, Parts: parseParts(r.Header),
	}
}

// parseParts returns the parts of the prompt that the headers list. It skips invalid ones.
func parseParts(h http.Header) []engine.Part {
	var out []engine.Part
	for _, field := range strings.Split(h.Get("X-Prompt-Prefix"), ",") {
		id, text, _ := strings.Cut(field, ":")
		if tokens, err := strconv.Atoi(text); err == nil {
			out = append(out, engine.Part{ID: id, Tokens: tokens})
		}
	}
	return out
}

// isTarget reports whether a call is intended for this instance. A call that states no instance is
// intended for every instance.
func (e *Engine) isTarget(a Arrival) bool {
	return a.TargetInstance == "" || a.TargetInstance == e.ID
}

// NotRun reports whether a response states that the request was not run.
func NotRun(status int, h http.Header) bool {
	return status == http.StatusMisdirectedRequest || h.Get(headerNotRun) != ""
}

// StatesRateLimit reports whether the headers of a response state a rate limit.
func StatesRateLimit(h http.Header) bool { return h.Get(headerRateLimit) != "" }

// IsOrder reports whether a call is an order to change the stage.
func IsOrder(r *http.Request) bool { return r.URL.Path == "/order" }

// ParseOrder decodes the body of an order.
func ParseOrder(body []byte) (Order, error) {
	var o Order
	err := json.Unmarshal(body, &o)
	return o, err
}
