// Package notice keeps what instances have told this process in their answers: that they
// leave, and for how long they want nothing. An instance says so before its registration does,
// and also while nobody can read or write registrations.
package notice

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/bootclock"
)

// keptFor is for how long at the least what an instance has said is kept.
const keptFor = 5 * time.Minute

// Table holds what the instances have said. It is safe for concurrent use.
type Table struct {
	logger log.Logger

	mu  sync.Mutex
	all map[string]*said // by run of an instance
}

// said is what one run of an instance has said.
type said struct {
	leaving bool
	// heard is when it said something new last.
	heard bootclock.Instant
	// restUntil is when the instance wants requests again.
	restUntil bootclock.Instant
}

// NewTable returns a board that logs what is new.
func NewTable(logger log.Logger) *Table {
	return &Table{logger: logger, all: map[string]*said{}}
}

// RecordShutdown takes in that a run of an instance says that it leaves. It does not come back.
func (b *Table) RecordShutdown(instance, request string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(instance)
	if s.leaving {
		return
	}
	s.leaving, s.heard = true, bootclock.Now()
	level.Info(b.logger).Log("msg", "instance says that it leaves", "instance", instance, "request", request)
}

// RecordBackoff takes in that a run of an instance wants nothing for a while.
func (b *Table) RecordBackoff(instance, request string, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(instance)
	until := bootclock.Now().Add(d)
	if until <= s.restUntil {
		return
	}
	s.restUntil, s.heard = until, bootclock.Now()
	level.Info(b.logger).Log("msg", "instance asks for rest", "instance", instance, "request", request, "for", d)
}

func (b *Table) of(instance string) *said {
	s := b.all[instance]
	if s == nil {
		s = &said{}
		b.all[instance] = s
	}
	return s
}

// ShuttingDown reports whether a run of an instance has said that it leaves.
func (b *Table) ShuttingDown(instance string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.all[instance]
	return s != nil && s.leaving
}

// Backoff returns for how long a run of an instance still wants nothing.
func (b *Table) Backoff(instance string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.all[instance]
	if s == nil {
		return 0
	}
	return max(s.restUntil.Sub(bootclock.Now()), 0)
}

// ShortestBackoff returns for how long the one of some runs that rests the shortest still wants nothing, 0
// if none rests.
func (b *Table) ShortestBackoff(instances []string) time.Duration {
	first := time.Duration(0)
	for _, instance := range instances {
		if rest := b.Backoff(instance); rest > 0 && (first == 0 || rest < first) {
			first = rest
		}
	}
	return first
}

// InstancesRefusingWork returns the runs of instances that want nothing now.
func (b *Table) InstancesRefusingWork() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for instance, s := range b.all {
		if s.unwilling() {
			out = append(out, instance)
		}
	}
	return out
}

// RefusesWork reports whether a run of an instance wants nothing now: it leaves or rests.
func (b *Table) RefusesWork(instance string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.all[instance]
	return s != nil && s.unwilling()
}

func (s *said) unwilling() bool { return s.leaving || s.restUntil > bootclock.Now() }

// Retain forgets the runs that keep does not name, and that have said nothing for a while:
// registrations lapse while the store is away, and come back.
func (b *Table) Retain(keep func(instance string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for instance, s := range b.all {
		if !keep(instance) && bootclock.Since(s.heard) > keptFor && s.restUntil < bootclock.Now() {
			delete(b.all, instance)
		}
	}
}
