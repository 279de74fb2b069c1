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
	"github.com/rockdoor/rockdoor/lease"
)

const (
	// FlightTime bounds how long bytes that were handed to the kernel may still
	// be on their way: the kernel gives the connection up after it.
	FlightTime = 500 * time.Millisecond
	// writeMargin is how long before the end of a grant the last write may be.
	writeMargin = FlightTime + 100*time.Millisecond
	giveTimeout = 3 * time.Second
)

// GuardedSender gives orders over HTTP. Each order has a connection of its own,
// whose writes happen under the kernel deadline guard, whose unacknowledged
// bytes are given up after FlightTime, and which is reset when it is closed.
type GuardedSender struct{}

var _ Sender = GuardedSender{}

// Send implements Giver.
func (GuardedSender) Send(ctx context.Context, g lease.Grant, address string, o engine.Order) error {
	ctx, cancel := context.WithTimeout(ctx, giveTimeout)
	defer cancel()
	tr := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return dialGuarded(ctx, network, address, g)
		},
	}
	defer tr.CloseIdleConnections()
	return httpcontrol.New(tr).Give(ctx, address, o)
}

// guardedConn writes only under the guard.
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
	if err := boundFlight(conn.(*net.TCPConn)); err != nil {
		conn.Close()
		return nil, err
	}
	return &guardedConn{Conn: conn, grant: g}, nil
}

// boundFlight makes the kernel drop what is not acknowledged within FlightTime,
// and what is unsent when the connection is closed.
func boundFlight(c *net.TCPConn) error {
	if err := c.SetLinger(0); err != nil {
		return err
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var serr error
	err = raw.Control(func(fd uintptr) {
		serr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(FlightTime.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return serr
}

// Write hands an order to the kernel if the grant still holds. An order is far
// smaller than an empty send buffer, so the write does not block.
func (c *guardedConn) Write(p []byte) (n int, err error) {
	err = guard.Do(c.grant.Until, writeMargin, func() error {
		n, err = c.Conn.Write(p)
		return err
	})
	return n, err
}
