package cut_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/engine/openai"
	"github.com/rockdoor/rockdoor/internal/attempt"
	"github.com/rockdoor/rockdoor/internal/peer"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/internal/standin/cut"
	"github.com/rockdoor/rockdoor/internal/standin/fleetstore"
	"github.com/rockdoor/rockdoor/internal/upstream"
	"github.com/rockdoor/rockdoor/platform"
)

const (
	idHeader = "Id"
	timeout  = 5 * time.Second
	body     = `{"kv_handle": "h-1", "tokens": 1}`
	events   = "data: a\n\ndata: " + openai.Done + "\n\n"
)

// listen returns a listener on a free port of the loopback interface.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return l
}

// proxied returns the address of a proxy and its settings.
func proxied(t *testing.T, target string) (string, *cut.Proxy) {
	l, p := listen(t), cut.New(target)
	go p.Serve(l)
	return l.Addr().String(), p
}

// respond answers the first request of each connection with a text and closes it.
func respond(t *testing.T, text string) string {
	l := listen(t)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, text)
			}
			_ = conn.Close()
		}
	}()
	return l.Addr().String()
}

// framings returns responses with a body in each framing. Only that without one ends with its connection.
func framings(id, body string) map[string]string {
	head := "HTTP/1.1 200 OK\r\n" + id + "\r\n"
	half := len(body) / 2
	chunks := fmt.Sprintf("%x\r\n%s\r\n%x;a=b\r\n%s\r\n0\r\n", half, body[:half], len(body)-half, body[half:])
	return map[string]string{
		"length":            head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body,
		"chunks":            head + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n",
		"chunks and fields": head + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "A: b\r\n\r\n",
		"hint, length":      "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body,
		"close, length":     head + fmt.Sprintf("Connection: close\r\nContent-Length: %d\r\n\r\n", len(body)) + body,
		unframed:            head + "\r\n" + body,
		"close, unframed":   head + "Connection: close\r\n\r\n" + body,
	}
}

const unframed = "unframed"

// relay connects callers to an instance.
type relay struct{}

func (relay) Connect(_ context.Context, _ string, to *peerpb.Connect) (net.Conn, *peerpb.Connected) {
	conn, err := net.Dial("tcp", to.GetAddress())
	if err != nil {
		return nil, &peerpb.Connected{Status: peerpb.ConnectStatus_CONNECT_STATUS_UNREACHABLE}
	}
	return conn, &peerpb.Connected{Status: peerpb.ConnectStatus_CONNECT_STATUS_CONNECTED}
}
func (relay) Request(string, *peerpb.Connect, string) {}
func (relay) Done()                                   {}

type echo struct{}

func (echo) HandlePeer(_ context.Context, r *peerpb.Request) *peerpb.Response {
	return &peerpb.Response{Body: &peerpb.Response_Heartbeat{Heartbeat: r.GetHeartbeat()}}
}

// transport returns a transport and its address.
func transport(t *testing.T, name string) (*peer.Transport, string) {
	tr, l := peer.NewTransport(&peerpb.Identity{Name: name, Incarnation: "1"}, echo{}, metrics.NewRegistry(), log.NewNopLogger()), listen(t)
	go func() { _ = tr.Serve(l) }()
	t.Cleanup(tr.Close)
	return tr, l.Addr().String()
}

// read sends a request and returns the body of the response.
func read(ctx context.Context, c *upstream.Client, address string) (string, error) {
	a, err := c.Do(ctx, upstream.Request{
		Address: address, Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{idHeader: {"1"}}, ID: "1",
		ResponseID: func(h http.Header) string { return upstream.StatedID(h, idHeader) },
	})
	if err != nil {
		return "", err
	}
	text, err := io.ReadAll(a.Body)
	a.Close(err == nil)
	return string(text), err
}

