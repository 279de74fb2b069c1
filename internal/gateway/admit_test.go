package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
)

// withKeys configures workspaces, so that the gateway requires API keys: k1 and k2 belong to
// workspace w, and k3 to workspace v, whose rank overrides that of the route. The routes in
// public accept requests without a key.
func (r *harness) withKeys(freshAt bootclock.Instant, public ...string) {
	c := config()
	c.AddWorkspace(fleet.Workspace{Name: "w"}, []fleet.KeyHash{fleet.HashKey("k1"), fleet.HashKey("k2")})
	c.AddWorkspace(fleet.Workspace{Name: "v", Ranked: true, Rank: 3}, []fleet.KeyHash{fleet.HashKey("k3")})
	for i := range c.Routes {
		for _, prefix := range public {
			c.Routes[i].Public = c.Routes[i].Public || c.Routes[i].Prefix == prefix
		}
	}
	v := *r.view.Load()
	v.Config, v.ConfigFreshAt = c, freshAt
	r.view.Store(&v)
}

// TestAPIKeyDeterminesWorkspace checks which keys are accepted on each kind of route, and that instances
// receive the workspace but never the key, whatever headers the client sends.
func TestAPIKeyDeterminesWorkspace(t *testing.T) {
	plain, prefillEngine, decodeEngine := fleetengine.New("p", ""), fleetengine.New("r", "prefill"), fleetengine.New("d", "decode")
	decodeEngine.Events = 2
	r := newHarness(t, harnessOptions{plain: []*fleetengine.Engine{plain}, model: []*fleetengine.Engine{prefillEngine, decodeEngine}})
	r.withKeys(bootclock.Now(), pathIdempotent)
	long := prompt("x")
	for _, c := range []struct {
		name, path string
		header     http.Header
		status     int
		workspace  string
	}{
		{"key", pathAtMostOnce, http.Header{"Api-Key": {"k1"}}, http.StatusOK, "w"},
		{"other key", pathAtMostOnce, http.Header{"api-key": {"k2"}}, http.StatusOK, "w"},
		{"forged workspace", pathAtMostOnce, http.Header{"Api-Key": {"k3"}, "X-Tenant": {"w"}, "Connection": {"X-Tenant"}}, http.StatusOK, "v"},
		{"no key", pathAtMostOnce, nil, http.StatusUnauthorized, ""},
		{"unknown key", pathAtMostOnce, http.Header{"Api-Key": {"k4"}}, http.StatusUnauthorized, ""},
		{"two keys", pathAtMostOnce, http.Header{"Api-Key": {"k1", "k3"}}, http.StatusUnauthorized, ""},
		{"no key on a public route", pathIdempotent, http.Header{"X-Tenant": {"w"}}, http.StatusOK, ""},
		{"unknown key on a public route", pathIdempotent, http.Header{"Api-Key": {"k4"}}, http.StatusOK, ""},
		{"key on a public route", pathIdempotent, http.Header{"Api-Key": {"k1"}}, http.StatusOK, "w"},
		{"prompt that is prefilled separately", pathModel, http.Header{"Api-Key": {"k1"}, "X-Model": long["X-Model"], "X-Token-Count": long["X-Token-Count"], "X-Prompt-Prefix": long["X-Prompt-Prefix"]}, http.StatusOK, "w"},
	} {
		before := len(plain.Runs()) + len(decodeEngine.Runs())
		got := r.send(http.MethodPost, c.path+"x", "id-"+c.name, "b", c.header)
		require.Equal(t, c.status, got.status, c.name)
		runs := append(plain.Runs(), decodeEngine.Runs()...)
		if c.status != http.StatusOK {
			require.Len(t, runs, before, c.name)
			continue
		}
		require.Len(t, runs, before+1, c.name)
	}
	seen := map[string]string{}
	for _, run := range append(append(plain.Runs(), decodeEngine.Runs()...), prefillEngine.Prefills()...) {
		require.Empty(t, run.Header.Values("Api-Key"), run.ID)
		require.LessOrEqual(t, len(run.Header.Values("X-Tenant")), 1, run.ID)
		seen[run.ID] = run.Header.Get("X-Tenant")
	}
	require.Equal(t, "w", seen["id-key"])
	require.Equal(t, "v", seen["id-forged workspace"])
	require.Equal(t, "", seen["id-no key on a public route"])
	require.Equal(t, "w", seen["id-prompt that is prefilled separately"])
	require.Len(t, prefillEngine.Prefills(), 1)
	require.Equal(t, "w", prefillEngine.Prefills()[0].Header.Get("X-Tenant"))
	for _, run := range plain.Runs() {
		if run.ID == "id-forged workspace" {
			require.Equal(t, "3", run.Header.Get("X-Request-Priority"), "the workspace's rank overrides the route's")
		}
	}
}

// TestStaleConfigurationRejectsAPIKeys checks that a process whose configuration is too old to
// accept API keys rejects requests that need one with status 503, and still serves public routes.
func TestStaleConfigurationRejectsAPIKeys(t *testing.T) {
	plain := fleetengine.New("p", "")
	r := newHarness(t, harnessOptions{plain: []*fleetengine.Engine{plain}})
	r.withKeys(bootclock.Now().Add(-testMaxConfigStaleness-time.Second), pathIdempotent)
	key := http.Header{"Api-Key": {"k1"}}
	got := r.send(http.MethodPost, pathAtMostOnce+"x", "1", "b", key)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.NotContains(t, got.body, "k1")
	require.Equal(t, http.StatusServiceUnavailable, r.send(http.MethodPost, pathAtMostOnce+"x", "2", "b", http.Header{"Api-Key": {"k4"}}).status, "it may be a new key")
	require.Equal(t, http.StatusOK, r.send(http.MethodPost, pathIdempotent+"x", "3", "b", key).status)
	require.Len(t, plain.Runs(), 1)
	require.Empty(t, plain.Runs()[0].Header.Get("X-Tenant"))
	r.withKeys(bootclock.Now())
	require.Equal(t, http.StatusOK, r.send(http.MethodPost, pathAtMostOnce+"x", "4", "b", key).status)
}
