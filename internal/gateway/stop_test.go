package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
	"github.com/rockdoor/rockdoor/placement"
)

// TestNothingIsSentOnceAStopLeavesNoTime has a stop begin while a request is placed, with less time left than its route needs.
// Placement can take as long as grants, schedulers and the setup of a connection do.
func TestNothingIsSentOnceAStopLeavesNoTime(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		header http.Header
		// left is the time until the process ends, deadline the client's timeout in ms.
		left     time.Duration
		deadline string
		status   int
	}{
		"at most once":                {pathAtMostOnce, nil, 100 * time.Millisecond, "1900", http.StatusServiceUnavailable},
		"idempotent":                  {pathIdempotent, nil, 100 * time.Millisecond, "1900", http.StatusServiceUnavailable},
		"the end has passed":          {pathAtMostOnce, nil, -time.Hour, "1900", http.StatusServiceUnavailable},
		"a separate prefill":          {pathModel, prompt("bb"), 100 * time.Millisecond, "1900", http.StatusServiceUnavailable},
		"enough time":                 {pathAtMostOnce, nil, 1500 * time.Millisecond, "1900", http.StatusOK},
		"a deadline before the end":   {pathAtMostOnce, nil, 600 * time.Millisecond, "500", http.StatusOK},
		"a prefill and enough time":   {pathModel, prompt("bb"), 1500 * time.Millisecond, "1900", http.StatusOK},
		"more time than there can be": {pathAtMostOnce, nil, 1 << 62, "1900", http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			plain := []*fleetengine.Engine{fleetengine.New("p", "")}
			model := []*fleetengine.Engine{fleetengine.New("a", "prefill"), fleetengine.New("b", "decode")}
			r := newHarness(t, harnessOptions{plain: plain, model: model, onPlaced: func(r *harness, _ placement.Plan) { r.gateway.BeginStop(time.Now().Add(c.left)) }})
			header := http.Header{"X-Deadline-Ms": {c.deadline}}
			for k, v := range c.header {
				header[k] = v
			}
			a := r.send(http.MethodPost, c.path, "r", "x", header)
			require.Equal(t, c.status, a.status, a.body)
			if c.status == http.StatusOK {
				return
			}
			require.NotEmpty(t, a.header.Get("Retry-After"))
			for _, e := range append(plain, model...) {
				require.Empty(t, e.Runs())
				require.Empty(t, e.Prefills())
			}
		})
	}
}
