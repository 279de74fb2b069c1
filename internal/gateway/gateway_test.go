package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/gateway"
	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
)

func engines(stage string, ids ...string) []*fleetengine.Engine {
	var out []*fleetengine.Engine
	for _, id := range ids {
		out = append(out, fleetengine.New(id, stage))
	}
	return out
}

func allRuns(all []*fleetengine.Engine) int {
	n := 0
	for _, e := range all {
		n += len(e.Runs())
	}
	return n
}

// TestOutcomes checks for each kind of instance failure which status the client receives
// and how often the request ran.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name   string
		path   string
		fault  fleetengine.Fault
		faults int
		status int
		runs   int
	}{
		{"sound", pathAtMostOnce, fleetengine.None, 0, 200, 1},
		{"at most once: a rejected request is retried at another instance", pathAtMostOnce, fleetengine.Shed, 1, 200, 1},
		{"at most once: a request that all instances reject has not run", pathAtMostOnce, fleetengine.Shed, -1, 503, 0},
		{"at most once: a request whose response is lost may have run", pathAtMostOnce, fleetengine.LoseResponse, 1, 502, 1},
		{"at most once: an error response is relayed", pathAtMostOnce, fleetengine.Error, 1, 500, 1},
		{"at most once: a response without a seal is not relayed", pathAtMostOnce, fleetengine.Unsealed, 1, 502, 1},
		{"at most once: a response to another request is skipped", pathAtMostOnce, fleetengine.StrayFirst, 1, 200, 1},
		{"idempotent: a request whose response is lost is retried", pathIdempotent, fleetengine.LoseResponse, 1, 200, 2},
		{"idempotent: an error response is retried", pathIdempotent, fleetengine.Error, 1, 200, 2},
		{"idempotent: a second error response is relayed", pathIdempotent, fleetengine.Error, -1, 500, 2},
		{"idempotent: a response without a seal is retried", pathIdempotent, fleetengine.Unsealed, 1, 200, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			all := engines("", "i-1", "i-2")
			r := newHarness(t, harnessOptions{plain: all})
			for _, e := range all {
				e.Fail(c.fault, c.faults)
				if c.faults == 1 {
					break
				}
			}
			if c.faults == 1 { // make sure that the faulty instance is tried first
				all[1].Fail(c.fault, 1)
				all[0].Fail(fleetengine.None, 0)
				v := *r.view.Load()
				one := *v.Instances["i-1"]
				one.Domain = "far"
				v.Instances = map[string]*fleet.Instance{"i-1": &one, "i-2": v.Instances["i-2"]}
				v.Index()
				r.view.Store(&v)
			}
			a := r.send(http.MethodPost, c.path+"x?q=1", "id-1", "body", nil)
			require.Equal(t, c.status, a.status, a.body)
			require.Equal(t, c.runs, allRuns(all))
			if a.status == http.StatusOK {
				require.Equal(t, "answer to id-1", a.body)
				require.NotEmpty(t, a.header.Get("X-Response-Seal"))
			}
			if a.status == http.StatusServiceUnavailable {
				require.NotEmpty(t, a.header.Get("Retry-After"))
			}
		})
	}
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	all := engines("", "i-1")
	r := newHarness(t, harnessOptions{plain: all})
	r.send(http.MethodPost, "/once/a%2Fb/..//c?x=%20&y", "id-1", "the body", http.Header{"X-Own": {"1", "2"}})
	run := all[0].Runs()[0]
	require.Equal(t, "/once/a%2Fb/..//c?x=%20&y", run.Path)
	require.Equal(t, "the body", run.Body)
	require.Equal(t, []string{"1", "2"}, run.Header["X-Own"])
	require.Equal(t, "i-1", run.Header.Get("X-Expect-Instance"))
	require.NotEmpty(t, run.Header.Get("X-Deadline-Ms"))
}

func TestForgedInternalHeadersAreDropped(t *testing.T) {
	all := engines("", "i-1")
	r := newHarness(t, harnessOptions{plain: all})
	forged := http.Header{
		"X-Kv-Hold": {"1"}, "X-Pin-Ms": {"1"}, "X-Kv-Backup": {"x"}, "X-Kv-Source": {"x/y"}, "Kv-Fetch": {"x"},
		"X-Serving-Stage": {"prefill"}, "X-Expect-Instance": {"other"}, "X-Request-Priority": {"0"}, "Connection": {"X-Own"}, "X-Own": {"1"},
	}
	require.Equal(t, http.StatusOK, r.send(http.MethodGet, pathIdempotent, "id-1", "", forged).status)
	h := all[0].Runs()[0].Header
	for name := range forged {
		if name != "X-Expect-Instance" && name != "X-Request-Priority" {
			require.Empty(t, h.Get(name), name)
		}
	}
}

