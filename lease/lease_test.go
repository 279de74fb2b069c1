package lease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/objstore/memstore"
)

func newLessee(s *memstore.Store, name string, ttl time.Duration) *Lessee {
	return New(Options{Store: s, Shard: "x", Holder: name, Incarnation: "1", TTL: ttl, Logger: log.NewNopLogger()})
}

func TestReleasedLeaseIsAcquiredAtOnceWithAHigherToken(t *testing.T) {
	ctx := context.Background()
	s := memstore.New()
	a, b := newLessee(s, "a", time.Hour), newLessee(s, "b", time.Hour)
	require.NoError(t, a.Step(ctx))
	require.NoError(t, b.Step(ctx))
	_, held := b.Grant()
	require.False(t, held)
	require.Contains(t, b.WaitReason(), "lease of a")
	require.NoError(t, a.Release(ctx))
	_, held = a.Grant()
	require.False(t, held)
	require.NoError(t, b.Step(ctx))
	g, held := b.Grant()
	require.True(t, held)
	require.EqualValues(t, 2, g.Token)
}

func TestLeaseOfTerminatedHolderIsTakenOverEarly(t *testing.T) {
	ctx := context.Background()
	s := memstore.New()
	a, b := newLessee(s, "a", time.Hour), newLessee(s, "b", time.Hour)
	terminated := false
	b.o.HolderTerminated = func(Record) (string, bool) { return "test", terminated }
	require.NoError(t, a.Step(ctx))
	require.NoError(t, b.Step(ctx))
	_, held := b.Grant()
	require.False(t, held)
	terminated = true
	require.NoError(t, b.Step(ctx))
	_, held = b.Grant()
	require.True(t, held)
	require.Error(t, a.Step(ctx), "the previous holder's next renewal fails")
	_, held = a.Grant()
	require.False(t, held)
}

func TestLostResponseOfARenewalKeepsTheLease(t *testing.T) {
	ctx := context.Background()
	s := memstore.New()
	a := newLessee(s, "a", time.Hour)
	require.NoError(t, a.Step(ctx))
	lost := false
	s.FailWith(func(op memstore.Op, _ string) memstore.Failure {
		if op == memstore.OpPut && !lost {
			lost = true
			return memstore.LosesResponse
		}
		return memstore.NoFailure
	})
	require.NoError(t, a.Step(ctx))
	g, held := a.Grant()
	require.True(t, held)
	require.EqualValues(t, 1, g.Token)
}

// span is a period in which a process had a valid grant, as far as it knew.
type span struct {
	name     string
	token    int64
	from, to bootclock.Instant
}

// Candidates never hold the lease at the same time, even if they are paused and the
// store loses requests and responses.
func TestNoTwoHoldersAtOnce(t *testing.T) {
	const ttl = 60 * time.Millisecond
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	s := memstore.New()
	var faultMu sync.Mutex
	faultRand := rand.New(rand.NewPCG(seed, 0))
	s.FailWith(func(op memstore.Op, _ string) memstore.Failure {
		faultMu.Lock()
		defer faultMu.Unlock()
		if faultRand.IntN(4) > 0 {
			return memstore.NoFailure
		}
		if op == memstore.OpPut {
			return memstore.Failure(1 + faultRand.IntN(3))
		}
		return memstore.Rejects
	})
	var mu sync.Mutex
	var spans []span
	var wg sync.WaitGroup
	end := time.Now().Add(3 * time.Second)
	for i := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rng := rand.New(rand.NewPCG(seed, uint64(i+1)))
			l := newLessee(s, fmt.Sprint(i), ttl)
			for time.Now().Before(end) {
				ctx, cancel := context.WithTimeout(context.Background(), ttl/2)
				_ = l.Step(ctx)
				cancel()
				if g, held := l.Grant(); held {
					mu.Lock()
					spans = append(spans, span{l.o.Holder, g.Token, bootclock.Now(), g.Until})
					mu.Unlock()
				}
				time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
				if rng.IntN(10) == 0 {
					time.Sleep(2 * ttl) // a pause
				}
				if rng.IntN(20) == 0 {
					_ = l.Release(context.Background())
				}
			}
		}()
	}
	wg.Wait()
	checkSpans(t, spans)
}

func checkSpans(t *testing.T, spans []span) {
	slices.SortFunc(spans, func(a, b span) int { return int(a.token - b.token) })
	require.NotEmpty(t, spans)
	holders := map[int64]string{}
	lastUse := map[int64]bootclock.Instant{}
	firstUse := map[int64]bootclock.Instant{}
	for _, s := range spans {
		if h, ok := holders[s.token]; ok {
			require.Equal(t, h, s.name, "token %d was used by two holders", s.token)
		} else {
			firstUse[s.token] = s.from
		}
		holders[s.token] = s.name
		lastUse[s.token] = max(lastUse[s.token], s.from)
	}
	previous := bootclock.Instant(0)
	for token := int64(1); token <= spans[len(spans)-1].token; token++ {
		if _, ok := holders[token]; !ok {
			continue
		}
		require.Greater(t, firstUse[token], previous, "token %d was used before the last use of an earlier one", token)
		previous = max(previous, lastUse[token])
	}
	t.Logf("%d spans, %d holders", len(spans), len(holders))
}
