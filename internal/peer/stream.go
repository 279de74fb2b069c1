package peer

import (
	"bufio"
	"context"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// clientIdleTimeout is how long a caller keeps an idle stream. The serving process keeps
	// it for the longer serverIdleTimeout, so that a call does not use a stream that has just
	// been closed there.
	clientIdleTimeout = 5 * time.Second
	serverIdleTimeout = 6 * clientIdleTimeout
	// streamBuffer is the size in bytes of the read buffer of a stream. It is small because there may be thousands; larger
	// messages bypass it.
	streamBuffer = 512
	// maxIdleStreams limits the idle streams to one process.
	maxIdleStreams = 4
	// openTimeout is how long a stream may take to be opened before its session is closed.
	openTimeout = time.Second
)

// stream is a yamux stream that carries one call after another.
type stream struct {
	*yamux.Stream
	session *muxSession
	reader  *bufio.Reader
	// idleSince is when the last call ended.
	idleSince time.Time
}

func newStream(s *muxSession, st *yamux.Stream) *stream {
	return &stream{Stream: st, session: s, reader: bufio.NewReaderSize(st, streamBuffer)}
}

func (s *stream) usable(now time.Time) bool {
	return !s.session.IsClosed() && now.Sub(s.idleSince) < clientIdleTimeout
}

// openStream opens a stream of a session, limited by ctx.
func openStream(ctx context.Context, session *muxSession) (*stream, error) {
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
		go func() {
			select {
			case r := <-done:
				if r.err == nil {
					_ = r.stream.Close() // nothing was sent
				}
			case <-time.After(openTimeout):
				session.Close() // the peer's accept backlog is full, so it serves no calls of this session
			}
		}()
		return nil, ctx.Err()
	}
}

// idleStream returns an idle stream to a process, or nil if there is none. It closes streams
// that have been idle for too long.
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

// keepIdle keeps a stream for the next call to a process.
func (t *Transport) keepIdle(address string, s *stream) {
	if s.SetDeadline(time.Time{}) != nil {
		s.Close()
		return
	}
	s.idleSince = time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.idle[address]
	if t.closed || len(all) >= maxIdleStreams {
		s.Close()
		return
	}
	t.idle[address] = append(all, s)
}
