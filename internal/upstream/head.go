package upstream

import (
	"bytes"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/rockdoor/rockdoor/internal/responsehead"
)

// Reasons why a head, although net/http accepts it, may mean different things to different readers.
var (
	errHeadFolded  = errors.New("response has a header field of several lines")
	errHeadFraming = errors.New("response has a length beside a transfer encoding")
)

// checkHead returns an error if a head, which scan has seen, may mean different things to different readers.
func checkHead(resp *http.Response, scan *headScanner) error {
	if err := responsehead.Check(resp); err != nil {
		return err
	}
	switch {
	case scan.folded:
		return errHeadFolded
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
	// ended is true after the blank line that ends the head.
	ended                          bool
	folded, hasLength, hasEncoding bool
	lines                          int
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
}

func (s *headScanner) endLine() {
	line := s.start[:min(s.length, len(s.start))]
	switch {
	case len(line) == 0:
		s.ended = true
	case s.lines > 0 && isSpace(line[0]):
		s.folded = true
	case bytes.HasPrefix(line, []byte("content-length:")):
		s.hasLength = true
	case bytes.HasPrefix(line, []byte("transfer-encoding:")):
		s.hasEncoding = true
	}
	s.length = 0
	s.lines++
}

func isSpace(b byte) bool { return b == ' ' || b == '\t' }

func lower(b byte) byte {
	if b >= 'A' && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}
