package discovery

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/members"
)

// TestDirectReadsAreSpreadByTheirCost has fleets of several sizes start while no scheduler answers. The
// number of registrations that they list from the store per second must be bounded at any size.
func TestDirectReadsAreSpreadByTheirCost(t *testing.T) {
	for _, c := range []struct{ processes, instances int }{{100, 1000}, {300, 3000}, {985, 10_003}, {2000, 20_000}} {
		d := New(Options{Self: members.Member{Name: "self"}, RunID: "r", Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger()})
		d.joinFromDirectory(directory{Processes: c.processes, Instances: c.instances, Schedulers: []members.Member{{Name: "other"}}, Watchers: []string{"other"}})
		d.publish()
		listed := float64(c.processes*c.instances) / d.directReadJitter().Seconds()
		require.LessOrEqual(t, listed, 300_000*1.01, "registrations a second at %d processes", c.processes)
		require.GreaterOrEqual(t, d.directReadJitter(), time.Duration(c.processes)*directReadInterval)
	}
}

// TestOddDirectoryEndsNoProcess joins from directories with impossible counts. A pause of a random length must stay one.
func TestOddDirectoryEndsNoProcess(t *testing.T) {
	for _, c := range []struct{ processes, instances int }{{1 << 40, 1 << 62}, {math.MaxInt, math.MaxInt}, {3_000_000, 1 << 50}, {985, math.MinInt}, {math.MinInt, 10_003}} {
		d := New(Options{Self: members.Member{Name: "self"}, RunID: "r", Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger()})
		d.joinFromDirectory(directory{Processes: c.processes, Instances: c.instances, Schedulers: []members.Member{{Name: "other"}}, Watchers: []string{"other"}})
		d.publish()
		require.NotPanics(t, func() { rand.N(directReadPause + d.directReadJitter()) }, c)
		require.GreaterOrEqual(t, d.directReadJitter(), time.Duration(0), c)
		require.Less(t, d.directReadJitter(), time.Hour, c)
	}
}
