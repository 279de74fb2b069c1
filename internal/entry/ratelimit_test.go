package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/internal/control"
	"github.com/rockdoor/rockdoor/internal/standin/engined"
	"github.com/rockdoor/rockdoor/internal/standin/serviced"
)

// A target announces a rate limit in its responses. Without the limit it would get as many calls as
// the other target.
func TestTargetRateLimit(t *testing.T) {
	const window, maxRuns = 2 * time.Second, 1 + 1.2*5*2
	limits := map[string]struct {
		limit func(f *fleet)
		send  func(f *fleet, n int) got
		runs  func(f *fleet) int
	}{
		"a service": {
			func(f *fleet) { f.services[0].SetFaults(serviced.Faults{RateLimit: "5"}) },
			func(f *fleet, n int) got { return f.do(http.MethodPost, "/alerts/x", fmt.Sprint(n)) },
			func(f *fleet) int { return len(f.services[0].Runs()) },
		},
		"an engine": {
			func(f *fleet) { f.engines[0].SetFaults(engined.Faults{RateLimit: "5"}) },
			func(f *fleet, _ int) got { return f.chat("notes", false) },
			func(f *fleet) int { return len(f.engines[0].Runs()) },
		},
	}
	for name, c := range limits {
		t.Run(name, func(t *testing.T) {
			f := start(t)
			c.limit(f)
			for n, started := 0, time.Now(); time.Since(started) < window; n++ {
				got := c.send(f, n)
				require.Equal(t, http.StatusOK, got.status, got.body)
			}
			require.NotZero(t, c.runs(f))
			require.LessOrEqual(t, float64(c.runs(f)), maxRuns, "in %s", window)
		})
	}
}

// If all targets limit their rate, calls over the limits must be rejected with Retry-After.
func TestAllTargetsRateLimited(t *testing.T) {
	f := start(t)
	for _, s := range f.services {
		s.SetFaults(serviced.Faults{RateLimit: "0.5"})
	}
	rejected := 0
	for n := range 20 {
		got := f.do(http.MethodPost, "/alerts/x", fmt.Sprint(n))
		if got.status == http.StatusOK {
			continue
		}
		rejected++
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
	}
	require.Greater(t, rejected, 10)
}

// A rate limit of a prefill engine must hold for separate prefill too.
func TestPrefillEngineRateLimit(t *testing.T) {
	f := start(t)
	f.engines[0].SetRole(engine.RolePrefill)
	f.engines[0].SetFaults(engined.Faults{RateLimit: "5"})
	f.snapshot.Reports = map[string]control.Report{"e0": {Status: engine.Status{Role: engine.RolePrefill}}}
	body := fmt.Sprintf(`{"model": "notes", "max_tokens": 1, "messages": [{"role": "user", "content": %q}]}`, strings.Repeat("word ", 600))
	const window, maxRuns = 2 * time.Second, 1 + 1.2*5*2
	for started := time.Now(); time.Since(started) < window; {
		got := f.do(http.MethodPost, pathChat, body)
		require.Equal(t, http.StatusOK, got.status, got.body)
	}
	require.NotZero(t, len(f.engines[0].Runs()))
	require.LessOrEqual(t, float64(len(f.engines[0].Runs())), maxRuns)
}
