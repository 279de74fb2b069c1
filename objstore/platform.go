// Package objstore defines the narrow interface to an object store and its kin:
// the object API, the list of hosts and the weight store. An adapter for
// another object API implements Store in one file; see package httpapi.
package objstore

import (
	"context"
	"time"

	"github.com/rockdoor/rockdoor/fault"
)

// MaxValueBytes is the largest value that the object API holds.
const MaxValueBytes = 1 << 20

// Version identifies one write of an object and orders it among the others, over all eras of
// the store. The zero Version stands for an object that does not exist.
type Version int64

// Revision orders all writes of the object API, over all eras of the store. It is used to resume a
// watch.
type Revision int64

// Object is one stored object.
type Object struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value"`
	Version Version `json:"version"`
	// WriteID is the id that the writer gave to this write. A writer whose
	// answer was lost reads it back to learn whether the write took effect.
	WriteID string `json:"writeID"`
}

// Event is one change seen by a watch.
type Event struct {
	Object   Object   `json:"object"`
	Deleted  bool     `json:"deleted"`
	Revision Revision `json:"revision"`
}

// Store is the object API. All methods honour the deadline of their context.
//
// Errors are of package fault: NotFound, Conflict (the condition failed, the
// write had no effect), Unavailable (no effect) and Unknown (a write may or may
// not have taken effect).
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
	// Watch waits up to wait for changes after the given revision below prefix.
	// It returns the events in order and the revision up to which they are
	// complete, no events when its time is up, and ErrWatchGap when the revision
	// is too old to continue from.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
}

// HostState is the platform's own view of a host. It lags behind the truth.
type HostState string

// States in the platform's list of hosts.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the platform's lagging list of hosts.
type Host struct {
	Address string    `json:"address"`
	State   HostState `json:"state"`
}

// HostLister reads the platform's lagging list of live and leaving hosts.
type HostLister interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// ErrWatchGap means that changes were missed; the watcher has to list again.
var ErrWatchGap = fault.New(fault.Conflict, "watch revision is no longer held", "list again and watch from the revision of the list")

// DefaultCallTimeout bounds one call other than Watch.
const DefaultCallTimeout = 2 * time.Second
