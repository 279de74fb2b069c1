package load

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Options configure a run.
type Options struct {
	Mix     Mix
	Seed    uint64
	Scale   float64
	Entries []string
	// RunID makes the IDs of requests unique between runs.
	RunID string
}

// Run sends the planned requests and returns one result for each. If the context is canceled, it
// stops early.
func Run(ctx context.Context, o Options) []Result {
	plan := Plan(o.Mix, o.Seed, o.Scale)
	results := make([]Result, len(plan))
	c := newClient(o.Entries)
	defer c.http.CloseIdleConnections()
	var wg sync.WaitGroup
	start := time.Now()
	for i, a := range plan {
		due := start.Add(a.At)
		if !sleepUntil(ctx, due) {
			results = results[:i]
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i] = c.send(ctx, o.RunID+"-"+strconv.Itoa(i), a, due)
		}()
	}
	wg.Wait()
	return results
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Percentile returns the q-quantile of ds, or 0 if ds is empty.
func Percentile(ds []time.Duration, q float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	s := slices.Clone(ds)
	slices.Sort(s)
	return s[min(len(s)-1, int(q*float64(len(s))))]
}
