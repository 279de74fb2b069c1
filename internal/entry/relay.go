package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/rockdoor/rockdoor/engine/openai"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/attempt"
	"github.com/rockdoor/rockdoor/internal/charts"
	"github.com/rockdoor/rockdoor/routing"
)

const (
	// bufferedAnswer is the largest answer that is held back until it is whole.
	bufferedAnswer = 8 << 20
	// writeTimeout is how long a caller may take to read a part of an answer.
	writeTimeout = 30 * time.Second
	eventStream  = "text/event-stream"
)

// relay passes the answer of an attempt on to the caller.
func (r *run) relay(a *attempt.Attempt, work *routing.Work) {
	switch {
	case r.c.completion == nil:
		r.relayPlain(a)
	case a.Status() >= http.StatusInternalServerError:
		a.Fail(fault.Newf(fault.Unavailable, "see the log of the engine", "engine %s answered %d", r.target.Name, a.Status()))
	case r.c.stream() && strings.HasPrefix(a.Header().Get("Content-Type"), eventStream):
		r.relayStream(a, work)
	default:
		r.relayWhole(a)
	}
}

// relayPlain passes on the answer of a plain service. An answer of moderate
// size is held back until it is whole, so that a cut one can be asked for again.
func (r *run) relayPlain(a *attempt.Attempt) {
	if n := a.Length(); n < 0 || n > bufferedAnswer {
		r.begin(a)
		_ = a.Copy(&deadlineWriter{w: r.w})
		return
	}
	r.relayWhole(a)
}

// relayWhole passes on an answer once all of it has arrived.
func (r *run) relayWhole(a *attempt.Attempt) {
	body, err := a.ReadAll(bufferedAnswer, func(body []byte) error { return r.check(a, body) })
	if err != nil {
		return
	}
	r.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	r.w.Header().Set(HeaderOutcome, string(charts.RequestComplete))
	r.begin(a)
	_, _ = (&deadlineWriter{w: r.w}).Write(body)
}

// check refuses an engine's answer that is no answer.
func (r *run) check(a *attempt.Attempt, body []byte) error {
	if r.c.completion == nil || a.Status() != http.StatusOK || json.Valid(body) {
		return nil
	}
	return fault.Newf(fault.Unknown, "check the engine", "engine %s answered with something that is no completion", r.target.Name)
}

// begin writes the head of the answer.
func (r *run) begin(a *attempt.Attempt) {
	r.begun = true
	h := r.w.Header()
	for name, values := range forwarded(a.Header()) {
		if name != "Content-Length" || h.Get(name) == "" {
			h[name] = values
		}
	}
	if n := a.Length(); n >= 0 && h.Get("Content-Length") == "" {
		h.Set("Content-Length", strconv.FormatInt(n, 10))
	}
	r.identify(h)
	r.w.WriteHeader(a.Status())
}

// identify adds the headers that every answer carries.
func (r *run) identify(h http.Header) {
	h.Set(HeaderRequest, r.c.id)
	h.Set(HeaderRevision, strconv.FormatInt(r.c.snapshot.Revision, 10))
}

// relayStream passes on each event of a stream.
func (r *run) relayStream(a *attempt.Attempt, work *routing.Work) {
	err := a.Events(func(data string) error {
		work.Token()
		if err := r.event(data); err != nil {
			return fault.Wrap(err, fault.Unknown, "caller is gone", "none")
		}
		r.delivered++
		return nil
	})
	if err == nil {
		r.s.lengths.learn(r.c.workspace.Name, r.c.class, r.delivered)
		_ = r.event(openai.Done)
		r.w.Header().Set(HeaderOutcome, string(charts.RequestComplete))
	}
}

// event writes one event to the caller, with the head of the answer before the
// first one.
func (r *run) event(data string) error {
	if !r.begun {
		r.begun = true
		h := r.w.Header()
		h.Set("Content-Type", eventStream)
		h.Set("Cache-Control", "no-cache")
		h.Set("Trailer", HeaderOutcome)
		r.identify(h)
		r.w.WriteHeader(http.StatusOK)
	}
	m := &sse.Message{}
	m.AppendData(data)
	if _, err := m.WriteTo(&deadlineWriter{w: r.w}); err != nil {
		return err
	}
	return http.NewResponseController(r.w).Flush()
}

// deliver gives the caller a reply of rockdoor's own. If a part of the answer
// has been passed on, a stream ends with an error event and any other answer is
// broken off, so that the caller sees that it is not whole.
func (r *run) deliver(rep *reply) {
	if !r.begun {
		r.identify(r.w.Header())
		rep.write(r.w, r.c.id)
		return
	}
	if !r.c.stream() {
		panic(http.ErrAbortHandler)
	}
	_ = r.event(string(rep.body()))
	r.w.Header().Set(HeaderOutcome, string(rep.outcome))
}

// deadlineWriter gives the caller a fresh time limit for each write.
type deadlineWriter struct{ w http.ResponseWriter }

func (d *deadlineWriter) Write(p []byte) (int, error) {
	err := http.NewResponseController(d.w).SetWriteDeadline(time.Now().Add(writeTimeout))
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return 0, err
	}
	return d.w.Write(p)
}
