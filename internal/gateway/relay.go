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
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/eventstream"
	"github.com/rockdoor/rockdoor/internal/lifecycle"
	"github.com/rockdoor/rockdoor/internal/upstream"
)

const (
	// maxBufferedResponse is the largest response in bytes that is buffered until it is
	// complete, so that the request can be retried if the response is truncated. Larger ones
	// are relayed as they arrive.
	maxBufferedResponse = 4 << 20
	// maxEventBytes bounds one event of a stream, which is held until it is complete. Events have some kilobytes.
	maxEventBytes = 256 << 10
	// writeGrace is how long after the deadline of the request the client may take to read the
	// response.
	writeGrace = 2 * time.Second
)

// hopHeaders are the hop-by-hop headers, which apply to one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEnd returns a copy of the headers without the hop-by-hop ones.
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

// readAll reads a complete body of at most limit bytes and closes the response.
func readAll(resp *upstream.Response, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = fault.Newf(fault.Exhausted, "ask for less", "answer is larger than %d bytes", limit)
	}
	resp.Close(err == nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unknown, "answer was cut", "another instance is tried if the request may be repeated")
	}
	return body, nil
}

// relay sends the response of an instance to the client.
func (q *request) relay(resp *upstream.Response, from *fleet.Instance) (lifecycle.Outcome, error) {
	_ = http.NewResponseController(q.w).SetWriteDeadline(q.deadline.Add(writeGrace)) // if it is not supported, a slow client is not cut off
	q.relayedAs = ""
	if q.isStream(resp) && q.route.Kind == fleet.Streaming {
		if err := checkStreamHead(resp); err != nil {
			resp.Close(false)
			q.logUnexpectedResponse(from, resp, err)
			return lifecycle.Lost, fault.Wrap(errors.Mark(err, errMalformed), fault.Unknown, "response is not the stream that the route asks for", "another instance is tried if the request may be repeated")
		}
	}
	if q.isStream(resp) {
		q.relayedAs = relayedEvents
		return q.relayEvents(resp, from)
	}
	q.relayedAs = relayedBuffered
	if q.responseStarted {
		resp.Close(false)
		return lifecycle.Lost, fault.New(fault.Unknown, "instance answered a request to resume a stream with a response that is not a stream", "check the instance")
	}
	body, err := q.readBuffered(resp.Body, maxBufferedResponse)
	switch {
	case errors.Is(err, errMemoryFull):
		return q.relayUnbuffered(resp, body)
	case !errors.Is(err, io.EOF):
		resp.Close(false)
		return lifecycle.Lost, fault.Wrap(err, fault.Unknown, "answer was cut", "another instance is tried if the request may be repeated")
	}
	resp.Close(true)
	q.copyHeaders(resp)
	q.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	q.w.WriteHeader(resp.Status)
	if _, err := q.w.Write(body); err != nil {
		return q.clientWriteFailed(err)
	}
	return lifecycle.Delivered, nil
}

// How a response is relayed, for the log.
const (
	relayedEvents     = "events"
	relayedBuffered   = "buffered"
	relayedUnbuffered = "unbuffered"
)

// clientWriteFailed records that a write to the client failed.
func (q *request) clientWriteFailed(err error) (lifecycle.Outcome, error) {
	q.clientGone, q.writeErr = true, err
	return lifecycle.Lost, err
}

// copyHeaders copies the end-to-end headers of a response to the client's response.
func (q *request) copyHeaders(resp *upstream.Response) {
	h := q.w.Header()
	for name, values := range endToEnd(resp.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // prevents net/http from guessing one
	}
}

// relayEvents relays each complete event of a stream as it arrives. The headers are sent
// with the first event, so that until then the request can be retried at another instance.
func (q *request) relayEvents(resp *upstream.Response, from *fleet.Instance) (lifecycle.Outcome, error) {
	in, check, commentBytes := bufio.NewReader(resp.Body), eventstream.After(q.resumeAfter()), 0
	for {
		event, err := readEvent(in)
		if q.route.Kind != fleet.Streaming && len(event) > 0 && (errors.Is(err, io.EOF) || errors.Is(err, errEventTooLarge)) {
			err = nil // a body of any form
		}
		if err != nil && (!errors.Is(err, io.EOF) || len(event) > 0) {
			resp.Close(false)
			return lifecycle.Lost, fault.Wrap(err, fault.Unknown, "stream was cut", "it is resumed if its route allows it")
		}
		if err != nil {
			return q.endStream(resp, from, check)
		}
		id := ""
		if q.route.Kind == fleet.Streaming { // elsewhere events need no ID
			id, err = check.Check(event)
			if commentBytes += len(event); err == nil && id == "" && commentBytes > maxEventBytes {
				err = errComments // they are not relayed, so only the deadline would end them
			}
			if err != nil {
				resp.Close(false)
				q.logMalformedEvent(from, event, err)
				return lifecycle.Lost, fault.Wrap(errors.Mark(err, errMalformed), fault.Unknown, "stream has bytes that are not its next event", "it is resumed if its route allows it")
			}
			if id == "" {
				continue // comments
			}
			commentBytes = 0
		}
		if res, err := q.relayEvent(resp, id, event); err != nil {
			resp.Close(false)
			return res, err
		}
	}
}

