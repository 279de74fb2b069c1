// Package fleetapi implements a stand-in for the API of the users' platform that only the
// holder of the duties lease calls. It accepts usage reports and scaling orders for engines from
// any client and records them. Conflicts reports the violations of mutual exclusion in the record.
package fleetapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Call is a recorded API call.
type Call struct {
	Path   string
	Holder string
	Token  int64
	Body   string
	At     time.Time
	// Report is the usage report in the body, nil for other calls and for an invalid report.
	Report *Report
}

// Report is the usage in one time window.
type Report struct {
	Window int64          `json:"window"`
	Counts map[string]int `json:"counts"`
}

// Paths of the API: usage reports, and scaling orders for engines.
const (
	pathReports = "/usage-reports"
	pathOrders  = "/scale"
)

// Faults selects the failures that the stand-in simulates.
type Faults struct {
	// Down rejects every call with 503.
	Down bool
	// LoseResponses handles each call and closes the connection without a response.
	LoseResponses bool
}

// Server is a simulated API. It is an http.Handler and safe for concurrent use.
type Server struct {
	mu     sync.Mutex
	faults Faults
	calls  []Call
}

// New returns a server without simulated failures.
func New() *Server { return &Server{} }

// SetFaults replaces the simulated failures.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the recorded calls in the order of their arrival.
func (s *Server) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call(nil), s.calls...)
}

// ReadCall parses the path and the headers of a call. It does not read the body. It returns an
// error if the call lacks a valid fencing token, in which case the token is 0, or a holder.
func ReadCall(r *http.Request) (Call, error) {
	c := Call{Path: r.URL.Path, Holder: r.Header.Get("X-Duty-Holder"), At: time.Now()}
	token, err := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil {
		return c, fmt.Errorf("fencing token is missing or invalid: %w", err)
	}
	c.Token = token
	if c.Holder == "" {
		return c, errNoHolder
	}
	return c, nil
}

var errNoHolder = errors.New("header X-Duty-Holder is missing")

// Reports returns the counts last reported for each window.
func (s *Server) Reports() map[int64]map[string]int {
	out := map[int64]map[string]int{}
	for _, c := range s.Calls() {
		if c.Report != nil {
			out[c.Report.Window] = c.Report.Counts
		}
	}
	return out
}

// parseReport decodes a usage report. It returns nil for other calls and for an invalid report.
func parseReport(path string, body []byte) *Report {
	var r Report
	if path != pathReports || json.Unmarshal(body, &r) != nil {
		return nil
	}
	return &r
}

// Conflicts describes each violation of mutual exclusion in the recorded calls: a token used by
// two holders, a token lower than an earlier one (which calls of two alternating holders
// cause too), and a window reported with different counts.
func (s *Server) Conflicts() []string {
	var out []string
	holders, windows, last := map[int64]string{}, map[int64]string{}, int64(0)
	for _, c := range s.Calls() {
		if h, used := holders[c.Token]; used && h != c.Holder {
			out = append(out, fmt.Sprintf("token %d of %s and %s", c.Token, h, c.Holder))
		}
		holders[c.Token] = c.Holder
		if c.Token < last {
			out = append(out, fmt.Sprintf("token %d of %s after %d", c.Token, c.Holder, last))
		}
		last = max(last, c.Token)
		r := c.Report
		if r == nil {
			continue
		}
		counts := fmt.Sprint(r.Counts)
		if before, known := windows[r.Window]; known && before != counts {
			out = append(out, fmt.Sprintf("window %d: %s and %s", r.Window, before, counts))
		}
		windows[r.Window] = counts
	}
	return out
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	c, cerr := ReadCall(r)
	c.Body, c.Report = string(body), parseReport(c.Path, body)
	if err != nil || cerr != nil || r.Method != http.MethodPost {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	f := s.faults
	status := s.record(c)
	s.mu.Unlock()
	if f.LoseResponses {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

// record records a call unless a simulated failure rejects it, and returns the HTTP status. The
// caller holds s.mu.
func (s *Server) record(c Call) int {
	if s.faults.Down {
		return http.StatusServiceUnavailable
	}
	s.calls = append(s.calls, c)
	return http.StatusOK
}
