package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/urfave/cli/v2"

	"github.com/rockdoor/rockdoor/internal/gatewayd"
	"github.com/rockdoor/rockdoor/internal/logsink"
	"github.com/rockdoor/rockdoor/internal/settings"
)

// logCloseTime is how long a process that ends waits for its last log lines.
const logCloseTime = 200 * time.Millisecond

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "run one gateway process on the users' platform until SIGTERM or SIGINT",
		Description: example("Serves callers under the configuration and in front of the instances that the platform's store names.\n"+
			"SIGTERM stops the process without cutting a request; SIGHUP reads the settings again.", "rockdoor gateway --settings gateway.json"),
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "settings `FILE`, JSON with comments", Required: true}},
		Action: func(c *cli.Context) error {
			file := c.String("settings")
			set, err := settings.LoadGateway(file)
			if err != nil {
				return err
			}
			sink := logsink.New(os.Stdout, set.Log.LinesPerSecond)
			defer sink.Close(logCloseTime)
			logger := log.With(log.NewLogfmtLogger(sink), "ts", log.DefaultTimestampUTC)
			logger = level.NewFilter(logger, level.Allow(level.ParseDefault(set.Log.Level, level.DebugValue())))
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return gatewayd.New(set, file, logger).Run(ctx, hangups())
		},
	}
}

// hangups returns a channel that has a value after each SIGHUP.
func hangups() <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	out := make(chan struct{})
	go func() {
		for range signals {
			out <- struct{}{}
		}
	}()
	return out
}
