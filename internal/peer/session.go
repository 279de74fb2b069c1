package peer

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/rockdoor/rockdoor/fault"
)

// muxSession is a yamux session that only its receiver closes. yamux wakes the streams that wait for data or for room to send
// before it waits for its receiver, and only then marks them as closed; until then these streams loop without a pause, each
// for a whole time slice of the scheduler.
type muxSession struct {
	*yamux.Session
	conn   *sessionConn
	closed atomic.Bool
	// established is closed when a valid call has arrived, slots has an entry for each stream that was accepted before.
	established chan struct{}
	establishes sync.Once
	slots       chan struct{}
}

const (
	// muxHeaderBytes is the size of the header of a yamux frame, whose first byte is the version of the protocol.
	muxHeaderBytes  = 12
	protocolVersion = 0
	// The types of frames that can come first. Each of them opens a stream or pings, so it has the flag openFlag.
	dataFrame, windowFrame, pingFrame = 0, 1, 2
	openFlag                          = 1
	// firstFrameTimeout is longer than the time after which a peer that calls nothing sends a keepalive.
	firstFrameTimeout = 2 * keepAliveInterval
	// maxEarlyStreams limits the streams of a session on which no valid call has arrived yet. Others wait.
	maxEarlyStreams = 32
)

// readFirstFrame reads the header of the first frame of a connection. Whatever is no peer is recognized by it, before the
// connection gets the buffers of a session.
func readFirstFrame(conn net.Conn) ([]byte, error) {
	if err := conn.SetReadDeadline(time.Now().Add(firstFrameTimeout)); err != nil {
		return nil, err
	}
	frame := make([]byte, muxHeaderBytes)
	if _, err := io.ReadFull(conn, frame); err != nil {
		return nil, err
	}
	kind, flags := frame[1], binary.BigEndian.Uint16(frame[2:])
	if frame[0] != protocolVersion || kind != dataFrame && kind != windowFrame && kind != pingFrame || flags&openFlag == 0 {
		return nil, fault.New(fault.Invalid, "connection does not begin with a frame of a peer", "check which program connects to the address of peers")
	}
	return frame, conn.SetReadDeadline(time.Time{})
}

// newSession starts a session on conn, from which the given bytes have been read; role is yamux.Client or yamux.Server.
func newSession(conn net.Conn, read []byte, role func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*muxSession, error) {
	c := &sessionConn{Conn: conn, read: read, received: make(chan struct{})}
	muxed, err := role(c, sessionConfig())
	if err != nil {
		return nil, err
	}
	s := &muxSession{Session: muxed, conn: c, established: make(chan struct{}), slots: make(chan struct{}, maxEarlyStreams)}
	go s.keepAlive()
	return s, nil
}

// establish states that a valid call has arrived.
func (s *muxSession) establish() {
	s.establishes.Do(func() {
		close(s.established)
		if limited, ok := s.conn.Conn.(interface{ Established() }); ok {
			limited.Established()
		}
	})
}

// awaitSlot waits until another stream may be served. The caller must call release when the stream has ended.
func (s *muxSession) awaitSlot() (release func()) {
	select {
	case <-s.established:
		return func() {}
	default:
	}
	select {
	case s.slots <- struct{}{}:
		return func() { <-s.slots }
	case <-s.established:
	case <-s.CloseChan():
	}
	return func() {}
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
	// read has bytes that were read from the connection before.
	read               []byte
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
	if len(c.read) > 0 {
		n := copy(b, c.read)
		c.read = c.read[n:]
		return n, nil
	}
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
