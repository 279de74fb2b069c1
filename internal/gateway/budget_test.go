package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/bootclock"
)

// TestSlackIsSharedByAllProcesses checks that a large fleet stays inside a slack
// that is for all processes together.
func TestSlackIsSharedByAllProcesses(t *testing.T) {
	const processes, slack = 66, 172
	total := 0
	for range processes {
		b := newBudget(RetryBudgetConfig{Slack: slack, Window: 10 * time.Second, Processes: func() int { return processes }})
		for b.extra("s") {
			total++
		}
	}
	require.LessOrEqual(t, total, slack)
	require.Positive(t, total)
}

// TestBudgetWindowSlides checks that what was spent is free again a window later.
func TestBudgetWindowSlides(t *testing.T) {
	b := newBudget(RetryBudgetConfig{Ratio: 1, Window: 10 * time.Second})
	now := bootclock.Now()
	b.window("s", now).slots[b.window("s", now).at%budgetSlots].extras = 5
	sum := func(at bootclock.Instant) float64 {
		n := 0.0
		for _, s := range b.window("s", at).slots {
			n += s.extras
		}
		return n
	}
	require.EqualValues(t, 5, sum(now.Add(9*time.Second)))
	require.Zero(t, sum(now.Add(11*time.Second)))
}

// TestManyProcessesWithFewRequestsRetry has 985 processes with a request in each window want an extra all
// the time: each gets one in each window but the first of its life, and in no window do all together take more
// than the bounds.
func TestManyProcessesWithFewRequestsRetry(t *testing.T) {
	const processes, slack, ratio, window, step = 985, 1040, 0.2, 10 * time.Second, 100 * time.Millisecond
	const steps = int(window / step)
	taken := make([]int, 4*steps) // by step
	begun := bootclock.Now()
	for n := range processes {
		b := newBudget(RetryBudgetConfig{Ratio: ratio, Slack: slack, Window: window, Processes: func() int { return processes }})
		b.started = begun
		own := 0
		for k := range taken {
			now := begun.Add(time.Duration(k) * step)
			if (k+n)%steps == 0 {
				w := b.window("s", now)
				w.slots[w.at%budgetSlots].requests++
			}
			if b.extraAt("s", now) {
				taken[k]++
				own++
				require.GreaterOrEqual(t, now.Sub(begun), window, "a young process does not know what was taken before")
			}
		}
		require.GreaterOrEqual(t, own, 2)
	}

	for k := range taken[:len(taken)-steps] {
		sum := 0
		for _, n := range taken[k : k+steps] {
			sum += n
		}
		require.LessOrEqual(t, float64(sum), slack+ratio*processes)
	}
}
