package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/urfave/cli/v2"

	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/internal/lab/load"
)

func loadCommand() *cli.Command {
	usage := "send a named mix of requests and check the responses. Mixes:"
	for _, m := range load.Mixes {
		usage += "\n   " + m.Name + ": " + m.Doc
	}
	return &cli.Command{
		Name: "load", Usage: "send load and check the responses", Description: usage,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "`ADDRESS` of an entry host; may be repeated"},
			&cli.StringFlag{Name: "config", Required: true, Usage: "`FILE` of the configuration in force, for the check"},
			&cli.StringFlag{Name: "mix", Value: "demo"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.Float64Flag{Name: "scale", Value: 1, Usage: "multiply all rates by this"},
			&cli.StringFlag{Name: "save", Usage: "write all results to this `FILE` as JSON"},
		},
		Action: runLoad,
	}
}

func runLoad(c *cli.Context) error {
	mix, err := load.MixByName(c.String("mix"))
	if err != nil {
		return err
	}
	text, err := os.ReadFile(c.String("config"))
	if err != nil {
		return err
	}
	_, compiled, err := config.Parse(c.String("config"), text)
	if err != nil {
		return err
	}
	start := time.Now()
	results := load.Run(c.Context, load.Options{
		Mix: mix, Seed: c.Uint64("seed"), Scale: c.Float64("scale"), Entries: c.StringSlice("entry"),
		RunID: strconv.FormatInt(start.UnixNano(), 36),
	})
	took := time.Since(start)
	runs, err := load.FetchRuns(c.Context, compiled)
	if err != nil {
		return err
	}
	v := load.Check(mix, compiled, results, runs)
	fmt.Printf("mix %s, seed %d, %d entry hosts, %d requests in %s\n", mix.Name, c.Uint64("seed"), len(c.StringSlice("entry")), len(results), took.Round(time.Millisecond))
	load.Print(os.Stdout, load.Summarize(mix, results), took)
	load.PrintCodes(os.Stdout, results)
	load.PrintSummary(os.Stdout, fmt.Sprintf("mix=%s seed=%d", mix.Name, c.Uint64("seed")), load.Summarize(mix, results))
	load.PrintViolations(os.Stdout, v)
	if name := c.String("save"); name != "" {
		data, err := json.Marshal(results)
		if err != nil {
			return err
		}
		if err := os.WriteFile(name, data, 0o644); err != nil {
			return err
		}
	}
	if v.Any() {
		return cli.Exit("a guarantee was violated", 1)
	}
	return nil
}
