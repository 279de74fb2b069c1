package gateway_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
	"github.com/rockdoor/rockdoor/placement"
)

// TestNothingIsSentToInstanceThatDrainsAfterPlacement lets the chosen instance start draining right
// after the placement decision. Up to three calls to schedulers of 40 ms each and the setup of a
// connection of up to 400 ms follow before the first byte of the request is sent. Requests were once
// sent to instances whose shutdown had become known in that time.
func TestNothingIsSentToInstanceThatDrainsAfterPlacement(t *testing.T) {
	engines := func(stages ...string) (out []*fleetengine.Engine) {
		for n, stage := range stages {
			out = append(out, fleetengine.New(string(rune('a'+n)), stage))
		}
		return out
	}
	target := func(p placement.Plan) *fleet.Instance { return p.Target }
	prefillEngine := func(p placement.Plan) *fleet.Instance { return p.PrefillEngine }
	for name, c := range map[string]struct {
		path         string
		header       http.Header
		plain, model []*fleetengine.Engine
		chosen       func(placement.Plan) *fleet.Instance
	}{
		"a request":          {pathAtMostOnce, nil, engines("", ""), nil, target},
		"a model request":    {pathModel, nil, nil, engines("decode", "decode"), target},
		"a separate prefill": {pathModel, prompt("bb"), nil, engines("prefill", "prefill", "decode"), prefillEngine},
	} {
		t.Run(name, func(t *testing.T) {
			draining := ""
			r := newHarness(t, harnessOptions{plain: c.plain, model: c.model, onPlaced: func(r *harness, p placement.Plan) {
				if draining == "" {
					draining = c.chosen(p).ID
					r.startDraining(draining)
				}
			}})
			a := r.send(http.MethodPost, c.path, "r", "x", c.header)
			require.Equal(t, http.StatusOK, a.status, a.body)
			for _, e := range append(c.plain, c.model...) {
				if e.ID == draining {
					require.Empty(t, e.Runs())
					require.Empty(t, e.Prefills())
				}
			}
		})
	}
}
