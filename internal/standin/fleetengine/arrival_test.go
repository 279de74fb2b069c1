package fleetengine_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/internal/standin/fleetcaller"
	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
)

// TestArrivalMatchesClientRequest checks that fleetcaller and fleetengine use the same header
// names, and that an invalid deadline counts as none.
func TestArrivalMatchesClientRequest(t *testing.T) {
	parts := []engine.Part{{ID: "a", Tokens: 7}, {ID: "b", Tokens: 2}}
	sent := fleetcaller.Request{
		ID: "r", Path: "/stream/1", Body: "b", Host: "h", Key: "k", Timeout: 1500 * time.Millisecond,
		Prompt: &fleetcaller.Prompt{Model: "m", Parts: parts, MaxOutputTokens: 3},
	}
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(sent.String())))
	require.NoError(t, err)
	body, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	want := fleetengine.Arrival{ID: "r", Method: http.MethodPost, Path: "/stream/1", Body: "b", Remaining: 1500 * time.Millisecond, HasDeadline: true, Parts: parts}
	require.Equal(t, want, fleetengine.ParseArrival(r, body))

	r.Header.Set("X-Deadline-Ms", "soon")
	require.False(t, fleetengine.ParseArrival(r, body).HasDeadline)
	r.Header.Del("X-Deadline-Ms")
	require.False(t, fleetengine.ParseArrival(r, body).HasDeadline)
	r.Header.Set("X-Expect-Instance", "i-1")
	r.Header.Set("X-Serving-Stage", "prefill")
	a := fleetengine.ParseArrival(r, body)
	require.Equal(t, "i-1", a.TargetInstance)
	require.True(t, a.PrefillOnly)
}
