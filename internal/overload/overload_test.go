package overload

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

func newTestShedder() *Shedder {
	return New(Options{MayShed: func() bool { return true }, Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger()})
}

func setShare(s *Shedder, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share = share
}

// TestShedShareFollowsTheDelay replays the delays of a process that gets seven times its usual connections for a while, and
// of one with a processor quota.
func TestShedShareFollowsTheDelay(t *testing.T) {
	s := newTestShedder()
	for range 1000 {
		s.sample(100*time.Millisecond, true)
		require.Zero(t, s.Share(), "a quota is no overload")
	}
	for range 20 {
		s.sample(400*time.Millisecond, true)
	}
	require.Equal(t, maxShare, s.Share(), "some connections are always taken")
	for range 40 {
		s.sample(time.Millisecond, true)
	}
	require.Zero(t, s.Share())
	for range 20 {
		s.sample(400*time.Millisecond, false)
	}
	require.Zero(t, s.Share(), "there is no other host")
}

// TestShedConnectionsAreClosedUnread checks that a client of a shed connection gets no response, and that others are served.
func TestShedConnectionsAreClosedUnread(t *testing.T) {
	s := newTestShedder()
	var requests atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
	server.Listener = s.Listener(server.Listener)
	server.Start()
	defer server.Close()
	send := func() bool {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n") // it may be closed already
		body, _ := io.ReadAll(conn)
		return len(body) > 0
	}
	require.True(t, send())
	setShare(s, 1)
	require.False(t, send())
	require.EqualValues(t, 1, requests.Load())
	setShare(s, 0)
	require.Eventually(t, send, time.Second, 20*time.Millisecond)
}
