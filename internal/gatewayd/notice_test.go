package gatewayd

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
	"github.com/rockdoor/rockdoor/internal/standin/fleetstore"
)

// fleetStarts start the two kinds of fleets: one in which each process decides for itself, and one
// in which a few decide for all.
var fleetStarts = map[string]func(d *deployment) []*process{
	"few":   func(d *deployment) []*process { return []*process{d.gateway("a"), d.gateway("b"), d.gateway("c")} },
	"large": func(d *deployment) []*process { return d.largeFleet() },
}

// TestInstanceSaysItLeavesWhileTheStoreIsAway has an instance leave while no process can learn it
// from the store.
func TestInstanceSaysItLeavesWhileTheStoreIsAway(t *testing.T) {
	const sends = 12
	for name, start := range fleetStarts {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.bound = "3s"
			all := start(d)
			d.store.SetFaults(fleetstore.Faults{Silent: true})
			d.engines[0].SetLeaving()
			for n := range sends {
				for _, p := range all {
					status, body := p.send("/app/x", fmt.Sprint(p.set.Name, "/", n), nil)
					require.Equal(t, http.StatusOK, status, body)
				}
			}
			reached := map[string]int{}
			for _, run := range d.engines[0].Runs() {
				process, _, _ := strings.Cut(run.ID, "/")
				reached[process]++
			}
			for process, n := range reached {
				require.Equal(t, 1, n, "%s passed on an answer that says so, and sent more", process)
			}
		})
	}
}

// TestInstanceAsksForRestInAFleet has an instance ask each process that it turns away for rest: each
// may send it nothing more, and the others, which it did not ask, may.
func TestInstanceAsksForRestInAFleet(t *testing.T) {
	const sends = 12
	for name, start := range fleetStarts {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.bound = "3s"
			all := start(d)
			d.engines[0].Rest = time.Minute
			d.engines[0].Fail(fleetengine.Shed, -1)
			for n := range sends {
				for _, p := range all {
					p.send("/app/x", fmt.Sprint(p.set.Name, "/", n), nil)
				}
			}
			reached := map[string]int{}
			for _, run := range d.engines[0].Refused() {
				process, _, _ := strings.Cut(run.ID, "/")
				reached[process]++
			}
			require.NotEmpty(t, reached)
			for process, n := range reached {
				require.Equal(t, 1, n, "%s was asked for a minute of rest", process)
			}
		})
	}
}
