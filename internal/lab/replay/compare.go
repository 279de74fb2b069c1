package replay

import (
	"math"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rockdoor/rockdoor/placement"
)

// Ablation disables one mechanism.
type Ablation struct {
	Name    string
	Disable func(*Options)
}

// idleExchangeInterval is the interval at which gateways exchange their loads when no prompts in
// flight make them do so more often.
const idleExchangeInterval = 80 * time.Millisecond

// Ablations returns one ablation for each mechanism of placement, and for some mechanisms that
// provide placement with its input.
func Ablations() []Ablation {
	var out []Ablation
	for _, m := range placement.Mechanisms() {
		out = append(out, Ablation{string(m), func(o *Options) { o.Policy = o.Policy.Without(m) }})
	}
	return append(out,
		Ablation{"patience", func(o *Options) { o.UseStatedTimeout = true }},
		Ablation{"prompt-digests", func(o *Options) { o.ExchangeInterval = idleExchangeInterval }},
		Ablation{"cache-lists", func(o *Options) { o.UnknownCaches = true }},
	)
}

// Comparison is the effect of a mechanism under a load.
type Comparison struct {
	// With and Without are the mean worths. Difference is the mean over all seeds of the worth
	// without the mechanism minus that with it, StandardError its standard error.
	With, Without, Difference, StandardError float64
	// Identical is true if the worths are equal for each seed, so that the load does not exercise
	// the mechanism.
	Identical bool
}

// WorthBySeed runs a load with a number of seeds, up to parallel of them at a time.
func WorthBySeed(o Options, seeds, parallel int) ([]float64, error) {
	out := make([]float64, seeds)
	var g errgroup.Group
	g.SetLimit(parallel)
	for n := range seeds {
		one := o
		one.Seed = uint64(n)
		g.Go(func() error {
			out[n] = Run(one).Worth()
			return nil
		})
	}
	return out, g.Wait()
}

// Compare compares worths pairwise by seed.
func Compare(with, without []float64) Comparison {
	n := float64(len(with))
	c := Comparison{Identical: true}
	for i := range with {
		c.With += with[i] / n
		c.Without += without[i] / n
		c.Identical = c.Identical && with[i] == without[i]
	}
	c.Difference = c.Without - c.With
	squares := 0.0
	for i := range with {
		deviation := without[i] - with[i] - c.Difference
		squares += deviation * deviation
	}
	if n > 1 {
		c.StandardError = math.Sqrt(squares / (n - 1) / n)
	}
	return c
}
