package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v2"

	"github.com/rockdoor/rockdoor/internal/lab/soak"
)

const (
	soakMinutes   = 0.5
	soakProcesses = 8
	soakClients   = 3
	// maxSoakProcesses is the number of gateway processes that a developer's machine can run.
	maxSoakProcesses = 250
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name: "soak", Usage: "run gateways as processes between stand-ins, inject faults, and check their guarantees",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "`NUMBER` that determines the schedule of faults", Value: 1},
			&cli.Float64Flag{Name: "minutes", Usage: "how long faults are injected", Value: soakMinutes},
			&cli.IntFlag{Name: "processes", Usage: "number of gateways", Value: soakProcesses},
			&cli.IntFlag{Name: "callers", Usage: "number of clients for each gateway", Value: soakClients},
			&cli.DurationFlag{Name: "think", Usage: "mean `TIME` between a response and the client's next request; 0 uses that of a small deployment"},
			&cli.Float64Flag{Name: "share", Usage: "share of the time in which each process runs, as on a host with a part of a core; 0 is all of it"},
			&cli.Float64Flag{Name: "memory", Usage: "memory limit of each process in `MB`, which it must keep; 0 is none"},
			&cli.IntFlag{Name: "descriptors", Usage: "`NUMBER` of descriptors that each process may have open, which it must keep; 0 is the system's limit"},
			&cli.StringFlag{Name: "site", Usage: "`FILE` of the users' platform with the layout and bounds of the run; --processes 0 then runs one gateway per host"},
			&cli.BoolFlag{Name: "regressions", Usage: "repeat all runs that ever failed instead of a seed"},
			&cli.StringFlag{Name: "binary", Usage: "the rockdoor `FILE` to run; by default the one beside this program"},
			&cli.StringFlag{Name: "dir", Usage: "`DIRECTORY` for settings and logs; by default a temporary one, kept if a guarantee was violated"},
		},
		Action: runSoak,
	}
}

func runSoak(c *cli.Context) error {
	if !c.Bool("regressions") {
		o := soak.Options{Seed: c.Uint64("seed"), Processes: c.Int("processes"), Length: time.Duration(c.Float64("minutes") * float64(time.Minute)), MemoryMB: c.Float64("memory"), Descriptors: c.Int("descriptors"), Bounds: soak.DefaultBounds}
		if err := readSite(c.String("site"), &o); err != nil {
			return err
		}
		if o.Processes < 1 || o.Processes > maxSoakProcesses {
			return fmt.Errorf("the number of processes must be 1 to %d, not %d", maxSoakProcesses, o.Processes)
		}
		return runSeed(c, o)
	}
	failed := 0
	for _, r := range soak.Regressions {
		fmt.Fprintf(c.App.Writer, "seed %d, which failed because %s\n", r.Seed, r.Cause)
		if err := runSeed(c, soak.Options{Seed: r.Seed, Processes: r.Processes, Length: r.Length, Bounds: soak.DefaultBounds}); err != nil {
			fmt.Fprintln(c.App.Writer, err)
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d runs that failed before failed again", failed, len(soak.Regressions))
	}
	return nil
}

// readSite reads the layout and the bounds from a site file, if one is given.
func readSite(file string, o *soak.Options) (err error) {
	if file == "" {
		return nil
	}
	if o.Layout, o.Bounds, err = soak.ReadSite(file); err == nil && o.Processes == 0 {
		o.Processes = len(o.Layout.Hosts)
	}
	return err
}

// runSeed runs the schedule of one seed and prints its report.
func runSeed(c *cli.Context, o soak.Options) error {
	binary, err := soakBinary(c.String("binary"))
	if err != nil {
		return err
	}
	dir, keep, err := soakDir(c.String("dir"))
	if err != nil {
		return err
	}
	o.ClientsPerProcess, o.ThinkTime, o.Dir = c.Int("callers"), c.Duration("think"), dir
	o.CPUShare = c.Float64("share")
	o.Command, o.Progress = []string{binary}, c.App.Writer
	r, err := soak.Run(c.Context, o)
	if err != nil {
		return fmt.Errorf("the soak itself failed: %w", err)
	}
	r.Write(c.App.Writer)
	if broken := len(r.Broken()); broken > 0 {
		return fmt.Errorf("%d guarantees were violated", broken)
	}
	if keep {
		return nil
	}
	return os.RemoveAll(dir)
}

// soakBinary returns the program to run as a gateway.
func soakBinary(binary string) (string, error) {
	if binary != "" {
		return binary, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.Join(filepath.Dir(self), "rockdoor"), nil
}

// soakDir returns the directory for settings and logs, and whether it is kept even if the run
// succeeds.
func soakDir(dir string) (string, bool, error) {
	if dir == "" {
		made, err := os.MkdirTemp("", "rockdoor-soak-")
		return made, false, err
	}
	return dir, true, os.MkdirAll(dir, 0o700)
}