func TestBadInput(t *testing.T) {
	all := engines("", "i-1")
	r := newHarness(t, harnessOptions{plain: all})
	require.Equal(t, http.StatusNotFound, r.send(http.MethodGet, "/none/", "id-1", "", nil).status)
	require.Equal(t, http.StatusBadRequest, r.send(http.MethodGet, pathIdempotent, "", "", nil).status)
	require.Equal(t, http.StatusBadRequest, r.send(http.MethodGet, pathIdempotent, "id-1", "", http.Header{"X-Deadline-Ms": {"soon"}}).status)
	require.Equal(t, http.StatusRequestEntityTooLarge, r.send(http.MethodPost, pathAtMostOnce, "id-1", strings.Repeat("x", 1001), nil).status)
	require.Zero(t, allRuns(all))
}

func TestRejectionWithoutConfigurationIsRetriable(t *testing.T) {
	r := newHarness(t, harnessOptions{plain: engines("", "i-1")})
	r.view.Store(&fleet.View{})
	a := r.send(http.MethodGet, "/none/", "id-1", "", nil)
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.NotEmpty(t, a.header.Get("Retry-After"))
}

func TestDrainingInstancesGetNoRequests(t *testing.T) {
	all := engines("", "i-1", "i-2")
	r := newHarness(t, harnessOptions{plain: all})
	v := *r.view.Load()
	draining := *v.Instances["i-1"]
	draining.Draining = true
	v.Instances = map[string]*fleet.Instance{"i-1": &draining, "i-2": v.Instances["i-2"]}
	v.Index()
	r.view.Store(&v)
	for range 10 {
		require.Equal(t, http.StatusOK, r.send(http.MethodGet, pathIdempotent, "id", "", nil).status)
	}
	require.Empty(t, all[0].Runs())
}

func TestPlacementRulesAreEnforced(t *testing.T) {
	all := engines("", "i-1", "i-2")
	r := newHarness(t, harnessOptions{plain: all})
	rules, err := fleet.ParseRules([]byte(`{"labels": {"domain/a": {"country": "it"}}, "selectors": {"/once/": "country=ee"}}`))
	require.NoError(t, err)
	v := *r.view.Load()
	v.Rules = rules
	r.view.Store(&v)
	require.Equal(t, http.StatusServiceUnavailable, r.send(http.MethodPost, pathAtMostOnce, "id-1", "x", nil).status)
	require.Zero(t, allRuns(all))
	require.Equal(t, http.StatusOK, r.send(http.MethodGet, pathIdempotent, "id-2", "", nil).status)
}

func TestTimeoutSaysThatRequestMayHaveRun(t *testing.T) {
	all := engines("", "i-1")
	r := newHarness(t, harnessOptions{plain: all})
	all[0].Fail(fleetengine.Hang, -1)
	start := time.Now()
	a := r.send(http.MethodPost, pathAtMostOnce, "id-1", "x", http.Header{"X-Deadline-Ms": {"150"}})
	require.Equal(t, http.StatusGatewayTimeout, a.status)
	require.Less(t, time.Since(start), time.Second)
}

func TestStreams(t *testing.T) {
	t.Run("whole", func(t *testing.T) {
		e := fleetengine.New("i-1", "")
		e.Events = 3
		a := newHarness(t, harnessOptions{plain: []*fleetengine.Engine{e}}).send(http.MethodPost, pathStream, "s", "x", nil)
		require.Equal(t, "id: 1\ndata: s-1\n\nid: 2\ndata: s-2\n\nid: 3\ndata: s-3\n\n", a.body)
		require.False(t, a.truncated)
	})
	t.Run("an interrupted stream that may run only once ends truncated", func(t *testing.T) {
		e := fleetengine.New("i-1", "")
		e.Events = 3
		e.Fail(fleetengine.CutMidEvent, 1)
		a := newHarness(t, harnessOptions{plain: []*fleetengine.Engine{e}}).send(http.MethodPost, pathStream, "s", "x", nil)
		require.Equal(t, "id: 1\ndata: s-1\n\n", a.body)
		require.True(t, a.truncated)
		require.Len(t, e.Runs(), 1)
	})
	t.Run("an interrupted resumable stream continues at another engine without lost or duplicate events", func(t *testing.T) {
		all := engines("decode", "i-1", "i-2")
		for _, e := range all {
			e.Events = 4
			e.Fail(fleetengine.CutMidEvent, 1)
		}
		r := newHarness(t, harnessOptions{model: all})
		all[1].Fail(fleetengine.None, 0)
		all[0].Fail(fleetengine.None, 0)
		all[0].Fail(fleetengine.CutMidEvent, 1)
		for range 6 { // enough for the engine that interrupts its stream to be chosen
			a := r.send(http.MethodPost, pathModel, "s", "x", nil)
			require.False(t, a.truncated)
			require.Equal(t, "id: 1\ndata: s-1\n\nid: 2\ndata: s-2\n\nid: 3\ndata: s-3\n\nid: 4\ndata: s-4\n\n", a.body)
		}
	})
}

