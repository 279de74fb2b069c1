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
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/rawresponse"
)

// earlyRuns is how often each form of an early response is sent, since what the client meets first depends on its scheduling.
const earlyRuns = 20

// sendEarly sends a request to an instance that responds before it reads the body, and returns the status and what was read of
// the response.
func sendEarly(t *testing.T, bodyBytes int, early rawresponse.Early) (status int, body string, err error) {
	server := httptest.NewServer(early)
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	c := New(metrics.NewRegistry())
	resp, err := c.Do(ctx, request(server.Listener.Addr().String(), "a", strings.Repeat("x", bodyBytes)))
	if err != nil {
		return 0, "", err
	}
	defer resp.Close(true)
	text, err := io.ReadAll(resp.Body)
	return resp.Status, string(text), err
}

// response returns the bytes of a response with the ID of the request.
func response(version, status, fields, body string) func(*http.Request) string {
	return func(r *http.Request) string {
		return fmt.Sprintf("HTTP/%s %s\r\nId: %s\r\n%s\r\n%s", version, status, r.Header.Get("Id"), fields, body)
	}
}

// uploads are the sizes of requests in bytes: one that is written before the response is read, one that fits into the buffers of
// the kernel, and two that do not.
var uploads = []int{1 << 10, 64 << 10, 1 << 20, 4 << 20}

// TestResetDuringAnUploadIsNoEndOfTheResponse has an instance send a part of a response and reset the connection while the request
// is being written.
func TestResetDuringAnUploadIsNoEndOfTheResponse(t *testing.T) {
	for framing, respond := range map[string]func(*http.Request) string{
		"unframed":  response("1.1", "200 OK", "", "part"),
		"HTTP/1.0":  response("1.0", "200 OK", "", "part"),
		"no body":   response("1.1", "200 OK", "", ""),
		"a failure": response("1.1", "500 Internal Server Error", "", "part"),
		"a length":  response("1.1", "200 OK", "Content-Length: 9\r\n", "part"),
		"chunks":    response("1.1", "200 OK", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n"),
	} {
		for _, end := range []rawresponse.End{rawresponse.Reset, rawresponse.CloseUnread} {
			for _, delay := range []time.Duration{0, time.Millisecond, 30 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s/%d/%s", framing, end, delay), func(t *testing.T) {
					t.Parallel()
					for _, size := range uploads {
						if size < uploads[2] && end == rawresponse.CloseUnread {
							continue // the instance reads nearly all of it with the head
						}
						whole := 0
						for range earlyRuns {
							if _, _, err := sendEarly(t, size, rawresponse.Early{Response: respond, End: end, Delay: delay}); err == nil {
								whole++
							}
						}
						require.Zerof(t, whole, "parts of %d that were taken for whole responses, upload of %d bytes", earlyRuns, size)
					}
				})
			}
		}
	}
}

// TestSoundEarlyResponsesAreWhole has an instance respond before the request is written in ways that show the end of the response.
func TestSoundEarlyResponsesAreWhole(t *testing.T) {
	all := []rawresponse.End{rawresponse.Reset, rawresponse.CloseUnread, rawresponse.Finish, rawresponse.FinishAndReset}
	finished := []rawresponse.End{rawresponse.Finish, rawresponse.FinishAndReset}
	for name, c := range map[string]struct {
		fields, sent string
		ends         []rawresponse.End
	}{
		"a length": {"Content-Length: 5\r\n", "whole", all},
		"chunks":   {"Transfer-Encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n", all},
		"unframed": {"", "whole", finished},
	} {
		for _, status := range []string{"200 OK", "413 Content Too Large"} {
			for _, end := range c.ends {
				t.Run(fmt.Sprintf("%s/%s/%d", name, status, end), func(t *testing.T) {
					t.Parallel()
					early := rawresponse.Early{Response: response("1.1", status, c.fields, c.sent), End: end, Delay: 5 * time.Millisecond}
					for _, size := range uploads[1:] {
						for range earlyRuns {
							got, body, err := sendEarly(t, size, early)
							require.NoError(t, err, size)
							require.True(t, strings.HasPrefix(status, fmt.Sprint(got)), got)
							require.Equal(t, "whole", body)
						}
					}
				})
			}
		}
	}
}

// TestWholeResponseDoesNotWaitForTheUpload has an instance end its side of the connection and leave the rest of the request unread.
func TestWholeResponseDoesNotWaitForTheUpload(t *testing.T) {
	const maxTime = time.Second
	address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, response("1.1", "200 OK", "", "whole")(req))
		_ = c.(*net.TCPConn).CloseWrite()
		<-t.Context().Done()
		_ = c.Close()
	})
	for range earlyRuns {
		started := time.Now()
		require.Equal(t, "whole", get(t, New(metrics.NewRegistry()), request(address, "a", strings.Repeat("x", 8<<20))))
		require.Less(t, time.Since(started), maxTime)
	}
}
