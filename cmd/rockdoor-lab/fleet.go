package main

import (
	"fmt"
	"time"

	"github.com/urfave/cli/v2"
	"golang.org/x/sync/errgroup"

	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
	"github.com/rockdoor/rockdoor/internal/standin/fleetstore"
)

const (
	fleetStorePort  = 9000
	fleetEnginePort = 8101
	fleetDomain     = "a"
	fleetEvents     = 4
	fleetSlots      = 16
	// fleetRoleChange is shorter than a real engine's, for a short demonstration.
	fleetRoleChange = 500 * time.Millisecond
)

// fleetStages are the stages of the engines that are started; the empty stage is
// that of a backend server.
var fleetStages = []string{"", "", "prefill", "decode", "decode", "decode"}

func fleetCommand() *cli.Command {
	return &cli.Command{
		Name: "fleet", Usage: "run stand-ins of the users' platform: its store, engines and backend servers, with a configuration",
		Flags: []cli.Flag{&cli.StringFlag{Name: "ip", Usage: "loopback `IP` to listen on", Value: "127.0.7.1"}},
		Action: func(c *cli.Context) error {
			ip := c.String("ip")
			store := fleetstore.New()
			g, ctx := errgroup.WithContext(c.Context)
			g.Go(func() error { return serve(ctx, fmt.Sprintf("%s:%d", ip, fleetStorePort), store) })
			for n, stage := range fleetStages {
				address := fmt.Sprintf("%s:%d", ip, fleetEnginePort+n)
				e := newEngine(n, stage, address, store)
				g.Go(func() error { return serve(ctx, address, e) })
			}
			store.Set("config", "main", fleetConfig())
			fmt.Fprintf(c.App.Writer, "store %s:%d, %d instances\n", ip, fleetStorePort, len(fleetStages))
			return g.Wait()
		},
	}
}

// newEngine returns a stand-in that is registered at the store.
func newEngine(n int, stage, address string, store *fleetstore.Server) *fleetengine.Engine {
	e := fleetengine.New(fmt.Sprintf("i-%d", n+1), stage)
	e.RoleChange = fleetRoleChange
	service := "flags"
	if stage != "" {
		service, e.Events = "models", fleetEvents
	}
	store.Set("servers", e.ID, map[string]any{
		"service": service, "address": address, "zone": fleetDomain, "slots": fleetSlots, "phase": "ready", "stage": stage, "version": "v1",
	})
	return e
}

// fleetConfig is a small configuration in the platform's form.
func fleetConfig() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{
			{"name": "flag-check", "hostname": "shop.example", "path_prefix": "/flags/", "type": "unsafe", "service": "flags",
				"timeout_ms": 600, "target_latency_ms": 100, "max_attempts": 1, "priority": 2},
			{"name": "rule-review", "hostname": "shop.example", "path_prefix": "/review/", "type": "streaming", "service": "models",
				"timeout_ms": 2000, "target_latency_ms": 200, "target_gap_ms": 150, "max_attempts": 2, "resumable": true, "session_affinity": true},
		},
		"services": []map[string]any{
			{"name": "flags", "health_path": "/healthz", "max_connections": 100},
			{"name": "models", "health_path": "/healthz", "max_connections": 100, "engine": map[string]any{"kv_capacity_tokens": 305000, "handle_ttl_s": 5, "reconfigure_s": 0.5}},
		},
		"limits": map[string]any{"max_body_bytes": 4194304},
	}
}
