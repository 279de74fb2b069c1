// Package ratelimit keeps the rates of requests that instances name in their answers: what an
// instance takes from all processes together, for as long as it says so.
//
// What an instance says is told to all processes that decide where requests run. One of them, the
// keeper, grants the requests that each may send there, so that their sum stays within the limit
// however many processes there are. A process without a grant sends nothing. Grants end after
// grantLife by a clock that counts suspensions.
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
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
)

const (
	// grantLife is for how long a granted request may be sent. Where fewer than lifeRequests become due
	// in that time, grants live longer, up to maxGrantLife: else most would lapse at processes that
	// seldom have a request.
	grantLife    = 300 * time.Millisecond
	maxGrantLife = time.Second
	lifeRequests = 0.5
	// backWithin is how long after its end a grant can be given back: what comes back late would be
	// sent in another time than it became due in.
	backWithin = 500 * time.Millisecond
	// toldLate is by how much at most what another process tells looks younger than it is, since ages
	// are told without the way of the message.
	toldLate = 50 * time.Millisecond
	// overlapTime is after what time an end counts whose request was sent before the limit was last heard.
	overlapTime = time.Second
	// tellFactor is by how much a rate has to change for those that follow to be told: hundreds of them are, and
	// some instances name another rate in each answer.
	tellFactor = 2
	// logEvery is how often at most a changed limit of one instance is logged.
	logEvery = time.Second
	// keptFor is for how long at the least what an instance has said is kept without its
	// registration, which may lapse and come back.
	keptFor = 5 * time.Minute
	// minRetry and maxRetry bound when a caller is asked to come back.
	minRetry = 100 * time.Millisecond
	maxRetry = 5 * time.Second
)

const (
	// MaxGrantWait is how long a request waits for a grant at the most: one that is asked for arrives in that
	// time, and what takes longer is better refused at once.
	MaxGrantWait = 25 * time.Millisecond
	// GrantPollInterval is how often it is looked for one meanwhile.
	GrantPollInterval = 4 * time.Millisecond
)

// Fleet is what a table has to know of the other processes.
type Fleet interface {
	// Coordinator names the process that grants requests, which may be this one.
	Coordinator() string
	// Share is the share of each limit that this process may grant while it is the keeper.
	Share() float64
}

// RateReport is what one run of an instance says of its rate.
type RateReport struct {
	engine.RateLimit
	// SentAt is when the request was sent whose answer said so last, Heard when that answer arrived.
	SentAt, ReceivedAt bootclock.Instant
	// LimitedSince is when a limit was heard first after there was none.
	LimitedSince bootclock.Instant
}

// supersededBy reports whether a statement is later than this one. Answers overtake each other: an
// end counts only if its request was sent after the limit was last heard, or if no limit has been heard
// for some time after it. Else who is not to send would never hear of the end.
func (s RateReport) supersededBy(next RateReport, now bootclock.Instant) bool {
	if s.Limited && !next.Limited && now.Sub(next.ReceivedAt) < overlapTime {
		return next.SentAt > s.ReceivedAt
	}
	return next.ReceivedAt > s.ReceivedAt
}

// entry is what is known of one run of an instance.
type entry struct {
	RateReport
	loggedAt bootclock.Instant
	// changed is the position of the table at the last change that those that follow are told, told the rate then.
	changed uint64
	told    float64
	// grants are those of another process that is the keeper, wanted how many requests wanted to be
	// sent since it was asked last, lapsed how many of its grants have ended without being sent.
	grants []grant
	wanted int
	lapsed int
	// bucket is what this process grants, nil while it is not the keeper.
	bucket *bucket
	// demand is how many requests of this process wanted to be sent, as of demandAt, of which older
	// ones count less.
	demand   float64
	demandAt bootclock.Instant
}

// Table holds the limits that are known to this process. It is safe for concurrent use.
type Table struct {
	self   string
	logger log.Logger
	now    func() bootclock.Instant
	after  func(time.Duration, func())

	// limits counts the limits in force: nothing is looked up while it is 0.
	limits atomic.Int64
	// taken and denied count requests to limited instances: those that were sent, and the choices in
	// which an instance was passed over.
	taken, denied metrics.Counter
	// wake has an entry when there is something to tell or to ask.
	wake chan struct{}

	mu    sync.Mutex
	fleet Fleet
	all   map[string]*entry // by run of an instance
	// position counts changes of limits.
	position uint64
	news     map[string]bool // runs whose statements are to be told
	// oddAt is when a limit that cannot be read was logged last.
	oddAt bootclock.Instant
}

// NewTable returns the table of a process, which logs what is new and counts in reg. The process is the
// keeper of all limits until it joins a fleet.
func NewTable(self string, reg metrics.Registry, logger log.Logger) *Table {
	t := &Table{
		self: self, logger: log.With(logger, "component", "ratelimit"), now: bootclock.Now, after: runAfter, wake: make(chan struct{}, 1),
		all: map[string]*entry{}, news: map[string]bool{},
		taken: metrics.GetOrRegisterCounter("ratelimit.taken", reg), denied: metrics.GetOrRegisterCounter("ratelimit.denied", reg),
	}
	t.fleet = alone{self}
	reg.GetOrRegister("ratelimit.instances", metrics.NewFunctionalGauge(t.limits.Load))
	return t
}

// life returns for how long requests may be sent that were granted of a limit.
func (s RateReport) life() time.Duration {
	longer := time.Duration(lifeRequests / max(s.PerSecond, leastRate) * float64(time.Second))
	return min(max(grantLife, longer), maxGrantLife)
}

// alone is a fleet of one process.
type alone struct{ self string }

