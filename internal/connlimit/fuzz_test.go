package connlimit

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// maxFuzzBytes keeps the inputs below the limits on heads, beyond which the limited server has responses of its own.
const maxFuzzBytes = 16 << 10

// FuzzRequestHead sends bytes in two parts to a server with a limiter and to one without, and compares all that comes back.
func FuzzRequestHead(f *testing.F) {
	limiter := New(Options{HeadMemory: headMemory, Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger()})
	serve := func(limited bool) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(f, err)
		release := make(chan struct{})
		close(release)
		s := &http.Server{Handler: echo(release)}
		if limited {
			ln := limiter.Listen("test", l, Bounds{Descriptors: unlimited, PerRequest: 1})
			ln.Configure(s)
			l = ln
		}
		go func() { _ = s.Serve(l) }()
		f.Cleanup(func() { _ = s.Close() })
		return l.Addr().String()
	}
	plain, limited := serve(false), serve(true)
	for _, text := range []string{
		head("/x") + "\r\n", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nabGET /y HTTP/1.1\r\nHost: h\r\n\r\n", "\r\n\r\n", "GET / HTTP/1.0\n\n",
		"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;e\r\na\r\n0\r\nT: x\r\n\r\n", "GET /x HTTP/1.1\r\nHost: h\r\na: b\r\n c\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"POST /refused HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n", "GET /x HTTP/1.1\r\nHost: h\r\n\x00: \x80\r\n\r\n",
	} {
		f.Add(text, len(text)/2)
	}
	f.Fuzz(func(t *testing.T, text string, split int) {
		if len(text) > maxFuzzBytes || strings.Contains(text, "/held") || strings.Contains(text, "/large") {
			t.Skip()
		}
		split = max(0, min(split, len(text)))
		parts := []string{text[:split], text[split:]}
		require.Equal(t, responses(t, plain, parts), responses(t, limited, parts))
		require.Eventually(t, func() bool { return limiter.HeadMemory() == 0 }, 10*time.Second, time.Millisecond, "memory is returned")
	})
}

// responses sends parts of a text on a connection and returns what comes back.
func responses(t *testing.T, address string, parts []string) string {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	for _, part := range parts {
		if _, err := io.WriteString(c, part); err != nil {
			break // the server has closed the connection
		}
	}
	_ = c.(*net.TCPConn).CloseWrite()
	out, _ := io.ReadAll(c) // a reset may follow the response
	return dates.ReplaceAllString(string(out), "")
}
