package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAnInstanceThatRefusesAllIsLeftAlone replays four seconds in which one of four
// engines refuses whatever it gets, at once, and finishes the one stream that it has: with
// nothing new in hand it looks like the least loaded one.
func TestAnInstanceThatRefusesAllIsLeftAlone(t *testing.T) {
	now := time.Unix(0, 0)
	p := New("a", nil, nil)
	p.SetClock(func() time.Time { return now })
	all := fleetOf(0, 4)
	for _, i := range all {
		i.Slots = 64
	}
	_, own := p.Place(job(all[:1], "s", 100))
	for range 180 {
		_, ticket := p.Place(job(all[1:], "s", 100))
		ticket.FirstEvent()
	}
	refused := 0
	send := func() bool {
		plan, ticket := p.Place(job(all, "s", 100))
		if plan.Target == all[0] {
			refused++
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
	require.Less(t, refused, 12)
	require.Greater(t, refused, tripAfter, "it is tried again")

	now = now.Add(lastPause)
	sent := 0
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		plan, ticket := p.Place(job(all, "s", 100))
		if plan.Target == all[0] {
			sent++
		}
		ticket.RunEnded(Succeeded)
	}
	require.Greater(t, sent, 10, "one that answers again is used again")
}

// TestFailuresAtOnceOpenABreakerOnce covers an engine that crashes with many requests in
// hand: their failures don't lengthen its pause.
func TestFailuresAtOnceOpenABreakerOnce(t *testing.T) {
	var b breaker
	now := time.Unix(0, 0)
	for range 30 {
		b.fail(now)
	}
	require.Equal(t, firstPause, b.pause)
	now = now.Add(firstPause)
	require.True(t, b.allows(now))
	b.sent(now)
	require.False(t, b.allows(now), "one tries it at a time")
	b.fail(now)
	require.Equal(t, 2*firstPause, b.pause)
	now = now.Add(2 * firstPause)
	b.sent(now)
	b.sound(now.Add(-time.Second))
	require.False(t, b.allows(now), "what began before says nothing")
	b.sound(now.Add(time.Nanosecond))
	require.True(t, b.allows(now))
}

// TestOpenBreakersDontRefuse covers a service whose instances all fail: one is tried all
// the same.
func TestOpenBreakersDontRefuse(t *testing.T) {
	p := New("a", nil, nil)
	all := fleetOf(0, 2)
	for range 40 {
		_, ticket := p.Place(job(all, "s", 100))
		require.NotNil(t, ticket)
		ticket.RunEnded(Failed)
	}
}
