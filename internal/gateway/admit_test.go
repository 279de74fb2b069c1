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

// withKeys has the gateway ask for keys: k1 and k2 are those of workspace w, k3 that of v,
// whose requests are the most urgent ones.
func (r *rig) withKeys(provenAt bootclock.Instant, public ...string) {
	c := config()
	c.AddWorkspace(fleet.Workspace{Name: "w"}, []fleet.KeyHash{fleet.HashKey("k1"), fleet.HashKey("k2")})
	c.AddWorkspace(fleet.Workspace{Name: "v", Ranked: true, Rank: 3}, []fleet.KeyHash{fleet.HashKey("k3")})
	for i := range c.Routes {
		for _, prefix := range public {
			c.Routes[i].Public = c.Routes[i].Public || c.Routes[i].Prefix == prefix
		}
	}
	v := *r.view.Load()
	v.Config, v.ConfigFreshAt = c, provenAt
	r.view.Store(&v)
}

// TestKeysLeadToWorkspaces checks who may call, on each kind of route, and that instances
// learn the workspace and never the key, whatever the caller sends.
func TestKeysLeadToWorkspaces(t *testing.T) {
	plain, reader, runner := fleetengine.New("p", ""), fleetengine.New("r", "prefill"), fleetengine.New("d", "decode")
	runner.Events = 2
	rig := newRig(t, rigOptions{plain: []*fleetengine.Engine{plain}, model: []*fleetengine.Engine{reader, runner}})
	rig.withKeys(bootclock.Now(), pathSafe)
	long := prompt("x")
	for _, c := range []struct {
		name, path string
		header     http.Header
		status     int
		workspace  string
	}{
		{"key", pathOnce, http.Header{"Api-Key": {"k1"}}, http.StatusOK, "w"},
		{"other key", pathOnce, http.Header{"api-key": {"k2"}}, http.StatusOK, "w"},
		{"forged workspace", pathOnce, http.Header{"Api-Key": {"k3"}, "X-Tenant": {"w"}, "Connection": {"X-Tenant"}}, http.StatusOK, "v"},
		{"no key", pathOnce, nil, http.StatusUnauthorized, ""},
		{"unknown key", pathOnce, http.Header{"Api-Key": {"k4"}}, http.StatusUnauthorized, ""},
		{"two keys", pathOnce, http.Header{"Api-Key": {"k1", "k3"}}, http.StatusUnauthorized, ""},
		{"no key where none is needed", pathSafe, http.Header{"X-Tenant": {"w"}}, http.StatusOK, ""},
		{"unknown key where none is needed", pathSafe, http.Header{"Api-Key": {"k4"}}, http.StatusOK, ""},
		{"key where none is needed", pathSafe, http.Header{"Api-Key": {"k1"}}, http.StatusOK, "w"},
		{"prompt that is read apart", pathModel, http.Header{"Api-Key": {"k1"}, "X-Model": long["X-Model"], "X-Token-Count": long["X-Token-Count"], "X-Prompt-Prefix": long["X-Prompt-Prefix"]}, http.StatusOK, "w"},
	} {
		before := len(plain.Runs()) + len(runner.Runs())
		got := rig.send(http.MethodPost, c.path+"x", "id-"+c.name, "b", c.header)
		require.Equal(t, c.status, got.status, c.name)
		runs := append(plain.Runs(), runner.Runs()...)
		if c.status != http.StatusOK {
			require.Len(t, runs, before, c.name)
			continue
		}
		require.Len(t, runs, before+1, c.name)
	}
	seen := map[string]string{}
	for _, run := range append(append(plain.Runs(), runner.Runs()...), reader.Reads()...) {
		require.Empty(t, run.Header.Values("Api-Key"), run.ID)
		require.LessOrEqual(t, len(run.Header.Values("X-Tenant")), 1, run.ID)
		seen[run.ID] = run.Header.Get("X-Tenant")
	}
	require.Equal(t, "w", seen["id-key"])
	require.Equal(t, "v", seen["id-forged workspace"])
	require.Equal(t, "", seen["id-no key where none is needed"])
	require.Equal(t, "w", seen["id-prompt that is read apart"])
	require.Len(t, reader.Reads(), 1)
	require.Equal(t, "w", reader.Reads()[0].Header.Get("X-Tenant"))
	for _, run := range plain.Runs() {
		if run.ID == "id-forged workspace" {
			require.Equal(t, "3", run.Header.Get("X-Request-Priority"), "the workspace's rank goes first")
		}
	}
}

// TestKeysFailClosed checks that a process which cannot prove that keys are still good runs
// nothing with one, says so truthfully, and goes on where none is needed.
func TestKeysFailClosed(t *testing.T) {
	plain := fleetengine.New("p", "")
	rig := newRig(t, rigOptions{plain: []*fleetengine.Engine{plain}})
	rig.withKeys(bootclock.Now().Add(-testProofAge-time.Second), pathSafe)
	key := http.Header{"Api-Key": {"k1"}}
	got := rig.send(http.MethodPost, pathOnce+"x", "1", "b", key)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.NotContains(t, got.body, "k1")
	require.Equal(t, http.StatusServiceUnavailable, rig.send(http.MethodPost, pathOnce+"x", "2", "b", http.Header{"Api-Key": {"k4"}}).status, "it may be a new key")
	require.Equal(t, http.StatusOK, rig.send(http.MethodPost, pathSafe+"x", "3", "b", key).status)
	require.Len(t, plain.Runs(), 1)
	require.Empty(t, plain.Runs()[0].Header.Get("X-Tenant"))
	rig.withKeys(bootclock.Now())
	require.Equal(t, http.StatusOK, rig.send(http.MethodPost, pathOnce+"x", "4", "b", key).status)
}
