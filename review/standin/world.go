package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rockdoor/rockdoor/internal/standin/fleetstore"
)

const (
	gatewayProgram = "target/rockdoor" // of the deploy file's build
	readyTimeout   = 20 * time.Second
	stopTimeout    = 9 * time.Second // grace_s and a second
	domain         = "catania-a"
)

// world is a small deployment: a store, engines and gateways.
type world struct {
	// trouble is false if the case runs without its disruption.
	trouble bool
	store   *fleetstore.Server
	begun   time.Time
	folder  string // temporary files

	mu       sync.Mutex
	record   *os.File
	storeAt  string
	gateways []*gateway
	engines  []*engine
}

// gateway is a process of the product.
type gateway struct {
	name, front, readiness string
	cmd                    *exec.Cmd
	exited                 chan struct{}
}

// newWorld returns a world whose record is written to a file.
func newWorld(recordFile string) (*world, error) {
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	w := &world{trouble: os.Getenv("TROUBLE") != "0", store: fleetstore.New(), begun: time.Now(), folder: temp, record: record}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAt = l.Addr().String()
	go func() { _ = (&http.Server{Handler: w.store}).Serve(l) }()
	w.note("trouble %t", w.trouble)
	return w, nil
}

// note writes a line to the record, with the time since the start of the case.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

const (
	// Ports are taken from below those that the system gives to outgoing connections.
	firstPort, ports = 20000, 10000
	portAttempts     = 200
)

// nextPorts are the ports in the order in which they are tried. None is tried twice, since one that is handed out is
// still free until its process listens there.
var nextPorts = rand.Perm(ports)

// freeAddress returns a free address on the loopback interface. It must not be called concurrently.
func freeAddress() (string, error) {
	for range portAttempts {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPorts[0])
		nextPorts = nextPorts[1:]
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", errors.New("no port is free")
}

// startGateways starts n gateways and waits until they are ready. The settings are those that the deploy
// file's template gives on the small sites.
func (w *world) startGateways(n int) error {
	for i := range n {
		if err := w.startGateway(fmt.Sprintf("edge-%s-%d", domain, i+1)); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		if err := g.awaitReady(); err != nil {
			return err
		}
		w.note("gateway %s is ready at %s", g.name, g.front)
	}
	return nil
}

func (w *world) startGateway(name string) error {
	var at [4]string
	for i := range at {
		var err error
		if at[i], err = freeAddress(); err != nil {
			return err
		}
	}
	settings := map[string]any{
		"name": name, "domain": domain, "listen": at[0], "readiness": at[1], "metrics": at[2], "peer": at[3], "store": w.storeAt,
		"memoryMB": 284, "weight": 0.4,
		"scheduling": map[string]any{"wholeRequests": "auto", "engineProfiles": "auto", "engineOrders": "demand", "hungAttempts": "auto"},
		"duties":     map[string]any{"address": "", "kinds": ""},
		"bounds": map[string]any{
			"apply": "2000ms", "settle": "3000ms", "drain": "2000ms", "grace": "8s", "retryRatio": 0.2, "retrySlack": 56, "retryWindow": "10s", "lease": "3000ms",
		},
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	file := filepath.Join(w.folder, name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(w.folder, name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(gatewayProgram, "gateway", "serve", "--settings", file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	g := &gateway{name: name, front: at[0], readiness: at[1], cmd: cmd, exited: make(chan struct{})}
	go func() { _ = cmd.Wait(); close(g.exited) }()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gateways = append(w.gateways, g)
	return nil
}

func (g *gateway) awaitReady() error {
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		select {
		case <-g.exited:
			return fmt.Errorf("gateway %s has ended", g.name)
		default:
		}
		resp, err := http.Get("http://" + g.readiness + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("gateway %s is not ready", g.name)
}

// close ends all processes that the case has started.
func (w *world) close() {
	w.mu.Lock()
	gateways := w.gateways
	w.mu.Unlock()
	for _, g := range gateways {
		_ = g.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, g := range gateways {
		select {
		case <-g.exited:
		case <-time.After(stopTimeout):
			_ = g.cmd.Process.Kill()
			<-g.exited
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("logs of the gateways:", w.folder)
	}
}

// route is a route of the operator's configuration.
type route map[string]any

const host = "ficu95.example"

// configure writes the operator's configuration. It has the form of the printed examples of the wire.
func (w *world) configure(version int, routes ...route) {
	w.store.Set("config", "main", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": service, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.note("the operator writes configuration %d with %d routes", version, len(routes))
}

func newRoute(name, prefix, kind string, attempts int) route {
	return route{
		"name": name, "hostname": host, "path_prefix": prefix, "type": kind, "timeout_ms": 600, "target_latency_ms": 100,
		"priority": 2, "service": service, "max_attempts": attempts,
	}
}

// requestBody returns the body of a client's request.
func requestBody(id string) []byte { return append([]byte(id+" "), bytes.Repeat([]byte("."), 600)...) }
