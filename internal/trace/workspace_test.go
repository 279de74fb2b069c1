package trace

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSummaryByWorkspace checks that each request counts once, however many lines name its workspace, and that the
// workspace with the lowest share of served requests comes first.
func TestSummaryByWorkspace(t *testing.T) {
	const text = `
ts=2026-10-23T20:56:50.000Z process=a msg=decision request=r1 workspace=small reason=hopeless
ts=2026-10-23T20:56:50.000Z process=a msg=request request=r1 workspace=small outcome=hopeless may_have_run=false
ts=2026-10-23T20:56:51.000Z process=a msg=request request=r2 workspace=small outcome=ok may_have_run=true
ts=2026-10-23T20:56:52.000Z process=b msg=request request=r3 workspace=small outcome=lost may_have_run=true
ts=2026-10-23T20:56:53.000Z process=b msg=request request=r4 workspace=large outcome=ok may_have_run=true
ts=2026-10-23T20:56:54.000Z process=b msg=request request=r5 workspace=large outcome=ok may_have_run=true
ts=2026-10-23T20:56:55.000Z process=b msg=request request=r6 workspace= outcome=ok may_have_run=true
ts=2026-10-23T20:56:56.000Z process=b msg=request request=r7 outcome=not-ready
ts=2026-10-23T20:56:57.000Z process=b msg=request request=r8 workspace=gone outcome=deadline may_have_run=false
`
	lines, err := Read(strings.NewReader(text), "")
	require.NoError(t, err)
	each, all := ByWorkspace(lines)
	require.Equal(t, []WorkspaceOutcomes{
		{Name: "gone", Requests: 1, Refused: 1},
		{Name: "small", Requests: 3, Served: 1, Refused: 1, Failed: 1},
		{Name: "large", Requests: 2, Served: 2},
	}, each)
	require.Equal(t, WorkspaceOutcomes{Requests: 6, Served: 3, Refused: 2, Failed: 1}, all)
	require.InDelta(t, 0.5, all.ShareServed(), 1e-9)
	require.Zero(t, WorkspaceOutcomes{}.ShareServed())
}
