package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"testing"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/fault"
)

// TestMalformedHeadsAreQuotedOnlyInTheLog has an instance send heads that cannot be read. Clients see the errors of the package.
func TestMalformedHeadsAreQuotedOnlyInTheLog(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX\x01Private: b\r\n\r\n", "HTTP/1.1 200 OK\r\nPrivate\r\n\r\n", "HTTP/1.1 2Private OK\r\n\r\n", "Private/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: Private\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: Private\r\n\r\n",
	} {
		address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
			_, _, _ = readRequest(r)
			_, _ = io.WriteString(c, head)
		})
		reg, out := metrics.NewRegistry(), &bytes.Buffer{}
		client := New(reg)
		client.SetLogger(log.NewLogfmtLogger(out))
		_, err := client.Do(t.Context(), request(address, "r-1", ""))
		require.True(t, fault.Is(err, fault.Unknown), "%q: %v", head, err)
		require.ErrorIs(t, err, errMalformedHead)
		require.NotContains(t, err.Error(), "Private")
		require.Contains(t, out.String(), "Private")
		require.Contains(t, out.String(), "request=r-1")
		require.EqualValues(t, 1, reg.Get("upstream.malformed_heads").(metrics.Counter).Count())
	}
}
