package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/attempt"
	"github.com/rockdoor/rockdoor/internal/charts"
	"github.com/rockdoor/rockdoor/internal/entry"
	"github.com/rockdoor/rockdoor/internal/peer"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/internal/reach"
	"github.com/rockdoor/rockdoor/internal/settings"
	"github.com/rockdoor/rockdoor/internal/standin/platformd"
	"github.com/rockdoor/rockdoor/internal/standin/serviced"
	"github.com/rockdoor/rockdoor/members"
)

const (
	stopGrace   = 200 * time.Millisecond
	stopTimeout = 2 * time.Second
	awaitTime   = 20 * time.Second
)

func serveStandIn(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String()
}

// process is a running process. Stop begins its stop, wait waits for its end.
type process struct {
	address, peer, backend string
	stop, wait             func()
}

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// startProcess starts a process in front of a backend server whose requests run at most once. Without ready, it returns as soon
// as the process serves, which is before it has joined its peers.
func startProcess(t *testing.T, s *serviced.Server, ready bool) *process {
	t.Helper()
	set, err := settings.Parse("test", fmt.Appendf(nil, `{"name": "p", "host": "h", "domain": "d", "listen": %q, "admin": %q, "peer": %q, "platform": "http://%s", "seeds": [],
		"limits": {"stopGrace": %q, "stopTimeout": %q}, "control": {"heartbeat": "100ms", "staleAfter": "2s", "leaseTTL": "1s", "report": "200ms"}}`,
		freeAddress(t), freeAddress(t), freeAddress(t), serveStandIn(t, platformd.New(0)), stopGrace, stopTimeout))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- New(set, log.NewNopLogger()).Run(ctx) }()
	p := &process{address: set.Listen, peer: set.Peer, backend: serveStandIn(t, s), stop: cancel, wait: sync.OnceFunc(func() { require.NoError(t, <-done) })}
	t.Cleanup(func() { p.stop(); p.wait() })
	config := fmt.Sprintf(`{"hosts": [{"name": "h", "domain": "d"}], "services": [{"name": "s", "servers": [{"name": "s0", "host": "h", "address": %q, "capacity": 100}]}],
		"routes": [{"path": "/once/", "service": "s", "methods": ["POST"], "timeout": "30s"}], "workspaces": [{"name": "w"}]}`, p.backend)
	require.Eventually(t, func() bool {
		req, _ := http.NewRequest(http.MethodPut, "http://"+set.Admin+"/api/v1/config?author=test", strings.NewReader(config))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, awaitTime, 20*time.Millisecond)
	require.Eventually(t, func() bool { return startUpload(t, set.Listen, 0).finish() == "200 complete" }, awaitTime, 50*time.Millisecond)
	require.Eventually(t, func() bool {
		if !ready {
			return true
		}
		resp, err := http.Get("http://" + set.Admin + "/readyz")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, awaitTime, 20*time.Millisecond)
	return p
}

// upload is a request whose last byte is sent after a delay.
type upload struct {
	conn  net.Conn
	delay time.Duration
}

func startUpload(t *testing.T, address string, delay time.Duration) upload {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /once/x HTTP/1.1\r\nHost: h\r\n%s: w\r\nContent-Length: 2\r\n\r\nx", entry.HeaderWorkspace)
	require.NoError(t, err)
	return upload{conn, delay}
}

// finish completes the request and returns the status and the outcome that its response states, or the error.
func (u upload) finish() string {
	time.Sleep(u.delay)
	if _, err := io.WriteString(u.conn, "y"); err != nil {
		return err.Error()
	}
	resp, err := http.ReadResponse(bufio.NewReader(u.conn), nil)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return err.Error()
	}
	return fmt.Sprint(resp.StatusCode, " ", resp.Header.Get(entry.HeaderOutcome))
}

