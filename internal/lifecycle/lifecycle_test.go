package lifecycle

import (
	"errors"
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rockdoor/rockdoor/internal/charts"
)

// scriptedSteps implements Steps with attempts that have the given outcomes.
type scriptedSteps struct {
	outcomes   []Outcome
	repeatable bool
	// maxAttempts is the number of attempts after which PrepareRetry ends the request.
	maxAttempts int
	// refreshFailsAt and chooseFailsAt are the indexes of the attempts before which
	// RefreshConfig and ChooseTarget end the request.
	refreshFailsAt, chooseFailsAt int

	attempts   int
	mayHaveRun bool
	delivered  bool
}

const unlimited = 1 << 20

var errAttempt = errors.New("attempt ended")

func reply(text string) *string { return &text }

func (s *scriptedSteps) RefreshConfig() *string {
	if s.attempts == s.refreshFailsAt {
		return reply("no configuration")
	}
	return nil
}

func (s *scriptedSteps) ChooseTarget() *string {
	if s.attempts == s.chooseFailsAt {
		return reply("no target")
	}
	return nil
}

func (s *scriptedSteps) Attempt() (Outcome, error) {
	o := s.outcomes[s.attempts%len(s.outcomes)]
	s.attempts++
	s.mayHaveRun = s.mayHaveRun || o != NotRun
	s.delivered = o == Delivered
	return o, errAttempt
}

func (s *scriptedSteps) CanRetryAfterRun() bool { return s.repeatable }

func (s *scriptedSteps) PrepareRetry(error) *string {
	if s.attempts >= s.maxAttempts {
		return reply("enough")
	}
	return nil
}

func (s *scriptedSteps) FinalReply(o Outcome, _ error) *string {
	if o == Delivered {
		return nil
	}
	return reply("ended")
}

func TestServe(t *testing.T) {
	for name, c := range map[string]struct {
		s        scriptedSteps
		reply    string
		state    string
		attempts int
	}{
		"delivered at once":                  {scriptedSteps{outcomes: []Outcome{Delivered}}, "", "complete", 1},
		"rejected, then delivered":           {scriptedSteps{outcomes: []Outcome{NotRun, Delivered}}, "", "complete", 2},
		"rejected until the last attempt":    {scriptedSteps{outcomes: []Outcome{NotRun}, maxAttempts: 3}, "enough", "not_run", 3},
		"lost, no retry allowed":             {scriptedSteps{outcomes: []Outcome{Lost, Delivered}}, "ended", "unknown", 1},
		"lost and retried":                   {scriptedSteps{outcomes: []Outcome{Lost, Delivered}, repeatable: true}, "", "complete", 2},
		"lost, retried, then rejected":       {scriptedSteps{outcomes: []Outcome{Lost, NotRun}, repeatable: true, maxAttempts: 2}, "enough", "unknown", 2},
		"failed":                             {scriptedSteps{outcomes: []Outcome{Failed}}, "ended", "failed", 1},
		"no target at first":                 {scriptedSteps{outcomes: []Outcome{Delivered}, chooseFailsAt: 0}, "no target", "not_run", 0},
		"no target after a lost attempt":     {scriptedSteps{outcomes: []Outcome{Lost}, repeatable: true, chooseFailsAt: 1}, "no target", "unknown", 1},
		"route removed after a lost attempt": {scriptedSteps{outcomes: []Outcome{Lost}, repeatable: true, refreshFailsAt: 1}, "no configuration", "unknown", 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := c.s
			if s.maxAttempts == 0 {
				s.maxAttempts = unlimited
			}
			if c.reply != "no target" {
				s.chooseFailsAt = unlimited
			}
			if c.reply != "no configuration" {
				s.refreshFailsAt = unlimited
			}
			l := New("id", log.NewNopLogger())
			l.Fire(charts.Admitted)
			rep := Serve(l, &s)
			if c.reply == "" {
				require.Nil(t, rep)
			} else {
				require.Equal(t, c.reply, *rep)
			}
			require.EqualValues(t, c.state, l.State())
			require.Equal(t, c.attempts, s.attempts)
		})
	}
}

// TestFinalStateMatchesAttempts checks with random outcomes that the final state is not_run if and
// only if no attempt may have started to run, and that Serve returns no reply if and only if a
// complete response was delivered.
func TestFinalStateMatchesAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := scriptedSteps{
			outcomes:   rapid.SliceOfN(rapid.SampledFrom([]Outcome{Delivered, NotRun, Lost, Failed}), 1, 6).Draw(t, "outcomes"),
			repeatable: rapid.Bool().Draw(t, "repeatable"), maxAttempts: rapid.IntRange(1, 6).Draw(t, "stop"),
			refreshFailsAt: rapid.IntRange(0, 9).Draw(t, "rebase"), chooseFailsAt: rapid.IntRange(0, 9).Draw(t, "choose"),
		}
		l := New("id", log.NewNopLogger())
		l.Fire(charts.Admitted)
		rep := Serve(l, &s)
		require.Equal(t, s.mayHaveRun, l.MayHaveRun())
		require.Equal(t, !s.mayHaveRun, l.State() == charts.RequestNotRun)
		require.Equal(t, rep == nil, s.delivered)
	})
}

func TestNothingHasRunBeforeTheFirstAttempt(t *testing.T) {
	l := New("id", log.NewNopLogger())
	require.False(t, l.MayHaveRun())
	l.Fire(charts.Admitted)
	require.False(t, l.MayHaveRun())
	l.Fire(charts.Chosen)
	require.True(t, l.MayHaveRun(), "the attempt may have started")
}
