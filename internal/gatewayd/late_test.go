package gatewayd

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
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

// TestLateResponsesRunNothingTwice has instances that reject every third request send responses in excess, while clients send each rejected
// request again at the same gateway. Over all its attempts, a request must run at most once; a rejected attempt must not run, and
// nobody gets the response to another request.
func TestLateResponsesRunNothingTwice(t *testing.T) {
	const (
		clients, length = 12, 3 * time.Second
		maxAttempts     = 3
		// minServed is the share of requests that must be served beside a response in excess after one in five.
		minServed = 0.85
	)
	for name, c := range map[string]struct {
		stateIDs, identifyRejections, sameID bool
	}{
		"without IDs":                                  {false, true, false},
		"without IDs, rejections too":                  {false, false, false},
		"with the ID of an earlier attempt":            {true, true, true},
		"with the ID of an earlier attempt, no others": {true, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.removeEngine("i-0")
			d.removeEngine("i-1")
			var servers []lateServer
			for n := range 3 {
				e := fleetengine.New(fmt.Sprint("late-", n), "")
				e.ResponseDelay, e.IdentifyRejections = 10*time.Millisecond, c.identifyRejections
				e.FailEvery(fleetengine.Shed, 3)
				s := lateServer{e, 0.2, c.stateIDs}
				servers = append(servers, s)
				d.store.Set("servers", e.ID, map[string]any{"service": "app", "address": s.start(t), "zone": "a", "slots": 8, "phase": "ready", "stage": ""})
			}
			all := []*process{d.startGateway("a"), d.startGateway("b"), d.startGateway("c")}
			var mu sync.Mutex
			requests, served, mixed := 0, 0, 0
			rejected, attempts := map[string]bool{}, map[string][]string{}
			stop := sendContinuously(clients, func(id string, n int) {
				for attempt := range maxAttempts {
					sent := id
					if !c.sameID {
						sent = fmt.Sprint(id, ".", attempt)
					}
					mark := fmt.Sprint(id, "#", attempt)
					status, body := all[n%len(all)].send("/app/x", sent, http.Header{"Client-Attempt": {mark}})
					mu.Lock()
					attempts[id] = append(attempts[id], mark)
					rejected[mark] = status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusMisdirectedRequest
					again := rejected[mark]
					if status == http.StatusOK {
						served++
						if body != "answer to "+sent {
							mixed++
						}
					}
					mu.Unlock()
					if !again {
						break
					}
					time.Sleep(20 * time.Millisecond)
				}
				mu.Lock()
				requests++
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			})
			time.Sleep(length)
			stop()
			time.Sleep(100 * time.Millisecond)
			runs := map[string]int{}
			for _, s := range servers {
				for _, run := range s.Runs() {
					runs[run.Header.Get("Client-Attempt")]++
				}
			}
			twice, rejectedAndRun := 0, 0
			for _, marks := range attempts {
				ran := 0
				for _, mark := range marks {
					ran += runs[mark]
					if rejected[mark] && runs[mark] > 0 {
						rejectedAndRun++
					}
				}
				if ran > 1 {
					twice++
				}
			}
			t.Logf("%d requests, %d served", requests, served)
			require.Zero(t, mixed, "responses to other requests")
			require.Zero(t, twice, "requests that ran more than once")
			require.Zero(t, rejectedAndRun, "attempts that were rejected and ran")
			require.GreaterOrEqual(t, float64(served), minServed*float64(requests))
		})
	}
}
