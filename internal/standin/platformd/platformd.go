// Package platformd implements a stand-in for the platform, for tests and
// experiments: the object API over HTTP, the list of hosts, which may be stale,
// and the rate-limited weight store. It simulates failures of the real platform.
package platformd

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/objstore/httpapi"
	"github.com/rockdoor/rockdoor/objstore/memstore"
)

// Faults selects the failures that the stand-in simulates.
type Faults struct {
	// Down fails the calls for objects and for the list of hosts.
	Down bool `json:"down"`
	// LoseResponses applies each write and closes the connection without a response.
	LoseResponses bool `json:"loseAnswers"`
	// DelayMillis is the delay before each call is handled, in milliseconds.
	DelayMillis int `json:"delayMillis"`
}

// Server is a simulated platform. It is an http.Handler and safe for concurrent use.
type Server struct {
	router  *mux.Router
	store   *memstore.Store
	weights *rate.Limiter

	mu     sync.Mutex
	faults Faults
	hosts  []objstore.Host
}

// New returns a server without objects or hosts. Its weight store serves weightLoads requests
// per second.
func New(weightLoads float64) *Server {
	s := &Server{store: memstore.New(), weights: rate.NewLimiter(rate.Limit(weightLoads), 1)}
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/objects/{key}", s.withFaults(s.get)).Methods(http.MethodGet)
	r.HandleFunc("/objects/{key}", s.withFaults(s.put)).Methods(http.MethodPut)
	r.HandleFunc("/objects/{key}", s.withFaults(s.delete)).Methods(http.MethodDelete)
	r.HandleFunc("/objects", s.withFaults(s.list)).Methods(http.MethodGet)
	r.HandleFunc("/watch", s.withFaults(s.watch)).Methods(http.MethodGet)
	r.HandleFunc("/hosts", s.withFaults(s.getHosts)).Methods(http.MethodGet)
	r.HandleFunc("/weights/{model}", s.withFaults(s.getWeights)).Methods(http.MethodGet)
	r.HandleFunc("/lab/faults", s.setFaults).Methods(http.MethodPut)
	r.HandleFunc("/lab/hosts", s.setHosts).Methods(http.MethodPut)
	r.HandleFunc("/lab/calls", s.getCalls).Methods(http.MethodGet)
	s.router = r
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Store returns the store that holds the objects of the API.
func (s *Server) Store() *memstore.Store { return s.store }

// SetFaults replaces the simulated failures.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Down {
		s.store.FailWith(memstore.Down)
	} else {
		s.store.FailWith(nil)
	}
}

// withFaults returns a handler that applies the simulated delay and the loss of responses to writes.
func (s *Server) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.mu.Unlock()
		time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
		if f.LoseResponses && r.Method != http.MethodGet {
			next(discardWriter{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

// discardWriter is a ResponseWriter that discards the response.
type discardWriter struct{ h http.Header }

func (d discardWriter) Header() http.Header         { return d.h }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}

func objectKey(r *http.Request) string {
	k, _ := url.PathUnescape(mux.Vars(r)["key"])
	return k
}

func intParam(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

func reply(w http.ResponseWriter, v any, err error) {
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func statusOf(err error) int {
	if err == error(objstore.ErrWatchGap) {
		return http.StatusGone
	}
	switch fault.KindOf(err) {
	case fault.NotFound:
		return http.StatusNotFound
	case fault.Conflict:
		return http.StatusConflict
	case fault.Invalid:
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusServiceUnavailable
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	obj, err := s.store.Get(r.Context(), objectKey(r))
	reply(w, obj, err)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, objstore.MaxValueBytes+1))
	if err != nil {
		http.Error(w, "request body was truncated", http.StatusBadRequest)
		return
	}
	obj, err := s.store.Put(r.Context(), objectKey(r), value, objstore.Version(intParam(r, "ifVersion")), r.URL.Query().Get("writeID"))
	reply(w, obj, err)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	reply(w, struct{}{}, s.store.Delete(r.Context(), objectKey(r), objstore.Version(intParam(r, "ifVersion"))))
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	objs, rev, err := s.store.List(r.Context(), r.URL.Query().Get("prefix"))
	reply(w, httpapi.ListResponse{Objects: objs, Revision: rev}, err)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	events, rev, err := s.store.Watch(r.Context(), r.URL.Query().Get("prefix"), objstore.Revision(intParam(r, "after")), wait)
	reply(w, httpapi.WatchResponse{Events: events, Revision: rev}, err)
}

func (s *Server) getHosts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	reply(w, s.hosts, nil)
}

func (s *Server) getWeights(w http.ResponseWriter, r *http.Request) {
	if err := s.weights.Wait(r.Context()); err != nil {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	reply(w, struct {
		Model string `json:"model"`
	}{mux.Vars(r)["model"]}, nil)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) setHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []objstore.Host
	if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.hosts = hosts
	s.mu.Unlock()
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) { reply(w, s.store.Calls(), nil) }
