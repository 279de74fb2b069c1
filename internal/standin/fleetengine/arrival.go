package fleetengine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rockdoor/rockdoor/engine"
)

// Stages of engines. That of a backend server is empty.
const (
	// StagePrefill reads prompts.
	StagePrefill = "prefill"
	// StageDecode generates.
	StageDecode = "decode"
)

const (
	headerID = "X-Request-Id"
	// headerLeaving is set on the answers of an instance that leaves.
	headerLeaving = "Server-Leaving"
	// headerRateLimit is set on the answers of an instance that limits the rate of requests.
	headerRateLimit = "Server-Limit"
	// headerNotRun is set on answers to requests that an instance did not run.
	headerNotRun = "X-Not-Executed"
)

// Arrival is a call as it reaches an instance.
type Arrival struct {
	// ID is that of a caller's request, empty for other calls.
	ID                 string
	Method, Path, Body string
	// Meant is the instance that it is meant for, empty if it names none.
	Meant string
	// Left is how long its caller still waits, Timed false if it does not say so readably.
	Left  time.Duration
	Timed bool
	// Read is true if only the prompt is to be read.
	Read  bool
	Parts []engine.Part
}

// ReadArrival returns a call whose body has been read.
func ReadArrival(r *http.Request, body []byte) Arrival {
	left, err := time.ParseDuration(r.Header.Get("X-Deadline-Ms") + "ms")
	return Arrival{
		ID: r.Header.Get(headerID), Method: r.Method, Path: r.RequestURI, Body: string(body), Meant: r.Header.Get("X-Expect-Instance"),
		Left: left, Timed: err == nil, Read: r.Header.Get("X-Serving-Stage") == StagePrefill, Parts: readParts(r.Header),
	}
}

// readParts returns the parts of a prompt that can be read.
func readParts(h http.Header) []engine.Part {
	var out []engine.Part
	for _, field := range strings.Split(h.Get("X-Prompt-Prefix"), ",") {
		id, text, _ := strings.Cut(field, ":")
		if tokens, err := strconv.Atoi(text); err == nil {
			out = append(out, engine.Part{ID: id, Tokens: tokens})
		}
	}
	return out
}

// meant reports whether a call is meant for this instance.
func (e *Engine) meant(a Arrival) bool { return a.Meant == "" || a.Meant == e.ID }

// NotRun reports whether an answer says that the request was not run.
func NotRun(status int, h http.Header) bool {
	return status == http.StatusMisdirectedRequest || h.Get(headerNotRun) != ""
}

// NamesLimit reports whether the head of an answer names a rate limit.
func NamesLimit(h http.Header) bool { return h.Get(headerRateLimit) != "" }

// IsOrder reports whether a call is an order.
func IsOrder(r *http.Request) bool { return r.URL.Path == "/order" }

// ReadOrder decodes the body of an order.
func ReadOrder(body []byte) (Order, error) {
	var o Order
	err := json.Unmarshal(body, &o)
	return o, err
}
