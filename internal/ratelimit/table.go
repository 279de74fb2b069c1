// Package ratelimit enforces the request rates that instances set in their responses. Such a limit applies
// to the requests of all processes together, for as long as the instance reports it.
//
// A process that receives a limit publishes it to all processes that place requests. One of them, the
// coordinator, grants the requests that each process may send, so that their sum stays within the limit
// for any number of processes. A process without a grant sends nothing. Grants expire after a short
// lifetime, measured by a clock that includes suspensions.
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
	// minGrantLifetime is how long a granted request may be sent. If fewer than minRequestsPerLifetime
	// become due in that time, grants live longer, up to maxGrantLifetime: otherwise most of them would
	// expire at processes that rarely have a request.
	minGrantLifetime       = 300 * time.Millisecond
	maxGrantLifetime       = time.Second
	minRequestsPerLifetime = 0.5
	// returnWindow is how long after its expiry a grant can be returned. Requests returned later would be
	// sent in a different period from the one for which they were granted.
	returnWindow = 500 * time.Millisecond
	// maxTransitTime is by how much a report of another process may appear newer than it is, since ages
	// are sent without the transit time of the message.
	maxTransitTime = 50 * time.Millisecond
	// overlapWindow is the time after which the end of a limit is accepted even though its request was sent
	// before the limit was last reported.
	overlapWindow = time.Second
	// publishFactor is by which factor a rate must change for followers to be sent the new one. There are
	// hundreds of followers, and some instances report a different rate in each response.
	publishFactor = 2
	// logInterval is the minimum time between two log lines about the limit of one instance.
	logInterval = time.Second
	// minRetention is how long the report of an instance is kept at least without its registration, which
	// may expire and come back.
	minRetention = 5 * time.Minute
	// minRetry and maxRetry bound the retry delay that clients are given.
	minRetry = 100 * time.Millisecond
	maxRetry = 5 * time.Second
)

const (
	// MaxGrantWait is the maximum time that a request waits for a grant. A requested grant usually arrives in
	// that time, and it is better to reject a request immediately than to wait longer. Package scheduler lets a
	// request wait longer whose prompt is prefilled already.
	MaxGrantWait = 25 * time.Millisecond
	// GrantPollInterval is the interval at which a waiting request checks for a grant.
	GrantPollInterval = 4 * time.Millisecond
)

// Fleet provides a table with information about the other processes.
type Fleet interface {
	// Coordinator returns the name of the coordinator, which may be this process.
	Coordinator() string
	// Share returns the share of each limit that this process may grant while it is the coordinator.
	Share() float64
}

// RateReport is the rate limit that one run of an instance last reported.
type RateReport struct {
	engine.RateLimit
	// SentAt is when the request was sent whose response had the report, ReceivedAt when the response arrived.
	SentAt, ReceivedAt bootclock.Instant
	// LimitedSince is when a limit was first reported after there was none.
	LimitedSince bootclock.Instant
}

// supersededBy reports whether another report replaces this one. Responses may arrive out of order, so
// the end of a limit is accepted only if its request was sent after the limit was last reported, or if
// the end was reported some time ago and the limit not again since. Without the second case, a process
// that is not allowed to send would never learn of the end.
func (s RateReport) supersededBy(next RateReport, now bootclock.Instant) bool {
	if s.Limited && !next.Limited && now.Sub(next.ReceivedAt) < overlapWindow {
		return next.SentAt > s.ReceivedAt
	}
	return next.ReceivedAt > s.ReceivedAt
}

// entry is the state of one run of an instance.
type entry struct {
	RateReport
	loggedAt bootclock.Instant
	// changedPosition is the table's position at the last change sent to followers, publishedRate the rate then.
	changedPosition uint64
	publishedRate   float64
	// grants are those received from the coordinator. requested counts the requests to ask the coordinator
	// for since it was last asked, and expired counts granted requests that expired unsent.
	grants    []grant
	requested int
	expired   int
	// bucket is the source of grants while this process is the coordinator, nil otherwise.
	bucket *bucket
	// demand is a decaying count of the requests that this process had for the run, as of demandAt.
	demand   float64
	demandAt bootclock.Instant
}

