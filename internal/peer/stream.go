package peer

import (
	"bufio"
	"context"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// idleFor is how long a caller keeps a stream without a call. The process that
	// answers keeps it for serveIdle, so that a call does not meet a stream that has
	// just been closed there.
	idleFor   = 5 * time.Second
	serveIdle = 6 * idleFor
	// maxIdle bounds the kept streams to one process.
	maxIdle = 4
)

// stream carries one call after another.
type stream struct {
	*yamux.Stream
	session *yamux.Session
	in      *bufio.Reader
	// idleSince is when the last call ended.
	idleSince time.Time
}

func newStream(s *yamux.Session, st *yamux.Stream) *stream {
	return &stream{Stream: st, session: s, in: bufio.NewReader(st)}
}

func (s *stream) usable(now time.Time) bool {
	return !s.session.IsClosed() && now.Sub(s.idleSince) < idleFor
}

// openStream opens a stream of a session, bounded by ctx.
func openStream(ctx context.Context, session *yamux.Session) (*stream, error) {
	type result struct {
		stream *yamux.Stream
		err    error
	}
	done := make(chan result, 1)
	go func() {
		s, err := session.OpenStream()
		done <- result{s, err}
	}()
	select {
	case r := <-done:
		if r.err != nil {
			return nil, r.err
		}
		return newStream(session, r.stream), nil
	case <-ctx.Done():
		session.Close() // its backlog is full, so nothing answers there
		return nil, ctx.Err()
	}
}

// idleStream returns a kept stream to a process, nil if there is none. Streams that
// have rested for too long are closed.
func (t *Transport) idleStream(address string) *stream {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for all := t.idle[address]; len(all) > 0; all = t.idle[address] {
		last := all[len(all)-1]
		t.idle[address] = all[:len(all)-1]
		if last.usable(now) {
			return last
		}
		last.Close()
	}
	return nil
}

// keep makes a stream carry the next call to a process.
func (t *Transport) keep(address string, s *stream) {
	if s.SetDeadline(time.Time{}) != nil {
		s.Close()
		return
	}
	s.idleSince = time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.idle[address]
	if t.closed || len(all) >= maxIdle {
		s.Close()
		return
	}
	t.idle[address] = append(all, s)
}
