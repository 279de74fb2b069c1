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

// TestQuarantinedRequestHasATrial covers a request under which three instances have ended: it is
// refused at once, with the time to come back, one try runs after it, and others if that went well.
// The last look before a request is written took the trial for a second try and refused it.
func TestQuarantinedRequestHasATrial(t *testing.T) {
	const id = "r"
	table := quarantine.NewTable()
	var later atomic.Int64
	table.SetClock(func() bootclock.Instant { return bootclock.Now().Add(time.Duration(later.Load())) })
	e := fleetengine.New("a", "")
	r := newRig(t, rigOptions{plain: []*fleetengine.Engine{e}, quarantine: table})
	f := quarantine.FingerprintOf("", http.MethodPost, testHost, pathSafe, []byte("x"))
	for n := range 3 {
		table.RecordCrash(f, fmt.Sprint("gone-", n), 0)
	}
	a := r.send(http.MethodPost, pathSafe, id, "x", nil)
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.Contains(t, a.body, "gone-0, gone-1, gone-2")
	require.NotEmpty(t, a.header.Get("Retry-After"))
	require.Empty(t, e.Runs())
	require.Equal(t, http.StatusOK, r.send(http.MethodPost, pathSafe, id, "y", nil).status, "another request")

	later.Store(int64(time.Hour))
	require.Equal(t, http.StatusOK, r.send(http.MethodPost, pathSafe, id, "x", nil).status, "the trial")
	require.Equal(t, http.StatusOK, r.send(http.MethodPost, pathSafe, id, "x", nil).status, "it went well")
}
