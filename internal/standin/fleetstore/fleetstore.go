// Package fleetstore is a stand-in for the metadata store of the users'
// platform. It speaks the store's protocol over HTTP and can be told to fail in
// the ways that the real one does.
package fleetstore

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// pageItems is how many objects one page of a list has. It is small, so that
// tests meet more than one page.
const pageItems = 5

// Faults says how the stand-in misbehaves.
type Faults struct {
	// Down answers every call with 503.
	Down bool
	// DownKind answers calls for one kind of objects with 503.
	DownKind string
	// Silent accepts calls and never answers them.
	Silent bool
	// LoseAnswers carries writes out and drops the connection.
	LoseAnswers bool
	// LateBy carries writes out after this time and drops the connection at once.
	LateBy time.Duration
	// DeafWatches lets watches wait without telling them of changes.
	DeafWatches bool
	// Delay is by how much each answer comes later.
	Delay time.Duration
	// StaleBy is how old lists and watches are whose callers accept old ones.
	StaleBy time.Duration
}

type meta struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
	rev     int64
}

// Server is the stand-in. It is an http.Handler and safe for concurrent use.
type Server struct {
	mu      sync.Mutex
	rev     int64
	objects map[string]map[string]object // by kind and name
	history []event
	// forgotten is the revision up to which the history is gone.
	forgotten int64
	faults    Faults
	changed   chan struct{}
	calls     int
	observe   func(Change)
	// undo is what the changes of the last undoTime replaced.
	undo []replaced
	// era counts how often the store has come back from a copy; 0 if it does not say.
	era int64
	// eraText takes the place of the era in answers if it is not empty.
	eraText string
}

// headerEra is in all answers of a store that counts its eras.
const headerEra = "Store-Era"

// replaced is what an object was before a change.
type replaced struct {
	kind, name string
	old        object
	existed    bool
	rev        int64
	at         time.Time
}

// undoTime is how far back stale answers reach at the most.
const undoTime = 10 * time.Second

// Change is one change of an object.
type Change struct {
	Kind, Name string
	Spec       json.RawMessage
	Deleted    bool
}

// Observe has every change told, in order, to a function that must not use the store. It is
// called before the first change.
func (s *Server) Observe(f func(Change)) { s.observe = f }

// New returns an empty store.
func New() *Server {
	return &Server{objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// SetFaults makes the store misbehave from now on.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Forget drops the history, so that watches have to list again.
func (s *Server) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.forgotten = nil, s.rev
	s.wake()
}

// SetEra has the store count its eras, from this one on.
func (s *Server) SetEra(era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// SetEraText has answers say something else than the era; an empty text ends that.
func (s *Server) SetEraText(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eraText = text
}

// Restore has the store come back as it was some time ago, at the most undoTime: what was written since
// is gone, and revisions are given out again. A new era begins.
func (s *Server) Restore(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now().Add(-by)
	kinds := slices.Collect(maps.Keys(s.objects))
	objects, rev := map[string]map[string]object{}, s.rev
	for _, kind := range kinds {
		objects[kind], rev = s.asOf(kind, at)
	}
	s.objects, s.rev = objects, rev
	s.undo = slices.DeleteFunc(s.undo, func(u replaced) bool { return u.at.After(at) })
	s.history = slices.DeleteFunc(s.history, func(e event) bool { return e.rev > rev })
	s.forgotten = min(s.forgotten, rev)
	s.era++
	s.wake()
}

// eraNow returns what answers say of the era, empty for nothing.
func (s *Server) eraNow() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.eraText != "":
		return s.eraText
	case s.era == 0:
		return ""
	}
	return strconv.FormatInt(s.era, 10)
}

// Calls returns how many calls were made.
func (s *Server) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Set writes an object as the operator or an engine does.
func (s *Server) Set(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // only for values that tests must not use
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, raw)
}

// Remove deletes an object as an engine that leaves does.
func (s *Server) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// wake tells waiting watches to look again. The caller holds the lock.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) put(kind, name string, spec json.RawMessage) object {
	s.remember(kind, name)
	s.rev++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, ok := s.objects[kind][name]
	if !ok {
		o.Metadata = meta{Name: name, Created: s.rev, Finalizers: []string{}}
	}
	o.Metadata.Revision, o.Spec = s.rev, spec
	s.objects[kind][name] = o
	s.history = append(s.history, event{Object: o, kind: kind, rev: s.rev})
	s.told(Change{Kind: kind, Name: name, Spec: spec})
	s.wake()
	return o
}

// remember keeps what an object is before it changes. The caller holds the lock.
func (s *Server) remember(kind, name string) {
	now := time.Now()
	for len(s.undo) > 0 && now.Sub(s.undo[0].at) > undoTime {
		s.undo = s.undo[1:]
	}
	old, existed := s.objects[kind][name]
	s.undo = append(s.undo, replaced{kind, name, old, existed, s.rev, now})
}

// asOf returns the objects of a kind and the revision as they were at a time. The caller
// holds the lock.
func (s *Server) asOf(kind string, at time.Time) (map[string]object, int64) {
	objects, rev := maps.Clone(s.objects[kind]), s.rev
	if objects == nil {
		objects = map[string]object{}
	}
	for _, u := range slices.Backward(s.undo) {
		if !u.at.After(at) {
			break
		}
		rev = u.rev
		switch {
		case u.kind != kind:
		case u.existed:
			objects[u.name] = u.old
		default:
			delete(objects, u.name)
		}
	}
	return objects, rev
}

// told tells the observer of a change. The caller holds the lock.
func (s *Server) told(c Change) {
	if s.observe != nil {
		s.observe(c)
	}
}

func (s *Server) remove(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.remember(kind, name)
	s.rev++
	delete(s.objects[kind], name)
	s.history = append(s.history, event{Object: o, Deleted: true, kind: kind, rev: s.rev})
	s.told(Change{Kind: kind, Name: name, Deleted: true})
	s.wake()
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Front("", Addresses{}).ServeHTTP(w, r)
}

func (s *Server) after(kind string, since, upTo int64) []event {
	var out []event
	for _, e := range s.history {
		if e.kind == kind && e.rev > since && e.rev <= upTo {
			out = append(out, e)
		}
	}
	return out
}

// carryOut makes a change whose condition holds.
func (s *Server) carryOut(r *http.Request, kind, name string, body []byte) (int, object) {
	var in object
	if len(body) > 0 && json.Unmarshal(body, &in) != nil {
		return http.StatusBadRequest, object{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	old, exists := s.objects[kind][name]
	want := in.Metadata.Revision
	if r.Method == http.MethodDelete {
		want, _ = strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && exists:
		return http.StatusConflict, old
	case r.Method != http.MethodPost && !exists:
		return http.StatusNotFound, object{}
	case r.Method != http.MethodPost && want != 0 && want != old.Metadata.Revision:
		return http.StatusConflict, old
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, old
	}
	return http.StatusOK, s.put(kind, name, in.Spec)
}
