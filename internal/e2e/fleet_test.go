// Package e2e tests fleets of real rockdoor processes against stand-ins for the
// platform, the engines and the services. The test binary runs as a rockdoor process
// if childVariable is set, so that the race detector covers the processes too.
package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/internal/admin"
	"github.com/rockdoor/rockdoor/internal/cli"
	"github.com/rockdoor/rockdoor/internal/standin/crash"
	"github.com/rockdoor/rockdoor/internal/standin/engined"
	"github.com/rockdoor/rockdoor/internal/standin/platformd"
	"github.com/rockdoor/rockdoor/internal/standin/serviced"
)

const (
	childVariable = "ROCKDOOR_E2E_CHILD"
	waitTimeout   = 30 * time.Second
	pollInterval  = 20 * time.Millisecond
	entryPort     = 8080
)

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		os.Exit(cli.Main(os.Args))
	}
	os.Exit(m.Run())
}

// options are the parameters of a fleet.
type options struct {
	entries int
	engines int
	fencing bool
	timing  engined.Timing
	// poisonBody is the body of the request that crashes the servers of the service, empty for none.
	poisonBody string
	// roles are the configured roles by engine name.
	roles map[string]string
}

// fleet is a set of entry processes, with stand-ins that run in the test process.
type fleet struct {
	t        *testing.T
	o        options
	dir      string
	net      string
	platform *platformd.Server
	// platformProxies are the connections to the platform, one for each process.
	platformProxies []*partitionProxy
	engines         []*engined.Server
	services        []*serviced.Server
	// crashHosts run the servers that can crash. poisonSends counts the requests that crashed them.
	crashHosts  []*crash.RestartingServer
	poisonSends atomic.Int64
	config      string
	procs       []*process
}

// process is one entry process.
type process struct {
	f    *fleet
	i    int
	cmd  *exec.Cmd
	log  *bytes.Buffer
	mu   sync.Mutex
	done chan struct{}
}

// subnets assigns separate loopback addresses to each fleet of this test binary.
var subnets = struct {
	sync.Mutex
	n int
}{}

func subnet() string {
	subnets.Lock()
	defer subnets.Unlock()
	subnets.n++
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d", 16+(pid/200+subnets.n*7)%200, pid%200+1)
}

func newFleet(t *testing.T, o options) *fleet {
	f := &fleet{t: t, o: o, dir: t.TempDir(), net: subnet(), platform: platformd.New(2)}
	f.listen(f.net+".250:9001", f.platform)
	for range o.entries {
		f.platformProxies = append(f.platformProxies, newPartitionProxy(t, f.net+".250:9001"))
	}
	for i := range o.engines {
		e := engined.New(engined.Options{Name: fmt.Sprintf("e%d", i), Fencing: o.fencing, Timing: o.timing})
		t.Cleanup(e.Close)
		f.engines = append(f.engines, e)
		f.listen(fmt.Sprintf("%s.%d:8000", f.net, 100+i), e)
	}
	for i := range 3 {
		s := serviced.New(fmt.Sprintf("s%d", i), time.Millisecond)
		f.services = append(f.services, s)
		if address := fmt.Sprintf("%s.%d:8000", f.net, 200+i); o.poisonBody != "" {
			f.serveWithCrashes(address, s)
		} else {
			f.listen(address, s)
		}
	}
	f.config = f.configuration(o.roles)
	t.Cleanup(f.stopAll)
	for i := range o.entries {
		f.start(i)
	}
	return f
}

// startFleet starts a fleet and waits until all of its processes are ready.
func startFleet(t *testing.T, o options) *fleet {
	f := newFleet(t, o)
	f.awaitAdmin(0)
	f.apply(0, f.config)
	for i := range o.entries {
		f.awaitReady(i)
	}
	return f
}

func (f *fleet) listen(address string, h http.Handler) string {
	l, err := net.Listen("tcp", address)
	require.NoError(f.t, err)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	f.t.Cleanup(func() { _ = s.Close() })
	return address
}

// serveWithCrashes serves h at an address. A request with the poison body crashes the server, which
// restarts after a second.
func (f *fleet) serveWithCrashes(address string, h http.Handler) {
	host, err := crash.NewRestartingServer(address, time.Second, func(_ string, crash func()) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			if string(body) == f.o.poisonBody {
				f.poisonSends.Add(1)
				go crash() // also closes this connection
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
			h.ServeHTTP(w, r)
		})
	})
	require.NoError(f.t, err)
	f.t.Cleanup(host.Close)
	f.crashHosts = append(f.crashHosts, host)
}

func domain(i int) string { return fmt.Sprintf("d%d", i%3) }

