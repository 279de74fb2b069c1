package limits

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/config"
)

func requireRejection(t *testing.T, err error) *RejectionError {
	var r *RejectionError
	require.True(t, errors.As(err, &r), "%v", err)
	require.Positive(t, r.RetryAfter)
	require.LessOrEqual(t, r.RetryAfter, 2*maxRetryWait)
	return r
}

func TestUrgentRequestsHaveAReserve(t *testing.T) {
	c := NewAdmissionController(10, 0.2)
	w := &config.Workspace{Name: "w"}
	for range 8 {
		_, err := c.Admit(w, config.Normal, 1)
		require.NoError(t, err)
	}
	_, err := c.Admit(w, config.Normal, 1)
	requireRejection(t, err)
	release, err := c.Admit(w, config.Urgent, 1)
	require.NoError(t, err)
	release()
	require.Equal(t, 8, c.InFlight())
}

func TestWorkspaceLimitsAreSharedByTheServingProcesses(t *testing.T) {
	c := NewAdmissionController(1000, 0.1)
	w := &config.Workspace{Name: "w", Concurrency: 8}
	for range 2 {
		_, err := c.Admit(w, config.Normal, 4)
		require.NoError(t, err)
	}
	_, err := c.Admit(w, config.Normal, 4)
	require.Contains(t, requireRejection(t, err).Error(), "concurrent")
	_, err = c.Admit(&config.Workspace{Name: "other"}, config.Normal, 4)
	require.NoError(t, err, "another workspace is not affected")
}

func TestRateLimitRejectionHasRetryAfter(t *testing.T) {
	c := NewAdmissionController(1000, 0.1)
	w := &config.Workspace{Name: "w", RequestsPerSecond: 0.5}
	for range minBurst {
		release, err := c.Admit(w, config.Normal, 1)
		require.NoError(t, err)
		release()
	}
	_, err := c.Admit(w, config.Normal, 1)
	require.Greater(t, requireRejection(t, err).RetryAfter, time.Second)
	require.Zero(t, c.InFlight())
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	b := NewRetryBudget()
	retries := 0
	for range 1000 {
		b.RecordRequest()
		for b.TakeRetry() {
			retries++
		}
	}
	require.LessOrEqual(t, retries, maxRetryTokens+1000/5)
}

func TestFloodingWorkspaceIsLimitedToItsShare(t *testing.T) {
	c := NewAdmissionController(1000, 0.1)
	flood, small := &config.Workspace{Name: "flood", Weight: 1}, &config.Workspace{Name: "small", Weight: 3}
	for range 40 {
		_, err := c.Admit(flood, config.Normal, 1)
		require.NoError(t, err)
	}
	requireRejection(t, c.CheckFairShare(flood)) // even if it is the only one, to leave room for the next workspace
	release, err := c.Admit(small, config.Normal, 1)
	require.NoError(t, err)
	requireRejection(t, c.CheckFairShare(flood))
	require.NoError(t, c.CheckFairShare(small))
	release()
}
