package charts

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rockdoor/rockdoor/statechart"
)

// Whatever happens to a request, "not run" is only said if no attempt may have
// begun, and a complete answer only after a complete attempt.
func TestRequestChartNeverLies(t *testing.T) {
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
			t.Fatal("said not run after an attempt that may have run")
		}
		if (r.State() == RequestComplete) != completed {
			t.Fatal("complete without a complete attempt, or the reverse")
		}
	})
}

// An attempt that was sent never ends as not run unless the connection or the
// target proves it.
func TestAttemptChartNeverLies(t *testing.T) {
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
				t.Fatal("not run after an answer began")
			}
		}
		if a.State() == AttemptNotRun {
			require.Contains(t, []statechart.Event{Unsent, Rejected, Cut}, last)
		}
	})
}
