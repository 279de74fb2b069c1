package replay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestGroupsServeADoubleBurst replays two overlapping bursts, 3.2 times the usual load and more
// than the engines can prefill, on 250 engines that are divided into groups. Decisions that
// consider one group serve about as much as decisions that consider all engines.
func TestGroupsServeADoubleBurst(t *testing.T) {
	o := Options{
		Load: reviewsAndNotes(900, 60, 4000), Factor: 1, Length: 2 * time.Second, EngineProfile: slowEngines, PrefillEngines: 160, MixedEngines: 90, Placers: 10, Domains: 5,
		CrossDomainDelay: 900 * time.Microsecond, WarmCaches: true, ExchangeInterval: 25 * time.Millisecond, Bursts: []Burst{{At: 500 * time.Millisecond, Duration: time.Second, Factor: 1.7 * 1.9}},
	}
	o.EngineProfile.Slots = 12
	o.Load[0].TargetLatency = 250 * time.Millisecond
	grouped := Run(o).Worth()
	o.Ungrouped = true
	all := Run(o).Worth()
	t.Logf("worth %.3f with groups, %.3f without", grouped, all)
	require.Greater(t, grouped, all-0.05)
}
