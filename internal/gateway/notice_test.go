package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
)

// arrivals returns how many requests have reached an engine.
func arrivals(e *fleetengine.Engine) int { return len(e.Runs()) + len(e.Reads()) + len(e.Refused()) }

func noHeader(int) http.Header { return nil }

// prompts returns the headers of prompts about different subjects, which are read at different
// engines.
func prompts(n int) http.Header { return prompt(fmt.Sprintf("%x", 100+n)) }

// TestNothingIsSentToAnInstanceThatSaysItLeaves has an instance say in its answers that it leaves,
// while its registration still says that it serves. Requests went on to such an instance for as
// long as its registration stood: only that was looked at, and the store could not take the
// instance's word for twelve seconds. Its answers had said so all the while; two seconds after
// the first of them
//
//	msg=decision instances_age=5.247s reason=least-work runner=i-9d729b78ce
//
// sent another one there.
func TestNothingIsSentToAnInstanceThatSaysItLeaves(t *testing.T) {
	engines := func(stages ...string) (out []*fleetengine.Engine) {
		for n, stage := range stages {
			out = append(out, fleetengine.New(string(rune('a'+n)), stage))
		}
		return out
	}
	for name, c := range map[string]struct {
		path         string
		header       func(n int) http.Header
		plain, model []*fleetengine.Engine
	}{
		"a run":    {pathSafe, noHeader, engines("", "", ""), nil},
		"a stream": {pathModel, noHeader, nil, engines("decode", "decode", "decode")},
		"a prompt": {pathModel, prompts, nil, engines("prefill", "prefill", "decode")},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, rigOptions{plain: c.plain, model: c.model})
			leaving := append(c.plain, c.model...)[0]
			leaving.SetLeaving()
			for n := 0; arrivals(leaving) == 0 && n < 100; n++ {
				r.send(http.MethodPost, c.path, fmt.Sprint("a-", n), fmt.Sprint(n), c.header(n))
			}
			for n := range 30 {
				a := r.send(http.MethodPost, c.path, fmt.Sprint("b-", n), fmt.Sprint(n), c.header(n))
				require.Equal(t, http.StatusOK, a.status, a.body)
			}
			require.Equal(t, 1, arrivals(leaving), "it was sent requests after its own word")
		})
	}
}
