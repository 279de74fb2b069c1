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

// Backoffs remembers which peers do not answer. It is safe for concurrent use.
type Backoffs struct {
	mu    sync.Mutex
	peers map[string]*silence
}

// silence is a peer that does not answer.
type silence struct {
	until time.Time
	pause *backoff.ExponentialBackOff
}

// NewBackoffs returns the memory of a process that has called nobody.
func NewBackoffs() *Backoffs { return &Backoffs{peers: map[string]*silence{}} }

// Failed records that a peer did not answer, and reports whether that is news.
func (s *Backoffs) Failed(name string) bool {
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
func (s *Backoffs) Answered(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peers, name)
}

// InBackoff reports whether a peer is not to be called now.
func (s *Backoffs) InBackoff(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.peers[name]
	return q != nil && time.Now().Before(q.until)
}
