// Package cut implements a proxy that ends connections in the middle of a response.
package cut

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// resetDelay is the time between the last byte of a response and the reset of its connection.
const resetDelay = 2 * time.Millisecond

// Proxy forwards connections to a target and ends each after a number of bytes from the target.
type Proxy struct {
	target string
	// after is negative for no limit.
	after atomic.Int64
	reset atomic.Bool
}

// New returns a proxy that ends no connection.
func New(target string) *Proxy {
	p := &Proxy{target: target}
	p.after.Store(-1)
	return p
}

// CutAfter has connections end after n bytes, with a reset or in the usual way.
func (p *Proxy) CutAfter(n int, reset bool) {
	p.after.Store(int64(n))
	p.reset.Store(reset)
}

// Serve accepts connections until the listener is closed.
func (p *Proxy) Serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

func (p *Proxy) forward(conn net.Conn) {
	defer conn.Close()
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer target.Close()
	go func() {
		_, _ = io.Copy(target, conn) // until either connection ends
		_ = target.Close()
	}()
	after := p.after.Load()
	if after < 0 {
		_, _ = io.Copy(conn, target)
		return
	}
	_, _ = io.CopyN(conn, target, after)
	if tcp, ok := conn.(*net.TCPConn); ok && p.reset.Load() {
		time.Sleep(resetDelay) // the bytes must have arrived
		_ = tcp.SetLinger(0)
	}
}
