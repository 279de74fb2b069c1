package replay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// eightSeeds runs a load with eight seeds.
func eightSeeds(o Options) (map[string]Outcome, float64) { return withSeeds(o, 8) }

// withSeeds runs a load with a number of seeds and returns the total outcomes and the mean error of
// the estimates.
func withSeeds(o Options, n int) (map[string]Outcome, float64) {
	sum, wrong := map[string]Outcome{}, 0.0
	for seed := range n {
		o.Seed = uint64(seed)
		r := Run(o)
		for name, outcome := range r.Outcomes {
			sum[name] = sum[name].Add(outcome)
		}
		wrong += r.EstimateError / float64(n)
	}
	return sum, wrong
}

func share(part, whole int) float64 { return float64(part) / float64(whole) }

// TestShortPromptsPassLongOnes replays a load of mostly prefill that exceeds the capacity of the
// prefill engines. Short urgent prompts are prefilled before long ones, so that they are neither
// late nor lost.
func TestShortPromptsPassLongOnes(t *testing.T) {
	got, _ := eightSeeds(Options{Load: PrefillHeavy, Factor: 1.2, Length: 10 * time.Second, PrefillEngines: 6, Placers: 6})
	short := got["short"]
	t.Logf("%+v", got)
	require.Greater(t, share(short.Answered, short.Requests), 0.99)
	require.Greater(t, share(short.InTime, short.Requests), 0.9)
}

// TestEstimatesStayAccurate replays a load under which many prefills wait behind prompts of other
// placers that the placer does not know of yet. Their waiting time must not distort the estimates
// of the engines' speed.
func TestEstimatesStayAccurate(t *testing.T) {
	_, wrong := eightSeeds(Options{Load: PrefillHeavy, Factor: 0.8, Length: 10 * time.Second, PrefillEngines: 12, Placers: 6})
	t.Logf("mean error of the estimates: %.3f", wrong)
	require.Less(t, wrong, 0.25)
}

// TestFewPlacersBeatMany replays the same load on 50 prefill engines twice. First, 65 processes
// each decide and exchange their loads as often as that many can; then three placers decide for all
// of them.
func TestFewPlacersBeatMany(t *testing.T) {
	o := Options{Load: PrefillHeavy, Factor: 4.6, Length: 4 * time.Second, PrefillEngines: 50, Placers: 65, ExchangeInterval: 150 * time.Millisecond}
	many, _ := withSeeds(o, 2)
	o.Placers, o.ExchangeInterval = 3, 25*time.Millisecond
	few, _ := withSeeds(o, 2)
	for _, kind := range []string{"long", "middle"} {
		a, b := share(many[kind].InTime, many[kind].Requests), share(few[kind].InTime, few[kind].Requests)
		t.Logf("%s in time: %.3f with many placers, %.3f with few", kind, a, b)
		require.Greater(t, b, a+0.1, kind)
	}
}

func TestSameSeedSameResult(t *testing.T) {
	o := Options{Load: PrefillHeavy, Factor: 1, Length: 2 * time.Second, PrefillEngines: 6, Placers: 3, Seed: 4}
	require.Equal(t, Run(o), Run(o))
}
