// Package truetime tells the time of day on a host whose clock may be wrong, as long as the
// clocks of most hosts are right. It runs on the boot-time clock; how far that is from the
// time of day is agreed with others.
package truetime

import (
	"slices"
	"sync"
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
)

// heardFor is for how long a clock that was heard counts: peers are heard several times a
// second, and a host's boot-time clock drifts by less than 1 ms in it.
const heardFor = 10 * time.Second

// Clock tells the time of day. It is safe for concurrent use.
type Clock struct {
	wall func() time.Time
	boot func() bootclock.Instant

	mu sync.Mutex
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
func New() *Clock {
	return &Clock{wall: time.Now, boot: bootclock.Now, peers: map[string]sample{}}
}

// Own returns what the host's clock says, for other processes to hear.
func (c *Clock) Own() time.Time { return c.wall() }

// HearPeer takes in what the host's clock of an equal says now.
func (c *Clock) HearPeer(name string, wall time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[name] = c.sample(wall)
}

// HearSource takes in the time that a process has agreed on with its equals. It goes before
// all others.
func (c *Clock) HearSource(now time.Time) {
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
	zeros := []time.Time{c.wall().Add(-time.Duration(now))}
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
