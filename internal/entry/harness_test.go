package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/claims"
	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/engine/openai"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/control"
	"github.com/rockdoor/rockdoor/internal/settings"
	"github.com/rockdoor/rockdoor/internal/standin/engined"
	"github.com/rockdoor/rockdoor/internal/standin/serviced"
	"github.com/rockdoor/rockdoor/routing"
)

func TestMain(m *testing.M) {
	// The metrics library runs one goroutine until the process exits.
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
}

// fleet is one entry server with stand-ins for its targets.
type fleet struct {
	t        testing.TB
	engines  []*engined.Server
	services []*serviced.Server
	entry    *Server
	claims   *claims.Store
	url      string
	mu       sync.Mutex
	snapshot *control.Snapshot
	// respond replaces responses of the engines. It returns false for those that the engine itself is to make.
	respond func(engine int, w http.ResponseWriter, r *http.Request) bool
	// service replaces the backend servers if it is not nil.
	service  http.Handler
	settings *settings.Settings
}

const testConfig = `{
  "hosts": [{"name": "h0", "domain": "d0"}, {"name": "h1", "domain": "d1"}, {"name": "entry", "domain": "d0"}],
  "pools": [{"name": "p", "policy": "least-outstanding"}],
  "engines": [
    {"name": "e0", "pool": "p", "host": "h0", "address": "%[1]s", "capacity": %[5]d},
    {"name": "e1", "pool": "p", "host": "h1", "address": "%[2]s", "capacity": %[5]d}
  ],
  "models": [
    {"name": "review", "pool": "p", "timeout": "5s"},
    {"name": "notes", "pool": "p", "idempotent": true, "timeout": "5s"},
    {"name": "local", "pool": "p", "selector": "domain=d0", "timeout": "5s"}
  ],
  "services": [{"name": "s", "servers": [{"name": "s0", "host": "h0", "address": "%[3]s", "capacity": %[5]d}, {"name": "s1", "host": "h1", "address": "%[4]s", "capacity": %[5]d}]}],
  "routes": [
    {"path": "/flags/", "service": "s", "idempotent": true, "timeout": "2s"},
    {"path": "/alerts/", "service": "s", "methods": ["POST", "GET"], "timeout": "2s"}
  ],
  "workspaces": [
    {"name": "w"}, {"name": "d1only", "selector": "domain=d1"}, {"name": "elsewhere", "entrySelector": "host=h1"},
    {"name": "slow", "requestsPerSecond": 0.01}, {"name": "flood"}, {"name": "third"}, {"name": "fourth"}
  ]
}`

func listener(t testing.TB, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return strings.TrimPrefix(s.URL, "http://")
}

func start(t *testing.T) *fleet { return startWith(t, 4) }

// startBench starts a fleet whose targets have enough capacity never to be full.
func startBench(b *testing.B) *fleet { return startWith(b, 100000) }

func startWith(t testing.TB, capacity int) *fleet {
	f := &fleet{t: t}
	var addresses []any
	for i := range 2 {
		e := engined.New(engined.Options{Name: fmt.Sprintf("e%d", i)})
		t.Cleanup(e.Close)
		f.engines = append(f.engines, e)
		addresses = append(addresses, listener(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if f.respond == nil || !f.respond(i, w, r) {
				e.ServeHTTP(w, r)
			}
		})))
	}
	for i := range 2 {
		s := serviced.New(fmt.Sprintf("s%d", i), 0)
		f.services = append(f.services, s)
		addresses = append(addresses, listener(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if f.service != nil {
				f.service.ServeHTTP(w, r)
				return
			}
			s.ServeHTTP(w, r)
		})))
	}
	addresses = append(addresses, capacity)
	_, compiled, err := config.Parse("test", fmt.Appendf(nil, testConfig, addresses...))
	require.NoError(t, err)
	f.snapshot = &control.Snapshot{Config: compiled, Revision: 7, Serving: 1, FreshUntil: bootclock.Now().Add(time.Hour)}
	set := &settings.Settings{Host: "entry", Domain: "d0"}
	f.settings = set
	set.Limits = settings.Limits{BodyBytes: 4096, Requests: 16 * capacity, UrgentReserve: 0.1}
	require.NoError(t, set.Limits.BodyTimeout.UnmarshalText([]byte("300ms")))
	self := claims.Member{Name: "entry", Incarnation: "1"}
	table, _ := claims.Next(nil, []claims.Member{self}, false)
	f.claims = claims.NewStore(self, time.Hour)
	f.claims.Adopt(table)
	f.entry = New(Options{Settings: set, Snapshot: f.current, Tracker: &routing.Tracker{}, Process: "entry/1", Claims: f, Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger()})
	t.Cleanup(f.entry.Close)
	f.url = "http://" + listener(t, f.entry)
	return f
}

// Acquire implements Claims with the fleet's single claim holder.
func (f *fleet) Acquire(ctx context.Context, c claims.Claim) claims.Result {
	return claims.NewAcquirer(f.claims, nil).Acquire(ctx, c)
}

func (f *fleet) Abandon(c claims.Claim) { f.claims.Abandon(c) }

func (f *fleet) Outcome(_ context.Context, process, claimant string) (Outcome, error) {
	if process != "entry/1" {
		return Outcome{}, fault.New(fault.Unknown, "gone", "")
	}
	return f.entry.Outcome(claimant), nil
}

func (f *fleet) current() *control.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot
}

func (f *fleet) set(s *control.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot = s
}

// got is the response of the entry server to one request.
type got struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	err     error
}

func (g got) code(t *testing.T) string {
	var e openai.ErrorBody
	require.NoError(t, json.Unmarshal([]byte(g.body), &e), g.body)
	require.Contains(t, e.Error.Message, "remedy")
	return e.Error.Code
}

func (f *fleet) do(method, path, body string, headers ...string) got {
	req, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	require.NoError(f.t, err)
	req.Header.Set(HeaderWorkspace, "w")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return got{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return got{resp.StatusCode, resp.Header, resp.Trailer, string(data), err}
}

func (f *fleet) chat(model string, stream bool, headers ...string) got {
	body := fmt.Sprintf(`{"model": %q, "stream": %t, "max_tokens": 6, "messages": [{"role": "user", "content": "hello"}]}`, model, stream)
	return f.do(http.MethodPost, pathChat, body, headers...)
}

// engineRuns returns the total number of runs at the engines.
func (f *fleet) engineRuns() (n int) {
	for _, e := range f.engines {
		n += len(e.Runs())
	}
	return n
}

// serviceRuns returns the total number of runs at the backend servers.
func (f *fleet) serviceRuns() (n int) {
	for _, s := range f.services {
		n += len(s.Runs())
	}
	return n
}

func (f *fleet) engineFaults(faults engined.Faults) {
	for _, e := range f.engines {
		e.SetFaults(faults)
	}
}

// text joins the deltas of a stream. done is true if the stream is complete.
func text(t *testing.T, stream string) (out string, done bool) {
	sc := bufio.NewScanner(strings.NewReader(stream))
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == openai.Done {
			return out, true
		}
		var c openai.Chunk
		require.NoError(t, json.Unmarshal([]byte(data), &c))
		if len(c.Choices) > 0 && c.Choices[0].Delta != nil {
			out += c.Choices[0].Delta.Content
		}
	}
	return out, false
}
