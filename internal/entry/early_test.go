package entry

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

// TestRefusalDoesNotWaitForTheBody sends the heads of requests that are refused without their bodies, and no bodies.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	f := start(t)
	for name, path := range map[string]string{"no route": "/none/", "reserved path": "/v1/none", "unknown workspace": "/v1/completions"} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
			require.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n")
			require.NoError(t, err)
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			defer resp.Body.Close()
			require.GreaterOrEqual(t, resp.StatusCode, http.StatusBadRequest)
			require.True(t, resp.Close)
		})
	}
}
