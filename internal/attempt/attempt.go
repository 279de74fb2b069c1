// Package attempt sends a request to an engine or a backend server and tracks the result in
// a state chart. Connections, and whether a byte of the request was sent, are handled by
// package upstream.
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

// MaxEventBytes bounds the size of one event of a stream.
const MaxEventBytes = 1 << 20

// Request is the request that an attempt sends.
type Request struct {
	// ID identifies the attempt. The target echoes it in its response.
	ID      string
	Address string
	Method  string
	// URI is the path with the query.
	URI    string
	Header http.Header
	Body   []byte
	// Repeatable has the attempt given up as soon as the path to the target is known to be cut.
	Repeatable bool
}

// Sender makes attempts over pooled connections.
type Sender struct {
	client *upstream.Client
}

// NewSender returns a Sender with its own connection pool, which registers its metrics in reg.
func NewSender(reg metrics.Registry) *Sender { return &Sender{client: upstream.New(reg)} }

// Client returns the client that sends the attempts.
func (r *Sender) Client() *upstream.Client { return r.client }

// Close closes the idle connections.
func (r *Sender) Close() { r.client.Close() }

// RefusesConnections reports whether an address refuses connections.
func (r *Sender) RefusesConnections(ctx context.Context, address string) bool {
	return r.client.RefusesConnections(ctx, address)
}

// Attempt is one attempt to run a request at a target. It is used by one goroutine.
type Attempt struct {
	chart    *statechart.Instance
	response *upstream.Response
	err      error
}

// Start sends the request and waits for the response headers. The returned attempt is in the state
// answering, in which its body can be read, or in a final state. If it ended before a response
// arrived, Status, Header and Length must not be called.
func (r *Sender) Start(ctx context.Context, s Request) *Attempt {
	a := &Attempt{chart: charts.Attempt.Start()}
	s.Header.Set(openai.AttemptHeader, s.ID)
	resp, err := r.client.Do(ctx, upstream.Request{
		Address: s.Address, Method: s.Method, URI: s.URI, Host: s.Address, Header: s.Header, Body: s.Body, ID: s.ID, Repeatable: s.Repeatable,
		ResponseID: func(h http.Header) string { return upstream.StatedID(h, openai.AttemptHeader) },
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
	a.response = resp
	a.checkHeaders()
	return a
}

// checkHeaders ends the attempt if the response headers say that the target rejected the request
// without running it. Otherwise the attempt enters the state answering.
func (a *Attempt) checkHeaders() {
	if a.Status() == http.StatusServiceUnavailable && a.Header().Get(openai.NotRunHeader) != "" {
		a.end(charts.Rejected, fault.New(fault.Unavailable, "target rejected the request", "another target is tried if one is permitted"))
		return
	}
	a.fire(charts.Answered)
}

// fire applies an event to the state chart. An event that the state ignores has no effect.
func (a *Attempt) fire(e statechart.Event) { _, _ = a.chart.Fire(e) }

// end moves the state chart to a final state and closes the response.
func (a *Attempt) end(e statechart.Event, err error) {
	a.fire(e)
	a.err = err
	a.Close()
}

// State returns the state of the attempt.
func (a *Attempt) State() statechart.State { return a.chart.State() }

// Err returns the error that ended the attempt, nil if the response is complete.
func (a *Attempt) Err() error { return a.err }

// Status returns the status code of the response.
func (a *Attempt) Status() int { return a.response.Status }

// Header returns the headers of the response.
func (a *Attempt) Header() http.Header { return a.response.Header }

// RequestedBackoff returns the backoff that the target asks for, 0 if there is none.
func (a *Attempt) RequestedBackoff() time.Duration {
	if a.response == nil {
		return 0
	}
	return notice.RequestedBackoff(a.Status(), a.Header())
}

// RateLimit returns the rate limit that the target announces in its response. It returns false if
// there is no response.
func (a *Attempt) RateLimit() (engine.RateLimit, bool) {
	if a.response == nil {
		return engine.RateLimit{}, false
	}
	return engine.ParseRateLimit(a.Header().Get(openai.RateLimitHeader)), true
}

// Length returns the Content-Length of the response, -1 if it is unknown.
func (a *Attempt) Length() int64 { return a.response.Length }

// Close releases the connection of the attempt. If the response is not complete, it closes the
// connection, which tells the target to stop.
func (a *Attempt) Close() {
	if a.response != nil {
		a.response.Close(a.State() == charts.AttemptComplete)
	}
}

// Fail ends the attempt because the target responded with a failure.
func (a *Attempt) Fail(err error) { a.end(charts.Errored, err) }

// Interrupt ends the attempt because the response is unusable or cannot be relayed any further.
func (a *Attempt) Interrupt(err error) { a.end(charts.Cut, err) }

// ReadAll reads the complete body of at most limit bytes. If check returns an error, the response
// counts as truncated.
func (a *Attempt) ReadAll(limit int64, check func(body []byte) error) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.response.Body, limit+1))
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

// Copy writes the complete body to w as it arrives.
func (a *Attempt) Copy(w io.Writer) error {
	if _, err := io.Copy(w, a.response.Body); err != nil {
		a.Interrupt(fault.Wrap(err, fault.Unknown, "answer was cut", "ask for the outcome before sending the request again"))
		return a.err
	}
	a.end(charts.Finished, nil)
	return nil
}

// Events calls f with the data of each event until the event that ends the stream, and then end. A stream that
// ends without that event counts as truncated. An error of f or end ends the attempt.
func (a *Attempt) Events(f func(data string) error, end func() error) error {
	for ev, err := range sse.Read(a.response.Body, &sse.ReadConfig{MaxEventSize: MaxEventBytes}) {
		if err != nil {
			a.Interrupt(fault.Wrap(err, fault.Unknown, "stream was cut", "it is resumed if the request is idempotent"))
			return a.err
		}
		if ev.Data == openai.Done {
			if err := end(); err != nil {
				a.Interrupt(err)
				return err
			}
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
