// Package attempt sends one request to one engine or backend server and finds
// out what became of it. The point after which the target may have begun is the
// first Write to the connection that the request got; see sealableConn.
package attempt

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/tmaxmax/go-sse"

	"github.com/rockdoor/rockdoor/engine/openai"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/charts"
	"github.com/rockdoor/rockdoor/statechart"
)

// MaxEventBytes bounds one event of a stream.
const MaxEventBytes = 1 << 20

// Spec is what is sent.
type Spec struct {
	// ID identifies the attempt; the target repeats it in its answer.
	ID      string
	Address string
	Method  string
	// URI is the path with the query.
	URI    string
	Header http.Header
	Body   []byte
}

// Runner sends attempts over kept-alive connections.
type Runner struct {
	transport *http.Transport
}

// NewRunner returns a runner with a connection pool of its own.
func NewRunner() *Runner {
	return &Runner{transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdlePer,
		IdleConnTimeout:     idleKeepAlive,
		DisableCompression:  true,
		ForceAttemptHTTP2:   false,
	}}
}

// Close drops idle connections.
func (r *Runner) Close() { r.transport.CloseIdleConnections() }

// Attempt is one try. It is used by one goroutine.
type Attempt struct {
	chart *statechart.Instance
	resp  *http.Response
	err   error

	mu   sync.Mutex
	conn *sealableConn
}

// replayless is a body that the transport cannot repeat by itself, since it has
// no GetBody and is not nil. Without it the transport would send a GET, or a
// request with an Idempotency-Key, again after a connection broke.
type replayless struct{ *bytes.Reader }

func (replayless) Close() error { return nil }

// Start sends the request and waits for the head of the answer. The state of
// the returned attempt is answering or final.
func (r *Runner) Start(ctx context.Context, s Spec) *Attempt {
	a := &Attempt{chart: charts.Attempt.Start()}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { a.gotConn(info) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), s.Method, "http://"+s.Address+s.URI, nil)
	if err != nil {
		a.end(charts.Unsent, fault.Wrap(err, fault.Invalid, "request cannot be built", "check the path and the target's address"))
		return a
	}
	req.Header = s.Header
	req.Header.Set(openai.AttemptHeader, s.ID)
	req.Body = replayless{bytes.NewReader(s.Body)}
	req.ContentLength = int64(len(s.Body))
	resp, err := r.transport.RoundTrip(req)
	if err != nil {
		a.broke(err)
		return a
	}
	a.resp = resp
	a.answered(s.ID)
	return a
}

func (a *Attempt) gotConn(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*sealableConn); ok {
		c.acquire()
		a.mu.Lock()
		a.conn = c
		a.mu.Unlock()
	}
	a.fire(charts.Connected)
}

// broke settles an attempt whose connection failed before any answer.
func (a *Attempt) broke(err error) {
	a.mu.Lock()
	conn := a.conn
	a.mu.Unlock()
	if conn == nil || !conn.seal() {
		a.end(charts.Unsent, fault.Wrap(err, fault.Unavailable, "target cannot be reached", "another target is tried if one is permitted"))
		return
	}
	a.end(charts.Cut, fault.Wrap(err, fault.Unknown, "connection broke before the answer", "ask for the outcome before sending the request again"))
}

// answered looks at the head of the answer.
func (a *Attempt) answered(id string) {
	h := a.resp.Header
	if a.resp.StatusCode == http.StatusServiceUnavailable && h.Get(openai.NotRunHeader) != "" {
		a.end(charts.Rejected, fault.New(fault.Unavailable, "target takes no work", "another target is tried if one is permitted"))
		return
	}
	if got := h.Get(openai.AttemptHeader); got != "" && got != id {
		a.end(charts.Cut, fault.New(fault.Unknown, "target answered for another request", "the answer was dropped; check the target"))
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
func (a *Attempt) Status() int { return a.resp.StatusCode }

// Header returns the header of the answer.
func (a *Attempt) Header() http.Header { return a.resp.Header }

// Length returns the length of the answer's body in bytes, -1 if unknown.
func (a *Attempt) Length() int64 { return a.resp.ContentLength }

// Close ends the attempt. If the answer is not whole, the connection is closed,
// which tells the target to stop.
func (a *Attempt) Close() {
	if a.resp != nil {
		_ = a.resp.Body.Close()
	}
}

// Fail ends the attempt because the target's answer says that it failed.
func (a *Attempt) Fail(err error) { a.end(charts.Errored, err) }

// Cut ends the attempt because its answer cannot be used or carried on.
func (a *Attempt) Cut(err error) { a.end(charts.Cut, err) }

// ReadAll reads the whole body, up to limit bytes. If check refuses it, the
// answer counts as cut.
func (a *Attempt) ReadAll(limit int64, check func(body []byte) error) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.resp.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = fault.Newf(fault.Exhausted, "ask for less", "answer is larger than %d bytes", limit)
	}
	if err != nil {
		a.Cut(fault.Wrap(err, fault.Unknown, "answer was cut", "ask for the outcome before sending the request again"))
		return nil, a.err
	}
	if err := check(body); err != nil {
		a.Cut(err)
		return nil, err
	}
	a.end(charts.Finished, nil)
	return body, nil
}

// Copy passes the whole body on as it arrives.
func (a *Attempt) Copy(w io.Writer) error {
	if _, err := io.Copy(w, a.resp.Body); err != nil {
		a.Cut(fault.Wrap(err, fault.Unknown, "answer was cut", "ask for the outcome before sending the request again"))
		return a.err
	}
	a.end(charts.Finished, nil)
	return nil
}

// Events passes on each event of a stream until the event that ends it. A
// stream that ends otherwise was cut. An error of f ends the attempt.
func (a *Attempt) Events(f func(data string) error) error {
	for ev, err := range sse.Read(a.resp.Body, &sse.ReadConfig{MaxEventSize: MaxEventBytes}) {
		if err != nil {
			a.Cut(fault.Wrap(err, fault.Unknown, "stream was cut", "it is resumed if the request is idempotent"))
			return a.err
		}
		if ev.Data == openai.Done {
			a.end(charts.Finished, nil)
			return nil
		}
		if err := f(ev.Data); err != nil {
			a.Cut(err)
			return err
		}
	}
	a.Cut(fault.New(fault.Unknown, "stream ended early", "it is resumed if the request is idempotent"))
	return a.err
}
