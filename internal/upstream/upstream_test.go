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

// serve runs f for each accepted connection and returns the listener's address.
func serve(t testing.TB, f func(n int, c net.Conn, r *bufio.Reader)) string {
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
		ID: id, ResponseID: func(h http.Header) string { return StatedID(h, "Id") },
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
	for _, id := range []string{"a", "b", "c"} {
		require.Equal(t, "1 hello", get(t, c, request(address, id, " hello")))
	}
	require.Equal(t, 1, c.OpenConns(address))
	fresh := request(address, "d", "")
	fresh.ResponseID = nil
	require.Equal(t, "2", get(t, c, fresh))
	c.CloseIdle(address)
	require.Zero(t, c.OpenConns(address))
}

// TestIdleConnectionsAreBounded checks that no more idle connections are kept than MaxIdle
// allows, so that all processes together stay within the connection limit of an instance.
func TestIdleConnectionsAreBounded(t *testing.T) {
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
	var responses []*Response
	for range 5 {
		r := request(address, "a", "")
		r.MaxIdle = 2
		a, err := c.Do(context.Background(), r)
		require.NoError(t, err)
		_, err = io.ReadAll(a.Body)
		require.NoError(t, err)
		responses = append(responses, a)
	}
	require.Equal(t, 5, c.OpenConns(address))
	for _, a := range responses {
		a.Close(true)
	}
	require.Equal(t, 2, c.OpenConns(address))
}

// TestLateResponseToEarlierRequest checks that a duplicate response is never taken for the
// response to the next request, whether it arrives before or after that request is sent.
func TestLateResponseToEarlierRequest(t *testing.T) {
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
	t.Run("instead of the next response", func(t *testing.T) {
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
		require.Zero(t, c.OpenConns(address), "the connection is not reused")
	})
}

// TestConnectionWithUnreadBodyIsNotReused covers a caller that detects the end of a response by its
// content and leaves the last bytes of the body unread. The connection must not be reused, because these
// bytes would be taken for the start of the next response.
func TestConnectionWithUnreadBodyIsNotReused(t *testing.T) {
	closed := make(chan struct{})
	address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			id, _, err := readRequest(r)
			if err != nil {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n", id)
			<-closed // if the end of the body were sent earlier, it could be read along with the data
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
		closed <- struct{}{}
	}
}

// TestResponseToAnotherRequestFailsEarly covers an instance that sends the response to another
// request and nothing else. The request must fail long before its deadline.
func TestResponseToAnotherRequestFailsEarly(t *testing.T) {
	address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _, _ = readRequest(r)
		write(c, "other", "wrong")
		_, _ = r.ReadByte()
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	start := time.Now()
	_, err := New(metrics.NewRegistry()).Do(ctx, request(address, "a", ""))
	require.True(t, fault.Is(err, fault.Unknown))
	require.Less(t, time.Since(start), 5*time.Second)
}

func TestErrorSaysWhetherRequestMayHaveRun(t *testing.T) {
	c := New(metrics.NewRegistry())
	_, err := c.Do(context.Background(), request("127.0.0.1:1", "a", ""))
	require.True(t, fault.Is(err, fault.Unavailable), "nothing was sent")

	address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _, _ = readRequest(r)
		c.Close()
	})
	_, err = c.Do(context.Background(), request(address, "a", ""))
	require.True(t, fault.Is(err, fault.Unknown), "the instance may have started to run the request")

	address = serve(t, func(_ int, c net.Conn, _ *bufio.Reader) {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	})
	for range 20 {
		_, err = c.Do(context.Background(), request(address, "a", strings.Repeat("x", 64<<10)))
		_, connected := EvidenceOf(err)
		require.Equal(t, connected, fault.Is(err, fault.Unknown), "bytes may have been passed to the kernel before the reset: %v", err)
	}

	r := request(address, "a", "")
	r.BeforeSend = func() error { return fault.New(fault.Unavailable, "too late", "none") }
	_, err = c.Do(context.Background(), r)
	require.True(t, fault.Is(err, fault.Unavailable))
	require.Zero(t, c.OpenConns(address))
}

// expiredContext is a context whose deadline has passed but whose timer has not fired.
type expiredContext struct{ context.Context }

// Deadline implements context.Context.
func (expiredContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Millisecond), true }

