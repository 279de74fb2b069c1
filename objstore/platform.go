// Package objstore defines the interfaces to the platform: the object API, which
// stores small versioned objects, and the list of hosts. An adapter to another
// object API implements Store; see package httpapi.
package objstore

import (
	"context"
	"time"

	"github.com/rockdoor/rockdoor/fault"
)

// MaxValueBytes is the size of the largest value that the object API accepts.
const MaxValueBytes = 1 << 20

// Version identifies one write of an object and orders the writes of that object, across all eras
// of the store. The zero Version stands for an object that does not exist.
type Version int64

// Revision orders all writes to the object API, across all eras of the store. It is used to resume
// a watch.
type Revision int64

// Object is one stored object.
type Object struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value"`
	Version Version `json:"version"`
	// WriteID is the ID that the writer assigned to this write. A writer that
	// received no response reads the object back and compares the ID to find out
	// whether the write took effect.
	WriteID string `json:"writeID"`
}

// Event is one change that a watch reports.
type Event struct {
	Object   Object   `json:"object"`
	Deleted  bool     `json:"deleted"`
	Revision Revision `json:"revision"`
}

// Store is the object API. All methods honour the deadline of their context.
//
// Errors are of package fault: NotFound, Conflict (the condition failed and the
// write had no effect), Unavailable (the call had no effect) and Unknown (a write
// may or may not have taken effect).
type Store interface {
	// Get returns one object.
	Get(ctx context.Context, key string) (Object, error)
	// List returns all objects whose key starts with prefix, and the revision
	// from which a watch continues without a gap.
	List(ctx context.Context, prefix string) ([]Object, Revision, error)
	// Put writes value if the object's version is still ifVersion.
	Put(ctx context.Context, key string, value []byte, ifVersion Version, writeID string) (Object, error)
	// Delete removes the object if its version is still ifVersion.
	Delete(ctx context.Context, key string, ifVersion Version) error
	// Watch waits up to wait for changes to keys with the given prefix after the
	// given revision. It returns the events in order and the revision up to which
	// the events are complete. It returns no events when the wait ends without a change,
	// and ErrWatchGap when the revision is too old to continue from.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
}

// HostState is the state of a host as the platform reports it, with a delay.
type HostState string

// States in the platform's list of hosts.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the platform's list of hosts.
type Host struct {
	Address string    `json:"address"`
	State   HostState `json:"state"`
}

// HostLister reads the platform's list of live and leaving hosts. The list lags
// behind the actual state.
type HostLister interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// ErrWatchGap means that the store no longer has all changes since the given
// revision. The watcher must list again.
var ErrWatchGap = fault.New(fault.Conflict, "watch revision is no longer available", "list again and watch from the revision of the list")

// DefaultCallTimeout is the default timeout of a call other than Watch.
const DefaultCallTimeout = 2 * time.Second
