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
	// testRate is the rate limit that an engine announces, in requests per second, and
	// testMaxRateFactor the maximum multiple of it that the engine may receive.
	testRate          = 5.0
	testMaxRateFactor = 1.2
	// Requests are sent for testRateDuration, one every testRateInterval.
	testRateDuration = 2 * time.Second
	testRateInterval = 5 * time.Millisecond
)

// TestEverySendPathObeysRateLimit has one engine announce a rate limit in its responses while the others
// have none. The limit must hold on every code path that sends requests; all of them once ignored it.
func TestEverySendPathObeysRateLimit(t *testing.T) {
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
		options harnessOptions
		// limited is the index of the engine that limits its rate.
		limited int
		// fault is injected into all requests at the first engine.
		fault fleetengine.Fault
	}{
		"runs":                            {path: pathIdempotent, header: noHeader, engines: plain()},
		"at-most-once requests":           {path: pathAtMostOnce, header: noHeader, engines: plain()},
		"streams":                         {path: pathModel, header: noHeader, engines: model("decode", "decode")},
		"reads":                           {path: pathModel, header: distinctPrompts, engines: model("prefill", "prefill", "decode")},
		"decodes after separate prefills": {path: pathModel, header: distinctPrompts, engines: model("prefill", "decode", "decode"), limited: 1},
		"repeats":                         {path: pathIdempotent, header: noHeader, engines: plain(), limited: 1, fault: fleetengine.Error},
		"refused":                         {path: pathIdempotent, header: noHeader, engines: plain(), limited: 1, fault: fleetengine.Shed},
		"resumed": {path: pathAtMostOnceStream, header: noHeader, engines: model("decode", "decode"), limited: 1, fault: fleetengine.CutMidEvent,
			options: harnessOptions{spot: true, domains: map[string]string{"b": "b"}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := c.options
			if o.plain = c.engines; c.engines[0].Stage() != "" {
				o.plain, o.model = nil, c.engines
			}
			r := newHarness(t, o)
			engine := c.engines[c.limited]
			engine.SetRateLimit(strconv.FormatFloat(testRate, 'f', -1, 64))
			if c.fault != fleetengine.None {
				c.engines[0].Fail(c.fault, -1)
			}
			start := time.Now()
			for n := 0; time.Since(start) < testRateDuration; n++ {
				r.send(http.MethodPost, c.path, fmt.Sprint("r-", n), fmt.Sprint(n), c.header(n))
				time.Sleep(testRateInterval)
			}
			got := requestsReceived(engine)
			require.NotZero(t, got, "the engine accepts some requests")
			require.LessOrEqual(t, float64(got), 1+testMaxRateFactor*testRate*testRateDuration.Seconds(), "in %s", testRateDuration)
		})
	}
}

// TestRequestsAreRejectedAtOnceWhenAllRateLimitsAreUsedUp uses up the rate limits of all engines. Further
// requests must be rejected without delay, with Retry-After values that differ, so that the clients do
// not retry at the same time.
func TestRequestsAreRejectedAtOnceWhenAllRateLimitsAreUsedUp(t *testing.T) {
	engines := []*fleetengine.Engine{fleetengine.New("a", ""), fleetengine.New("b", "")}
	r := newHarness(t, harnessOptions{plain: engines})
	for _, e := range engines {
		e.SetRateLimit("0.5")
	}
	var retryAfters []string
	for n := range 30 {
		start := time.Now()
		a := r.send(http.MethodPost, pathIdempotent, fmt.Sprint("r-", n), "x", nil)
		if a.status == http.StatusOK {
			continue
		}
		require.Equal(t, http.StatusServiceUnavailable, a.status)
		require.Less(t, time.Since(start), 500*time.Millisecond)
		retryAfters = append(retryAfters, a.header.Get("Retry-After"))
	}
	require.Greater(t, len(retryAfters), 20)
	require.Greater(t, len(slices.Compact(slices.Sorted(slices.Values(retryAfters)))), 5, "%v", retryAfters)
}

// TestWithdrawnRateLimitNoLongerApplies has an engine withdraw its rate limit. It must get all
// requests again, even if the limit was 0: the gateway learns of the withdrawal only from the
// responses to the few requests that it still sends.
func TestWithdrawnRateLimitNoLongerApplies(t *testing.T) {
	for _, limit := range []string{"5", "0"} {
		t.Run(limit, func(t *testing.T) {
			t.Parallel()
			only := fleetengine.New("a", "")
			r := newHarness(t, harnessOptions{plain: []*fleetengine.Engine{only}})
			only.SetRateLimit(limit)
			n := 0
			send := func() bool {
				n++
				return r.send(http.MethodPost, pathIdempotent, fmt.Sprint("r-", n), "x", nil).status == http.StatusOK
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
