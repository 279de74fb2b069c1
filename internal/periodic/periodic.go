// Package periodic runs a function at regular intervals.
package periodic

import (
	"context"
	"time"
)

// Run calls do after each interval until ctx ends. Calls do not overlap: a call that takes longer
// than the interval delays the next one.
func Run(ctx context.Context, interval time.Duration, do func(ctx context.Context)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
			do(ctx)
		}
	}
}
