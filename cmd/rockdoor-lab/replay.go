package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/urfave/cli/v2"

	"github.com/rockdoor/rockdoor/internal/lab/replay"
)

func replayCommand() *cli.Command {
	return &cli.Command{
		Name: "replay", Usage: "play a load against the placement of prompts, in virtual time",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "readers", Value: 6, Usage: "engines that read"},
			&cli.IntFlag{Name: "placers", Value: 9, Usage: "processes that decide"},
			&cli.Float64Flag{Name: "factor", Value: 1, Usage: "multiplies the load"},
			&cli.DurationFlag{Name: "length", Value: 10 * time.Second, Usage: "how long requests come"},
			&cli.Uint64Flag{Name: "seeds", Value: 8, Usage: "courses to play"},
		},
		Action: playLoad,
	}
}

// playLoad prints the shares of requests that were answered, and in time, by kind.
func playLoad(c *cli.Context) error {
	o := replay.Options{
		Load: replay.ReadingHeavy, Factor: c.Float64("factor"), Length: c.Duration("length"), Readers: c.Int("readers"), Placers: c.Int("placers"),
	}
	if o.Factor <= 0 || o.Readers <= 0 || o.Placers <= 0 {
		return cli.Exit("factor, readers and placers must be positive", 2)
	}
	sum := map[string]replay.Outcome{}
	for o.Seed = range c.Uint64("seeds") {
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
		fmt.Printf("%-8s asked %6d  in time %.3f  answered %.3f\n", name, s.Asked, float64(s.InTime)/float64(s.Asked), float64(s.Answered)/float64(s.Asked))
	}
	return nil
}
