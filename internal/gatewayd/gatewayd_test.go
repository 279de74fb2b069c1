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

// deployment is a store and engines with gateways before them.
type deployment struct {
	t       *testing.T
	store   *fleetstore.Server
	address string
	// storeOf returns the address at which a process reaches the store.
	storeOf func(name string) string
	// domains is over how many failure domains processes are spread by their names.
	domains int
	engines []*fleetengine.Engine
	// bound is in what time its gateways must know of changes, revoke in what time a key that
	// was taken away must be of no use.
	bound, revoke string
	// duties are the settings of the gateways' duties.
	duties string
	// workspaces are those of the configuration, with their keys.
	workspaces map[string][]string
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, store: fleetstore.New(), bound: "600ms", revoke: "0s", duties: "{}", domains: 1}
	server := httptest.NewServer(d.store)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	d.address = server.Listener.Addr().String()
	d.storeOf = func(string) string { return d.address }
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
	d.store.Set("config", "main", map[string]any{
		"version": version, "tenants": workspaces,
		"routes": []map[string]any{
			{"name": "r-app", "hostname": "h", "path_prefix": prefix, "type": "unsafe", "service": "app", "timeout_ms": 3000, "max_attempts": 1},
			{"name": "r-llm", "hostname": "h", "path_prefix": "/llm/", "type": "streaming", "service": "llm", "timeout_ms": 3000, "target_latency_ms": 200, "max_attempts": 2, "resumable": true},
		},
		"services": []map[string]any{{"name": "app"}, {"name": "llm", "engine": map[string]any{"kv_capacity_tokens": 1000, "reconfigure_s": 0.1}}},
	})
}

// gateways counts the gateways of this test process.
var gateways atomic.Int64

// loopback returns an IP number of the loopback range that no other gateway of a
// test uses, so that fixed ports are free on it.
func loopback() string {
	const perNet, nets = 250, 2
	pid, n := os.Getpid(), int(gateways.Add(1))
	return fmt.Sprintf("127.%d.%d.%d", 64+pid%100, pid/100%(perNet/nets)*nets+n/perNet%nets, 1+n%perNet)
}

// process is one running gateway.
type process struct {
	set  *settings.Gateway
	stop context.CancelFunc
	// file holds the settings, reload makes the process read them again.
	file   string
	reload chan struct{}
	done   chan error
	log    *syncBuffer
}

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

func (d *deployment) gateway(name string) *process {
	d.t.Helper()
	return d.gatewayAt(name, loopback())
}

// startWithin is how long a gateway may take to be ready where the machine is busy with other
// tests. It takes less than a second alone.
const startWithin = 20 * time.Second

// domain returns the failure domain of a process: that of a number is its last digit's.
func (d *deployment) domain(name string) string {
	return string('a' + rune(int(name[len(name)-1]-'0')%d.domains))
}

// peerPort is where a gateway takes the calls of the others.
const peerPort = 7660

