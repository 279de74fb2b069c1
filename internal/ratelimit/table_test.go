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
	b.Heard("a@1", "r", limited(10), clock.at)
	require.Equal(t, limited(10), b.Limit("a@1").RateLimit)
	require.False(t, b.Limit("a@2").Limited, "a later run has said nothing")
	clock.pass(time.Second)
	b.Heard("a@1", "r", noLimit, early)
	require.True(t, b.Limit("a@1").Limited, "the request was sent before the limit was heard")
	b.Heard("a@1", "r", engine.RateLimit{Unreadable: "few"}, clock.at)
	require.True(t, b.Limit("a@1").Limited, "says nothing")
	b.Heard("a@1", "r", limited(5), early)
	require.Equal(t, limited(5), b.Limit("a@1").RateLimit)
	clock.pass(time.Second)
	b.Heard("a@1", "r", noLimit, clock.at)
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
		b.Heard("a@1", "r-1", limited(float64(n)), clock.at)
	}
	clock.pass(time.Millisecond)
	b.Heard("a@1", "r-2", noLimit, clock.at)
	for range 10 {
		b.Heard("a@1", "r-3", engine.RateLimit{Unreadable: "few"}, clock.at)
	}
	require.Equal(t, 3, strings.Count(out.String(), "\n"), out.String())
	require.Contains(t, out.String(), `msg="rate limit cannot be read, the one known before is kept" instance=a@1 request=r-3 text=few`)
	require.Contains(t, out.String(), `msg="instance limits its rate" instance=a@1 per_second=0 before=0 request=r-1`)
	require.Contains(t, out.String(), `msg="rate limit has ended" instance=a@1 per_second=0 before=99 request=r-2`)
}

func TestRunsThatLeftAreForgotten(t *testing.T) {
	b, clock := newTestTable(log.NewNopLogger())
	b.Heard("a@1", "r", limited(10), clock.at)
	b.Retain(func(string) bool { return false })
	require.True(t, b.Limit("a@1").Limited, "its registration may come back")
	clock.pass(2 * keptFor)
	b.Retain(func(string) bool { return false })
	require.Empty(t, b.all)
	require.Zero(t, b.limits.Load())
}
