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

// clearInstances gives a node the view of a process that has not received the registrations yet.
func clearInstances(n *node, rules *fleet.Rules) {
	v := *n.view.Load()
	v.Instances, v.InstancesKnown, v.RelayReceived, v.Rules = map[string]*fleet.Instance{}, false, true, rules
	v.Index()
	n.view.Store(&v)
}

// TestAProcessServesBeforeItKnowsTheInstances covers the simultaneous start of all processes of a large fleet. A
// process that has only the configuration must serve requests with the instances that its scheduler names.
func TestAProcessServesBeforeItKnowsTheInstances(t *testing.T) {
	s, n := newNode(t, "a-s"), newNode(t, "a-n")
	setView([]*node{s, n}, []*node{s}, "ap-1", "ad-1")
	clearInstances(n, nil)
	require.True(t, n.view.Load().Ready())
	plan, ticket := n.Place(context.Background(), jobFor(n, "x"))
	require.NotNil(t, ticket)
	require.Equal(t, s.self.Name, plan.DecidedBy)
	require.Equal(t, s.view.Load().Instances["ap-1"], plan.PrefillEngine)
	require.Equal(t, ticket, ticket.PlaceDecode(context.Background(), jobFor(n, "x"), &plan))
	require.Equal(t, s.view.Load().Instances["ad-1"], plan.Target)
}

// TestSchedulersThatAreNotReadyAreSkipped covers schedulers that become ready after those of another failure domain.
func TestSchedulersThatAreNotReadyAreSkipped(t *testing.T) {
	first, second, other, n := newNode(t, "a-1"), newNode(t, "a-2"), newNode(t, "b-1"), newNode(t, "a-n")
	all := []*node{first, second, other}
	setView(append(all, n), all, "ap-1", "ad-1")
	for _, late := range []*node{first, second, n} {
		clearInstances(late, nil)
	}
	starting := *n.view.Load()
	starting.Config, starting.Watchers = nil, []members.Member{other.self}
	placing := n.view.Swap(&starting)
	begun := time.Now()
	partial, err := n.Follow(context.Background(), feed.Position{})
	require.NoError(t, err)
	require.True(t, partial.Partial)
	require.Less(t, time.Since(begun), n.Client.o.longPollWait(), "schedulers that are not ready are not waited for")
	n.view.Store(placing)
	plan, ticket := n.Place(context.Background(), jobFor(n, "x"))
	require.NotNil(t, ticket)
	require.Equal(t, other.self.Name, plan.DecidedBy)
}

// TestAPlacedInstanceMustBePermitted covers a scheduler that does not know of a rule yet. A process that knows the
// rule, but no instances, must not send the request to the instance that the scheduler chose.
func TestAPlacedInstanceMustBePermitted(t *testing.T) {
	s, n := newNode(t, "a-s"), newNode(t, "a-n")
	setView([]*node{s, n}, []*node{s}, "ad-1")
	elsewhere, err := fleet.ParseRules([]byte(`{"selectors": {"r": "domain=b"}}`))
	require.NoError(t, err)
	clearInstances(n, elsewhere)
	plan, ticket := n.Place(context.Background(), jobFor(n, "x"))
	require.Nil(t, ticket)
	require.Nil(t, plan.Target)
	require.Nil(t, plan.PrefillEngine)
}

// TestPartialSnapshotSizeDoesNotDependOnInstances checks that the size of a partial snapshot does not depend on the number of instances.
func TestPartialSnapshotSizeDoesNotDependOnInstances(t *testing.T) {
	size := func(instances int) int {
		s, n := newNode(t, "a-s"), newNode(t, "a-n")
		s.Server.o.InstancePrefix = "servers/"
		setView([]*node{s, n}, []*node{s})
		var events []objstore.Event
		for k := range instances {
			events = append(events, objstore.Event{Object: registration(k)})
		}
		config := objstore.Object{Key: "config/main", Value: []byte("{}"), Version: 7}
		s.feed.Apply(append(events, objstore.Event{Object: config}))
		first := *n.view.Load()
		first.Config, first.InstancesKnown = nil, false
		n.view.Store(&first)
		partial, err := n.Follow(context.Background(), feed.Position{})
		require.NoError(t, err)
		require.True(t, partial.Partial)
		require.False(t, partial.Full)
		require.Equal(t, feed.Position{}, partial.Position)
		require.Equal(t, []objstore.Event{{Object: config}}, partial.Events)
		resp := s.Server.follow(context.Background(), &peerpb.Follow{Head: true, Unpacks: true})
		first.Config = &fleet.Config{}
		n.view.Store(&first)
		full, err := n.Follow(context.Background(), partial.Position)
		require.NoError(t, err)
		require.True(t, full.Full)
		require.Len(t, full.Events, instances+1)
		return proto.Size(resp)
	}
	require.InDelta(t, size(100), size(5000), 8, "bytes")
}

// TestSchedulerWithPartialSnapshotRejectsPlacements checks that a scheduler with only a partial snapshot rejects placements.
func TestSchedulerWithPartialSnapshotRejectsPlacements(t *testing.T) {
	s := newNode(t, "a-s")
	setView([]*node{s}, []*node{s}, "ad-1")
	j := jobFor(s, "x")
	j.Call.Parts = []engine.Part{{ID: "x", Tokens: 9000}}
	clearInstances(s, nil)
	require.False(t, s.view.Load().Ready())
	_, err := decodeJob(encodeJob(j), s.view.Load())
	require.True(t, fault.Is(err, fault.Unavailable), "%v", err)
}
