package reach

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rockdoor/rockdoor/members"
)

const (
	// maxNamed is the number of processes that are kept of those which peers have named.
	maxNamed = 32
	// maxHelpers is how many peers are asked for one connection. Peers whose own path is cut answer at once and don't
	// count, up to maxAsked in all.
	maxHelpers = 3
	maxAsked   = 8
	// unableTime is how long a peer that could not connect either is asked after the others, and
	// unavailableTime how long one is not asked that does not respond or is busy, or not for the same instance if it has
	// lost that path.
	// unableTime is longer than unreachableTime, so that other peers are asked the next time.
	unableTime      = 5 * time.Second
	unavailableTime = time.Second
	// busyTime is how long a peer without room is not asked. Its open connections stay in use.
	busyTime = 50 * time.Millisecond
)

// helpers orders the peers that may relay connections. It is safe for concurrent use.
type helpers struct {
	self string

	mu sync.Mutex
	// excludedUntil is when a peer may be asked again, demotedUntil when it is no longer asked last. last is the
	// name of the one that last helped.
	excludedUntil, demotedUntil map[string]time.Time
	last                        string
	// busyUntil is when a peer that had no room may be asked again.
	busyUntil map[string]time.Time
	// lostPaths is until when a peer is not asked for an address to which its own path is cut.
	lostPaths map[peerPath]time.Time
	// named has the processes that peers have named, by name.
	named map[string]members.Member
}

// peerPath is the path of a peer to an address.
type peerPath struct{ peer, address string }

func newHelpers(self string) *helpers {
	return &helpers{self: self, lostPaths: map[peerPath]time.Time{}, busyUntil: map[string]time.Time{}, excludedUntil: map[string]time.Time{}, demotedUntil: map[string]time.Time{}, named: map[string]members.Member{}}
}

// order returns the processes to ask for a connection to an address, in order: the last one that helped, then those that
// peers have named, which have less to do than the given ones, each in an order that differs between hosts.
// If each of them has no room, the list is empty, and wait is the time until one may be asked again.
func (h *helpers) order(peers []members.Member, address string, now time.Time) (out []members.Member, wait time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := slices.Clone(peers)
	for _, m := range h.named {
		if !members.Contains(peers, m.Name) {
			all = append(all, m)
		}
	}
	for _, m := range all {
		if m.Name == h.self || now.Before(h.excludedUntil[m.Name]) || now.Before(h.lostPaths[peerPath{m.Name, address}]) {
			continue
		}
		if left := h.busyUntil[m.Name].Sub(now); left > 0 {
			if wait == 0 || left < wait {
				wait = left
			}
			continue
		}
		out = append(out, m)
	}
	if len(out) == 0 {
		return nil, wait
	}
	slices.SortFunc(out, func(a, b members.Member) int {
		return cmp.Or(cmp.Compare(h.rank(a, now), h.rank(b, now)), cmp.Compare(h.score(a), h.score(b)))
	})
	return out[:min(maxAsked, len(out))], 0
}

func (h *helpers) rank(m members.Member, now time.Time) int {
	_, named := h.named[m.Name]
	switch {
	case now.Before(h.demotedUntil[m.Name]):
		return 3
	case m.Name == h.last && (named || len(h.named) == 0):
		return 0
	case named:
		return 1
	}
	return 2
}

// add adds a process that a peer has named.
func (h *helpers) add(m members.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, known := h.named[m.Name]; known || len(h.named) < maxNamed {
		h.named[m.Name] = m
	}
}

func (h *helpers) score(m members.Member) uint64 { return xxhash.Sum64String(h.self + "\x00" + m.Name) }

func (h *helpers) recordHelp(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last = name
	delete(h.excludedUntil, name)
}

// demote has a peer asked after the others until the given time.
func (h *helpers) demote(name string, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.demotedUntil[name] = until
}

// recordBusy has a peer that has no room asked again after a while, and after the others.
func (h *helpers) recordBusy(name string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.busyUntil[name] = now.Add(busyTime)
	h.demotedUntil[name] = now.Add(unavailableTime)
}

// recordLostPath has a peer asked after the others until the given time, and not for an address to which its own path is
// cut: it may reach the others.
func (h *helpers) recordLostPath(name, address string, now, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.lostPaths, func(_ peerPath, until time.Time) bool { return now.After(until) })
	h.lostPaths[peerPath{name, address}] = until
	h.demotedUntil[name] = until
	if h.last == name {
		h.last = ""
	}
}

// exclude keeps a peer from being asked until the given time.
func (h *helpers) exclude(name string, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.excludedUntil[name] = until
	delete(h.named, name) // another one is named soon
	if h.last == name {
		h.last = ""
	}
}

// excluded reports whether a peer is not to be used now.
func (h *helpers) excluded(name string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.excludedUntil[name])
}

// lastHelper returns the name of the peer that last helped, empty if there is none.
func (h *helpers) lastHelper() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.last
}
