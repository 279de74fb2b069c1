package gatewayd

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
)

// TestRequestsAtTheEndOfTheGracePeriodAreAnswered stops a process while instances hold requests for longer than its grace period.
// A connection that is closed without a response could be taken for one on which the request was not read.
func TestRequestsAtTheEndOfTheGracePeriodAreAnswered(t *testing.T) {
	const requests = 5
	d := newDeployment(t)
	for _, e := range d.engines[:2] {
		e.Fail(fleetengine.Hang, -1)
	}
	p := d.startGateway("a")
	statuses := make(chan string, requests)
	for n := range requests {
		go func() {
			status, body := p.send("/app/x", fmt.Sprint(n), http.Header{"X-Deadline-Ms": {"20000"}})
			statuses <- fmt.Sprint(status, " ", body)
		}()
	}
	require.Eventually(t, func() bool { return len(d.engines[0].Runs())+len(d.engines[1].Runs()) == requests }, startTimeout, 5*time.Millisecond)
	p.stop()
	for range requests {
		require.Regexp(t, "^502 the process has to exit", <-statuses)
	}
}
