package gateway_test

import (
	"maps"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/gateway"
	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
	"github.com/rockdoor/rockdoor/placement"
)

// newWholeHarness returns a gateway whose routes to models permit pauses.
func newWholeHarness(t *testing.T, prefillEngines, decodeEngines []*fleetengine.Engine) *harness {
	for _, e := range decodeEngines {
		e.Events = 2
	}
	r := newHarness(t, harnessOptions{model: append(prefillEngines, decodeEngines...), features: placement.Features{WholeRequests: true}})
	v := *r.view.Load()
	c := *v.Config
	c.Routes, c.Services = append([]fleet.Route(nil), c.Routes...), maps.Clone(c.Services)
	for n := range c.Routes {
		c.Routes[n].LatencyTarget, c.Routes[n].GapTarget = time.Second, 400*time.Millisecond
	}
	s := c.Services["model"]
	s.KVCapacity = 600_000
	c.Services["model"] = s
	c.Index()
	v.Config = &c
	r.view.Store(&v)
	return r
}

func (r *harness) counter(name string) int64 {
	return metrics.GetOrRegisterCounter("gateway."+name, r.reg).Count()
}

func TestWholeRequestIsNotPrefilledApart(t *testing.T) {
	prefillEngines, decodeEngines := engines("prefill", "p-1"), engines("decode", "d-1", "d-2", "w-1", "w-2")
	r := newWholeHarness(t, prefillEngines, decodeEngines)
	for range 4 {
		require.Equal(t, http.StatusOK, r.send(http.MethodPost, pathModel, "id", "x", prompt("bb")).status)
	}
	require.Empty(t, prefillEngines[0].Prefills())
	runs := append(decodeEngines[2].Runs(), decodeEngines[3].Runs()...)
	require.Len(t, runs, 4, "two engines are kept for decoding")
	require.True(t, len(decodeEngines[2].Runs()) == 4 || len(decodeEngines[3].Runs()) == 4, "one engine caches the prefix")
	require.Equal(t, "1", runs[0].Header.Get("X-Request-Priority"), "behind those that need no prefill")
	require.Empty(t, runs[0].Header.Get("X-Kv-Source"))
	require.EqualValues(t, 4, r.counter("whole"))
	require.Zero(t, r.counter("split"))
	e, err := r.gateway.Explain(t.Context(), gateway.ExplainRequest{Host: testHost, Path: pathModel, PromptTokens: 9000, SharedTokens: 6300, PromptPrefix: "bb"})
	require.NoError(t, err)
	require.Contains(t, e.Plan, "whole on w-")
}

// TestWholeRequestFetchesSharedParts runs a request at another engine than the one that has its shared
// parts cached, because that one is full.
func TestWholeRequestFetchesSharedParts(t *testing.T) {
	decodeEngines := engines("decode", "d-1", "d-2", "w-1", "w-2")
	r := newWholeHarness(t, engines("prefill", "p-1"), decodeEngines)
	require.Equal(t, http.StatusOK, r.send(http.MethodPost, pathModel, "first", "x", prompt("bb")).status)
	holder, other := decodeEngines[2], decodeEngines[3]
	if len(holder.Runs()) == 0 {
		holder, other = other, holder
	}
	holder.Fail(fleetengine.Shed, -1)
	require.Equal(t, http.StatusOK, r.send(http.MethodPost, pathModel, "second", "x", prompt("bb")).status)
	require.Len(t, other.Runs(), 1)
	require.Equal(t, r.view.Load().Instances[holder.ID].Address, other.Runs()[0].Header.Get("Kv-Fetch"))
}

// TestFailedWholeRequestRunsElsewhere has all engines that decode reject a whole request, or lose its
// response. Another engine gets it, within the attempts that the route permits.
func TestFailedWholeRequestRunsElsewhere(t *testing.T) {
	for _, fault := range []fleetengine.Fault{fleetengine.Shed, fleetengine.LoseResponse} {
		decodeEngines := engines("decode", "d-1", "d-2", "w-1")
		r := newWholeHarness(t, engines("prefill", "p-1"), decodeEngines)
		for _, e := range decodeEngines {
			e.Fail(fault, 1)
		}
		a := r.send(http.MethodPost, pathModel, "id", "x", prompt("bb"))
		runs := 0
		for _, e := range decodeEngines {
			runs += len(e.Runs())
		}
		if fault == fleetengine.Shed {
			require.Equal(t, http.StatusServiceUnavailable, a.status, "each engine rejected it once")
			require.Zero(t, runs)
		} else {
			require.Equal(t, 2, runs, "MaxAttempts of the route")
		}
		require.Equal(t, http.StatusOK, r.send(http.MethodPost, pathModel, "next", "x", prompt("bb")).status)
		e, err := r.gateway.Explain(t.Context(), gateway.ExplainRequest{Host: testHost, Path: pathModel, PromptTokens: 9000, SharedTokens: 6300, PromptPrefix: "bb"})
		require.NoError(t, err)
		for _, c := range e.Considered {
			require.Zero(t, c.Load, "nothing is pending any more at %s", c.Instance)
		}
	}
}

// TestWholeRequestRunsAtMostOnce loses the response of a whole request that may run at most once. No other
// engine gets it, and its load is released.
func TestWholeRequestRunsAtMostOnce(t *testing.T) {
	decodeEngines := engines("decode", "d-1", "d-2", "w-1", "w-2")
	r := newWholeHarness(t, engines("prefill", "p-1"), decodeEngines)
	for _, e := range decodeEngines {
		e.Fail(fleetengine.LoseResponse, -1)
	}
	require.NotEqual(t, http.StatusOK, r.send(http.MethodPost, pathAtMostOnceStream, "id", "x", prompt("bb")).status)
	require.EqualValues(t, 1, r.counter("whole"))
	runs := 0
	for _, e := range decodeEngines {
		runs += len(e.Runs())
	}
	require.Equal(t, 1, runs)
	e, err := r.gateway.Explain(t.Context(), gateway.ExplainRequest{Host: testHost, Path: pathModel, PromptTokens: 9000, SharedTokens: 6300, PromptPrefix: "bb"})
	require.NoError(t, err)
	for _, c := range e.Considered {
		require.Zero(t, c.Load, c.Instance)
	}
}

// TestShortResponseHasNoBackup checks that the KV cache of a run is replicated only until its route is
// known to have short responses.
func TestShortResponseHasNoBackup(t *testing.T) {
	decodeEngines := engines("decode", "d-1", "d-2", "w-1", "w-2")
	r := newWholeHarness(t, engines("prefill", "p-1"), decodeEngines)
	v := *r.view.Load()
	v.Instances = maps.Clone(v.Instances)
	for id, i := range v.Instances {
		spot := *i
		spot.Spot, spot.Domain = true, id
		v.Instances[id] = &spot
	}
	v.Index()
	r.view.Store(&v)
	backups := func() int {
		n := 0
		for _, e := range decodeEngines {
			for _, run := range e.Runs() {
				if run.Header.Get("X-Kv-Backup") != "" {
					n++
				}
			}
		}
		return n
	}
	for range 30 {
		require.Equal(t, http.StatusOK, r.send(http.MethodPost, pathAtMostOnceStream, "s", "x", prompt("bb")).status)
	}
	known := backups()
	require.Positive(t, known)
	require.Less(t, known, 30)
	require.Equal(t, http.StatusOK, r.send(http.MethodPost, pathAtMostOnceStream, "s", "x", prompt("bb")).status)
	require.Equal(t, known, backups())
}
