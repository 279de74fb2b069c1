package gateway_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
	"github.com/rockdoor/rockdoor/placement"
)

// TestResponsesThatEndWithTheirConnection checks responses with neither a length nor chunks. One that breaks off must not
// look complete.
func TestResponsesThatEndWithTheirConnection(t *testing.T) {
	const events = 4
	for name, c := range map[string]struct {
		path  string
		fault fleetengine.Fault
		// status is what the client gets, runs the number of runs, and truncated is true if the response ends early.
		status, runs int
		truncated    bool
	}{
		"plain":                              {pathIdempotent, fleetengine.None, 200, 1, false},
		"plain, cut in the header":           {pathIdempotent, fleetengine.CutInHeader, 200, 2, false},
		"plain, cut in the header, once":     {pathAtMostOnce, fleetengine.CutInHeader, 502, 1, false},
		"plain, reset":                       {pathIdempotent, fleetengine.ResetAfterEvent, 200, 2, false},
		"plain, reset, once":                 {pathAtMostOnce, fleetengine.ResetAfterEvent, 502, 1, false},
		"stream":                             {pathModel, fleetengine.None, 200, 1, false},
		"stream, cut in the header":          {pathModel, fleetengine.CutInHeader, 200, 2, false},
		"stream, cut inside an event":        {pathModel, fleetengine.CutMidEvent, 200, 2, false},
		"stream, reset between events":       {pathModel, fleetengine.ResetAfterEvent, 200, 2, false},
		"stream, cut inside an event, once":  {pathAtMostOnceStream, fleetengine.CutMidEvent, 200, 1, true},
		"stream, reset between events, once": {pathAtMostOnceStream, fleetengine.ResetAfterEvent, 200, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			streams := c.path == pathModel || c.path == pathAtMostOnceStream
			stage := ""
			if streams {
				stage = fleetengine.StageDecode
			}
			all := engines(stage, "i-1", "i-2")
			var placed atomic.Int64
			o := harnessOptions{plain: all, onPlaced: func(_ *harness, p placement.Plan) {
				if placed.Add(1) == 1 {
					all[p.Target.ID[2]-'1'].Fail(c.fault, 1)
				}
			}}
			if streams {
				o.plain, o.model = nil, all
			}
			for _, e := range all {
				e.Unframed = true
				if streams {
					e.Events = events
				}
			}
			r := newHarness(t, o)
			got := r.send(http.MethodPost, c.path, "a", "x", nil)
			require.Equal(t, c.status, got.status, got.body)
			require.Equal(t, c.truncated, got.truncated, got.body)
			if streams && !c.truncated {
				require.Equal(t, events, strings.Count(got.body, "\n\n"), got.body)
			}
			require.Equal(t, c.runs, allRuns(all))
		})
	}
}
