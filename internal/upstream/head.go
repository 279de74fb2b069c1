package upstream

import (
	"bytes"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Reasons why a head is not that of a response of HTTP/1, although net/http accepts it.
var (
	errHeadVersion = errors.New("response has another version than HTTP/1")
	errHeadStatus  = errors.New("response has a status that ends no exchange of HTTP/1")
	errHeadField   = errors.New("response has a header field of several lines, or whose name ends in a space")
	errHeadFraming = errors.New("response has a length beside a transfer encoding")
)

// maxHTTPStatus is the largest status of HTTP.
const maxHTTPStatus = 599

// checkHead returns an error if a head, which scan has seen, may mean different things to different readers.
func checkHead(resp *http.Response, scan *headScanner) error {
	switch {
	case resp.ProtoMajor != 1:
		return errHeadVersion
	case resp.StatusCode < http.StatusContinue, resp.StatusCode == http.StatusSwitchingProtocols, resp.StatusCode > maxHTTPStatus:
		return errHeadStatus
	case scan.malformedField:
		return errHeadField
	case scan.hasEncoding && (scan.hasLength || resp.ProtoMinor == 0):
		return errHeadFraming
	}
	return nil
}

// headScanner looks at the bytes of one head for what net/http removes.
type headScanner struct {
	// start is the beginning of the current line in lower case, length that line's length so far without CR.
	start  [len("transfer-encoding:")]byte
	length int
	// last is the last byte of the current line before its first colon.
	last  byte
	colon bool
	// ended is true after the blank line that ends the head.
	ended                                  bool
	malformedField, hasLength, hasEncoding bool
	lines                                  int
}

// scan looks at the next bytes. It ignores those after the head.
func (s *headScanner) scan(p []byte) {
	for _, b := range p {
		switch {
		case s.ended:
			return
		case b == '\n':
			s.endLine()
		case b != '\r':
			s.add(b)
		}
	}
}

// add adds a byte to the current line.
func (s *headScanner) add(b byte) {
	if s.length < len(s.start) {
		s.start[s.length] = lower(b)
	}
	s.length++
	if s.colon = s.colon || b == ':'; !s.colon {
		s.last = b
	}
}

func (s *headScanner) endLine() {
	line := s.start[:min(s.length, len(s.start))]
	switch {
	case len(line) == 0:
		s.ended = true
	case s.lines > 0 && (isSpace(line[0]) || s.colon && isSpace(s.last)):
		s.malformedField = true
	case bytes.HasPrefix(line, []byte("content-length:")):
		s.hasLength = true
	case bytes.HasPrefix(line, []byte("transfer-encoding:")):
		s.hasEncoding = true
	}
	s.length, s.last, s.colon = 0, 0, false
	s.lines++
}

func isSpace(b byte) bool { return b == ' ' || b == '\t' }

func lower(b byte) byte {
	if b >= 'A' && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}
