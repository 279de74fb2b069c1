package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pair returns both ends of a connection through a link.
func pair(t *testing.T) (l *Link, near, far net.Conn) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { target.Close() })
	opened := make(chan string, 1)
	l, err = NewLink("a", "b", target.Addr().String(), func(local string) { opened <- local })
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

func receive(t *testing.T, c net.Conn, want string) {
	require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	got := make([]byte, len(want))
	_, err := io.ReadFull(c, got)
	require.NoError(t, err)
	require.Equal(t, want, string(got))
}

func silent(t *testing.T, c net.Conn) {
	require.NoError(t, c.SetReadDeadline(time.Now().Add(150*time.Millisecond)))
	_, err := c.Read(make([]byte, 1))
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout())
}

// TestCutsHoldUpOneWay checks that a cut of one way leaves the other alone, that two cuts that
// overlap end with the last one, and that what was held up arrives.
func TestCutsHoldUpOneWay(t *testing.T) {
	l, near, far := pair(t)
	first, second := l.Put(Conditions{CutThere: true}), l.Put(Conditions{CutThere: true})
	send(t, near, "there")
	send(t, far, "back")
	receive(t, near, "back")
	silent(t, far)
	first()
	silent(t, far)
	second()
	receive(t, far, "there")
}

// TestEndsArePassedOn checks that an end in order and a reset are told apart.
func TestEndsArePassedOn(t *testing.T) {
	_, near, far := pair(t)
	send(t, far, "last")
	require.NoError(t, far.Close())
	receive(t, near, "last")
	_, err := near.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)

	l, near, far := pair(t)
	send(t, near, "x")
	receive(t, far, "x") // the link knows the connections now: it had none to reset on a busy machine
	l.Reset()
	for _, c := range []net.Conn{near, far} {
		_, err := c.Read(make([]byte, 1))
		require.ErrorContains(t, err, "reset")
	}
}

// TestDelayAndLossAreLate checks that pieces arrive later.
func TestDelayAndLossAreLate(t *testing.T) {
	l, near, far := pair(t)
	for _, c := range []Conditions{{Delay: retransmit}, {Loss: 1}} {
		off := l.Put(c)
		begun := time.Now()
		send(t, near, "x")
		receive(t, far, "x")
		require.GreaterOrEqual(t, time.Since(begun), retransmit)
		off()
	}
}
