package httpserve

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fits reports whether a run of class c that may take until long after the end is still taken, with the given time left.
func fits(d *Drain, left time.Duration) bool {
	d.Begin(time.Now().Add(left))
	return d.Missing("c", 0, 0, time.Now().Add(time.Hour)) == 0
}

func TestRunsAreTakenWhileTheyCanEnd(t *testing.T) {
	d := NewDrain()
	require.Zero(t, d.Missing("c", time.Hour, 0, time.Now().Add(time.Hour)), "not stopped")
	require.False(t, fits(d, unknownRunTime/2), "no run seen")
	require.True(t, fits(d, 2*unknownRunTime), "no run seen")
	observe := func(took time.Duration) {
		r := d.Start("c")
		r.begun = r.begun.Add(-took)
		r.End(true)
	}
	observe(100 * time.Millisecond)
	require.True(t, fits(d, 200*time.Millisecond))
	under := d.Start("c")
	under.begun = under.begun.Add(-3 * time.Second)
	require.False(t, fits(d, 2*time.Second), "one under way takes longer than the few seen")
	under.End(false)
	require.True(t, fits(d, 200*time.Millisecond), "its client left")
	observe(2 * time.Second)
	require.False(t, fits(d, time.Second))
	for range recentRuns - 1 {
		observe(100 * time.Millisecond)
	}
	require.True(t, fits(d, 200*time.Millisecond), "a single long run among many")
	observe(2 * time.Second)
	observe(2 * time.Second)
	require.False(t, fits(d, time.Second), "two of them")
}

// TestRunsUnderWayShowThatRunsHaveBecomeSlow has some runs take longer than the many that have ended.
func TestRunsUnderWayShowThatRunsHaveBecomeSlow(t *testing.T) {
	d := NewDrain()
	for range 2 * recentRuns {
		r := d.Start("c")
		r.begun = r.begun.Add(-10 * time.Millisecond)
		r.End(true)
	}
	for range recentRuns {
		d.Start("c") // just begun, which says nothing
	}
	require.True(t, fits(d, 100*time.Millisecond))
	for range 3 {
		r := d.Start("c")
		r.begun = r.begun.Add(-2 * time.Second)
	}
	require.False(t, fits(d, time.Second))
}

func TestClassesOfRunsAreBounded(t *testing.T) {
	d := NewDrain()
	var last *Run
	for n := range 2 * maxClasses {
		last = d.Start(fmt.Sprint(n))
	}
	require.Len(t, d.classes, maxClasses)
	last.End(true)
}
