package ratelimit

import (
	"math"
	"slices"
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
)

const (
	// leastRate is granted of any limit, in requests a second: without a request now and then nobody
	// hears that a limit has ended.
	leastRate = 0.25
	// burstTime is how long a keeper saves up what nobody has asked for, above one request.
	burstTime = 400 * time.Millisecond
	// startTime is for how long only startShare of a new limit is granted: what was sent just before it is
	// still part of what an instance gets in such a time.
	startTime  = 4 * time.Second
	startShare = 0.7
	// shareTime is over how long demand and grants of a process are smoothed.
	shareTime = time.Second
	// idleMost is how much of a time in which nobody wanted to send counts for what is due.
	idleMost = 5 * time.Second
	// leastDemand is what is left of the demand of a process that is forgotten.
	leastDemand = 1e-3
)

// bucket is what a keeper grants of one limit: requests at its rate, to each process in proportion to
// its demand.
type bucket struct {
	// at is when it was filled last.
	at    bootclock.Instant
	level float64
	// most is the level up to which the bucket is filled, mostBack that with what lapsed.
	most, mostBack float64
	askers         []*asker
}

// asker is a process that wants to send.
type asker struct {
	process string
	// demand and granted are how many requests it wanted and got, of which older ones count less.
	demand, granted float64
}

// newBucket returns a bucket that grants nothing before a time.
func newBucket(opensAt bootclock.Instant) *bucket {
	return &bucket{at: opensAt}
}

// fill adds what has become due at a rate, and ages demand and grants. Grants live for a time.
func (b *bucket) fill(now bootclock.Instant, rate float64, life time.Duration) {
	passed := now.Sub(b.at).Seconds()
	if passed <= 0 {
		return
	}
	b.at = now
	b.most = max(1, rate*burstTime.Seconds())
	b.mostBack = b.most + max(1, rate*life.Seconds())
	b.level = max(b.level, min(b.level+rate*min(passed, idleMost.Seconds()), b.most))
	left := decay(passed)
	for _, a := range b.askers {
		a.demand *= left
		a.granted *= left
	}
	b.askers = slices.DeleteFunc(b.askers, func(a *asker) bool { return a.demand < leastDemand })
}

// decay is what is left after some seconds of a number that ages.
func decay(seconds float64) float64 { return math.Exp(-seconds / shareTime.Seconds()) }

// asker returns what is known of a process, nil if it has wanted nothing lately.
func (b *bucket) asker(process string) *asker {
	for _, a := range b.askers {
		if a.process == process {
			return a
		}
	}
	return nil
}

// want counts requests that a process wants to send.
func (b *bucket) want(process string, requests float64) {
	a := b.asker(process)
	if a == nil {
		a = &asker{process: process}
		b.askers = append(b.askers, a)
	}
	a.demand += requests
}

// takeBack takes in requests that were granted to a process and will not be sent.
func (b *bucket) takeBack(process string, requests int) {
	a := b.asker(process)
	if a == nil {
		return
	}
	a.granted = max(a.granted-float64(requests), 0)
	b.level = max(b.level, min(b.level+float64(requests), b.mostBack))
}

// draw grants a process one request. It reports false if none is due, or if others, which want some
// too, got less than their part.
func (b *bucket) draw(process string) bool {
	if !b.has(process) {
		return false
	}
	b.level--
	b.asker(process).granted++
	return true
}

// has reports whether draw would grant a request.
func (b *bucket) has(process string) bool {
	a := b.asker(process)
	if b.level < 1 || a == nil {
		return false
	}
	demand, granted := 0.0, 0.0
	for _, other := range b.askers {
		demand += other.demand
		granted += other.granted
	}
	return a.granted*demand <= (granted+1)*a.demand
}
