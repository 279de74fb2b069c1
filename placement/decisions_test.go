package placement

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fleet"
)

const decisionsFile = "testdata/decisions.txt"

var update = flag.Bool("update", false, "write "+decisionsFile)

// TestDecisionsMatchRecording runs a scenario on one placer and compares each prefill decision, and
// the scores of the targets, with the recorded file. A change that is not meant to affect decisions
// must not change the file. All prompts are long, because ties between targets are broken at
// random.
func TestDecisionsMatchRecording(t *testing.T) {
	got := runScenario(New("a", nil, nil))
	if *update {
		require.NoError(t, os.WriteFile(decisionsFile, []byte(got), 0o644))
	}
	want, err := os.ReadFile(decisionsFile)
	require.NoError(t, err)
	decisions := strings.Split(got, "\n")
	for n, line := range strings.Split(string(want), "\n") {
		require.Equal(t, line, decisions[n], "line %d", n+1)
	}
}

// runScenario runs the scenario and returns a line for each decision. Prompts arrive in bursts and
// faster than they are prefilled. Some prefills fail and some take longer than expected.
func runScenario(p *Placer) string {
	now := time.Unix(0, 0)
	p.now = func() time.Time { return now }
	rng := rand.New(rand.NewPCG(7, 0))
	var all []*fleet.Instance
	for n, i := range instancesByRole(6, 4) {
		i.Domain = string(rune('a' + n%3))
		all = append(all, i)
	}
	var open []*Ticket
	var lines strings.Builder
	for n := range 400 {
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(12*time.Millisecond)))
		for len(open) > 0 && rng.Float64() < 0.45 {
			finishPrefill(open[0], rng)
			open = open[1:]
		}
		shared, own := minSeparatePrefillTokens+rng.IntN(12000), 100+rng.IntN(4000)
		j := &Job{
			Route:   &fleet.Route{Name: "r", LatencyTarget: 300 * time.Millisecond, Rank: rng.IntN(3)},
			Service: fleet.Service{Name: "s", KVCapacity: 60_000}, Remaining: time.Duration(500+rng.IntN(1500)) * time.Millisecond, Permitted: all,
			Call: &engine.Call{PromptTokens: shared + own, Parts: []engine.Part{{ID: fmt.Sprint(rng.IntN(20)), Tokens: shared}, {ID: "own", Tokens: own}}},
		}
		plan, ticket := p.Place(j)
		fmt.Fprintln(&lines, n, plan.Reason, name(plan.PrefillEngine), name(plan.FetchFrom), plan.Uncached, plan.QueueDelay.Milliseconds(), plan.PrefillTime.Milliseconds(), plan.Rank, plan.Late, plan.RetryAfter.Milliseconds())
		if ticket != nil {
			open = append(open, ticket)
		}
		if n%20 == 0 {
			for _, c := range p.Explain(j) {
				fmt.Fprintf(&lines, "  %s score %.2f pace %.2f failures %.2f %s\n", c.Instance, c.Score, c.Slowdown, c.FailureRate, c.Unavailable)
			}
		}
	}
	return lines.String()
}

// finishPrefill ends a prefill; one in ten fails.
func finishPrefill(t *Ticket, rng *rand.Rand) {
	if rng.Float64() < 0.1 {
		t.PrefillEnded(false, Failed)
	} else {
		t.PrefillEnded(true, Succeeded)
	}
	t.Cancel()
}

func name(i *fleet.Instance) string {
	if i == nil {
		return "-"
	}
	return i.ID
}
