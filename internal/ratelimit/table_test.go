package ratelimit

import (
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/engine"
)

// testClock is a clock controlled by a test.
type testClock struct{ at bootclock.Instant }

func (c *testClock) now() bootclock.Instant { return c.at }

func (c *testClock) advance(d time.Duration) { c.at = c.at.Add(d) }

func limited(perSecond float64) engine.RateLimit {
	return engine.RateLimit{Limited: true, PerSecond: perSecond}
}

// noLimit is the report of a response without a limit.
var noLimit engine.RateLimit

func newTestTable(logger log.Logger) (*Table, *testClock) {
	c := &testClock{at: bootclock.Instant(time.Hour)}
	t := NewTable("p-0", metrics.NewRegistry(), logger)
	t.now = c.now
	return t, c
}

// TestResponsesOutOfOrder covers responses with and without a limit that arrive out of order.
func TestResponsesOutOfOrder(t *testing.T) {
	b, clock := newTestTable(log.NewNopLogger())
	early := clock.at
	clock.advance(time.Second)
	b.RecordResponse("a@1", "r", limited(10), clock.at)
	require.Equal(t, limited(10), b.Limit("a@1").RateLimit)
	require.False(t, b.Limit("a@2").Limited, "the later run has reported no limit")
	clock.advance(time.Second)
	b.RecordResponse("a@1", "r", noLimit, early)
	require.True(t, b.Limit("a@1").Limited, "the request was sent before the limit was reported")
	b.RecordResponse("a@1", "r", engine.RateLimit{Malformed: "few"}, clock.at)
	require.True(t, b.Limit("a@1").Limited, "an unreadable limit changes nothing")
	b.RecordResponse("a@1", "r", limited(5), early)
	require.Equal(t, limited(5), b.Limit("a@1").RateLimit)
	clock.advance(time.Second)
	b.RecordResponse("a@1", "r", noLimit, clock.at)
	require.False(t, b.Limit("a@1").Limited)
	require.Zero(t, b.activeLimits.Load())
}

// TestLimitIsLogged checks that the start and end of a limit are logged, and that a limit that changes with
// each response does not flood the log.
func TestLimitIsLogged(t *testing.T) {
	var out strings.Builder
	b, clock := newTestTable(log.NewLogfmtLogger(&out))
	for n := range 100 {
		clock.advance(time.Millisecond)
		b.RecordResponse("a@1", "r-1", limited(float64(n)), clock.at)
	}
	clock.advance(time.Millisecond)
	b.RecordResponse("a@1", "r-2", noLimit, clock.at)
	for range 10 {
		b.RecordResponse("a@1", "r-3", engine.RateLimit{Malformed: "few"}, clock.at)
	}
	require.Equal(t, 3, strings.Count(out.String(), "\n"), out.String())
	require.Contains(t, out.String(), `msg="rate limit cannot be read, the one known before is kept" instance=a@1 request=r-3 text=few`)
	require.Contains(t, out.String(), `msg="instance limits its rate" instance=a@1 per_second=0 before=0 request=r-1`)
	require.Contains(t, out.String(), `msg="rate limit has ended" instance=a@1 per_second=0 before=99 request=r-2`)
}

func TestRemovedRunsAreDropped(t *testing.T) {
	b, clock := newTestTable(log.NewNopLogger())
	b.RecordResponse("a@1", "r", limited(10), clock.at)
	b.Retain(func(string) bool { return false })
	require.True(t, b.Limit("a@1").Limited, "its registration may come back")
	clock.advance(2 * minRetention)
	b.Retain(func(string) bool { return false })
	require.Empty(t, b.all)
	require.Zero(t, b.activeLimits.Load())
}

