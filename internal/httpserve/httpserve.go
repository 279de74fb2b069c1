// Package httpserve runs HTTP servers as components of a process in which the end of one component ends
// all others.
package httpserve

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Serve accepts connections on l until s is shut down or fails. After a shutdown it returns only when ctx
// ends: a return would end the whole process, which may still have requests in flight.
func Serve(ctx context.Context, s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return nil
	}
	return err
}

// Shutdown closes the listeners and the idle connections of a server, and waits until ctx ends or the other connections
// have been closed after their response. Keep-alives must not be disabled before: that closes idle connections without
// keeping a request from running that has just been read from one of them.
func Shutdown(ctx context.Context, s *http.Server) error { return s.Shutdown(ctx) }

// answerTimeout bounds how long the answers to requests that have been ended may take.
const answerTimeout = time.Second

// Finish shuts a server down like Shutdown. Requests that are in flight when ctx ends are ended through d and answered. It returns an
// error if there were any.
func Finish(ctx context.Context, s *http.Server, d *Drain) error {
	err := Shutdown(ctx, s)
	d.End()
	if err == nil {
		return nil
	}
	answered, cancel := context.WithTimeout(context.WithoutCancel(ctx), answerTimeout)
	defer cancel()
	_ = Shutdown(answered, s) // the requests in flight are reported already
	return err
}
