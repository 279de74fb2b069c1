package gatewayd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/gateway"
	"github.com/rockdoor/rockdoor/internal/settings"
	"github.com/rockdoor/rockdoor/internal/standin/fleetapi"
	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
	"github.com/rockdoor/rockdoor/internal/standin/fleetstore"
)

// deployment is a store, engines, and gateways in front of the engines.
type deployment struct {
	t       *testing.T
	store   *fleetstore.Server
	address string
	// storeAddress returns the address at which a process reaches the store.
	storeAddress func(name string) string
	// domains is the number of failure domains that processes are spread over by their names.
	domains int
	engines []*fleetengine.Engine
	// addresses are those of the engines that registerEngine has registered, by ID.
	addresses map[string]string
	// applyLimit is the time in which the gateways must apply a change, revoke the time after
	// which a revoked key must not be accepted.
	applyLimit, revoke string
	// duties are the settings of the gateways' duties.
	duties string
	// scheduling are the settings of optional mechanisms, autoscaling the limits for ordered engines.
	scheduling  string
	autoscaling map[string]any
	// workspaces are the workspaces of the configuration, with their keys.
	workspaces map[string][]string
	// prepare is called for each process before it runs. It may be nil.
	prepare func(*process)
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, store: fleetstore.New(), addresses: map[string]string{}, applyLimit: "600ms", revoke: "0s", duties: "{}", scheduling: "{}", domains: 1}
	server := httptest.NewServer(d.store)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	d.address = server.Listener.Addr().String()
	d.storeAddress = func(string) string { return d.address }
	for n, stage := range []string{"", "", "prefill", "decode"} {
		e := fleetengine.New(fmt.Sprint("i-", n), stage)
		s := httptest.NewServer(e)
		t.Cleanup(s.Close)
		service := "app"
		if stage != "" {
			service, e.Events = "llm", 3
		}
		d.engines = append(d.engines, e)
		d.store.Set("servers", e.ID, map[string]any{"service": service, "address": s.Listener.Addr().String(), "zone": "a", "slots": 8, "phase": "ready", "stage": stage})
	}
	d.configure(1, "/app/")
	return d
}

func (d *deployment) configure(version int, prefix string) {
	var workspaces []map[string]any
	for name, keys := range d.workspaces {
		workspaces = append(workspaces, map[string]any{"name": name, "api_keys": keys})
	}
	llm := map[string]any{"name": "llm", "engine": map[string]any{"kv_capacity_tokens": 1000, "reconfigure_s": 0.1}}
	if d.autoscaling != nil {
		llm["autoscaling"] = d.autoscaling
	}
	d.store.Set("config", "main", map[string]any{
		"version": version, "tenants": workspaces,
		"routes": []map[string]any{
			{"name": "r-app", "hostname": "h", "path_prefix": prefix, "type": "unsafe", "service": "app", "timeout_ms": 3000, "max_attempts": 1},
			{"name": "r-llm", "hostname": "h", "path_prefix": "/llm/", "type": "streaming", "service": "llm", "timeout_ms": 3000, "target_latency_ms": 200, "max_attempts": 2, "resumable": true},
		},
		"services": []map[string]any{{"name": "app"}, llm},
	})
}

// gatewayCount is the number of gateways that this test process has started.
var gatewayCount atomic.Int64

// uniqueLoopbackIP returns an address of the loopback range that no other gateway uses, so that the
// fixed ports are free on it.
func uniqueLoopbackIP() string {
	const perNet, nets = 250, 2
	pid, n := os.Getpid(), int(gatewayCount.Add(1))
	return fmt.Sprintf("127.%d.%d.%d", 64+pid%100, pid/100%(perNet/nets)*nets+n/perNet%nets, 1+n%perNet)
}

// process is one running gateway.
type process struct {
	settings *settings.Gateway
	daemon   *Daemon
	stop     context.CancelFunc
	// file is the path of the settings file, reload makes the process load it again.
	file   string
	reload chan struct{}
	done   chan error
	log    *syncBuffer
}

// noLosses are the losses of a log that keeps everything.
type noLosses struct{}

func (noLosses) Dropped() int64 { return 0 }
func (noLosses) Cut() int64     { return 0 }

type syncBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func (d *deployment) startGateway(name string) *process {
	d.t.Helper()
	return d.startGatewayAt(name, uniqueLoopbackIP())
}

// startTimeout is how long a gateway may take to be ready on a host that is busy with other tests. On
// an idle host it takes less than a second.
const startTimeout = 20 * time.Second

// domainOf returns the failure domain of a process, which follows from the last digit of its name.
func (d *deployment) domainOf(name string) string {
	return string('a' + rune(int(name[len(name)-1]-'0')%d.domains))
}

// peerPort is the port at which a gateway accepts calls of other gateways.
const peerPort = 7660

