// Package fleetstore implements a stand-in for the metadata store of the users'
// platform. It implements the store's HTTP protocol and simulates failures of the
// real store.
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

// pageItems is the number of objects in one page of a list. It is small, so that
// the lists in tests have more than one page.
const pageItems = 5

// Faults selects the failures that the stand-in simulates.
type Faults struct {
	// Down rejects every call with 503.
	Down bool
	// DownKind rejects the calls for this kind of objects with 503.
	DownKind string
	// NoResponse accepts calls and never responds to them.
	NoResponse bool
	// LoseResponses applies each write and closes the connection without a response.
	LoseResponses bool
	// WriteDelay, if positive, closes the connection of a write without a response and applies the
	// write after this time.
	WriteDelay time.Duration
	// WithholdEvents withholds all events from watches, which then end with their wait time.
	WithholdEvents bool
	// Delay is the delay of each response to a read or a write.
	Delay time.Duration
	// StaleBy is the age of the data in the lists and watches of clients that accept stale data.
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
	// token stands for the text that clients read in place of the object, empty for none.
	token string
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
	// compactedRev is the revision up to which the history has been removed.
	compactedRev int64
	faults       Faults
	changed      chan struct{}
	calls        int
	observer     func(Change)
	// undoLog holds the objects that the changes within undoWindow replaced, oldest first.
	undoLog []undoEntry
	// era is incremented each time the store is restored from an older snapshot. If it is 0,
	// responses do not state it.
	era int64
	// eraText replaces the era in responses if it is not empty.
	eraText string
	// rawEntries are the texts of entries of other writers, by token.
	rawEntries map[string]string
}

// headerEra states the era in all responses of a store that counts eras.
const headerEra = "Store-Era"

// undoEntry is the state of an object and the revision of the store before a change.
type undoEntry struct {
	kind, name string
	old        object
	existed    bool
	rev        int64
	at         time.Time
}

// undoWindow is the maximum age of the data in stale responses, and of a snapshot that Restore
// returns to.
const undoWindow = 10 * time.Second

// Change is one change of an object.
type Change struct {
	Kind, Name string
	Spec       json.RawMessage
	Deleted    bool
}

// SetObserver sets the function that is called for every change, in order. The function must not use
// the store. SetObserver must be called before the first change.
func (s *Server) SetObserver(f func(Change)) { s.observer = f }

// New returns an empty store.
func New() *Server {
	return &Server{objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// SetFaults replaces the simulated failures.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeWatches()
}

// DropHistory removes the history. Watches that continue from an older revision fail with 410 and must
// list again.
func (s *Server) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRev = nil, s.rev
	s.wakeWatches()
}

// SetEra sets the era and has the store state it in all further responses.
func (s *Server) SetEra(era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// SetEraText replaces the era in responses by text, which may be invalid. If text is empty, responses
// state the era again.
func (s *Server) SetEraText(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eraText = text
}

// Restore returns the store to its state of the given time ago, as if it had been restored from an older
// snapshot. The age must not exceed undoWindow. Later writes are lost, their revisions are assigned
// again, and the era is incremented.
func (s *Server) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now().Add(-age)
	kinds := slices.Collect(maps.Keys(s.objects))
	objects, rev := map[string]map[string]object{}, s.rev
	for _, kind := range kinds {
		objects[kind], rev = s.objectsAsOf(kind, at)
	}
	s.objects, s.rev = objects, rev
	s.undoLog = slices.DeleteFunc(s.undoLog, func(u undoEntry) bool { return u.at.After(at) })
	s.history = slices.DeleteFunc(s.history, func(e event) bool { return e.rev > rev })
	s.compactedRev = min(s.compactedRev, rev)
	s.era++
	s.wakeWatches()
}

// eraHeaderValue returns the value of headerEra, empty if responses do not have this header.
func (s *Server) eraHeaderValue() string {
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

// Calls returns the number of calls received.
func (s *Server) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Set writes an object directly, without a call and regardless of simulated failures.
func (s *Server) Set(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a caller passed a value that has no JSON encoding
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, raw)
}

// Remove deletes an object directly, without a call and regardless of simulated failures.
func (s *Server) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// wakeWatches makes all waiting watches check for events and failures. The caller holds s.mu.
func (s *Server) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put creates or replaces an object. The caller holds s.mu.
func (s *Server) put(kind, name string, spec json.RawMessage) object {
	return s.putObject(kind, name, spec, "")
}

func (s *Server) putObject(kind, name string, spec json.RawMessage, token string) object {
	s.recordUndo(kind, name)
	s.rev++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, ok := s.objects[kind][name]
	if !ok {
		o.Metadata = meta{Name: name, Created: s.rev, Finalizers: []string{}}
	}
	o.Metadata.Revision, o.Spec, o.token = s.rev, spec, token
	s.objects[kind][name] = o
	s.history = append(s.history, event{Object: o, kind: kind, rev: s.rev})
	s.notifyObserver(Change{Kind: kind, Name: name, Spec: spec})
	s.wakeWatches()
	return o
}

// recordUndo adds the present state of an object, which is about to change, to the undo log. The caller
// holds s.mu.
func (s *Server) recordUndo(kind, name string) {
	now := time.Now()
	for len(s.undoLog) > 0 && now.Sub(s.undoLog[0].at) > undoWindow {
		s.undoLog = s.undoLog[1:]
	}
	old, existed := s.objects[kind][name]
	s.undoLog = append(s.undoLog, undoEntry{kind, name, old, existed, s.rev, now})
}

// objectsAsOf returns the objects of a kind and the revision of the store as of the given time, which
// must be within undoWindow. The caller holds s.mu.
func (s *Server) objectsAsOf(kind string, at time.Time) (map[string]object, int64) {
	objects, rev := maps.Clone(s.objects[kind]), s.rev
	if objects == nil {
		objects = map[string]object{}
	}
	for _, u := range slices.Backward(s.undoLog) {
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

// notifyObserver passes a change to the observer. The caller holds s.mu.
func (s *Server) notifyObserver(c Change) {
	if s.observer != nil {
		s.observer(c)
	}
}

// remove deletes an object if it exists. The caller holds s.mu.
func (s *Server) remove(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.recordUndo(kind, name)
	s.rev++
	delete(s.objects[kind], name)
	s.history = append(s.history, event{Object: o, Deleted: true, kind: kind, rev: s.rev})
	s.notifyObserver(Change{Kind: kind, Name: name, Deleted: true})
	s.wakeWatches()
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.HandlerFor("", Addresses{}).ServeHTTP(w, r)
}

// eventsAfter returns the events of a kind with a revision above since and up to upTo. The caller
// holds s.mu.
func (s *Server) eventsAfter(kind string, since, upTo int64) []event {
	var out []event
	for _, e := range s.history {
		if e.kind == kind && e.rev > since && e.rev <= upTo {
			out = append(out, e)
		}
	}
	return out
}

// applyWrite executes a write if its condition on the revision of the object holds. It returns the HTTP
// status and the object of the response.
func (s *Server) applyWrite(r *http.Request, kind, name string, body []byte) (int, object) {
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
	wantRevision := in.Metadata.Revision
	if r.Method == http.MethodDelete {
		wantRevision, _ = strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && exists:
		return http.StatusConflict, old
	case r.Method != http.MethodPost && !exists:
		return http.StatusNotFound, object{}
	case r.Method != http.MethodPost && wantRevision != 0 && wantRevision != old.Metadata.Revision:
		return http.StatusConflict, old
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, old
	}
	return http.StatusOK, s.put(kind, name, in.Spec)
}
