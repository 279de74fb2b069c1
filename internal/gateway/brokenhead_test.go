package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/rawresponse"
)

// rawSend sends a request with the given ID and returns the bytes of the response.
func (r *harness) rawSend(path, id string) string {
	r.t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	require.NoError(r.t, err)
	defer c.Close()
	require.NoError(r.t, c.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx", path, testHost, id)
	require.NoError(r.t, err)
	text, err := io.ReadAll(c)
	require.NoError(r.t, err)
	return string(text)
}

// wellFormedHead matches a response by the grammar of RFC 9112: a status of three digits, and a token as the name of each field.
var wellFormedHead = regexp.MustCompile("^HTTP/1\\.1 [2-5][0-9][0-9] [\t -~]*\r\n([!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t -~]*\r\n)*\r\n")

// maxProbes returns how many probes an engine may get in a time after a broken response: one after 250 ms, and the next ones after
// twice as long each.
func maxProbes(d time.Duration) (n int) {
	for open := 250 * time.Millisecond; d >= open; open *= 2 {
		n, d = n+1, d-open
	}
	return n
}

// brokenHarness has the first of two engines send responses with a head.
func brokenHarness(t *testing.T, head rawresponse.Head, fields string) (*harness, *atomic.Int64) {
	const body = "bytes of the first engine"
	r := newHarness(t, harnessOptions{plain: engines("", "i-1", "i-2")})
	calls := &atomic.Int64{}
	r.servers["i-1"].Config.Handler = rawresponse.Handler(func(req *http.Request) string {
		calls.Add(1)
		return fmt.Sprintf("%s\r\nX-Request-Id: %s\r\nX-Response-Seal: seal-1\r\n%s%sContent-Length: %d\r\n\r\n%s",
			head.Status, req.Header.Get("X-Request-Id"), fields, head.Fields, len(body), body)
	})
	return r, calls
}

// brokenHeadStatuses are the statuses that the responses with broken heads state, and the fields that belong to them. Some promise
// that the request has not run.
var brokenHeadStatuses = map[string]string{
	"200 OK": "", "404 Not Found": "", "500 Internal Server Error": "", "421 Misdirected Request": "", "429 Too Many Requests": "X-Not-Executed: 1\r\n",
	"503 Service Unavailable": "X-Not-Executed: 1\r\n",
}

// TestResponsesWithBrokenHeadsAreNotRelayed has one of two engines send responses with broken heads. A request that may be
// repeated gets the response of the other engine. One that may not gets 502, since nothing that such a head says can be relied
// on. The engine is then avoided.
func TestResponsesWithBrokenHeadsAreNotRelayed(t *testing.T) {
	const requests = 20
	for name, broken := range rawresponse.BrokenHeads() {
		for status, fields := range brokenHeadStatuses {
			if !strings.Contains(broken.Status, "200 OK") && status != "200 OK" {
				continue // the status is what is broken
			}
			head := rawresponse.Head{Status: strings.Replace(broken.Status, "200 OK", status, 1), Fields: broken.Fields}
			for _, path := range []string{pathIdempotent, pathAtMostOnce} {
				t.Run(name+"/"+status+path, func(t *testing.T) {
					r, calls := brokenHarness(t, head, fields)
					started, failed := time.Now(), 0
					for n := range requests {
						id := fmt.Sprint("r-", n)
						got := r.rawSend(path, id)
						require.Regexp(t, wellFormedHead, got)
						require.NotContains(t, got, "bytes of the first engine")
						if strings.HasPrefix(got, "HTTP/1.1 200 ") {
							require.True(t, strings.HasSuffix(got, "\r\n\r\nanswer to "+id), "%q", got)
							continue
						}
						require.True(t, strings.HasPrefix(got, "HTTP/1.1 502 "), "%q", got)
						failed++
					}
					wantFailed := 0
					if path == pathAtMostOnce {
						wantFailed = int(calls.Load())
					}
					require.Equal(t, wantFailed, failed)
					require.NotZero(t, calls.Load())
					require.LessOrEqual(t, int(calls.Load()), 1+maxProbes(time.Since(started)), "the engine is avoided after its first response")
				})
			}
		}
	}
}