func (d *deployment) startGatewayAt(name, ip string) *process {
	d.t.Helper()
	text := fmt.Sprintf(`{"name": %q, "domain": %[8]q, "listen": "%[2]s:8080", "readiness": "%[2]s:8081", "metrics": "%[2]s:9464", "peer": "%[2]s:%[7]d", "store": %[3]q,
		"bounds": {"apply": %[4]q, "settle": %[4]q, "drain": %[4]q, "grace": "3s", "notice": "300ms", "lease": "1s", "revoke": %[5]q}, "duties": %[6]s, "scheduling": %[9]s}`,
		name, ip, d.storeAddress(name), d.applyLimit, d.revoke, d.duties, peerPort, d.domainOf(name), d.scheduling)
	file := filepath.Join(d.t.TempDir(), "settings.json")
	require.NoError(d.t, os.WriteFile(file, []byte(text), 0o600))
	loaded, err := settings.LoadGateway(file)
	require.NoError(d.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{settings: loaded, stop: cancel, file: file, reload: make(chan struct{}), done: make(chan error, 1), log: &syncBuffer{}}
	p.daemon = New(loaded, file, log.With(log.NewLogfmtLogger(p.log), "ts", log.DefaultTimestampUTC), noLosses{})
	if d.prepare != nil {
		d.prepare(p)
	}
	go func() { p.done <- p.daemon.Run(ctx, p.reload) }()
	d.t.Cleanup(func() {
		cancel()
		select {
		case err := <-p.done:
			require.NoError(d.t, err)
		case <-time.After(10 * time.Second):
			d.t.Error("gateway did not stop")
		}
	})
	require.Eventually(d.t, func() bool { return p.statusCode(p.settings.Readiness, "/readyz") == http.StatusOK }, startTimeout, 10*time.Millisecond)
	return p
}

func (p *process) statusCode(address, path string) int {
	resp, err := http.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

func (p *process) send(path, id string, header http.Header) (int, string) {
	return p.sendBody(path, id, "x", header)
}

func (p *process) sendBody(path, id, text string, header http.Header) (int, string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.settings.Listen+path, strings.NewReader(text))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = "h"
	for k, v := range header {
		req.Header[k] = v
	}
	req.Header.Set("X-Request-Id", id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

func (p *process) get(t *testing.T, path string, out any) {
	t.Helper()
	resp, err := http.Get("http://" + p.settings.Metrics + path)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NoError(t, json.NewDecoder(resp.Body).Decode(out))
}

// sendContinuously starts a number of clients that call send again and again until the returned
// function is called. Each call gets a request ID of its own and its number at its client.
func sendContinuously(clients int, send func(id string, n int)) (stop func()) {
	stopped := make(chan struct{})
	var wg sync.WaitGroup
	for c := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stopped:
					return
				default:
					send(fmt.Sprintf("%d-%d", c, n), n)
				}
			}
		}()
	}
	return func() { close(stopped); wg.Wait() }
}

var longPrompt = http.Header{"X-Model": {"m"}, "X-Token-Count": {"9000,2"}, "X-Prompt-Prefix": {"aa:2500,bb:3800,ff:2700"}}

func TestRequestsThroughTwoGateways(t *testing.T) {
	d := newDeployment(t)
	a, b := d.startGateway("a"), d.startGateway("b")
	for _, p := range []*process{a, b} {
		status, body := p.send("/app/x", "1", nil)
		require.Equal(t, http.StatusOK, status, body)
		status, body = p.send("/llm/x", "2", longPrompt)
		require.Equal(t, http.StatusOK, status, body)
		require.Equal(t, 3, strings.Count(body, "data: 2-"))
	}
	require.Len(t, d.engines[2].Prefills(), 2)
	require.Len(t, d.engines[3].Runs(), 2)

	var st Status
	require.Eventually(t, func() bool { a.get(t, "/status", &st); return len(st.ReachableSchedulers) == 1 && st.Members == 2 }, 5*time.Second, 20*time.Millisecond)
	require.True(t, st.Ready)
	require.Len(t, st.Instances, 4)
	var e gateway.Explanation
	a.get(t, "/explain?host=h&path=/llm/&prompt=9000&shared=6300&subject=bb", &e)
	require.Equal(t, "r-llm", e.Route)
	require.Len(t, e.Considered, 2)
	require.Contains(t, a.log.String(), "msg=decision request=2")
	require.Contains(t, a.log.String(), "outcome=ok")
	require.Equal(t, http.StatusOK, a.statusCode(a.settings.Metrics, "/metrics"))
}

func TestConfigurationChanges(t *testing.T) {
	d := newDeployment(t)
	p := d.startGateway("a")
	d.configure(2, "/new/")
	require.Eventually(t, func() bool { status, _ := p.send("/new/x", "1", nil); return status == http.StatusOK }, 2*time.Second, 20*time.Millisecond)
	status, _ := p.send("/app/x", "2", nil)
	require.Equal(t, http.StatusNotFound, status)
}

