package soak

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/cli"
)

// childVariable makes the test binary run as a gateway, so that gateways run under the race
// detector too.
const childVariable = "ROCKDOOR_SOAK_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		os.Exit(cli.Main(os.Args))
	}
	os.Exit(m.Run())
}

const (
	// shortLength and shortProcesses keep the run under a minute with the race detector.
	shortLength    = 10 * time.Second
	shortProcesses = 4
	// shortBoundsFactor extends the time bounds, because several busy processes share the cores.
	shortBoundsFactor = 4
)

// TestSoak runs a short schedule and checks all guarantees.
func TestSoak(t *testing.T) {
	self, err := os.Executable()
	require.NoError(t, err)
	bounds := DefaultBounds
	bounds.Grace, bounds.Notice, bounds.Recovery = 5*time.Second, time.Second, 4*time.Second
	dir, err := os.MkdirTemp("", "rockdoor-soak-")
	require.NoError(t, err)
	t.Cleanup(func() {
		if !t.Failed() { // the logs of a run that failed are kept
			require.NoError(t, os.RemoveAll(dir))
		}
	})
	r, err := Run(context.Background(), Options{
		Seed: 4, Processes: shortProcesses, ClientsPerProcess: 2, Length: shortLength, Dir: dir, Command: []string{self}, Env: []string{childVariable + "=1"},
		Bounds: bounds, BoundsFactor: shortBoundsFactor,
	})
	require.NoError(t, err)
	var text strings.Builder
	r.Write(&text)
	t.Log(text.String())
	require.Empty(t, r.Broken())
	require.NotZero(t, r.Outcomes["200"])
}

// TestScheduleIsFixedBySeed checks that a seed always gives the same schedule.
func TestScheduleIsFixedBySeed(t *testing.T) {
	a, b := Schedule(7, 8, DefaultLayout, time.Minute), Schedule(7, 8, DefaultLayout, time.Minute)
	require.Equal(t, a, b)
	require.NotEqual(t, a, Schedule(8, 8, DefaultLayout, time.Minute))
}
