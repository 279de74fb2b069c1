package replay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// minServedShare is the minimum share of answered requests of any workspace, relative to the share
// of all workspaces.
const minServedShare = 0.25

// floodLoad is a load in which one workspace sends far more than the prefill engines can process,
// beside 20 others that send one request every two seconds each.
func floodLoad(large, small Kind) []Kind {
	large.Name = "large"
	out := []Kind{large}
	for n := range 20 {
		small.Name = fmt.Sprint("small-", n)
		out = append(out, small)
	}
	return out
}

// TestLargeWorkspaceStarvesNoOther checks floods in which the requests of the small workspaces are
// like those of the large one, have prompt prefixes that no engine has cached, are longer, or are
// less urgent.
func TestLargeWorkspaceStarvesNoOther(t *testing.T) {
	large := Kind{Rank: 1, TargetLatency: 250 * time.Millisecond, ClientTimeout: 2 * time.Second, PerSecond: 200, Prefixes: 20, PrefixTokens: 6300, OwnTokens: 2890}
	alike := large
	alike.PerSecond, alike.Prefixes = 0.5, 1
	uncached, long, lessUrgent, short := alike, alike, alike, large
	uncached.Prefixes, long.OwnTokens, lessUrgent.Rank = 50, 8000, 2
	short.OwnTokens, short.PerSecond = 500, 1000
	for _, c := range []struct {
		name         string
		large, small Kind
	}{
		{"alike", large, alike}, {"uncached prompt prefixes", large, uncached}, {"longer", large, long}, {"less urgent", large, lessUrgent},
		{"a flood of short prompts", short, alike},
	} {
		for _, factor := range []float64{1, 3} {
			t.Run(fmt.Sprint(c.name, " ", factor), func(t *testing.T) {
				got, _ := withSeeds(Options{
					Load: floodLoad(c.large, c.small), Factor: factor, Length: 10 * time.Second, PrefillEngines: 6, Placers: 3,
					Workspace: func(kind string) string { return kind },
				}, 4)
				var all, small Outcome
				least := 1.0
				for name, o := range got {
					all = all.Add(o)
					least = min(least, share(o.Answered, o.Requests))
					if name != "large" {
						small = small.Add(o)
					}
				}
				t.Logf("answered: all %.3f, large %.3f, small %.3f, least served workspace %.3f; in time: all %.3f, small %.3f", share(all.Answered, all.Requests),
					share(got["large"].Answered, got["large"].Requests), share(small.Answered, small.Requests), least, share(all.InTime, all.Requests), share(small.InTime, small.Requests))
				require.GreaterOrEqual(t, least, minServedShare*share(all.Answered, all.Requests))
			})
		}
	}
}

// TestUrgentPromptsPassOthersOfWorkspace repeats TestShortPromptsPassLongOnes with clients of a
// single workspace, which exceeds its share most of the time.
func TestUrgentPromptsPassOthersOfWorkspace(t *testing.T) {
	got, _ := eightSeeds(Options{
		Load: PrefillHeavy, Factor: 1.2, Length: 10 * time.Second, PrefillEngines: 6, Placers: 6, Workspace: func(string) string { return "w" },
	})
	short := got["short"]
	t.Logf("%+v", got)
	require.Greater(t, share(short.Answered, short.Requests), 0.99)
	require.Greater(t, share(short.InTime, short.Requests), 0.9)
}