// TestStopInterruptsNoRequest stops a gateway while requests keep arriving on keep-alive connections.
// Each request must get its response, unless its connection was closed before it was sent.
func TestStopInterruptsNoRequest(t *testing.T) {
	d := newDeployment(t)
	p := d.startGateway("a")
	var interrupted atomic.Int64
	stop := sendContinuously(8, func(id string, _ int) {
		status, body := p.send("/llm/x", id, nil)
		if status != http.StatusOK && !strings.Contains(body, "refused") && !strings.Contains(body, "reset") && !strings.Contains(body, "EOF") {
			interrupted.Add(1)
		}
	})
	time.Sleep(200 * time.Millisecond)
	p.stop()
	require.Eventually(t, func() bool { return p.statusCode(p.settings.Readiness, "/readyz") == http.StatusServiceUnavailable }, time.Second, 5*time.Millisecond)
	status, _ := p.send("/app/x", "late", nil)
	require.Equal(t, http.StatusOK, status, "the gateway must serve until the load balancer has seen that it is not ready")
	err := <-p.done
	p.done <- err
	stop()
	require.Zero(t, interrupted.Load())
	runs := 0
	for _, e := range d.engines {
		runs += len(e.Runs())
	}
	require.Equal(t, runs, strings.Count(p.log.String(), "outcome=ok"), "every request that ran got a complete response")
}

func TestStartWithoutStore(t *testing.T) {
	d := newDeployment(t)
	d.store.SetFaults(fleetstore.Faults{Down: true})
	done := make(chan *process, 1)
	go func() { done <- d.startGateway("a") }()
	time.Sleep(500 * time.Millisecond)
	d.store.SetFaults(fleetstore.Faults{})
	p := <-done
	status, _ := p.send("/app/x", "1", nil)
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, p.log.String(), "store lost")
	require.Contains(t, p.log.String(), "store regained")
}

// TestReloadsDisturbNoRequest changes the settings file of a process again and again, also to files
// that cannot be parsed, while requests arrive on keep-alive connections. No request may fail or run
// twice, and the process must not restart.
func TestReloadsDisturbNoRequest(t *testing.T) {
	d := newDeployment(t)
	p := d.startGateway("a")
	validSettings, err := os.ReadFile(p.file)
	require.NoError(t, err)
	var failed, sent atomic.Int64
	stop := sendContinuously(6, func(id string, n int) {
		path, header := "/app/x", http.Header(nil)
		if n%2 == 0 {
			path, header = "/llm/x", longPrompt.Clone()
		}
		sent.Add(1)
		if status, _ := p.send(path, id, header); status != http.StatusOK {
			failed.Add(1)
		}
	})
	for n := range 20 {
		text := strings.Replace(string(validSettings), `"grace": "3s"`, fmt.Sprintf(`"grace": "3s", "retrySlack": %d`, 100+n), 1)
		if n%4 == 3 {
			text = text[:len(text)/2]
		}
		require.NoError(t, os.WriteFile(p.file, []byte(text), 0o600))
		p.reload <- struct{}{}
		time.Sleep(20 * time.Millisecond)
	}
	stop()
	require.Zero(t, failed.Load(), "of %d", sent.Load())
	require.Contains(t, p.log.String(), "msg=reload changed=true at_next_start=false")
	require.Contains(t, p.log.String(), "settings not reloaded")
	require.Equal(t, 1, strings.Count(p.log.String(), "msg=start"))
	for _, e := range d.engines {
		ids := map[string]bool{}
		for _, run := range e.Runs() {
			require.False(t, ids[run.ID], run.ID)
			ids[run.ID] = true
		}
	}
}

// TestUsageIsBilledOnceAcrossStops stops gateways, the holder of the duty among them. Each request
// that ran, with keys of two workspaces, must be billed exactly once.
func TestUsageIsBilledOnceAcrossStops(t *testing.T) {
	d := newDeployment(t)
	api := fleetapi.New()
	server := httptest.NewServer(api)
	t.Cleanup(server.Close)
	d.duties = fmt.Sprintf(`{"address": %q, "kinds": "metering,other", "usageWindow": "500ms", "usageDue": "1500ms"}`, server.Listener.Addr().String())
	d.workspaces = map[string][]string{"w": {"k1"}, "v": {"k2"}}
	d.configure(1, "/app/")
	a, b, c := d.startGateway("a"), d.startGateway("b"), d.startGateway("c")
	sent := map[string]int{}
	send := func(p *process, key, workspace string) {
		id := fmt.Sprint(p.settings.Name, "-", workspace, "-", sent[workspace])
		status, body := p.send("/app/x", id, http.Header{"Api-Key": {key}})
		require.Equal(t, http.StatusOK, status, body)
		sent[workspace]++
	}
	for range 10 {
		for _, p := range []*process{a, b, c} {
			send(p, "k1", "w")
		}
		send(b, "k2", "v")
		time.Sleep(40 * time.Millisecond)
	}
	a.shutDown()
	b.shutDown()
	for range 10 {
		send(c, "k1", "w")
	}
	billed := func() map[string]int {
		out := map[string]int{}
		for _, counts := range api.Reports() {
			for workspace, n := range counts {
				out[workspace] += n
			}
		}
		return out
	}
	require.Eventually(t, func() bool { return fmt.Sprint(billed()) == fmt.Sprint(sent) }, 12*time.Second, 50*time.Millisecond, "billed %v of %v", billed(), sent)
	require.Empty(t, api.Conflicts())
}
