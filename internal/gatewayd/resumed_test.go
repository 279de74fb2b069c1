package gatewayd

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
)

// runTimes records when the runs of all engines began and ended, by request ID.
type runTimes struct {
	mu           sync.Mutex
	begun, ended map[string]time.Time
}

// record returns a handler that records the runs of an engine.
func (r *runTimes) record(e *fleetengine.Engine) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		id := req.Header.Get("X-Request-Id")
		r.set(r.begun, id)
		defer r.set(r.ended, id)
		e.ServeHTTP(w, req)
	}
}

func (r *runTimes) set(times map[string]time.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	times[id] = time.Now()
}

// TestResumedStreamHasEndedAtItsFormerEngine has clients leave their streams and resume them at another process at once. One of the
// processes reaches the engines through the others only.
func TestResumedStreamHasEndedAtItsFormerEngine(t *testing.T) {
	const (
		streams = 30
		// maxOverlap is how long the former run may continue beside the one that resumes it.
		maxOverlap = 400 * time.Millisecond
	)
	d := newDeployment(t)
	d.removeEngine("i-2")
	d.removeEngine("i-3")
	times := &runTimes{begun: map[string]time.Time{}, ended: map[string]time.Time{}}
	for n := range 3 {
		e := fleetengine.New(fmt.Sprint("timed-", n), fleetengine.StageDecode)
		e.Software, e.Events, e.Gap = "v1", streamEvents, 250*time.Millisecond
		s := httptest.NewServer(times.record(e))
		t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
		d.registerEngine(e, s.Listener.Addr().String(), "ready")
	}
	path := newEnginePath()
	d.prepare = func(p *process) {
		if p.settings.Name == "a" {
			p.daemon.client.SetDial(path.dial)
		}
	}
	all := []*process{d.startGateway("a"), d.startGateway("b"), d.startGateway("c")}
	path.cut(cutReset, nil)
	clients := beginStreams(t, all, streams, 2)
	clients.disconnect()
	clients.ended.Wait()
	_, continued := clients.resume([]*process{all[1], all[2], all[0]})
	require.GreaterOrEqual(t, float64(continued), 0.95*streams)
	require.Contains(t, all[0].log.String(), "via=")
	longest, relayed := time.Duration(0), time.Duration(0)
	times.mu.Lock()
	defer times.mu.Unlock()
	for n, r := range clients.all {
		begun, ok := times.begun[fmt.Sprint("r-", n)]
		if !ok {
			continue
		}
		ended, ok := times.ended[r.begunBy]
		require.True(t, ok, "%s still runs", r.begunBy)
		overlap := ended.Sub(begun)
		longest = max(longest, overlap)
		if n%len(all) == 0 { // begun at the first process
			relayed = max(relayed, overlap)
		}
		require.LessOrEqual(t, overlap, maxOverlap, r.begunBy)
	}
	t.Logf("%d of %d streams continued; the former runs ended up to %s after the new ones began, %s of those that were relayed", continued, streams, longest, relayed)
}
