package orders

import (
	"context"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/engine/httpcontrol"
	"github.com/rockdoor/rockdoor/guard"
	"github.com/rockdoor/rockdoor/internal/tcpreset"
	"github.com/rockdoor/rockdoor/lease"
)

const (
	// MaxInFlightTime is how long bytes that were passed to the kernel may remain in flight. If
	// they are not acknowledged by then, the kernel drops the connection.
	MaxInFlightTime = 500 * time.Millisecond
	// writeMargin is the minimum remaining time of a grant for a write under it.
	writeMargin = MaxInFlightTime + 100*time.Millisecond
	sendTimeout = 3 * time.Second
)

// GuardedSender sends orders over HTTP. Each order has a connection of its own.
// Package guard ensures that no write happens after the end of the grant. The
// kernel drops the connection if bytes are not acknowledged within
// MaxInFlightTime, and closing the connection resets it.
type GuardedSender struct{}

var _ Sender = GuardedSender{}

// Send implements Sender.
func (GuardedSender) Send(ctx context.Context, g lease.Grant, address string, o engine.Order) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	tr := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return dialGuarded(ctx, network, address, g)
		},
	}
	defer tr.CloseIdleConnections()
	return httpcontrol.New(tr).Send(ctx, address, o)
}

// guardedConn is a connection whose writes fail after the end of the grant.
type guardedConn struct {
	net.Conn
	grant lease.Grant
}

func dialGuarded(ctx context.Context, network, address string, g lease.Grant) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if err := limitInFlight(conn.(*net.TCPConn)); err != nil {
		conn.Close()
		return nil, err
	}
	return &guardedConn{Conn: tcpreset.Wrap(conn), grant: g}, nil
}

// limitInFlight makes the kernel drop the connection if bytes are not acknowledged
// within MaxInFlightTime, and discard unsent bytes when the connection is closed.
func limitInFlight(c *net.TCPConn) error {
	if err := c.SetLinger(0); err != nil {
		return err
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(MaxInFlightTime.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// Write passes an order to the kernel if the grant is still valid. The write does
// not block, since an order is much smaller than the empty send buffer.
func (c *guardedConn) Write(p []byte) (n int, err error) {
	err = guard.Do(c.grant.Until, writeMargin, func() error {
		n, err = c.Conn.Write(p)
		return err
	})
	return n, err
}
