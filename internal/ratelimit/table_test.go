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

// testClock is a clock that tests set.
type testClock struct{ at bootclock.Instant }

func (c *testClock) now() bootclock.Instant { return c.at }

func (c *testClock) pass(d time.Duration) { c.at = c.at.Add(d) }

func limited(perSecond float64) engine.RateLimit {
	return engine.RateLimit{Limited: true, PerSecond: perSecond}
}

// noLimit is what an answer says that names none.
var noLimit engine.RateLimit

func newTestTable(logger log.Logger) (*Table, *testClock) {
	c := &testClock{at: bootclock.Instant(time.Hour)}
	t := NewTable("p-0", metrics.NewRegistry(), logger)
	t.now = c.now
	return t, c
}

// TestAnswersThatOvertakeEachOther covers what counts where answers without and with a limit cross.
func TestAnswersThatOvertakeEachOther(t *testing.T) {
	b, clock := newTestTable(log.NewNopLogger())
	early := clock.at
	clock.pass(time.Second)
	b.RecordResponse("a@1", "r", limited(10), clock.at)
	require.Equal(t, limited(10), b.Limit("a@1").RateLimit)
	require.False(t, b.Limit("a@2").Limited, "a later run has said nothing")
	clock.pass(time.Second)
	b.RecordResponse("a@1", "r", noLimit, early)
	require.True(t, b.Limit("a@1").Limited, "the request was sent before the limit was heard")
	b.RecordResponse("a@1", "r", engine.RateLimit{Unreadable: "few"}, clock.at)
	require.True(t, b.Limit("a@1").Limited, "says nothing")
	b.RecordResponse("a@1", "r", limited(5), early)
	require.Equal(t, limited(5), b.Limit("a@1").RateLimit)
	clock.pass(time.Second)
	b.RecordResponse("a@1", "r", noLimit, clock.at)
	require.False(t, b.Limit("a@1").Limited)
	require.Zero(t, b.limits.Load())
}

// TestLimitIsLogged checks that the log says when a limit begins and ends, and that one that changes
// with each answer does not fill it.
func TestLimitIsLogged(t *testing.T) {
	var out strings.Builder
	b, clock := newTestTable(log.NewLogfmtLogger(&out))
	for n := range 100 {
		clock.pass(time.Millisecond)
		b.RecordResponse("a@1", "r-1", limited(float64(n)), clock.at)
	}
	clock.pass(time.Millisecond)
	b.RecordResponse("a@1", "r-2", noLimit, clock.at)
	for range 10 {
		b.RecordResponse("a@1", "r-3", engine.RateLimit{Unreadable: "few"}, clock.at)
	}
	require.Equal(t, 3, strings.Count(out.String(), "\n"), out.String())
	require.Contains(t, out.String(), `msg="rate limit cannot be read, the one known before is kept" instance=a@1 request=r-3 text=few`)
	require.Contains(t, out.String(), `msg="instance limits its rate" instance=a@1 per_second=0 before=0 request=r-1`)
	require.Contains(t, out.String(), `msg="rate limit has ended" instance=a@1 per_second=0 before=99 request=r-2`)
}

func TestRunsThatLeftAreForgotten(t *testing.T) {
	b, clock := newTestTable(log.NewNopLogger())
	b.RecordResponse("a@1", "r", limited(10), clock.at)
	b.Retain(func(string) bool { return false })
	require.True(t, b.Limit("a@1").Limited, "its registration may come back")
	clock.pass(2 * keptFor)
	b.Retain(func(string) bool { return false })
	require.Empty(t, b.all)
	require.Zero(t, b.limits.Load())
}

// TestWhoFollowsKnowsLimits has a process copy what a scheduler knows of limits: what is new, ends too, and
// without telling it on.
func TestWhoFollowsKnowsLimits(t *testing.T) {
	scheduler := NewTable("s", metrics.NewRegistry(), log.NewNopLogger())
	follower := NewTable("f", metrics.NewRegistry(), log.NewNopLogger())
	follow := func(position uint64) uint64 {
		said, next := scheduler.Since(position)
		follower.ApplyUpdate("s", said)
		return next
	}
	scheduler.RecordResponse("a@1", "r", limited(10), bootclock.Now())
	scheduler.RecordResponse("b@1", "r", limited(10), bootclock.Now())
	at := follow(0)
	require.True(t, follower.Limited("a@1"))
	require.Empty(t, follower.News(), "the scheduler knows it")
	said, _ := scheduler.Since(at)
	require.Empty(t, said)
	time.Sleep(2 * toldLate)
	for _, rate := range []float64{11, 9, 14} {
		scheduler.RecordResponse("a@1", "r", limited(rate), bootclock.Now())
	}
	said, _ = scheduler.Since(at)
	require.Empty(t, said, "a little more or less")
	scheduler.RecordResponse("a@1", "r", limited(30), bootclock.Now())
	said, _ = scheduler.Since(at)
	require.Len(t, said, 1, "a multiple")
	scheduler.RecordResponse("a@1", "r", noLimit, bootclock.Now())
	said, _ = scheduler.Since(at)
	require.Len(t, said, 1, "what has changed")
	follow(at)
	require.False(t, follower.Limited("a@1"))
	require.True(t, follower.Limited("b@1"))
}

// TestNewerWordIsToldAlsoWhileOlderIsCopied has a process hear of a limit just before its scheduler tells it an
// older one.
func TestNewerWordIsToldAlsoWhileOlderIsCopied(t *testing.T) {
	scheduler := NewTable("s", metrics.NewRegistry(), log.NewNopLogger())
	follower := NewTable("f", metrics.NewRegistry(), log.NewNopLogger())
	scheduler.RecordResponse("a@1", "r", limited(10), bootclock.Now())
	time.Sleep(2 * toldLate)
	follower.RecordResponse("a@1", "r", limited(5), bootclock.Now())
	said, _ := scheduler.Since(0)
	follower.ApplyUpdate("s", said)
	require.Equal(t, limited(5), follower.Limit("a@1").RateLimit)
	require.Contains(t, follower.News(), "a@1")
}

// TestAPlacerThatKnowsNoLimitIsTold has a scheduler that has just started place a request at an instance
// whose limit the sender knows: it is not sent, and the scheduler is told.
func TestAPlacerThatKnowsNoLimitIsTold(t *testing.T) {
	b, clock := newTestTable(log.NewNopLogger())
	require.False(t, b.BlocksUngranted("a@1"))
	b.RecordResponse("a@1", "r", limited(10), clock.at)
	require.Contains(t, b.News(), "a@1")
	clock.pass(time.Minute)
	require.True(t, b.BlocksUngranted("a@1"))
	require.False(t, b.BlocksUngranted("a@2"), "a later run has said nothing")
	require.Contains(t, b.News(), "a@1")
}

// TestAnEndThatOverlapsIsBelievedLater has another process hear of an end by a request that was sent before a
// limit was heard here: which of them is later cannot be told, and who is not to send hears nothing more.
func TestAnEndThatOverlapsIsBelievedLater(t *testing.T) {
	b, clock := newTestTable(log.NewNopLogger())
	sent := clock.at
	clock.pass(time.Second)
	b.RecordResponse("a@1", "r", limited(10), clock.at)
	clock.pass(2 * toldLate)
	end := RateReport{noLimit, sent, clock.at, clock.at}
	b.Learn("a@1", "p-1", end)
	require.True(t, b.Limited("a@1"))
	clock.pass(overlapTime)
	b.Learn("a@1", "p-1", end)
	require.False(t, b.Limited("a@1"))
}
