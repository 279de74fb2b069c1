// Package ratelimit keeps the rates of requests that instances name in their answers: what an
// instance takes from all processes together, for as long as it says so.
//
// What an instance says is told to all processes. One of them, the keeper of the limit, grants
// the requests that each may send there; a process that has no grant sends nothing.
package ratelimit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/engine"
)

const (
	// logEvery is how often at most a changed limit of one instance is logged.
	logEvery = time.Second
	// keptFor is for how long at the least what an instance has said is kept without its
	// registration, which may lapse and come back.
	keptFor = 5 * time.Minute
)

// Statement is what one run of an instance says of its rate.
type Statement struct {
	engine.RateLimit
	// Sent is when the request was sent whose answer said so last, Heard when that answer arrived.
	Sent, Heard bootclock.Instant
	// Began is when a limit was heard first after there was none.
	Began bootclock.Instant
}

// entry is what is known of one run of an instance.
type entry struct {
	Statement
	loggedAt bootclock.Instant
}

// Table holds the limits that are known to this process. It is safe for concurrent use.
type Table struct {
	logger log.Logger
	now    func() bootclock.Instant

	// limits counts the limits in force: placement looks nothing up while it is 0.
	limits atomic.Int64

	mu  sync.Mutex
	all map[string]*entry // by run of an instance
}

// NewTable returns a table that logs what is new and counts in reg.
func NewTable(reg metrics.Registry, logger log.Logger) *Table {
	t := &Table{logger: log.With(logger, "component", "ratelimit"), now: bootclock.Now, all: map[string]*entry{}}
	_ = reg.Register("ratelimit.instances", metrics.NewFunctionalGauge(t.limits.Load))
	return t
}

// Heard takes in what an answer of a run of an instance says. The request was sent at sent.
func (t *Table) Heard(run, request string, l engine.RateLimit, sent bootclock.Instant) {
	if !l.Limited && l.Unreadable == "" && t.limits.Load() == 0 {
		return
	}
	if l.Unreadable != "" {
		level.Warn(t.logger).Log("msg", "rate limit cannot be read, the one known before is kept", "instance", run, "request", request, "text", l.Unreadable)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.learn(run, Statement{l, sent, now, now}, "request", request)
}

// learn takes in a statement if it is later than the one known. The caller holds the lock.
func (t *Table) learn(run string, s Statement, from ...any) {
	e := t.all[run]
	if e == nil {
		if !s.Limited {
			return
		}
		e = &entry{}
		t.all[run] = e
	}
	if !e.supersededBy(s) {
		return
	}
	before := e.Statement
	if before.Limited && s.Limited {
		s.Began = min(s.Began, before.Began)
	}
	e.Statement = s
	if before.RateLimit == s.RateLimit {
		return
	}
	t.countLimit(before.Limited, s.Limited)
	t.log(e, run, before, from)
}

// supersededBy reports whether a statement is later than this one. Answers overtake each other: an
// end counts only if its request was sent after the limit was last heard.
func (s Statement) supersededBy(next Statement) bool {
	if s.Limited && !next.Limited {
		return next.Sent > s.Heard
	}
	return next.Heard > s.Heard
}

func (t *Table) countLimit(before, now bool) {
	switch {
	case now && !before:
		t.limits.Add(1)
	case before && !now:
		t.limits.Add(-1)
	}
}

// log writes what has changed of an instance's limit.
func (t *Table) log(e *entry, run string, before Statement, from []any) {
	begins := e.Limited != before.Limited
	if !begins && t.now().Sub(e.loggedAt) < logEvery {
		return
	}
	e.loggedAt = t.now()
	msg := "rate limit changed"
	switch {
	case begins && e.Limited:
		msg = "instance limits its rate"
	case begins:
		msg = "rate limit has ended"
	}
	fields := append([]any{"msg", msg, "instance", run, "per_second", e.PerSecond, "before", before.PerSecond}, from...)
	level.Info(t.logger).Log(fields...)
}

// Limit returns what a run of an instance is known to have said.
func (t *Table) Limit(run string) Statement {
	if t.limits.Load() == 0 {
		return Statement{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.all[run]; e != nil {
		return e.Statement
	}
	return Statement{}
}

// Retain forgets the runs that keep does not name, and that have said nothing for a while.
func (t *Table) Retain(keep func(run string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for run, e := range t.all {
		if !keep(run) && t.now().Sub(e.Heard) > keptFor {
			t.countLimit(e.Limited, false)
			delete(t.all, run)
		}
	}
}