func TestLongPromptsArePrefilledSeparately(t *testing.T) {
	prefillEngines, decodeEngines := engines("prefill", "p-1", "p-2"), engines("decode", "d-1")
	r := newHarness(t, harnessOptions{model: append(prefillEngines, decodeEngines...)})
	for range 5 {
		require.Equal(t, http.StatusOK, r.send(http.MethodPost, pathModel, "id", "x", prompt("bb")).status)
	}
	require.Len(t, decodeEngines[0].Runs(), 5)
	require.Equal(t, 5, len(prefillEngines[0].Prefills())+len(prefillEngines[1].Prefills()))
	require.True(t, len(prefillEngines[0].Prefills()) == 5 || len(prefillEngines[1].Prefills()) == 5, "all prompts with the same prefix go to one prefill engine")
	require.Zero(t, len(prefillEngines[0].Runs())+len(prefillEngines[1].Runs()))
	require.Equal(t, http.StatusOK, r.send(http.MethodPost, pathModel, "short", "x", http.Header{"X-Token-Count": {"100,50"}}).status)
	require.Len(t, decodeEngines[0].Runs(), 6)
}

// TestDecodeRejectionDoesNotRepeatPrefill checks that a rejection by a decode engine does not cause the
// prompt to be prefilled again. Such a retry took two sends but was charged as one, so the retry
// budget was exceeded.
func TestDecodeRejectionDoesNotRepeatPrefill(t *testing.T) {
	prefillEngines, decodeEngines := engines("prefill", "p-1"), engines("decode", "d-1", "d-2")
	r := newHarness(t, harnessOptions{model: append(prefillEngines, decodeEngines...)})
	decodeEngines[0].Fail(fleetengine.Shed, -1)
	for range 6 {
		require.Equal(t, http.StatusOK, r.send(http.MethodPost, pathModel, "id", "x", prompt("bb")).status)
	}
	require.Len(t, prefillEngines[0].Prefills(), 6)
	require.Len(t, decodeEngines[1].Runs(), 6)
	require.Empty(t, prefillEngines[0].FreedHandles())
}

// TestUnusedKVCacheIsReleased checks that the KV cache is released if all decode engines
// reject the request.
func TestUnusedKVCacheIsReleased(t *testing.T) {
	prefillEngines, decodeEngines := engines("prefill", "p-1"), engines("decode", "d-1")
	r := newHarness(t, harnessOptions{model: append(prefillEngines, decodeEngines...)})
	decodeEngines[0].Fail(fleetengine.Shed, -1)
	a := r.send(http.MethodPost, pathModel, "id", "x", prompt("bb"))
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.Zero(t, len(decodeEngines[0].Runs()))
	require.Eventually(t, func() bool { return len(prefillEngines[0].FreedHandles()) == 1 }, time.Second, 5*time.Millisecond)
}

func TestRetriesStayWithinBudget(t *testing.T) {
	all := engines("", "i-1", "i-2", "i-3")
	r := newHarness(t, harnessOptions{plain: all, budget: gateway.RetryBudgetConfig{Ratio: 0.2, Slack: 16, Window: 10 * time.Second}})
	for _, e := range all {
		e.Fail(fleetengine.LoseResponse, -1)
	}
	const requests = 60
	for range requests {
		r.send(http.MethodGet, pathIdempotent, "id", "", nil)
	}
	require.LessOrEqual(t, allRuns(all)-requests, int(0.2*requests+1))
	require.Greater(t, allRuns(all), requests)
}

// TestFailedConnectionsAreNotChargedToBudget checks that failed connection attempts to an instance that
// has terminated but is still registered are not charged to the retry budget, since nothing was sent.
func TestFailedConnectionsAreNotChargedToBudget(t *testing.T) {
	all := engines("", "i-1")
	r := newHarness(t, harnessOptions{plain: all, budget: gateway.RetryBudgetConfig{Ratio: 0, Slack: 0, Window: 10 * time.Second}})
	v := *r.view.Load()
	v.Instances = map[string]*fleet.Instance{"i-1": v.Instances["i-1"], "i-0": {ID: "i-0", Service: "plain", Address: "127.0.0.1:1", Domain: "a", Slots: 8}}
	v.Index()
	r.view.Store(&v)
	for range 8 {
		require.Equal(t, http.StatusOK, r.send(http.MethodPost, pathAtMostOnce, "id", "x", nil).status)
	}
}

