package peer

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/internal/tcpreset"
)

// pipeRelay connects each caller to the far end of a pipe, which is sent to accepted.
type pipeRelay struct {
	accepted chan net.Conn
	mu       sync.Mutex
	requests []string
	done     atomic.Int64
	// unacknowledged is what the near end reports.
	unacknowledged atomic.Int64
}

var connected = &peerpb.Connected{Status: peerpb.ConnectStatus_CONNECT_STATUS_CONNECTED}

// reportingConn tells what its relay says of unacknowledged bytes.
type reportingConn struct {
	net.Conn
	relay *pipeRelay
}

func (c reportingConn) UnacknowledgedBytes() int { return int(c.relay.unacknowledged.Load()) }

func (r *pipeRelay) Connect(context.Context, string, *peerpb.Connect) (net.Conn, *peerpb.Connected) {
	near, far := net.Pipe()
	r.accepted <- far
	return reportingConn{near, r}, connected
}

func (r *pipeRelay) Request(_ string, _ *peerpb.Connect, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, id)
}

func (r *pipeRelay) Done() { r.done.Add(1) }

// relayedPair returns a relayed connection and its far end, at which the instance would be.
func relayedPair(t *testing.T) (c *RelayedConn, far net.Conn, r *pipeRelay, helper *Transport) {
	t.Helper()
	r = &pipeRelay{accepted: make(chan net.Conn, 1)}
	helper, address := serve(t, echo)
	helper.SetRelay(r)
	caller, _ := serve(t, echo)
	c, status, err := caller.Connect(context.Background(), address, &peerpb.Connect{Address: "i:1"})
	require.NoError(t, err)
	require.Equal(t, peerpb.ConnectStatus_CONNECT_STATUS_CONNECTED, status.GetStatus())
	require.True(t, caller.MayRelay(address))
	t.Cleanup(func() { c.Close() })
	return c, <-r.accepted, r, helper
}

func TestRelayedBytesArriveBothWays(t *testing.T) {
	c, far, r, _ := relayedPair(t)
	long := strings.Repeat("x", 3*maxFrameBytes+5)
	require.NoError(t, c.BeginRequest("id-1"))
	go func() {
		got := make([]byte, len(long))
		_, _ = io.ReadFull(far, got)
		_, _ = far.Write(got)
	}()
	_, err := c.Write([]byte(long))
	require.NoError(t, err)
	got := make([]byte, len(long))
	_, err = io.ReadFull(c, got)
	require.NoError(t, err)
	require.Equal(t, long, string(got))
	require.Eventually(t, func() bool { return c.Idle() && c.UnacknowledgedBytes() == 0 }, time.Second, time.Millisecond, "all bytes are acknowledged and read")
	require.Equal(t, []string{"id-1"}, r.requests)
	far.Close()
	_, err = c.Read(got)
	require.ErrorIs(t, err, io.EOF)
	require.False(t, c.Idle())
}

// TestLostHelperIsNoEndOfTheResponse guards against a truncated response without a length that looks complete.
func TestLostHelperIsNoEndOfTheResponse(t *testing.T) {
	c, far, _, helper := relayedPair(t)
	go func() { _, _ = far.Write([]byte("part")) }()
	got := make([]byte, 4)
	_, err := io.ReadFull(c, got)
	require.NoError(t, err)
	go helper.Close()
	_, err = c.Read(got)
	require.True(t, errors.Is(err, ErrRelayLost), "%v", err)
	require.False(t, errors.Is(err, io.EOF), "%v", err)
}

// tcpRelay connects each caller to an instance over TCP.
type tcpRelay struct{ address string }

func (r tcpRelay) Connect(context.Context, string, *peerpb.Connect) (net.Conn, *peerpb.Connected) {
	conn, err := tcpreset.Dial(&net.Dialer{})(context.Background(), "tcp", r.address)
	if err != nil {
		return nil, &peerpb.Connected{Status: peerpb.ConnectStatus_CONNECT_STATUS_UNREACHABLE}
	}
	return conn, connected
}

func (r tcpRelay) Request(string, *peerpb.Connect, string) {}
func (r tcpRelay) Done()                                   {}

// TestResetInstanceIsNoEndOfTheResponse guards against a stream of a crashed engine that looks complete.
func TestResetInstanceIsNoEndOfTheResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	helper, address := serve(t, echo)
	helper.SetRelay(tcpRelay{l.Addr().String()})
	caller, _ := serve(t, echo)
	c, _, err := caller.Connect(context.Background(), address, &peerpb.Connect{Address: "i:1"})
	require.NoError(t, err)
	defer c.Close()
	far, err := l.Accept()
	require.NoError(t, err)
	_, err = far.Write([]byte("part"))
	require.NoError(t, err)
	got := make([]byte, 4)
	_, err = io.ReadFull(c, got)
	require.NoError(t, err)
	require.NoError(t, far.(*net.TCPConn).SetLinger(0))
	far.Close()
	_, err = c.Read(got)
	require.ErrorIs(t, err, errReset)
	require.False(t, errors.Is(err, io.EOF), "%v", err)
}

