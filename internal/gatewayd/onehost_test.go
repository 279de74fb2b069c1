package gatewayd

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
)

// TestOneHostGetsMostConnections hands the connections of all clients to one of several hosts for a while, each request on a
// connection of its own. Instances reject some requests meanwhile, and announce a rate limit, so that what is shared
// between the hosts must follow the load.
func TestOneHostGetsMostConnections(t *testing.T) {
	const (
		hosts    = 7
		clients  = 8
		phase    = 3 * time.Second
		minShare = 0.75
	)
	d := newDeployment(t)
	d.applyLimit = "3s"
	for _, e := range d.engines {
		e.FailEvery(fleetengine.Shed, 5)
	}
	d.engines[0].SetRateLimit("200")
	var all []*process
	for n := range hosts {
		all = append(all, d.startGateway(fmt.Sprint("h-", n)))
	}
	var concentrated atomic.Bool
	var sent, served [2]atomic.Int64
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	send := func(id string, n int) {
		time.Sleep(10 * time.Millisecond)
		phase, p := 0, all[n%hosts]
		if concentrated.Load() {
			phase, p = 1, all[0]
		}
		path := []string{"/app/x", "/llm/x"}[n%2]
		req, err := http.NewRequest(http.MethodPost, "http://"+p.settings.Listen+path, strings.NewReader("x"))
		if err != nil {
			return
		}
		req.Host = "h"
		req.Header.Set("X-Request-Id", fmt.Sprint(phase, "-", id))
		sent[phase].Add(1)
		resp, err := client.Do(req)
		if err != nil {
			return
		}
		defer resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			served[phase].Add(1)
		}
	}
	stop := sendContinuously(clients, send)
	time.Sleep(phase)
	concentrated.Store(true)
	time.Sleep(phase)
	stop()
	share := func(n int) float64 { return float64(served[n].Load()) / float64(sent[n].Load()) }
	t.Logf("spread: %.3f of %d served; at one host: %.3f of %d", share(0), sent[0].Load(), share(1), sent[1].Load())
	require.GreaterOrEqual(t, share(1), minShare*share(0))
}
