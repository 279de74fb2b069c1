package upstream

import (
	"maps"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

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
	mu     sync.Mutex
	until  map[string]bootclock.Instant
	logger log.Logger
}

func newAnonymousGroups() *anonymousGroups {
	return &anonymousGroups{until: map[string]bootclock.Instant{}, logger: log.NewNopLogger()}
}

// record records a response without an ID to a request.
func (a *anonymousGroups) record(group, request string, e Evidence) {
	d := anonymousTime
	if e.Attribution == Ambiguous {
		d = suspicionTime
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.hasLocked(group)
	if !known {
		maps.DeleteFunc(a.until, func(_ string, until bootclock.Instant) bool { return until <= bootclock.Now() })
	}
	a.until[group] = max(a.until[group], bootclock.Now().Add(d))
	if !known {
		level.Info(a.logger).Log(append([]any{"msg", "instances respond without request IDs, each request gets a connection", "service", group, "request", request, "for", d}, e.LogFields()...)...)
	}
}

// has reports whether a group responds without IDs.
func (a *anonymousGroups) has(group string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.hasLocked(group)
}

func (a *anonymousGroups) hasLocked(group string) bool {
	until, ok := a.until[group]
	if ok && until <= bootclock.Now() {
		delete(a.until, group)
		level.Info(a.logger).Log("msg", "instances have not responded without request IDs lately, connections are kept again", "service", group)
		return false
	}
	return ok
}
