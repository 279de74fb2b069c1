// Package tcpreset tells the end of a stream from the loss of its connection where one goroutine reads a TCP connection while
// another writes to it.
//
// The kernel reports the error of a lost connection once, to the call that meets it first. If that is a write, the next read
// returns io.EOF, as if the other host had ended the stream.
package tcpreset

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// stateClosed is TCP_CLOSE, the state of a socket whose connection has ended in both directions.
const stateClosed = 7

// Dial connects as d does and wraps the connection.
func Dial(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return Wrap(nc), nil
	}
}

// Wrap returns a connection whose reads return io.EOF only if the other host has ended the stream. It returns connections that are
// not sockets as they are.
func Wrap(nc net.Conn) net.Conn {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nc
	}
	return &conn{Conn: nc, socket: sc}
}

// conn remembers the error that a write has taken from the kernel. It embeds only a net.Conn, so that nothing is written past Write.
type conn struct {
	net.Conn
	socket syscall.Conn
	// mu is held during writes.
	mu sync.Mutex
	// lost is the first error of the kernel that a write has met, 0 for none.
	lost syscall.Errno
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.socket.SyscallConn() }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.lost == 0 {
		_ = errors.As(err, &c.lost) // time-outs and the close of this side are no errors of the kernel
	}
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && c.isClosed() {
		if lost := c.lostError(); lost != nil {
			err = lost
		}
	}
	return n, err
}

// isClosed reports whether the connection has ended in both directions, or this side has closed it. Writes then end at once.
func (c *conn) isClosed() bool {
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == stateClosed
	})
	return closed || err != nil
}

// lostError returns the error with which the connection was lost before the other host had ended its stream, nil if it had. It waits
// for a write under way, so isClosed must have returned true.
func (c *conn) lostError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.lost {
	case 0, syscall.EPIPE: // EPIPE stands for a reset after the end of the stream
		return nil
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: c.lost}
}
