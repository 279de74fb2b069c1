package tcpreset

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

const (
	part = "part of a response"
	// settleTime is long enough for a segment to arrive on the same host.
	settleTime = 20 * time.Millisecond
	// shortUserTimeout is how long the client's kernel waits for the other host to take what is written, where a test sets it.
	shortUserTimeout = 300 * time.Millisecond
)

// connect returns a wrapped connection to a server that sends a part of a response and ends the connection with end. userTimeout is
// the time-out of the client's kernel, 0 for its default.
func connect(t *testing.T, userTimeout time.Duration, end func(c *net.TCPConn)) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		})
	}}
	c, err := Dial(&d)(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	server, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	_, err = io.WriteString(server, part)
	require.NoError(t, err)
	end(server.(*net.TCPConn))
	time.Sleep(settleTime)
	return c
}

// writeUntilError writes until a write fails.
func writeUntilError(c net.Conn) error {
	for chunk := make([]byte, 64<<10); ; {
		if _, err := c.Write(chunk); err != nil {
			return err
		}
	}
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// TestReadReportsWhatAWriteHasMet has a write meet the loss of a connection before the read does.
func TestReadReportsWhatAWriteHasMet(t *testing.T) {
	for name, c := range map[string]struct {
		userTimeout time.Duration
		end         func(c *net.TCPConn)
		write, read error
	}{
		"reset": {0, reset, syscall.ECONNRESET, syscall.ECONNRESET},
		"nothing is read, until the time-out of the kernel": {shortUserTimeout, func(*net.TCPConn) {}, syscall.ETIMEDOUT, syscall.ETIMEDOUT},
		"reset after the end of the stream": {0, func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(settleTime)
			reset(c)
		}, syscall.EPIPE, nil},
	} {
		t.Run(name, func(t *testing.T) {
			conn := connect(t, c.userTimeout, c.end)
			require.ErrorIs(t, writeUntilError(conn), c.write)
			require.Error(t, writeUntilError(conn), "a second error must not hide the first one")
			text, err := io.ReadAll(conn)
			require.Equal(t, part, string(text), "what had arrived is read")
			if c.read == nil {
				require.NoError(t, err)
			} else {
				require.ErrorIs(t, err, c.read)
			}
		})
	}
}

// TestReadMeetsTheErrorItself reads a connection on which nothing is written.
func TestReadMeetsTheErrorItself(t *testing.T) {
	text, err := io.ReadAll(connect(t, 0, reset))
	require.Equal(t, part, string(text))
	require.ErrorIs(t, err, syscall.ECONNRESET)
	text, err = io.ReadAll(connect(t, 0, func(c *net.TCPConn) { _ = c.CloseWrite() }))
	require.Equal(t, part, string(text))
	require.NoError(t, err)
}

// TestEndOfTheStreamDoesNotWaitForAWrite reads the end of a stream while a write cannot go on.
func TestEndOfTheStreamDoesNotWaitForAWrite(t *testing.T) {
	conn := connect(t, 0, func(c *net.TCPConn) { _ = c.CloseWrite() })
	written := make(chan error, 1)
	go func() { written <- writeUntilError(conn) }()
	text, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, part, string(text))
	select {
	case err := <-written:
		t.Fatalf("the write has ended: %v", err)
	default:
	}
}

// TestConnectionsThatAreNoSocketsStayAsTheyAre wraps one end of a pipe.
func TestConnectionsThatAreNoSocketsStayAsTheyAre(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	defer near.Close()
	require.Same(t, near, Wrap(near))
}
