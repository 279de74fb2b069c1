package gateway_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
)

// TestUnavailableAfterARunIsNoRejection has instances run requests and respond with 503, without stating that they have not run
// them. To clients, 503 promises that.
func TestUnavailableAfterARunIsNoRejection(t *testing.T) {
	for path, want := range map[string]struct{ status, runs int }{
		pathAtMostOnce: {http.StatusBadGateway, 1},
		pathIdempotent: {http.StatusBadGateway, 2},
		pathStream:     {http.StatusBadGateway, 1},
	} {
		t.Run(path, func(t *testing.T) {
			all := engines("", "i-1", "i-2")
			r := newHarness(t, harnessOptions{plain: all})
			for _, e := range all {
				e.Fail(fleetengine.Unavailable, -1)
			}
			got := r.send(http.MethodPost, path, "1", "x", nil)
			require.Equal(t, want.status, got.status, got.body)
			require.Empty(t, got.header.Get("X-Response-Seal"))
			require.Equal(t, want.runs, allRuns(all))
		})
	}
}
