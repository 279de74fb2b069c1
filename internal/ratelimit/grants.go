package ratelimit

import (
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
)

// Demand is what a process requests from the coordinator for one run of an instance.
type Demand struct {
	Run string
	// Known is what the process knows about the limit.
	Known RateReport
	// Requested is the number of requests it asks for, Expired the number granted earlier that expired unsent.
	Requested, Expired int
}

// grant is a number of requests that may be sent until it expires.
type grant struct {
	requests  int
	expiresAt bootclock.Instant
}

// AnyLimited reports whether any run of an instance limits its rate.
func (t *Table) AnyLimited() bool { return t.activeLimits.Load() > 0 }

// CheckGrant reports whether a request may be sent to a run of an instance. The request counts as demand
// unless counted says that it has been counted before.
func (t *Table) CheckGrant(run string, counted bool) bool {
	if t.activeLimits.Load() == 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.limitedEntry(run)
	if e == nil {
		return true
	}
	now := t.now()
	b := t.bucketOf(e, now)
	if !counted {
		e.demand = e.demand*decay(now.Sub(e.demandAt).Seconds()) + 1
		e.demandAt = now
	}
	if b != nil && !counted {
		b.addDemand(t.self, 1)
	}
	allowed := b != nil && b.canGrant(t.self)
	if b == nil {
		t.requestGrant(e, counted)
		allowed = e.usableGrants(now) > 0
	}
	if !allowed && !counted {
		t.denied.Inc(1)
	}
	return allowed
}

// requestGrant asks the coordinator for one more request, or again for one counted before. The caller
// holds the lock.
func (t *Table) requestGrant(e *entry, counted bool) {
	if !counted || e.requested == 0 {
		e.requested++
	}
	if e.requested == 1 {
		t.signal()
	}
}

// UseGrant consumes a grant for a request that is about to be sent to a run of an instance. Granted is true
// if the run limits its rate; ok is false if the request may not be sent.
func (t *Table) UseGrant(run string) (granted, ok bool) {
	if t.activeLimits.Load() == 0 {
		return false, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.limitedEntry(run)
	if e == nil {
		return false, true
	}
	if ok = t.consume(e); ok {
		t.taken.Inc(1)
	}
	return ok, ok
}

// consume consumes a grant for a request to a limited run. It returns false if there is none. The
// caller holds the lock.
func (t *Table) consume(e *entry) bool {
	now := t.now()
	if b := t.bucketOf(e, now); b != nil {
		return b.tryGrant(t.self)
	}
	if e.usableGrants(now) == 0 {
		return false
	}
	e.grants[0].requests--
	return true
}

// TryAcquire counts a request as demand and consumes a grant for it. It is for requests that are sent without placement.
func (t *Table) TryAcquire(run string) (ok bool) {
	if !t.CheckGrant(run, false) {
		return false
	}
	_, ok = t.UseGrant(run)
	return ok
}

// BlocksUngranted reports whether a request that was placed without a grant must not be sent, because its
// instance limits its rate. The process that placed the request does not know the limit, for example
// because it has just started, or knows that the limit has ended. The limit known here is sent to that
// process, which responds with what it knows.
func (t *Table) BlocksUngranted(run string) bool {
	if t.activeLimits.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limitedEntry(run) == nil {
		return false
	}
	t.updated[run] = true
	t.signal()
	return true
}

// RetryAfter returns when a client may retry after a rejection due to the rate limit of a run: the time
// until the requests that are already waiting for the run have been sent.
func (t *Table) RetryAfter(run string) time.Duration {
	if t.activeLimits.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.limitedEntry(run)
	if e == nil {
		return 0
	}
	seconds := (1 + e.demand) / (max(e.PerSecond, minGrantRate) * t.fleet.Share())
	return time.Duration(min(max(seconds, minRetry.Seconds()), maxRetry.Seconds()) * float64(time.Second))
}

// DemandRate returns the demand of this process for a run, in requests per second.
func (t *Table) DemandRate(run string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.limitedEntry(run)
	if e == nil {
		return 0
	}
	return e.demand * decay(t.now().Sub(e.demandAt).Seconds()) / smoothingTime.Seconds()
}

// bucketOf returns the refilled bucket of a limit, or nil if another process is the coordinator. The
// caller holds the lock.
func (t *Table) bucketOf(e *entry, now bootclock.Instant) *bucket {
	if t.fleet.Coordinator() != t.self {
		e.bucket = nil
		return nil
	}
	if e.bucket == nil {
		opensAt := now
		if now.Sub(e.LimitedSince) > minGrantLifetime { // requests granted by an earlier coordinator may still be sent
			opensAt = now.Add(e.grantLifetime())
		}
		e.bucket = newBucket(opensAt)
		e.grants, e.expired = nil, 0
	}
	rate := max(e.PerSecond, minGrantRate) * t.fleet.Share()
	if now.Sub(e.LimitedSince) < rampUpTime {
		rate *= rampUpShare
	}
	e.bucket.fill(now, rate, e.grantLifetime())
	return e.bucket
}

// usableGrants discards expired grants and returns how many requests may still be sent.
func (e *entry) usableGrants(now bootclock.Instant) (requests int) {
	for len(e.grants) > 0 && (e.grants[0].expiresAt <= now || e.grants[0].requests == 0) {
		if now.Sub(e.grants[0].expiresAt) < returnWindow {
			e.expired += e.grants[0].requests
		}
		e.grants = e.grants[1:]
	}
	for _, g := range e.grants {
		requests += g.requests
	}
	return requests
}

// TakeDemand returns the requests for the coordinator and resets their counts.
func (t *Table) TakeDemand() []Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Demand
	for run, e := range t.all {
		if e.usableGrants(t.now()); e.requested == 0 && e.expired == 0 {
			continue
		}
		out = append(out, Demand{run, e.RateReport, e.requested, e.expired})
		e.requested, e.expired = 0, 0
	}
	return out
}

// Grant grants a process requests to a run, at most as many as requested, and returns how many. expired
// is the number of earlier grants of that process that expired unsent. Grant returns 0 if this process
// is not the coordinator.
func (t *Table) Grant(run, process string, requested, expired int) (granted int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.limitedEntry(run)
	if e == nil {
		return 0
	}
	b := t.bucketOf(e, t.now())
	if b == nil {
		return 0
	}
	b.addDemand(process, float64(requested))
	b.returnUnused(process, expired)
	for granted < requested && b.tryGrant(process) {
		granted++
	}
	return granted
}

// AddGrants adds requests granted by the coordinator. Their lifetime counts from asked, when they were
// requested.
func (t *Table) AddGrants(run string, requests int, asked bootclock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.limitedEntry(run); e != nil && requests > 0 {
		e.grants = append(e.grants, grant{requests, asked.Add(e.grantLifetime())})
		t.after(e.grantLifetime(), t.signal) // to return what has expired by then
	}
}
