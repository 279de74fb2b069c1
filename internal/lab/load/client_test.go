package load

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/engine/openai"
	"github.com/rockdoor/rockdoor/internal/entry"
	"github.com/rockdoor/rockdoor/internal/standin/rawresponse"
)

// TestClientNoticesMalformedEvents reads streams with and without an event that is not a chunk.
func TestClientNoticesMalformedEvents(t *testing.T) {
	chunk, err := json.Marshal(openai.NewChunk("a", "m", "x", true))
	require.NoError(t, err)
	sound := "data: " + string(chunk) + "\n\n"
	for body, wrong := range map[string]bool{sound: false, sound + "data: garbage\n\n": true, "data: garbage\n\n" + sound: true} {
		var r Result
		r.readStream(&http.Response{Body: io.NopCloser(strings.NewReader(body + "data: " + openai.Done + "\n\n"))}, time.Now(), "x")
		require.Equal(t, Complete, r.Outcome)
		require.Equal(t, wrong, r.WrongResponse, body)
	}
}

// TestForeignStatusIsNotAGoodResult has an entry host call a response with another status than 200 complete.
func TestForeignStatusIsNotAGoodResult(t *testing.T) {
	for _, status := range []int{http.StatusNoContent, http.StatusPartialContent, http.StatusNotFound, http.StatusInternalServerError} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(entry.HeaderOutcome, string(Complete))
			w.WriteHeader(status)
		}))
		got := newClient([]string{server.Listener.Addr().String()}).send(t.Context(), "a", Arrival{Class: &Class{Path: "/x"}}, time.Now())
		server.Close()
		require.Equal(t, Failed, got.Outcome, status)
		require.False(t, got.Good, status)
	}
}

// TestResponsesWithBrokenHeadsAreNoResults has an entry host call responses with broken heads complete.
func TestResponsesWithBrokenHeadsAreNoResults(t *testing.T) {
	for name, head := range rawresponse.BrokenHeads() {
		server := httptest.NewServer(rawresponse.Handler(func(*http.Request) string {
			return fmt.Sprintf("%s\r\n%s: %s\r\n%sContent-Length: 0\r\n\r\n", head.Status, entry.HeaderOutcome, Complete, head.Fields)
		}))
		got := newClient([]string{server.Listener.Addr().String()}).send(t.Context(), "a", Arrival{Class: &Class{Path: "/x"}}, time.Now())
		server.Close()
		require.Equal(t, Broken, got.Outcome, name)
		require.False(t, got.Good, name)
	}
}

// TestMissingListOfRunsIsAnError has a stand-in answer the call for its runs with something else, which must not pass the checks.
func TestMissingListOfRunsIsAnError(t *testing.T) {
	for body, status := range map[string]int{`null`: 200, `[`: 200, `{}`: 200, `[]{}`: 200, `[]`: 206, ``: 204} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body) // fails where the status has no body
		}))
		_, err := FetchRuns(t.Context(), &config.Compiled{Targets: map[string]*config.Target{"a": {Address: server.Listener.Addr().String()}}})
		server.Close()
		require.Error(t, err, "%d %s", status, body)
	}
}
