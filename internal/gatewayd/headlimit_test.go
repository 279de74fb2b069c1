package gatewayd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLimitOnHeadsFollowsTheConfiguration checks that the configured limit on heads holds from its version on, also if it is
// larger than the default.
func TestLimitOnHeadsFollowsTheConfiguration(t *testing.T) {
	d := newDeployment(t)
	configure := func(version, bytes int) {
		d.store.Set("config", "main", map[string]any{
			"version": version, "limits": map[string]any{"max_header_bytes": bytes}, "services": []map[string]any{{"name": "app"}},
			"routes": []map[string]any{{"name": "r-app", "hostname": "h", "path_prefix": "/app/", "type": "unsafe", "service": "app", "timeout_ms": 3000, "max_attempts": 1}},
		})
	}
	configure(1, 16<<10)
	p := d.startGateway("g-0")
	field := func(bytes int) http.Header { return http.Header{"A": {strings.Repeat("a", bytes)}} }
	status, body := p.send("/app/x", "r-1", field(15<<10))
	require.Equal(t, http.StatusOK, status, body)
	status, _ = p.send("/app/x", "r-2", field(24<<10))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status)
	configure(2, 128<<10)
	d.waitApplied([]*process{p}, 2, 5*time.Second)
	status, body = p.send("/app/x", "r-3", field(127<<10))
	require.Equal(t, http.StatusOK, status, body)
}

// TestSlowClientWithinThePublishedLimitsIsServed has a client send heads of the largest permitted size in nearly the time that they
// may take, and lets its connection rest for four fifths of the time for which it may be idle.
func TestSlowClientWithinThePublishedLimitsIsServed(t *testing.T) {
	const (
		headBytes   = 16384
		headTimeout = 3 * time.Second
		idleTimeout = 15 * time.Second
		parts       = 28
	)
	d := newDeployment(t)
	d.store.Set("config", "main", map[string]any{
		"version": 1, "services": []map[string]any{{"name": "app"}},
		"limits": map[string]any{"max_header_bytes": headBytes, "header_timeout_ms": headTimeout.Milliseconds(), "idle_timeout_ms": idleTimeout.Milliseconds()},
		"routes": []map[string]any{{"name": "r-app", "hostname": "h", "path_prefix": "/app/", "type": "unsafe", "service": "app", "timeout_ms": 3000, "max_attempts": 1}},
	})
	p := d.startGateway("g-0")
	conn, err := net.Dial("tcp", p.settings.Listen)
	require.NoError(t, err)
	defer conn.Close()
	in := bufio.NewReader(conn)
	for n := range 2 {
		if n > 0 {
			time.Sleep(idleTimeout * 4 / 5)
		}
		head := fmt.Sprintf("GET /app/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r-%d\r\n", n)
		for k := 0; len(head) < headBytes-10; k++ {
			head += fmt.Sprintf("a%x:\r\n", k)
		}
		head += "\r\n"
		for size := len(head)/parts + 1; len(head) > 0; head = head[min(size, len(head)):] {
			_, err := io.WriteString(conn, head[:min(size, len(head))])
			require.NoError(t, err)
			time.Sleep(headTimeout / (parts + 2))
		}
		resp, err := http.ReadResponse(in, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
}
