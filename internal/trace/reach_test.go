package trace

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPropagationTimes(t *testing.T) {
	const logs = `
ts=2026-10-23T20:56:50.000Z process=a msg=ready config=1
ts=2026-10-23T20:56:50.250Z process=b msg=ready config=1
ts=2026-10-23T20:56:51.000Z process=b component=discovery msg="configuration in force" version=2
ts=2026-10-23T20:56:51.030Z process=a component=discovery msg="configuration in force" version=2
ts=2026-10-23T20:56:51.400Z process=c component=discovery msg="store lost" feed=config
ts=2026-10-23T20:56:51.900Z process=c component=discovery msg="configuration in force" version=2
ts=2026-10-23T20:56:59.000Z process=a component=discovery msg="configuration in force" version=2
ts=2026-10-23T20:57:00.000Z process=a component=discovery msg="instance gone" id=i-2 service=s
`
	lines, err := Read(strings.NewReader(logs), "")
	require.NoError(t, err)
	all := Propagation(lines)
	require.Len(t, all, 3)
	require.Equal(t, Change{What: "ready", First: lines[0].At, Processes: 2, Last: 250 * time.Millisecond, LastProcess: "b"}, all[0])
	require.Equal(t, Change{What: "configuration in force", ID: "2", First: lines[2].At, Processes: 3, Half: 30 * time.Millisecond, Last: 900 * time.Millisecond, LastProcess: "c", LastReason: "store lost"}, all[1])
	require.Equal(t, "i-2", all[2].ID)
	require.Zero(t, all[2].Last)
}
