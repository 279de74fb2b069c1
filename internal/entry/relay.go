package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"
	"github.com/tmaxmax/go-sse"

	"github.com/rockdoor/rockdoor/engine/openai"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/attempt"
	"github.com/rockdoor/rockdoor/internal/charts"
	"github.com/rockdoor/rockdoor/internal/eventstream"
	"github.com/rockdoor/rockdoor/routing"
)

const (
	// maxBufferedResponse is the size of the largest response that is buffered until
	// it is complete.
	maxBufferedResponse = 8 << 20
	// writeTimeout limits one write to the client.
	writeTimeout = 30 * time.Second
)

// relay forwards the response of an attempt to the client.
func (r *run) relay(a *attempt.Attempt, work *routing.Work) {
	switch {
	case r.c.completion == nil:
		r.relayServiceResponse(a)
	case a.Status() >= http.StatusInternalServerError:
		a.Fail(fault.Newf(fault.Unavailable, "see the log of the engine", "engine %s answered %d", r.target.Name, a.Status()))
	case a.Status() >= http.StatusMultipleChoices && !r.responseStarted:
		r.relayBuffered(a)
	default:
		r.relayCompletion(a, work)
	}
}

// relayCompletion forwards a response if it is what the client asked for. Once a stream has begun, a failure is not.
func (r *run) relayCompletion(a *attempt.Attempt, work *routing.Work) {
	err := r.checkCompletionHead(a)
	switch {
	case err != nil:
		a.Interrupt(r.unexpectedResponse(a, err))
	case r.c.stream():
		r.relayStream(a, work)
	default:
		r.relayBuffered(a)
	}
}

// Reasons why a successful response is not the completion that was asked for.
var (
	errStatus    = errors.New("its status is not 200")
	errMediaType = errors.New("its media type is not that of an event stream")
	errNoEvent   = errors.New("it has no event")
	errNoChoices = errors.New("it is not a JSON object with choices")
)

// checkCompletionHead returns an error if a response cannot be the completion, or the stream, that was asked for.
func (r *run) checkCompletionHead(a *attempt.Attempt) error {
	types := a.Header().Values("Content-Type")
	switch {
	case a.Status() != http.StatusOK:
		return errStatus
	case r.c.stream() && (len(types) > 1 || len(types) == 1 && !eventstream.HasMediaType(types[0])):
		return errMediaType
	}
	return nil
}

// unexpectedResponse logs and counts a response that is not what was asked for. It returns the error that ends the attempt.
func (r *run) unexpectedResponse(a *attempt.Attempt, reason error) error {
	r.s.count("unexpected_responses", r.c)
	level.Warn(r.s.o.Logger).Log("msg", "unexpected response", "request", r.c.id, "target", r.target.Name, "reason", reason,
		"status", a.Status(), "type", fmt.Sprintf("%.64q", strings.Join(a.Header().Values("Content-Type"), ", ")), "length", a.Length())
	return fault.Wrap(reason, fault.Unknown, "engine "+r.target.Name+" sent a response that is not what was asked for", "check the engine")
}

// relayServiceResponse forwards the response of a plain service. A response of at
// most maxBufferedResponse is buffered until it is complete, so that the request can
// be retried if the response is truncated.
func (r *run) relayServiceResponse(a *attempt.Attempt) {
	if n := a.Length(); n < 0 || n > maxBufferedResponse {
		r.startResponse(a)
		_ = a.Copy(&deadlineWriter{w: r.w})
		return
	}
	r.relayBuffered(a)
}

// relayBuffered forwards a response once it has been received completely.
func (r *run) relayBuffered(a *attempt.Attempt) {
	body, err := a.ReadAll(maxBufferedResponse, func(body []byte) error { return r.validateCompletion(a, body) })
	if err != nil {
		return
	}
	r.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	r.w.Header().Set(HeaderOutcome, string(charts.RequestComplete))
	r.startResponse(a)
	_, _ = (&deadlineWriter{w: r.w}).Write(body)
}

