package gatewayd

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
	"github.com/rockdoor/rockdoor/internal/standin/lateresponse"
)

// lateServer runs an engine and follows a share of its responses by others in excess.
type lateServer struct {
	*fleetengine.Engine
	share float64
	// stateIDs is true if responses in excess state the ID of the request before.
	stateIDs bool
}

func (s lateServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Engine.ServeHTTP(w, r)
	if rand.Float64() >= s.share {
		return
	}
	late := []lateresponse.Response{
		{Status: http.StatusServiceUnavailable, NotRun: true}, {Status: http.StatusTooManyRequests, NotRun: true}, {Status: http.StatusMisdirectedRequest},
		{Status: http.StatusOK, Sealed: true, Body: "answer to another"}, {Status: http.StatusInternalServerError, Sealed: true, Body: "failed"},
	}[rand.IntN(5)]
	if s.stateIDs {
		late.ID = r.Header.Get("X-Request-Id")
	}
	lateresponse.Send(r, late, lateresponse.BeforeNext)
}

// start serves the engine and returns its address.
func (s lateServer) start(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: s}
	lateresponse.Configure(server)
	go func() { _ = server.Serve(lateresponse.Listener(l)) }()
	t.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

// repeatingLoad is sent by clients that send each rejected request again at the same gateway.
type repeatingLoad struct {
	clients int
	length  time.Duration
	// sameID is true if a client keeps the ID of its request.
	sameID bool
}

// loadResult counts requests over all their attempts.
type loadResult struct {
	requests, served int
	// mixed counts responses to other requests, lost those that may have run.
	mixed, lost int
	// twice counts requests that ran more than once, rejectedAndRun attempts that were rejected and ran.
	twice, rejectedAndRun int
}

func (r loadResult) share() float64 { return float64(r.served) / float64(r.requests) }

// run sends the load through gateways to instances.
func (l repeatingLoad) run(all []*process, servers []lateServer) loadResult {
	const maxAttempts = 3
	var mu sync.Mutex
	var out loadResult
	rejected, attempts := map[string]bool{}, map[string][]string{}
	stop := sendContinuously(l.clients, func(id string, n int) {
		mu.Lock()
		out.requests++
		mu.Unlock()
		for attempt := range maxAttempts {
			sent := id
			if !l.sameID {
				sent = fmt.Sprint(id, ".", attempt)
			}
			mark := fmt.Sprint(id, "#", attempt)
			status, body := all[n%len(all)].send("/app/x", sent, http.Header{"Client-Attempt": {mark}})
			mu.Lock()
			attempts[id] = append(attempts[id], mark)
			switch status {
			case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest:
				rejected[mark] = true
			case http.StatusOK:
				out.served++
				if body != "answer to "+sent {
					out.mixed++
				}
			case http.StatusBadGateway:
				out.lost++
			}
			again := rejected[mark]
			mu.Unlock()
			if !again {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(5 * time.Millisecond)
	})
	time.Sleep(l.length)
	stop()
	time.Sleep(100 * time.Millisecond)
	runs := map[string]int{}
	for _, s := range servers {
		for _, run := range s.Runs() {
			runs[run.Header.Get("Client-Attempt")]++
		}
	}
	for _, marks := range attempts {
		ran := 0
		for _, mark := range marks {
			ran += runs[mark]
			if rejected[mark] && runs[mark] > 0 {
				out.rejectedAndRun++
			}
		}
		if ran > 1 {
			out.twice++
		}
	}
	return out
}

// startLateServers starts three instances that reject every third request, and replaces those of the deployment.
func (d *deployment) startLateServers(share float64, stateIDs, identifyRejections bool) []lateServer {
	d.removeEngine("i-0")
	d.removeEngine("i-1")
	var out []lateServer
	for n := range 3 {
		e := fleetengine.New(fmt.Sprint("late-", n), "")
		e.ResponseDelay, e.IdentifyRejections = 10*time.Millisecond, identifyRejections
		e.FailEvery(fleetengine.Shed, 3)
		s := lateServer{e, share, stateIDs}
		out = append(out, s)
		d.store.Set("servers", e.ID, map[string]any{"service": "app", "address": s.start(d.t), "zone": "a", "slots": 8, "phase": "ready", "stage": ""})
	}
	return out
}

// TestLateResponsesRunNothingTwice has instances that reject every third request send responses in excess, while clients send each
// rejected request again at the same gateway. Over all its attempts, a request must run at most once; a rejected attempt must not
// run, and nobody gets the response to another request. Of three gateways, one may reach the instances through the others only.
func TestLateResponsesRunNothingTwice(t *testing.T) {
	const (
		lateShare = 0.2
		// minServed is the share of requests that must be served beside a response in excess after one in five.
		minServed = 0.85
	)
	for name, c := range map[string]struct {
		stateIDs, identifyRejections, sameID, relayed bool
	}{
		"without IDs":                                  {false, true, false, false},
		"without IDs, rejections too":                  {false, false, false, false},
		"with the ID of an earlier attempt":            {true, true, true, false},
		"with the ID of an earlier attempt, no others": {true, false, true, false},
		"without IDs, relayed":                         {false, true, false, true},
		"with the ID of an earlier attempt, relayed":   {true, true, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			servers := d.startLateServers(lateShare, c.stateIDs, c.identifyRejections)
			path := newEnginePath()
			d.prepare = func(p *process) {
				if c.relayed && p.settings.Name == "a" {
					p.daemon.client.SetDial(path.dial)
				}
			}
			all := []*process{d.startGateway("a"), d.startGateway("b"), d.startGateway("c")}
			path.cut(cutReset, nil)
			got := repeatingLoad{clients: 12, length: 3 * time.Second, sameID: c.sameID}.run(all, servers)
			t.Logf("%+v", got)
			require.Zero(t, got.mixed)
			require.Zero(t, got.twice)
			require.Zero(t, got.rejectedAndRun)
			require.GreaterOrEqual(t, got.share(), minServed)
			if c.relayed {
				require.Contains(t, all[0].log.String(), "via=")
			}
		})
	}
}

// TestRejectionsWithoutIDsAreBelieved has instances that never state an ID in their rejections reject every third request. As many
// requests must be served as with IDs, and hardly any may be lost.
func TestRejectionsWithoutIDsAreBelieved(t *testing.T) {
	const (
		// maxLost is the number of requests that each gateway may lose until it knows that the service's rejections have no IDs.
		maxLost = 1
		// tolerance is how much less may be served than with IDs.
		tolerance = 0.01
	)
	served := map[bool]float64{}
	for _, identify := range []bool{true, false} {
		d := newDeployment(t)
		servers := d.startLateServers(0, false, identify)
		all := []*process{d.startGateway("a"), d.startGateway("b"), d.startGateway("c")}
		got := repeatingLoad{clients: 12, length: 4 * time.Second}.run(all, servers)
		t.Logf("rejections with IDs: %t, %+v", identify, got)
		require.Zero(t, got.twice)
		require.Zero(t, got.rejectedAndRun)
		require.LessOrEqual(t, got.lost, maxLost*len(all))
		for _, p := range all {
			require.Equal(t, identify, !strings.Contains(p.log.String(), "respond without request IDs"), p.settings.Name)
		}
		served[identify] = got.share()
	}
	require.GreaterOrEqual(t, served[false], served[true]-tolerance)
}
