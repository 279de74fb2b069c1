package gatewayd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/fleetcaller"
)

// slowUpload is a request whose last byte is sent some time after the stop of its gateway begins.
type slowUpload struct {
	id      string
	conn    net.Conn
	wholeAt time.Duration
	took    time.Duration
	resp    fleetcaller.Response
	err     error
}

func startUpload(t *testing.T, p *process, path, id string, wholeAt time.Duration) *slowUpload {
	t.Helper()
	conn, err := net.Dial("tcp", p.settings.Listen)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	r := fleetcaller.Request{ID: id, Path: path, Body: "xy", Host: "h", Timeout: 20 * time.Second}
	text := r.String()
	_, err = io.WriteString(conn, text[:len(text)-1])
	require.NoError(t, err)
	return &slowUpload{id: id, conn: conn, wholeAt: wholeAt}
}

func (u *slowUpload) finish() {
	time.Sleep(u.wholeAt)
	begun := time.Now()
	if _, u.err = io.WriteString(u.conn, "y"); u.err == nil {
		u.resp, u.err = fleetcaller.ReadResponse(bufio.NewReader(u.conn))
	}
	u.took = time.Since(begun)
}

// TestStopPassesOnNothingThatItCutsOff stops a gateway while uploads become whole at any moment of the grace period. Each
// must end whole or be rejected, without a run, on a connection that closes; those that have time to end must be served.
func TestStopPassesOnNothingThatItCutsOff(t *testing.T) {
	const (
		uploads = 16
		// spread is the time of the grace period of 3 s over which the uploads become whole.
		spread = 2400 * time.Millisecond
		// slack is the time by which a request may be rejected too early.
		slack = 300 * time.Millisecond
		// firstEventTimeout is how long clients of the streaming route wait, firstEventMargin how long before they are rejected.
		firstEventTimeout = 2 * time.Second
		firstEventMargin  = 300 * time.Millisecond
	)
	for _, path := range []string{"/app/x", "/llm/x"} {
		for _, runTime := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond, 2400 * time.Millisecond} {
			t.Run(fmt.Sprint(path[1:4], " ", runTime), func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				for _, e := range d.engines {
					e.ResponseDelay, e.Gap = runTime/2, runTime/4
					if e.Events == 0 {
						e.ResponseDelay = runTime
					}
				}
				p := d.startGateway("a")
				first := startUpload(t, p, path, "first", 0)
				first.finish()
				require.Equal(t, http.StatusOK, first.resp.Status)
				var all []*slowUpload
				for n := range uploads {
					all = append(all, startUpload(t, p, path, fmt.Sprint("u", n), spread*time.Duration(n)/uploads))
				}
				require.Eventually(t, func() bool { return p.daemon.gateway.InFlight() == uploads }, startTimeout, time.Millisecond)
				p.stop()
				var wg sync.WaitGroup
				for _, u := range all {
					wg.Go(u.finish)
				}
				wg.Wait()
				longest := first.took // on a busy host, runs take longer than those of the engines
				for _, u := range all {
					if u.resp.Status == http.StatusOK {
						longest = max(longest, u.took)
					}
				}
				ran := map[string]bool{}
				for _, e := range d.engines {
					for _, run := range e.Runs() {
						ran[run.ID] = true
					}
				}
				for _, u := range all {
					t.Logf("whole at %v: %d, ran %t, %v", u.wholeAt, u.resp.Status, ran[u.id], u.err)
				}
				for _, u := range all {
					require.NoError(t, u.err, "whole at %v", u.wholeAt)
					if u.resp.Status == http.StatusOK {
						continue
					}
					require.Equal(t, http.StatusServiceUnavailable, u.resp.Status, "whole at %v: %s", u.wholeAt, u.resp.Body)
					require.False(t, ran[u.id], "whole at %v", u.wholeAt)
					require.True(t, u.resp.ClosesConnection)
					if u.wholeAt+firstEventMargin > firstEventTimeout && strings.Contains(u.resp.Body, "hopeless") {
						continue // the first event would come after the client has given up
					}
					require.Greater(t, u.wholeAt+longest+exitMargin+slack, p.settings.Bounds.Grace.Std(), "rejected although there was time: runs took up to %v: %s", longest, u.resp.Body)
				}
			})
		}
	}
}

// TestUploadUnderWayAtTheEndOfAStopIsAnswered stops a gateway while the body of a request stays incomplete.
func TestUploadUnderWayAtTheEndOfAStopIsAnswered(t *testing.T) {
	p := newDeployment(t).startGateway("a")
	u := startUpload(t, p, "/app/x", "u", 0)
	require.Eventually(t, func() bool { return p.daemon.gateway.InFlight() == 1 }, startTimeout, time.Millisecond)
	begun := time.Now()
	p.stop()
	resp, err := fleetcaller.ReadResponse(bufio.NewReader(u.conn))
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestTimeout, resp.Status)
	require.Less(t, time.Since(begun), p.settings.Bounds.Grace.Std())
	require.NotContains(t, p.log.String(), "runs=1")
}
