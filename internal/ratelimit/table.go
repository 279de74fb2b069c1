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
	// tellTime is how long it takes at most until all that decide know a limit.
	tellTime = 300 * time.Millisecond
	// toldLate is by how much at most what another process tells looks younger than it is, since ages
	// are told without the way of the message.
	toldLate = 50 * time.Millisecond
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
	// GrantWait is how long a request waits for a grant at the most: one that is asked for arrives in that
	// time, and what takes longer is better refused at once.
	GrantWait = 25 * time.Millisecond
	// GrantPoll is how often it is looked for one meanwhile.
	GrantPoll = 4 * time.Millisecond
)

// Fleet is what a table has to know of the other processes.
type Fleet interface {
	// Keeper names the process that grants requests, which may be this one.
	Keeper() string
	// Part is the share of each limit that this process may grant while it is the keeper.
	Part() float64
}

// Statement is what one run of an instance says of its rate.
type Statement struct {
	engine.RateLimit
	// Sent is when the request was sent whose answer said so last, Heard when that answer arrived.
	Sent, Heard bootclock.Instant
	// Began is when a limit was heard first after there was none.
	Began bootclock.Instant
}

// supersededBy reports whether a statement is later than this one. Answers overtake each other: an
// end counts only if its request was sent after the limit was last heard.
func (s Statement) supersededBy(next Statement) bool {
	if s.Limited && !next.Limited {
		return next.Sent > s.Heard
	}
	return next.Heard > s.Heard
}

// grant is a number of requests that may be sent until a time.
type grant struct {
	requests int
	until    bootclock.Instant
}

// entry is what is known of one run of an instance.
type entry struct {
	Statement
	// learned is when this process learned that there is a limit.
	learned  bootclock.Instant
	loggedAt bootclock.Instant
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
	news  map[string]bool   // runs whose statements are to be told
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
	_ = reg.Register("ratelimit.instances", metrics.NewFunctionalGauge(t.limits.Load))
	return t
}

// life returns for how long requests may be sent that were granted of a limit.
func (s Statement) life() time.Duration {
	longer := time.Duration(lifeRequests / max(s.PerSecond, leastRate) * float64(time.Second))
	return min(max(grantLife, longer), maxGrantLife)
}

// alone is a fleet of one process.
type alone struct{ self string }

// Keeper implements Fleet.
func (a alone) Keeper() string { return a.self }

// Part implements Fleet.
func (a alone) Part() float64 { return 1 }

func runAfter(d time.Duration, f func()) { time.AfterFunc(d, f) }

// Join has the keeper of a fleet grant what this process sends.
func (t *Table) Join(f Fleet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fleet = f
}

