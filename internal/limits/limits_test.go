package limits

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/config"
)

func refusalOf(t *testing.T, err error) *RejectionError {
	var r *RejectionError
	require.True(t, errors.As(err, &r), "%v", err)
	require.Positive(t, r.RetryAfter)
	require.LessOrEqual(t, r.RetryAfter, 2*maxWait)
	return r
}

func TestUrgentRequestsHaveAReserve(t *testing.T) {
	g := NewAdmissionController(10, 0.2)
	w := &config.Workspace{Name: "w"}
	for range 8 {
		_, err := g.Admit(w, config.Normal, 1)
		require.NoError(t, err)
	}
	_, err := g.Admit(w, config.Normal, 1)
	refusalOf(t, err)
	release, err := g.Admit(w, config.Urgent, 1)
	require.NoError(t, err)
	release()
	require.Equal(t, 8, g.InFlight())
}

func TestWorkspaceLimitsAreSharedByTheServingProcesses(t *testing.T) {
	g := NewAdmissionController(1000, 0.1)
	w := &config.Workspace{Name: "w", Concurrency: 8}
	for range 2 {
		_, err := g.Admit(w, config.Normal, 4)
		require.NoError(t, err)
	}
	_, err := g.Admit(w, config.Normal, 4)
	require.Contains(t, refusalOf(t, err).Error(), "concurrent")
	_, err = g.Admit(&config.Workspace{Name: "other"}, config.Normal, 4)
	require.NoError(t, err, "another workspace is not concerned")
}

func TestRateIsRefusedWithTheTimeToComeBack(t *testing.T) {
	g := NewAdmissionController(1000, 0.1)
	w := &config.Workspace{Name: "w", RequestsPerSecond: 0.5}
	for range minBurst {
		release, err := g.Admit(w, config.Normal, 1)
		require.NoError(t, err)
		release()
	}
	_, err := g.Admit(w, config.Normal, 1)
	require.Greater(t, refusalOf(t, err).RetryAfter, time.Second)
	require.Zero(t, g.InFlight())
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
	require.LessOrEqual(t, retries, retryBurst+1000/5)
}

func TestFloodingWorkspaceIsHeldToItsShare(t *testing.T) {
	g := NewAdmissionController(1000, 0.1)
	flood, small := &config.Workspace{Name: "flood", Weight: 1}, &config.Workspace{Name: "small", Weight: 3}
	for range 40 {
		_, err := g.Admit(flood, config.Normal, 1)
		require.NoError(t, err)
	}
	refusalOf(t, g.OverShare(flood)) // also alone, so that there is room for the next
	release, err := g.Admit(small, config.Normal, 1)
	require.NoError(t, err)
	refusalOf(t, g.OverShare(flood))
	require.NoError(t, g.OverShare(small))
	release()
}
