// Package feed keeps the newest version of a set of objects for processes that copy it: a
// copy states the position up to which it is complete and gets what has changed since, each
// object once, however often it changed.
package feed

import (
	"slices"
	"sort"
	"sync"

	"github.com/rockdoor/rockdoor/objstore"
)

// maxRemoved is how many removals are remembered. A copy that is older gets everything. At
// a replacement of each engine of a large fleet there are some hundred.
const maxRemoved = 512

// Position is up to where a copy of a feed is complete. The zero Position is that of a copy
// with nothing in it.
type Position struct {
	// RunID names the feed; positions of two runs don't compare.
	RunID    string
	Sequence uint64
}

// Update is what a copy lacks.
type Update struct {
	Position Position
	// Full is true if Events hold everything that there is.
	Full bool
	// Events are in the order of the changes. An event that is not a removal holds the
	// object as it is now.
	Events []objstore.Event
}

// Feed is the set of objects. It is safe for concurrent use.
type Feed struct {
	run string

	mu sync.Mutex
	at uint64
	// changes has the newest change of each key.
	changes map[string]change
	// order has all changes in their order, also some that later ones of their key have replaced.
	order []ordered
	// removed are the keys of removals in their order, floor the position of the newest
	// removal that has been forgotten.
	removed []string
	floor   uint64
	changed chan struct{}
}

// change is the newest change of one key.
type change struct {
	event objstore.Event
	at    uint64
}

// ordered is the position of a change of a key.
type ordered struct {
	key string
	at  uint64
}

// New returns an empty feed. run differs for each start of a process.
func New(run string) *Feed {
	return &Feed{run: run, changes: map[string]change{}, changed: make(chan struct{})}
}

// Put adds an object or replaces it.
func (f *Feed) Put(obj objstore.Object) { f.Apply([]objstore.Event{{Object: obj}}) }

// Remove takes an object out. The key alone stays.
func (f *Feed) Remove(key string) {
	f.Apply([]objstore.Event{{Object: objstore.Object{Key: key}, Deleted: true}})
}

// Apply takes in changes in their order. Those that copy see all of them or none, so that copies which ask
// after a flood of changes are at the same position, and one packed update serves them all.
func (f *Feed) Apply(events []objstore.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.at
	for _, e := range events {
		f.add(e)
	}
	f.compact()
	if f.at > before {
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// add takes in one change. The caller holds the lock.
func (f *Feed) add(e objstore.Event) {
	if e.Deleted {
		c, known := f.changes[e.Object.Key]
		if !known || c.event.Deleted {
			return
		}
		e.Object = objstore.Object{Key: e.Object.Key, Version: c.event.Object.Version}
	}
	f.at++
	f.changes[e.Object.Key] = change{e, f.at}
	f.order = append(f.order, ordered{e.Object.Key, f.at})
	if e.Deleted {
		f.removed = append(f.removed, e.Object.Key)
		f.forget()
	}
}

// forget drops the oldest removals beyond the bound. The caller holds the lock.
func (f *Feed) forget() {
	for len(f.removed) > maxRemoved {
		key := f.removed[0]
		f.removed = f.removed[1:]
		if c := f.changes[key]; c.event.Deleted {
			f.floor = max(f.floor, c.at)
			delete(f.changes, key)
		}
	}
}

// leastOrder is from how many changes on replaced ones are dropped.
const leastOrder = 1024

// compact drops the replaced changes once most are. The caller holds the lock.
func (f *Feed) compact() {
	if len(f.order) < leastOrder || len(f.order) < 2*len(f.changes) {
		return
	}
	f.order = slices.DeleteFunc(f.order, func(o ordered) bool { return f.changes[o.key].at != o.at })
}

// Since returns what a copy at a position lacks, and a channel that is closed at the next
// change. It costs what the copy lacks, not what there is: hundreds of copies ask after each change.
func (f *Feed) Since(p Position) (Update, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := Update{Position: Position{f.run, f.at}}
	u.Full = p.RunID != f.run || p.Sequence < f.floor || p.Sequence > f.at
	lacks := f.order
	if !u.Full {
		lacks = f.after(p.Sequence)
	}
	for _, o := range lacks {
		c := f.changes[o.key]
		if c.at == o.at && !(u.Full && c.event.Deleted) {
			u.Events = append(u.Events, c.event)
		}
	}
	return u, f.changed
}

// RunID names the feed.
func (f *Feed) RunID() string { return f.run }

// Sequence returns the position of the newest change.
func (f *Feed) Sequence() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.at
}

// after returns the changes after a position. The caller holds the lock.
func (f *Feed) after(at uint64) []ordered {
	first := sort.Search(len(f.order), func(n int) bool { return f.order[n].at > at })
	return f.order[first:]
}
