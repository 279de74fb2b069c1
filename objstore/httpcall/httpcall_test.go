package httpcall_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/standin/rawresponse"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/objstore/httpapi"
	"github.com/rockdoor/rockdoor/platform"
)

// stores are the clients that call stores through the package, with the body of a response that each of their calls can read.
var stores = map[string]struct {
	open func(address string) objstore.Store
	key  string
	body string
}{
	"httpapi":  {func(address string) objstore.Store { return httpapi.New("http://" + address) }, "k/a", `{"objects": [], "events": [], "key": "k/a", "version": 5, "revision": 5}`},
	"platform": {func(address string) objstore.Store { return platform.NewStore(address) }, platform.LeasePrefix + "a", `{"items": [], "events": [], "current_rev": 5, "metadata": {"name": "a", "revision": 5}, "spec": {"write": "w", "value": 1}}`},
}

// serve starts a store that sends the same response to all calls, each on a connection of its own. It returns the store's address.
func serve(t *testing.T, head, body string) (address string) {
	server := httptest.NewServer(rawresponse.Handler(func(*http.Request) string {
		return fmt.Sprintf("%sConnection: close\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// callAll makes each call to a store and returns the errors of those that read and of those that write.
func callAll(t *testing.T, s objstore.Store, key string) (reads, writes map[string]error) {
	ctx := t.Context()
	_, get := s.Get(ctx, key)
	_, _, list := s.List(ctx, key[:len(key)-1])
	_, _, watch := s.Watch(ctx, key[:len(key)-1], 0, 0)
	_, create := s.Put(ctx, key, []byte("1"), 0, "w")
	_, replace := s.Put(ctx, key, []byte("1"), 4, "w")
	return map[string]error{"get": get, "list": list, "watch": watch}, map[string]error{"create": create, "replace": replace, "delete": s.Delete(ctx, key, 4)}
}

// requireNoAnswer has a store send the same response to all calls. No call may take it for an answer, and the outcome of the
// writes is unknown.
func requireNoAnswer(t *testing.T, head string) {
	for name, c := range stores {
		reads, writes := callAll(t, c.open(serve(t, head, c.body)), c.key)
		for call, err := range reads {
			require.Truef(t, fault.Is(err, fault.Unavailable), "%s, %s: %v", name, call, err)
		}
		for call, err := range writes {
			require.Truef(t, fault.Is(err, fault.Unknown), "%s, %s: %v", name, call, err)
		}
	}
}

// TestResponsesWithBrokenHeadsAreNoAnswers has a store send heads that are none of HTTP/1.
func TestResponsesWithBrokenHeadsAreNoAnswers(t *testing.T) {
	for name, head := range rawresponse.BrokenHeads() {
		t.Run(name, func(t *testing.T) {
			requireNoAnswer(t, head.Status+"\r\n"+head.Fields)
		})
	}
}

// TestResponsesOfSoundHeadsAreAnswers sends the same bodies with a sound head.
func TestResponsesOfSoundHeadsAreAnswers(t *testing.T) {
	for name, c := range stores {
		reads, writes := callAll(t, c.open(serve(t, "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n", c.body)), c.key)
		for _, errs := range []map[string]error{reads, writes} {
			for call, err := range errs {
				require.NoErrorf(t, err, "%s, %s", name, call)
			}
		}
	}
}

// TestOnlyListedSuccessesAreAnswers has a store send statuses of success that do not say that a call was carried out, or that the
// body is all of what was asked for.
func TestOnlyListedSuccessesAreAnswers(t *testing.T) {
	for _, status := range []int{101, 202, 203, 205, 206, 207, 226, 299, 300, 304, 399} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			requireNoAnswer(t, fmt.Sprintf("HTTP/1.1 %d Odd\r\n", status))
		})
	}
}

// TestSuccessesOfWritesAreNoListsOrObjects has a store answer reads with statuses that only writes have.
func TestSuccessesOfWritesAreNoListsOrObjects(t *testing.T) {
	for _, status := range []string{"201 Created", "204 No Content"} {
		for name, c := range stores {
			reads, _ := callAll(t, c.open(serve(t, "HTTP/1.1 "+status+"\r\n", c.body)), c.key)
			for call, err := range reads {
				require.Truef(t, fault.Is(err, fault.Unavailable), "%s, %s, %s: %v", name, call, status, err)
			}
		}
	}
}

// TestRedirectsOfStoresAreNotFollowed has a store redirect calls to another server, which would answer in its place.
func TestRedirectsOfStoresAreNotFollowed(t *testing.T) {
	for _, c := range stores {
		var calls atomic.Int64
		other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			calls.Add(1)
			_, _ = io.WriteString(w, c.body)
		}))
		t.Cleanup(other.Close)
		for _, status := range []string{"301 Moved", "302 Found", "303 See Other", "307 Temporary Redirect", "308 Permanent Redirect"} {
			requireNoAnswer(t, fmt.Sprintf("HTTP/1.1 %s\r\nLocation: %s/x\r\n", status, other.URL))
		}
		require.Zero(t, calls.Load())
	}
}

// TestEmptyBodiesAreNoListsOrObjects has a store answer with a success whose body is empty.
func TestEmptyBodiesAreNoListsOrObjects(t *testing.T) {
	for name, c := range stores {
		reads, writes := callAll(t, c.open(serve(t, "HTTP/1.1 200 OK\r\n", "")), c.key)
		for call, err := range reads {
			require.Truef(t, fault.Is(err, fault.Unavailable), "%s, %s: %v", name, call, err)
		}
		for _, call := range []string{"create", "replace"} {
			require.Truef(t, fault.Is(writes[call], fault.Unknown), "%s, %s: %v", name, call, writes[call])
		}
		require.NoErrorf(t, writes["delete"], "%s: nothing is returned", name)
	}
}

// TestResetDuringAWriteIsNoEndOfTheResponse has a store respond to a long write before it has read it, without a length, with what may
// be a part of an object, and reset the connection.
func TestResetDuringAWriteIsNoEndOfTheResponse(t *testing.T) {
	const runs = 20
	value := []byte(`"` + strings.Repeat("x", 1_000_000) + `"`)
	for name, c := range stores {
		for _, delay := range []time.Duration{0, 5 * time.Millisecond} {
			server := httptest.NewServer(rawresponse.Early{Delay: delay, Response: func(*http.Request) string { return "HTTP/1.1 200 OK\r\n\r\n" + c.body }})
			t.Cleanup(server.Close)
			for range runs {
				_, err := c.open(server.Listener.Addr().String()).Put(t.Context(), c.key, value, 0, "w")
				require.Truef(t, fault.Is(err, fault.Unknown), "%s, reset after %s: %v", name, delay, err)
			}
		}
	}
}
