// Package eventstream checks server-sent events as the runs of engines write them: each event has an ID, and IDs are numbers that
// count by one.
package eventstream

import (
	"bytes"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// MediaType is that of event streams.
const MediaType = "text/event-stream"

// HasMediaType reports whether the value of a Content-Type header names an event stream, with any parameters.
func HasMediaType(contentType string) bool {
	name, _, _ := strings.Cut(contentType, ";")
	return strings.EqualFold(strings.TrimSpace(name), MediaType)
}

// Reasons why bytes are not the next event of a run.
var (
	ErrBlank   = errors.New("it has no line")
	ErrBytes   = errors.New("it has control characters or is not UTF-8")
	ErrField   = errors.New("a line is neither a field nor a comment")
	ErrNoID    = errors.New("it has no ID")
	ErrTwoIDs  = errors.New("it has two IDs")
	ErrWrongID = errors.New("its ID is not the next number")
)

// anyID is the next ID of a run that may begin with any event.
const anyID = -1

// Checker checks the events of one run in the order in which it wrote them.
type Checker struct{ next int64 }

// After returns a checker of a run that continues after the event with an ID. A run after no event begins with the first one, a
// run after an ID that is not a number with any.
func After(lastID string) *Checker {
	if lastID == "" {
		return &Checker{next: 1}
	}
	last, ok := parseID([]byte(lastID))
	if !ok {
		return &Checker{next: anyID}
	}
	return &Checker{next: last + 1}
}

// AtStart reports whether the next event is the first one of a stream.
func (c *Checker) AtStart() bool { return c.next == 1 }

// Check returns the ID of an event, which includes the blank line that ends it. The ID is empty for comments only, which are no
// event. An error says why the bytes are not the next event of the run; nothing can be known about those that follow.
func (c *Checker) Check(event []byte) (id string, err error) {
	if !utf8.Valid(event) {
		return "", ErrBytes
	}
	var found []byte
	blank, comments := true, true
	for line := range bytes.Lines(event) {
		line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
		if len(line) == 0 {
			break
		}
		blank = false
		if hasControl(line) {
			return "", ErrBytes
		}
		if line[0] == ':' {
			continue
		}
		comments = false
		name, value, ok := field(line)
		switch {
		case !ok:
			return "", ErrField
		case name != "id":
		case found != nil:
			return "", ErrTwoIDs
		default:
			found = value
		}
	}
	switch {
	case blank:
		return "", ErrBlank
	case comments:
		return "", nil
	case len(found) == 0:
		return "", ErrNoID
	}
	n, ok := parseID(found)
	if !ok || c.next != anyID && n != c.next {
		return "", ErrWrongID
	}
	c.next = n + 1
	return string(found), nil
}

// hasControl reports whether a line has control characters of ASCII other than tabs.
func hasControl(line []byte) bool {
	for _, b := range line {
		if b < ' ' && b != '\t' || b == 0x7f {
			return true
		}
	}
	return false
}

// field splits a line into the name and the value of a field. Only fields that may be empty need no colon. The value is never nil.
func field(line []byte) (name string, value []byte, ok bool) {
	before, value, colon := bytes.Cut(line, []byte(":"))
	for _, b := range before {
		if (b|0x20 < 'a' || b|0x20 > 'z') && (b < '0' || b > '9') && b != '-' && b != '_' {
			return "", nil, false
		}
	}
	switch string(before) {
	case "id":
		return "id", bytes.TrimPrefix(value, []byte(" ")), colon
	case "data", "event", "retry":
		return "", value, true
	}
	return "", value, colon
}

// parseID parses digits without leading zeros.
func parseID(text []byte) (int64, bool) {
	if len(text) == 0 || text[0] < '0' || text[0] > '9' || text[0] == '0' && len(text) > 1 {
		return 0, false
	}
	n, err := strconv.ParseInt(string(text), 10, 64)
	return n, err == nil && n < 1<<62
}