// endStream handles the end of a stream. One without events answers a request only if that asks for those after an event.
func (q *request) endStream(resp *upstream.Response, from *fleet.Instance, check *eventstream.Checker) (lifecycle.Outcome, error) {
	switch {
	case q.responseStarted:
	case !q.hang.responded():
		resp.Close(false)
		return lifecycle.Lost, errGivenUp
	case q.route.Kind == fleet.Streaming && check.AtStart() && q.http.Method != http.MethodHead:
		resp.Close(false)
		q.logMalformedEvent(from, nil, errNoEvent)
		return lifecycle.Lost, fault.Wrap(errors.Mark(errNoEvent, errMalformed), fault.Unknown, "stream ended before its first event", "another instance is tried if the request may be repeated")
	default:
		q.startResponse(resp)
	}
	resp.Close(true)
	return lifecycle.Delivered, nil
}

var (
	errGivenUp = errors.New("attempt was given up before its first event")
	errNoEvent = errors.New("stream has no event")
	// errEventTooLarge is returned by readEvent with the beginning of the event.
	errEventTooLarge = fault.Newf(fault.Exhausted, "check the instance", "event is larger than %d bytes", maxEventBytes)
	errComments      = errors.New("its comments between two events are larger than an event may be")
	// errMalformed marks errors of streams that the instance itself has broken.
	errMalformed = errors.New("stream is malformed")
)

// Reasons why a successful response cannot be what its route asks for.
var (
	errNoSeal       = errors.New("it has not exactly one seal, or one of another encoding")
	errStreamStatus = errors.New("its status is not 200")
	errStreamType   = errors.New("its media type is not that of an event stream")
)

// checkStreamHead returns an error if a successful response cannot be the stream that a streaming route asks for.
func checkStreamHead(resp *upstream.Response) error {
	types := resp.Header.Values("Content-Type")
	switch {
	case resp.Status != http.StatusOK:
		return errStreamStatus
	case len(types) > 1 || len(types) == 1 && !eventstream.HasMediaType(types[0]):
		return errStreamType
	}
	return nil
}

// isStream reports whether a response is relayed event by event. What a streaming route asks for is a stream whatever the type of the response.
func (q *request) isStream(resp *upstream.Response) bool {
	if q.route.Kind == fleet.Streaming {
		return resp.Status < http.StatusMultipleChoices
	}
	return eventstream.HasMediaType(resp.Header.Get("Content-Type"))
}

// countRun calls Options.OnRunStart, once for each request.
func (q *request) countRun() {
	if q.runCounted || q.workspace == nil || q.s.o.OnRunStart == nil {
		return
	}
	q.runCounted = true
	q.s.o.OnRunStart(q.workspace.Name)
}

func (q *request) startResponse(resp *upstream.Response) {
	q.responseStarted = true
	q.countRun()
	q.copyHeaders(resp)
	q.w.WriteHeader(resp.Status)
	q.recordOrigin(q.plan.Target)
	q.reportBegun(q.plan.Target)
	q.ticket.FirstEvent()
	q.s.time("first_event", time.Since(q.arrived))
}

func (q *request) relayEvent(resp *upstream.Response, id string, event []byte) (lifecycle.Outcome, error) {
	q.ticket.Event()
	if !q.responseStarted {
		if !q.hang.responded() {
			return lifecycle.Lost, errGivenUp // nothing of it has been sent to the client
		}
		q.startResponse(resp)
	}
	if _, err := q.w.Write(event); err != nil {
		return q.clientWriteFailed(err)
	}
	if err := http.NewResponseController(q.w).Flush(); err != nil {
		return q.clientWriteFailed(err)
	}
	q.lastEventID = id
	q.events++
	return lifecycle.Delivered, nil
}

// readEvent reads up to and including the blank line that ends an event. At the end of the
// stream it returns io.EOF with the incomplete event, if there is one.
func readEvent(in *bufio.Reader) ([]byte, error) {
	var event []byte
	lineStart := 0
	for {
		part, err := in.ReadSlice('\n')
		event = append(event, part...)
		switch {
		case len(event) > maxEventBytes:
			return event, errEventTooLarge
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return event, err
		}
		if len(bytes.TrimRight(event[lineStart:], "\r\n")) == 0 {
			return event, nil
		}
		lineStart = len(event)
	}
}
