package gateway_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
	"github.com/rockdoor/rockdoor/placement"
)

// Between the decision where a request runs and its first byte lie up to three questions to
// schedulers of 40 ms each and a new connection of up to 400 ms, more where the process waits for a
// processor. Requests went to instances of which the process had learned meanwhile that they were
// leaving: here each one, as the instance that was chosen leaves right after the decision.
func TestNothingIsSentToAnInstanceThatLeftAfterTheDecision(t *testing.T) {
	engines := func(stages ...string) (out []*fleetengine.Engine) {
		for n, stage := range stages {
			out = append(out, fleetengine.New(string(rune('a'+n)), stage))
		}
		return out
	}
	runner := func(p placement.Plan) *fleet.Instance { return p.Target }
	reader := func(p placement.Plan) *fleet.Instance { return p.PrefillEngine }
	for name, c := range map[string]struct {
		path         string
		header       http.Header
		plain, model []*fleetengine.Engine
		chosen       func(placement.Plan) *fleet.Instance
	}{
		"a run":            {pathOnce, nil, engines("", ""), nil, runner},
		"a run of a model": {pathModel, nil, nil, engines("decode", "decode"), runner},
		"a prompt":         {pathModel, prompt("bb"), nil, engines("prefill", "prefill", "decode"), reader},
	} {
		t.Run(name, func(t *testing.T) {
			left := ""
			r := newRig(t, rigOptions{plain: c.plain, model: c.model, placed: func(r *rig, p placement.Plan) {
				if left == "" {
					left = c.chosen(p).ID
					r.leave(left)
				}
			}})
			a := r.send(http.MethodPost, c.path, "r", "x", c.header)
			require.Equal(t, http.StatusOK, a.status, a.body)
			for _, e := range append(c.plain, c.model...) {
				if e.ID == left {
					require.Empty(t, e.Runs())
					require.Empty(t, e.Reads())
				}
			}
		})
	}
}
