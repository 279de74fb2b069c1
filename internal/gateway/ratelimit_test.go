package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
)

const (
	// testRate is the rate limit of an engine here, in requests a second, testRateUse what it may
	// get at most as a multiple of that.
	testRate    = 5.0
	testRateUse = 1.2
	// testRateTime is for how long requests are sent to it, one each testRateGap.
	testRateTime = 2 * time.Second
	testRateGap  = 5 * time.Millisecond
)

// TestEveryPathKeepsARateLimit has an engine name a rate limit in its answers while all other engines
// are free. It got as many requests as before on every path.
func TestEveryPathKeepsARateLimit(t *testing.T) {
	plain := func() []*fleetengine.Engine {
		return []*fleetengine.Engine{fleetengine.New("a", ""), fleetengine.New("b", "")}
	}
	model := func(stages ...string) (out []*fleetengine.Engine) {
		for n, stage := range stages {
			out = append(out, fleetengine.New(string(rune('a'+n)), stage))
			out[n].Events = 3
		}
		return out
	}
	for name, c := range map[string]struct {
		path    string
		header  func(n int) http.Header
		engines []*fleetengine.Engine
		options rigOptions
		// limited is the number of the engine that limits its rate.
		limited int
		// fault is what the first engine does to all requests.
		fault fleetengine.Fault
	}{
		"runs":             {path: pathSafe, header: noHeader, engines: plain()},
		"runs once":        {path: pathOnce, header: noHeader, engines: plain()},
		"streams":          {path: pathModel, header: noHeader, engines: model("decode", "decode")},
		"reads":            {path: pathModel, header: prompts, engines: model("prefill", "prefill", "decode")},
		"runs after reads": {path: pathModel, header: prompts, engines: model("prefill", "decode", "decode"), limited: 1},
		"repeats":          {path: pathSafe, header: noHeader, engines: plain(), limited: 1, fault: fleetengine.Error},
		"refused":          {path: pathSafe, header: noHeader, engines: plain(), limited: 1, fault: fleetengine.Shed},
		"resumed": {path: pathLong, header: noHeader, engines: model("decode", "decode"), limited: 1, fault: fleetengine.CutMidEvent,
			options: rigOptions{spot: true, domains: map[string]string{"b": "b"}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := c.options
			if o.plain = c.engines; c.engines[0].Stage() != "" {
				o.plain, o.model = nil, c.engines
			}
			r := newRig(t, o)
			engine := c.engines[c.limited]
			engine.SetRateLimit(strconv.FormatFloat(testRate, 'f', -1, 64))
			if c.fault != fleetengine.None {
				c.engines[0].Fail(c.fault, -1)
			}
			begun := time.Now()
			for n := 0; time.Since(begun) < testRateTime; n++ {
				r.send(http.MethodPost, c.path, fmt.Sprint("r-", n), fmt.Sprint(n), c.header(n))
				time.Sleep(testRateGap)
			}
			got := arrivals(engine)
			require.NotZero(t, got, "it takes some")
			require.LessOrEqual(t, float64(got), 1+testRateUse*testRate*testRateTime.Seconds(), "in %s", testRateTime)
		})
	}
}

// TestRequestsAreRefusedAtOnceWhileAllLimitTheirRate has no engine that takes one more: callers are told
// at once, with a time to come back, and those of one moment not all the same one.
func TestRequestsAreRefusedAtOnceWhileAllLimitTheirRate(t *testing.T) {
	engines := []*fleetengine.Engine{fleetengine.New("a", ""), fleetengine.New("b", "")}
	r := newRig(t, rigOptions{plain: engines})
	for _, e := range engines {
		e.SetRateLimit("0.5")
	}
	var after []string
	for n := range 30 {
		begun := time.Now()
		a := r.send(http.MethodPost, pathSafe, fmt.Sprint("r-", n), "x", nil)
		if a.status == http.StatusOK {
			continue
		}
		require.Equal(t, http.StatusServiceUnavailable, a.status)
		require.Less(t, time.Since(begun), 500*time.Millisecond)
		after = append(after, a.header.Get("Retry-After"))
	}
	require.Greater(t, len(after), 20)
	require.Greater(t, len(slices.Compact(slices.Sorted(slices.Values(after)))), 5, "%v", after)
}

// TestFullRateComesBack has an engine end its limit: it gets all requests again, and also one that had
// named 0 and gets next to none that could tell.
func TestFullRateComesBack(t *testing.T) {
	for _, limit := range []string{"5", "0"} {
		t.Run(limit, func(t *testing.T) {
			t.Parallel()
			only := fleetengine.New("a", "")
			r := newRig(t, rigOptions{plain: []*fleetengine.Engine{only}})
			only.SetRateLimit(limit)
			n := 0
			send := func() bool {
				n++
				return r.send(http.MethodPost, pathSafe, fmt.Sprint("r-", n), "x", nil).status == http.StatusOK
			}
			require.True(t, send())
			require.False(t, send())
			only.SetRateLimit("")
			require.Eventually(t, send, 10*time.Second, 10*time.Millisecond)
			for range 20 {
				require.True(t, send())
			}
		})
	}
}
