// Package cli implements the command line of rockdoor.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/urfave/cli/v2"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/daemon"
	"github.com/rockdoor/rockdoor/internal/logsink"
	"github.com/rockdoor/rockdoor/internal/settings"
	"github.com/rockdoor/rockdoor/jsonc"
)

// Version is set when the program is built.
var Version = "dev"

// Exit codes.
const (
	ExitOK = 0
	// ExitFailed: the command failed; nothing was changed.
	ExitFailed = 1
	// ExitInvalid: the input is invalid; the message says where.
	ExitInvalid = 2
	// ExitConflict: another change was accepted first; read again and repeat.
	ExitConflict = 3
	// ExitUnavailable: the fleet or the platform did not respond; retry later.
	ExitUnavailable = 4
	// ExitUnknown: the change may or may not have been accepted; see the history.
	ExitUnknown = 5
	// ExitDifferent: config diff found differences.
	ExitDifferent = 6
)

const exitHelp = `EXIT CODES:
   0  done
   1  failed; nothing was changed
   2  the input is invalid; the message says where and what to do
   3  conflict: another change was accepted first; read again and repeat
   4  the fleet or the platform did not respond; nothing was changed
   5  unknown: the change may have been accepted; see rockdoor config history
   6  config diff found differences`

// New returns the command line application, which prints to out.
func New(out io.Writer) *cli.App {
	app := &cli.App{
		Name:                 "rockdoor",
		Usage:                "serve language models and services on a fixed fleet",
		Version:              Version,
		Writer:               out,
		EnableBashCompletion: true,
		HideVersion:          true,
		Suggest:              true,
		ExitErrHandler:       func(*cli.Context, error) {}, // Main prints errors
		Commands: []*cli.Command{
			serveCommand(), gatewayCommand(), rulesCommand(), sharesCommand(), traceCommand(), configCommand(), labelCommand(), engineCommand(), leaseCommand(), statusCommand(), explainCommand(),
			completionCommand(), versionCommand(),
		},
	}
	app.CustomAppHelpTemplate = cli.AppHelpTemplate + "\n" + exitHelp + "\n"
	return app
}

// Run runs a command line, in which flags may also follow the other arguments.
func Run(app *cli.App, args []string) error { return app.Run(flagsFirst(app, args)) }

// Main runs the command line and returns the exit code.
func Main(args []string) int {
	err := Run(New(os.Stdout), args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, "rockdoor:", err)
	if ps := jsonc.ProblemsOf(err); len(ps) > 0 {
		return ExitInvalid
	}
	return exitCode(err)
}

func exitCode(err error) int {
	if code, ok := err.(cli.ExitCoder); ok {
		return code.ExitCode()
	}
	switch fault.KindOf(err) {
	case fault.Invalid, fault.NotFound:
		return ExitInvalid
	case fault.Conflict:
		return ExitConflict
	case fault.Unavailable, fault.Exhausted:
		return ExitUnavailable
	case fault.Unknown:
		return ExitUnknown
	}
	return ExitFailed
}

// withExample returns the description of a command: the text, followed by an example.
func withExample(text, command string) string { return text + "\n\nExample:\n   " + command }

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one entry process until SIGTERM or SIGINT",
		Description: withExample("Serves clients on the address listen, operators on admin and other processes on peer.\n"+
			"SIGTERM shuts the process down gracefully; a second one ends it at once.", "rockdoor serve --settings entry-1.json"),
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "settings `FILE`, JSON with comments", Required: true}},
		Action: func(c *cli.Context) error {
			set, err := settings.Load(c.String("settings"))
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			context.AfterFunc(ctx, stop) // a second signal ends the process at once
			sink := logsink.New(os.Stderr, logsink.DefaultRate)
			defer sink.Close(logFlushTimeout)
			return daemon.New(set, daemon.NewLogger(sink, set.Log)).Run(ctx)
		},
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name: "version", Usage: "print the version",
		Description: withExample("Prints the version, the Go version and the platform.", "rockdoor version"),
		Action: func(c *cli.Context) error {
			_, err := fmt.Fprintf(c.App.Writer, "rockdoor %s %s %s/%s\n", Version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
			return err
		},
	}
}
