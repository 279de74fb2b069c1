package gatewayd

import (
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
