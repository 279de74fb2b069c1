package replay

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/placement"
)

// simEngine simulates an engine that prefills one prompt at a time and decodes as many requests as
// it has slots.
type simEngine struct {
	*fleet.Instance
	profile EngineProfile
	cache   *promptCache
	faults  []Fault
	// speed multiplies the performance of the profile.
	speed float64
	// phases are the times at which slow phases begin and end by turns, generated as far as needed by
	// phaseRNG.
	slowPhases SlowPhases
	phases     []time.Duration
	phaseRNG   *rand.Rand
	// prefilled and decoded are the numbers of prompts and responses, weighted by their work.
	prefilled, decoded float64
	// prefilling is true while the engine prefills a prompt. pendingPrefills are the prompts that
	// it has not prefilled yet.
	prefilling      bool
	pendingPrefills []*request
	// decoding is the number of requests that the engine decodes. queuedDecodes are the requests
	// without a slot.
	decoding      int
	queuedDecodes []*request
}

// nextPrefill removes the prompts whose clients have timed out, calling drop for each, and takes
// the most urgent of the others out of the queue; of equally urgent ones, the first. It returns nil
// if there is none.
func (e *simEngine) nextPrefill(now time.Time, drop func(*request)) *request {
	e.pendingPrefills = slices.DeleteFunc(e.pendingPrefills, func(q *request) bool {
		expired := now.After(q.deadline)
		if expired {
			drop(q)
		}
		return expired
	})
	if len(e.pendingPrefills) == 0 {
		return nil
	}
	next := slices.MinFunc(e.pendingPrefills, func(a, b *request) int { return a.plan.Rank - b.plan.Rank })
	e.pendingPrefills = slices.DeleteFunc(e.pendingPrefills, func(q *request) bool { return q == next })
	return next
}

// faultAt returns the engine's slowdown factor at a time after the start, without slow phases, and whether it rejects
// requests.
func (e *simEngine) faultAt(at time.Duration) (slowdown float64, rejects bool) {
	slowdown = 1 / e.speed
	for _, f := range e.faults {
		if at < f.At || at >= f.At+f.Duration {
			continue
		}
		slowdown *= max(f.SlowdownFactor, 1)
		rejects = rejects || f.SlowdownFactor == 0
	}
	return slowdown, rejects
}

// interleavedTime returns how much later the next event is produced if the engine prefills a prompt
// between its tokens.
func (e *simEngine) interleavedTime() time.Duration {
	if !e.prefilling || e.profile.EventTokens == 0 {
		return 0
	}
	tokens := float64(e.profile.EventTokens * e.profile.PieceTokens)
	return time.Duration(mixedPrefillFactor * tokens / e.profile.PrefillTokensPerMs * float64(time.Millisecond))
}

// phaseSlowdown returns the factor by which the engine is slower because of a slow phase.
func (e *simEngine) phaseSlowdown(at time.Duration) float64 {
	if e.inSlowPhase(at) {
		return e.slowPhases.Factor
	}
	return 1
}

// inSlowPhase reports whether the engine is in a slow phase at a time after the start. The pauses between
// phases are random.
func (e *simEngine) inSlowPhase(at time.Duration) bool {
	if e.slowPhases.Share <= 0 {
		return false
	}
	pause := float64(e.slowPhases.Length) * (1 - e.slowPhases.Share) / e.slowPhases.Share
	for len(e.phases) == 0 || e.phases[len(e.phases)-1] <= at {
		end := time.Duration(0)
		if len(e.phases) > 0 {
			end = e.phases[len(e.phases)-1]
		}
		begin := end + time.Duration(e.phaseRNG.ExpFloat64()*pause)
		e.phases = append(e.phases, begin, begin+e.slowPhases.Length)
	}
	n, exact := slices.BinarySearch(e.phases, at)
	if exact {
		n++
	}
	return n%2 == 1
}

// prefillTime returns the time that an idle engine takes for prefill work.
func (e EngineProfile) prefillTime(w placement.Work) time.Duration {
	ms := float64(w.Tokens)/e.PrefillTokensPerMs + e.MsPerMPairs*float64(w.Pairs)/1e6
	return e.PrefillBase + time.Duration(ms*float64(time.Millisecond))
}

// crossDomainTransferFactor is how many times longer the transfer of a KV cache takes to another
// failure domain.
const crossDomainTransferFactor = 2

// transferTime returns the time that the KV cache of tokens takes from one engine to another.
func (e EngineProfile) transferTime(tokens int, from, to *fleet.Instance) time.Duration {
	d := e.TransferBase + time.Duration(float64(tokens)/e.TransferTokensPerMs*float64(time.Millisecond))
	if from.Domain != to.Domain {
		d *= crossDomainTransferFactor
	}
	return d
}
