package peer

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// minBackoff and maxBackoff limit the delay before an unresponsive peer is called again.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// Backoffs tracks the backoff of unresponsive peers. It is safe for concurrent use.
type Backoffs struct {
	mu    sync.Mutex
	peers map[string]*peerBackoff
}

// peerBackoff is the backoff of an unresponsive peer.
type peerBackoff struct {
	until time.Time
	delay *backoff.ExponentialBackOff
}

// NewBackoffs returns an empty set of backoffs.
func NewBackoffs() *Backoffs { return &Backoffs{peers: map[string]*peerBackoff{}} }

// Failed records that a peer did not respond. It returns true for the first failure since its last response.
func (s *Backoffs) Failed(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, known := s.peers[name]
	if !known {
		p = &peerBackoff{delay: backoff.NewExponentialBackOff()}
		p.delay.InitialInterval, p.delay.MaxInterval = minBackoff, maxBackoff
		s.peers[name] = p
	}
	if now := time.Now(); now.After(p.until) { // concurrent failures count once
		p.until = now.Add(p.delay.NextBackOff())
	}
	return !known
}

// Responded records that a peer responded.
func (s *Backoffs) Responded(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peers, name)
}

// InBackoff reports whether a peer is in backoff and should not be called.
func (s *Backoffs) InBackoff(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[name]
	return p != nil && time.Now().Before(p.until)
}
