package connlimit

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

const (
	headMemory = 6 << 20
	// largeResponse is more than the buffers of a connection hold.
	largeResponse = 32 << 20
)

// testServer is an HTTP server behind a limiter.
type testServer struct {
	t       *testing.T
	limiter *Limiter
	*Listener
}

// startServer starts a server. Requests of /held are handled until the returned channel is closed.
func startServer(t *testing.T, b Bounds, limits func() Limits) (s *testServer, release chan struct{}) {
	t.Helper()
	l := New(Options{HeadMemory: headMemory, Limits: limits, Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger()})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	release = make(chan struct{})
	server := &http.Server{Handler: echo(release)}
	s = &testServer{t: t, limiter: l, Listener: l.Listen("test", inner, b)}
	s.Configure(server)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = server.Serve(s) }()
	go func() { _ = l.Run(ctx) }()
	t.Cleanup(func() { cancel(); _ = server.Close() })
	return s, release
}

// echo returns a handler that responds with what it received.
func echo(release chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/held":
			<-release
		case "/large":
			_, _ = w.Write(make([]byte, largeResponse))
			return
		case "/refused":
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusNotFound)
			return
		}
		body, err := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %s %d fields, body %q, %v", r.Method, r.URL.Path, len(r.Header), body, err)
	})
}

func (s *testServer) dial() net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.Addr().String())
	require.NoError(s.t, err)
	s.t.Cleanup(func() { c.Close() })
	return c
}

// send opens a connection and sends a text on it.
func (s *testServer) send(text string) net.Conn {
	s.t.Helper()
	c := s.dial()
	_, err := io.WriteString(c, text)
	require.NoError(s.t, err)
	return c
}

// respond sends a request on a connection and returns the status of the response.
func respond(t *testing.T, c net.Conn, request string) int {
	t.Helper()
	_, err := io.WriteString(c, request)
	require.NoError(t, err)
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	return resp.StatusCode
}

// isClosed reports whether the other side closes a connection within a time.
func isClosed(c net.Conn, within time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(within))
	_, err := io.Copy(io.Discard, c)
	timeout, ok := err.(net.Error)
	return !ok || !timeout.Timeout()
}

func (s *testServer) await(what string, cond func() bool) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		s.limiter.mu.Lock()
		defer s.limiter.mu.Unlock()
		return cond()
	}, 5*time.Second, time.Millisecond, what)
}

func (s *testServer) awaitState(st state, n int) {
	s.t.Helper()
	s.await(fmt.Sprintf("%d connections in state %d", n, st), func() bool { return s.lists[st].len == n })
}

const unlimited = 1000

func head(path string, fields ...string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + strings.Join(append(fields, ""), "\r\n")
}

// fields returns fields with different short names of n bytes or a few less.
func fields(n int) string {
	var b strings.Builder
	for i := 0; ; i++ {
		next := fmt.Sprintf("a%x:\r\n", i)
		if b.Len()+len(next) > n {
			return b.String()
		}
		b.WriteString(next)
	}
}

// step is a text that a client sends after a pause.
type step struct {
	pause time.Duration
	text  string
}

var dates = regexp.MustCompile(`Date: [^\r]*`)

// exchange sends a text in steps, closes the sending side and returns all that comes back.
func exchange(t *testing.T, address string, steps []step) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	for _, s := range steps {
		time.Sleep(s.pause)
		_, err := io.WriteString(c, s.text)
		require.NoError(t, err)
	}
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	out, err := io.ReadAll(c)
	require.NoError(t, err)
	return dates.ReplaceAllString(string(out), "")
}

