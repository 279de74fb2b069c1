package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRefusalDoesNotWaitForTheBody sends the heads of requests that are refused without their bodies, and no bodies. The
// connection is closed after the response, since a body may still arrive on it.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	r := newHarness(t, harnessOptions{plain: engines("", "i-1")})
	for name, c := range map[string]struct {
		path, field string
		status      int
	}{
		"no route":                {"/none/", "Content-Length: 5", http.StatusNotFound},
		"no route, chunks":        {"/none/", "Transfer-Encoding: chunked", http.StatusNotFound},
		"no route, expects 100":   {"/none/", "Content-Length: 5\r\nExpect: 100-continue", http.StatusNotFound},
		"bad deadline":            {pathIdempotent, "Content-Length: 5\r\nX-Deadline-Ms: x", http.StatusBadRequest},
		"bad deadline, long body": {pathIdempotent, "Content-Length: 1000000\r\nX-Deadline-Ms: x", http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
			require.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, "POST "+c.path+" HTTP/1.1\r\nHost: "+testHost+"\r\nX-Request-Id: r\r\n"+c.field+"\r\n\r\n")
			require.NoError(t, err)
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			defer resp.Body.Close()
			require.Equal(t, c.status, resp.StatusCode)
			require.True(t, resp.Close)
		})
	}
}
