package gatewayd

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/platform"
)

// restoreTimeout is the time in which a fleet must act on what is written to a restored store.
const restoreTimeout = 3 * time.Second

// TestLargeFleetAfterStoreRestore restores the store from a snapshot that lacks a configuration, the
// draining state of an instance, and the registrations of all processes. No process may go back to
// the older state, and all must register again.
func TestLargeFleetAfterStoreRestore(t *testing.T) {
	d := newDeployment(t)
	d.applyLimit = restoreTimeout.String()
	d.store.SetEra(1)
	store := platform.NewStore(d.address)
	defer store.Close()
	begun := time.Now()
	all := d.startLargeFleet()
	draining := d.engines[0]
	d.configure(2, "/new/")
	d.store.Set("servers", draining.ID, map[string]any{"service": "app", "address": "127.0.0.1:9", "zone": "a", "slots": 8, "phase": "draining"})
	d.waitApplied(all, 2, restoreTimeout)
	before := len(draining.Runs())
	time.Sleep(100 * time.Millisecond)
	snapshotAge := min(time.Since(begun)+50*time.Millisecond, 9*time.Second)
	d.store.Restore(snapshotAge)
	restored := time.Now()
	require.Eventually(t, func() bool {
		for _, p := range all {
			if p.fetchStatus(t).Era != 2 {
				return false
			}
		}
		return true
	}, restoreTimeout, 10*time.Millisecond, "all processes see that the store was restored")
	seen := time.Since(restored)
	for n, p := range all {
		status, body := p.send("/new/x", fmt.Sprint("r-", n), nil)
		require.Equal(t, http.StatusOK, status, "%s: %s", p.settings.Name, body)
		status, _ = p.send("/app/x", fmt.Sprint("o-", n), nil)
		require.Equal(t, http.StatusNotFound, status, "%s went back to the first configuration", p.settings.Name)
		time.Sleep(ticketReportPause)
	}
	require.Equal(t, before, len(draining.Runs()), "a draining instance received a request")
	require.Eventually(t, func() bool {
		registered, _, err := store.List(context.Background(), platform.MemberPrefix)
		return err == nil && len(registered) == fleetSize
	}, restoreTimeout, 10*time.Millisecond, "all processes register again")
	written := time.Since(restored)
	d.configure(3, "/newer/")
	d.waitApplied(all, 3, restoreTimeout)
	for _, p := range all {
		require.Equal(t, fleetSize, p.fetchStatus(t).Members)
	}
	t.Logf("the snapshot was %s old; all processes saw the restore after %s and were registered again after %s", snapshotAge.Round(time.Millisecond), seen.Round(time.Millisecond), written.Round(time.Millisecond))
}