// TestResponsesDuringAnUploadOverARelayedConnection has an instance respond, and end its connection, while the caller sends a long
// request.
func TestResponsesDuringAnUploadOverARelayedConnection(t *testing.T) {
	const runs, upload = 20, 4 << 20
	long := strings.Repeat("response ", 5_000) // more than the helper reads at once
	for name, c := range map[string]struct {
		response string
		end      func(*net.TCPConn) error
		err      error
	}{
		"reset": {long, func(c *net.TCPConn) error { return c.SetLinger(0) }, errReset},
		"end, and a reset": {long, func(c *net.TCPConn) error {
			if err := c.CloseWrite(); err != nil {
				return err
			}
			time.Sleep(20 * time.Millisecond) // all of it must have arrived
			return c.SetLinger(0)
		}, io.EOF},
		"end": {long, func(c *net.TCPConn) error {
			if err := c.CloseWrite(); err != nil {
				return err
			}
			_, err := io.CopyN(io.Discard, c, upload-1)
			return err
		}, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			for range runs {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				helper, address := serve(t, echo)
				helper.SetRelay(tcpRelay{l.Addr().String()})
				caller, _ := serve(t, echo)
				conn, _, err := caller.Connect(context.Background(), address, &peerpb.Connect{Address: "i:1"})
				require.NoError(t, err)
				accepted, err := l.Accept()
				require.NoError(t, err)
				written := make(chan struct{})
				go func() { // ends with the connection
					defer close(written)
					_, _ = conn.Write(make([]byte, upload))
				}()
				_, err = io.ReadFull(accepted, make([]byte, 1))
				require.NoError(t, err)
				_, err = io.WriteString(accepted, c.response)
				require.NoError(t, err)
				require.NoError(t, c.end(accepted.(*net.TCPConn)))
				require.NoError(t, accepted.Close())
				require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
				var got strings.Builder
				_, err = io.Copy(&got, struct{ io.Reader }{conn})
				require.Equal(t, len(c.response), got.Len(), "what has arrived is passed on")
				if errors.Is(c.err, io.EOF) {
					require.NoError(t, err)
				} else {
					require.ErrorIs(t, err, c.err)
				}
				require.NoError(t, conn.Close())
				<-written
				require.NoError(t, l.Close())
			}
		})
	}
}

// TestClosedRelayedConnectionCancelsAtTheInstance checks that the instance learns soon that a client has left.
func TestClosedRelayedConnectionCancelsAtTheInstance(t *testing.T) {
	c, far, _, _ := relayedPair(t)
	closed := make(chan struct{})
	go func() { _, _ = far.Read(make([]byte, 1)); close(closed) }()
	c.Close()
	select {
	case <-closed:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the connection to the instance is still open")
	}
}

// TestSlowReaderHoldsUpTheInstance checks that the helper doesn't buffer what the caller doesn't read.
func TestSlowReaderHoldsUpTheInstance(t *testing.T) {
	_, far, _, _ := relayedPair(t)
	sent := 0
	chunk := make([]byte, maxFrameBytes)
	for sent < 64*RelayedConnBytes {
		require.NoError(t, far.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
		n, err := far.Write(chunk)
		sent += n
		if err != nil {
			break
		}
	}
	require.Less(t, sent, 2*RelayedConnBytes)
}

// TestPathOfTheHelperIsPartOfTheAcknowledgement guards against requests that wait at a helper whose own path was cut
// after it had connected.
func TestPathOfTheHelperIsPartOfTheAcknowledgement(t *testing.T) {
	c, far, r, _ := relayedPair(t)
	r.unacknowledged.Store(7)
	go func() { _, _ = io.Copy(io.Discard, far) }()
	_, err := c.Write([]byte("request"))
	require.NoError(t, err)
	time.Sleep(3 * ackInterval)
	require.Equal(t, len("request"), c.UnacknowledgedBytes())
	r.unacknowledged.Store(0)
	require.Eventually(t, func() bool { return c.UnacknowledgedBytes() == 0 }, time.Second, time.Millisecond)
}

// TestHelperThatStopsWaitsForExchanges checks that a helper knows which exchanges are under way and that its callers send
// no more once it shuts down.
func TestHelperThatStopsWaitsForExchanges(t *testing.T) {
	c, far, r, helper := relayedPair(t)
	go func() { _, _ = io.Copy(io.Discard, far) }()
	require.NoError(t, c.BeginRequest("first"))
	require.True(t, c.EndRequest())
	require.NoError(t, c.BeginRequest("second"))
	require.Eventually(t, func() bool { return r.done.Load() == 1 }, time.Second, time.Millisecond)
	helper.DrainRelayed()
	require.Eventually(t, func() bool { return !c.Idle() }, time.Second, time.Millisecond)
	require.EqualValues(t, 1, r.done.Load(), "the second exchange is under way")
	require.False(t, c.EndRequest(), "no further request")
	require.Eventually(t, func() bool { return r.done.Load() == 2 }, time.Second, time.Millisecond)
}

// TestOlderProcessIsNotAskedToRelay checks that a process which doesn't announce that it relays is known as such.
func TestOlderProcessIsNotAskedToRelay(t *testing.T) {
	_, address := serve(t, echo)
	caller, _ := serve(t, echo)
	require.NoError(t, call(t, caller, address))
	require.False(t, caller.MayRelay(address))
}

// BenchmarkRelayedExchange measures one exchange of 9 KB for 1 KB over a relayed connection, at caller and helper together.
func BenchmarkRelayedExchange(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	defer l.Close()
	const request, response = 9 << 10, 1 << 10
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		buf := make([]byte, request)
		for {
			if _, err := io.ReadFull(conn, buf); err != nil {
				return
			}
			if _, err := conn.Write(buf[:response]); err != nil {
				return
			}
		}
	}()
	helper, address := serve(b, echo)
	helper.SetRelay(tcpRelay{l.Addr().String()})
	caller, _ := serve(b, echo)
	c, _, err := caller.Connect(context.Background(), address, &peerpb.Connect{Address: "i:1"})
	require.NoError(b, err)
	defer c.Close()
	buf := make([]byte, request)
	b.ReportAllocs()
	for b.Loop() {
		require.NoError(b, c.BeginRequest("0123456789abcdef"))
		_, err := c.Write(buf)
		require.NoError(b, err)
		_, err = io.ReadFull(c, buf[:response])
		require.NoError(b, err)
	}
}
