package ratelimit

import (
	"math"
	"slices"
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
)

const (
	// minGrantRate is the minimum rate granted under any limit, in requests per second. Without
	// an occasional request, no process would learn that a limit has ended.
	minGrantRate = 0.25
	// burstTime is how long unused requests accumulate, beyond the first request.
	burstTime = 400 * time.Millisecond
	// rampUpTime is how long only rampUpShare of a new limit is granted. Requests sent shortly
	// before the limit was known still count towards what the instance receives in that time.
	rampUpTime  = 4 * time.Second
	rampUpShare = 0.7
	// smoothingTime is the time constant over which the demand and grants of a process decay.
	smoothingTime = time.Second
	// maxIdleCredit limits how much idle time is credited when the bucket is refilled.
	maxIdleCredit = 5 * time.Second
	// minDemand is the demand below which a process is removed from the bucket.
	minDemand = 1e-3
)

// bucket is a token bucket from which the coordinator grants requests under one limit. Processes
// get grants in proportion to their demand.
type bucket struct {
	// filledAt is when the bucket was last filled.
	filledAt bootclock.Instant
	level    float64
	// capacity is the maximum level when filling, returnCapacity the maximum with returned grants.
	capacity, returnCapacity float64
	requesters               []*requester
}

// requester is a process that requests grants.
type requester struct {
	process string
	// demand and granted are decaying counts of the requests that it asked for and was granted.
	demand, granted float64
}

// newBucket returns a bucket that grants nothing before opensAt.
func newBucket(opensAt bootclock.Instant) *bucket {
	return &bucket{filledAt: opensAt}
}

// fill adds the requests that have become due at a rate, and decays demand and grants. lifetime is that of a grant.
func (b *bucket) fill(now bootclock.Instant, rate float64, lifetime time.Duration) {
	elapsed := now.Sub(b.filledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.filledAt = now
	b.capacity = max(1, rate*burstTime.Seconds())
	b.returnCapacity = b.capacity + max(1, rate*lifetime.Seconds())
	b.level = max(b.level, min(b.level+rate*min(elapsed, maxIdleCredit.Seconds()), b.capacity))
	factor := decay(elapsed)
	for _, r := range b.requesters {
		r.demand *= factor
		r.granted *= factor
	}
	b.requesters = slices.DeleteFunc(b.requesters, func(r *requester) bool { return r.demand < minDemand })
}

// decay returns the factor by which a smoothed count shrinks over a number of seconds.
func decay(seconds float64) float64 { return math.Exp(-seconds / smoothingTime.Seconds()) }

// requesterOf returns the record of a process, or nil if it has no recent demand.
func (b *bucket) requesterOf(process string) *requester {
	for _, r := range b.requesters {
		if r.process == process {
			return r
		}
	}
	return nil
}

// addDemand counts requests that a process has asked for.
func (b *bucket) addDemand(process string, requests float64) {
	r := b.requesterOf(process)
	if r == nil {
		r = &requester{process: process}
		b.requesters = append(b.requesters, r)
	}
	r.demand += requests
}

// returnUnused takes back requests that were granted to a process and expired unsent.
func (b *bucket) returnUnused(process string, requests int) {
	r := b.requesterOf(process)
	if r == nil {
		return
	}
	r.granted = max(r.granted-float64(requests), 0)
	b.level = max(b.level, min(b.level+float64(requests), b.returnCapacity))
}

// tryGrant grants one request to a process. It returns false if no request is due, or if the
// process already has more than its proportional share of the grants.
func (b *bucket) tryGrant(process string) bool {
	if !b.canGrant(process) {
		return false
	}
	b.level--
	b.requesterOf(process).granted++
	return true
}

// canGrant reports whether tryGrant would grant a request.
func (b *bucket) canGrant(process string) bool {
	r := b.requesterOf(process)
	if b.level < 1 || r == nil {
		return false
	}
	demand, granted := 0.0, 0.0
	for _, other := range b.requesters {
		demand += other.demand
		granted += other.granted
	}
	return r.granted*demand <= (granted+1)*r.demand
}
