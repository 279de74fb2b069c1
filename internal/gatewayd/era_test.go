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

// eraWithin is in what time a fleet must act on what is written after the store came back.
const eraWithin = 3 * time.Second

// TestALargeFleetOnAStoreThatComesBackOlder has the store come back from a copy that lacks a
// configuration, the word of an instance that it leaves, and the registrations of all processes.
func TestALargeFleetOnAStoreThatComesBackOlder(t *testing.T) {
	d := newDeployment(t)
	d.bound = eraWithin.String()
	d.store.SetEra(1)
	store := platform.NewStore(d.address)
	defer store.Close()
	begun := time.Now()
	all := d.largeFleet()
	leaves := d.engines[0]
	d.configure(2, "/new/")
	d.store.Set("servers", leaves.ID, map[string]any{"service": "app", "address": "127.0.0.1:9", "zone": "a", "slots": 8, "phase": "draining"})
	d.applied(all, 2, eraWithin)
	before := len(leaves.Runs())
	time.Sleep(100 * time.Millisecond)
	back := min(time.Since(begun)+50*time.Millisecond, 9*time.Second)
	d.store.Restore(back)
	restored := time.Now()
	require.Eventually(t, func() bool {
		for _, p := range all {
			if p.state(t).Era != 2 {
				return false
			}
		}
		return true
	}, eraWithin, 10*time.Millisecond, "all see that the store came back")
	seen := time.Since(restored)
	for n, p := range all {
		status, body := p.send("/new/x", fmt.Sprint("r-", n), nil)
		require.Equal(t, http.StatusOK, status, "%s: %s", p.set.Name, body)
		status, _ = p.send("/app/x", fmt.Sprint("o-", n), nil)
		require.Equal(t, http.StatusNotFound, status, "%s went back to the first configuration", p.set.Name)
		time.Sleep(ticketTime)
	}
	require.Equal(t, before, len(leaves.Runs()), "it had said that it leaves")
	require.Eventually(t, func() bool {
		registered, _, err := store.List(context.Background(), platform.MemberPrefix)
		return err == nil && len(registered) == fleetSize
	}, eraWithin, 10*time.Millisecond, "all register again")
	written := time.Since(restored)
	d.configure(3, "/newer/")
	d.applied(all, 3, eraWithin)
	for _, p := range all {
		require.Equal(t, fleetSize, p.state(t).Members)
	}
	t.Logf("the copy was %s old; all saw it after %s, all were registered again after %s", back.Round(time.Millisecond), seen.Round(time.Millisecond), written.Round(time.Millisecond))
}
