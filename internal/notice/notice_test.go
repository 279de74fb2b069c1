package notice

import (
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
)

func TestBoard(t *testing.T) {
	b := NewTable(log.NewNopLogger())
	require.Empty(t, b.InstancesRefusingWork())
	b.RecordShutdown("a@1", "r")
	b.RecordBackoff("b", "r", time.Hour)
	b.RecordBackoff("b", "r", time.Minute)
	require.True(t, b.RefusesWork("a@1"))
	require.False(t, b.RefusesWork("a@2"), "a later run has said nothing")
	require.Greater(t, b.Backoff("b"), 59*time.Minute, "the longer one holds")
	require.ElementsMatch(t, []string{"a@1", "b"}, b.InstancesRefusingWork())
	b.Retain(func(string) bool { return false })
	require.True(t, b.ShuttingDown("a@1"), "its registration may come back")
}

func TestRestAsked(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"3": 3 * time.Second, "0.5": 500 * time.Millisecond, "1e99": maxRest, "": 0, "-1": 0, "NaN": 0, "soon": 0,
	} {
		require.Equal(t, want, RequestedBackoff(http.StatusServiceUnavailable, http.Header{"Retry-After": {text}}), text)
	}
	require.Zero(t, RequestedBackoff(http.StatusOK, http.Header{"Retry-After": {"3"}}))
}
