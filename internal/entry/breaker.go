package entry

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sony/gobreaker/v2"

	"github.com/rockdoor/rockdoor/internal/charts"
	"github.com/rockdoor/rockdoor/internal/upstream"
	"github.com/rockdoor/rockdoor/statechart"
)

const (
	// tripAfterFailures is the number of consecutive failed attempts that open the
	// breaker of a target.
	tripAfterFailures = 3
	// openDuration is how long a breaker stays open before an attempt probes the
	// target.
	openDuration = 2 * time.Second
)

// breakers holds a circuit breaker for each target. An open breaker only ranks a
// target last: the target still gets the request if no other one is available.
type breakers struct {
	targets sync.Map // name to *gobreaker.TwoStepCircuitBreaker[any]
}

func newBreakers() *breakers { return &breakers{} }

func (b *breakers) breakerFor(target string) *gobreaker.TwoStepCircuitBreaker[any] {
	if v, ok := b.targets.Load(target); ok {
		return v.(*gobreaker.TwoStepCircuitBreaker[any])
	}
	v, _ := b.targets.LoadOrStore(target, gobreaker.NewTwoStepCircuitBreaker[any](gobreaker.Settings{
		Name:        target,
		Timeout:     openDuration,
		IsExcluded:  func(err error) bool { return errors.Is(err, upstream.ErrOwnPath) },
		ReadyToTrip: func(c gobreaker.Counts) bool { return c.ConsecutiveFailures >= tripAfterFailures },
	}))
	return v.(*gobreaker.TwoStepCircuitBreaker[any])
}

// broken reports whether the breaker of the target is open.
func (b *breakers) broken(target string) bool {
	return b.breakerFor(target).State() == gobreaker.StateOpen
}

// begin returns a function that records how an attempt ended.
func (b *breakers) begin(target string) func(statechart.State, error) {
	done, err := b.breakerFor(target).Allow()
	if err != nil {
		return func(statechart.State, error) {} // the breaker is open: an attempt on a target of last resort is not counted
	}
	return func(s statechart.State, err error) {
		if s == charts.AttemptComplete || s == charts.AttemptFailed {
			done(nil)
			return
		}
		done(err)
	}
}
