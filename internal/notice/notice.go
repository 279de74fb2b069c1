// Package notice records what instances announce in the headers of their responses: that they
// are shutting down, and for how long they want no requests. These announcements arrive before
// the registration of the instance is updated, and also while the store is unavailable.
package notice

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/bootclock"
)

const (
	// retention is the minimum time for which the announcements of an instance are kept.
	retention = 5 * time.Minute
	// shutdownTime is how long an instance that announced its shutdown gets nothing, unless it announces it again. An
	// instance that shuts down has ended long before.
	shutdownTime = 5 * time.Minute
)

// Table holds the announcements of all instances. It is safe for concurrent use.
type Table struct {
	logger log.Logger

	mu        sync.Mutex
	instances map[string]*instanceState // by instance run
}

// instanceState holds the announcements of one run of an instance.
type instanceState struct {
	// shutdownUntil is when the instance may be sent requests again although it announced its shutdown, 0 if it did not.
	shutdownUntil bootclock.Instant
	// updatedAt is when the last new announcement arrived.
	updatedAt bootclock.Instant
	// backoffUntil is when the instance accepts requests again.
	backoffUntil bootclock.Instant
}

// NewTable returns an empty Table that logs new announcements.
func NewTable(logger log.Logger) *Table {
	return &Table{logger: logger, instances: map[string]*instanceState{}}
}

// RecordShutdown records that a run of an instance announced its shutdown.
func (t *Table) RecordShutdown(instance, request string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(instance)
	if s.shuttingDown() {
		return
	}
	s.updatedAt = bootclock.Now()
	s.shutdownUntil = s.updatedAt.Add(shutdownTime)
	level.Info(t.logger).Log("msg", "instance announced its shutdown", "instance", instance, "request", request)
}

// RecordBackoff records that a run of an instance asked for a backoff of d. A shorter backoff than the
// current one has no effect.
func (t *Table) RecordBackoff(instance, request string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(instance)
	until := bootclock.Now().Add(d)
	if until <= s.backoffUntil {
		return
	}
	s.backoffUntil, s.updatedAt = until, bootclock.Now()
	level.Info(t.logger).Log("msg", "instance asked for a backoff", "instance", instance, "request", request, "for", d)
}

func (t *Table) state(instance string) *instanceState {
	s := t.instances[instance]
	if s == nil {
		s = &instanceState{}
		t.instances[instance] = s
	}
	return s
}

// ShuttingDown reports whether a run of an instance has announced its shutdown.
func (t *Table) ShuttingDown(instance string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.instances[instance]
	return s != nil && s.shuttingDown()
}

// Backoff returns the remaining backoff of a run of an instance.
func (t *Table) Backoff(instance string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.instances[instance]
	if s == nil {
		return 0
	}
	return max(s.backoffUntil.Sub(bootclock.Now()), 0)
}

// ShortestBackoff returns the shortest remaining backoff of the given runs, 0 if none of them has asked
// for one.
func (t *Table) ShortestBackoff(instances []string) time.Duration {
	shortest := time.Duration(0)
	for _, instance := range instances {
		if backoff := t.Backoff(instance); backoff > 0 && (shortest == 0 || backoff < shortest) {
			shortest = backoff
		}
	}
	return shortest
}

// InstancesRefusingWork returns the instance runs that must not be sent requests now.
func (t *Table) InstancesRefusingWork() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for instance, s := range t.instances {
		if s.refusesWork() {
			out = append(out, instance)
		}
	}
	return out
}

// RefusesWork reports whether a run of an instance must not be sent requests now, because it is
// shutting down or has asked for a backoff.
func (t *Table) RefusesWork(instance string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.instances[instance]
	return s != nil && s.refusesWork()
}

func (s *instanceState) shuttingDown() bool { return s.shutdownUntil > bootclock.Now() }

func (s *instanceState) refusesWork() bool {
	return s.shuttingDown() || s.backoffUntil > bootclock.Now()
}

// Retain deletes the runs for which keep returns false, whose announcements are older than the
// retention, and whose backoff has ended. It does not delete them at once, because registrations
// expire while the store is unavailable and may come back.
func (t *Table) Retain(keep func(instance string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for instance, s := range t.instances {
		if !keep(instance) && bootclock.Since(s.updatedAt) > retention && s.backoffUntil < bootclock.Now() {
			delete(t.instances, instance)
		}
	}
}
