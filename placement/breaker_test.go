package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestBreakerLimitsRequestsToAFailingInstance simulates four seconds in which one of four engines
// fails every new request at once and finishes only its one open stream. Without new requests in
// flight it looks like the least loaded engine.
func TestBreakerLimitsRequestsToAFailingInstance(t *testing.T) {
	now := time.Unix(0, 0)
	p := New("a", nil, nil)
	p.SetClock(func() time.Time { return now })
	all := instancesByRole(0, 4)
	for _, i := range all {
		i.Slots = 64
	}
	_, own := p.Place(testJob(all[:1], "s", 100))
	for range 180 {
		_, ticket := p.Place(testJob(all[1:], "s", 100))
		ticket.FirstEvent()
	}
	rejected := 0
	send := func() bool {
		plan, ticket := p.Place(testJob(all, "s", 100))
		if plan.Target == all[0] {
			rejected++
			ticket.RunEnded(Failed)
			return false
		}
		ticket.RunEnded(Succeeded)
		return true
	}
	for n := range 400 {
		now = now.Add(10 * time.Millisecond)
		send()
		if n == 10 {
			own.RunEnded(Succeeded)
		}
	}
	require.Less(t, rejected, 12)
	require.Greater(t, rejected, maxConsecutiveFailures, "an open breaker still admits probes")

	now = now.Add(maxOpenTime)
	sent := 0
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		plan, ticket := p.Place(testJob(all, "s", 100))
		if plan.Target == all[0] {
			sent++
		}
		ticket.RunEnded(Succeeded)
	}
	require.Greater(t, sent, 10, "a recovered instance is used again")
}

// TestConcurrentFailuresOpenBreakerOnce covers an engine that crashes with many requests in flight:
// their failures must not extend the breaker's open time.
func TestConcurrentFailuresOpenBreakerOnce(t *testing.T) {
	var b breaker
	now := time.Unix(0, 0)
	for range 30 {
		b.recordFailure(now)
	}
	require.Equal(t, minOpenTime, b.openTime)
	now = now.Add(minOpenTime)
	require.True(t, b.canSend(now))
	b.recordSend(now)
	require.False(t, b.canSend(now), "one probe at a time")
	b.recordFailure(now)
	require.Equal(t, 2*minOpenTime, b.openTime)
	now = now.Add(2 * minOpenTime)
	b.recordSend(now)
	b.recordSuccess(now.Add(-time.Second))
	require.False(t, b.canSend(now), "an attempt from before the last failure is ignored")
	b.recordSuccess(now.Add(time.Nanosecond))
	require.True(t, b.canSend(now))
}

// TestOpenBreakersDoNotReject covers a service whose instances all fail: requests are still sent to
// one of them.
func TestOpenBreakersDoNotReject(t *testing.T) {
	p := New("a", nil, nil)
	all := instancesByRole(0, 2)
	for range 40 {
		_, ticket := p.Place(testJob(all, "s", 100))
		require.NotNil(t, ticket)
		ticket.RunEnded(Failed)
	}
}