// Table holds the rate limits known to this process. It is safe for concurrent use.
type Table struct {
	self   string
	logger log.Logger
	now    func() bootclock.Instant
	after  func(time.Duration, func())

	// activeLimits is the number of limits in force. While it is 0, lookups return immediately.
	activeLimits atomic.Int64
	// taken counts requests sent to limited instances, denied the placement decisions that skipped an
	// instance because of its limit.
	taken, denied metrics.Counter
	// wake has an entry when there are updates to send or grants to request.
	wake chan struct{}

	mu    sync.Mutex
	fleet Fleet
	all   map[string]*entry // by run of an instance
	// position counts the changes of limits that are sent to followers.
	position uint64
	updated  map[string]bool // runs whose reports must be sent to other processes
	// unreadableLoggedAt is when an unreadable limit was last logged.
	unreadableLoggedAt bootclock.Instant
}

// NewTable returns the table of a process, which logs changes and counts in reg. The process is the
// coordinator of all limits until it joins a fleet.
func NewTable(self string, reg metrics.Registry, logger log.Logger) *Table {
	t := &Table{
		self: self, logger: log.With(logger, "component", "ratelimit"), now: bootclock.Now, after: runAfter, wake: make(chan struct{}, 1),
		all: map[string]*entry{}, updated: map[string]bool{},
		taken: metrics.GetOrRegisterCounter("ratelimit.taken", reg), denied: metrics.GetOrRegisterCounter("ratelimit.denied", reg),
	}
	t.fleet = singleProcess{self}
	reg.GetOrRegister("ratelimit.instances", metrics.NewFunctionalGauge(t.activeLimits.Load))
	return t
}

// grantLifetime returns how long granted requests may be sent under a limit.
func (s RateReport) grantLifetime() time.Duration {
	needed := time.Duration(minRequestsPerLifetime / max(s.PerSecond, minGrantRate) * float64(time.Second))
	return min(max(minGrantLifetime, needed), maxGrantLifetime)
}

// singleProcess is a fleet of one process.
type singleProcess struct{ self string }

// Coordinator implements Fleet.
func (s singleProcess) Coordinator() string { return s.self }

// Share implements Fleet.
func (s singleProcess) Share() float64 { return 1 }

func runAfter(d time.Duration, f func()) { time.AfterFunc(d, f) }

// Join makes the coordinator of a fleet grant the requests of this process.
func (t *Table) Join(f Fleet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet = f
}

// RecordResponse applies the rate limit in a response from a run of an instance. The request was sent at sent.
func (t *Table) RecordResponse(run, request string, l engine.RateLimit, sent bootclock.Instant) {
	if l == (engine.RateLimit{}) && t.activeLimits.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if l.Malformed != "" {
		if now.Sub(t.unreadableLoggedAt) >= logInterval {
			t.unreadableLoggedAt = now
			level.Warn(t.logger).Log("msg", "rate limit cannot be read, the one known before is kept", "instance", run, "request", request, "text", l.Malformed)
		}
		return
	}
	t.learn(run, RateReport{l, sent, now, now}, "request", request)
}

// signal wakes up the goroutine that sends updates and requests grants.
func (t *Table) signal() {
	select {
	case t.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// learn applies a report if it supersedes the known one, and marks it for sending if the limit changed.
// It returns whether the report was applied. The caller holds the lock.
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
		t.activeLimits.Add(1)
	case before.Limited:
		e.grants, e.bucket, e.requested, e.expired, e.demand = nil, nil, 0, 0, 0
		t.activeLimits.Add(-1)
	}
	e.RateReport = s
	if before.RateLimit == s.RateLimit {
		return true
	}
	if before.Limited != s.Limited || s.PerSecond > publishFactor*e.publishedRate || e.publishedRate > publishFactor*s.PerSecond {
		t.position++
		e.changedPosition, e.publishedRate = t.position, s.PerSecond
	}
	t.log(e, run, before, from)
	t.updated[run] = true
	t.signal()
	return true
}

