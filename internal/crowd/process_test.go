// Package crowd tests processes against crowds of clients that misbehave: they send heads without end, hold connections,
// or read no responses. Each test starts a process with lowered limits and checks that it lives, that its memory and its
// descriptors stay within these limits, and that one ordinary request is answered afterwards.
package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
	"github.com/rockdoor/rockdoor/internal/standin/fleetstore"
	"github.com/rockdoor/rockdoor/internal/standin/platformd"
	"github.com/rockdoor/rockdoor/internal/standin/serviced"
)

const (
	// memoryMB is the memory limit of a process, and the bound of its peak of resident memory.
	memoryMB = 64
	// descriptorLimit is the limit of a process on its descriptors. keptDescriptors of them stay free under any crowd.
	descriptorLimit = 600
	keptDescriptors = 64

	// Ports of a process.
	clientPort    = 8080
	readinessPort = 8081
	operatorPort  = 9464
	peerPort      = 7660

	// hostName is the host of the only route, whose path is ordinaryPath.
	hostName     = "h"
	ordinaryPath = "/app/x"
	// workspaceName is the only workspace of the completion service.
	workspaceName = "w"

	// engineSlots is more than a crowd has clients, since the tests are not about instances that are full.
	engineSlots = 1000

	startTimeout = 30 * time.Second
	// answerTimeout is how long an ordinary caller goes on asking, attemptTimeout how long one of its attempts takes.
	answerTimeout  = 30 * time.Second
	attemptTimeout = 3 * time.Second
	sampleInterval = 20 * time.Millisecond
	exitTimeout    = 10 * time.Second
)

// program is the path of the program under test. It is built without the race detector, which needs memory itself.
var program string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "rockdoor-crowd-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "rockdoor")
	if out, err := exec.Command("go", "build", "-o", program, "github.com/rockdoor/rockdoor/cmd/rockdoor").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		return 1
	}
	return m.Run()
}

// process is a running process of the system.
type process struct {
	t    *testing.T
	ip   string
	cmd  *exec.Cmd
	done chan struct{}
	log  io.ReadCloser
	// ready is the address of the listener that has /readyz.
	ready string
	// mostDescriptors is the largest number of descriptors that were seen open.
	mostDescriptors atomic.Int64
	asked           atomic.Int64
}

var processes atomic.Int64

// uniqueIP returns a loopback address that no other process uses, so that the fixed ports are free on it.
func uniqueIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 220+pid%30, pid/30%250, 1+processes.Add(1))
}

// serve starts an HTTP server for the time of the test and returns its address.
func serve(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String()
}

// startGateway starts a gateway before one backend server. Its log is read unless unreadLog is set.
func startGateway(t *testing.T, unreadLog bool) *process {
	t.Helper()
	store := fleetstore.New()
	store.Register("i-0", fleetstore.Registration{Service: "app", Address: serve(t, fleetengine.New("i-0", "")), Domain: "a", Slots: engineSlots})
	store.Register("i-1", fleetstore.Registration{Service: "llm", Address: serve(t, fleetengine.New("i-1", "decode")), Stage: "decode", Domain: "a", Slots: engineSlots})
	store.Configure(fleetstore.Configuration{
		Version: 1,
		Routes: []fleetstore.Route{
			{Name: "r-app", Host: hostName, Prefix: "/app/", Service: "app", Kind: fleetstore.Unsafe, Timeout: 5 * time.Second, Latency: time.Second, Attempts: 1},
			{Name: "r-llm", Host: hostName, Prefix: "/llm/", Service: "llm", Kind: fleetstore.Streaming, Timeout: 5 * time.Second, Latency: time.Second, Attempts: 1, Affinity: true},
		},
		Services: []fleetstore.Service{{Name: "app", Connections: engineSlots}, {Name: "llm", Connections: engineSlots, RoleChange: time.Second}},
	})
	p := &process{t: t, ip: uniqueIP()}
	p.ready = p.address(readinessPort)
	text := fmt.Sprintf(`{"name": "g", "domain": "a", "listen": %q, "readiness": %q, "metrics": %q, "peer": %q, "store": %q, "memoryMB": %d}`,
		p.address(clientPort), p.ready, p.address(operatorPort), p.address(peerPort), serve(t, store), memoryMB)
	p.start(text, unreadLog, "gateway", "serve")
	return p
}

// startEntry starts a process of the completion service before one backend server. Its log is read unless unreadLog is set.
func startEntry(t *testing.T, unreadLog bool) *process {
	t.Helper()
	p := &process{t: t, ip: uniqueIP()}
	p.ready = p.address(operatorPort)
	text := fmt.Sprintf(`{"name": "e", "host": "e", "domain": "a", "listen": %q, "admin": %q, "peer": %q, "platform": "http://%s"}`,
		p.address(clientPort), p.ready, p.address(peerPort), serve(t, platformd.New(2)))
	config := fmt.Sprintf(`{
		"hosts": [{"name": "sh", "domain": "a"}],
		"services": [{"name": "s", "servers": [{"name": "s0", "host": "sh", "address": %q}]}],
		"routes": [{"path": "/app/", "service": "s", "methods": ["POST"], "idempotent": true}],
		"workspaces": [{"name": %q}]
	}`, serve(t, serviced.New("s0", time.Millisecond)), workspaceName)
	p.launch(text, unreadLog, "serve")
	p.await("configuration is accepted", func() bool {
		req, err := http.NewRequest(http.MethodPut, "http://"+p.ready+"/api/v1/config?author=test", strings.NewReader(config))
		require.NoError(t, err)
		return status(req) == http.StatusOK
	})
	p.awaitReady()
	return p
}