// Coordinator implements Fleet.
func (a alone) Coordinator() string { return a.self }

// Share implements Fleet.
func (a alone) Share() float64 { return 1 }

func runAfter(d time.Duration, f func()) { time.AfterFunc(d, f) }

// Join has the keeper of a fleet grant what this process sends.
func (t *Table) Join(f Fleet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet = f
}

// RecordResponse takes in what an answer of a run of an instance says. The request was sent at sent.
func (t *Table) RecordResponse(run, request string, l engine.RateLimit, sent bootclock.Instant) {
	if l == (engine.RateLimit{}) && t.limits.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if l.Unreadable != "" {
		if now.Sub(t.oddAt) >= logEvery {
			t.oddAt = now
			level.Warn(t.logger).Log("msg", "rate limit cannot be read, the one known before is kept", "instance", run, "request", request, "text", l.Unreadable)
		}
		return
	}
	t.learn(run, RateReport{l, sent, now, now}, "request", request)
}

// signal has something told or asked soon.
func (t *Table) signal() {
	select {
	case t.wake <- struct{}{}:
	default: // it is about to be
	}
}

// learn takes in a statement if it is later than the one known, and has it told if it changes
// anything. It reports whether it was later. The caller holds the lock.
func (t *Table) learn(run string, s RateReport, from ...any) bool {
	e := t.all[run]
	if e == nil {
		if !s.Limited {
			return false
		}
		e = &entry{}
		t.all[run] = e
	}
	if !e.supersededBy(s, t.now()) {
		return false
	}
	before := e.RateReport
	switch {
	case before.Limited && s.Limited:
		s.LimitedSince = min(s.LimitedSince, before.LimitedSince)
	case s.Limited:
		t.limits.Add(1)
	case before.Limited:
		e.grants, e.bucket, e.wanted, e.lapsed, e.demand = nil, nil, 0, 0, 0
		t.limits.Add(-1)
	}
	e.RateReport = s
	if before.RateLimit == s.RateLimit {
		return true
	}
	if before.Limited != s.Limited || s.PerSecond > tellFactor*e.told || e.told > tellFactor*s.PerSecond {
		t.position++
		e.changed, e.told = t.position, s.PerSecond
	}
	t.log(e, run, before, from)
	t.news[run] = true
	t.signal()
	return true
}

// log writes what has changed of an instance's limit.
func (t *Table) log(e *entry, run string, before RateReport, from []any) {
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
func (t *Table) Limit(run string) RateReport {
	if t.limits.Load() == 0 {
		return RateReport{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.all[run]; e != nil {
		return e.RateReport
	}
	return RateReport{}
}

// limited returns what is known of a run that limits its rate, nil if it does not. The caller holds
// the lock.
func (t *Table) limited(run string) *entry {
	if e := t.all[run]; e != nil && e.Limited {
		return e
	}
	return nil
}

// Limited reports whether a run of an instance limits its rate.
func (t *Table) Limited(run string) bool { return t.Limit(run).Limited }

// Learn takes in what another process says of a run of an instance.
func (t *Table) Learn(run, process string, s RateReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.learnFrom(process, run, s)
}

// learnFrom takes in what another process says, and reports whether that was later than what was known here. The
// caller holds the lock.
func (t *Table) learnFrom(process, run string, s RateReport) bool {
	if e := t.limited(run); e != nil {
		s.SentAt, s.ReceivedAt = s.SentAt.Add(-toldLate), s.ReceivedAt.Add(-toldLate)
	}
	return t.learn(run, s, "from", process)
}

// Since returns what instances have said after a position of this table, 0 for none, and its position now.
func (t *Table) Since(position uint64) ([]*peerpb.RateLimit, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if position == t.position {
		return nil, t.position
	}
	var out []*peerpb.RateLimit
	for run, e := range t.all {
		if e.changed > position && (e.Limited || position > 0) {
			out = append(out, encode(run, e.RateReport))
		}
	}
	return out, t.position
}

// ApplyUpdate takes in what the scheduler that this process follows has told of instances. Who decides for itself
// once its schedulers are lost would else send to each limited instance before it has heard of the limit.
// It is not told on: those that it would be told to know it.
func (t *Table) ApplyUpdate(scheduler string, said []*peerpb.RateLimit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, l := range said {
		if t.learnFrom(scheduler, l.GetInstance(), decode(l, now)) {
			delete(t.news, l.GetInstance())
		}
	}
}

// News returns the statements that are new since it was called last.
func (t *Table) News() map[string]RateReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]RateReport{}
	for run := range t.news {
		if e := t.all[run]; e != nil {
			out[run] = e.RateReport
		}
	}
	clear(t.news)
	return out
}

// AllLimits returns the statements of all instances that limit their rates, by run.
func (t *Table) AllLimits() map[string]RateReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]RateReport{}
	for run, e := range t.all {
		if e.Limited {
			out[run] = e.RateReport
		}
	}
	return out
}

// statements returns what is known of the runs that a message names.
func (t *Table) statements(named []*peerpb.RateLimit) map[string]RateReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]RateReport{}
	for _, l := range named {
		if e := t.all[l.GetInstance()]; e != nil {
			out[l.GetInstance()] = e.RateReport
		}
	}
	return out
}

// Retain forgets the runs that keep does not name, and that have said nothing for a while.
func (t *Table) Retain(keep func(run string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for run, e := range t.all {
		if keep(run) || t.now().Sub(e.ReceivedAt) <= keptFor {
			continue
		}
		if e.Limited {
			t.limits.Add(-1)
		}
		delete(t.all, run)
	}
}