// TestDisconnectedClientIsCountedOnce checks that the request of a client that disconnects is counted once,
// and not as successful.
func TestDisconnectedClientIsCountedOnce(t *testing.T) {
	all := engines("", "i-1")
	r := newHarness(t, harnessOptions{plain: all})
	all[0].Fail(fleetengine.Hang, -1)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.url+pathIdempotent, nil)
	require.NoError(t, err)
	req.Host = testHost
	req.Header.Set("X-Request-Id", "id-1")
	_, err = http.DefaultTransport.RoundTrip(req)
	require.Error(t, err)
	counter := func(code string) int64 { return metrics.GetOrRegisterCounter("gateway.outcome."+code, r.reg).Count() }
	require.Eventually(t, func() bool { return counter("caller-gone") == 1 }, time.Second, 5*time.Millisecond)
	require.Zero(t, counter("ok"))
}

// TestKVCacheIsNotUsedByAnotherService moves a route to another service between two attempts. The
// KV cache of the first service must not be offered to the second, and must be released.
func TestKVCacheIsNotUsedByAnotherService(t *testing.T) {
	prefillEngines, other := engines("prefill", "p-1"), engines("decode", "d-1")
	r := newHarness(t, harnessOptions{model: prefillEngines, plain: other})
	moved := *r.view.Load()
	moved.Config = config()
	for i := range moved.Config.Routes {
		moved.Config.Routes[i].Shares = []fleet.Share{{Service: "plain", Weight: 1}}
	}
	moved.Config.Version++
	moved.Config.Index()
	shedding := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		r.view.Store(&moved)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer shedding.Close()
	v := *r.view.Load()
	v.Instances = maps.Clone(v.Instances)
	v.Instances["d-0"] = &fleet.Instance{ID: "d-0", Service: "model", Address: shedding.Listener.Addr().String(), Domain: "a", Role: engine.RoleMixed, Slots: 8}
	v.Index()
	moved.Instances = v.Instances
	moved.Index()
	r.view.Store(&v)
	require.Equal(t, http.StatusOK, r.send(http.MethodPost, pathModel, "id", "x", prompt("bb")).status)
	require.Empty(t, other[0].Runs()[0].Header.Get("X-Kv-Source"))
	require.Eventually(t, func() bool { return len(prefillEngines[0].FreedHandles()) == 1 }, time.Second, 5*time.Millisecond)
}

// TestHalfClosedClientGetsNoCompleteResponse covers clients that close their sending side after
// the request and go on reading. The gateway treats them as disconnected, so it must not send
// anything that looks like a complete response.
func TestHalfClosedClientGetsNoCompleteResponse(t *testing.T) {
	for name, c := range map[string]struct {
		fault fleetengine.Fault
		path  string
	}{
		"before the response": {fleetengine.Hang, pathAtMostOnce},
		"during the response": {fleetengine.HangMidStream, pathStream},
	} {
		t.Run(name, func(t *testing.T) {
			e := fleetengine.New("i-1", "")
			e.Events = 3
			e.Fail(c.fault, 1)
			r := newHarness(t, harnessOptions{plain: []*fleetengine.Engine{e}})
			conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
			require.NoError(t, err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: %s\r\nX-Request-Id: h\r\nContent-Length: 1\r\n\r\nx", c.path, testHost)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return len(e.Runs()) == 1 }, 2*time.Second, time.Millisecond)
			time.Sleep(50 * time.Millisecond) // so that the first event has been relayed
			require.NoError(t, conn.(*net.TCPConn).CloseWrite())
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(3*time.Second)))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return // the connection was closed without a response
			}
			_, err = io.ReadAll(resp.Body)
			require.Error(t, err, "status %d", resp.StatusCode)
		})
	}
}

// TestRejectionArrivesBeforeClientTimeout covers a prompt that has not been prefilled shortly before the
// client timeout, which is much earlier than the deadline in the request. The client must still
// receive a rejection that says that the request has not run and when to retry.
func TestRejectionArrivesBeforeClientTimeout(t *testing.T) {
	prefillEngine, decodeEngine := fleetengine.New("p", "prefill"), fleetengine.New("d", "decode")
	prefillEngine.Fail(fleetengine.Hang, -1)
	r := newHarness(t, harnessOptions{model: []*fleetengine.Engine{prefillEngine, decodeEngine}})
	start := time.Now()
	a := r.send(http.MethodPost, pathModel, "1", "x", prompt("s"))
	require.Equal(t, http.StatusServiceUnavailable, a.status)
	require.NotEmpty(t, a.header.Get("Retry-After"))
	require.Less(t, time.Since(start), testClientTimeout)
	require.Empty(t, decodeEngine.Runs())
}
