package resumption

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/fleet"
)

// historyRetention is how long a version is remembered that no instance has any more.
const historyRetention = 2 * time.Minute

// Evidence says which software versions the instances of a service had during some time.
type Evidence struct {
	Versions []string
	// Complete is true if all instances were known during the whole time.
	Complete bool
}

// history remembers which software versions the instances of each service had. It is safe for concurrent use.
type history struct {
	now func() bootclock.Instant
	// staleAfter is the age from which registrations count as out of date.
	staleAfter time.Duration

	mu sync.Mutex
	// knownSince is when the instances were first known, 0 if they have not been.
	knownSince bootclock.Instant
	lastSeen   map[string]map[string]bootclock.Instant // by service and version
	// view is the latest one observed. draining has the earliest time at which an instance may have begun to drain,
	// by run, for those that were seen before.
	view     *fleet.View
	draining map[string]bootclock.Instant
}

func newHistory(staleAfter time.Duration) *history {
	return &history{now: bootclock.Now, staleAfter: staleAfter, lastSeen: map[string]map[string]bootclock.Instant{}, draining: map[string]bootclock.Instant{}}
}

// observe records the versions of all instances of a view.
func (h *history) observe(v *fleet.View) {
	if !v.InstancesKnown {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	if h.knownSince == 0 {
		h.knownSince = now
	}
	h.observeDraining(v)
	for service, versions := range v.Software() {
		seen := h.lastSeen[service]
		if seen == nil {
			seen = map[string]bootclock.Instant{}
			h.lastSeen[service] = seen
		}
		for _, version := range versions {
			seen[version] = now
		}
	}
	for service, seen := range h.lastSeen {
		maps.DeleteFunc(seen, func(_ string, at bootclock.Instant) bool { return now.Sub(at) > historyRetention })
		if len(seen) == 0 {
			delete(h.lastSeen, service)
		}
	}
}

// observeDraining records which instances have begun to drain. The caller holds the lock.
func (h *history) observeDraining(v *fleet.View) {
	before := h.view
	h.view = v
	if before == nil || v.SameInstances(before) {
		return
	}
	begun := map[string]bootclock.Instant{}
	for id, i := range v.Instances {
		if !i.Draining {
			continue
		}
		run := i.RunID()
		if since, known := h.draining[run]; known {
			begun[run] = since
		} else if old := before.Instances[id]; old != nil && old.RunID() == run && !old.Draining {
			begun[run] = before.InstancesConfirmedAt
		}
	}
	h.draining = begun
}

// drainingFor returns the time for which an instance may have been draining, at most. It reports false if that is not
// known.
func (h *history) drainingFor(i *fleet.Instance) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	since, ok := h.draining[i.RunID()]
	return bootclock.Since(since), ok
}

// evidence returns what is known of a service's versions during the latest period.
func (h *history) evidence(v *fleet.View, service string, period time.Duration) Evidence {
	h.observe(v)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	e := Evidence{Complete: h.knownSince > 0 && now.Sub(h.knownSince) >= period && h.isCurrent(v)}
	for version, at := range h.lastSeen[service] {
		if now.Sub(at) <= period {
			e.Versions = append(e.Versions, version)
		}
	}
	slices.Sort(e.Versions)
	return e
}

// isCurrent reports whether the registrations are up to date.
func (h *history) isCurrent(v *fleet.View) bool {
	return h.staleAfter == 0 || v.InstancesAge() <= h.staleAfter
}
