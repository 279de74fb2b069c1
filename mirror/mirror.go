// Package mirror keeps a read-only replica of a small key prefix of the object API in every
// process, at a cost to the store that does not grow with the fleet. A few watchers read the store;
// all other processes replicate from peers. A replica is exact as of one revision, and its revision
// never goes back.
//
// A replica also knows its age: the time since the store last confirmed, to any process, that it
// held nothing newer. Confirmations travel with the replicated data.
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

// maxLogLength is how many recent events are kept to answer requests for deltas.
const maxLogLength = 1024

// NoRevision is the revision of an empty mirror.
const NoRevision objstore.Revision = -1

// NeverConfirmed is the age of a mirror that was never confirmed.
const NeverConfirmed = time.Duration(1<<63 - 1)

// Delta carries a snapshot of a mirror, or the changes since a revision, to another process.
type Delta struct {
	// Base is the revision that the events follow. It is ignored if Full is true.
	Base objstore.Revision
	// Revision is the revision up to which the delta is complete.
	Revision objstore.Revision
	// Age is the time since the store confirmed the sender's data.
	Age time.Duration
	// Full is true if Events hold all objects.
	Full   bool
	Events []objstore.Event
}

// Mirror is a replica of the objects below a key prefix. It is safe for concurrent use.
type Mirror struct {
	prefix string

	mu          sync.RWMutex
	rev         objstore.Revision
	objects     map[string]objstore.Object
	log         []objstore.Event
	logBase     objstore.Revision // the log holds all events after this revision
	confirmed   bool
	confirmedAt bootclock.Instant
	changed     chan struct{} // closed and replaced at each change
}

// New returns an empty mirror of the keys that start with prefix.
func New(prefix string) *Mirror {
	return &Mirror{prefix: prefix, objects: map[string]objstore.Object{}, rev: NoRevision, logBase: NoRevision, changed: make(chan struct{})}
}

// Prefix returns the prefix of the mirrored keys.
func (m *Mirror) Prefix() string { return m.prefix }

// Revision returns the revision of the mirror, or NoRevision.
func (m *Mirror) Revision() objstore.Revision {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.rev
}

// Age returns the time since the store last confirmed that it held nothing newer.
func (m *Mirror) Age() time.Duration {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.age()
}

func (m *Mirror) age() time.Duration {
	if !m.confirmed {
		return NeverConfirmed
	}
	return bootclock.Since(m.confirmedAt)
}

// Changed returns a channel that is closed at the next change.
func (m *Mirror) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// Get returns the object with the given key.
func (m *Mirror) Get(key string) (objstore.Object, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	o, ok := m.objects[key]
	return o, ok
}

// List returns the objects whose keys start with prefix, ordered by key.
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

// Since returns the changes since the given revision, or all objects if the log does not reach
// back that far.
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

// Apply applies a delta and reports whether the revision rose. A delta that is older than the
// mirror, or that starts after the mirror's revision, has no effect.
func (m *Mirror) Apply(d Delta) bool {
	now := bootclock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if d.Revision == NoRevision || d.Revision < m.rev || (!d.Full && d.Base > m.rev) {
		return false
	}
	m.recordConfirmation(now, d.Age)
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

// Confirm records that a mirror of the same revision in another process has the given age.
func (m *Mirror) Confirm(rev objstore.Revision, age time.Duration) {
	now := bootclock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if rev == m.rev {
		m.recordConfirmation(now, age)
	}
}

// recordConfirmation moves the time of the last confirmation forward. The caller holds m.mu.
func (m *Mirror) recordConfirmation(now bootclock.Instant, age time.Duration) {
	if age == NeverConfirmed {
		return
	}
	at := now.Add(-age)
	if !m.confirmed || at > m.confirmedAt {
		m.confirmed, m.confirmedAt = true, at
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
	if drop := len(m.log) - maxLogLength; drop > 0 {
		m.logBase = m.log[drop-1].Revision
		m.log = slices.Clone(m.log[drop:])
	}
}
