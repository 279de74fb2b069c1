package upstream

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// Attribution says how the last response of an exchange is related to its request.
type Attribution string

// Attributions.
const (
	// NoResponse: no header of a response has arrived.
	NoResponse Attribution = "none"
	// Identified: it states the ID of the request.
	Identified Attribution = "identified"
	// First: it states no ID, but is the first response on a connection that has carried nothing else.
	First Attribution = "first"
	// Ambiguous: it states no ID, and may be a response in excess to an earlier request on the connection.
	Ambiguous Attribution = "ambiguous"
	// Stray: it states the ID of another request.
	Stray Attribution = "stray"
)

// Evidence is what an exchange with an instance rests on.
type Evidence struct {
	// Conn is the number of the connection in this process, Carried the number of requests that it had carried before, and
	// Helper the process that relays it, empty if it is direct.
	Conn    uint64
	Carried int
	Helper  string
	// Stated is the request ID that the last response stated, empty for none.
	Stated      string
	Attribution Attribution
}

// LogFields returns the evidence as keys and values for a log line.
func (e Evidence) LogFields() []any {
	out := []any{"conn", e.Conn, "carried", e.Carried, "attribution", e.Attribution}
	if e.Attribution == Stray {
		out = append(out, "stated", e.Stated)
	}
	return out
}

// exchangeError is the error of an exchange that used a connection.
type exchangeError struct {
	error
	evidence Evidence
}

// Unwrap returns the cause.
func (e *exchangeError) Unwrap() error { return e.error }

// EvidenceOf returns the evidence of the exchange that ended with an error. It returns false if no connection was used.
func EvidenceOf(err error) (Evidence, bool) {
	var e *exchangeError
	if !errors.As(err, &e) {
		return Evidence{}, false
	}
	return e.evidence, true
}

// StatedID returns the ID in a header of a response, all of them if there are several different ones.
func StatedID(h http.Header, name string) string {
	values := h.Values(name)
	if len(values) == 0 {
		return ""
	}
	for _, v := range values[1:] {
		if v != values[0] {
			return strings.Join(values, ",")
		}
	}
	return values[0]
}
