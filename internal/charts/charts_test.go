package charts

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rockdoor/rockdoor/statechart"
)

// TestRequestChartReportsNotRunCorrectly checks for random event sequences that a request ends as not run
// only if no attempt may have run, and as complete only after a complete attempt.
func TestRequestChartReportsNotRunCorrectly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Request.Start()
		mayHaveRun, completed := false, false
		for !r.Final() {
			e := rapid.SampledFrom(Request.Definition().Events).Draw(t, "event")
			before := r.State()
			if _, err := r.Fire(e); err != nil {
				t.Fatal(err)
			}
			attempting := before == "attempting" || before == "reattempting"
			if attempting && (e == AttemptLost || e == AttemptRepeat || e == AttemptError) {
				mayHaveRun = true
			}
			if attempting && e == AttemptDone {
				completed = true
			}
		}
		if r.State() == RequestNotRun && mayHaveRun {
			t.Fatal("request ended as not run after an attempt that may have run")
		}
		if (r.State() == RequestComplete) != completed {
			t.Fatal("request ended as complete without a complete attempt, or not complete after one")
		}
	})
}

// TestAttemptChartReportsNotRunCorrectly checks for random event sequences that an attempt that was sent
// ends as not run only if the connection or the target proves it.
func TestAttemptChartReportsNotRunCorrectly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Attempt.Start()
		last := statechart.Event("")
		for !a.Final() {
			last = rapid.SampledFrom(Attempt.Definition().Events).Draw(t, "event")
			before := a.State()
			if _, err := a.Fire(last); err != nil {
				t.Fatal(err)
			}
			if before == AttemptAnswering && a.State() == AttemptNotRun {
				t.Fatal("attempt ended as not run after its response began")
			}
		}
		if a.State() == AttemptNotRun {
			require.Contains(t, []statechart.Event{Unsent, Rejected, Cut}, last)
		}
	})
}
