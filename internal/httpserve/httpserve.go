// Package httpserve runs HTTP servers as parts of a process whose parts end
// together.
package httpserve

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Serve serves until ctx ends. A server that is shut down stops to accept at once
// but is not done before its process is.
func Serve(ctx context.Context, s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return nil
	}
	return err
}
