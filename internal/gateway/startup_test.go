package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
)

// TestRequestsWaitForStartup sends a request to a process that is not ready yet, as after the
// restart of all processes. Such requests were once rejected with a Retry-After of one second: all 1,600
// of them, and most clients had given up by then.
func TestRequestsWaitForStartup(t *testing.T) {
	ready := make(chan struct{})
	r := newHarness(t, harnessOptions{plain: []*fleetengine.Engine{fleetengine.New("i-1", "")}, ready: ready})
	first := r.view.Swap(&fleet.View{})
	time.AfterFunc(100*time.Millisecond, func() {
		r.view.Store(first)
		close(ready)
	})
	a := r.send(http.MethodGet, pathIdempotent, "id-1", "", http.Header{"X-Deadline-Ms": {"600"}})
	require.Equal(t, http.StatusOK, a.status)
}

// TestUnreadyProcessRejectsBeforeClientTimeout starts a process while the store is unreachable. A
// waiting request must be rejected while its client still has time to retry at another process, and
// after the startup wait requests must be rejected at once.
func TestUnreadyProcessRejectsBeforeClientTimeout(t *testing.T) {
	r := newHarness(t, harnessOptions{plain: []*fleetengine.Engine{fleetengine.New("i-1", "")}, ready: make(chan struct{})})
	r.view.Store(&fleet.View{})
	start := time.Now()
	requireRejection := func(wait string, within time.Duration) {
		sent := time.Now()
		a := r.send(http.MethodGet, pathIdempotent, "id-1", "", http.Header{"X-Deadline-Ms": {wait}})
		require.Equal(t, http.StatusServiceUnavailable, a.status)
		require.NotEmpty(t, a.header.Get("Retry-After"))
		require.Less(t, time.Since(sent), within)
	}
	requireRejection("400", 300*time.Millisecond)
	time.Sleep(time.Until(start.Add(1600 * time.Millisecond)))
	requireRejection("5000", 300*time.Millisecond)
}