// TestResponsesCutAtEachByteAreNotWhole cuts responses of instances, on direct and relayed connections. A body that is delimited by
// the end of its connection is whole wherever the instance closes it, but not if the connection is reset.
func TestResponsesCutAtEachByteAreNotWhole(t *testing.T) {
	helper, helperAddress := transport(t, "helper")
	helper.SetRelay(relay{})
	caller, _ := transport(t, "caller")
	relayed := func(ctx context.Context, address string) (net.Conn, error) {
		c, status, err := caller.Connect(ctx, helperAddress, &peerpb.Connect{Address: address})
		if err == nil && status.GetStatus() != peerpb.ConnectStatus_CONNECT_STATUS_CONNECTED {
			err = errors.New(status.GetStatus().String())
		}
		return c, err
	}
	for path, dial := range map[string]upstream.DialFunc{"direct": nil, "relayed": relayed} {
		for name, text := range framings(idHeader+": 1", body) {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/reset=%v", path, name, reset), func(t *testing.T) {
					t.Parallel()
					address, p := proxied(t, respond(t, text))
					got, err := read(t.Context(), upstream.New(metrics.NewRegistry()), address)
					require.NoError(t, err)
					require.Equal(t, body, got)
					for n := range len(text) {
						p.CutAfter(n, reset)
						c := upstream.New(metrics.NewRegistry())
						if dial != nil {
							c.SetDial(dial)
						}
						ctx, cancel := context.WithTimeout(t.Context(), timeout)
						got, err := read(ctx, c, address)
						require.NoError(t, ctx.Err(), "byte %d", n)
						cancel()
						c.Close()
						headEnd := strings.LastIndex(text, "\r\n\r\n") + 4
						if strings.HasSuffix(name, unframed) && !reset && n >= headEnd {
							require.NoError(t, err, "byte %d", n)
							require.Equal(t, text[headEnd:n], got)
							continue
						}
						require.Error(t, err, "byte %d of %q", n, text)
					}
				})
			}
		}
	}
}

// TestPrefillResponsesCutAtEachByteHaveNoHandle covers those without a length, whose end can't be told from their framing.
func TestPrefillResponsesCutAtEachByteHaveNoHandle(t *testing.T) {
	handle, err := platform.Protocol{}.DecodePrefillResult([]byte(body))
	require.NoError(t, err)
	require.Equal(t, "h-1", handle)
	for n := range len(body) {
		_, err := platform.Protocol{}.DecodePrefillResult([]byte(body[:n]))
		require.Error(t, err, "byte %d", n)
	}
}

// TestCompletionsCutAtEachByteAreNotWhole cuts responses and streams of the completion service's engines. A stream is whole from
// its last event on.
func TestCompletionsCutAtEachByteAreNotWhole(t *testing.T) {
	for kind, text := range map[string]string{"response": body, "stream": events} {
		for name, text := range framings(openai.AttemptHeader+": 1", text) {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/reset=%v", kind, name, reset), func(t *testing.T) {
					t.Parallel()
					address, p := proxied(t, respond(t, text))
					for n := range len(text) {
						p.CutAfter(n, reset)
						s := attempt.NewSender(metrics.NewRegistry())
						a := s.Start(t.Context(), attempt.Request{ID: "1", Address: address, Method: http.MethodPost, URI: "/", Header: http.Header{}})
						err := a.Err()
						if err == nil && kind == "stream" {
							err = a.Events(func(string) error { return nil }, func() error { return nil })
						} else if err == nil {
							var got []byte
							if got, err = a.ReadAll(1<<10, func(b []byte) error { return nil }); err == nil {
								require.True(t, strings.HasSuffix(name, unframed) && !reset, "byte %d", n)
								require.Equal(t, text[strings.LastIndex(text, "\r\n\r\n")+4:n], string(got))
							}
						}
						s.Close()
						if kind == "stream" && bytes.Contains([]byte(text[:n]), []byte(openai.Done)) {
							continue
						}
						if !strings.HasSuffix(name, unframed) || reset || kind == "stream" {
							require.Error(t, err, "byte %d of %q", n, text)
						}
					}
				})
			}
		}
	}
}