// TestProperClientsGetTheSameResponses compares the responses of a limited server, byte for byte, with those of one without a
// limiter.
func TestProperClientsGetTheSameResponses(t *testing.T) {
	const end = "\r\n"
	s, release := startServer(t, Bounds{Descriptors: unlimited, PerRequest: 1}, nil)
	close(release)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	plain := &http.Server{Handler: echo(release)}
	go func() { _ = plain.Serve(inner) }()
	t.Cleanup(func() { _ = plain.Close() })

	slow := func(text string, parts int) (out []step) {
		for size := (len(text) + parts - 1) / parts; len(text) > 0; text = text[min(size, len(text)):] {
			out = append(out, step{20 * time.Millisecond, text[:min(size, len(text))]})
		}
		return out
	}
	post := "POST /x HTTP/1.1\r\nHost: h\r\n"
	largest := DefaultHeadBytes - len(head("/x")) - len(end)
	for name, steps := range map[string][]step{
		"a request":                 {{0, head("/x") + end}},
		"HTTP/1.0":                  {{0, "GET /x HTTP/1.0\r\n\r\n"}},
		"closed by the client":      {{0, head("/x", "Connection: close") + end}},
		"the most fields":           {{0, head("/x") + fields(largest) + end}},
		"one long field":            {{0, head("/x", "a: "+strings.Repeat("b", largest-6)) + end}},
		"a long path":               {{0, "GET /" + strings.Repeat("%41", largest/3-10) + " HTTP/1.1\r\nHost: h\r\n\r\n"}},
		"a slow head":               slow(head("/x")+fields(largest)+end, 20),
		"single bytes":              slow(head("/x")+end, 40),
		"a slow upload":             slow(post+"Content-Length: 100\r\n\r\n"+strings.Repeat("x", 100), 30),
		"a large upload":            {{0, post + "Content-Length: 1000000\r\n\r\n" + strings.Repeat("x", 1_000_000)}},
		"slow chunks":               slow(post+"Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n3;e=1\r\nfgh\r\n0\r\nT: 1\r\n\r\n", 20),
		"pipelined":                 {{0, head("/x") + end + post + "Content-Length: 2\r\n\r\nab" + head("/y") + end}},
		"after a rest":              {{0, head("/x") + end}, {time.Second, head("/y") + end}, {time.Second, post + "Content-Length: 1\r\n\r\na"}},
		"expects 100":               {{0, post + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n"}, {50 * time.Millisecond, "ab"}},
		"refused with its body":     {{0, "POST /refused HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"}},
		"empty line after POST":     {{0, post + "Content-Length: 1\r\n\r\na\r\n" + head("/y") + end}},
		"malformed":                 {{0, "GET\r\n\r\n"}},
		"several lengths":           {{0, post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"}},
		"unknown transfer encoding": {{0, post + "Transfer-Encoding: odd\r\n\r\n"}},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, exchange(t, inner.Addr().String(), steps), exchange(t, s.Addr().String(), steps))
		})
	}
	s.await("all memory is returned", func() bool { return s.limiter.headMemory == 0 && s.open == 0 && s.underWay == 0 })
}

func TestLargeHeadsAreRefused(t *testing.T) {
	const limit = 16 << 10
	s, _ := startServer(t, Bounds{Descriptors: unlimited}, func() Limits { return Limits{HeadBytes: limit} })
	for name, text := range map[string]string{
		"fields":       head("/x") + fields(4*limit),
		"one field":    head("/x", "a: "+strings.Repeat("b", 4*limit)),
		"request line": "GET /" + strings.Repeat("b", 4*limit),
	} {
		t.Run(name, func(t *testing.T) {
			c := s.dial()
			require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, respond(t, c, text))
			require.True(t, isClosed(c, 5*time.Second))
		})
	}
	require.Equal(t, http.StatusOK, respond(t, s.dial(), head("/x")+fields(limit-100)+"\r\n"))
}

// TestHeadsBeyondTheMemoryAreRefused has requests with large heads handled until there is no memory left for another one.
func TestHeadsBeyondTheMemoryAreRefused(t *testing.T) {
	s, release := startServer(t, Bounds{Descriptors: unlimited}, nil)
	large := fields(DefaultHeadBytes - 100)
	s.send(head("/held") + large + "\r\n")
	s.awaitState(serving, 1)
	for range 3 {
		c := s.dial()
		require.Equal(t, http.StatusServiceUnavailable, respond(t, c, head("/x")+large+"\r\n"))
		require.True(t, isClosed(c, 5*time.Second))
		require.Equal(t, http.StatusOK, respond(t, s.dial(), head("/x")+"\r\n"), "heads of usual size")
	}
	require.LessOrEqual(t, s.limiter.HeadMemory(), s.limiter.maxHeadMemory())
	close(release)
	require.Eventually(t, func() bool { return respond(t, s.dial(), head("/x")+large+"\r\n") == http.StatusOK }, 5*time.Second, 10*time.Millisecond)
}