// TestFollowersReceiveLimits covers a follower of a scheduler. It must receive changed limits and their ends,
// and must not send them on.
func TestFollowersReceiveLimits(t *testing.T) {
	scheduler := NewTable("s", metrics.NewRegistry(), log.NewNopLogger())
	follower := NewTable("f", metrics.NewRegistry(), log.NewNopLogger())
	follow := func(position uint64) uint64 {
		reports, next := scheduler.Since(position)
		follower.ApplyUpdate("s", reports)
		return next
	}
	scheduler.RecordResponse("a@1", "r", limited(10), bootclock.Now())
	scheduler.RecordResponse("b@1", "r", limited(10), bootclock.Now())
	at := follow(0)
	require.True(t, follower.Limited("a@1"))
	require.Empty(t, follower.TakeUpdates(), "the scheduler knows the limit")
	reports, _ := scheduler.Since(at)
	require.Empty(t, reports)
	time.Sleep(2 * maxTransitTime)
	for _, rate := range []float64{11, 9, 14} {
		scheduler.RecordResponse("a@1", "r", limited(rate), bootclock.Now())
	}
	reports, _ = scheduler.Since(at)
	require.Empty(t, reports, "small changes are not sent")
	scheduler.RecordResponse("a@1", "r", limited(30), bootclock.Now())
	reports, _ = scheduler.Since(at)
	require.Len(t, reports, 1, "a change by more than publishFactor is sent")
	scheduler.RecordResponse("a@1", "r", noLimit, bootclock.Now())
	reports, _ = scheduler.Since(at)
	require.Len(t, reports, 1, "only the changed limit is sent")
	follow(at)
	require.False(t, follower.Limited("a@1"))
	require.True(t, follower.Limited("b@1"))
}

// TestNewerLimitIsSentDespiteOlderUpdate covers a process that learns a limit from a response shortly before
// its scheduler sends an older one. The newer limit must be kept and sent to the other processes.
func TestNewerLimitIsSentDespiteOlderUpdate(t *testing.T) {
	scheduler := NewTable("s", metrics.NewRegistry(), log.NewNopLogger())
	follower := NewTable("f", metrics.NewRegistry(), log.NewNopLogger())
	scheduler.RecordResponse("a@1", "r", limited(10), bootclock.Now())
	time.Sleep(2 * maxTransitTime)
	follower.RecordResponse("a@1", "r", limited(5), bootclock.Now())
	reports, _ := scheduler.Since(0)
	follower.ApplyUpdate("s", reports)
	require.Equal(t, limited(5), follower.Limit("a@1").RateLimit)
	require.Contains(t, follower.TakeUpdates(), "a@1")
}

// TestSchedulerThatLacksALimitIsSentIt covers a scheduler that has just started and places a request at an
// instance whose limit only the sender knows. The request must not be sent, and the scheduler must be sent the limit.
func TestSchedulerThatLacksALimitIsSentIt(t *testing.T) {
	b, clock := newTestTable(log.NewNopLogger())
	require.False(t, b.BlocksUngranted("a@1"))
	b.RecordResponse("a@1", "r", limited(10), clock.at)
	require.Contains(t, b.TakeUpdates(), "a@1")
	clock.advance(time.Minute)
	require.True(t, b.BlocksUngranted("a@1"))
	require.False(t, b.BlocksUngranted("a@2"), "the later run has reported no limit")
	require.Contains(t, b.TakeUpdates(), "a@1")
}

// TestOverlappingEndOfLimitIsAcceptedLater covers the end of a limit, received from another process, whose request
// was sent before the limit was last reported here. Which of the two is newer cannot be known, so the end is
// accepted after overlapWindow: a process that is not allowed to send would not learn of it otherwise.
func TestOverlappingEndOfLimitIsAcceptedLater(t *testing.T) {
	b, clock := newTestTable(log.NewNopLogger())
	sent := clock.at
	clock.advance(time.Second)
	b.RecordResponse("a@1", "r", limited(10), clock.at)
	clock.advance(2 * maxTransitTime)
	end := RateReport{noLimit, sent, clock.at, clock.at}
	b.Learn("a@1", "p-1", end)
	require.True(t, b.Limited("a@1"))
	clock.advance(overlapWindow)
	b.Learn("a@1", "p-1", end)
	require.False(t, b.Limited("a@1"))
}
