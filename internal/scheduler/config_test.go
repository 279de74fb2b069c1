package scheduler

import (
	"context"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/internal/discovery"
	"github.com/rockdoor/rockdoor/internal/feed"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore"
)

// TestFrozenSchedulersDelayNoAnswer has a process ask all schedulers for the configuration while most of them are frozen.
// The answer of the one that responds arrives before the calls of the others time out.
func TestFrozenSchedulersDelayNoAnswer(t *testing.T) {
	var all []*node
	for _, name := range []string{"a-1", "a-2", "b-1", "b-2", "c-1", "c-2"} {
		all = append(all, newNode(t, name))
	}
	setView(all, all[1:], "ap1")
	alive := all[5]
	alive.Server.o.InstancePrefix = "servers/"
	alive.feed.Put(objstore.Object{Key: "config/main", Version: 4, Value: []byte("new")})
	alive.feed.Put(objstore.Object{Key: "rules/main", Version: 3})
	for _, n := range all[1:5] {
		n.frozen.Store(true)
	}
	arrived := make(chan discovery.ConfigUpdate, 1)
	known := discovery.ConfigVersions{Config: 2, Rules: 3}
	go all[0].FetchConfig(context.Background(), known, math.MaxInt, func(u discovery.ConfigUpdate) { arrived <- u })
	select {
	case u := <-arrived:
		require.Equal(t, alive.self.Name, u.From)
		require.Len(t, u.Objects, 1, "the rules are known")
		require.Equal(t, "new", string(u.Objects[0].Value))
	case <-time.After(alive.Client.o.longPollWait() / 2):
		require.Fail(t, "the answer waits for frozen schedulers")
	}
}

// TestOfferedConfigurationIsFetched covers a process that is no scheduler and offers its configuration. It must answer
// the scheduler that asks it then, and the age must not be less than it was when the scheduler asked.
func TestOfferedConfigurationIsFetched(t *testing.T) {
	s, a := newNode(t, "a-sched"), newNode(t, "a-1")
	setView([]*node{s, a}, []*node{s}, "ap1")
	const age = 300 * time.Millisecond
	v := *a.view.Load()
	v.ConfigConfirmedAt, v.StoreUp = bootclock.Now().Add(-age), true
	a.view.Store(&v)
	a.Server.o.InstancePrefix = "servers/"
	a.feed.Put(objstore.Object{Key: "config/main", Version: 4})
	var mu sync.Mutex
	var offered []members.Member
	s.Server.o.OnConfigOffer = func(from members.Member) {
		mu.Lock()
		defer mu.Unlock()
		offered = append(offered, from)
	}
	a.OfferConfig(context.Background())
	mu.Lock()
	defer mu.Unlock()
	require.Len(t, offered, 1)
	asked := bootclock.Now()
	u, err := s.FetchConfigFrom(context.Background(), offered[0], discovery.ConfigVersions{Config: 2})
	require.NoError(t, err)
	require.Len(t, u.Objects, 1)
	require.LessOrEqual(t, u.ConfirmedAt, asked.Add(-age))
	require.True(t, u.StoreUp)
}

// TestLostSourceEndsLongPolls checks that followers learn at once that the source of their scheduler has lost the store.
func TestLostSourceEndsLongPolls(t *testing.T) {
	s, a := newNode(t, "a-sched"), newNode(t, "a-1")
	setView([]*node{s, a}, []*node{s}, "ap1")
	f, err := a.Follow(context.Background(), feed.Position{})
	require.NoError(t, err)
	lost := *s.view.Load()
	lost.ConfigUnconfirmed = true
	changed := bootclock.Now()
	time.AfterFunc(a.Client.o.longPollWait()/10, func() {
		changed = bootclock.Now()
		s.view.Store(&lost)
		s.feed.Wake()
	})
	f, err = a.Follow(context.Background(), f.Position)
	require.NoError(t, err)
	require.True(t, f.ConfigUnconfirmed)
	require.Less(t, bootclock.Since(changed), a.Client.o.longPollWait()/2)
}

// TestProcessOfAFormerVersionDelaysNoAnswer covers a rolling update: a scheduler of a former version does not know the call
// and does not send the age of the configuration alone.
func TestProcessOfAFormerVersionDelaysNoAnswer(t *testing.T) {
	s, a := newNode(t, "a-sched"), newNode(t, "a-1")
	setView([]*node{s, a}, []*node{s}, "ap1")
	s.former.Store(true)
	begun := time.Now()
	a.FetchConfig(context.Background(), discovery.ConfigVersions{}, 1, func(discovery.ConfigUpdate) { t.Error("it has no answer") })
	require.Less(t, time.Since(begun), a.Client.o.longPollWait())
	f, err := decodeUpdate(&peerpb.FollowUpdate{AgeMs: 700})
	require.NoError(t, err)
	require.Equal(t, 700*time.Millisecond, f.ConfigAge)
}