// Heard takes in what an answer of a run of an instance says. The request was sent at sent.
func (t *Table) Heard(run, request string, l engine.RateLimit, sent bootclock.Instant) {
	if l == (engine.RateLimit{}) && t.limits.Load() == 0 {
		return
	}
	if l.Unreadable != "" {
		level.Warn(t.logger).Log("msg", "rate limit cannot be read, the one known before is kept", "instance", run, "request", request, "text", l.Unreadable)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if t.learn(run, Statement{l, sent, now, now}, "request", request) {
		t.news[run] = true
		t.signal()
	}
}

// signal has something told or asked soon.
func (t *Table) signal() {
	select {
	case t.wake <- struct{}{}:
	default: // it is about to be
	}
}

// learn takes in a statement if it is later than the one known, and reports whether it changes
// anything. The caller holds the lock.
func (t *Table) learn(run string, s Statement, from ...any) bool {
	e := t.all[run]
	if e == nil {
		if !s.Limited {
			return false
		}
		e = &entry{}
		t.all[run] = e
	}
	if !e.supersededBy(s) {
		return false
	}
	before := e.Statement
	switch {
	case before.Limited && s.Limited:
		s.Began = min(s.Began, before.Began)
	case s.Limited:
		e.learned = t.now()
		t.limits.Add(1)
	case before.Limited:
		e.grants, e.bucket, e.wanted, e.lapsed, e.demand = nil, nil, 0, 0, 0
		t.limits.Add(-1)
	}
	e.Statement = s
	if before.RateLimit == s.RateLimit {
		return false
	}
	t.log(e, run, before, from)
	return true
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

// limited returns what is known of a run that limits its rate, nil if it does not. The caller holds
// the lock.
func (t *Table) limited(run string) *entry {
	if e := t.all[run]; e != nil && e.Limited {
		return e
	}
	return nil
}

// Allows reports whether a request may be sent to a run of an instance. It counts as demand, unless it
// has been counted before.
func (t *Table) Allows(run string, counted bool) bool {
	if t.limits.Load() == 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.limited(run)
	if e == nil {
		return true
	}
	now := t.now()
	b := t.bucketOf(e, now)
	if !counted {
		e.demand = e.demand*decay(now.Sub(e.demandAt).Seconds()) + 1
		e.demandAt = now
	}
	allowed := false
	switch {
	case b == nil:
		t.ask(e, counted)
		allowed = e.hold(now) > 0
	case !counted:
		b.want(t.self, 1)
		allowed = b.has(t.self)
	default:
		allowed = b.has(t.self)
	}
	if !allowed && !counted {
		t.denied.Inc(1)
	}
	return allowed
}

// ask has the keeper asked for one more request, or again for one that has been counted.
func (t *Table) ask(e *entry, counted bool) {
	if !counted || e.wanted == 0 {
		e.wanted++
	}
	if e.wanted == 1 {
		t.signal()
	}
}

// Take counts a request that is about to be sent to a run of an instance. Granted is true if the run
// limits its rate, ok is false if the request may not be sent.
func (t *Table) Take(run string) (granted, ok bool) {
	if t.limits.Load() == 0 {
		return false, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.limited(run)
	if e == nil {
		return false, true
	}
	if ok = t.spend(e); ok {
		t.taken.Inc(1)
	}
	return ok, ok
}

// spend counts a request to a limited run, and reports false if it may not be sent. The caller holds the
// lock.
func (t *Table) spend(e *entry) bool {
	now := t.now()
	if b := t.bucketOf(e, now); b != nil {
		return b.draw(t.self)
	}
	if e.hold(now) == 0 {
		return false
	}
	e.grants[0].requests--
	return true
}

// Request counts a request that no placement has considered before it is sent, as Allows and Take do.
func (t *Table) Request(run string) (ok bool) {
	if !t.Allows(run, false) {
		return false
	}
	_, ok = t.Take(run)
	return ok
}

// Withholds reports whether a request must not be sent that was placed without a grant, by the named
// process or, if that is empty, by this one. What another process has placed goes by what that one
// knows, once it has had the time to learn of the limit.
func (t *Table) Withholds(run, placedBy string) bool {
	if t.limits.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.limited(run)
	return e != nil && (placedBy == "" || placedBy == t.self || t.now().Sub(e.learned) < tellTime)
}

// Limited reports whether a run of an instance limits its rate.
func (t *Table) Limited(run string) bool { return t.Limit(run).Limited }

// RetryAfter returns when a caller that is refused since a run of an instance takes no more may come
// back: once those that want to be sent there too are through.
func (t *Table) RetryAfter(run string) time.Duration {
	if t.limits.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.limited(run)
	if e == nil {
		return 0
	}
	seconds := (1 + e.demand) / (max(e.PerSecond, leastRate) * t.fleet.Part())
	return time.Duration(min(max(seconds, minRetry.Seconds()), maxRetry.Seconds()) * float64(time.Second))
}

// bucketOf returns what this process grants of a limit, filled, nil if another one is the keeper. The
// caller holds the lock.
func (t *Table) bucketOf(e *entry, now bootclock.Instant) *bucket {
	if t.fleet.Keeper() != t.self {
		e.bucket = nil
		return nil
	}
	if e.bucket == nil {
		opensAt := now
		if now.Sub(e.Began) > grantLife { // an earlier keeper's grants are still sent
			opensAt = now.Add(e.life())
		}
		e.bucket = newBucket(opensAt)
		e.grants, e.lapsed = nil, 0
	}
	rate := max(e.PerSecond, leastRate) * t.fleet.Part()
	if now.Sub(e.Began) < startTime {
		rate *= startShare
	}
	e.bucket.fill(now, rate, e.life())
	return e.bucket
}

// hold returns how many requests of grants may still be sent.
func (e *entry) hold(now bootclock.Instant) (requests int) {
	for len(e.grants) > 0 && (e.grants[0].until <= now || e.grants[0].requests == 0) {
		if now.Sub(e.grants[0].until) < backWithin {
			e.lapsed += e.grants[0].requests
		}
		e.grants = e.grants[1:]
	}
	for _, g := range e.grants {
		requests += g.requests
	}
	return requests
}

// Learn takes in what another process says of a run of an instance.
func (t *Table) Learn(run, process string, s Statement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.limited(run); e != nil {
		s.Sent, s.Heard = s.Sent.Add(-toldLate), s.Heard.Add(-toldLate)
	}
	if t.learn(run, s, "from", process) {
		t.news[run] = true
		t.signal()
	}
}

// News returns the statements that are new since it was called last.
func (t *Table) News() map[string]Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]Statement{}
	for run := range t.news {
		if e := t.all[run]; e != nil {
			out[run] = e.Statement
		}
	}
	clear(t.news)
	return out
}

// Demand is what a process asks the keeper for.
type Demand struct {
	Run string
	// Known is what the process knows of the run.
	Known Statement
	// Wanted requests want to be sent there, Lapsed ones were granted and will not be sent.
	Wanted, Lapsed int
}

// Demand returns what is to be asked of the keeper, and counts anew.
func (t *Table) Demand() []Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Demand
	for run, e := range t.all {
		if e.hold(t.now()); e.wanted == 0 && e.lapsed == 0 {
			continue
		}
		out = append(out, Demand{run, e.Statement, e.wanted, e.lapsed})
		e.wanted, e.lapsed = 0, 0
	}
	return out
}