// TestSlowHeadIsEvictedForAnother has heads on their way take all memory when another one arrives.
func TestSlowHeadIsEvictedForAnother(t *testing.T) {
	s, _ := startServer(t, Bounds{Descriptors: unlimited}, nil)
	large := fields(DefaultHeadBytes - 100)
	held := s.send(head("/x") + large)
	s.await("the head has arrived", func() bool { return s.limiter.headMemory > headMemory/4 })
	time.Sleep(2 * arrivalTime)
	require.Equal(t, http.StatusOK, respond(t, s.dial(), head("/x")+large+"\r\n"))
	require.True(t, isClosed(held, 5*time.Second))
}

// TestOrderOfEviction fills a listener with one connection in each state. New ones then take their places one by one.
func TestOrderOfEviction(t *testing.T) {
	s, release := startServer(t, Bounds{Descriptors: 7}, nil)
	defer close(release)
	idleConn := s.dial()
	require.Equal(t, http.StatusOK, respond(t, idleConn, head("/x")+"\r\n"))
	s.awaitState(idle, 1)
	half := s.dial()
	require.Equal(t, http.StatusOK, respond(t, half, head("/x")+"\r\n"))
	_, err := io.WriteString(half, head("/x"))
	require.NoError(t, err)
	s.awaitState(receiving, 1)
	s.send(head("/held") + "\r\n")
	s.awaitState(serving, 1)
	silent := s.dial()
	s.awaitState(waiting, 1)
	upload := s.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na")
	s.awaitState(uploading, 1)
	first := s.send(head("/x"))
	s.awaitState(waiting, 2)
	other := s.send(head("/held") + "\r\n")
	s.awaitState(serving, 2)

	time.Sleep(2 * arrivalTime)
	for _, gone := range []net.Conn{silent, upload, first, half, idleConn} {
		before := s.lists[serving].len
		s.send(head("/held") + "\r\n")
		require.True(t, isClosed(gone, 5*time.Second))
		s.awaitState(serving, before+1)
	}
	require.True(t, isClosed(s.dial(), 5*time.Second), "a request under way is not interrupted to make room")
	require.False(t, isClosed(other, 100*time.Millisecond))
}

// TestDescriptorsOfRequestsCount has each request take another descriptor.
func TestDescriptorsOfRequestsCount(t *testing.T) {
	s, release := startServer(t, Bounds{Descriptors: 4, PerRequest: 1}, nil)
	defer close(release)
	for n := range 2 {
		s.send(head("/held") + "\r\n")
		s.awaitState(serving, n+1)
	}
	require.True(t, isClosed(s.dial(), 5*time.Second))
}

