package load

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/engine/openai"
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