func (d *deployment) gatewayAt(name, ip string) *process {
	d.t.Helper()
	text := fmt.Sprintf(`{"name": %q, "domain": %[8]q, "listen": "%[2]s:8080", "readiness": "%[2]s:8081", "metrics": "%[2]s:9464", "peer": "%[2]s:%[7]d", "store": %[3]q,
		"bounds": {"apply": %[4]q, "settle": %[4]q, "drain": %[4]q, "grace": "3s", "notice": "300ms", "lease": "1s", "revoke": %[5]q}, "duties": %[6]s}`,
		name, ip, d.storeOf(name), d.bound, d.revoke, d.duties, peerPort, d.domain(name))
	file := filepath.Join(d.t.TempDir(), "settings.json")
	require.NoError(d.t, os.WriteFile(file, []byte(text), 0o600))
	set, err := settings.LoadGateway(file)
	require.NoError(d.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{set: set, stop: cancel, file: file, reload: make(chan struct{}), done: make(chan error, 1), log: &syncBuffer{}}
	daemon := New(set, file, log.NewLogfmtLogger(p.log), func() int64 { return 0 })
	go func() { p.done <- daemon.Run(ctx, p.reload) }()
	d.t.Cleanup(func() {
		cancel()
		select {
		case err := <-p.done:
			require.NoError(d.t, err)
		case <-time.After(10 * time.Second):
			d.t.Error("gateway did not stop")
		}
	})
	require.Eventually(d.t, func() bool { return p.status(p.set.Readiness, "/readyz") == http.StatusOK }, startWithin, 10*time.Millisecond)
	return p
}

func (p *process) status(address, path string) int {
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
	req, err := http.NewRequest(http.MethodPost, "http://"+p.set.Listen+path, strings.NewReader(text))
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
	resp, err := http.Get("http://" + p.set.Metrics + path)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NoError(t, json.NewDecoder(resp.Body).Decode(out))
}

// sendAlways has a number of callers send one request after another, each with an id of its
// own and its number at its caller, until the returned function is called.
func sendAlways(callers int, send func(id string, n int)) (stop func()) {
	stopped := make(chan struct{})
	var wg sync.WaitGroup
	for c := range callers {
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

func TestWholePath(t *testing.T) {
	d := newDeployment(t)
	a, b := d.gateway("a"), d.gateway("b")
	for _, p := range []*process{a, b} {
		status, body := p.send("/app/x", "1", nil)
		require.Equal(t, http.StatusOK, status, body)
		status, body = p.send("/llm/x", "2", longPrompt)
		require.Equal(t, http.StatusOK, status, body)
		require.Equal(t, 3, strings.Count(body, "data: 2-"))
	}
	require.Len(t, d.engines[2].Reads(), 2)
	require.Len(t, d.engines[3].Runs(), 2)

	var st Status
	require.Eventually(t, func() bool { a.get(t, "/status", &st); return len(st.Heard) == 1 && st.Members == 2 }, 5*time.Second, 20*time.Millisecond)
	require.True(t, st.Ready)
	require.Len(t, st.Instances, 4)
	var e gateway.Explanation
	a.get(t, "/explain?host=h&path=/llm/&prompt=9000&shared=6300&subject=bb", &e)
	require.Equal(t, "r-llm", e.Route)
	require.Len(t, e.Considered, 2)
	require.Contains(t, a.log.String(), "msg=decision request=2")
	require.Contains(t, a.log.String(), "outcome=ok")
	require.Equal(t, http.StatusOK, a.status(a.set.Metrics, "/metrics"))
}

func TestConfigurationChanges(t *testing.T) {
	d := newDeployment(t)
	p := d.gateway("a")
	d.configure(2, "/new/")
	require.Eventually(t, func() bool { status, _ := p.send("/new/x", "1", nil); return status == http.StatusOK }, 2*time.Second, 20*time.Millisecond)
	status, _ := p.send("/app/x", "2", nil)
	require.Equal(t, http.StatusNotFound, status)
}

// TestStopCutsNoRequest stops a gateway while requests keep coming on kept
// connections: each is answered, or its connection was closed before it was sent.
func TestStopCutsNoRequest(t *testing.T) {
	d := newDeployment(t)
	p := d.gateway("a")
	var cut atomic.Int64
	stop := sendAlways(8, func(id string, _ int) {
		status, body := p.send("/llm/x", id, nil)
		if status != http.StatusOK && !strings.Contains(body, "refused") && !strings.Contains(body, "reset") && !strings.Contains(body, "EOF") {
			cut.Add(1)
		}
	})
	time.Sleep(200 * time.Millisecond)
	p.stop()
	require.Eventually(t, func() bool { return p.status(p.set.Readiness, "/readyz") == http.StatusServiceUnavailable }, time.Second, 5*time.Millisecond)
	status, _ := p.send("/app/x", "late", nil)
	require.Equal(t, http.StatusOK, status, "it serves until the balancer has noticed")
	err := <-p.done
	p.done <- err
	stop()
	require.Zero(t, cut.Load())
	runs := 0
	for _, e := range d.engines {
		runs += len(e.Runs())
	}
	require.Equal(t, runs, strings.Count(p.log.String(), "outcome=ok"), "every request that ran was answered whole")
}

func TestStartWithoutStore(t *testing.T) {
	d := newDeployment(t)
	d.store.SetFaults(fleetstore.Faults{Down: true})
	done := make(chan *process, 1)
	go func() { done <- d.gateway("a") }()
	time.Sleep(500 * time.Millisecond)
	d.store.SetFaults(fleetstore.Faults{})
	p := <-done
	status, _ := p.send("/app/x", "1", nil)
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, p.log.String(), "store lost")
	require.Contains(t, p.log.String(), "store regained")
}

// TestReloadsLeaveRequestsAlone changes the settings files of a process again and again, also
// to ones that cannot be read, while requests come on kept connections: none hangs, is cut or
// runs twice, and the process that started goes on.
func TestReloadsLeaveRequestsAlone(t *testing.T) {
	d := newDeployment(t)
	p := d.gateway("a")
	good, err := os.ReadFile(p.file)
	require.NoError(t, err)
	var failed, sent atomic.Int64
	stop := sendAlways(6, func(id string, n int) {
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
		text := strings.Replace(string(good), `"grace": "3s"`, fmt.Sprintf(`"grace": "3s", "retrySlack": %d`, 100+n), 1)
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

// TestUsageOutlivesStops has gateways stop and one that holds the duty among them: each
// request that ran is billed, once, under keys of two workspaces.
func TestUsageOutlivesStops(t *testing.T) {
	d := newDeployment(t)
	api := fleetapi.New()
	server := httptest.NewServer(api)
	t.Cleanup(server.Close)
	d.duties = fmt.Sprintf(`{"address": %q, "kinds": "metering,other", "usageWindow": "500ms", "usageDue": "1500ms"}`, server.Listener.Addr().String())
	d.workspaces = map[string][]string{"w": {"k1"}, "v": {"k2"}}
	d.configure(1, "/app/")
	a, b, c := d.gateway("a"), d.gateway("b"), d.gateway("c")
	sent := map[string]int{}
	send := func(p *process, key, workspace string) {
		id := fmt.Sprint(p.set.Name, "-", workspace, "-", sent[workspace])
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
	a.kill()
	b.kill()
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