// TestStoreResponsesCutAtEachByteAreNotWhole cuts what the store sends, with and without a length.
func TestStoreResponsesCutAtEachByteAreNotWhole(t *testing.T) {
	const key = platform.LeasePrefix + "a"
	fake := fleetstore.New()
	var text atomic.Pointer[string]
	var length atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		fake.ServeHTTP(rec, r)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		var b bytes.Buffer
		fmt.Fprintf(&b, "HTTP/1.1 %d OK\r\n", rec.Code)
		rec.Header().Del("Content-Length")
		if length.Load() {
			rec.Header().Set("Content-Length", strconv.Itoa(rec.Body.Len()))
		}
		_ = rec.Header().Write(&b)
		all := b.String() + "\r\n" + rec.Body.String()
		text.Store(&all)
		_, _ = io.WriteString(conn, all)
	}))
	t.Cleanup(server.Close)
	direct := platform.NewStore(server.Listener.Addr().String())
	t.Cleanup(direct.Close)
	_, err := direct.Put(t.Context(), key, []byte(`{"n":1}`), 0, "w1")
	require.NoError(t, err)
	_, revision, err := direct.List(t.Context(), platform.LeasePrefix)
	require.NoError(t, err)
	_, err = direct.Put(t.Context(), platform.LeasePrefix+"b", []byte(`{"n":2}`), 0, "w2")
	require.NoError(t, err)
	for name, call := range map[string]func(ctx context.Context, s *platform.Store) error{
		"get": func(ctx context.Context, s *platform.Store) error { _, err := s.Get(ctx, key); return err },
		"list": func(ctx context.Context, s *platform.Store) error {
			_, _, err := s.List(ctx, platform.LeasePrefix)
			return err
		},
		"watch": func(ctx context.Context, s *platform.Store) error {
			_, _, err := s.Watch(ctx, platform.LeasePrefix, revision, time.Second)
			return err
		},
	} {
		for _, states := range []bool{true, false} {
			length.Store(states)
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/length=%v/reset=%v", name, states, reset), func(t *testing.T) {
					address, p := proxied(t, server.Listener.Addr().String())
					whole := platform.NewStore(address)
					require.NoError(t, call(t.Context(), whole))
					whole.Close()
					sent := *text.Load()
					for n := range len(strings.TrimRight(sent, "\n")) {
						p.CutAfter(n, reset)
						s := platform.NewStore(address)
						ctx, cancel := context.WithTimeout(t.Context(), timeout)
						err := call(ctx, s)
						require.NoError(t, ctx.Err(), "byte %d", n)
						cancel()
						s.Close()
						require.Error(t, err, "byte %d of %q", n, sent)
					}
				})
			}
		}
	}
}

// TestPeerResponsesCutAtEachByteAreNotWhole cuts a session to a peer.
func TestPeerResponsesCutAtEachByteAreNotWhole(t *testing.T) {
	const revision, longestSession = 1 << 40, 400
	_, target := transport(t, "server")
	for _, reset := range []bool{false, true} {
		lost := 0
		for n := range longestSession {
			address, p := proxied(t, target)
			p.CutAfter(n, reset)
			caller, _ := transport(t, "caller")
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			resp, err := caller.Call(ctx, address, &peerpb.Request{Body: &peerpb.Request_Heartbeat{Heartbeat: &peerpb.Heartbeat{ConfigRevision: revision}}})
			require.NoError(t, ctx.Err(), "byte %d", n)
			cancel()
			caller.Close()
			if err != nil {
				lost++
				continue
			}
			require.Equal(t, "server", resp.GetFrom().GetName(), "byte %d", n)
			require.EqualValues(t, revision, resp.GetHeartbeat().GetConfigRevision(), "byte %d", n)
		}
		require.NotZero(t, lost)
		require.Less(t, lost, longestSession, "the session was not whole")
	}
}
