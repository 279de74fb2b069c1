package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/fault"
)

const rejectionHead = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n"

// lateResponses are responses in excess that come before the response to the second request on a connection. They state an
// ID or none.
var lateResponses = map[string]string{
	"rejection":  rejectionHead,
	"rate limit": "HTTP/1.1 429 Too Many Requests\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n",
	"misdirect":  "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n",
	"success":    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate",
	"failure":    "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n",
}

// serveLate responds to each request with the number of its connection. Before all responses but the first of a connection,
// it sends text, as often as the connection has carried requests.
func serveLate(t *testing.T, text string) string {
	return serve(t, func(n int, c net.Conn, r *bufio.Reader) {
		for carried := 0; ; carried++ {
			id, _, err := readRequest(r)
			if err != nil {
				return
			}
			for range carried {
				_, _ = io.WriteString(c, text)
			}
			time.Sleep(20 * time.Millisecond)
			write(c, id, fmt.Sprint(n))
		}
	})
}

// TestLateResponseWithoutAnIDIsNotTaken has an instance that states the ID in its responses send others without one on a
// connection that has carried a request.
func TestLateResponseWithoutAnIDIsNotTaken(t *testing.T) {
	for name, text := range lateResponses {
		t.Run(name, func(t *testing.T) {
			if name != "success" {
				text += "\r\n"
			}
			address, c := serveLate(t, text), New(metrics.NewRegistry())
			require.Equal(t, "1", get(t, c, request(address, "a", "")))
			require.Equal(t, "1", get(t, c, request(address, "b", "")), "the response to this request follows")
			require.Zero(t, c.OpenConns(address), "the connection is not used again")
		})
	}
}

// TestLateResponseToAnEarlierAttemptIsNotTaken sends a request again under the ID that an earlier one on the connection had.
func TestLateResponseToAnEarlierAttemptIsNotTaken(t *testing.T) {
	for name, text := range lateResponses {
		t.Run(name, func(t *testing.T) {
			if name == "success" {
				text = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\nlate"
			} else {
				text += "Id: a\r\n\r\n"
			}
			address, c := serveLate(t, text), New(metrics.NewRegistry())
			require.Equal(t, "1", get(t, c, request(address, "a", "")))
			require.Equal(t, "2", get(t, c, request(address, "a", "")), "on another connection")
			require.Equal(t, 2, c.OpenConns(address))
		})
	}
}

// TestResponseInsideAHeadIsNotTaken has a response in excess begin in the middle of the head of the next one.
func TestResponseInsideAHeadIsNotTaken(t *testing.T) {
	for name, text := range lateResponses {
		if name != "success" {
			text += "\r\n"
		}
		for part, head := range map[string]string{"in the status line": "HTTP/1.1 200", "after a field": "HTTP/1.1 200 OK\r\nId: b\r\n", "in a field": "HTTP/1.1 200 OK\r\nId: "} {
			t.Run(name+"/"+part, func(t *testing.T) {
				address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
					id, _, err := readRequest(r)
					if err != nil {
						return
					}
					write(c, id, "own")
					if _, _, err = readRequest(r); err == nil {
						_, _ = io.WriteString(c, head+text+"Content-Length: 3\r\n\r\nown")
						_, _ = r.ReadByte()
					}
				})
				c := New(metrics.NewRegistry())
				require.Equal(t, "own", get(t, c, request(address, "a", "")))
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, err := c.Do(ctx, request(address, "b", ""))
				require.True(t, fault.Is(err, fault.Unknown), "%v", err)
				require.Zero(t, c.OpenConns(address))
			})
		}
	}
}

// TestConnectionEndsOnceItHasCarriedManyRequests checks that a connection is not used beyond the IDs that it remembers.
func TestConnectionEndsOnceItHasCarriedManyRequests(t *testing.T) {
	address := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
		for {
			id, _, err := readRequest(r)
			if err != nil {
				return
			}
			write(c, id, fmt.Sprint(n))
		}
	})
	c := New(metrics.NewRegistry())
	for n := range maxRequestsPerConn + 1 {
		want := fmt.Sprint(1 + n/maxRequestsPerConn)
		require.Equal(t, want, get(t, c, request(address, fmt.Sprint("r", n), "")))
	}
}

// TestAmbiguousRejectionMayHaveRun has an instance reject a request without an ID on a connection that has carried another one.
// Nothing follows.
func TestAmbiguousRejectionMayHaveRun(t *testing.T) {
	const limit = 600 * time.Millisecond
	address := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
		for carried := 0; ; carried++ {
			id, _, err := readRequest(r)
			switch {
			case err != nil:
				return
			case carried == 0 && n == 1:
				write(c, id, fmt.Sprint(n))
			default:
				_, _ = io.WriteString(c, rejectionHead+"\r\n")
			}
		}
	})
	c := New(metrics.NewRegistry())
	do := func(id string) (*Response, error) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		t.Cleanup(cancel)
		return c.Do(ctx, request(address, id, ""))
	}
	a, err := do("a")
	require.NoError(t, err)
	a.DiscardBody()
	begun := time.Now()
	_, err = do("b")
	require.True(t, fault.Is(err, fault.Unknown), "%v", err)
	require.Less(t, time.Since(begun), limit)
	require.Zero(t, c.OpenConns(address))
	for n := range 5 { // the instance is known by now to reject without an ID
		resp, err := do(fmt.Sprint("c", n))
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, resp.Status, "the first response on a connection belongs to the request")
		resp.DiscardBody()
	}
}
