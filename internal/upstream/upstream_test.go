package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/fault"
)

// serve answers each connection with f and returns the address.
func serve(t *testing.T, f func(n int, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f(n, c, bufio.NewReader(c))
		}
	}()
	return l.Addr().String()
}

func readRequest(r *bufio.Reader) (id, body string, err error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", "", err
	}
	b, err := io.ReadAll(req.Body)
	return req.Header.Get("Id"), string(b), err
}

func write(c net.Conn, id, text string, more ...string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n%s\r\n%s", id, len(text), strings.Join(more, ""), text)
}

func request(address, id string, body string) Request {
	return Request{
		Address: address, Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte(body),
		Matches: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

func get(t *testing.T, c *Client, r Request) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	a, err := c.Do(ctx, r)
	require.NoError(t, err)
	text, err := io.ReadAll(a.Body)
	require.NoError(t, err)
	a.Close(true)
	return string(text)
}

func TestConnectionsAreReused(t *testing.T) {
	address := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
		for {
			id, body, err := readRequest(r)
			if err != nil {
				return
			}
			write(c, id, fmt.Sprint(n, body))
		}
	})
	c := New(metrics.NewRegistry())
	for range 3 {
		require.Equal(t, "1 hello", get(t, c, request(address, "a", " hello")))
	}
	require.Equal(t, 1, c.OpenConns(address))
	fresh := request(address, "a", "")
	fresh.Fresh = true
	require.Equal(t, "2", get(t, c, fresh))
	c.CloseIdle(address)
	require.Zero(t, c.OpenConns(address))
}

// TestUnusedConnectionsAreBounded checks that no more connections are kept than the
// request allows, so that all processes together stay inside what an instance takes.
func TestUnusedConnectionsAreBounded(t *testing.T) {
	address := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
		for {
			id, _, err := readRequest(r)
			if err != nil {
				return
			}
			write(c, id, "ok")
		}
	})
	c := New(metrics.NewRegistry())
	var answers []*Response
	for range 5 {
		r := request(address, "a", "")
		r.MaxIdle = 2
		a, err := c.Do(context.Background(), r)
		require.NoError(t, err)
		_, err = io.ReadAll(a.Body)
		require.NoError(t, err)
		answers = append(answers, a)
	}
	require.Equal(t, 5, c.OpenConns(address))
	for _, a := range answers {
		a.Close(true)
	}
	require.Equal(t, 2, c.OpenConns(address))
}

// TestLateAnswerOfAnEarlierRequest checks that an answer in excess is never
// taken for the next request's, whether it is there before or comes after.
func TestLateAnswerOfAnEarlierRequest(t *testing.T) {
	t.Run("before the next request", func(t *testing.T) {
		address := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
			id, _, _ := readRequest(r)
			write(c, id, fmt.Sprint(n))
			write(c, id, "again")
		})
		c := New(metrics.NewRegistry())
		require.Equal(t, "1", get(t, c, request(address, "a", "")))
		time.Sleep(20 * time.Millisecond)
		require.Equal(t, "2", get(t, c, request(address, "b", "")))
	})
	t.Run("in the place of the next answer", func(t *testing.T) {
		address := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
			first, _, _ := readRequest(r)
			write(c, first, fmt.Sprint(n))
			second, _, err := readRequest(r)
			if err != nil {
				return
			}
			write(c, first, "again")
			write(c, second, "right")
		})
		c := New(metrics.NewRegistry())
		require.Equal(t, "1", get(t, c, request(address, "a", "")))
		require.Equal(t, "right", get(t, c, request(address, "b", "")))
		require.Zero(t, c.OpenConns(address), "the connection is not used again")
	})
}

// TestMixedUpAnswer covers an instance that answers another request and sends no
// more: the request is given up on long before its caller's time is up.
// TestBodyThatWasNotReadToItsEnd covers a reader that knows by its content that an
// answer is whole and leaves the last bytes unread: they arrive late, in the place
// of the next answer.
func TestBodyThatWasNotReadToItsEnd(t *testing.T) {
	left := make(chan struct{})
	address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			id, _, err := readRequest(r)
			if err != nil {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n", id)
			<-left // sooner, and a slow reader has the end with the rest
			fmt.Fprint(c, "0\r\n\r\n")
		}
	})
	c := New(metrics.NewRegistry())
	for range 20 {
		a, err := c.Do(context.Background(), request(address, "a", ""))
		require.NoError(t, err)
		text := make([]byte, 4)
		_, err = io.ReadFull(a.Body, text)
		require.NoError(t, err)
		a.Close(true)
		require.Zero(t, c.OpenConns(address))
		left <- struct{}{}
	}
}