// configuration returns the configuration of the fleet with the given engine roles.
func (f *fleet) configuration(roles map[string]string) string {
	var hosts, engines, servers []string
	for i := range f.o.engines {
		hosts = append(hosts, fmt.Sprintf(`{"name": "eh%d", "domain": %q}`, i, domain(i)))
		engines = append(engines, fmt.Sprintf(`{"name": "e%d", "pool": "p", "host": "eh%d", "address": "%s.%d:8000", "fencing": %t, "role": %q}`,
			i, i, f.net, 100+i, f.o.fencing, roles[fmt.Sprintf("e%d", i)]))
	}
	for i := range 3 {
		hosts = append(hosts, fmt.Sprintf(`{"name": "sh%d", "domain": %q}`, i, domain(i)))
		servers = append(servers, fmt.Sprintf(`{"name": "s%d", "host": "sh%d", "address": "%s.%d:8000"}`, i, i, f.net, 200+i))
	}
	return fmt.Sprintf(`{
  "hosts": [%s],
  "pools": [{"name": "p", "roles": {"changeTimeout": "3s"}}],
  "engines": [%s],
  "models": [{"name": "review", "pool": "p", "timeout": "60s"}, {"name": "notes", "pool": "p", "idempotent": true, "timeout": "60s"}],
  "services": [{"name": "s", "servers": [%s]}],
  "routes": [{"path": "/flags/", "service": "s", "idempotent": true}, {"path": "/alerts/", "service": "s", "methods": ["POST"]}],
  "workspaces": [{"name": "w"}]
}`, strings.Join(hosts, ", "), strings.Join(engines, ", "), strings.Join(servers, ", "))
}

func (f *fleet) address(i, port int) string { return fmt.Sprintf("%s.%d:%d", f.net, 1+i, port) }

// start starts the i-th entry process. It also restarts a process that has exited.
func (f *fleet) start(i int) {
	var seeds []string
	for j := range f.o.entries {
		seeds = append(seeds, fmt.Sprintf("%q", f.address(j, 7002)))
	}
	text := fmt.Sprintf(`{
  "name": "entry-%d", "host": "entry-%d", "domain": %q, "listen": %q, "admin": %q, "peer": %q, "platform": "http://%s",
  "seeds": [%s],
  "limits": {"stopGrace": "200ms", "stopTimeout": "30s"},
  "control": {"heartbeat": "100ms", "staleAfter": "2s", "leaseTTL": "1s", "report": "200ms"},
  "platformCalls": {"perSecond": 50},
  "log": {"level": "debug"}
}`, i, i, domain(i), f.address(i, entryPort), f.address(i, 7001), f.address(i, 7002), f.platformProxies[i].address, strings.Join(seeds, ", "))
	file := filepath.Join(f.dir, fmt.Sprintf("entry-%d.json", i))
	require.NoError(f.t, os.WriteFile(file, []byte(text), 0o600))
	p := &process{f: f, i: i, log: &bytes.Buffer{}, done: make(chan struct{})}
	p.cmd = exec.Command(os.Args[0], "serve", "--settings", file)
	p.cmd.Env = append(os.Environ(), childVariable+"=1")
	p.cmd.Stderr = p
	require.NoError(f.t, p.cmd.Start())
	go func() { _ = p.cmd.Wait(); close(p.done) }()
	for len(f.procs) <= i {
		f.procs = append(f.procs, nil)
	}
	f.procs[i] = p
}

// Write appends to the log of the process.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

func (p *process) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (f *fleet) stopAll() {
	for _, p := range f.procs {
		p.signal(syscall.SIGCONT)
		p.kill()
		if strings.Contains(p.text(), "DATA RACE") {
			f.t.Errorf("data race in entry-%d:\n%s", p.i, p.text())
		}
		if f.t.Failed() {
			lines := strings.Split(p.text(), "\n")
			f.t.Logf("entry-%d:\n%s", p.i, strings.Join(lines[max(0, len(lines)-25):], "\n"))
		}
	}
}

// await waits for a condition and fails the test if it doesn't hold within waitTimeout.
func (f *fleet) await(what string, cond func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !cond() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out after %s waiting for: %s", waitTimeout, what)
		}
		time.Sleep(pollInterval)
	}
}

var client = &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// get calls the admin API of the i-th process.
func (f *fleet) get(i int, path string, out any) bool {
	resp, err := client.Get("http://" + f.address(i, 7001) + path)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false
	}
	return out == nil || json.NewDecoder(resp.Body).Decode(out) == nil
}

func (f *fleet) awaitAdmin(i int) {
	f.await(fmt.Sprintf("admin of entry-%d", i), func() bool { return f.get(i, "/healthz", nil) })
}

func (f *fleet) awaitReady(i int) {
	f.await(fmt.Sprintf("entry-%d ready", i), func() bool { return f.get(i, "/readyz", nil) })
}

