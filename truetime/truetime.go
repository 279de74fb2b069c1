// Package truetime provides the time of day on a host whose clock may be wrong, as long as the
// clocks of most hosts are right. It adds an offset to the boot-time clock that is agreed on with
// other processes.
package truetime

import (
	"slices"
	"sync"
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/wallclock"
)

// sampleLifetime is how long a clock sample is valid. Samples of peers arrive several times a second,
// and a host's boot-time clock drifts by less than 1 ms in this time.
const sampleLifetime = 10 * time.Second

// maxSlewRate is the maximum rate at which changes of the host's clock are followed, as a share of the
// elapsed time. A clock drifts by less than 0.1 ms a second; one that deviates faster has been set.
// In a simulation the clocks of three schedulers of six jumped by 3.5 s, and four billing windows
// of 5 s lacked up to 62% of their requests.
const maxSlewRate = 0.001

// Clock provides the time of day. It is safe for concurrent use.
type Clock struct {
	wall func() time.Time
	boot func() bootclock.Instant

	mu sync.Mutex
	// host is the latest sample of the host's clock, with its changes limited by maxSlewRate.
	host sample
	// peers are the latest samples of the peers' host clocks, by name.
	peers map[string]sample
	// source is the latest sample of a process that has agreed on the time with its own peers.
	source sample
}

// sample is a reading of a clock, stored as the time of day at which the boot-time clock of this
// host was 0.
type sample struct {
	bootTime time.Time
	at       bootclock.Instant
}

// New returns a clock that follows the host's clock until it receives samples of others.
func New() *Clock { return newClock(wallclock.Now, bootclock.Now) }

func newClock(wall func() time.Time, boot func() bootclock.Instant) *Clock {
	c := &Clock{wall: wall, boot: boot, peers: map[string]sample{}}
	c.followHostClock(boot())
	return c
}

// HostTime returns the time by the host's clock alone, for sending to other processes. Jumps of the host's
// clock while this process runs are followed at maxSlewRate.
func (c *Clock) HostTime() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.boot()
	return c.followHostClock(now).Add(time.Duration(now))
}

// followHostClock updates the sample of the host's clock, and returns the time of day by it at which the
// boot-time clock was 0. The caller holds the lock.
func (c *Clock) followHostClock(now bootclock.Instant) time.Time {
	bootTime := c.wall().Add(-time.Duration(now))
	if c.host.at != 0 {
		maxStep := time.Duration(maxSlewRate * float64(now.Sub(c.host.at)))
		bootTime = c.host.bootTime.Add(min(max(bootTime.Sub(c.host.bootTime), -maxStep), maxStep))
	}
	c.host = sample{bootTime, now}
	return bootTime
}

// ObservePeer records the current time by the host's clock of a peer.
func (c *Clock) ObservePeer(name string, wall time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[name] = c.newSample(wall)
}

// ObserveSource records the current time of a process that has agreed on it with its peers. It takes
// precedence over all other samples.
func (c *Clock) ObserveSource(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.source = c.newSample(now)
}

func (c *Clock) newSample(now time.Time) sample {
	at := c.boot()
	return sample{now.Add(-time.Duration(at)), at}
}

// Now returns the time of day: that of the source if its sample is valid, otherwise the median of the
// host's own clock and the valid samples of peers. Wrong clocks, while they are a minority, cannot move
// the median further than the right ones differ.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.boot()
	if c.source.at != 0 && now.Sub(c.source.at) <= sampleLifetime {
		return c.source.bootTime.Add(time.Duration(now))
	}
	bootTimes := []time.Time{c.followHostClock(now)}
	for name, s := range c.peers {
		if now.Sub(s.at) > sampleLifetime {
			delete(c.peers, name)
			continue
		}
		bootTimes = append(bootTimes, s.bootTime)
	}
	slices.SortFunc(bootTimes, time.Time.Compare)
	return bootTimes[(len(bootTimes)-1)/2].Add(time.Duration(now))
}
