package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rockdoor/rockdoor/fleet"
)

const (
	// startTime is for how long after its start a process has requests wait for it to be ready. Most are ready in
	// half of it; one that is not lacks the store, and refuses at once.
	startTime = 1500 * time.Millisecond
	// startShare is the part of what a caller waits for which its request waits at the most, so that one that is
	// refused after all has time to come back elsewhere.
	startShare = 0.5
	// startMost is how many requests wait at a time. Their bodies have not been read.
	startMost = 256
)

// startup has requests wait for a process to be ready. After a loss of all processes, callers that are refused
// would come back after the time in which most requests are given up.
type startup struct {
	began time.Time
	// ready is closed once the process is ready, nil if nobody waits.
	ready   <-chan struct{}
	waiting atomic.Int64
}

// await waits until the process is ready, for a part of what the caller waits at the most, 0 if that does not say.
func (s *startup) await(ctx context.Context, wait time.Duration) {
	left := startTime - time.Since(s.began)
	if wait > 0 {
		left = min(left, time.Duration(startShare*float64(wait)))
	}
	if s.ready == nil || left <= 0 {
		return
	}
	defer s.waiting.Add(-1)
	if s.waiting.Add(1) > startMost {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-s.ready:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// readyView returns the view by which a request is served. A process that has just started may wait for it.
func (s *Server) readyView(ctx context.Context, wait time.Duration) *fleet.View {
	if v := s.o.View(); v.Ready() {
		return v
	}
	s.startup.await(ctx, wait)
	return s.o.View()
}
