package resumption

import (
	"context"
	"sync"
	"time"

	"github.com/rockdoor/rockdoor/fault"
)

// sharedReads lets callers share reads of the store. A read never begins before a caller that gets its result has asked for it,
// so what was written before the call is in the result. It is safe for concurrent use.
type sharedReads[T any] struct {
	// gap returns the minimum time between the beginnings of two reads.
	gap  func() time.Duration
	load func(ctx context.Context) (T, error)

	mu sync.Mutex
	// next is the read that has not begun, nil if nobody waits for one. latest is the last one that has begun.
	next, latest *sharedRead[T]
	begunAt      time.Time
}

// sharedRead is one read. Its result is set once done is closed.
type sharedRead[T any] struct {
	done   chan struct{}
	result T
	err    error
}

// read returns what the store had when the call began, or later.
func (s *sharedReads[T]) read(ctx context.Context) (result T, err error) {
	s.mu.Lock()
	r := s.next
	if r == nil {
		r = &sharedRead[T]{done: make(chan struct{})}
		s.next = r
		go s.run(r, s.latest)
	}
	s.mu.Unlock()
	select {
	case <-r.done:
		return r.result, r.err
	case <-ctx.Done():
		return result, fault.Wrap(ctx.Err(), fault.Unavailable, "the store was not read in time", "send the request again")
	}
}

// run carries out a read once the one before has ended.
func (s *sharedReads[T]) run(r, before *sharedRead[T]) {
	if before != nil {
		<-before.done
		time.Sleep(s.gap() - time.Since(s.begunAt)) // only one goroutine at a time is between two reads
	}
	s.mu.Lock()
	s.next, s.latest, s.begunAt = nil, r, time.Now()
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	r.result, r.err = s.load(ctx)
	close(r.done)
}
