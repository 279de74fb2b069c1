package entry

import (
	"sync"
	"time"

	"github.com/sony/gobreaker/v2"

	"github.com/rockdoor/rockdoor/internal/charts"
	"github.com/rockdoor/rockdoor/statechart"
)

const (
	// breakAfter is how many attempts in a row fail before a target is passed over.
	breakAfter = 3
	// breakFor is how long a target is passed over before it is tried again.
	breakFor = 2 * time.Second
)

// breakers hold a circuit breaker for each target. An open breaker only makes a
// target the last choice; it never takes the last permitted target away.
type breakers struct {
	targets sync.Map // name to *gobreaker.TwoStepCircuitBreaker[any]
}

func newBreakers() *breakers { return &breakers{} }

func (b *breakers) of(target string) *gobreaker.TwoStepCircuitBreaker[any] {
	if v, ok := b.targets.Load(target); ok {
		return v.(*gobreaker.TwoStepCircuitBreaker[any])
	}
	v, _ := b.targets.LoadOrStore(target, gobreaker.NewTwoStepCircuitBreaker[any](gobreaker.Settings{
		Name:        target,
		Timeout:     breakFor,
		ReadyToTrip: func(c gobreaker.Counts) bool { return c.ConsecutiveFailures >= breakAfter },
	}))
	return v.(*gobreaker.TwoStepCircuitBreaker[any])
}

// broken reports whether attempts at the target have failed lately.
func (b *breakers) broken(target string) bool {
	return b.of(target).State() == gobreaker.StateOpen
}

// begin returns a function that records how an attempt ended.
func (b *breakers) begin(target string) func(statechart.State, error) {
	done, err := b.of(target).Allow()
	if err != nil {
		return func(statechart.State, error) {} // a last resort is not counted again
	}
	return func(s statechart.State, err error) {
		if s == charts.AttemptComplete || s == charts.AttemptFailed {
			done(nil)
			return
		}
		done(err)
	}
}
