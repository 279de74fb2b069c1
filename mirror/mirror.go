// Package mirror keeps a read-only copy of a small prefix of the object API in
// every process at a cost to the store that does not grow with the fleet. A few
// watchers read the store; all others copy from peers. Each copy is exact as of
// one revision and only moves forward.
//
// A copy also knows its age: how long ago it was last proven, at some process,
// that the store held nothing newer. Proofs travel with the copies.
package mirror

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/objstore"
)

// logLength is how many recent events are kept to serve deltas.
const logLength = 1024

// NoRevision is the revision of a mirror that has no copy yet.
const NoRevision objstore.Revision = -1

// NeverConfirmed is the age of a copy that was never proven.
const NeverConfirmed = time.Duration(1<<63 - 1)

// Delta carries a copy, or what changed in it, from one process to another.
type Delta struct {
	// Base is the revision that the events follow on. It is ignored if Full.
	Base objstore.Revision
	// Revision is the revision up to which the delta is complete.
	Revision objstore.Revision
	// Age is the age of the sender's proof.
	Age time.Duration
	// Full is true if Events hold the whole copy.
	Full   bool
	Events []objstore.Event
}

// Mirror is the copy. It is safe for concurrent use.
type Mirror struct {
	prefix string

	mu       sync.RWMutex
	rev      objstore.Revision
	objects  map[string]objstore.Object
	log      []objstore.Event
	logBase  objstore.Revision // the log holds all events after it
	proven   bool
	provenAt bootclock.Instant
	changed  chan struct{} // closed and replaced at each change
}

// New returns an empty mirror of the keys below prefix.
func New(prefix string) *Mirror {
	return &Mirror{prefix: prefix, objects: map[string]objstore.Object{}, rev: NoRevision, logBase: NoRevision, changed: make(chan struct{})}
}

// Prefix returns the prefix of the mirrored keys.
func (m *Mirror) Prefix() string { return m.prefix }

// Revision returns the revision of the copy, or None.
func (m *Mirror) Revision() objstore.Revision {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.rev
}

// Age returns how long ago it was proven that nothing newer existed.
func (m *Mirror) Age() time.Duration {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.age()
}

func (m *Mirror) age() time.Duration {
	if !m.proven {
		return NeverConfirmed
	}
	return bootclock.Since(m.provenAt)
}

// Changed returns a channel that is closed at the next change.
func (m *Mirror) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// Get returns one object of the copy.
func (m *Mirror) Get(key string) (objstore.Object, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	o, ok := m.objects[key]
	return o, ok
}

// List returns the objects whose key starts with prefix, ordered by key.
func (m *Mirror) List(prefix string) []objstore.Object {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var out []objstore.Object
	for k, o := range m.objects {
		if strings.HasPrefix(k, prefix) {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b objstore.Object) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// Since returns what a copy at revision after lacks.
func (m *Mirror) Since(after objstore.Revision) Delta {
	m.mu.RLock()
	defer m.mu.RUnlock()
	d := Delta{Base: after, Revision: m.rev, Age: m.age()}
	if after >= m.logBase && after > NoRevision {
		for _, e := range m.log {
			if e.Revision > after {
				d.Events = append(d.Events, e)
			}
		}
		return d
	}
	d.Full = true
	for _, k := range slices.Sorted(maps.Keys(m.objects)) {
		d.Events = append(d.Events, objstore.Event{Object: m.objects[k], Revision: m.rev})
	}
	return d
}

// Apply brings the copy forward to a delta. It returns true if the copy moved.
// A delta that is older than the copy, or does not connect to it, has no effect.
func (m *Mirror) Apply(d Delta) bool {
	now := bootclock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if d.Revision == NoRevision || d.Revision < m.rev || (!d.Full && d.Base > m.rev) {
		return false
	}
	m.prove(now, d.Age)
	if d.Revision == m.rev {
		return false
	}
	if d.Full {
		m.replace(d)
	} else {
		m.advance(d)
	}
	m.rev = d.Revision
	close(m.changed)
	m.changed = make(chan struct{})
	return true
}

// Confirm records that a copy of the same revision elsewhere has the given age.
func (m *Mirror) Confirm(rev objstore.Revision, age time.Duration) {
	now := bootclock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if rev == m.rev {
		m.prove(now, age)
	}
}

// prove moves the time of the last proof forward. The caller holds m.mu.
func (m *Mirror) prove(now bootclock.Instant, age time.Duration) {
	if age == NeverConfirmed {
		return
	}
	at := now.Add(-age)
	if !m.proven || at > m.provenAt {
		m.proven, m.provenAt = true, at
	}
}

func (m *Mirror) replace(d Delta) {
	m.objects = make(map[string]objstore.Object, len(d.Events))
	for _, e := range d.Events {
		m.objects[e.Object.Key] = e.Object
	}
	m.log, m.logBase = nil, d.Revision
}

func (m *Mirror) advance(d Delta) {
	for _, e := range d.Events {
		if e.Revision <= m.rev {
			continue
		}
		if e.Deleted {
			delete(m.objects, e.Object.Key)
		} else {
			m.objects[e.Object.Key] = e.Object
		}
		m.log = append(m.log, e)
	}
	if drop := len(m.log) - logLength; drop > 0 {
		m.logBase = m.log[drop-1].Revision
		m.log = slices.Clone(m.log[drop:])
	}
}
