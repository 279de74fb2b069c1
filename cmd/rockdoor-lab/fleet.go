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
	// fleetRoleChange is the time of a role change. It is shorter than a real engine's, for a short
	// demonstration.
	fleetRoleChange = 500 * time.Millisecond
)

// fleetStages are the initial stages of the engines; the empty stage is that of a backend server.
var fleetStages = []string{"", "", fleetengine.StagePrefill, fleetengine.StageDecode, fleetengine.StageDecode, fleetengine.StageDecode}

func fleetCommand() *cli.Command {
	return &cli.Command{
		Name: "fleet", Usage: "run stand-ins for the users' platform: its store, engines and backend servers, with a sample configuration",
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
			store.SetSample()
			fmt.Fprintf(c.App.Writer, "store %s:%d, %d instances\n", ip, fleetStorePort, len(fleetStages))
			return g.Wait()
		},
	}
}

// newEngine returns a stand-in for an engine or backend server and registers it in the store.
func newEngine(n int, stage, address string, store *fleetstore.Server) *fleetengine.Engine {
	e := fleetengine.New(fmt.Sprintf("i-%d", n+1), stage)
	e.RoleChange = fleetRoleChange
	service := fleetstore.SampleFlags
	if stage != "" {
		service = fleetstore.SampleModels
		e.Events = fleetEvents
	}
	store.Register(e.ID, fleetstore.Registration{Service: service, Stage: stage, Address: address, Domain: fleetDomain, Slots: fleetSlots})
	return e
}
