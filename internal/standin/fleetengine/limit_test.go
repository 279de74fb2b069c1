package fleetengine_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
)

// TestFaultyResponsesStateTheRateLimit guards against engines whose limit seems to have ended.
func TestFaultyResponsesStateTheRateLimit(t *testing.T) {
	for _, f := range []fleetengine.Fault{fleetengine.None, fleetengine.Garbled, fleetengine.Foreign, fleetengine.EndlessBody, fleetengine.EndlessComments, fleetengine.StrayFirst} {
		e := fleetengine.New("i-1", fleetengine.StageDecode)
		e.Events, e.Foreign.Head.Fields = 3, "Content-Type: text/plain\r\n"
		e.SetRateLimit("2")
		e.Fail(f, 1)
		server := httptest.NewServer(e)
		r, err := http.NewRequest(http.MethodPost, server.URL, strings.NewReader("x"))
		require.NoError(t, err)
		r.Header.Set("X-Request-Id", "a")
		resp, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		require.True(t, fleetengine.StatesRateLimit(resp.Header), "%s: %v", f, resp.Header)
		_ = resp.Body.Close()
		server.CloseClientConnections()
		server.Close()
	}
}
