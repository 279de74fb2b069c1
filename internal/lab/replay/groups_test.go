package replay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestGroupsServeADoubleBurst replays a wave and a burst at the same time, 3.2 times the usual load and more
// than the engines can read, on 250 engines that are divided into groups: decisions that look at one group
// serve about as much as those that look at all.
func TestGroupsServeADoubleBurst(t *testing.T) {
	o := Options{
		Load: reviewsAndNotes(900, 60, 4000), Factor: 1, Length: 2 * time.Second, Engines: slowEngines, Readers: 160, Runners: 90, Placers: 10, Domains: 5,
		Cross: 900 * time.Microsecond, Warm: true, Exchange: 25 * time.Millisecond, Bursts: []Burst{{At: 500 * time.Millisecond, For: time.Second, Factor: 1.7 * 1.9}},
	}
	o.Engines.Slots = 12
	o.Load[0].Target = 250 * time.Millisecond
	grouped := Run(o).Worth()
	o.Ungrouped = true
	all := Run(o).Worth()
	t.Logf("worth %.3f by groups, %.3f by all", grouped, all)
	require.Greater(t, grouped, all-0.05)
}
