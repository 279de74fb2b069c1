package scheduler

import (
	"sort"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/members"
)

// maxTrackedPositions limits how many positions of the feed are kept with their times.
const maxTrackedPositions = 256

// positionHistory records when the feed reached its latest positions. It is not safe for concurrent use.
type positionHistory struct {
	reached []positionTime
}

type positionTime struct {
	position uint64
	at       time.Time
}

// record records that the feed has reached a position.
func (p *positionHistory) record(position uint64, now time.Time) {
	if n := len(p.reached); n > 0 && p.reached[n-1].position >= position {
		return
	}
	p.reached = append(p.reached, positionTime{position, now})
	if len(p.reached) > maxTrackedPositions {
		p.reached = p.reached[len(p.reached)-maxTrackedPositions:]
	}
}

// lag returns for how long a follower at a position has lacked a change, or 0 if it is up to date.
func (p *positionHistory) lag(position uint64, now time.Time) time.Duration {
	first := sort.Search(len(p.reached), func(n int) bool { return p.reached[n].position > position })
	if first == len(p.reached) {
		return 0
	}
	return now.Sub(p.reached[first].at)
}

// Followers describes how up to date the followers of a scheduler are.
type Followers struct {
	// Active is the number of followers that called recently.
	Active int `json:"serving"`
	// Behind is how many of them have lacked a change for more than maxLagShare of Options.PropagationLimit.
	// MaxLagMs is the maximum lag in ms.
	Behind   int   `json:"behind"`
	MaxLagMs int64 `json:"mostMs"`
}

// maxLagShare is the part of Options.PropagationLimit above which the lag of a follower counts as being behind.
const maxLagShare = 0.25

// Followers returns how up to date the followers of this process are.
func (s *Server) Followers() Followers {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.followers(time.Now())
}

// RelayingFollowers returns up to n followers that relay connections, at random, without the one with the given name.
func (s *Server) RelayingFollowers(n int, except string) []members.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []members.Member
	for name, c := range s.clients { // in a random order
		if c.peer == "" || name == except {
			continue
		}
		if out = append(out, members.Member{Name: name, Peer: c.peer}); len(out) == n {
			break
		}
	}
	return out
}

// followers implements Followers. The caller holds the lock.
func (s *Server) followers(now time.Time) Followers {
	var out Followers
	threshold := time.Duration(maxLagShare * float64(s.o.PropagationLimit))
	for _, c := range s.clients {
		if !c.follower {
			continue
		}
		out.Active++
		lag := s.positions.lag(c.position, now)
		if lag > threshold {
			out.Behind++
		}
		out.MaxLagMs = max(out.MaxLagMs, lag.Milliseconds())
	}
	return out
}

// updateFollowerMetrics updates the metrics about followers. The caller holds the lock.
func (s *Server) updateFollowerMetrics(now time.Time) {
	s.positions.record(s.feed.Sequence(), now)
	f := s.followers(now)
	metrics.GetOrRegisterGauge("scheduler.followers", s.o.Metrics).Update(int64(f.Active))
	metrics.GetOrRegisterGauge("scheduler.followers_behind", s.o.Metrics).Update(int64(f.Behind))
	metrics.GetOrRegisterGauge("scheduler.followers_behind_ms", s.o.Metrics).Update(f.MaxLagMs)
}