// TestRequestsAtTheEndOfStopTimeoutAreAnswered stops a process while its backend server holds requests that run at most once
// for longer than stopTimeout.
func TestRequestsAtTheEndOfStopTimeoutAreAnswered(t *testing.T) {
	const requests = 5
	for _, ready := range []bool{true, false} {
		t.Run(fmt.Sprint("ready ", ready), func(t *testing.T) {
			s := serviced.New("s0", 0)
			p := startProcess(t, s, ready)
			s.SetFaults(serviced.Faults{NoResponse: true})
			s.ClearRuns()
			results := make(chan string, requests)
			for range requests {
				u := startUpload(t, p.address, 0)
				go func() { results <- u.finish() }()
			}
			require.Eventually(t, func() bool { return len(s.Runs()) == requests }, awaitTime, 5*time.Millisecond)
			p.stop()
			p.wait()
			for range requests {
				require.Equal(t, "502 unknown", <-results)
			}
		})
	}
}

// TestCompletionServiceTakesNothingThatItsStopCutsOff stops a process while uploads become whole at any moment of its stop.
func TestCompletionServiceTakesNothingThatItsStopCutsOff(t *testing.T) {
	const (
		uploads = 16
		runTime = 1400 * time.Millisecond
		// slack is the time by which a request may be rejected too early.
		slack = 400 * time.Millisecond
	)
	s := serviced.New("s0", runTime)
	p := startProcess(t, s, true)
	s.ClearRuns()
	var all []upload
	for n := range uploads {
		all = append(all, startUpload(t, p.address, (stopGrace+stopTimeout)*time.Duration(n)/uploads))
	}
	time.Sleep(100 * time.Millisecond) // the process reads the headers
	p.stop()
	results := make([]string, uploads)
	var wg sync.WaitGroup
	for n, u := range all {
		wg.Go(func() { results[n] = u.finish() })
	}
	wg.Wait()
	p.wait()
	served := 0
	for n, result := range results {
		t.Logf("whole at %v: %s", all[n].delay, result)
		if result == "200 complete" {
			served++
			continue
		}
		require.Equal(t, "503 not_run", result, "whole at %v", all[n].delay)
		require.Greater(t, all[n].delay+runTime+slack, stopGrace+stopTimeout, "rejected although there was time")
	}
	require.Len(t, s.Runs(), served, "a rejected request ran")
}

// TestStoppingHelperFinishesRelayedRequests stops a process while requests of another process, which has no path of its own,
// use it to reach their backend server.
func TestStoppingHelperFinishesRelayedRequests(t *testing.T) {
	const runTime = time.Second
	s := serviced.New("s0", runTime)
	p := startProcess(t, s, true)
	s.ClearRuns()
	reg := metrics.NewRegistry()
	sender := attempt.NewSender(reg)
	t.Cleanup(sender.Close)
	client := sender.Client()
	client.SetDial(func(context.Context, string) (net.Conn, error) { return nil, syscall.EHOSTUNREACH })
	transport := peer.NewTransport(&peerpb.Identity{Name: "caller"}, nil, reg, log.NewNopLogger())
	t.Cleanup(transport.Close)
	client.SetPaths(reach.NewDialer(reach.Options{
		Self: "caller", Direct: client.Connect, Instance: func(string) string { return "s0" }, Transport: transport, Metrics: reg, Logger: log.NewNopLogger(),
		Peers: func() []members.Member { return []members.Member{{Name: "p", Peer: p.peer}} },
	}))
	answered := make(chan *attempt.Attempt, 1)
	go func() {
		answered <- sender.Start(t.Context(), attempt.Request{ID: "r", Address: p.backend, Method: http.MethodPost, URI: "/once/x", Header: http.Header{}})
	}()
	require.Eventually(t, func() bool { return len(s.Runs()) == 1 }, awaitTime, 5*time.Millisecond)
	p.stop()
	a := <-answered
	require.Equal(t, charts.AttemptAnswering, a.State(), a.Err())
	_, err := a.ReadAll(1000, func([]byte) error { return nil })
	require.NoError(t, err)
	p.wait()
}
