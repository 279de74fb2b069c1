package scheduler

import (
	"slices"
	"strings"
	"sync"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/internal/feed"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/members"
)

// A partial snapshot (Head in the peer protocol) has the configuration and the rules but no registrations. It is
// enough for a process to serve requests that schedulers place, since a placement names the instances. Without it,
// after a failure of all processes, hundreds of small hosts would each spend half a second decoding 10,000
// registrations before their first request.

// needsPartialSnapshot reports whether this process requests a partial snapshot.
func (c *Client) needsPartialSnapshot() bool {
	v := c.o.View()
	return !v.Scheduling && !v.InstancesKnown && (v.Config == nil || bootclock.Now() < v.FullSnapshotAt)
}

// partialSnapshotOrder returns the processes to ask for a partial snapshot, in order. Those that watch the store
// come first, since they become ready first after a failure of all processes.
func (c *Client) partialSnapshotOrder() []members.Member {
	v := c.o.View()
	others := slices.DeleteFunc(slices.Clone(v.Schedulers), func(m members.Member) bool { return members.Contains(v.Watchers, m.Name) })
	return append(c.ranking.order(v.Watchers, len(v.Watchers)), c.ranking.order(others, len(others))...)
}

// placeAttempts returns how many schedulers to try. A process that cannot place requests itself yet tries all of
// them: after a restart of all processes, the schedulers of its own failure domain may become ready last.
func (c *Client) placeAttempts() int {
	if v := c.o.View(); !v.InstancesKnown {
		return len(v.Schedulers)
	}
	return maxPlaceAttempts
}

// sendPartialSnapshot responds to a follower with a partial snapshot, which has no position.
func (s *Server) sendPartialSnapshot(m *peerpb.Follow) *peerpb.Response {
	out := s.updateFromView(s.o.View())
	out.Head = true
	return s.followResponse(out, feed.Position{}, s.partialSnapshots.get(s.feed, s.o.InstancePrefix), m.GetUnpacks())
}

// partialSnapshotCache caches the partial snapshot of a feed at its newest position. It is safe for concurrent use.
type partialSnapshotCache struct {
	mu     sync.Mutex
	cached feed.Update
}

// get returns the partial snapshot of a feed: all objects whose keys do not have the prefix of registrations.
func (c *partialSnapshotCache) get(f *feed.Feed, instancePrefix string) feed.Update {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cached.Position == (feed.Position{RunID: f.RunID(), Sequence: f.Sequence()}) {
		return c.cached
	}
	full, _ := f.Since(feed.Position{})
	c.cached = feed.Update{Position: full.Position}
	for _, e := range full.Events {
		if !strings.HasPrefix(e.Object.Key, instancePrefix) {
			c.cached.Events = append(c.cached.Events, e)
		}
	}
	return c.cached
}
