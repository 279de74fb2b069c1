package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rockdoor/rockdoor/fleet"
)

const (
	// startupWait is how long after the start of the process requests may wait for it to become
	// ready. Most processes become ready in half of it. A process that takes longer most likely
	// cannot reach the store; once the wait is over, it rejects requests at once.
	startupWait = 1500 * time.Millisecond
	// startupWaitShare is the maximum share of the client's timeout that its request waits, so that
	// a client that is rejected after all has time to retry at another process.
	startupWaitShare = 0.5
	// maxStartupWaiters bounds the requests that wait at a time. Their bodies have not been read.
	maxStartupWaiters = 256
)

// startupWaiter lets requests wait until the process is ready. When all processes restart at
// once, clients that were rejected would otherwise retry only after most of them have given up.
type startupWaiter struct {
	started time.Time
	// ready is closed once the process is ready; nil if requests do not wait.
	ready   <-chan struct{}
	waiting atomic.Int64
}

// await waits until the process is ready, but at most for a share of the client's timeout; a
// timeout of 0 means that the client sets none.
func (s *startupWaiter) await(ctx context.Context, clientTimeout time.Duration) {
	remaining := startupWait - time.Since(s.started)
	if clientTimeout > 0 {
		remaining = min(remaining, time.Duration(startupWaitShare*float64(clientTimeout)))
	}
	if s.ready == nil || remaining <= 0 {
		return
	}
	defer s.waiting.Add(-1)
	if s.waiting.Add(1) > maxStartupWaiters {
		return
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-s.ready:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// readyView returns the current view. If the process has just started, it first waits for the
// view to become ready; the view that it returns may still not be. If it was paused, it waits for its
// configuration to be confirmed.
func (s *Server) readyView(ctx context.Context, clientTimeout time.Duration) *fleet.View {
	if !s.o.View().Ready() {
		s.startup.await(ctx, clientTimeout)
		return s.o.View()
	}
	if s.o.AwaitConfirmation != nil {
		s.o.AwaitConfirmation(ctx)
	}
	return s.o.View()
}
