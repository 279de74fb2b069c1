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

// The head of a copy is the configuration and the rules, without the registrations. With it a process serves what
// schedulers place, which name the instances: after a loss of all, hundreds of small hosts would else each decode
// 10,000 registrations, half a second's work, before their first request.

// wantsHead reports whether this process asks for the head of a copy alone.
func (c *Client) wantsHead() bool {
	v := c.o.View()
	return !v.Scheduling && !v.InstancesKnown && (v.Config == nil || bootclock.Now() < v.FullSnapshotAt)
}

// headOrder returns whom this process asks for the head: those that watch the store first, since they are ready
// first after a loss of all.
func (c *Client) headOrder() []members.Member {
	v := c.o.View()
	others := slices.DeleteFunc(slices.Clone(v.Schedulers), func(m members.Member) bool { return members.Contains(v.Watchers, m.Name) })
	return append(c.directory.order(v.Watchers, len(v.Watchers)), c.directory.order(others, len(others))...)
}

// mostAsks returns how many schedulers are asked: all by a process that cannot decide alone yet. After a start of
// all those of its own failure domain may be ready last.
func (c *Client) mostAsks() int {
	if v := c.o.View(); !v.InstancesKnown {
		return len(v.Schedulers)
	}
	return asks
}

// followHead answers one that follows this process and wants the head alone. There is no position then.
func (s *Server) followHead(m *peerpb.Follow) *peerpb.Response {
	out := s.updateOf(s.o.View())
	out.Head = true
	return s.answerFollow(out, feed.Position{}, s.heads.of(s.feed, s.o.InstancePrefix), m.GetUnpacks())
}

// heads keeps the head of a feed at its newest position. It is safe for concurrent use.
type heads struct {
	mu   sync.Mutex
	kept feed.Update
}

// of returns the head of a feed in which registrations have a prefix.
func (h *heads) of(f *feed.Feed, instancePrefix string) feed.Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.kept.Position == (feed.Position{RunID: f.RunID(), Sequence: f.Sequence()}) {
		return h.kept
	}
	whole, _ := f.Since(feed.Position{})
	h.kept = feed.Update{Position: whole.Position}
	for _, e := range whole.Events {
		if !strings.HasPrefix(e.Object.Key, instancePrefix) {
			h.kept.Events = append(h.kept.Events, e)
		}
	}
	return h.kept
}
