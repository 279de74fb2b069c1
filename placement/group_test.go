package placement

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fleet"
)

// testPool returns the pool of a service with n engines, a third of which decode.
func testPool(n int) *fleet.Pool {
	all := instancesByRole(n*2/3, n-n*2/3)
	slices.SortFunc(all, func(a, b *fleet.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return &fleet.Pool{All: all}
}

func groupedJob(pool *fleet.Pool, prefix string, tokens int) *Job {
	j := testJob(pool.All, prefix, tokens)
	j.Groups = pool.Groups
	return j
}

// TestDecisionConsidersOneGroup places a prompt among 1,000 and among 10,000 engines. Both
// decisions must consider one group only.
func TestDecisionConsidersOneGroup(t *testing.T) {
	for _, n := range []int{1000, 10_000} {
		p := New("a", nil, nil)
		j := groupedJob(testPool(n), "s", 9000)
		plan, ticket := p.Place(j)
		require.NotNil(t, plan.PrefillEngine)
		ticket.PrefillEnded(true, Succeeded)
		require.True(t, p.PlaceDecode(j, &plan, ticket))
		require.Less(t, len(p.instances), 2*fleet.GroupSize, "%d engines", n)
	}
}

// TestProcessesAgreeOnPreferredEngine places the same prefixes in two processes that know the same
// engines.
func TestProcessesAgreeOnPreferredEngine(t *testing.T) {
	pool := testPool(2000)
	for n := range 200 {
		prefix := fmt.Sprint("subject-", n)
		one, _ := New("a", nil, nil).Place(groupedJob(pool, prefix, 9000))
		other, _ := New("b", nil, nil).Place(groupedJob(&fleet.Pool{All: pool.All}, prefix, 9000))
		require.Equal(t, ReasonPreferred, one.Reason)
		require.Same(t, one.PrefillEngine, other.PrefillEngine)
	}
}

// TestBurstOnOneGroupSpills loads all engines of the prefix's group. The prompt must be prefilled
// in time in another group.
func TestBurstOnOneGroupSpills(t *testing.T) {
	pool := testPool(1000)
	preferredGroup := fleet.GroupIndex("s", len(pool.Groups()))
	p := New("a", func(id string) Load {
		if fleet.GroupIndex(id, len(pool.Groups())) == preferredGroup {
			return pendingLoad(0, 5, 20000)
		}
		return Load{}
	}, nil)
	plan, _ := p.Place(groupedJob(pool, "s", 9000))
	require.False(t, plan.Late)
	require.NotEqual(t, preferredGroup, fleet.GroupIndex(plan.PrefillEngine.ID, len(pool.Groups())))
}

// TestRejectionByFullFleetHasBoundedCost covers a fleet in which all engines are full.
func TestRejectionByFullFleetHasBoundedCost(t *testing.T) {
	pool := testPool(10_000)
	p := New("a", func(string) Load { return Load{Requests: 1000} }, nil)
	plan, ticket := p.Place(groupedJob(pool, "s", 100))
	require.Nil(t, ticket)
	require.Equal(t, ReasonFull, plan.Reason)
	require.Positive(t, plan.RetryAfter)
	require.LessOrEqual(t, len(p.instances), maxGroupsTried*2*fleet.GroupSize)
}

// TestAnyGroupServesIfOthersAreExcluded leaves a request one of a thousand engines.
func TestAnyGroupServesIfOthersAreExcluded(t *testing.T) {
	pool := testPool(1000)
	j := groupedJob(pool, "s", 100)
	j.Avoid = map[string]bool{}
	remaining := pool.All[0] // a decode engine
	for _, i := range pool.All[1:] {
		j.Avoid[i.ID] = true
	}
	plan, ticket := New("a", nil, nil).Place(j)
	require.NotNil(t, ticket)
	require.Same(t, remaining, plan.Target)
}

// TestCallsWithoutPrefixSpread places calls to a plain service of 1,000 instances.
func TestCallsWithoutPrefixSpread(t *testing.T) {
	pool := testPool(1000)
	p := New("a", nil, nil)
	used := map[string]bool{}
	for range 300 {
		j := &Job{Route: &fleet.Route{Name: "r"}, Service: fleet.Service{Name: "s"}, Call: &engine.Call{}, Remaining: time.Second, Permitted: pool.All, Groups: pool.Groups}
		plan, ticket := p.Place(j)
		require.NotNil(t, ticket)
		used[plan.Target.ID] = true
	}
	require.Greater(t, len(used), 150, "of 333 targets")
}

// TestLocalLoadVisitsBusyInstancesOnly has a placer that knows 10,000 engines and has requests in
// flight at a few. Only these may be visited for a load digest.
func TestLocalLoadVisitsBusyInstancesOnly(t *testing.T) {
	pool := testPool(10_000)
	p := New("a", nil, nil)
	for _, i := range pool.All {
		p.ApplyRemotePrefill(Prefill{Instance: i.ID, UnsharedTokens: 1})
	}
	var tickets []*Ticket
	for n := range 5 {
		_, ticket := p.Place(groupedJob(pool, fmt.Sprint(n), 9000))
		tickets = append(tickets, ticket)
	}
	require.Len(t, p.LocalLoads(), 5)
	require.Equal(t, 5, p.PendingPrompts())
	require.Len(t, p.busy, 5)
	for _, ticket := range tickets {
		ticket.Cancel()
	}
	require.Empty(t, p.LocalLoads())
	require.Empty(t, p.busy)
	require.Zero(t, p.PendingPrompts())
}
