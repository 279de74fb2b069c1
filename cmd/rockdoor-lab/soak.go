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
	soakCallers   = 3
	// mostSoakProcesses is what the machines of developers bear.
	mostSoakProcesses = 250
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name: "soak", Usage: "run gateways as processes between stand-ins, strike them with faults, and check their promises",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "`NUMBER` that fixes the schedule of faults", Value: 1},
			&cli.Float64Flag{Name: "minutes", Usage: "how long faults are put in", Value: soakMinutes},
			&cli.IntFlag{Name: "processes", Usage: "how many gateways run", Value: soakProcesses},
			&cli.IntFlag{Name: "callers", Usage: "how many callers each gateway has", Value: soakCallers},
			&cli.DurationFlag{Name: "think", Usage: "mean `TIME` between an answer and a caller's next request; 0 is that of a small deployment"},
			&cli.StringFlag{Name: "site", Usage: "`FILE` of the users' platform whose layout and bounds the run has; with --processes 0 as many as it has hosts"},
			&cli.BoolFlag{Name: "regressions", Usage: "play all runs that ever failed instead of a seed"},
			&cli.StringFlag{Name: "binary", Usage: "the rockdoor `FILE` to run; the one beside this program if empty"},
			&cli.StringFlag{Name: "dir", Usage: "`DIRECTORY` for settings and logs; a temporary one if empty, kept if a promise was broken"},
		},
		Action: runSoak,
	}
}

func runSoak(c *cli.Context) error {
	if !c.Bool("regressions") {
		o := soak.Options{Seed: c.Uint64("seed"), Processes: c.Int("processes"), Length: time.Duration(c.Float64("minutes") * float64(time.Minute)), Bounds: soak.DefaultBounds}
		if err := readSite(c.String("site"), &o); err != nil {
			return err
		}
		if o.Processes < 1 || o.Processes > mostSoakProcesses {
			return fmt.Errorf("give 1 to %d processes, not %d", mostSoakProcesses, o.Processes)
		}
		return playSoak(c, o)
	}
	failed := 0
	for _, r := range soak.Regressions {
		fmt.Fprintf(c.App.Writer, "seed %d, which failed since %s\n", r.Seed, r.Cause)
		if err := playSoak(c, soak.Options{Seed: r.Seed, Processes: r.Processes, Length: r.Length, Bounds: soak.DefaultBounds}); err != nil {
			fmt.Fprintln(c.App.Writer, err)
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d runs that failed once fail", failed, len(soak.Regressions))
	}
	return nil
}

// readSite takes the layout and the bounds from a site file, if one is named.
func readSite(file string, o *soak.Options) (err error) {
	if file == "" {
		return nil
	}
	if o.Layout, o.Bounds, err = soak.ReadSite(file); err == nil && o.Processes == 0 {
		o.Processes = len(o.Layout.Hosts)
	}
	return err
}

// playSoak plays one seed and prints its report.
func playSoak(c *cli.Context, o soak.Options) error {
	binary, err := soakBinary(c.String("binary"))
	if err != nil {
		return err
	}
	dir, keep, err := soakDir(c.String("dir"))
	if err != nil {
		return err
	}
	o.ClientsPerProcess, o.ThinkTime, o.Dir = c.Int("callers"), c.Duration("think"), dir
	o.Command, o.Progress = []string{binary}, c.App.Writer
	r, err := soak.Run(c.Context, o)
	if err != nil {
		return fmt.Errorf("the soak itself failed: %w", err)
	}
	r.Write(c.App.Writer)
	if broken := len(r.Broken()); broken > 0 {
		return fmt.Errorf("%d promises were broken", broken)
	}
	if keep {
		return nil
	}
	return os.RemoveAll(dir)
}

// soakBinary returns the program that is run as a gateway.
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

// soakDir returns the directory for settings and logs, and whether it is kept in any case.
func soakDir(dir string) (string, bool, error) {
	if dir == "" {
		made, err := os.MkdirTemp("", "rockdoor-soak-")
		return made, false, err
	}
	return dir, true, os.MkdirAll(dir, 0o700)
}
