package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/bootclock"
)

// TestSlackIsSharedByAllProcesses checks that the processes of a large fleet together stay
// within the slack.
func TestSlackIsSharedByAllProcesses(t *testing.T) {
	const processes, slack = 66, 172
	total := 0
	for range processes {
		b := newRetryBudget(RetryBudgetConfig{Slack: slack, Window: 10 * time.Second, Processes: func() int { return processes }})
		for b.takeRetry("s") {
			total++
		}
	}
	require.LessOrEqual(t, total, slack)
	require.Positive(t, total)
}

// TestBudgetWindowSlides checks that retries no longer count after one window.
func TestBudgetWindowSlides(t *testing.T) {
	b := newRetryBudget(RetryBudgetConfig{Ratio: 1, Window: 10 * time.Second})
	now := bootclock.Now()
	b.window("s", now).slots[b.window("s", now).slot%budgetSlots].retries = 5
	sum := func(at bootclock.Instant) float64 {
		n := 0.0
		for _, s := range b.window("s", at).slots {
			n += s.retries
		}
		return n
	}
	require.EqualValues(t, 5, sum(now.Add(9*time.Second)))
	require.Zero(t, sum(now.Add(11*time.Second)))
}

// TestManyProcessesWithFewRequestsRetry has 985 processes that get one request in each window and always
// want to retry. Each process may retry once in each window except the first after its start, and
// in no window may all processes together exceed the bounds.
func TestManyProcessesWithFewRequestsRetry(t *testing.T) {
	const processes, slack, ratio, window, step = 985, 1040, 0.2, 10 * time.Second, 100 * time.Millisecond
	const steps = int(window / step)
	taken := make([]int, 4*steps) // by step
	start := bootclock.Now()
	for n := range processes {
		b := newRetryBudget(RetryBudgetConfig{Ratio: ratio, Slack: slack, Window: window, Processes: func() int { return processes }})
		b.started = start
		own := 0
		for k := range taken {
			now := start.Add(time.Duration(k) * step)
			if (k+n)%steps == 0 {
				w := b.window("s", now)
				w.slots[w.slot%budgetSlots].requests++
			}
			if b.takeRetryAt("s", now) {
				taken[k]++
				own++
				require.GreaterOrEqual(t, now.Sub(start), window, "a process that has just started does not know what its previous run took")
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
