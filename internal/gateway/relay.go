package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/lifecycle"
	"github.com/rockdoor/rockdoor/internal/upstream"
)

const (
	// heldAnswer is the largest answer that is held back until it is whole, so
	// that a cut one can be asked for again. Larger ones are passed on as they come.
	heldAnswer = 4 << 20
	// maxEvent bounds one event of a stream in bytes.
	maxEvent = 1 << 20
	// writeSlack is how long after its deadline a caller may take to read.
	writeSlack  = 2 * time.Second
	eventStream = "text/event-stream"
)

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEnd returns the headers that are not about one connection.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// readAll reads a whole body of at most limit bytes and closes the answer.
func readAll(a *upstream.Response, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = fault.Newf(fault.Exhausted, "ask for less", "answer is larger than %d bytes", limit)
	}
	a.Close(err == nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unknown, "answer was cut", "another instance is tried if the request may be repeated")
	}
	return body, nil
}

// relay passes an answer on.
func (q *request) relay(a *upstream.Response) (lifecycle.Outcome, error) {
	_ = http.NewResponseController(q.w).SetWriteDeadline(q.deadline.Add(writeSlack)) // without it the caller's own pace holds
	if isStream(a) {
		return q.relayEvents(a)
	}
	if q.begun {
		a.Close(false)
		return lifecycle.Lost, fault.New(fault.Unknown, "resumed stream was answered with something else", "check the instance")
	}
	body, err := q.hold(a.Body, heldAnswer)
	switch {
	case errors.Is(err, errHoldFull):
		return q.passOn(a, body)
	case !errors.Is(err, io.EOF):
		a.Close(false)
		return lifecycle.Lost, fault.Wrap(err, fault.Unknown, "answer was cut", "another instance is tried if the request may be repeated")
	}
	a.Close(true)
	q.head(a)
	q.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	q.w.WriteHeader(a.Status)
	if _, err := q.w.Write(body); err != nil {
		return q.left(err)
	}
	return lifecycle.Delivered, nil
}

// left records that the caller could not be written to.
func (q *request) left(err error) (lifecycle.Outcome, error) {
	q.gone, q.writeErr = true, err
	return lifecycle.Lost, err
}

// head copies the headers of an answer.
func (q *request) head(a *upstream.Response) {
	h := q.w.Header()
	for name, values := range endToEnd(a.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps the library from guessing one
	}
}

// relayEvents passes on each whole event of a stream as it arrives. The head is
// passed on with the first one, so that until then another instance may answer.
func (q *request) relayEvents(a *upstream.Response) (lifecycle.Outcome, error) {
	in := bufio.NewReader(a.Body)
	for {
		event, err := readEvent(in)
		if err != nil && (!errors.Is(err, io.EOF) || len(event) > 0) {
			a.Close(false)
			return lifecycle.Lost, fault.Wrap(err, fault.Unknown, "stream was cut", "it is resumed if its route allows it")
		}
		if err != nil {
			a.Close(true)
			if !q.begun { // a stream without events
				q.begin(a)
			}
			return lifecycle.Delivered, nil
		}
		if res, err := q.passEvent(a, event); err != nil {
			a.Close(false)
			return res, err
		}
	}
}

// isStream reports whether an answer is a stream of events.
func isStream(a *upstream.Response) bool {
	return strings.HasPrefix(a.Header.Get("Content-Type"), eventStream)
}

// countRun counts that the request has begun to run, once.
func (q *request) countRun() {
	if q.counted || q.workspace == nil || q.s.o.OnRunStart == nil {
		return
	}
	q.counted = true
	q.s.o.OnRunStart(q.workspace.Name)
}

func (q *request) begin(a *upstream.Response) {
	q.begun = true
	q.countRun()
	q.head(a)
	q.w.WriteHeader(a.Status)
	q.ticket.FirstEvent()
	q.s.time("first_event", time.Since(q.arrived))
}

func (q *request) passEvent(a *upstream.Response, event []byte) (lifecycle.Outcome, error) {
	q.ticket.Event()
	id := eventID(event)
	if id != "" && q.lastEvent != "" && !later(id, q.lastEvent) {
		return lifecycle.Delivered, nil // the caller has it already
	}
	if !q.begun {
		q.begin(a)
	}
	if _, err := q.w.Write(event); err != nil {
		return q.left(err)
	}
	if err := http.NewResponseController(q.w).Flush(); err != nil {
		return q.left(err)
	}
	if id != "" {
		q.lastEvent = id
	}
	q.events++
	return lifecycle.Delivered, nil
}

// later reports whether one event id comes after another. Ids that are not
// numbers are later if they differ.
func later(id, last string) bool {
	a, err1 := strconv.ParseInt(id, 10, 64)
	b, err2 := strconv.ParseInt(last, 10, 64)
	if err1 != nil || err2 != nil {
		return id != last
	}
	return a > b
}

// readEvent reads up to and including the blank line that ends an event. At the
// end of the stream it returns io.EOF with what is left of an event.
func readEvent(in *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := in.ReadBytes('\n')
		event = append(event, line...)
		if err != nil {
			return event, err
		}
		if len(event) > maxEvent {
			return event, fault.Newf(fault.Exhausted, "check the instance", "event is larger than %d bytes", maxEvent)
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
	}
}

// eventID returns the id of an event, empty if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}
