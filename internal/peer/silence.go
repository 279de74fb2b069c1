package peer

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// silenceFirst and silenceMost bound the pause before a peer that did not answer is
	// called again.
	silenceFirst = 250 * time.Millisecond
	silenceMost  = 4 * time.Second
)

// Silences remembers which peers do not answer. It is safe for concurrent use.
type Silences struct {
	mu    sync.Mutex
	peers map[string]*silence
}

// silence is a peer that does not answer.
type silence struct {
	until time.Time
	pause *backoff.ExponentialBackOff
}

// NewSilences returns the memory of a process that has called nobody.
func NewSilences() *Silences { return &Silences{peers: map[string]*silence{}} }

// Failed records that a peer did not answer, and reports whether that is news.
func (s *Silences) Failed(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, known := s.peers[name]
	if !known {
		q = &silence{pause: backoff.NewExponentialBackOff()}
		q.pause.InitialInterval, q.pause.MaxInterval = silenceFirst, silenceMost
		s.peers[name] = q
	}
	if now := time.Now(); now.After(q.until) { // calls that fail together count once
		q.until = now.Add(q.pause.NextBackOff())
	}
	return !known
}

// Answered records that a peer answered.
func (s *Silences) Answered(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peers, name)
}

// Resting reports whether a peer is not to be called now.
func (s *Silences) Resting(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.peers[name]
	return q != nil && time.Now().Before(q.until)
}
