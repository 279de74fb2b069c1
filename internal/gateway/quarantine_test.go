package gateway_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
	"github.com/rockdoor/rockdoor/quarantine"
)

// TestQuarantinedRequestGetsOneTrial covers a request that three instances crashed on. It must be rejected
// at once with a Retry-After. After that time one trial may run, and if it succeeds, further requests
// may too. The check before sending once took the trial for a second attempt and rejected it.
func TestQuarantinedRequestGetsOneTrial(t *testing.T) {
	const id = "r"
	table := quarantine.NewTable()
	var clockOffset atomic.Int64
	table.SetClock(func() bootclock.Instant { return bootclock.Now().Add(time.Duration(clockOffset.Load())) })
	e := fleetengine.New("a", "")
	r := newHarness(t, harnessOptions{plain: []*fleetengine.Engine{e}, quarantine: table})
	f := quarantine.FingerprintOf("", http.MethodPost, testHost, pathIdempotent, []byte("x"))
	for n := range 3 {
		table.RecordCrash(f, fmt.Sprint("gone-", n), 0)
	}
	a := r.send(http.MethodPost, pathIdempotent, id, "x", nil)
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.Contains(t, a.body, "gone-0, gone-1, gone-2")
	require.NotEmpty(t, a.header.Get("Retry-After"))
	require.Empty(t, e.Runs())
	require.Equal(t, http.StatusOK, r.send(http.MethodPost, pathIdempotent, id, "y", nil).status, "another request")

	clockOffset.Store(int64(time.Hour))
	require.Equal(t, http.StatusOK, r.send(http.MethodPost, pathIdempotent, id, "x", nil).status, "the trial")
	require.Equal(t, http.StatusOK, r.send(http.MethodPost, pathIdempotent, id, "x", nil).status, "after a successful trial")
}
