package attempt

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	dialTimeout   = 500 * time.Millisecond
	tcpKeepAlive  = 15 * time.Second
	maxIdlePer    = 256
	idleKeepAlive = 60 * time.Second
)

var errSealed = errors.New("connection was given up before the request was written")

// sealableConn knows whether anything was written to it since the request that
// holds it got it, and can be sealed, after which nothing is written any more.
// That makes "no byte of this request left the process" a fact and not a race.
type sealableConn struct {
	net.Conn
	mu     sync.Mutex
	began  bool
	sealed bool
}

// Write marks the request as begun before the first byte is handed over.
func (c *sealableConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.began = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// acquire prepares the connection for its next request.
func (c *sealableConn) acquire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.began = false
}

// seal forbids all further writes and reports whether the request had begun.
func (c *sealableConn) seal() (began bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.began
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: tcpKeepAlive}
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &sealableConn{Conn: conn}, nil
}
