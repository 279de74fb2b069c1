package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/engine/openai"
	"github.com/rockdoor/rockdoor/internal/control"
	"github.com/rockdoor/rockdoor/internal/standin/engined"
)

// foreignFleet has both engines answer requests with a status, a type and a body, from their nth request on.
func foreignFleet(t *testing.T, from int, first engined.Faults, status int, mediaType, body string) *fleet {
	f := start(t)
	f.engineFaults(first)
	n := 0
	var addresses []any
	for _, e := range f.engines {
		addresses = append(addresses, listener(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if n++; n < from {
				e.ServeHTTP(w, r)
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set(openai.AttemptHeader, r.Header.Get(openai.AttemptHeader))
			w.Header()["Content-Type"] = []string{mediaType}
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		})))
	}
	_, compiled, err := config.Parse("test", fmt.Appendf(nil, testConfig, append(addresses, "127.0.0.1:1", "127.0.0.1:2", 4)...))
	require.NoError(t, err)
	old := f.current()
	f.set(&control.Snapshot{Config: compiled, Revision: 8, Serving: 1, FreshUntil: old.FreshUntil})
	return f
}

// TestForeignResponsesOfCompletionsAreNotRelayed has engines answer a completion with something else.
func TestForeignResponsesOfCompletionsAreNotRelayed(t *testing.T) {
	for _, c := range []struct {
		stream    bool
		status    int
		mediaType string
		body      string
	}{
		{true, 200, "application/json", `{"garbage": 1}`}, {true, 200, "text/plain", `7`}, {true, 200, "text/plain", "\x00 garbage"}, {true, 206, "text/event-stream", "data: {\"garbage\": 1}\n\ndata: [DONE]\n\n"},
		{true, 299, "application/json", "\x00 garbage"}, {true, 204, "application/json", ""},
		{false, 206, "application/json", "\x00 garbage"}, {false, 201, "text/plain", "garbage"}, {false, 299, "application/json", "garbage"}, {false, 204, "application/json", ""}, {false, 200, "application/json", "7"},
	} {
		f := foreignFleet(t, 1, engined.Faults{}, c.status, c.mediaType, c.body)
		g := f.chat("review", c.stream)
		t.Logf("stream %v, %d %s %q: status %d outcome %q %q body %.60q err %v", c.stream, c.status, c.mediaType, c.body, g.status, g.header.Get(HeaderOutcome), g.trailer.Get(HeaderOutcome), g.body, g.err)
		if g.status < 300 && strings.Contains(g.body+g.header.Get(HeaderOutcome)+g.trailer.Get(HeaderOutcome), "complete") || strings.Contains(g.body, "garbage") {
			t.Errorf("stream %v, %d %s %q passed on as complete", c.stream, c.status, c.mediaType, c.body)
		}
	}
}

// TestForeignResponseIsNotJoinedToACompletion has an engine continue a stream that has begun with something else.
func TestForeignResponseIsNotJoinedToACompletion(t *testing.T) {
	for _, c := range [][2]string{{"application/json", `{"garbage": 1}`}, {"text/plain", `"garbage"`}} {
		f := foreignFleet(t, 2, engined.Faults{CutAfter: 3}, 200, c[0], c[1])
		g := f.chat("notes", true)
		t.Logf("%s: status %d outcome %q %q body %q err %v", c[0], g.status, g.header.Get(HeaderOutcome), g.trailer.Get(HeaderOutcome), g.body, g.err)
		if strings.Contains(g.body, "garbage") {
			t.Errorf("%s: joined to the stream", c[0])
		}
	}
}

// TestFailureIsNotJoinedToACompletion has an engine continue a stream that has begun with a failure or a redirect.
func TestFailureIsNotJoinedToACompletion(t *testing.T) {
	for _, status := range []int{302, 400, 404, 429} {
		f := foreignFleet(t, 2, engined.Faults{CutAfter: 3}, status, "text/plain", "garbage")
		g := f.chat("notes", true)
		if strings.Contains(g.body, "garbage") {
			t.Errorf("%d: joined to the stream, outcome %q: %.40q ... %q", status, g.trailer.Get(HeaderOutcome), g.body, g.body[max(0, len(g.body)-40):])
		}
	}
}
