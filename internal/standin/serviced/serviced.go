// Package serviced implements a stand-in for a backend server behind rockdoor,
// for tests and experiments. It echoes the method, path and body of each request
// and records all requests.
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

const maxBodyBytes = 1 << 20

// Faults selects the failures that the stand-in simulates.
type Faults struct {
	// CutBeforeHeaders runs the request and closes the connection before the response headers.
	CutBeforeHeaders bool `json:"cutBeforeHeaders"`
	// CutInBody closes the connection in the middle of the response body.
	CutInBody bool `json:"cutInBody"`
	// NoResponse accepts requests and never responds to them.
	NoResponse bool `json:"silent"`
	// RetryAfterSeconds, if positive, rejects requests with 503 and a Retry-After of this many seconds.
	RetryAfterSeconds int `json:"restSeconds"`
	// RateLimit is sent in the rate limit header of all responses. If it is empty, the header is
	// left out.
	RateLimit string `json:"rateLimit"`
}

// Run is the record of one request. A rejected request is recorded too.
type Run struct {
	LoadID string    `json:"loadID"`
	Server string    `json:"server"`
	Method string    `json:"method"`
	Path   string    `json:"path"`
	Start  time.Time `json:"start"`
}

// Server is a simulated backend server. It is an http.Handler and safe for concurrent use.
type Server struct {
	name   string
	delay  time.Duration
	router *mux.Router

	mu     sync.Mutex
	faults Faults
	runs   []Run
}

// New returns a server that waits for delay before each response.
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

// SetFaults replaces the simulated failures.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns the recorded requests in the order of their arrival.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run{}, s.runs...)
}

// ClearRuns clears the recorded requests.
func (s *Server) ClearRuns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = nil
}

// ResponseBody returns the response body for a request.
func ResponseBody(method, path string, body []byte) string {
	return method + " " + path + "\n" + string(body)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	s.mu.Lock()
	f := s.faults
	s.runs = append(s.runs, Run{
		LoadID: r.Header.Get("X-Load-Id"), Server: s.name, Method: r.Method, Path: r.URL.Path, Start: time.Now(),
	})
	s.mu.Unlock()
	if f.NoResponse {
		<-r.Context().Done()
		return
	}
	if f.RateLimit != "" {
		w.Header().Set(openai.RateLimitHeader, f.RateLimit)
	}
	if f.RetryAfterSeconds > 0 {
		w.Header().Set(openai.NotRunHeader, "1")
		w.Header().Set("Retry-After", strconv.Itoa(f.RetryAfterSeconds))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(s.delay)
	if f.CutBeforeHeaders {
		panic(http.ErrAbortHandler)
	}
	text := ResponseBody(r.Method, r.URL.Path, body)
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
