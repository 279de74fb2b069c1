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
		b := newBudget(BudgetBounds{Slack: slack, Window: 10 * time.Second, Processes: func() int { return processes }})
		for b.extra("s") {
			total++
		}
	}
	require.LessOrEqual(t, total, slack)
	require.Positive(t, total)
}

// TestBudgetWindowSlides checks that what was spent is free again a window later.
func TestBudgetWindowSlides(t *testing.T) {
	b := newBudget(BudgetBounds{Ratio: 1, Window: 10 * time.Second})
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
