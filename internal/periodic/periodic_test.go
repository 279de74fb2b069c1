package periodic

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRun checks that the first call follows after one interval, and that there is no call after the
// context has ended, even if it ends during a call.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		begun := time.Now()
		var calls []time.Duration
		Run(ctx, time.Second, func(context.Context) {
			if calls = append(calls, time.Since(begun)); len(calls) == 3 {
				cancel()
				time.Sleep(5 * time.Second)
			}
		})
		require.Equal(t, []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}, calls)
	})
}
