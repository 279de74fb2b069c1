package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAPolicyHasWhatIsNotLeftOut(t *testing.T) {
	all := Policy{}
	for _, m := range Mechanisms() {
		require.True(t, all.Has(m), m)
		without := all.Without(m)
		require.False(t, without.Has(m), m)
		for _, other := range Mechanisms() {
			require.Equal(t, other != m, without.Has(other), "%s without %s", other, m)
		}
	}
	require.Equal(t, all, all.Without("no such mechanism"))
}

// TestTheZeroPolicyChangesNothing plays a course of prompts with the policy stated and
// without.
func TestTheZeroPolicyChangesNothing(t *testing.T) {
	stated := New("a", nil, nil)
	stated.SetPolicy(Policy{})
	require.Equal(t, courseOf(New("a", nil, nil)), courseOf(stated))
}

// TestAMechanismCanBeLeftOut plays the course without each of the mechanisms that decide on
// where prompts are read.
func TestAMechanismCanBeLeftOut(t *testing.T) {
	with := courseOf(New("a", nil, nil))
	for _, m := range []Mechanism{
		Apart, LateLast, LateInOrder, RefuseHopeless, TargetMargin, RankedQueue, HalfOfBegun, Attention, CleanSamples, Outliers, Pace, KnownCaches,
		Fetch, Homes, NearReader, Penalty, Breakers,
	} {
		p := New("a", nil, nil)
		p.SetPolicy(Policy{}.Without(m))
		require.NotEqual(t, with, courseOf(p), m)
	}
}

// TestRunnerMechanismsCanBeLeftOut compares how runners look with and without the mechanisms
// that decide on where requests run.
func TestRunnerMechanismsCanBeLeftOut(t *testing.T) {
	for _, m := range []Mechanism{NearRunner, StartingCounts, SlowRunners} {
		require.NotEqual(t, runnerScores(t, Policy{}), runnerScores(t, Policy{}.Without(m)), m)
	}
}

// runnerScores returns the scores of three runners: one that has a request which has not
// begun, one that generates slowly, one in another failure domain.
func runnerScores(t *testing.T, policy Policy) []float64 {
	p := New("a", nil, nil)
	p.SetPolicy(policy)
	all := fleetOf(0, 3)
	all[2].Domain = "b"
	short := job(all, "s", 300)
	for n := range all {
		one := *short
		one.Permitted = all[n : n+1]
		_, ticket := p.Place(&one)
		require.NotNil(t, ticket)
		ticket.FirstEvent()
		ticket.Gaps(time.Duration(10*(1+n%2*3))*time.Millisecond, 20)
		if n > 0 {
			ticket.RunEnded(Succeeded)
		}
	}
	one := *short
	one.Permitted = all[:1]
	_, ticket := p.Place(&one)
	require.NotNil(t, ticket)
	var out []float64
	for _, c := range p.Explain(short) {
		out = append(out, c.Score)
	}
	return out
}

// TestQueueLimitCanBeLeftOut fills the only runner.
func TestQueueLimitCanBeLeftOut(t *testing.T) {
	full := func(policy Policy) bool {
		p := New("a", nil, nil)
		p.SetPolicy(policy)
		all := fleetOf(0, 1)
		for range int(queueFactor * 8) {
			_, ticket := p.Place(job(all, "s", 300))
			require.NotNil(t, ticket)
		}
		_, ticket := p.Place(job(all, "s", 300))
		return ticket == nil
	}
	require.True(t, full(Policy{}))
	require.False(t, full(Policy{}.Without(QueueLimit)))
}

// TestTiesAreBrokenByTheGivenNumbers places the same requests with the same source twice.
func TestTiesAreBrokenByTheGivenNumbers(t *testing.T) {
	chosen := func() []string {
		p := New("a", nil, nil)
		p.SetRandom(rand.New(rand.NewPCG(3, 0)).Float64)
		all := fleetOf(0, 6)
		var out []string
		for range 40 {
			plan, ticket := p.Place(job(all, "s", 300))
			require.NotNil(t, ticket)
			ticket.RunEnded(Succeeded)
			out = append(out, plan.Target.ID)
		}
		return out
	}
	require.Equal(t, chosen(), chosen())
}
