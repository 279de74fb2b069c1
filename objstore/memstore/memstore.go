// Package memstore is an in-memory object API for tests and simulations. Its calls
// can be made to fail in the ways in which those of a real store fail.
package memstore

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/objstore"
)

// maxEvents is how many past events are kept for watches to resume from.
const maxEvents = 4096

// Op names a call of the object API.
type Op string

// Calls of the object API.
const (
	OpGet    Op = "get"
	OpList   Op = "list"
	OpPut    Op = "put"
	OpDelete Op = "delete"
	OpWatch  Op = "watch"
)

// Failure says how a call fails.
type Failure int

// Failures of a call.
const (
	// NoFailure means that the call does not fail.
	NoFailure Failure = iota
	// Rejects means that the call has no effect and fails with Unavailable.
	Rejects
	// LosesRequest means that a write has no effect and fails with Unknown.
	LosesRequest
	// LosesResponse means that a write takes effect and fails with Unknown.
	LosesResponse
)

// Store implements objstore.Store in memory. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	objects map[string]objstore.Object
	events  []objstore.Event
	rev     objstore.Revision
	wake    chan struct{}
	fail    func(op Op, key string) Failure
	calls   map[Op]int
}

var _ objstore.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{objects: map[string]objstore.Object{}, wake: make(chan struct{}), calls: map[Op]int{}}
}

// FailWith sets the function that decides how each call fails; with nil, no call
// fails. f must not call the store.
func (s *Store) FailWith(f func(op Op, key string) Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fail = f
	s.broadcast()
}

// Down is a function for FailWith that makes every call fail with Unavailable.
func Down(Op, string) Failure { return Rejects }

// Calls returns the number of calls of each kind so far.
func (s *Store) Calls() map[Op]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[Op]int{}
	for k, n := range s.calls {
		out[k] = n
	}
	return out
}

// begin counts a call and returns how it fails. The caller holds s.mu.
func (s *Store) begin(op Op, key string) Failure {
	s.calls[op]++
	return s.failure(op, key)
}

func (s *Store) failure(op Op, key string) Failure {
	if s.fail == nil {
		return NoFailure
	}
	return s.fail(op, key)
}

func refused() error {
	return fault.New(fault.Unavailable, "store refused the call", "wait and repeat it")
}

func lostResponse() error {
	return fault.New(fault.Unknown, "answer of the store was lost", "read the object back")
}

// broadcast wakes all watches. The caller holds s.mu.
func (s *Store) broadcast() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// Get implements objstore.Store.
func (s *Store) Get(_ context.Context, key string) (objstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begin(OpGet, key) != NoFailure {
		return objstore.Object{}, refused()
	}
	obj, ok := s.objects[key]
	if !ok {
		return objstore.Object{}, fault.New(fault.NotFound, key+" does not exist", "check the name")
	}
	return obj, nil
}

// List implements objstore.Store.
func (s *Store) List(_ context.Context, prefix string) ([]objstore.Object, objstore.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begin(OpList, prefix) != NoFailure {
		return nil, 0, refused()
	}
	out := []objstore.Object{}
	for k, obj := range s.objects {
		if strings.HasPrefix(k, prefix) {
			out = append(out, obj)
		}
	}
	slices.SortFunc(out, func(a, b objstore.Object) int { return strings.Compare(a.Key, b.Key) })
	return out, s.rev, nil
}

// Put implements objstore.Store.
func (s *Store) Put(_ context.Context, key string, value []byte, ifVersion objstore.Version, writeID string) (objstore.Object, error) {
	if len(value) > objstore.MaxValueBytes {
		return objstore.Object{}, fault.New(fault.Invalid, "value of "+key+" is too large", "split it")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.begin(OpPut, key) {
	case Rejects:
		return objstore.Object{}, refused()
	case LosesRequest:
		return objstore.Object{}, lostResponse()
	case LosesResponse:
		_, _ = s.put(key, value, ifVersion, writeID)
		return objstore.Object{}, lostResponse()
	}
	return s.put(key, value, ifVersion, writeID)
}

func (s *Store) put(key string, value []byte, ifVersion objstore.Version, writeID string) (objstore.Object, error) {
	if s.objects[key].Version != ifVersion {
		return objstore.Object{}, conflict(key)
	}
	s.rev++
	obj := objstore.Object{Key: key, Value: slices.Clone(value), Version: objstore.Version(s.rev), WriteID: writeID}
	s.objects[key] = obj
	s.record(objstore.Event{Object: obj, Revision: s.rev})
	return obj, nil
}

func conflict(key string) error {
	return fault.New(fault.Conflict, key+" was changed by another writer", "read it again and repeat the change")
}

// record appends an event and wakes all watches. The caller holds s.mu.
func (s *Store) record(ev objstore.Event) {
	s.events = append(s.events, ev)
	if drop := len(s.events) - maxEvents; drop > 0 {
		s.events = s.events[drop:]
	}
	s.broadcast()
}

// Delete implements objstore.Store.
func (s *Store) Delete(_ context.Context, key string, ifVersion objstore.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.begin(OpDelete, key) {
	case Rejects:
		return refused()
	case LosesRequest:
		return lostResponse()
	case LosesResponse:
		_ = s.delete(key, ifVersion)
		return lostResponse()
	}
	return s.delete(key, ifVersion)
}

func (s *Store) delete(key string, ifVersion objstore.Version) error {
	obj, ok := s.objects[key]
	if !ok {
		return fault.New(fault.NotFound, key+" does not exist", "check the name")
	}
	if obj.Version != ifVersion {
		return conflict(key)
	}
	s.rev++
	delete(s.objects, key)
	s.record(objstore.Event{Object: obj, Deleted: true, Revision: s.rev})
	return nil
}

// Watch implements objstore.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after objstore.Revision, wait time.Duration) ([]objstore.Event, objstore.Revision, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	s.mu.Lock()
	s.calls[OpWatch]++
	s.mu.Unlock()
	for {
		events, rev, wake, err := s.changes(prefix, after)
		if err != nil || len(events) > 0 {
			return events, rev, err
		}
		select {
		case <-wake:
		case <-deadline.C:
			return nil, rev, nil
		case <-ctx.Done():
			return nil, after, fault.Wrap(ctx.Err(), fault.Unavailable, "watch ended", "watch again")
		}
	}
}

func (s *Store) changes(prefix string, after objstore.Revision) ([]objstore.Event, objstore.Revision, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure(OpWatch, prefix) != NoFailure {
		return nil, after, nil, refused()
	}
	if len(s.events) == maxEvents && s.events[0].Revision > after+1 {
		return nil, after, nil, objstore.ErrWatchGap
	}
	var events []objstore.Event
	for _, ev := range s.events {
		if ev.Revision > after && strings.HasPrefix(ev.Object.Key, prefix) {
			events = append(events, ev)
		}
	}
	return events, max(s.rev, after), s.wake, nil
}
