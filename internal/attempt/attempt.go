// Package attempt sends one request to one engine or backend server and finds
// out what became of it, as the states of a chart. The way to the target, and
// whether a byte of the request left, is the business of package upstream.
package attempt

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/tmaxmax/go-sse"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/engine/openai"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/charts"
	"github.com/rockdoor/rockdoor/internal/notice"
	"github.com/rockdoor/rockdoor/internal/upstream"
	"github.com/rockdoor/rockdoor/statechart"
)

// MaxEventBytes bounds one event of a stream.
const MaxEventBytes = 1 << 20

// Request is what is sent.
type Request struct {
	// ID identifies the attempt; the target repeats it in its answer.
	ID      string
	Address string
	Method  string
	// URI is the path with the query.
	URI    string
	Header http.Header
	Body   []byte
}

// Sender sends attempts over kept-alive connections.
type Sender struct {
	client *upstream.Client
}

// NewSender returns a runner that counts in reg, with connections of its own.
func NewSender(reg metrics.Registry) *Sender { return &Sender{client: upstream.New(reg)} }

// Close drops idle connections.
func (r *Sender) Close() { r.client.Close() }

// RefusesConnections reports whether an address refuses connections.
func (r *Sender) RefusesConnections(ctx context.Context, address string) bool {
	return r.client.RefusesConnections(ctx, address)
}

// Attempt is one try. It is used by one goroutine.
type Attempt struct {
	chart  *statechart.Instance
	answer *upstream.Response
	err    error
}

// Start sends the request and waits for the head of the answer. The state of
// the returned attempt is answering or final.
func (r *Sender) Start(ctx context.Context, s Request) *Attempt {
	a := &Attempt{chart: charts.Attempt.Start()}
	s.Header.Set(openai.AttemptHeader, s.ID)
	answer, err := r.client.Do(ctx, upstream.Request{
		Address: s.Address, Method: s.Method, URI: s.URI, Host: s.Address, Header: s.Header, Body: s.Body,
		Matches: func(h http.Header) bool { return echoes(h, s.ID) },
	})
	if fault.Is(err, fault.Unavailable) {
		a.end(charts.Unsent, err)
		return a
	}
	a.fire(charts.Connected)
	if err != nil {
		a.end(charts.Cut, fault.Wrap(err, fault.Unknown, "connection broke before the answer", "ask for the outcome before sending the request again"))
		return a
	}
	a.answer = answer
	a.answered()
	return a
}

// echoes reports whether an answer is one to the attempt. Targets that repeat no
// id are believed.
func echoes(h http.Header, id string) bool {
	got := h.Get(openai.AttemptHeader)
	return got == "" || got == id
}

// answered looks at the head of the answer.
func (a *Attempt) answered() {
	if a.Status() == http.StatusServiceUnavailable && a.Header().Get(openai.NotRunHeader) != "" {
		a.end(charts.Rejected, fault.New(fault.Unavailable, "target takes no work", "another target is tried if one is permitted"))
		return
	}
	a.fire(charts.Answered)
}

// fire moves the chart; an event that the state ignores is harmless.
func (a *Attempt) fire(e statechart.Event) { _, _ = a.chart.Fire(e) }

// end moves the chart to a final state and closes the answer.
func (a *Attempt) end(e statechart.Event, err error) {
	a.fire(e)
	a.err = err
	a.Close()
}

// State returns the state of the attempt.
func (a *Attempt) State() statechart.State { return a.chart.State() }

// Err returns why the attempt ended, if not with a whole answer.
func (a *Attempt) Err() error { return a.err }

// Status returns the status code of the answer.
func (a *Attempt) Status() int { return a.answer.Status }

// Header returns the header of the answer.
func (a *Attempt) Header() http.Header { return a.answer.Header }

// RequestedBackoff returns for how long the target wants nothing more, 0 if it does not say.
func (a *Attempt) RequestedBackoff() time.Duration {
	if a.answer == nil {
		return 0
	}
	return notice.RequestedBackoff(a.Status(), a.Header())
}

// RateLimit returns what the target says of the rate of requests that it takes, false if it has not
// answered.
func (a *Attempt) RateLimit() (engine.RateLimit, bool) {
	if a.answer == nil {
		return engine.RateLimit{}, false
	}
	return engine.ReadRateLimit(a.Header().Get(openai.RateLimitHeader)), true
}

// Length returns the length of the answer's body in bytes, -1 if unknown.
func (a *Attempt) Length() int64 { return a.answer.Length }

// Close ends the attempt. If the answer is not whole, the connection is closed,
// which tells the target to stop.
func (a *Attempt) Close() {
	if a.answer != nil {
		a.answer.Close(a.State() == charts.AttemptComplete)
	}
}

// Fail ends the attempt because the target's answer says that it failed.
func (a *Attempt) Fail(err error) { a.end(charts.Errored, err) }

// Interrupt ends the attempt because its answer cannot be used or carried on.
func (a *Attempt) Interrupt(err error) { a.end(charts.Cut, err) }

// ReadAll reads the whole body, up to limit bytes. If check refuses it, the
// answer counts as cut.
func (a *Attempt) ReadAll(limit int64, check func(body []byte) error) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.answer.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = fault.Newf(fault.Exhausted, "ask for less", "answer is larger than %d bytes", limit)
	}
	if err != nil {
		a.Interrupt(fault.Wrap(err, fault.Unknown, "answer was cut", "ask for the outcome before sending the request again"))
		return nil, a.err
	}
	if err := check(body); err != nil {
		a.Interrupt(err)
		return nil, err
	}
	a.end(charts.Finished, nil)
	return body, nil
}

// Copy passes the whole body on as it arrives.
func (a *Attempt) Copy(w io.Writer) error {
	if _, err := io.Copy(w, a.answer.Body); err != nil {
		a.Interrupt(fault.Wrap(err, fault.Unknown, "answer was cut", "ask for the outcome before sending the request again"))
		return a.err
	}
	a.end(charts.Finished, nil)
	return nil
}

// Events passes on each event of a stream until the event that ends it. A
// stream that ends otherwise was cut. An error of f ends the attempt.
func (a *Attempt) Events(f func(data string) error) error {
	for ev, err := range sse.Read(a.answer.Body, &sse.ReadConfig{MaxEventSize: MaxEventBytes}) {
		if err != nil {
			a.Interrupt(fault.Wrap(err, fault.Unknown, "stream was cut", "it is resumed if the request is idempotent"))
			return a.err
		}
		if ev.Data == openai.Done {
			a.end(charts.Finished, nil)
			return nil
		}
		if err := f(ev.Data); err != nil {
			a.Interrupt(err)
			return err
		}
	}
	a.Interrupt(fault.New(fault.Unknown, "stream ended early", "it is resumed if the request is idempotent"))
	return a.err
}