func (f *fleet) status(i int) admin.Status {
	var st admin.Status
	f.get(i, "/api/v1/status", &st)
	return st
}

// put sends a configuration to the i-th process.
func (f *fleet) put(i int, config string) (admin.Accepted, int) {
	req, err := http.NewRequest(http.MethodPut, "http://"+f.address(i, 7001)+"/api/v1/config?author=test", strings.NewReader(config))
	require.NoError(f.t, err)
	resp, err := client.Do(req)
	if err != nil {
		return admin.Accepted{}, 0
	}
	defer resp.Body.Close()
	var a admin.Accepted
	_ = json.NewDecoder(resp.Body).Decode(&a)
	return a, resp.StatusCode
}

func (f *fleet) apply(i int, config string) int64 {
	a, code := f.put(i, config)
	require.Equal(f.t, http.StatusOK, code)
	return a.Revision
}

// awaitRevision waits until processes have at least a revision in force.
func (f *fleet) awaitRevision(rev int64, procs ...int) {
	for _, i := range procs {
		f.await(fmt.Sprintf("revision %d at entry-%d", rev, i), func() bool { return f.status(i).Revision >= rev })
	}
}

// controllerOf returns the process that holds the pool's lease, or -1 if there is none.
// It skips the process with index except.
func (f *fleet) controllerOf(except int) int {
	for i := range f.procs {
		if i == except {
			continue
		}
		for _, p := range f.status(i).Pools {
			if p.Held {
				return i
			}
		}
	}
	return -1
}

// awaitController waits until a process other than except holds the pool's lease, and
// returns that process.
func (f *fleet) awaitController(except int) int {
	holder := -1
	f.await("a controller", func() bool { holder = f.controllerOf(except); return holder >= 0 })
	return holder
}

// callResult is the response of an entry process to one request.
type callResult struct {
	status   int
	outcome  string
	body     string
	complete bool
	err      error
}

// call sends a request to the i-th process.
func (f *fleet) call(i int, method, path, body string, headers ...string) callResult {
	req, err := http.NewRequest(method, "http://"+f.address(i, entryPort)+path, strings.NewReader(body))
	require.NoError(f.t, err)
	req.Header.Set("Rockdoor-Workspace", "w")
	for j := 0; j < len(headers); j += 2 {
		req.Header.Set(headers[j], headers[j+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return callResult{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	r := callResult{status: resp.StatusCode, outcome: resp.Header.Get("Rockdoor-Outcome"), body: string(data), err: err}
	if r.outcome == "" {
		r.outcome = resp.Trailer.Get("Rockdoor-Outcome")
	}
	r.complete = err == nil && r.outcome == "complete"
	return r
}

func chatBody(model string, tokens int, text string) string {
	return fmt.Sprintf(`{"model": %q, "stream": true, "max_tokens": %d, "messages": [{"role": "user", "content": %q}]}`, model, tokens, text)
}

func (f *fleet) chat(i int, model string, tokens int, headers ...string) callResult {
	return f.call(i, http.MethodPost, "/v1/chat/completions", chatBody(model, tokens, "hello"), headers...)
}

// roleOrders returns the role orders that took effect at an engine.
func (f *fleet) roleOrders(i int) []engine.Order {
	var out []engine.Order
	for _, o := range f.engines[i].Orders() {
		if o.Kind == engine.OrderRole {
			out = append(out, o)
		}
	}
	return out
}

// partitionProxy forwards connections to one address. It can close them and refuse new ones.
type partitionProxy struct {
	address     string
	mu          sync.Mutex
	partitioned bool
	conns       map[net.Conn]bool
}

func newPartitionProxy(t *testing.T, to string) *partitionProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c := &partitionProxy{address: l.Addr().String(), conns: map[net.Conn]bool{}}
	t.Cleanup(func() { l.Close(); c.setPartitioned(true) })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go c.forward(in, to)
		}
	}()
	return c
}

func (c *partitionProxy) forward(in net.Conn, to string) {
	out, err := net.Dial("tcp", to)
	if err != nil {
		in.Close()
		return
	}
	c.mu.Lock()
	if c.partitioned {
		c.mu.Unlock()
		in.Close()
		out.Close()
		return
	}
	c.conns[in], c.conns[out] = true, true
	c.mu.Unlock()
	go func() { _, _ = io.Copy(out, in); out.Close() }()
	_, _ = io.Copy(in, out)
	in.Close()
}

// setPartitioned closes all connections and refuses new ones, or accepts new ones again.
func (c *partitionProxy) setPartitioned(partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned = partitioned
	if partitioned {
		for conn := range c.conns {
			conn.Close()
		}
		clear(c.conns)
	}
}
