package soak

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// connectedPair returns both ends of a connection through a link.
func connectedPair(t *testing.T) (l *Link, near, far net.Conn) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { target.Close() })
	opened := make(chan string, 1)
	l, err = NewLink("127.0.0.1", "a", "b", target.Addr().String(), func(local string) { opened <- local })
	require.NoError(t, err)
	t.Cleanup(l.Close)
	near, err = net.Dial("tcp", l.Address)
	require.NoError(t, err)
	far, err = target.Accept()
	require.NoError(t, err)
	require.Equal(t, far.RemoteAddr().String(), <-opened)
	t.Cleanup(func() { near.Close(); far.Close() })
	return l, near, far
}

func send(t *testing.T, c net.Conn, text string) {
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

func requireReceived(t *testing.T, c net.Conn, want string) {
	require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	got := make([]byte, len(want))
	_, err := io.ReadFull(c, got)
	require.NoError(t, err)
	require.Equal(t, want, string(got))
}

func requireNoData(t *testing.T, c net.Conn) {
	require.NoError(t, c.SetReadDeadline(time.Now().Add(150*time.Millisecond)))
	_, err := c.Read(make([]byte, 1))
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout())
}

// TestBlockedDirection checks that blocking one direction does not affect the other, that two
// overlapping blocks end with the last one, and that the bytes held back are delivered.
func TestBlockedDirection(t *testing.T) {
	l, near, far := connectedPair(t)
	first, second := l.AddConditions(Conditions{BlockForward: true}), l.AddConditions(Conditions{BlockForward: true})
	send(t, near, "there")
	send(t, far, "back")
	requireReceived(t, near, "back")
	requireNoData(t, far)
	first()
	requireNoData(t, far)
	second()
	requireReceived(t, far, "there")
}

// TestCloseAndResetAreForwarded checks that an orderly close and a reset are forwarded as such.
func TestCloseAndResetAreForwarded(t *testing.T) {
	_, near, far := connectedPair(t)
	send(t, far, "last")
	require.NoError(t, far.Close())
	requireReceived(t, near, "last")
	_, err := near.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)

	l, near, far := connectedPair(t)
	send(t, near, "x")
	requireReceived(t, far, "x") // wait until the link tracks the connections; on a busy machine, it had none to reset
	l.Reset()
	for _, c := range []net.Conn{near, far} {
		_, err := c.Read(make([]byte, 1))
		require.ErrorContains(t, err, "reset")
	}
}

// TestDelayAndLoss checks that chunks arrive later.
func TestDelayAndLoss(t *testing.T) {
	l, near, far := connectedPair(t)
	for _, c := range []Conditions{{Delay: retransmitDelay}, {Loss: 1}} {
		off := l.AddConditions(c)
		begun := time.Now()
		send(t, near, "x")
		requireReceived(t, far, "x")
		require.GreaterOrEqual(t, time.Since(begun), retransmitDelay)
		off()
	}
}

// TestLinkRefusesConnectionsForAWhile checks that open connections are reset, new ones refused, and later ones accepted.
func TestLinkRefusesConnectionsForAWhile(t *testing.T) {
	l, near, _ := connectedPair(t)
	off := l.Refuse()
	_, err := near.Read(make([]byte, 1))
	require.Error(t, err)
	_, err = net.Dial("tcp", l.Address)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	off()
	conn, err := net.Dial("tcp", l.Address)
	require.NoError(t, err)
	conn.Close()
}
