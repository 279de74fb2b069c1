package peer

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// muxSession is a yamux session that only its receiver closes. yamux wakes the streams that wait for data or for room to send
// before it waits for its receiver, and only then marks them as closed; until then these streams loop without a pause, each
// for a whole time slice of the scheduler.
type muxSession struct {
	*yamux.Session
	conn   *sessionConn
	closed atomic.Bool
}

// newSession starts a session on conn; role is yamux.Client or yamux.Server.
func newSession(conn net.Conn, role func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*muxSession, error) {
	c := &sessionConn{Conn: conn, received: make(chan struct{})}
	muxed, err := role(c, sessionConfig())
	if err != nil {
		return nil, err
	}
	s := &muxSession{Session: muxed, conn: c}
	go s.keepAlive()
	return s, nil
}

// sessionConfig disables what closes a session from other goroutines than its receiver's.
func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.StreamOpenTimeout = 0
	cfg.ConnectionWriteTimeout = sessionTimeout
	cfg.StreamCloseTimeout = sessionTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

// Close closes the connection. The receiver then fails and closes the session.
func (s *muxSession) Close() {
	s.closed.Store(true)
	s.conn.closeConn()
}

// IsClosed reports whether the session has ended or is about to.
func (s *muxSession) IsClosed() bool { return s.closed.Load() || s.Session.IsClosed() }

// keepAlive closes the session if the peer does not respond to a keepalive within sessionTimeout.
func (s *muxSession) keepAlive() {
	for {
		select {
		case <-time.After(keepAliveInterval):
		case <-s.CloseChan():
			return
		}
		if _, err := s.Ping(); err != nil {
			s.Close()
			return
		}
	}
}

// sessionConn is the connection of a session.
type sessionConn struct {
	net.Conn
	closeOnce, endOnce sync.Once
	// received is closed when the receiver of the session ends.
	received chan struct{}
}

func (c *sessionConn) closeConn() {
	c.closeOnce.Do(func() { _ = c.Conn.Close() }) // the connection is given up either way
}

func (c *sessionConn) endReceiver() { c.endOnce.Do(func() { close(c.received) }) }

// Read implements net.Conn. Its error ends the receiver.
func (c *sessionConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		c.endReceiver()
	}
	return n, err
}

// Write implements net.Conn. It returns an error only after the receiver has ended, so that the sender does not close the
// session.
func (c *sessionConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.closeConn()
		<-c.received
	}
	return n, err
}

// Close implements net.Conn for yamux. It does not block, since the streams of the session are not closed yet.
func (c *sessionConn) Close() error {
	c.endReceiver()
	go c.closeConn()
	return nil
}