func TestRequestWithoutADescriptorIsRefused(t *testing.T) {
	s, release := startServer(t, Bounds{Descriptors: 4, PerRequest: 1}, nil)
	defer close(release)
	c := s.dial()
	s.awaitState(waiting, 1)
	s.send(head("/held") + "\r\n")
	s.awaitState(serving, 1)
	s.limiter.mu.Lock()
	s.bounds.Descriptors = 3 // as if other requests took them
	s.limiter.mu.Unlock()
	_, err := io.WriteString(c, head("/x")+"\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.True(t, resp.Close)
}

func TestTimeouts(t *testing.T) {
	const short = 50 * time.Millisecond
	s, release := startServer(t, Bounds{Descriptors: unlimited}, func() Limits { return Limits{HeadTimeout: short, IdleTimeout: 20 * short} })
	defer close(release)
	served := s.dial()
	held := s.send(head("/held") + "\r\n")
	require.Equal(t, http.StatusOK, respond(t, served, head("/x")+"\r\n"))
	begun := time.Now()
	require.True(t, isClosed(s.dial(), 5*time.Second), "silent")
	require.True(t, isClosed(s.send(head("/x")), 5*time.Second), "half a head")
	require.True(t, isClosed(served, 5*time.Second), "idle")
	require.GreaterOrEqual(t, time.Since(begun), 20*short/2, "idle connections last longer")
	require.False(t, isClosed(held, 100*time.Millisecond), "a request under way")
}

// TestMissingBodyHoldsNoConnection refuses requests whose bodies do not arrive.
func TestMissingBodyHoldsNoConnection(t *testing.T) {
	s, _ := startServer(t, Bounds{Descriptors: unlimited}, nil)
	for _, fields := range []string{"Content-Length: 5", "Transfer-Encoding: chunked", "Content-Length: 5\r\nExpect: 100-continue"} {
		c := s.dial()
		require.Equal(t, http.StatusNotFound, respond(t, c, "POST /refused HTTP/1.1\r\nHost: h\r\n"+fields+"\r\n\r\n"), fields)
		require.True(t, isClosed(c, 5*time.Second), fields)
	}
}

// TestUnreadResponses checks which connections count as stalled, and when they are closed.
func TestUnreadResponses(t *testing.T) {
	s, release := startServer(t, Bounds{Descriptors: unlimited}, nil)
	close(release)
	s.send(head("/large") + "\r\n")
	check := func(now time.Time) {
		s.limiter.mu.Lock()
		defer s.limiter.mu.Unlock()
		s.checkWrites(now)
	}
	s.awaitState(serving, 1)
	s.limiter.mu.Lock()
	conn := s.lists[serving].front()
	s.limiter.mu.Unlock()
	require.Eventually(t, func() bool { // the buffers of both sides take a while to fill
		writes := conn.writes.Load()
		time.Sleep(200 * time.Millisecond)
		return writes%2 == 1 && writes == conn.writes.Load()
	}, 20*time.Second, time.Millisecond)
	begun := time.Now()
	check(begun)
	check(begun.Add(stallTime + time.Second))
	s.awaitState(stalled, 1)
	check(begun.Add(WriteTimeout + time.Second))
	s.awaitState(stalled, 0)
	require.Zero(t, s.Open())
}

// TestEventsAreCountedAndLogged checks that what the server rejects by itself leaves a trace.
func TestEventsAreCountedAndLogged(t *testing.T) {
	var lines strings.Builder
	reg := metrics.NewRegistry()
	l := New(Options{HeadMemory: headMemory, Metrics: reg, Logger: log.NewLogfmtLogger(&lines)})
	ln := l.Listen("test", nil, Bounds{Descriptors: 1})
	for range 3 {
		l.mu.Lock()
		l.count(ln.name, causeMalformed)
		l.mu.Unlock()
	}
	_, err := errorWriter{ln}.Write([]byte("http: panic serving\n"))
	require.NoError(t, err)
	l.logClosed()
	l.logClosed()
	require.Equal(t, 1, strings.Count(lines.String(), "cause=malformed count=3"))
	require.Contains(t, lines.String(), "panic serving")
	require.EqualValues(t, 3, reg.Get("connections.test.malformed").(metrics.Counter).Count())
}

// TestConnectionsThatCarryNoHTTP checks that connections of other protocols are closed to make room until they are established.
func TestConnectionsThatCarryNoHTTP(t *testing.T) {
	l := New(Options{HeadMemory: headMemory, Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger()})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ln := l.Listen("peers", inner, Bounds{Descriptors: 3, Waiting: 1})
	defer ln.Close()
	accept := func() (client net.Conn, server *conn) {
		client, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		accepted, err := ln.Accept()
		require.NoError(t, err)
		return client, accepted.(*conn)
	}
	known, established := accept()
	defer known.Close()
	established.Established()
	silent, _ := accept()
	defer silent.Close()
	time.Sleep(2 * arrivalTime)
	next, _ := accept()
	defer next.Close()
	require.True(t, isClosed(silent, 5*time.Second), "only one may wait")
	require.False(t, isClosed(known, 50*time.Millisecond))
	require.False(t, isClosed(next, 50*time.Millisecond))
}

func BenchmarkRequest(b *testing.B) {
	for name, limited := range map[string]bool{"plain": false, "limited": true} {
		b.Run(name, func(b *testing.B) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			release := make(chan struct{})
			close(release)
			server := &http.Server{Handler: echo(release)}
			l := net.Listener(inner)
			if limited {
				limiter := New(Options{HeadMemory: headMemory, Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger()})
				ln := limiter.Listen("test", inner, Bounds{Descriptors: unlimited, PerRequest: 1})
				ln.Configure(server)
				l = ln
			}
			go func() { _ = server.Serve(l) }()
			defer server.Close()
			c, err := net.Dial("tcp", inner.Addr().String())
			require.NoError(b, err)
			defer c.Close()
			in := bufio.NewReader(c)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab")
				resp, err := http.ReadResponse(in, nil)
				require.NoError(b, err)
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		})
	}
}
