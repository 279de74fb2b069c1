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

// poolOf returns the pool of a service with so many engines, a third of which generate.
func poolOf(n int) *fleet.Pool {
	all := fleetOf(n*2/3, n-n*2/3)
	slices.SortFunc(all, func(a, b *fleet.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return &fleet.Pool{All: all}
}

func groupedJob(pool *fleet.Pool, subject string, tokens int) *Job {
	j := job(pool.All, subject, tokens)
	j.Groups = pool.Groups
	return j
}

// TestADecisionLooksAtOneGroup places a prompt among 1,000 and among 10,000 engines: what is looked at
// is one group at both sizes.
func TestADecisionLooksAtOneGroup(t *testing.T) {
	for _, n := range []int{1000, 10_000} {
		p := New("a", nil, nil)
		j := groupedJob(poolOf(n), "s", 9000)
		plan, ticket := p.Place(j)
		require.NotNil(t, plan.PrefillEngine)
		ticket.PrefillEnded(true, Succeeded)
		require.True(t, p.PlaceDecode(j, &plan, ticket))
		require.Less(t, len(p.instances), 2*fleet.GroupSize, "%d engines", n)
	}
}

// TestDecidersAgreeOnAHome has two processes that know the same engines, each of which adds its own
// load elsewhere, place the same subjects.
func TestDecidersAgreeOnAHome(t *testing.T) {
	pool := poolOf(2000)
	for n := range 200 {
		subject := fmt.Sprint("subject-", n)
		one, _ := New("a", nil, nil).Place(groupedJob(pool, subject, 9000))
		other, _ := New("b", nil, nil).Place(groupedJob(&fleet.Pool{All: pool.All}, subject, 9000))
		require.Equal(t, ReasonHome, one.Reason)
		require.Same(t, one.PrefillEngine, other.PrefillEngine)
	}
}

// TestABurstOnOneGroupSpills has all engines of a subject's group busy for long: the prompt is read in
// time in another group.
func TestABurstOnOneGroupSpills(t *testing.T) {
	pool := poolOf(1000)
	home := fleet.GroupIndex("s", len(pool.Groups()))
	p := New("a", func(id string) Load {
		if fleet.GroupIndex(id, len(pool.Groups())) == home {
			return unread(0, 5, 20000)
		}
		return Load{}
	}, nil)
	plan, _ := p.Place(groupedJob(pool, "s", 9000))
	require.False(t, plan.Late)
	require.NotEqual(t, home, fleet.GroupIndex(plan.PrefillEngine.ID, len(pool.Groups())))
}

// TestAFullFleetIsRefusedAtABoundedCost has all engines full.
func TestAFullFleetIsRefusedAtABoundedCost(t *testing.T) {
	pool := poolOf(10_000)
	p := New("a", func(string) Load { return Load{Requests: 1000} }, nil)
	plan, ticket := p.Place(groupedJob(pool, "s", 100))
	require.Nil(t, ticket)
	require.Equal(t, ReasonFull, plan.Reason)
	require.Positive(t, plan.RetryAfter)
	require.LessOrEqual(t, len(p.instances), groupTries*2*fleet.GroupSize)
}

// TestAnyGroupServesWhenTheOthersAreGone leaves one engine of a thousand to a request.
func TestAnyGroupServesWhenTheOthersAreGone(t *testing.T) {
	pool := poolOf(1000)
	j := groupedJob(pool, "s", 100)
	j.Avoid = map[string]bool{}
	left := pool.All[0] // one that generates
	for _, i := range pool.All[1:] {
		j.Avoid[i.ID] = true
	}
	plan, ticket := New("a", nil, nil).Place(j)
	require.NotNil(t, ticket)
	require.Same(t, left, plan.Target)
}

// TestCallsWithoutSubjectSpread places calls to a plain service of 1,000 instances.
func TestCallsWithoutSubjectSpread(t *testing.T) {
	pool := poolOf(1000)
	p := New("a", nil, nil)
	used := map[string]bool{}
	for range 300 {
		j := &Job{Route: &fleet.Route{Name: "r"}, Service: fleet.Service{Name: "s"}, Call: &engine.Call{}, Remaining: time.Second, Permitted: pool.All, Groups: pool.Groups}
		plan, ticket := p.Place(j)
		require.NotNil(t, ticket)
		used[plan.Target.ID] = true
	}
	require.Greater(t, len(used), 150, "of 333 that run")
}

// TestOwnFollowsTheWorkInHand has a placer know 10,000 engines and work at a few: what it looks at for a
// digest is those.
func TestOwnFollowsTheWorkInHand(t *testing.T) {
	pool := poolOf(10_000)
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
