// Command rockdoor-lab runs stand-ins for the systems around rockdoor, load generators and fault
// tests. It is for tests and trials and is not shipped.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v2"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/internal/standin/engined"
	"github.com/rockdoor/rockdoor/internal/standin/platformd"
	"github.com/rockdoor/rockdoor/internal/standin/serviced"
)

// weightLoadsPerSecond is the request rate that the weight store of the platform stand-in serves.
const weightLoadsPerSecond = 2

func main() {
	app := &cli.App{
		Name: "rockdoor-lab", Usage: "stand-ins and load generators for tests",
		Commands: []*cli.Command{platformCommand(), engineCommand(), serviceCommand(), loadCommand(), scaleCommand(), fleetCommand(), replayCommand(), soakCommand()},
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := app.RunContext(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "rockdoor-lab:", err)
		os.Exit(1)
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Required: true, Usage: "`ADDRESS` to serve on"}
}

// serve serves a handler until the context is canceled.
func serve(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	if err := s.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name: "platform", Usage: "run the stand-in for the platform", Flags: []cli.Flag{listenFlag()},
		Action: func(c *cli.Context) error {
			return serve(c.Context, c.String("listen"), platformd.New(weightLoadsPerSecond))
		},
	}
}

func engineCommand() *cli.Command {
	return &cli.Command{
		Name: "engine", Usage: "run a stand-in for a model engine",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "name", Required: true},
			&cli.BoolFlag{Name: "fencing", Usage: "reject outdated fencing tokens"},
			&cli.StringFlag{Name: "role", Value: string(engine.RoleMixed)},
			&cli.BoolFlag{Name: "instant", Usage: "respond without any delay"},
			&cli.Float64Flag{Name: "speedup", Value: 1, Usage: "divide all durations by this"},
		},
		Action: func(c *cli.Context) error {
			t := engined.DefaultTiming
			t.Speedup = c.Float64("speedup")
			if c.Bool("instant") {
				t = engined.Timing{}
			}
			s := engined.New(engined.Options{Name: c.String("name"), Fencing: c.Bool("fencing"), Role: engine.Role(c.String("role")), Timing: t})
			defer s.Close()
			return serve(c.Context, c.String("listen"), s)
		},
	}
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name: "service", Usage: "run a stand-in for a plain service",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "name", Required: true},
			&cli.DurationFlag{Name: "delay", Value: 2 * time.Millisecond, Usage: "time that a call takes"},
		},
		Action: func(c *cli.Context) error {
			return serve(c.Context, c.String("listen"), serviced.New(c.String("name"), c.Duration("delay")))
		},
	}
}
