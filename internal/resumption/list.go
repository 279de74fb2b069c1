package resumption

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/objstore"
)

const (
	// readGap is the minimum time between two reads of the list by one process, as a share for each process of the fleet.
	// maxReadGap limits it.
	readGap    = 2 * time.Millisecond
	maxReadGap = 500 * time.Millisecond
)

// versionList reads the list of versions in the store. Callers share reads, but a read never begins before a caller that gets its
// result has asked for it. It is safe for concurrent use.
type versionList struct {
	o StoreOptions
	// processes returns the number of processes of the fleet.
	processes func() int

	mu sync.Mutex
	// next is the read that has not begun, nil if nobody waits for one. running is the read under way.
	next, running *listRead
	begunAt       time.Time
}

// listRead is one read of the list. Its result is set once done is closed.
type listRead struct {
	done     chan struct{}
	versions storedVersions
	err      error
}

// listResult is the result of a read.
type listResult struct {
	versions storedVersions
	err      error
}

// evidence returns what the list says of a service's versions during the life of a stream. A version counts for a while after it
// was last seen, since processes whose registrations are out of date may use it.
func (l *listResult) evidence(service string, life time.Duration, r *Registry) Evidence {
	if l.err != nil {
		return Evidence{}
	}
	now := r.list.o.Clock()
	return Evidence{
		Versions: l.versions.evidence(service, now, life+r.o.StaleAfter).Versions,
		Complete: l.versions.evidence(service, now, life).Complete,
	}
}

// read returns the list as it was after the call began, or later.
func (l *versionList) read(ctx context.Context) (storedVersions, error) {
	l.mu.Lock()
	read := l.next
	if read == nil {
		read = &listRead{done: make(chan struct{})}
		l.next = read
		go l.run(read, l.running)
	}
	l.mu.Unlock()
	select {
	case <-read.done:
		return read.versions, read.err
	case <-ctx.Done():
		return storedVersions{}, fault.Wrap(ctx.Err(), fault.Unavailable, "send the request again", "list of versions not read")
	}
}

// run carries out a read once the one before has ended.
func (l *versionList) run(read, before *listRead) {
	if before != nil {
		<-before.done
	}
	l.mu.Lock()
	wait := min(time.Duration(l.processes())*readGap, maxReadGap) - time.Since(l.begunAt)
	l.mu.Unlock()
	time.Sleep(wait)
	l.mu.Lock()
	l.next, l.running, l.begunAt = nil, read, time.Now()
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	read.versions, _, read.err = getVersions(ctx, l.o)
	close(read.done)
}

// getVersions reads the list of versions. It is empty if nobody has written it.
func getVersions(ctx context.Context, o StoreOptions) (v storedVersions, at objstore.Version, err error) {
	obj, err := o.Store.Get(ctx, o.Prefix+versionsName)
	if fault.Is(err, fault.NotFound) {
		return v, 0, nil
	}
	if err != nil {
		return v, 0, err
	}
	err = json.Unmarshal(obj.Value, &v)
	return v, obj.Version, err
}
