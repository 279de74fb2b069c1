package scheduler

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/feed"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore"
)

// knowsNoInstances gives a node the view that it has before it has copied the registrations.
func knowsNoInstances(n *node, rules *fleet.Rules) {
	v := *n.view.Load()
	v.Instances, v.InstancesKnown, v.Partial, v.Rules = map[string]*fleet.Instance{}, false, true, rules
	v.Index()
	n.view.Store(&v)
}

// TestAProcessServesBeforeItKnowsTheInstances has all processes of a large fleet start at once: one that has the
// configuration serves what its scheduler places, with the instances that this one names.
func TestAProcessServesBeforeItKnowsTheInstances(t *testing.T) {
	s, n := newNode(t, "a-s"), newNode(t, "a-n")
	see([]*node{s, n}, []*node{s}, "ap-1", "ad-1")
	knowsNoInstances(n, nil)
	require.True(t, n.view.Load().Ready())
	plan, ticket := n.Place(context.Background(), jobOf(n, "x"))
	require.NotNil(t, ticket)
	require.Equal(t, s.self.Name, plan.DecidedBy)
	require.Equal(t, s.view.Load().Instances["ap-1"], plan.PrefillEngine)
	require.Equal(t, ticket, ticket.PlaceDecode(context.Background(), jobOf(n, "x"), &plan))
	require.Equal(t, s.view.Load().Instances["ad-1"], plan.Target)
}

// TestSchedulersThatAreNotReadyArePassedOver has the schedulers of a failure domain be ready after those of another.
func TestSchedulersThatAreNotReadyArePassedOver(t *testing.T) {
	first, second, other, n := newNode(t, "a-1"), newNode(t, "a-2"), newNode(t, "b-1"), newNode(t, "a-n")
	all := []*node{first, second, other}
	see(append(all, n), all, "ap-1", "ad-1")
	for _, late := range []*node{first, second, n} {
		knowsNoInstances(late, nil)
	}
	starting := *n.view.Load()
	starting.Config, starting.Watchers = nil, []members.Member{other.self}
	placing := n.view.Swap(&starting)
	begun := time.Now()
	head, err := n.Follow(context.Background(), feed.Position{})
	require.NoError(t, err)
	require.True(t, head.Partial)
	require.Less(t, time.Since(begun), n.Client.o.followWait(), "nobody waits for those that are not ready")
	n.view.Store(placing)
	plan, ticket := n.Place(context.Background(), jobOf(n, "x"))
	require.NotNil(t, ticket)
	require.Equal(t, other.self.Name, plan.DecidedBy)
}

// TestAPlacedInstanceMustBePermitted has a scheduler that has not heard of a rule place a request: a process
// that knows it, and no instances, does not send the request there.
func TestAPlacedInstanceMustBePermitted(t *testing.T) {
	s, n := newNode(t, "a-s"), newNode(t, "a-n")
	see([]*node{s, n}, []*node{s}, "ad-1")
	elsewhere, err := fleet.ParseRules([]byte(`{"selectors": {"r": "domain=b"}}`))
	require.NoError(t, err)
	knowsNoInstances(n, elsewhere)
	plan, ticket := n.Place(context.Background(), jobOf(n, "x"))
	require.Nil(t, ticket)
	require.Nil(t, plan.Target)
	require.Nil(t, plan.PrefillEngine)
}

// TestTheHeadOfACopyIsOfTheSameSize compares what a process needs until it serves before few and many instances.
func TestTheHeadOfACopyIsOfTheSameSize(t *testing.T) {
	size := func(instances int) int {
		s, n := newNode(t, "a-s"), newNode(t, "a-n")
		s.Server.o.InstancePrefix = "servers/"
		see([]*node{s, n}, []*node{s})
		var events []objstore.Event
		for k := range instances {
			events = append(events, objstore.Event{Object: registration(k)})
		}
		config := objstore.Object{Key: "config/main", Value: []byte("{}"), Version: 7}
		s.feed.Apply(append(events, objstore.Event{Object: config}))
		first := *n.view.Load()
		first.Config, first.InstancesKnown = nil, false
		n.view.Store(&first)
		head, err := n.Follow(context.Background(), feed.Position{})
		require.NoError(t, err)
		require.True(t, head.Partial)
		require.False(t, head.Full)
		require.Equal(t, feed.Position{}, head.Position)
		require.Equal(t, []objstore.Event{{Object: config}}, head.Events)
		resp := s.Server.follow(context.Background(), &peerpb.Follow{Head: true, Unpacks: true})
		first.Config = &fleet.Config{}
		n.view.Store(&first)
		whole, err := n.Follow(context.Background(), head.Position)
		require.NoError(t, err)
		require.True(t, whole.Full)
		require.Len(t, whole.Events, instances+1)
		return proto.Size(resp)
	}
	require.InDelta(t, size(100), size(5000), 8, "bytes")
}

// TestAWholeCopyComesBeforeASchedulerPlaces has a scheduler that knows the configuration alone asked.
func TestAWholeCopyComesBeforeASchedulerPlaces(t *testing.T) {
	s := newNode(t, "a-s")
	see([]*node{s}, []*node{s}, "ad-1")
	j := jobOf(s, "x")
	j.Call.Parts = []engine.Part{{ID: "x", Tokens: 9000}}
	knowsNoInstances(s, nil)
	require.False(t, s.view.Load().Ready())
	_, err := decodeJob(encodeJob(j), s.view.Load())
	require.True(t, fault.Is(err, fault.Unavailable), "%v", err)
}
