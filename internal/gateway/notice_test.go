package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

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

// restAsked is what an instance asks for here, restWay how long requests may be on their way when
// it does.
const (
	restAsked = 1200 * time.Millisecond
	restWay   = 100 * time.Millisecond
)

// TestInstanceThatAsksForRestGetsIt has an instance turn requests away and ask for rest. Such an
// instance got three and four more requests of a gateway within the three seconds that it had
// asked for: what it asked was not read, a refusal counted against it for that one request, and
// since it had nothing in hand it was the least loaded. Its line said
//
//	msg="attempt again" sends=1 runs=0 err="instance i-4471f38c8f refused with 503"
//
// and the next request was sent there 0.8 s later, as reason=least-work.
func TestInstanceThatAsksForRestGetsIt(t *testing.T) {
	plain := []*fleetengine.Engine{fleetengine.New("a", ""), fleetengine.New("b", "")}
	r := newRig(t, rigOptions{plain: plain})
	rests := plain[0]
	rests.Rest = restAsked
	rests.Fail(fleetengine.Shed, -1)
	send := func(id string) { r.send(http.MethodPost, pathSafe, id, id, nil) }
	for n := 0; arrivals(rests) == 0 && n < 100; n++ {
		send(fmt.Sprint("a-", n))
	}
	asked := time.Now()
	time.Sleep(restWay)
	before := arrivals(rests)
	plain[1].Work = 20 * time.Millisecond // what rests is the least loaded of the two
	var wg sync.WaitGroup
	for c := range 8 {
		wg.Go(func() {
			for n := 0; time.Since(asked) < restAsked-restWay; n++ {
				send(fmt.Sprint("b-", c, "-", n))
			}
		})
	}
	wg.Wait()
	require.Equal(t, before, arrivals(rests), "it had asked for rest")
	rests.Fail(fleetengine.None, 0)
	require.Eventually(t, func() bool { send(fmt.Sprint("c-", time.Now().UnixNano())); return len(rests.Runs()) > 0 }, 10*time.Second, 5*time.Millisecond, "its rest is over")
}

// TestAllInstancesRest has no instance that wants a request: it is refused at once, and told when
// the first of them wants some again.
func TestAllInstancesRest(t *testing.T) {
	plain := []*fleetengine.Engine{fleetengine.New("a", ""), fleetengine.New("b", "")}
	r := newRig(t, rigOptions{plain: plain})
	for _, e := range plain {
		e.Rest = 30 * time.Second
		e.Fail(fleetengine.Shed, -1)
	}
	for n := range 10 {
		r.send(http.MethodPost, pathSafe, fmt.Sprint("a-", n), "x", nil)
	}
	require.Equal(t, 1, arrivals(plain[0]))
	require.Equal(t, 1, arrivals(plain[1]))
	a := r.send(http.MethodPost, pathSafe, "b", "x", nil)
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Greater(t, after, 25.0)
}
