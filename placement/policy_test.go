package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPolicyWithout(t *testing.T) {
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

// TestZeroPolicyIsTheDefault runs the scenario with the zero policy set and with none set.
func TestZeroPolicyIsTheDefault(t *testing.T) {
	stated := New("a", nil, nil)
	stated.SetPolicy(Policy{})
	require.Equal(t, runScenario(New("a", nil, nil)), runScenario(stated))
}

// TestPrefillMechanismsCanBeDisabled runs the scenario without each of the mechanisms that affect
// the choice of the prefill engine.
func TestPrefillMechanismsCanBeDisabled(t *testing.T) {
	with := runScenario(New("a", nil, nil))
	for _, m := range []Mechanism{
		SeparatePrefill, LateLast, LateByRank, RejectWouldTimeOut, LatencyTargetMargin, RankedQueue, HalfOfRunning, Attention, CleanSamples, Outliers, Slowdown, KnownPrefixes,
		Fetch, PreferredEngines, LocalPrefill, Penalty, Breakers,
	} {
		p := New("a", nil, nil)
		p.SetPolicy(Policy{}.Without(m))
		require.NotEqual(t, with, runScenario(p), m)
	}
}

// TestTargetMechanismsCanBeDisabled compares the scores of targets with and without the mechanisms
// that affect them.
func TestTargetMechanismsCanBeDisabled(t *testing.T) {
	for _, m := range []Mechanism{LocalTarget, StartingCounts, SlowTargets} {
		require.NotEqual(t, targetScores(t, Policy{}), targetScores(t, Policy{}.Without(m)), m)
	}
}

// targetScores returns the scores of three targets: one with a request whose response has not begun,
// one that decodes slowly, and one in another failure domain.
func targetScores(t *testing.T, policy Policy) []float64 {
	p := New("a", nil, nil)
	p.SetPolicy(policy)
	all := instancesByRole(0, 3)
	all[2].Domain = "b"
	short := testJob(all, "s", 300)
	for n := range all {
		one := *short
		one.Permitted = all[n : n+1]
		_, ticket := p.Place(&one)
		require.NotNil(t, ticket)
		ticket.FirstEvent()
		ticket.RecordGaps(time.Duration(10*(1+n%2*3))*time.Millisecond, 20)
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

// TestQueueLimitCanBeDisabled fills the only target.
func TestQueueLimitCanBeDisabled(t *testing.T) {
	full := func(policy Policy) bool {
		p := New("a", nil, nil)
		p.SetPolicy(policy)
		all := instancesByRole(0, 1)
		for range int(maxRequestsPerSlot * 8) {
			_, ticket := p.Place(testJob(all, "s", 300))
			require.NotNil(t, ticket)
		}
		_, ticket := p.Place(testJob(all, "s", 300))
		return ticket == nil
	}
	require.True(t, full(Policy{}))
	require.False(t, full(Policy{}.Without(QueueLimit)))
}

// TestTiesAreReproducible places the same requests twice with the same random source.
func TestTiesAreReproducible(t *testing.T) {
	chosen := func() []string {
		p := New("a", nil, nil)
		p.SetRandom(rand.New(rand.NewPCG(3, 0)).Float64)
		all := instancesByRole(0, 6)
		var out []string
		for range 40 {
			plan, ticket := p.Place(testJob(all, "s", 300))
			require.NotNil(t, ticket)
			ticket.RunEnded(Succeeded)
			out = append(out, plan.Target.ID)
		}
		return out
	}
	require.Equal(t, chosen(), chosen())
}
