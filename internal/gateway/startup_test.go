package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
)

// TestRequestsWaitForAProcessThatStarts has all processes killed at once and callers there again before the first
// is ready. Each of 1,600 was refused, to come back after a second, when most have given up.
func TestRequestsWaitForAProcessThatStarts(t *testing.T) {
	ready := make(chan struct{})
	r := newRig(t, rigOptions{plain: []*fleetengine.Engine{fleetengine.New("i-1", "")}, ready: ready})
	first := r.view.Swap(&fleet.View{})
	time.AfterFunc(100*time.Millisecond, func() {
		r.view.Store(first)
		close(ready)
	})
	a := r.send(http.MethodGet, pathSafe, "id-1", "", http.Header{"X-Deadline-Ms": {"600"}})
	require.Equal(t, http.StatusOK, a.status)
}

// TestAProcessThatIsNotReadySoonRefuses has the store be away when a process starts: what waits is refused while
// its caller has time to ask another process, and after a while nothing waits.
func TestAProcessThatIsNotReadySoonRefuses(t *testing.T) {
	r := newRig(t, rigOptions{plain: []*fleetengine.Engine{fleetengine.New("i-1", "")}, ready: make(chan struct{})})
	r.view.Store(&fleet.View{})
	began := time.Now()
	refused := func(wait string, within time.Duration) {
		asked := time.Now()
		a := r.send(http.MethodGet, pathSafe, "id-1", "", http.Header{"X-Deadline-Ms": {wait}})
		require.Equal(t, http.StatusServiceUnavailable, a.status)
		require.NotEmpty(t, a.header.Get("Retry-After"))
		require.Less(t, time.Since(asked), within)
	}
	refused("400", 300*time.Millisecond)
	time.Sleep(time.Until(began.Add(1600 * time.Millisecond)))
	refused("5000", 300*time.Millisecond)
}
