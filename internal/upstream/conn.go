package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds a new connection. Instances are a few milliseconds
	// away; a lost opening packet is sent again only after a second, by which
	// time another instance is the better choice.
	dialTimeout = 400 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged before the
	// kernel gives a connection up, so that a dark host is noticed.
	userTimeout = 1200 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a host that went
	// dark while its answer was awaited, within about two and a half seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	readBufferBytes   = 4 << 10
)

// conn is one connection to an instance. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// wrote is true once a byte of the present request may have left.
	wrote atomic.Bool
	// idleSince and idleFor bound how long the connection may be reused.
	idleSince time.Time
	idleFor   time.Duration
}

// Write marks the request as begun before its first byte is handed over.
func (c *conn) Write(p []byte) (int, error) {
	c.wrote.Store(true)
	return c.Conn.Write(p)
}

func dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw) },
	}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc}
	c.reader = bufio.NewReaderSize(nc, readBufferBytes)
	return c, nil
}

func setUserTimeout(raw syscall.RawConn) error {
	var serr error
	err := raw.Control(func(fd uintptr) {
		serr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, serr)
}

// usable reports whether an idle connection can carry another request: it has
// not rested too long, was not closed, and nothing arrived that nobody asked for.
func (c *conn) usable(now time.Time) bool {
	if now.Sub(c.idleSince) > c.idleFor || c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var n int
	var rerr error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, rerr = unix.Read(int(fd), b[:])
		return true
	})
	return err == nil && n <= 0 && (errors.Is(rerr, unix.EAGAIN) || errors.Is(rerr, unix.EWOULDBLOCK))
}

// skip reads and drops at most limit bytes of a body that is not wanted.
func skip(body io.Reader, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit))
	if err == nil && n == limit {
		return errors.New("body is too long to be skipped")
	}
	return err
}

// RefusesConnections reports whether a new connection to an address is refused: its host lives, and
// nothing listens there.
func (c *Client) RefusesConnections(ctx context.Context, address string) bool {
	cn, err := dial(ctx, address)
	if err == nil {
		_ = cn.Close() // nothing was sent
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
