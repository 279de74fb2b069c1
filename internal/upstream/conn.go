package upstream

import (
	"bufio"
	"context"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/peer"
	"github.com/rockdoor/rockdoor/internal/tcpqueue"
)

const (
	// dialTimeout bounds the setup of a connection. Instances are a few milliseconds away.
	// A lost SYN packet is retransmitted only after one second, and by then it is better to
	// use another instance.
	dialTimeout = 400 * time.Millisecond
	// userTimeout is the TCP_USER_TIMEOUT: the kernel closes a connection whose sent bytes
	// are not acknowledged for this long, which detects an unreachable host.
	userTimeout = 1200 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect within about 2.5 seconds
	// that a host became unreachable while a response from it was pending.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	readBufferBytes   = 4 << 10
	// maxRequestsPerConn bounds the IDs that a connection remembers, 8 KB. A new connection for one in a thousand requests
	// costs little.
	maxRequestsPerConn = 1024
	// maxHeadBytes bounds what is read until the headers of the right response are complete: heads, hints, and responses
	// to other requests without their bodies. Heads of instances have some hundred bytes.
	maxHeadBytes = 64 << 10
)

// errHeadTooLarge is returned by reads of a head that exceeds its limit.
var errHeadTooLarge = fault.Newf(fault.Exhausted, "check the instance", "response header is larger than %d bytes", maxHeadBytes)

// conn is one connection to an instance. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// number tells the connections of the process apart in its log.
	number uint64
	// ids has hashes of the IDs of the requests that the connection has carried, including the one under way.
	ids []uint64
	// headLimit is how many bytes of a head may still be read from the connection, negative for no limit. It is used by
	// the goroutine that reads.
	headLimit int
	// head looks at what is read while headLimit is not negative.
	head headScanner
	// headErr is the error that ended reading the current head, nil if its bytes have arrived.
	headErr error
	// wrote is true once a byte of the current request may have been sent.
	wrote atomic.Bool
	// idleSince is when the connection became idle. It may be reused until idleTimeout later.
	idleSince   time.Time
	idleTimeout time.Duration
}

// helper returns the name of the process that relays the connection, empty if it is direct.
func (c *conn) helper() string {
	if relayed, ok := c.Conn.(*peer.RelayedConn); ok {
		return relayed.Helper()
	}
	return ""
}

// hasCarried reports whether the connection has carried a request with an ID, or one whose hash is the same.
func (c *conn) hasCarried(id uint64) bool { return slices.Contains(c.ids, id) }

// idSeed makes the hashes of IDs differ in each process.
var idSeed = maphash.MakeSeed()

func hashOf(id string) uint64 { return maphash.String(idSeed, id) }

// evidence returns the evidence of the request under way before any response.
func (c *conn) evidence() Evidence {
	return Evidence{Conn: c.number, Carried: len(c.ids) - 1, Helper: c.helper(), Attribution: NoResponse}
}

// unacknowledgedBytes returns the number of sent bytes that the other host, or the process that relays the connection,
// has not acknowledged.
func (c *conn) unacknowledgedBytes() int { return tcpqueue.Unacknowledged(c.Conn) }

// Write implements net.Conn. It sets wrote before the first byte of a request is passed to the kernel.
func (c *conn) Write(p []byte) (int, error) {
	c.wrote.Store(true)
	return c.Conn.Write(p)
}

// Read implements net.Conn. It fails once a head has reached its limit.
func (c *conn) Read(p []byte) (int, error) {
	if c.headLimit < 0 {
		return c.Conn.Read(p)
	}
	if c.headLimit == 0 {
		c.headErr = errHeadTooLarge
		return 0, c.headErr
	}
	n, err := c.Conn.Read(p[:min(len(p), c.headLimit)])
	c.headLimit -= n
	c.head.scan(p[:n])
	c.headErr = err
	return n, err
}

// readHead reads the head of a response of at most *limit bytes, from which it subtracts what it reads.
func (c *conn) readHead(forMethod *http.Request, limit *int) (*http.Response, error) {
	c.head, c.headErr = headScanner{}, nil
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // an error is impossible
	c.head.scan(buffered)
	c.headLimit = *limit
	resp, err := http.ReadResponse(c.reader, forMethod)
	*limit, c.headLimit = c.headLimit, -1
	if err != nil {
		return nil, err
	}
	return resp, checkHead(resp, &c.head)
}

// DialFunc opens a connection to the address of an instance.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// dialDirect connects to an address from this host.
func dialDirect(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw) },
	}
	return d.DialContext(ctx, "tcp", address)
}

func newConn(nc net.Conn, number uint64) *conn {
	c := &conn{Conn: nc, number: number, headLimit: -1}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

func setUserTimeout(raw syscall.RawConn) error {
	var serr error
	err := raw.Control(func(fd uintptr) {
		serr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, serr)
}

// usable reports whether an idle connection can be used for another request: its idle timeout
// has not passed, it was not closed, and no unexpected data has arrived on it.
func (c *conn) usable(now time.Time) bool {
	if now.Sub(c.idleSince) > c.idleTimeout || c.reader.Buffered() > 0 {
		return false
	}
	if relayed, ok := c.Conn.(*peer.RelayedConn); ok {
		return relayed.Idle()
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

// discardBody reads a body and discards it. It fails if the body has limit bytes or more.
func discardBody(body io.Reader, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit))
	if err == nil && n == limit {
		return errors.New("body is too long to be discarded")
	}
	return err
}
