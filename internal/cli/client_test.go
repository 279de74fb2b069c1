package cli

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/standin/rawresponse"
)

// TestResponsesWithBrokenHeadsAreNoAnswers has a process answer a query and a change with heads that are none of HTTP/1.
func TestResponsesWithBrokenHeadsAreNoAnswers(t *testing.T) {
	for name, head := range rawresponse.BrokenHeads() {
		server := httptest.NewServer(rawresponse.Handler(func(*http.Request) string {
			return fmt.Sprintf("%s\r\n%sContent-Length: 2\r\n\r\n[]", head.Status, head.Fields)
		}))
		t.Cleanup(server.Close)
		args := []string{"gateway", "quarantine", "--admin", server.Listener.Addr().String()}
		out, err := run(args...)
		require.True(t, fault.Is(err, fault.Unavailable), "%s: %v", name, err)
		require.Empty(t, out)
		_, err = run(append(args, "--clear", "f")...)
		require.True(t, fault.Is(err, fault.Unknown), "%s: %v", name, err)
	}
}
