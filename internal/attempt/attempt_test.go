package attempt

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/engine/openai"
	"github.com/rockdoor/rockdoor/internal/charts"
)

// TestLateRejectionIsNotTaken has a target reject a request without stating its ID while the next one on the connection runs.
func TestLateRejectionIsNotTaken(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveWithLateRejections(conn)
		}
	}()
	s := NewSender(metrics.NewRegistry())
	defer s.Close()
	for _, id := range []string{"a-1", "b-1", "c-1"} {
		a := s.Start(t.Context(), Request{ID: id, Address: l.Addr().String(), Method: http.MethodPost, URI: "/", Header: http.Header{}})
		require.Equal(t, charts.AttemptAnswering, a.State(), "%s: %v", id, a.Err())
		body, err := a.ReadAll(100, func([]byte) error { return nil })
		require.NoError(t, err)
		require.Equal(t, id, string(body))
	}
}

func serveWithLateRejections(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for late := ""; ; late = "HTTP/1.1 503 Service Unavailable\r\n" + openai.NotRunHeader + ": 1\r\nContent-Length: 0\r\n\r\n" {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get(openai.AttemptHeader)
		_, _ = io.WriteString(conn, late)
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+openai.AttemptHeader+": "+id+"\r\nContent-Length: 3\r\n\r\n"+id)
	}
}
