package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/serviced"
)

// A target rejects calls and asks for a backoff. It must get no further calls until the backoff
// has elapsed. Least-outstanding routing alone would prefer it until its breaker opens after three
// failures, since a target that rejects at once has no requests in flight.
func TestBackoffOfTargetIsRespected(t *testing.T) {
	f := start(t)
	overloaded := f.services[0]
	overloaded.SetFaults(serviced.Faults{RetryAfterSeconds: 60})
	for n := range 40 {
		got := f.do(http.MethodPost, "/alerts/x", fmt.Sprint(n))
		require.Equal(t, http.StatusOK, got.status, got.body)
	}
	require.Len(t, overloaded.Runs(), 1)
	f.services[1].SetFaults(serviced.Faults{RetryAfterSeconds: 30})
	f.do(http.MethodPost, "/alerts/x", "a")
	got := f.do(http.MethodPost, "/alerts/x", "b")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	after, err := strconv.Atoi(got.header.Get("Retry-After"))
	require.NoError(t, err)
	require.GreaterOrEqual(t, after, 25, "the shortest backoff of all targets")
}
