package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

const manyPrompts = 400

// floodedPlacer returns a placer with more pending prompts of one workspace than the prefill
// engines can handle in time, and the number of late ones.
func floodedPlacer(t *testing.T, workspace string) (p *Placer, tickets []*Ticket, late int) {
	t.Helper()
	all := instancesByRole(4, 1)
	p = New("a", nil, nil)
	for n := range manyPrompts {
		j := testJob(all, fmt.Sprint("subject-", n%3), 3000)
		j.Workspace, j.Route.Rank = workspace, 2
		plan, ticket := p.Place(j)
		if ticket == nil {
			continue
		}
		require.Contains(t, []int{2, 2 + lateRank}, plan.Rank, "a workspace does not overtake itself")
		tickets = append(tickets, ticket)
		if plan.Late {
			late++
		}
	}
	require.Positive(t, late)
	return p, tickets, late
}

// TestSmallWorkspacesOvertakeAFlood floods the prefill engines from one workspace. The first
// prompts of other workspaces must get the first rank until these have their share of the pending
// prompts. Requests without a workspace stay late.
func TestSmallWorkspacesOvertakeAFlood(t *testing.T) {
	p, tickets, _ := floodedPlacer(t, "large")
	all := instancesByRole(4, 1)
	place := func(workspace string) Plan {
		j := testJob(all, "subject of "+workspace, 3000)
		j.Workspace, j.Route.Rank = workspace, 2
		plan, ticket := p.Place(j)
		if ticket != nil {
			tickets = append(tickets, ticket)
		}
		return plan
	}
	first := place("small")
	require.Equal(t, firstRank, first.Rank)
	require.False(t, first.Late)
	require.True(t, place("").Late)
	overtaking := 0
	for plan := place("another"); plan.Rank == firstRank; plan = place("another") {
		overtaking++
	}
	require.Positive(t, overtaking)
	require.Less(t, overtaking, manyPrompts/4, "only up to a fraction of its share")
	for _, ticket := range tickets {
		ticket.Cancel()
	}
	for service, s := range p.pendingByService {
		require.Empty(t, s.byWorkspace, service)
		require.Zero(t, s.busyMs, service)
	}
}

// TestSingleWorkspaceGetsNoPreference floods once without a workspace and once from a single one. The
// same prompts must be late.
func TestSingleWorkspaceGetsNoPreference(t *testing.T) {
	p, without, late := floodedPlacer(t, "")
	require.Empty(t, p.workspacePending("s").byWorkspace)
	_, with, same := floodedPlacer(t, "large")
	require.Equal(t, late, same)
	require.Len(t, with, len(without))
}
