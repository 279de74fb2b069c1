// Package platformd is a stand-in for the platform's object API, its lagging
// list of hosts and its rate-limited weight store. It keeps everything in
// memory and can be told to fail in the ways that the real one does.
package platformd

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"github.com/rockdoor/rockdoor/platform"
	"github.com/rockdoor/rockdoor/platform/httpapi"
)

const historyLength = 4096

// Faults says how the stand-in misbehaves.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// LoseAnswers applies writes and then drops the connection.
	LoseAnswers bool `json:"loseAnswers"`
	// DelayMillis is added before each call.
	DelayMillis int `json:"delayMillis"`
}

// Server is the stand-in. It is an http.Handler and safe for concurrent use.
type Server struct {
	router  *mux.Router
	weights *rate.Limiter

	mu      sync.Mutex
	objects map[string]platform.Object
	events  []platform.Event
	rev     platform.Revision
	wake    chan struct{}
	faults  Faults
	hosts   []platform.Host
	calls   map[string]int
}

// New returns an empty stand-in whose weight store serves weightLoads loads a second.
func New(weightLoads float64) *Server {
	s := &Server{
		objects: map[string]platform.Object{},
		wake:    make(chan struct{}),
		calls:   map[string]int{},
		weights: rate.NewLimiter(rate.Limit(weightLoads), 1),
	}
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/objects/{key}", s.faulty("get", s.get)).Methods(http.MethodGet)
	r.HandleFunc("/objects/{key}", s.faulty("put", s.put)).Methods(http.MethodPut)
	r.HandleFunc("/objects/{key}", s.faulty("delete", s.delete)).Methods(http.MethodDelete)
	r.HandleFunc("/objects", s.faulty("list", s.list)).Methods(http.MethodGet)
	r.HandleFunc("/watch", s.faulty("watch", s.watch)).Methods(http.MethodGet)
	r.HandleFunc("/hosts", s.faulty("hosts", s.getHosts)).Methods(http.MethodGet)
	r.HandleFunc("/weights/{model}", s.faulty("weights", s.getWeights)).Methods(http.MethodGet)
	r.HandleFunc("/lab/faults", s.setFaults).Methods(http.MethodPut)
	r.HandleFunc("/lab/hosts", s.setHosts).Methods(http.MethodPut)
	r.HandleFunc("/lab/calls", s.getCalls).Methods(http.MethodGet)
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
	if f.Down {
		s.broadcast()
	}
}

// Calls returns how often each kind of call was made.
func (s *Server) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, n := range s.calls {
		out[k] = n
	}
	return out
}

func (s *Server) faulty(kind string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.calls[kind]++
		s.mu.Unlock()
		time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
		if f.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if f.LoseAnswers && r.Method != http.MethodGet {
			next(discard{http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

// discard is a ResponseWriter that loses the answer.
type discard struct{ h http.Header }

func (d discard) Header() http.Header         { return d.h }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}

// broadcast wakes all watches. The caller holds s.mu.
func (s *Server) broadcast() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// record appends an event and wakes the watches. The caller holds s.mu.
func (s *Server) record(ev platform.Event) {
	ev.Revision = s.rev
	s.events = append(s.events, ev)
	if len(s.events) > historyLength {
		s.events = s.events[len(s.events)-historyLength:]
	}
	s.broadcast()
}

func key(r *http.Request) string {
	k, _ := url.PathUnescape(mux.Vars(r)["key"])
	return k
}

func intParam(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	obj, ok := s.objects[key(r)]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	reply(w, obj)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxValueBytes+1))
	if err != nil || len(value) > platform.MaxValueBytes {
		http.Error(w, "value too large or cut", http.StatusRequestEntityTooLarge)
		return
	}
	k := key(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[k].Version != platform.Version(intParam(r, "ifVersion")) {
		http.Error(w, "conflict", http.StatusConflict)
		return
	}
	s.rev++
	obj := platform.Object{Key: k, Value: value, Version: platform.Version(s.rev), WriteID: r.URL.Query().Get("writeID")}
	s.objects[k] = obj
	s.record(platform.Event{Object: obj})
	reply(w, obj)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	k := key(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.objects[k]
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	if obj.Version != platform.Version(intParam(r, "ifVersion")) {
		http.Error(w, "conflict", http.StatusConflict)
		return
	}
	s.rev++
	delete(s.objects, k)
	s.record(platform.Event{Object: obj, Deleted: true})
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	out := httpapi.ListResponse{Objects: []platform.Object{}}
	s.mu.Lock()
	out.Revision = s.rev
	for k, obj := range s.objects {
		if strings.HasPrefix(k, prefix) {
			out.Objects = append(out.Objects, obj)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(out.Objects, func(a, b platform.Object) int { return strings.Compare(a.Key, b.Key) })
	reply(w, out)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after := platform.Revision(intParam(r, "after"))
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		if s.faults.Down {
			s.mu.Unlock()
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if len(s.events) == historyLength && s.events[0].Revision > after+1 {
			s.mu.Unlock()
			http.Error(w, "gap", http.StatusGone)
			return
		}
		out := httpapi.WatchResponse{Revision: max(s.rev, after), Events: []platform.Event{}}
		for _, ev := range s.events {
			if ev.Revision > after && strings.HasPrefix(ev.Object.Key, prefix) {
				out.Events = append(out.Events, ev)
			}
		}
		wake := s.wake
		s.mu.Unlock()
		if len(out.Events) > 0 {
			reply(w, out)
			return
		}
		select {
		case <-wake:
		case <-deadline.C:
			reply(w, out)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) getHosts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(w, s.hosts)
}

func (s *Server) getWeights(w http.ResponseWriter, r *http.Request) {
	if err := s.weights.Wait(r.Context()); err != nil {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	reply(w, struct {
		Model string `json:"model"`
	}{mux.Vars(r)["model"]})
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
	var hosts []platform.Host
	if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.hosts = hosts
	s.mu.Unlock()
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) { reply(w, s.Calls()) }
