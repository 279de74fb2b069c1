package gateway_test

import (
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
	"github.com/rockdoor/rockdoor/placement"
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

// TestRequestThatMayHaveRunIsNotRepeatedOnceItsRouteForbidsIt changes the route of a request while an attempt is under way whose
// response is lost.
func TestRequestThatMayHaveRunIsNotRepeatedOnceItsRouteForbidsIt(t *testing.T) {
	all := engines("", "i-1", "i-2")
	var once sync.Once
	r := newHarness(t, harnessOptions{plain: all, onPlaced: func(r *harness, _ placement.Plan) {
		once.Do(func() {
			v := *r.view.Load()
			v.Config = config()
			v.Config.Version++
			for n := range v.Config.Routes {
				v.Config.Routes[n].Kind = fleet.AtMostOnce
			}
			v.Config.Index()
			v.Index()
			r.view.Store(&v)
		})
	}})
	for _, e := range all {
		e.Fail(fleetengine.LoseResponse, 1)
	}
	got := r.send(http.MethodPost, pathIdempotent, "1", "x", nil)
	require.Equal(t, http.StatusBadGateway, got.status, got.body)
	require.Equal(t, 1, allRuns(all))
}
