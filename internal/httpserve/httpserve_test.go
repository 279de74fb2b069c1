package httpserve

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// closingListener has each connection call onRead with what was read from it, before the server gets that.
type closingListener struct {
	net.Listener
	onRead func(c *closingConn)
}

// closingConn takes closeTime to close.
type closingConn struct {
	net.Conn
	onRead func(c *closingConn)
	once   sync.Once
	closed chan struct{}
}

const closeTime = 100 * time.Millisecond

func (l closingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &closingConn{Conn: c, onRead: l.onRead, closed: make(chan struct{})}, nil
}

func (c *closingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.onRead(c)
	}
	return n, err
}

func (c *closingConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { close(c.closed); time.Sleep(closeTime) })
	return err
}

// TestRequestOnAConnectionThatIsClosedDoesNotRun shuts a server down in the moment in which a request has been read from an idle
// connection. A client that sees its connection closed without a response repeats the request elsewhere.
func TestRequestOnAConnectionThatIsClosedDoesNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var runs atomic.Int64
	s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) })}
	requests := 0
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		_ = Serve(ctx, s, closingListener{l, func(c *closingConn) {
			if requests++; requests == 2 {
				go func() { _ = Shutdown(ctx, s) }()
				<-c.closed
			}
		}})
	}()
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	in := bufio.NewReader(conn)
	send := func() (answered bool) {
		fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		resp, err := http.ReadResponse(in, nil)
		if err == nil {
			resp.Body.Close()
		}
		return err == nil
	}
	require.True(t, send())
	answered := int64(1)
	if send() {
		answered++
	}
	time.Sleep(2 * closeTime)
	require.Equal(t, answered, runs.Load(), "a request runs if and only if it is answered")
}
