package lifecycle

import (
	"errors"
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rockdoor/rockdoor/internal/charts"
)

// script is a service whose attempts end as they are told.
type script struct {
	outcomes   []Outcome
	repeatable bool
	// stopAt is the number of attempts after which no other is made.
	stopAt int
	// rebaseFails and chooseFails make the step before that attempt end the request.
	rebaseFails, chooseFails int

	attempts int
	begun    bool
	whole    bool
}

const never = 1 << 20

var errAttempt = errors.New("attempt ended")

func reply(text string) *string { return &text }

func (s *script) RefreshConfig() *string {
	if s.attempts == s.rebaseFails {
		return reply("no configuration")
	}
	return nil
}

func (s *script) ChooseTarget() *string {
	if s.attempts == s.chooseFails {
		return reply("no target")
	}
	return nil
}

func (s *script) Attempt() (Outcome, error) {
	o := s.outcomes[s.attempts%len(s.outcomes)]
	s.attempts++
	s.begun = s.begun || o != NotRun
	s.whole = o == Delivered
	return o, errAttempt
}

func (s *script) CanRetryAfterRun() bool { return s.repeatable }

func (s *script) PrepareRetry(error) *string {
	if s.attempts >= s.stopAt {
		return reply("enough")
	}
	return nil
}

func (s *script) FinalReply(o Outcome, _ error) *string {
	if o == Delivered {
		return nil
	}
	return reply("ended")
}

func TestServe(t *testing.T) {
	for name, c := range map[string]struct {
		s        script
		reply    string
		state    string
		attempts int
	}{
		"answered at once":                {script{outcomes: []Outcome{Delivered}}, "", "complete", 1},
		"refused, then answered":          {script{outcomes: []Outcome{NotRun, Delivered}}, "", "complete", 2},
		"refused until enough":            {script{outcomes: []Outcome{NotRun}, stopAt: 3}, "enough", "not_run", 3},
		"lost and not repeatable":         {script{outcomes: []Outcome{Lost, Delivered}}, "ended", "unknown", 1},
		"lost and repeated":               {script{outcomes: []Outcome{Lost, Delivered}, repeatable: true}, "", "complete", 2},
		"lost, repeated, then refused":    {script{outcomes: []Outcome{Lost, NotRun}, repeatable: true, stopAt: 2}, "enough", "unknown", 2},
		"failed":                          {script{outcomes: []Outcome{Failed}}, "ended", "failed", 1},
		"no target at first":              {script{outcomes: []Outcome{Delivered}, chooseFails: 0}, "no target", "not_run", 0},
		"no target after a lost attempt":  {script{outcomes: []Outcome{Lost}, repeatable: true, chooseFails: 1}, "no target", "unknown", 1},
		"route gone after a lost attempt": {script{outcomes: []Outcome{Lost}, repeatable: true, rebaseFails: 1}, "no configuration", "unknown", 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := c.s
			if s.stopAt == 0 {
				s.stopAt = never
			}
			if c.reply != "no target" {
				s.chooseFails = never
			}
			if c.reply != "no configuration" {
				s.rebaseFails = never
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

// TestServeNeverLies checks over random courses that "not run" is said only if no
// attempt can have begun, and that a request without a reply was answered whole.
func TestServeNeverLies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := script{
			outcomes:   rapid.SliceOfN(rapid.SampledFrom([]Outcome{Delivered, NotRun, Lost, Failed}), 1, 6).Draw(t, "outcomes"),
			repeatable: rapid.Bool().Draw(t, "repeatable"), stopAt: rapid.IntRange(1, 6).Draw(t, "stop"),
			rebaseFails: rapid.IntRange(0, 9).Draw(t, "rebase"), chooseFails: rapid.IntRange(0, 9).Draw(t, "choose"),
		}
		l := New("id", log.NewNopLogger())
		l.Fire(charts.Admitted)
		rep := Serve(l, &s)
		require.Equal(t, s.begun, l.MayHaveRun())
		require.Equal(t, !s.begun, l.State() == charts.RequestNotRun)
		require.Equal(t, rep == nil, s.whole)
	})
}

func TestNothingHasRunBeforeTheFirstAttempt(t *testing.T) {
	l := New("id", log.NewNopLogger())
	require.False(t, l.MayHaveRun())
	l.Fire(charts.Admitted)
	require.False(t, l.MayHaveRun())
	l.Fire(charts.Chosen)
	require.True(t, l.MayHaveRun(), "it may be under way")
}
