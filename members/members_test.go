package members

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/objstore/memstore"
)

func newFleet(n, domains int) []Member {
	ms := make([]Member, n)
	for i := range ms {
		ms[i] = Member{Name: fmt.Sprintf("entry-%d", i), Domain: fmt.Sprintf("d%d", i%domains)}
	}
	return ms
}

func TestGossipPeersAreBoundedAndConnectTheFleet(t *testing.T) {
	for _, n := range []int{1, 2, 8, 16, 17, 128, 610} {
		ms := newFleet(n, 11)
		edges := map[string][]string{}
		for _, m := range ms {
			chosen := GossipPeers(ms, m.Name)
			require.LessOrEqual(t, len(chosen), MaxFullMesh)
			for _, c := range chosen {
				edges[m.Name] = append(edges[m.Name], c.Name)
				edges[c.Name] = append(edges[c.Name], m.Name)
			}
		}
		for name, e := range edges {
			// Each edge costs traffic at both ends; the budget of a process is 6 KB/s.
			require.LessOrEqual(t, len(e), max(2*MaxFullMesh, 3*GossipPeersPerProcess), "edges of %s in a fleet of %d", name, n)
		}
		hops := hopCounts(edges, ms[0].Name)
		require.Len(t, hops, n)
		for _, h := range hops {
			require.LessOrEqual(t, h, 5, "hops in a fleet of %d", n)
		}
	}
}

func hopCounts(edges map[string][]string, from string) map[string]int {
	hops := map[string]int{from: 0}
	for queue := []string{from}; len(queue) > 0; queue = queue[1:] {
		for _, next := range edges[queue[0]] {
			if _, ok := hops[next]; !ok {
				hops[next] = hops[queue[0]] + 1
				queue = append(queue, next)
			}
		}
	}
	return hops
}

func TestWatchersPerDomain(t *testing.T) {
	ms := newFleet(610, 11)
	watchers := map[string]int{}
	for _, m := range ms {
		if IsWatcher(ms, m) {
			watchers[m.Domain]++
		}
	}
	require.Len(t, watchers, 11)
	for d, n := range watchers {
		require.Equal(t, WatchersPerDomain, n, d)
	}
}

func TestLaterIncarnationWins(t *testing.T) {
	ctx := context.Background()
	s := memstore.New()
	old, current := Member{Name: "a", Incarnation: "1"}, Member{Name: "a", Incarnation: "2"}
	require.NoError(t, Register(ctx, s, KeyPrefix, old))
	require.NoError(t, Register(ctx, s, KeyPrefix, current))
	require.NoError(t, Register(ctx, s, KeyPrefix, current), "again")
	require.True(t, fault.Is(Register(ctx, s, KeyPrefix, old), fault.Conflict))
	require.NoError(t, Unregister(ctx, s, KeyPrefix, old), "the registration is of a later incarnation")
	objs, _, _ := s.List(ctx, KeyPrefix)
	require.Equal(t, []Member{current}, Parse(objs))
	require.NoError(t, Unregister(ctx, s, KeyPrefix, current))
	require.NoError(t, Unregister(ctx, s, KeyPrefix, current), "already removed")
	objs, _, _ = s.List(ctx, KeyPrefix)
	require.Empty(t, objs)
}

// TestSchedulersAreFewAndTheSameForAll checks the schedulers and watchers of fleets of several sizes.
func TestSchedulersAreFewAndTheSameForAll(t *testing.T) {
	small := newFleet(MaxFullMesh, 3)
	require.Len(t, Schedulers(small, nil), MaxFullMesh)
	require.Len(t, Watchers(small, MaxFullMesh), MaxFullMesh)
	for _, n := range []int{24, 65, 295, 610} {
		all := newFleet(n, 5)
		heavy := map[string]bool{}
		for i := range all {
			if i%8 == 0 {
				all[i].Weight = 0.8
				heavy[all[i].Name] = true
			}
		}
		chosen := Schedulers(all, nil)
		require.Len(t, chosen, 5*SchedulersPerDomain)
		watchers := Watchers(chosen, n)
		require.Len(t, watchers, MaxWatchers)
		domains := map[string]int{}
		for _, m := range watchers {
			domains[m.Domain]++
		}
		require.Len(t, domains, MaxWatchers, "one in each failure domain")
		if n > 100 {
			for _, m := range chosen {
				require.True(t, heavy[m.Name], "hosts with a larger weight are preferred")
			}
		}
		slices.Reverse(all)
		require.Equal(t, chosen, Schedulers(all, nil), "independent of the order of the list")

		unresponsive := chosen[0].Name
		next := Schedulers(all, func(name string) bool { return name == unresponsive })
		require.Len(t, next, len(chosen), "another member replaces the unresponsive scheduler")
		require.Equal(t, chosen[1:2], next[0:1])
	}
}

// TestIsSchedulerCandidate compares the result from the schedulers alone with the schedulers chosen from the
// list of all members.
func TestIsSchedulerCandidate(t *testing.T) {
	var all []Member
	for n := range 60 {
		all = append(all, Member{Name: fmt.Sprint("m-", n), Domain: fmt.Sprint(n % 3), Weight: float64(n % 4)})
	}
	schedulers := Schedulers(all, nil)
	for _, m := range all {
		require.Equal(t, Contains(schedulers, m.Name), m.IsSchedulerCandidate(schedulers), m.Name)
	}
	unresponsive := schedulers[0].Name
	replaced := Schedulers(all, func(name string) bool { return name == unresponsive })
	require.True(t, schedulers[0].IsSchedulerCandidate(replaced), "a scheduler that has recovered")
	require.True(t, Member{Name: "new", Domain: "9"}.IsSchedulerCandidate(schedulers), "the first member of its failure domain")
}
