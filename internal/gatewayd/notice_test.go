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

// fleetStarts start the two kinds of fleets: a small one, in which each process is a scheduler, and a
// large one, in which a few processes schedule for all.
var fleetStarts = map[string]func(d *deployment) []*process{
	"few": func(d *deployment) []*process {
		return []*process{d.startGateway("a"), d.startGateway("b"), d.startGateway("c")}
	},
	"large": func(d *deployment) []*process { return d.startLargeFleet() },
}

// TestInstanceShutsDownDuringAStoreOutage has an instance report its shutdown in its responses while
// no process can learn it from the store. A process that has received such a response must send the
// instance nothing more.
func TestInstanceShutsDownDuringAStoreOutage(t *testing.T) {
	const sends = 12
	for name, start := range fleetStarts {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.applyLimit = "3s"
			all := start(d)
			d.store.SetFaults(fleetstore.Faults{NoResponse: true})
			d.engines[0].SetShuttingDown()
			for n := range sends {
				for _, p := range all {
					status, body := p.send("/app/x", fmt.Sprint(p.settings.Name, "/", n), nil)
					require.Equal(t, http.StatusOK, status, body)
				}
			}
			received := map[string]int{}
			for _, run := range d.engines[0].Runs() {
				process, _, _ := strings.Cut(run.ID, "/")
				received[process]++
			}
			for process, n := range received {
				require.Equal(t, 1, n, "%s received a response that reports the shutdown, and sent more requests", process)
			}
		})
	}
}

// TestInstanceRequestsBackoffInAFleet has an instance reject requests and ask for a backoff of one
// minute. A process whose request was rejected must send the instance nothing more in that time; the
// other processes may.
func TestInstanceRequestsBackoffInAFleet(t *testing.T) {
	const sends = 12
	for name, start := range fleetStarts {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.applyLimit = "3s"
			all := start(d)
			d.engines[0].RetryAfter = time.Minute
			d.engines[0].Fail(fleetengine.Shed, -1)
			for n := range sends {
				for _, p := range all {
					p.send("/app/x", fmt.Sprint(p.settings.Name, "/", n), nil)
				}
			}
			rejected := map[string]int{}
			for _, run := range d.engines[0].ShedRequests() {
				process, _, _ := strings.Cut(run.ID, "/")
				rejected[process]++
			}
			require.NotEmpty(t, rejected)
			for process, n := range rejected {
				require.Equal(t, 1, n, "%s was asked for a backoff of one minute", process)
			}
		})
	}
}
