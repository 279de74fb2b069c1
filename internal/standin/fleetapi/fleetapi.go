// Package fleetapi is a stand-in for the users' platform's API for duties of one process at a
// time. It takes reports of usage and orders for engines, does not check who acts, and keeps
// a record from which Conflicts tells what must never happen.
package fleetapi

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Call is one call that was taken.
type Call struct {
	Path   string
	Holder string
	Token  int64
	Body   string
	At     time.Time
}

// Faults are ways to misbehave.
type Faults struct {
	// Down answers with 503 and does nothing.
	Down bool
	// LoseAnswers carries calls out and drops the connection.
	LoseAnswers bool
	// Empty answers orders for engines of this failure domain with 409.
	Empty string
}

// Server is the stand-in. It is an http.Handler and safe for concurrent use.
type Server struct {
	mu     sync.Mutex
	faults Faults
	calls  []Call
}

// New returns a server that works.
func New() *Server { return &Server{} }

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the calls that were taken, in order.
func (s *Server) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call(nil), s.calls...)
}

// Reports returns the counts that were taken for each window.
func (s *Server) Reports() map[int64]map[string]int {
	out := map[int64]map[string]int{}
	for _, c := range s.Calls() {
		if r, ok := c.report(); ok {
			out[r.Window] = r.Counts
		}
	}
	return out
}

type report struct {
	Window int64          `json:"window"`
	Counts map[string]int `json:"counts"`
}

func (c *Call) report() (report, bool) {
	var r report
	return r, c.Path == "/usage-reports" && json.Unmarshal([]byte(c.Body), &r) == nil
}

// Conflicts returns what must never happen: one token of two holders, a token lower than one
// before, two holders that take turns, and two contents of one window.
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
		r, ok := c.report()
		if !ok {
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
	token, terr := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
	holder := r.Header.Get("X-Duty-Holder")
	if err != nil || terr != nil || holder == "" || r.Method != http.MethodPost {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	f := s.faults
	status := s.take(Call{r.URL.Path, holder, token, string(body), time.Now()})
	s.mu.Unlock()
	if f.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

// take records a call. The caller holds the lock.
func (s *Server) take(c Call) int {
	if s.faults.Down {
		return http.StatusServiceUnavailable
	}
	var o struct {
		Zone string `json:"zone"`
	}
	if s.faults.Empty != "" && c.Path == "/scale" && json.Unmarshal([]byte(c.Body), &o) == nil && o.Zone == s.faults.Empty {
		return http.StatusConflict
	}
	s.calls = append(s.calls, c)
	return http.StatusOK
}