// TestNothingIsSentAfterDisconnectOrDeadline checks that a request is not sent over an idle
// connection if its client has disconnected or its deadline has passed. A process that resumed
// after a pause of seconds once sent eight requests 2.5 s after their deadlines, before their
// timers had fired.
func TestNothingIsSentAfterDisconnectOrDeadline(t *testing.T) {
	var arrived atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		w.Header().Set("Id", r.Header.Get("Id"))
	}))
	defer s.Close()
	address := s.Listener.Addr().String()
	c := New(metrics.NewRegistry())
	defer c.Close()
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for range 20 {
		a, err := c.Do(context.Background(), request(address, "a", ""))
		require.NoError(t, err)
		_, err = io.ReadAll(a.Body)
		require.NoError(t, err)
		a.Close(true)
		for _, ctx := range []context.Context{cancelled, expiredContext{context.Background()}} {
			_, err = c.Do(ctx, request(address, "b", ""))
			require.True(t, fault.Is(err, fault.Unavailable), "%v", err)
		}
	}
	require.EqualValues(t, 20, arrived.Load())
}

func TestTruncatedBodyIsAnError(t *testing.T) {
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

// TestConnectionWithUnwrittenBodyIsNotReused checks that a connection is not reused if the response
// arrived before the request body was fully written.
func TestConnectionWithUnwrittenBodyIsNotReused(t *testing.T) {
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

// TestNothingIsWrittenAfterErrorSaysUnsent covers a connection that breaks while a large request is written
// and its response is read concurrently. If Do reports that nothing was sent, no byte may reach the
// instance afterwards.
func TestNothingIsWrittenAfterErrorSaysUnsent(t *testing.T) {
	var got atomic.Int64
	address := serve(t, func(_ int, c net.Conn, _ *bufio.Reader) {
		_ = c.(*net.TCPConn).CloseWrite() // ends the response before its first byte
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

func TestIdleTimeout(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": defaultIdleTimeout, "timeout=5": 5*time.Second - idleTimeoutMargin, "max=3, timeout=1": time.Second - idleTimeoutMargin, "timeout=0": 0, "odd": defaultIdleTimeout,
	} {
		require.Equal(t, want, idleTimeout(http.Header{"Keep-Alive": {text}}), text)
	}
}

// TestRepeatedResponseWithoutAnIDIsNotTaken has an instance reject a request without an ID, and repeat the rejection later, when
// the next request may have been sent on the connection. A response to a call that has no ID is repeated too.
func TestRepeatedResponseWithoutAnIDIsNotTaken(t *testing.T) {
	const rejection = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	address := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
		for {
			id, _, err := readRequest(r)
			switch {
			case err != nil:
				return
			case id == "" || id == "rejected":
				_, _ = io.WriteString(c, rejection)
				time.AfterFunc(20*time.Millisecond, func() { _, _ = io.WriteString(c, rejection) })
			default:
				time.Sleep(50 * time.Millisecond)
				write(c, id, fmt.Sprint("response on connection ", n))
			}
		}
	})
	c := New(metrics.NewRegistry())
	do := func(id string) string {
		r := request(address, id, "")
		if id == "" {
			r.ResponseID = nil
		}
		return get(t, c, r)
	}
	require.Empty(t, do("rejected"))
	require.Equal(t, "response on connection 2", do("next"))
	require.Equal(t, "response on connection 3", do("other"), "an instance that rejects without an ID gets a connection for each request")
	require.Empty(t, do(""), "a call without an ID has a connection of its own")
	require.Equal(t, "response on connection 5", do("last"))
}

// TestIdleConnectionsOfAllInstancesAreLimited keeps connections to several instances, of which each may have more than all may.
func TestIdleConnectionsOfAllInstancesAreLimited(t *testing.T) {
	c := New(metrics.NewRegistry())
	c.SetMaxIdle(3)
	idle := func() (n int) {
		for _, all := range c.idle {
			n += len(all)
		}
		return n
	}
	for n := range 10 {
		client, server := net.Pipe()
		defer server.Close()
		cn := newConn(client, uint64(n))
		cn.idleTimeout = time.Minute
		c.put(fmt.Sprint("instance-", n%2), cn, 5)
		require.LessOrEqual(t, idle(), 3)
	}
	require.Equal(t, c.idleCount, idle())
	require.NotNil(t, c.pop(&Request{Address: "instance-1"}))
	require.Equal(t, c.idleCount, idle())
	c.Close()
	require.Zero(t, c.idleCount)
}