func (p *process) address(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }

func (p *process) start(settings string, unreadLog bool, command ...string) {
	p.t.Helper()
	p.launch(settings, unreadLog, command...)
	p.awaitReady()
}

// launch starts the process with a limit on its descriptors. The shell replaces itself by the process.
func (p *process) launch(settings string, unreadLog bool, command ...string) {
	p.t.Helper()
	file := filepath.Join(p.t.TempDir(), "settings.json")
	require.NoError(p.t, os.WriteFile(file, []byte(settings), 0o600))
	script := fmt.Sprintf(`ulimit -n %d && exec "$@"`, descriptorLimit)
	p.cmd = exec.Command("sh", append([]string{"-c", script, "sh", program}, append(command, "--settings", file)...)...)
	p.cmd.Env = append(os.Environ(), fmt.Sprintf("GOMEMLIMIT=%dMiB", memoryMB))
	log, out, err := os.Pipe() // not a buffer of the test, so that a log that nobody reads blocks
	require.NoError(p.t, err)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	require.NoError(p.t, p.cmd.Start())
	require.NoError(p.t, out.Close())
	p.log, p.done = log, make(chan struct{})
	if !unreadLog {
		go func() { _, _ = io.Copy(io.Discard, log) }() // ends with the process
	}
	go func() { _ = p.cmd.Wait(); close(p.done) }() // alive reports an early end
	go p.sampleDescriptors()
	p.t.Cleanup(p.kill)
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill() // it may have ended
	<-p.done
	_ = p.log.Close()
}

func (p *process) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *process) await(what string, cond func() bool) {
	p.t.Helper()
	for begun := time.Now(); !cond(); time.Sleep(sampleInterval) {
		require.True(p.t, p.alive(), "the process has ended")
		require.Less(p.t, time.Since(begun), startTimeout, what)
	}
}

func (p *process) awaitReady() {
	p.t.Helper()
	p.await("ready", func() bool { return p.get(p.ready, "/readyz") == http.StatusOK })
	p.await("first request", func() bool { return p.ordinary() == http.StatusOK })
}

// get returns the status of a request to a port of the process, 0 for none.
func (p *process) get(address, path string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	require.NoError(p.t, err)
	return status(req)
}

// status sends a request on a new connection and returns the status of the whole response, 0 if there is none.
func status(req *http.Request) int {
	client := http.Client{Timeout: attemptTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// ordinary sends an ordinary request and returns the status of its response.
func (p *process) ordinary() int {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.address(clientPort)+ordinaryPath, strings.NewReader("x"))
	require.NoError(p.t, err)
	req.Host = hostName
	req.Header.Set("X-Request-Id", fmt.Sprint("ordinary-", p.asked.Add(1)))
	req.Header.Set("Rockdoor-Workspace", workspaceName)
	return status(req)
}

// sampleDescriptors records the largest number of open descriptors until the process ends.
func (p *process) sampleDescriptors() {
	folder := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	for p.alive() {
		if entries, err := os.ReadDir(folder); err == nil {
			p.mostDescriptors.Store(max(p.mostDescriptors.Load(), int64(len(entries))))
		}
		time.Sleep(sampleInterval)
	}
}

// peakMemory returns the peak of the resident memory, in MB.
func (p *process) peakMemory() float64 {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(p.t, err, "the process has ended")
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		var kb float64
		if _, err := fmt.Sscanf(lines.Text(), "VmHWM: %f kB", &kb); err == nil {
			return kb / 1024
		}
	}
	p.t.Fatal("VmHWM is missing in the process status")
	return 0
}

// check checks what has to hold under any crowd. address is the listener that the crowd uses, which still answers.
func (p *process) check(address string) {
	p.t.Helper()
	require.True(p.t, p.alive(), "the process has ended")
	answered := p.eventually(func() bool { return p.ordinary() == http.StatusOK })
	alsoAnswered := true
	switch address {
	case p.address(readinessPort), p.address(operatorPort):
		alsoAnswered = p.eventually(func() bool { return p.get(address, "/readyz") == http.StatusOK })
	}
	require.True(p.t, p.alive(), "the process has ended")
	peak, descriptors := p.peakMemory(), p.mostDescriptors.Load()
	p.t.Logf("peak memory %.0f MB, %d descriptors", peak, descriptors)
	if !answered || !alsoAnswered {
		p.t.Errorf("no answer to an ordinary request (clients %t, port of the crowd %t)", answered, alsoAnswered)
	}
	if peak > memoryMB {
		p.t.Errorf("peak memory is %.0f MB, the limit %d MB", peak, memoryMB)
	}
	if descriptors > descriptorLimit-keptDescriptors {
		p.t.Errorf("%d of %d descriptors are used, %d must stay free", descriptors, descriptorLimit, keptDescriptors)
	}
}

// eventually reports whether a condition holds within answerTimeout.
func (p *process) eventually(cond func() bool) bool {
	for begun := time.Now(); time.Since(begun) < answerTimeout && p.alive(); time.Sleep(sampleInterval) {
		if cond() {
			return true
		}
	}
	return false
}

func dial(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, attemptTimeout) }
