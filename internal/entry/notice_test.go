package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/serviced"
)

// TestTargetThatAsksForRestGetsIt has a target turn calls away and ask for rest. It got as many as
// before until three in a row had failed: a target that refuses at once has nothing in hand.
func TestTargetThatAsksForRestGetsIt(t *testing.T) {
	f := start(t)
	rests := f.services[0]
	rests.SetFaults(serviced.Faults{RestSeconds: 60})
	for n := range 40 {
		got := f.do(http.MethodPost, "/alerts/x", fmt.Sprint(n))
		require.Equal(t, http.StatusOK, got.status, got.body)
	}
	require.Len(t, rests.Runs(), 1)
	f.services[1].SetFaults(serviced.Faults{RestSeconds: 30})
	f.do(http.MethodPost, "/alerts/x", "a")
	got := f.do(http.MethodPost, "/alerts/x", "b")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	after, err := strconv.Atoi(got.header.Get("Retry-After"))
	require.NoError(t, err)
	require.GreaterOrEqual(t, after, 25, "when the first wants some again")
}
