package ratelimit

import (
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
)

// Demand is what a process asks the keeper for.
type Demand struct {
	Run string
	// Known is what the process knows of the run.
	Known RateReport
	// Wanted requests want to be sent there, Lapsed ones were granted and will not be sent.
	Wanted, Lapsed int
}

// grant is a number of requests that may be sent until a time.
type grant struct {
	requests int
	until    bootclock.Instant
}

// AnyLimited reports whether any run of an instance limits its rate.
func (t *Table) AnyLimited() bool { return t.limits.Load() > 0 }

// CheckGrant reports whether a request may be sent to a run of an instance. It counts as demand, unless it
// has been counted before.
func (t *Table) CheckGrant(run string, counted bool) bool {
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
	if b != nil && !counted {
		b.want(t.self, 1)
	}
	allowed := b != nil && b.has(t.self)
	if b == nil {
		t.ask(e, counted)
		allowed = e.hold(now) > 0
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

// UseGrant counts a request that is about to be sent to a run of an instance. Granted is true if the run
// limits its rate, ok is false if the request may not be sent.
func (t *Table) UseGrant(run string) (granted, ok bool) {
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

// TryAcquire counts a request that no placement has considered before it is sent, as Allows and Take do.
func (t *Table) TryAcquire(run string) (ok bool) {
	if !t.CheckGrant(run, false) {
		return false
	}
	_, ok = t.UseGrant(run)
	return ok
}

// BlocksUngranted reports whether a request must not be sent that was placed without a grant, since its instance
// limits its rate. The process that placed it does not know of the limit, as one that has just started,
// or knows that it has ended: it is told what is known here, and answers with what it knows.
func (t *Table) BlocksUngranted(run string) bool {
	if t.limits.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limited(run) == nil {
		return false
	}
	t.news[run] = true
	t.signal()
	return true
}

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
	seconds := (1 + e.demand) / (max(e.PerSecond, leastRate) * t.fleet.Share())
	return time.Duration(min(max(seconds, minRetry.Seconds()), maxRetry.Seconds()) * float64(time.Second))
}

// DemandRate returns how many requests a second this process wants to send to a run.
func (t *Table) DemandRate(run string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.limited(run)
	if e == nil {
		return 0
	}
	return e.demand * decay(t.now().Sub(e.demandAt).Seconds()) / shareTime.Seconds()
}

// bucketOf returns what this process grants of a limit, filled, nil if another one is the keeper. The
// caller holds the lock.
func (t *Table) bucketOf(e *entry, now bootclock.Instant) *bucket {
	if t.fleet.Coordinator() != t.self {
		e.bucket = nil
		return nil
	}
	if e.bucket == nil {
		opensAt := now
		if now.Sub(e.LimitedSince) > grantLife { // an earlier keeper's grants are still sent
			opensAt = now.Add(e.life())
		}
		e.bucket = newBucket(opensAt)
		e.grants, e.lapsed = nil, 0
	}
	rate := max(e.PerSecond, leastRate) * t.fleet.Share()
	if now.Sub(e.LimitedSince) < startTime {
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

// Demand returns what is to be asked of the keeper, and counts anew.
func (t *Table) Demand() []Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Demand
	for run, e := range t.all {
		if e.hold(t.now()); e.wanted == 0 && e.lapsed == 0 {
			continue
		}
		out = append(out, Demand{run, e.RateReport, e.wanted, e.lapsed})
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
