package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v2"

	"github.com/rockdoor/rockdoor/internal/lab/replay"
)

func replayCommand() *cli.Command {
	return &cli.Command{
		Name: "replay", Usage: "simulate the placement of prompts under a load, in virtual time",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "readers", Value: 6, Usage: "number of prefill engines"},
			&cli.IntFlag{Name: "placers", Value: 9, Usage: "number of processes that decide on placement"},
			&cli.Float64Flag{Name: "factor", Value: 1, Usage: "multiply the request rates by this"},
			&cli.DurationFlag{Name: "length", Value: 10 * time.Second, Usage: "how long requests arrive, in virtual time"},
			&cli.IntFlag{Name: "seeds", Value: 8, Usage: "number of runs, each with its own seed"},
			&cli.BoolFlag{Name: "compare", Usage: "run each scenario with and without each mechanism, with the same seeds, and print a table"},
			&cli.StringSliceFlag{Name: "without", Usage: "with --compare: leave out only `MECHANISM`; may be repeated"},
			&cli.StringSliceFlag{Name: "scenario", Usage: "with --compare: run only `SCENARIO`; may be repeated"},
			&cli.IntFlag{Name: "parallel", Value: 4, Usage: "with --compare: number of runs at a time"},
		},
		Action: runReplay,
	}
}

// runReplay prints, for each kind, the shares of requests that were answered and answered in time.
func runReplay(c *cli.Context) error {
	if c.Int("seeds") <= 0 || c.Int("parallel") <= 0 {
		return cli.Exit("seeds and parallel must be positive", 2)
	}
	if c.Bool("compare") {
		return compareMechanisms(c)
	}
	o := replay.Options{
		Load: replay.PrefillHeavy, Factor: c.Float64("factor"), Length: c.Duration("length"), PrefillEngines: c.Int("readers"), Placers: c.Int("placers"),
	}
	if o.Factor <= 0 || o.PrefillEngines <= 0 || o.Placers <= 0 {
		return cli.Exit("factor, readers and placers must be positive", 2)
	}
	sum := map[string]replay.Outcome{}
	for seed := range c.Int("seeds") {
		o.Seed = uint64(seed)
		for name, outcome := range replay.Run(o).Outcomes {
			sum[name] = sum[name].Add(outcome)
		}
	}
	names := []string{}
	for name := range sum {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		s := sum[name]
		fmt.Printf("%-8s requests %6d  in time %.3f  answered %.3f\n", name, s.Requests, float64(s.InTime)/float64(s.Requests), float64(s.Answered)/float64(s.Requests))
	}
	return nil
}

// compareMechanisms prints the effect of each mechanism on the worth of each scenario.
func compareMechanisms(c *cli.Context) error {
	scenarios, err := selectByName(replay.Scenarios(), c.StringSlice("scenario"), func(s replay.Scenario) string { return s.Name })
	if err != nil {
		return err
	}
	ablations, err := selectByName(replay.Ablations(), c.StringSlice("without"), func(s replay.Ablation) string { return s.Name })
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(c.App.Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "scenario\twithout\tworth with\tworth without\tdifference\tstandard error")
	for _, s := range scenarios {
		if err := compareOnScenario(c, w, s, ablations); err != nil {
			return err
		}
	}
	return w.Flush()
}

func compareOnScenario(c *cli.Context, w io.Writer, s replay.Scenario, ablations []replay.Ablation) error {
	seeds, parallel := c.Int("seeds"), c.Int("parallel")
	with, err := replay.WorthBySeed(s.Options, seeds, parallel)
	if err != nil {
		return err
	}
	for _, ablation := range ablations {
		o := s.Options
		ablation.Disable(&o)
		without, err := replay.WorthBySeed(o, seeds, parallel)
		if err != nil {
			return err
		}
		d := replay.Compare(with, without)
		if d.Identical {
			fmt.Fprintf(w, "%s\t%s\t%.4f\t%.4f\tthe same outcomes\t\n", s.Name, ablation.Name, d.With, d.Without)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%.4f\t%.4f\t%+.4f\t%.4f\n", s.Name, ablation.Name, d.With, d.Without, d.Difference, d.StandardError)
	}
	return nil
}

// selectByName returns the items with the given names, or all items if no name is given.
func selectByName[T any](all []T, names []string, name func(T) string) ([]T, error) {
	if len(names) == 0 {
		return all, nil
	}
	var out []T
	known := make([]string, len(all))
	for n, item := range all {
		known[n] = name(item)
	}
	for _, wanted := range names {
		n := slices.Index(known, wanted)
		if n < 0 {
			return nil, cli.Exit(fmt.Sprintf("there is no %q, only %s", wanted, strings.Join(known, ", ")), 2)
		}
		out = append(out, all[n])
	}
	return out, nil
}
