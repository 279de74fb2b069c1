package peer

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
)

// silentPeer accepts connections and reads nothing from them.
func silentPeer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var mu sync.Mutex
	var conns []net.Conn
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
		}
	}()
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range conns {
			c.Close()
		}
	})
	return l.Addr().String()
}

func (t *Transport) dialedSession(address string) *muxSession {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.dialed[address]
}

func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var u syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// TestLostSessionDoesNotSpin closes a session to a peer that has stopped reading, while many calls wait for responses and
// others for room to send.
func TestLostSessionDoesNotSpin(t *testing.T) {
	const waiting, sending = 60, 40
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	client, _ := serve(t, echo)
	address := silentPeer(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var calls sync.WaitGroup
	for range waiting {
		calls.Go(func() { _, _ = client.Call(ctx, address, heartbeat(1)) })
	}
	time.Sleep(100 * time.Millisecond)
	for range sending {
		large := &peerpb.ConfigOffer{Peer: strings.Repeat("x", 200<<10)}
		calls.Go(func() {
			_, _ = client.Call(ctx, address, &peerpb.Request{Body: &peerpb.Request_ConfigOffer{ConfigOffer: large}})
		})
	}
	time.Sleep(500 * time.Millisecond)
	session := client.dialedSession(address)
	before := processorTime(t)
	client.dropSession(address, session)
	calls.Wait()
	require.Less(t, processorTime(t)-before, 100*time.Millisecond)
}

// TestKeepaliveClosesTheSessionToASilentPeer checks that calls to a peer which has gone silent dial again after a while.
func TestKeepaliveClosesTheSessionToASilentPeer(t *testing.T) {
	client, _ := serve(t, echo)
	address := silentPeer(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := client.Call(ctx, address, heartbeat(1))
	require.Error(t, err)
	require.Eventually(t, client.dialedSession(address).IsClosed, keepAliveInterval+sessionTimeout+time.Second, 50*time.Millisecond)
}

// TestCallThatIsGivenUpClosesNoSession gives up calls while others wait for responses on the same session.
func TestCallThatIsGivenUpClosesNoSession(t *testing.T) {
	_, address := serve(t, echo)
	client, _ := serve(t, echo)
	require.NoError(t, call(t, client, address))
	session := client.dialedSession(address)
	gone, leave := context.WithCancel(t.Context())
	leave()
	for range 200 {
		if s, err := openStream(gone, session); err == nil {
			require.NoError(t, s.Close())
		}
		require.False(t, session.IsClosed())
	}
	require.NoError(t, call(t, client, address))
	require.Same(t, session, client.dialedSession(address))
}

// TestConnectionsOfOthersGetNoSession has programs that are no peers connect.
func TestConnectionsOfOthersGetNoSession(t *testing.T) {
	tr, address := serve(t, echo)
	for _, text := range []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "garbage that is long enough", string(make([]byte, muxHeaderBytes)), "\x01\x01\x00\x01\x00\x00\x00\x01\x00\x00\x00\x00"} {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, text)
		require.NoError(t, err)
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		n, err := c.Read(make([]byte, 1))
		require.Zero(t, n, "%q", text)
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "%q", text)
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	require.Empty(t, tr.accepted)
}

// TestMessagesTakeMemoryAsTheyArrive has peers state the sizes of large messages and send little of them.
func TestMessagesTakeMemoryAsTheyArrive(t *testing.T) {
	tr, address := serve(t, echo)
	client, _ := serve(t, echo)
	var streams []*stream
	for range maxEarlyStreams {
		s, err := client.open(t.Context(), address)
		require.NoError(t, err)
		_, err = s.Write(append(binary.AppendUvarint(nil, MaxMessageBytes), make([]byte, 100)...))
		require.NoError(t, err)
		streams = append(streams, s)
	}
	require.Eventually(t, func() bool { return tr.unread.Load() >= maxEarlyStreams*minReadBytes }, 5*time.Second, time.Millisecond)
	require.LessOrEqual(t, tr.unread.Load(), int64(maxEarlyStreams*minReadBytes))
	other, _ := serve(t, echo)
	require.NoError(t, call(t, other, address))
	for _, s := range streams {
		s.Close()
	}
	require.Eventually(t, func() bool { return tr.unread.Load() == 0 }, 10*time.Second, 10*time.Millisecond)
}

// TestMessagesAreReadWhole checks sizes around those in which messages are read.
func TestMessagesAreReadWhole(t *testing.T) {
	got := make(chan int, 1)
	_, address := serve(t, func(r *peerpb.Request) *peerpb.Response {
		got <- len(r.GetFetchChunk().GetDigest())
		return echo(r)
	})
	client, _ := serve(t, echo)
	for _, size := range []int{0, 1, minReadBytes - 10, minReadBytes, 3 * minReadBytes, 1 << 20, MaxMessageBytes - 100} {
		r := &peerpb.Request{Body: &peerpb.Request_FetchChunk{FetchChunk: &peerpb.FetchChunk{Digest: strings.Repeat("a", size)}}}
		_, err := client.Call(t.Context(), address, r)
		require.NoError(t, err)
		require.Equal(t, size, <-got)
	}
}
