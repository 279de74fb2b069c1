package entry

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/engine/openai"
	"github.com/rockdoor/rockdoor/internal/standin/rawresponse"
)

// TestResetDuringAnUploadIsNoAnswer has targets send a part of a response without a length, which may look whole by itself, and reset
// the connection while they are sent the request. No client may take that part for an answer.
func TestResetDuringAnUploadIsNoAnswer(t *testing.T) {
	const uploadBytes, requests = 3 << 20, 12
	stream := soundStream(t)
	long := strings.Repeat("x", uploadBytes)
	chat := func(f *fleet, stream bool) got {
		body := fmt.Sprintf(`{"model": "review", "stream": %t, "max_tokens": 6, "messages": [{"role": "user", "content": %q}]}`, stream, long)
		return f.do(http.MethodPost, pathChat, body, HeaderSelector, "domain=d0")
	}
	for name, c := range map[string]struct {
		contentType, part string
		send              func(*fleet) got
	}{
		"completion":               {"application/json", `{"choices": [], "garbage": 1}`, func(f *fleet) got { return chat(f, false) }},
		"half a completion":        {"application/json", `{"choices": [], "garb`, func(f *fleet) got { return chat(f, false) }},
		"stream":                   {"text/event-stream", stream[:len(stream)/2], func(f *fleet) got { return chat(f, true) }},
		"service, once":            {"text/plain", "garbage", func(f *fleet) got { return f.do(http.MethodPost, "/alerts/a", long) }},
		"service, may be repeated": {"text/plain", "garbage", func(f *fleet) got { return f.do(http.MethodPost, "/alerts/a", long, HeaderIdempotent, "true") }},
	} {
		for _, delay := range []time.Duration{0, 5 * time.Millisecond} {
			t.Run(name+"/"+delay.String(), func(t *testing.T) {
				for range requests {
					f, calls := start(t), atomic.Int64{}
					f.settings.Limits.BodyBytes = 2 * uploadBytes
					require.NoError(t, f.settings.Limits.BodyTimeout.UnmarshalText([]byte("5s")))
					early := rawresponse.Early{Delay: delay, Response: func(r *http.Request) string {
						calls.Add(1)
						return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: %s\r\n\r\n%s", openai.AttemptHeader, r.Header.Get(openai.AttemptHeader), c.contentType, c.part)
					}}
					f.service = early
					f.respond = func(_ int, w http.ResponseWriter, r *http.Request) bool {
						early.ServeHTTP(w, r)
						return true
					}
					got := c.send(f)
					require.NotZero(t, calls.Load())
					if got.err == nil && got.status == http.StatusOK {
						_, done := text(t, got.body)
						require.False(t, done, got.body)
						require.Equal(t, "text/event-stream", got.header.Get("Content-Type"), "%+v", got)
						require.NotEqual(t, "complete", got.trailer.Get(HeaderOutcome))
					}
				}
			})
		}
	}
}