func TestMixedUpAnswer(t *testing.T) {
	address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _, _ = readRequest(r)
		write(c, "other", "wrong")
		_, _ = r.ReadByte()
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	begun := time.Now()
	_, err := New(metrics.NewRegistry()).Do(ctx, request(address, "a", ""))
	require.True(t, fault.Is(err, fault.Unknown))
	require.Less(t, time.Since(begun), 5*time.Second)
}

func TestWhatIsKnownAfterAFailure(t *testing.T) {
	c := New(metrics.NewRegistry())
	_, err := c.Do(context.Background(), request("127.0.0.1:1", "a", ""))
	require.True(t, fault.Is(err, fault.Unavailable), "nothing was sent")

	address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _, _ = readRequest(r)
		c.Close()
	})
	_, err = c.Do(context.Background(), request(address, "a", ""))
	require.True(t, fault.Is(err, fault.Unknown), "it may have begun")

	r := request(address, "a", "")
	r.BeforeSend = func() error { return fault.New(fault.Unavailable, "too late", "none") }
	_, err = c.Do(context.Background(), r)
	require.True(t, fault.Is(err, fault.Unavailable))
	require.Zero(t, c.OpenConns(address))
}

// lateContext is one whose deadline has passed before its timer has run.
type lateContext struct{ context.Context }

// Deadline implements context.Context.
func (lateContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Millisecond), true }

// TestNothingIsSentForACallerThatHasLeft has a kept connection at hand for a request whose caller has left. A
// process that was held up for seconds went on with its requests before it had noticed: eight were sent
// 2.5 s after their callers' deadlines.
func TestNothingIsSentForACallerThatHasLeft(t *testing.T) {
	var arrived atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		w.Header().Set("Id", r.Header.Get("Id"))
	}))
	defer s.Close()
	address := s.Listener.Addr().String()
	c := New(metrics.NewRegistry())
	defer c.Close()
	left, cancel := context.WithCancel(context.Background())
	cancel()
	for range 20 {
		a, err := c.Do(context.Background(), request(address, "a", ""))
		require.NoError(t, err)
		_, err = io.ReadAll(a.Body)
		require.NoError(t, err)
		a.Close(true)
		for _, ctx := range []context.Context{left, lateContext{context.Background()}} {
			_, err = c.Do(ctx, request(address, "b", ""))
			require.True(t, fault.Is(err, fault.Unavailable), "%v", err)
		}
	}
	require.EqualValues(t, 20, arrived.Load())
}

func TestCutBodyIsNotWhole(t *testing.T) {
	address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		id, _, _ := readRequest(r)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 10\r\n\r\nhalf", id)
		c.Close()
	})
	a, err := New(metrics.NewRegistry()).Do(context.Background(), request(address, "a", ""))
	require.NoError(t, err)
	_, err = io.ReadAll(a.Body)
	require.Error(t, err)
	a.Close(false)
}

// TestAnswerBeforeTheBodyWasRead checks that a connection is not reused on which
// an instance may still read the rest of a body.
func TestAnswerBeforeTheBodyWasRead(t *testing.T) {
	address := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		write(c, req.Header.Get("Id"), fmt.Sprint(n))
		time.Sleep(100 * time.Millisecond)
	})
	c := New(metrics.NewRegistry())
	large := strings.Repeat("x", 32<<20)
	require.Equal(t, "1", get(t, c, request(address, "a", large)))
	require.Zero(t, c.OpenConns(address))
}

// TestNothingIsWrittenAfterTheVerdict covers a connection that breaks while a large
// request is being written beside the reading of its answer: if the client says
// that nothing left, no byte may reach the instance afterwards.
func TestNothingIsWrittenAfterTheVerdict(t *testing.T) {
	var got atomic.Int64
	address := serve(t, func(_ int, c net.Conn, _ *bufio.Reader) {
		_ = c.(*net.TCPConn).CloseWrite() // the answer ends before it began
		n, _ := io.Copy(io.Discard, c)
		got.Add(n)
	})
	c := New(metrics.NewRegistry())
	for range 200 {
		before := got.Load()
		_, err := c.Do(context.Background(), request(address, "a", strings.Repeat("x", 64<<10)))
		require.Error(t, err)
		if fault.Is(err, fault.Unavailable) {
			time.Sleep(2 * time.Millisecond)
			require.Equal(t, before, got.Load())
		}
	}
}

func TestEndOfContextClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _, _ = readRequest(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err := New(metrics.NewRegistry()).Do(ctx, request(address, "a", ""))
	require.True(t, fault.Is(err, fault.Unknown))
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the instance was not told to stop")
	}
}

func TestIdleTime(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": idleDefault, "timeout=5": 5*time.Second - idleMargin, "max=3, timeout=1": time.Second - idleMargin, "timeout=0": 0, "odd": idleDefault,
	} {
		require.Equal(t, want, idleTime(http.Header{"Keep-Alive": {text}}), text)
	}
}
