// Package feed keeps the newest version of a set of objects for followers in other processes. A
// follower sends the position up to which its replica is complete, and receives the objects that
// have changed since, each one once, however often it changed.
package feed

import (
	"slices"
	"sort"
	"sync"

	"github.com/rockdoor/rockdoor/objstore"
)

// maxRemoved is how many removals are remembered. An older follower receives a full update. The
// replacement of every engine of a large fleet makes some hundred removals.
const maxRemoved = 512

// Position says up to where a replica of a feed is complete. The zero Position is that of an empty
// replica.
type Position struct {
	// RunID identifies the run of the process that has the feed; positions of different runs are
	// not comparable.
	RunID string
	// Sequence is the number of the newest change that the replica has.
	Sequence uint64
}

// Update holds the changes since a position.
type Update struct {
	Position Position
	// Full is true if Events hold all existing objects.
	Full bool
	// Events are in the order of the changes. Unless it is a removal, an event holds the current
	// version of the object.
	Events []objstore.Event
}

// Feed is a set of objects and the log of their changes. It is safe for concurrent use.
type Feed struct {
	runID string

	mu       sync.Mutex
	sequence uint64
	// changes has the newest change of each key.
	changes map[string]change
	// log has the changes in their order, including some that later changes have superseded.
	log []keyPosition
	// removed are the keys of the removals in their order. forgottenUpTo is the sequence number
	// of the newest removal that has been forgotten.
	removed       []string
	forgottenUpTo uint64
	changed       chan struct{}
}

// change is the newest change of a key.
type change struct {
	event    objstore.Event
	sequence uint64
}

// keyPosition is an entry of the log: the key and the sequence number of a change.
type keyPosition struct {
	key      string
	sequence uint64
}

// New returns an empty feed. run must differ for each start of a process.
func New(run string) *Feed {
	return &Feed{runID: run, changes: map[string]change{}, changed: make(chan struct{})}
}

// Put adds or replaces an object.
func (f *Feed) Put(obj objstore.Object) { f.Apply([]objstore.Event{{Object: obj}}) }

// Remove removes an object. Its key is remembered for a while so that followers receive the removal.
func (f *Feed) Remove(key string) {
	f.Apply([]objstore.Event{{Object: objstore.Object{Key: key}, Deleted: true}})
}

// Apply applies changes in their order. Followers see all of them or none, so that those that poll
// after a burst of changes are at the same position and can share one encoded update.
func (f *Feed) Apply(events []objstore.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.sequence
	for _, e := range events {
		f.add(e)
	}
	f.compact()
	if f.sequence > before {
		f.wake()
	}
}

// Wake wakes those that wait for a change, without one.
func (f *Feed) Wake() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wake()
}

// wake wakes those that wait for a change. The caller holds the lock.
func (f *Feed) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// VersionOf returns the version of an object, 0 if it does not exist.
func (f *Feed) VersionOf(key string) objstore.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.changes[key]; !c.event.Deleted {
		return c.event.Object.Version
	}
	return 0
}

// add applies one change. The caller holds the lock.
func (f *Feed) add(e objstore.Event) {
	if e.Deleted {
		c, known := f.changes[e.Object.Key]
		if !known || c.event.Deleted {
			return
		}
		e.Object = objstore.Object{Key: e.Object.Key, Version: c.event.Object.Version}
	}
	f.sequence++
	f.changes[e.Object.Key] = change{e, f.sequence}
	f.log = append(f.log, keyPosition{e.Object.Key, f.sequence})
	if e.Deleted {
		f.removed = append(f.removed, e.Object.Key)
		f.forgetRemovals()
	}
}

// forgetRemovals drops the oldest removals beyond maxRemoved. The caller holds the lock.
func (f *Feed) forgetRemovals() {
	for len(f.removed) > maxRemoved {
		key := f.removed[0]
		f.removed = f.removed[1:]
		if c := f.changes[key]; c.event.Deleted {
			f.forgottenUpTo = max(f.forgottenUpTo, c.sequence)
			delete(f.changes, key)
		}
	}
}

// minCompactLength is the length of the log from which on superseded changes are dropped.
const minCompactLength = 1024

// compact drops the superseded changes once they are half of the log. The caller holds the lock.
func (f *Feed) compact() {
	if len(f.log) < minCompactLength || len(f.log) < 2*len(f.changes) {
		return
	}
	f.log = slices.DeleteFunc(f.log, func(o keyPosition) bool { return f.changes[o.key].sequence != o.sequence })
}

// Since returns the changes since a position, and a channel that is closed at the next change. Its
// cost depends on the number of these changes, not of all objects: hundreds of followers poll after
// each change.
func (f *Feed) Since(p Position) (Update, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := Update{Position: Position{f.runID, f.sequence}}
	u.Full = p.RunID != f.runID || p.Sequence < f.forgottenUpTo || p.Sequence > f.sequence
	missing := f.log
	if !u.Full {
		missing = f.after(p.Sequence)
	}
	for _, o := range missing {
		c := f.changes[o.key]
		if c.sequence == o.sequence && !(u.Full && c.event.Deleted) {
			u.Events = append(u.Events, c.event)
		}
	}
	return u, f.changed
}

// RunID returns the ID of the run of the process that has the feed.
func (f *Feed) RunID() string { return f.runID }

// Sequence returns the sequence number of the newest change.
func (f *Feed) Sequence() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sequence
}

// after returns the changes after a sequence number. The caller holds the lock.
func (f *Feed) after(sequence uint64) []keyPosition {
	first := sort.Search(len(f.log), func(n int) bool { return f.log[n].sequence > sequence })
	return f.log[first:]
}
