// Package truetime tells the time of day on a host whose clock may be wrong, as long as the
// clocks of most hosts are right. It runs on the boot-time clock; how far that is from the
// time of day is agreed with others.
package truetime

import (
	"slices"
	"sync"
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/wallclock"
)

// heardFor is for how long a clock that was heard counts: peers are heard several times a
// second, and a host's boot-time clock drifts by less than 1 ms in it.
const heardFor = 10 * time.Second

// slewShare is how fast the host's clock is followed, as a share of the time that passes. A
// clock drifts by less than 0.1 ms a second; one that is further off has been set. On a played
// day the clocks of three schedulers of six jumped by 3.5 s, and four windows of 5 s were billed
// with up to 62 in 100 of their requests missing.
const slewShare = 0.001

// Clock tells the time of day. It is safe for concurrent use.
type Clock struct {
	wall func() time.Time
	boot func() bootclock.Instant

	mu sync.Mutex
	// own is the host's clock as far as it has been followed, when that was done last.
	own sample
	// peers are the clocks of equals, by name.
	peers map[string]sample
	// source is the clock of a process that has agreed with its own equals.
	source sample
}

// sample is a clock that was heard: the time of day when the boot-time clock of this host
// stood at 0.
type sample struct {
	zero time.Time
	at   bootclock.Instant
}

// New returns a clock that tells the host's own time until it hears others.
func New() *Clock { return newClock(wallclock.Now, bootclock.Now) }

func newClock(wall func() time.Time, boot func() bootclock.Instant) *Clock {
	c := &Clock{wall: wall, boot: boot, peers: map[string]sample{}}
	c.follow(boot())
	return c
}

// HostTime returns the time by the host's clock alone, for other processes to hear. A clock that is
// set while this process runs is followed slowly.
func (c *Clock) HostTime() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.boot()
	return c.follow(now).Add(time.Duration(now))
}

// follow follows the host's clock, and returns the time of day by it when the boot-time clock
// stood at 0. The caller holds the lock.
func (c *Clock) follow(now bootclock.Instant) time.Time {
	zero := c.wall().Add(-time.Duration(now))
	if c.own.at != 0 {
		most := time.Duration(slewShare * float64(now.Sub(c.own.at)))
		zero = c.own.zero.Add(min(max(zero.Sub(c.own.zero), -most), most))
	}
	c.own = sample{zero, now}
	return zero
}

// ObservePeer takes in what the host's clock of an equal says now.
func (c *Clock) ObservePeer(name string, wall time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[name] = c.sample(wall)
}

// ObserveSource takes in the time that a process has agreed on with its equals. It goes before
// all others.
func (c *Clock) ObserveSource(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.source = c.sample(now)
}

func (c *Clock) sample(now time.Time) sample {
	at := c.boot()
	return sample{now.Add(-time.Duration(at)), at}
}

// Now returns the time of day: that of the source if it was heard lately, else the median of
// the own clock and those of the equals that were heard lately. A minority of wrong clocks
// cannot move it further than the right ones differ.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.boot()
	if c.source.at != 0 && now.Sub(c.source.at) <= heardFor {
		return c.source.zero.Add(time.Duration(now))
	}
	zeros := []time.Time{c.follow(now)}
	for name, s := range c.peers {
		if now.Sub(s.at) > heardFor {
			delete(c.peers, name)
			continue
		}
		zeros = append(zeros, s.zero)
	}
	slices.SortFunc(zeros, time.Time.Compare)
	return zeros[(len(zeros)-1)/2].Add(time.Duration(now))
}
