package discovery

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/feed"
)

// TestWaysToConfirmEndWithinTheLimit checks the sum of the delays on the way to a confirmation: from any age that occurs
// without faults, and with every other call of a process failing, two more rounds begin before the limit has passed, and
// leave time for the call itself and for a hop to the followers.
func TestWaysToConfirmEndWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := time.Duration(rapid.IntRange(500, 10000).Draw(t, "limit_ms")) * time.Millisecond
		in := refreshInputs{
			limit: limit, watchWait: limit / 4, others: 3, scheduling: rapid.Bool().Draw(t, "scheduling"), sourceLost: rapid.Bool().Draw(t, "source_lost"),
			sinceRound: limit, sinceRead: limit,
		}
		in.watching = in.scheduling && rapid.Bool().Draw(t, "watching")
		lastRound := time.Duration(rapid.Float64Range(0, 0.45).Draw(t, "age") * float64(limit))
		in.age = lastRound
		rounds := 0
		for rounds < 3 {
			p := in.plan()
			step := p.wait
			if p.peers > 0 {
				rounds++
				in.sinceRound, in.failedRounds, step = 0, rounds, 0
			}
			if p.read {
				in.sinceRead, in.failedReads = 0, in.failedReads+1
				in.readDelay = limit / 4
			}
			step = max(step, time.Millisecond)
			in.age += step
			in.sinceRound += step
			in.sinceRead += step
			in.readDelay = max(in.readDelay-step, 0)
		}
		require.Less(t, in.age, time.Duration(0.9*float64(limit)))
	})
}

// TestConfirmedConfigurationCausesNoCalls checks the ages that occur without faults: a hop adds at most hopShare to what
// the watch waits.
func TestConfirmedConfigurationCausesNoCalls(t *testing.T) {
	const limit = 4 * time.Second
	for hops, in := range []refreshInputs{{watching: true, scheduling: true}, {scheduling: true}, {}} {
		in.limit, in.watchWait, in.others, in.sinceRound, in.sinceRead = limit, limit/4, 5, limit, limit
		in.age = limit/4 + time.Duration(hops)*limit/10
		p := in.plan()
		require.False(t, p.read || p.peers > 0, "%+v", in)
		require.Positive(t, p.wait)
	}
}

// TestSchedulerThatLostItsSourceAsksAllAtOnce checks that a known loss is not waited out, and that a process that is no
// scheduler reads the store once its scheduler finds no confirmation.
func TestSchedulerThatLostItsSourceAsksAllAtOnce(t *testing.T) {
	const limit = 4 * time.Second
	lost := refreshInputs{limit: limit, watchWait: limit / 4, others: 5, scheduling: true, sourceLost: true, age: limit / 10, sinceRound: limit, sinceRead: limit}
	require.Equal(t, refreshPlan{peers: 5, read: true, wait: lost.share(lostSourceShare) - lost.age}, lost.plan())
	follower := refreshInputs{limit: limit, watchWait: limit / 4, others: 5, sourceLost: true, readsWanted: true, age: limit / 10, sinceRound: limit, readDelay: time.Second}
	require.Equal(t, refreshPlan{wait: time.Second}, follower.plan())
	follower.readDelay = 0
	require.True(t, follower.plan().read)
}

// TestRequestsAfterAPauseWaitForAConfirmation covers a process that was paused: its configuration is old, and it has asked
// nobody yet. Requests wait until it is confirmed, but not if others were asked in vain, and never for long.
func TestRequestsAfterAPauseWaitForAConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, answerAfter = 4 * time.Second, maxConfirmationWait / 10
		d := New(Options{PropagationLimit: limit, Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger()})
		setAge := func(age time.Duration) {
			d.cur.ConfigConfirmedAt = bootclock.Now().Add(-age)
			d.publish()
		}
		wait := func() time.Duration {
			begun := time.Now()
			d.AwaitConfirmation(context.Background())
			return time.Since(begun)
		}
		setAge(limit)
		require.Zero(t, wait(), "nobody can be asked")
		d.unconfirmable.Store(false)
		require.Equal(t, maxConfirmationWait, wait(), "no answer arrives")
		require.Len(t, d.sourceChanged, 1, "the refresher is woken")
		time.AfterFunc(answerAfter, func() { setAge(0) })
		require.Equal(t, answerAfter, wait())
		require.Zero(t, wait(), "it is confirmed")
	})
}

// TestFirstConfigurationHasNoDelay checks that a process which had no configuration before reports no delay of its first one.
func TestFirstConfigurationHasNoDelay(t *testing.T) {
	reg := metrics.NewRegistry()
	d := New(Options{Metrics: reg, Logger: log.NewNopLogger()})
	d.reportConfigInForce(&fleet.Config{Version: 1}, 1, false)
	require.Nil(t, reg.Get("discovery.config_delay_max"))
	d.cur.ConfigFreshAt = bootclock.Now()
	d.reportConfigInForce(&fleet.Config{Version: 2}, 2, false)
	require.EqualValues(t, 1, reg.Get("discovery.config_delay_max").(metrics.Timer).Count())
}

// TestConfirmedSourceEndsAFailedSearch checks that failures of an earlier search say nothing about the next one.
func TestConfirmedSourceEndsAFailedSearch(t *testing.T) {
	const limit = 4 * time.Second
	d := New(Options{PropagationLimit: limit, Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger()})
	r := refresher{Discovery: d, failedRounds: 3, roundOpen: true}
	in := refreshInputs{limit: limit, watchWait: limit / 4, others: 5, scheduling: true, sourceLost: true, age: limit, sinceRound: limit}
	r.reportConfirmation(context.Background(), &in)
	require.True(t, d.unconfirmable.Load())
	require.Equal(t, configUnconfirmed(true), <-d.events)
	in.sourceLost, in.age = false, limit/10
	r.reportConfirmation(context.Background(), &in)
	require.False(t, d.unconfirmable.Load())
	require.Equal(t, configUnconfirmed(false), <-d.events)
	in.sourceLost = true
	r.reportConfirmation(context.Background(), &in)
	require.False(t, r.unconfirmed, "nobody has been asked yet")
}

// TestFlappingStoreWakesFollowersRarely checks that the followers of a process learn of a loss at once, but not of each
// failed call to a store that fails every other one.
func TestFlappingStoreWakesFollowersRarely(t *testing.T) {
	d := New(Options{PropagationLimit: time.Hour, Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger()})
	wakes := 0
	for range 10 {
		for _, up := range []bool{false, true} {
			_, changed := d.feed.Since(feed.Position{})
			d.cur.StoreUp = up
			d.publish()
			select {
			case <-changed:
				wakes++
			default:
			}
		}
	}
	require.Equal(t, 1, wakes)
	_, changed := d.feed.Since(feed.Position{})
	d.cur.ConfigUnconfirmed = true
	d.publish()
	require.Eventually(t, func() bool {
		select {
		case <-changed:
			return true
		default:
			return false
		}
	}, time.Second, time.Millisecond, "another kind of loss")
}
