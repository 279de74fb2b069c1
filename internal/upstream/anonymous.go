package upstream

import (
	"maps"
	"sync"
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
)

const (
	// anonymousTime is how long a group counts as one that responds without IDs after a response without one that is known
	// to belong to its request.
	anonymousTime = time.Hour
	// suspicionTime is the same after a response that may be another request's. If the group does respond without IDs,
	// responses on new connections show it meanwhile.
	suspicionTime = 10 * time.Second
)

// anonymousGroups are the groups of instances that respond without stating the IDs of requests, at least at times. A response
// without an ID belongs to its request only if it is the first one on a connection, so these groups need a connection
// for each request. It is safe for concurrent use.
type anonymousGroups struct {
	mu    sync.Mutex
	until map[string]bootclock.Instant
}

// record records a response without an ID.
func (a *anonymousGroups) record(group string, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.until == nil {
		a.until = map[string]bootclock.Instant{}
	}
	now := bootclock.Now()
	maps.DeleteFunc(a.until, func(_ string, until bootclock.Instant) bool { return until <= now })
	a.until[group] = max(a.until[group], now.Add(d))
}

// has reports whether a group responds without IDs.
func (a *anonymousGroups) has(group string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.until[group] > bootclock.Now()
}
