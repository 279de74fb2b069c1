// Package serviced is a stand-in for a plain service behind rockdoor. It
// answers every call with the call's own path and body and records each run.
package serviced

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/rockdoor/rockdoor/engine/openai"
)

const maxBody = 1 << 20

// Faults says how the service misbehaves.
type Faults struct {
	// CutBeforeHeaders closes the connection after the call was run.
	CutBeforeHeaders bool `json:"cutBeforeHeaders"`
	// CutInBody closes the connection in the middle of the answer.
	CutInBody bool `json:"cutInBody"`
	// Silent accepts calls and says nothing.
	Silent bool `json:"silent"`
	// RestSeconds refuses calls with 503 and asks for that much rest.
	RestSeconds int `json:"restSeconds"`
	// RateLimit is named in all answers as the rate limit, empty for none.
	RateLimit string `json:"rateLimit"`
}

// Run is the record of one call.
type Run struct {
	LoadID string    `json:"loadID"`
	Server string    `json:"server"`
	Method string    `json:"method"`
	Path   string    `json:"path"`
	Start  time.Time `json:"start"`
}

// Server is the stand-in. It is an http.Handler and safe for concurrent use.
type Server struct {
	name   string
	delay  time.Duration
	router *mux.Router

	mu     sync.Mutex
	faults Faults
	runs   []Run
}

// New returns a service whose calls take the given time.
func New(name string, delay time.Duration) *Server {
	s := &Server{name: name, delay: delay}
	r := mux.NewRouter()
	r.HandleFunc("/lab/runs", s.getRuns).Methods(http.MethodGet)
	r.HandleFunc("/lab/faults", s.putFaults).Methods(http.MethodPut)
	r.PathPrefix("/").HandlerFunc(s.serve)
	s.router = r
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns the record of all calls.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run{}, s.runs...)
}

// Forget drops the record of all calls.
func (s *Server) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = nil
}

// Answer is what the service says to a call.
func Answer(method, path string, body []byte) string {
	return method + " " + path + "\n" + string(body)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	s.mu.Lock()
	f := s.faults
	s.runs = append(s.runs, Run{
		LoadID: r.Header.Get("X-Load-Id"), Server: s.name, Method: r.Method, Path: r.URL.Path, Start: time.Now(),
	})
	s.mu.Unlock()
	if f.Silent {
		<-r.Context().Done()
		return
	}
	if f.RateLimit != "" {
		w.Header().Set(openai.RateLimitHeader, f.RateLimit)
	}
	if f.RestSeconds > 0 {
		w.Header().Set(openai.NotRunHeader, "1")
		w.Header().Set("Retry-After", strconv.Itoa(f.RestSeconds))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(s.delay)
	if f.CutBeforeHeaders {
		panic(http.ErrAbortHandler)
	}
	text := Answer(r.Method, r.URL.Path, body)
	if f.CutInBody {
		w.Header().Set("Content-Length", "100000")
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

func (s *Server) getRuns(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Runs())
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}