// Grant returns how many of the requests to a run that a process wants to send it may, 0 if this
// process is not the keeper.
func (t *Table) Grant(run, process string, wanted, lapsed int) (granted int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.limited(run)
	if e == nil {
		return 0
	}
	b := t.bucketOf(e, t.now())
	if b == nil {
		return 0
	}
	b.want(process, float64(wanted))
	b.takeBack(process, lapsed)
	for granted < wanted && b.draw(process) {
		granted++
	}
	return granted
}

// Granted takes in a grant of the keeper, which was asked at a time.
func (t *Table) Granted(run string, requests int, asked bootclock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.limited(run); e != nil && requests > 0 {
		e.grants = append(e.grants, grant{requests, asked.Add(e.life())})
		t.after(e.life(), t.signal) // what has lapsed then is given back
	}
}

// Limits returns the statements of all instances that limit their rates, by run.
func (t *Table) Limits() map[string]Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]Statement{}
	for run, e := range t.all {
		if e.Limited {
			out[run] = e.Statement
		}
	}
	return out
}

// Wanted returns how many requests a second this process wants to send to a run.
func (t *Table) Wanted(run string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.limited(run)
	if e == nil {
		return 0
	}
	return e.demand * decay(t.now().Sub(e.demandAt).Seconds()) / shareTime.Seconds()
}

// statements returns what is known of the runs that a message names.
func (t *Table) statements(named []*peerpb.RateLimit) map[string]Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]Statement{}
	for _, l := range named {
		if e := t.all[l.GetInstance()]; e != nil {
			out[l.GetInstance()] = e.Statement
		}
	}
	return out
}

// Retain forgets the runs that keep does not name, and that have said nothing for a while.
func (t *Table) Retain(keep func(run string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for run, e := range t.all {
		if keep(run) || t.now().Sub(e.Heard) <= keptFor {
			continue
		}
		if e.Limited {
			t.limits.Add(-1)
		}
		delete(t.all, run)
	}
}