// log logs a change of the limit of an instance.
func (t *Table) log(e *entry, run string, before RateReport, from []any) {
	limitedChanged := e.Limited != before.Limited
	if !limitedChanged && t.now().Sub(e.loggedAt) < logInterval {
		return
	}
	e.loggedAt = t.now()
	msg := "rate limit changed"
	switch {
	case limitedChanged && e.Limited:
		msg = "instance limits its rate"
	case limitedChanged:
		msg = "rate limit has ended"
	}
	fields := append([]any{"msg", msg, "instance", run, "per_second", e.PerSecond, "before", before.PerSecond}, from...)
	level.Info(t.logger).Log(fields...)
}

// Limit returns the last report of a run of an instance.
func (t *Table) Limit(run string) RateReport {
	if t.activeLimits.Load() == 0 {
		return RateReport{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.all[run]; e != nil {
		return e.RateReport
	}
	return RateReport{}
}

// limitedEntry returns the entry of a run that limits its rate, or nil if it does not. The caller holds
// the lock.
func (t *Table) limitedEntry(run string) *entry {
	if e := t.all[run]; e != nil && e.Limited {
		return e
	}
	return nil
}

// Limited reports whether a run of an instance limits its rate.
func (t *Table) Limited(run string) bool { return t.Limit(run).Limited }

// Learn applies a report from another process.
func (t *Table) Learn(run, process string, s RateReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.learnFrom(process, run, s)
}

// learnFrom applies a report from another process and returns whether it superseded the known one. The
// caller holds the lock.
func (t *Table) learnFrom(process, run string, s RateReport) bool {
	if e := t.limitedEntry(run); e != nil {
		s.SentAt, s.ReceivedAt = s.SentAt.Add(-maxTransitTime), s.ReceivedAt.Add(-maxTransitTime)
	}
	return t.learn(run, s, "from", process)
}

// Since returns the reports that changed after a position of this table, 0 for none, and its current position.
func (t *Table) Since(position uint64) ([]*peerpb.RateLimit, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if position == t.position {
		return nil, t.position
	}
	var out []*peerpb.RateLimit
	for run, e := range t.all {
		if e.changedPosition > position && (e.Limited || position > 0) {
			out = append(out, encode(run, e.RateReport))
		}
	}
	return out, t.position
}

// ApplyUpdate applies reports from the scheduler that this process follows. If the process loses its schedulers
// and places requests itself, it would otherwise send to each limited instance before it knows the limit.
// The reports are not sent on, since the processes they would be sent to already have them.
func (t *Table) ApplyUpdate(scheduler string, reports []*peerpb.RateLimit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, l := range reports {
		if t.learnFrom(scheduler, l.GetInstance(), decode(l, now)) {
			delete(t.updated, l.GetInstance())
		}
	}
}

// TakeUpdates returns the reports that changed since the last call.
func (t *Table) TakeUpdates() map[string]RateReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]RateReport{}
	for run := range t.updated {
		if e := t.all[run]; e != nil {
			out[run] = e.RateReport
		}
	}
	clear(t.updated)
	return out
}

// AllLimits returns the reports of all instances that limit their rates, by run.
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

// reportsFor returns the known reports for the runs named in a message.
func (t *Table) reportsFor(queried []*peerpb.RateLimit) map[string]RateReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]RateReport{}
	for _, l := range queried {
		if e := t.all[l.GetInstance()]; e != nil {
			out[l.GetInstance()] = e.RateReport
		}
	}
	return out
}

// Retain removes the runs for which keep returns false and that have not reported anything for a while.
func (t *Table) Retain(keep func(run string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for run, e := range t.all {
		if keep(run) || t.now().Sub(e.ReceivedAt) <= minRetention {
			continue
		}
		if e.Limited {
			t.activeLimits.Add(-1)
		}
		delete(t.all, run)
	}
}
