package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/control"
)

// TestTargetIsPassedOnAsItWasSent covers targets that a URL library would print in another way.
func TestTargetIsPassedOnAsItWasSent(t *testing.T) {
	for _, target := range []string{"/alerts/x", "//alerts//x", "/alerts/\u00e9?q=\u00e9", "/alerts/a|b?x=%zz", "/alerts/x?", "/alerts/%2f"} {
		require.Equal(t, target, newCall(httptest.NewRequest(http.MethodGet, target, nil), &control.Snapshot{}).uri)
	}
	require.Equal(t, "/alerts/x?y", newCall(httptest.NewRequest(http.MethodGet, "http://h/alerts/x?y", nil), &control.Snapshot{}).uri)
}
