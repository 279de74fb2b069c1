package loadshare

import (
	"context"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/peer"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/internal/standin/fleetstore"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/placement"
	"github.com/rockdoor/rockdoor/platform"
)

// node is one gateway's part.
type node struct {
	*Sharer
	self members.Member
	own  atomic.Pointer[map[string]placement.Load]
	stop func()
}

// HandlePeer implements peer.Handler.
func (n *node) HandlePeer(ctx context.Context, req *peerpb.Request) *peerpb.Response {
	return n.Sharer.HandlePeer(ctx, req)
}

func start(t *testing.T, store, name string, all *[]members.Member) *node {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	n := &node{self: members.Member{Name: name, Incarnation: name + "-1", Peer: l.Addr().String()}}
	n.own.Store(&map[string]placement.Load{})
	transport := peer.NewTransport(&peerpb.Identity{Name: name, Incarnation: "1"}, n, metrics.NewRegistry(), log.NewNopLogger())
	n.Sharer = New(Options{
		Self: n.self, Store: platform.NewStore(store), Prefix: platform.MemberPrefix, Transport: transport,
		Own: func() map[string]placement.Load { return *n.own.Load() }, Changing: func() []string { return []string{"by-" + name} },
		Members: func() []members.Member { return *all }, Logger: log.NewNopLogger(),
	})
	go func() { _ = transport.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = n.Run(ctx) }()
	n.stop = func() { cancel(); <-done; l.Close(); transport.Close() }
	return n
}

func TestLoadsAreShared(t *testing.T) {
	fake := fleetstore.New()
	server := httptest.NewServer(fake)
	defer server.Close()
	all := make([]members.Member, 3)
	store := server.Listener.Addr().String()
	var nodes []*node
	for i, name := range []string{"a", "b", "c"} {
		n := start(t, store, name, &all)
		all[i] = n.self
		nodes = append(nodes, n)
	}
	want := placement.Load{Requests: 1, Prompts: 2, PromptTokens: 3, LatePrompts: 4, LateTokens: 5, Starting: 6}
	nodes[1].own.Store(&map[string]placement.Load{"i": want})
	nodes[2].own.Store(&map[string]placement.Load{"i": want})
	require.Eventually(t, func() bool { return nodes[0].Load("i") == want.Add(want) && nodes[1].Load("i") == want }, 3*time.Second, 5*time.Millisecond)
	require.True(t, nodes[0].Changing("by-c"))
	require.False(t, nodes[0].Changing("by-a"))
	require.Len(t, nodes[0].Heard(), 2)

	nodes[2].stop()
	require.Eventually(t, func() bool { return nodes[0].Load("i") == want && !nodes[0].Changing("by-c") }, 3*time.Second, 5*time.Millisecond,
		"what a silent gateway said counts no longer")

	require.Eventually(t, func() bool {
		objs, _, err := platform.NewStore(store).List(context.Background(), platform.MemberPrefix)
		return err == nil && len(objs) == 3
	}, 3*time.Second, 5*time.Millisecond)
	nodes[0].Leave(context.Background())
	objs, _, err := platform.NewStore(store).List(context.Background(), platform.MemberPrefix)
	require.NoError(t, err)
	require.Len(t, objs, 2)
	nodes[0].stop()
	nodes[1].stop()
}
