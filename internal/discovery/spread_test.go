package discovery

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/members"
)

// TestLooksOfAFleetAreSpreadByWhatTheyCost has fleets of all sizes start without schedulers that answer: what
// they list from the store a second stays the same.
func TestLooksOfAFleetAreSpreadByWhatTheyCost(t *testing.T) {
	for _, c := range []struct{ processes, instances int }{{100, 1000}, {300, 3000}, {985, 10_003}, {2000, 20_000}} {
		d := New(Options{Self: members.Member{Name: "self"}, RunID: "r", Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger()})
		d.joinBy(directory{Processes: c.processes, Instances: c.instances, Schedulers: []members.Member{{Name: "other"}}, Watchers: []string{"other"}})
		d.publish()
		listed := float64(c.processes*c.instances) / d.spread().Seconds()
		require.LessOrEqual(t, listed, 300_000*1.01, "registrations a second at %d processes", c.processes)
		require.GreaterOrEqual(t, d.spread(), time.Duration(c.processes)*aloneEach)
	}
}
