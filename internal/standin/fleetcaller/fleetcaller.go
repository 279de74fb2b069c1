// Package fleetcaller implements a stand-in for the clients of the users' platform. It formats
// their HTTP requests and parses the responses.
package fleetcaller

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/internal/responsehead"
)

// ErrExtraBytes reports that a connection delivered bytes beyond the end of the response.
var ErrExtraBytes = errors.New("bytes after the response")

// ErrMalformedHead reports that a connection delivered a head that does not begin a final response of HTTP/1.
var ErrMalformedHead = errors.New("malformed head of the response")

// Request is a request of a client.
type Request struct {
	ID, Path, Body string
	// Attempt tells the attempts under one ID apart, empty for the first one.
	Attempt string
	// Host is the value of the Host header. Key is the API key of the client's workspace.
	Host, Key string
	// Timeout is the client timeout. The request states it as its deadline.
	Timeout time.Duration
	// Prompt is nil for requests that go to a backend server instead of an engine.
	Prompt *Prompt
	// Resumes is the ID of the request that began the stream which this one resumes after the event LastEvent. It is
	// empty for a new request.
	Resumes   string
	LastEvent int
}

// Prompt describes the work of an engine: the prompt to prefill and the tokens to decode.
type Prompt struct {
	Model string
	Parts []engine.Part
	// MaxOutputTokens is the maximum number of generated tokens.
	MaxOutputTokens int
}

// String returns the request in HTTP/1.1 wire format.
func (r *Request) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nApi-Key: %s\r\n", r.Path, r.Host, r.ID, r.Timeout.Milliseconds(), r.Key)
	if r.Prompt != nil {
		b.WriteString(r.Prompt.header())
	}
	if r.Attempt != "" {
		fmt.Fprintf(&b, "Client-Attempt: %s\r\n", r.Attempt)
	}
	if r.Resumes != "" {
		fmt.Fprintf(&b, "Resumes: %s\r\nLast-Event-Id: %d\r\n", r.Resumes, r.LastEvent)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(r.Body), r.Body)
	return b.String()
}

func (p *Prompt) header() string {
	tokens := 0
	var parts []string
	for _, part := range p.Parts {
		tokens += part.Tokens
		parts = append(parts, fmt.Sprintf("%s:%d", part.ID, part.Tokens))
	}
	return fmt.Sprintf("X-Model: %s\r\nX-Token-Count: %d,%d\r\nX-Prompt-Prefix: %s\r\n", p.Model, tokens, p.MaxOutputTokens, strings.Join(parts, ","))
}

// Response is a response as a client receives it.
type Response struct {
	// Status is the HTTP status code, 0 if no response headers were received.
	Status int
	// Sealed is true if the response has a seal, which only instances add.
	Sealed bool
	Body   string
	// Complete is true if the body was received up to its end as HTTP delimits it.
	Complete bool
	// ClosesConnection is true if the server closes the connection after the response.
	ClosesConnection bool
	// RetryAfter is how long the client should wait before it asks again, 0 if the response does not say.
	RetryAfter time.Duration
}

// ReadResponse reads the response to one request. If it fails, it also returns the part of the
// response that was received.
func ReadResponse(r *bufio.Reader) (Response, error) {
	resp, err := http.ReadResponse(r, &http.Request{Method: http.MethodPost})
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	if responsehead.Check(resp) != nil || resp.StatusCode < http.StatusOK {
		return Response{}, ErrMalformedHead
	}
	body, err := io.ReadAll(resp.Body)
	out := Response{
		Status: resp.StatusCode, Sealed: resp.Header.Get("X-Response-Seal") != "", Body: string(body), Complete: err == nil, ClosesConnection: resp.Close,
	}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		out.RetryAfter = time.Duration(s * float64(time.Second))
	}
	if err == nil && r.Buffered() > 0 {
		err = ErrExtraBytes
	}
	return out, err
}
