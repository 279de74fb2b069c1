package scheduler

import (
	"sort"
	"time"

	"github.com/rcrowley/go-metrics"
)

// progressKept bounds how many positions of the feed are remembered with their times.
const progressKept = 256

// progress remembers when the feed got to its latest positions. It is not safe for concurrent use.
type progress struct {
	seen []seenAt
}

type seenAt struct {
	position uint64
	at       time.Time
}

// see notes that the feed is at a position.
func (p *progress) see(position uint64, now time.Time) {
	if n := len(p.seen); n > 0 && p.seen[n-1].position >= position {
		return
	}
	p.seen = append(p.seen, seenAt{position, now})
	if len(p.seen) > progressKept {
		p.seen = p.seen[len(p.seen)-progressKept:]
	}
}

// behind returns for how long a copy at a position has lacked something, 0 if it lacks nothing.
func (p *progress) behind(position uint64, now time.Time) time.Duration {
	first := sort.Search(len(p.seen), func(n int) bool { return p.seen[n].position > position })
	if first == len(p.seen) {
		return 0
	}
	return now.Sub(p.seen[first].at)
}

// Followers says how far the processes are that follow a scheduler.
type Followers struct {
	// Serving is how many there are that were heard lately.
	Serving int `json:"serving"`
	// Behind is how many of them have lacked a change for more than a quarter of the time in which one must
	// have reached everybody, MostMs how long the one that lacks one the longest has, in ms.
	Behind   int   `json:"behind"`
	MaxLagMs int64 `json:"mostMs"`
}

// behindShare is the part of the time in which a change must have reached everybody from which on a
// process counts as behind.
const behindShare = 0.25

// Followers returns how far the processes are that follow this one.
func (s *Server) Followers() Followers {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.followers(time.Now())
}

// followers is Followers for a caller that holds the lock.
func (s *Server) followers(now time.Time) Followers {
	var out Followers
	late := time.Duration(behindShare * float64(s.o.PropagationLimit))
	for _, c := range s.clients {
		if !c.follows {
			continue
		}
		out.Serving++
		behind := s.progress.behind(c.position, now)
		if behind > late {
			out.Behind++
		}
		out.MaxLagMs = max(out.MaxLagMs, behind.Milliseconds())
	}
	return out
}

// showFollowers updates the metrics of those that follow. The caller holds the lock.
func (s *Server) showFollowers(now time.Time) {
	s.progress.see(s.feed.Sequence(), now)
	f := s.followers(now)
	metrics.GetOrRegisterGauge("scheduler.followers", s.o.Metrics).Update(int64(f.Serving))
	metrics.GetOrRegisterGauge("scheduler.followers_behind", s.o.Metrics).Update(int64(f.Behind))
	metrics.GetOrRegisterGauge("scheduler.followers_behind_ms", s.o.Metrics).Update(f.MaxLagMs)
}