// validateCompletion returns an error if an engine's successful response is not a completion.
func (r *run) validateCompletion(a *attempt.Attempt, body []byte) error {
	if r.c.completion == nil || a.Status() != http.StatusOK {
		return nil
	}
	var w struct {
		Choices []json.RawMessage `json:"choices"`
	}
	if json.Unmarshal(body, &w) != nil || w.Choices == nil {
		return r.unexpectedResponse(a, errNoChoices)
	}
	return nil
}

// startResponse sends the response header.
func (r *run) startResponse(a *attempt.Attempt) {
	r.responseStarted = true
	h := r.w.Header()
	for name, values := range endToEndHeaders(a.Header()) {
		if name != "Content-Length" || h.Get(name) == "" {
			h[name] = values
		}
	}
	if n := a.Length(); n >= 0 && h.Get("Content-Length") == "" {
		h.Set("Content-Length", strconv.FormatInt(n, 10))
	}
	r.setResponseHeaders(h)
	r.w.WriteHeader(a.Status())
}

// setResponseHeaders sets the headers that every response carries.
func (r *run) setResponseHeaders(h http.Header) {
	h.Set(HeaderRequest, r.c.id)
	h.Set(HeaderRevision, strconv.FormatInt(r.c.snapshot.Revision, 10))
}

// relayStream forwards a stream, event by event.
func (r *run) relayStream(a *attempt.Attempt, work *routing.Work) {
	err := a.Events(func(data string) error {
		if !isObject(data) {
			level.Warn(r.s.o.Logger).Log("msg", "malformed event", "request", r.c.id, "target", r.target.Name, "events", r.delivered, "bytes", len(data), "begins", fmt.Sprintf("%.64q", data))
			return fault.Newf(fault.Unknown, "check the engine", "engine %s sent an event that is not a JSON object", r.target.Name)
		}
		work.Token()
		if err := r.writeEvent(data); err != nil {
			return fault.Wrap(err, fault.Unknown, "client disconnected", "none")
		}
		r.delivered++
		return nil
	}, func() error {
		if r.delivered == 0 {
			return r.unexpectedResponse(a, errNoEvent)
		}
		return nil
	})
	if err == nil {
		r.s.lengths.record(r.c.workspace.Name, r.c.class, r.delivered)
		_ = r.writeEvent(openai.Done)
		r.w.Header().Set(HeaderOutcome, string(charts.RequestComplete))
	}
}

// isObject reports whether the data of an event are a JSON object, as all but the last event of a stream have.
func isObject(data string) bool {
	return strings.HasPrefix(strings.TrimLeft(data, " \t\n"), "{") && json.Valid([]byte(data))
}

// writeEvent sends one event to the client. The first event is preceded by the
// response header.
func (r *run) writeEvent(data string) error {
	if !r.responseStarted {
		r.responseStarted = true
		h := r.w.Header()
		h.Set("Content-Type", eventstream.MediaType)
		h.Set("Cache-Control", "no-cache")
		h.Set("Trailer", HeaderOutcome)
		r.setResponseHeaders(h)
		r.w.WriteHeader(http.StatusOK)
	}
	m := &sse.Message{}
	m.AppendData(data)
	if _, err := m.WriteTo(&deadlineWriter{w: r.w}); err != nil {
		return err
	}
	return http.NewResponseController(r.w).Flush()
}

// sendReply sends a reply that rockdoor generated. If a part of a target's response
// has been forwarded already, a stream ends with an error event, and any other
// response is aborted, so that the client can tell that it is incomplete.
func (r *run) sendReply(rep *reply) {
	if !r.responseStarted {
		r.setResponseHeaders(r.w.Header())
		rep.write(r.w, r.c.id)
		return
	}
	if !r.c.stream() {
		panic(http.ErrAbortHandler)
	}
	_ = r.writeEvent(string(rep.body()))
	r.w.Header().Set(HeaderOutcome, string(rep.outcome))
}

// deadlineWriter sets a new write deadline before each write.
type deadlineWriter struct{ w http.ResponseWriter }

func (d *deadlineWriter) Write(p []byte) (int, error) {
	err := http.NewResponseController(d.w).SetWriteDeadline(time.Now().Add(writeTimeout))
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return 0, err
	}
	return d.w.Write(p)
}
