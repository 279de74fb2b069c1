package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/gateway"
	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
	"github.com/rockdoor/rockdoor/placement"
)

// patientHarness is a gateway that gives up attempts which hang, and whose clients wait long enough for a
// second one.
func patientHarness(t *testing.T, o harnessOptions, attempts int) *harness {
	o.giveUpHung = true
	return waitingHarness(t, o, attempts)
}

// waitingHarness is a gateway whose clients wait long enough for a second attempt.
func waitingHarness(t *testing.T, o harnessOptions, attempts int) *harness {
	o.features = placement.Features{WholeRequests: true}
	r := newHarness(t, o)
	v := *r.view.Load()
	c := config()
	for i := range c.Routes {
		c.Routes[i].Timeout, c.Routes[i].FirstEventTimeout, c.Routes[i].MaxAttempts = 5*time.Second, 4*time.Second, attempts
		c.Routes[i].GapTarget, c.Routes[i].LatencyTarget = 400*time.Millisecond, time.Second // so that requests run whole
	}
	c.Index()
	v.Config = c
	v.Index()
	r.view.Store(&v)
	return r
}

func TestAttemptThatHangsGoesElsewhere(t *testing.T) {
	t.Run("a run", func(t *testing.T) {
		all := engines("decode", "i-1", "i-2")
		for _, e := range all {
			e.Events = 2
		}
		all[0].Fail(fleetengine.Hang, -1)
		r := patientHarness(t, harnessOptions{model: all}, 2)
		sent := 0
		for ; len(all[0].Runs()) == 0; sent++ { // the engine follows from the prefix
			require.Less(t, sent, 50)
			a := r.send(http.MethodPost, pathModel, "s", "x", prompt(strconv.Itoa(sent)))
			require.Equal(t, "id: 1\ndata: s-1\n\nid: 2\ndata: s-2\n\n", a.body)
		}
		require.Len(t, all[1].Runs(), sent)
	})
	t.Run("a prefill", func(t *testing.T) {
		prefillEngines, decodeEngines := engines("prefill", "p-1", "p-2"), engines("decode", "d-1")
		for _, e := range prefillEngines {
			e.Fail(fleetengine.Hang, 1)
		}
		prefillEngines[1].Fail(fleetengine.None, 0)
		r := patientHarness(t, harnessOptions{model: append(prefillEngines, decodeEngines...)}, 1)
		for _, prefix := range []string{"aa", "bb", "cc", "dd"} {
			require.Equal(t, http.StatusOK, r.send(http.MethodPost, pathModel, "id", "x", prompt(prefix)).status)
		}
		require.Len(t, decodeEngines[0].Runs(), 4)
	})
	t.Run("not a run that must not be repeated", func(t *testing.T) {
		all := engines("decode", "i-1", "i-2")
		for _, e := range all {
			e.Fail(fleetengine.Hang, -1)
		}
		r := patientHarness(t, harnessOptions{model: all}, 1)
		r.send(http.MethodPost, pathModel, "s", "x", http.Header{"X-Deadline-Ms": {"3000"}})
		require.Equal(t, 1, len(all[0].Runs())+len(all[1].Runs()))
	})
	t.Run("none if the setting is off", func(t *testing.T) {
		all := engines("decode", "i-1", "i-2")
		for _, e := range all {
			e.Fail(fleetengine.Hang, -1)
		}
		r := waitingHarness(t, harnessOptions{model: all}, 2)
		r.send(http.MethodPost, pathModel, "s", "x", http.Header{"X-Deadline-Ms": {"3000"}})
		require.Equal(t, 1, len(all[0].Runs())+len(all[1].Runs()))
	})
}

func TestExplainStatesWhenAnAttemptHangs(t *testing.T) {
	r := patientHarness(t, harnessOptions{model: engines("decode", "i-1")}, 2)
	e, err := r.gateway.Explain(t.Context(), gateway.ExplainRequest{Host: testHost, Path: pathModel, PromptTokens: 9000})
	require.NoError(t, err)
	require.Equal(t, int64(1200), e.HangMs)
	e, err = r.gateway.Explain(t.Context(), gateway.ExplainRequest{Host: testHost, Path: pathAtMostOnceStream, PromptTokens: 9000})
	require.NoError(t, err)
	require.Zero(t, e.HangMs, "it must not run twice")
}

// TestSlowWorkIsNotTakenForHung covers responses of which nothing can be seen before their end, plans
// without an estimate, and an attempt that no other instance could take.
func TestSlowWorkIsNotTakenForHung(t *testing.T) {
	t.Run("a response that is no stream", func(t *testing.T) {
		all := engines("", "i-1", "i-2")
		for _, e := range all {
			e.ResponseDelay = 1600 * time.Millisecond
		}
		r := patientHarness(t, harnessOptions{plain: all}, 2)
		require.Equal(t, http.StatusOK, r.send(http.MethodGet, pathIdempotent, "id", "", nil).status)
		require.Equal(t, 1, len(all[0].Runs())+len(all[1].Runs()))
	})
	for name, ids := range map[string][]string{"no estimate": {"i-1", "i-2"}, "no other instance": {"i-1"}} {
		t.Run(name, func(t *testing.T) {
			all := engines("decode", ids...)
			for _, e := range all {
				e.Events, e.ResponseDelay = 1, 1600*time.Millisecond
			}
			headers := prompt("bb")
			if name == "no estimate" {
				headers = nil
			}
			r := patientHarness(t, harnessOptions{model: all}, 2)
			a := r.send(http.MethodPost, pathModel, "s", "x", headers)
			require.Equal(t, http.StatusOK, a.status)
			runs := 0
			for _, e := range all {
				runs += len(e.Runs())
			}
			require.Equal(t, 1, runs)
		})
	}
}
