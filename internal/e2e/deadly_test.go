package e2e

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCallThatEndsItsServers sends a call again and again, to all processes in turn, that crashes
// each server that begins to run it. It was sent on for as long as it came: what failed was
// held against the servers only, and no process knew what another had seen.
func TestCallThatEndsItsServers(t *testing.T) {
	const (
		every       = 100 * time.Millisecond
		knownWithin = 3 * time.Second
		sendsAfter  = 3
		laterTries  = 40
	)
	f := startFleet(t, options{entries: 3, engines: 2, deadly: "deadly"})
	tries := 0
	send := func() {
		f.call(tries%3, http.MethodPost, "/alerts/x", f.o.deadly)
		tries++
		time.Sleep(every)
	}
	crashes := func() (n int) {
		for _, h := range f.crashes {
			n += h.Crashes()
		}
		return n
	}
	f.await("three servers have ended", func() bool { send(); return crashes() >= 3 })
	for end := time.Now().Add(knownWithin); time.Now().Before(end); {
		send()
	}
	before := f.deadly.Load()
	for range laterTries {
		send()
	}
	t.Logf("%d servers ended, %d sends, %d of them later", crashes(), f.deadly.Load(), f.deadly.Load()-before)
	require.LessOrEqual(t, f.deadly.Load()-before, int64(sendsAfter))
	f.await("another call is served", func() bool { return f.call(0, http.MethodPost, "/alerts/x", "other").status == http.StatusOK })
}
