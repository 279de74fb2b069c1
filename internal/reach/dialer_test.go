package reach

import (
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/peer"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/members"
)

// testHost is a host whose direct connections fail with err while it is set; a silent path blocks instead.
type testHost struct {
	*Dialer
	relay  *Relay
	member members.Member
	// failure is the error of direct connections, nil for none. dials counts them.
	failure atomic.Pointer[error]
	// lost is an address to which alone direct connections are silent, empty for none.
	lost     string
	dials    atomic.Int64
	stopping atomic.Bool
	// named are the processes that the host names as helpers, unknown those that it doesn't know itself.
	named, unknown []members.Member
	calls          atomic.Int64
}

const silentTime = 400 * time.Millisecond

func (h *testHost) direct(ctx context.Context, address string) (net.Conn, error) {
	h.dials.Add(1)
	err := h.failure.Load()
	if h.lost == address {
		silent := os.ErrDeadlineExceeded
		err = &silent
	}
	if err != nil {
		if *err == os.ErrDeadlineExceeded {
			select {
			case <-ctx.Done():
			case <-time.After(silentTime):
			}
		}
		return nil, *err
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

func (h *testHost) fail(err error) { h.failure.Store(&err) }
func (h *testHost) heal()          { h.failure.Store(nil) }

type countingRelay struct {
	*Relay
	calls *atomic.Int64
}

func (r countingRelay) Connect(ctx context.Context, from string, to *peerpb.Connect) (net.Conn, *peerpb.Connected) {
	r.calls.Add(1)
	return r.Relay.Connect(ctx, from, to)
}

type noHandler struct{}

func (noHandler) HandlePeer(context.Context, *peerpb.Request) *peerpb.Response {
	return &peerpb.Response{Body: &peerpb.Response_Heartbeat{Heartbeat: &peerpb.Heartbeat{}}}
}

// startInstance starts an instance that accepts connections, and returns its address.
func startInstance(t *testing.T) string {
	t.Helper()
	instance, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { instance.Close() })
	go func() {
		var open []net.Conn // an unreachable one would be closed by the garbage collector
		for {
			conn, err := instance.Accept()
			if err != nil {
				break
			}
			open = append(open, conn)
		}
		for _, conn := range open {
			conn.Close()
		}
	}()
	return instance.Addr().String()
}

// startHosts starts hosts that know each other and an instance, whose address is returned.
func startHosts(t *testing.T, n int, maxBytes int64) (hosts []*testHost, address string) {
	t.Helper()
	address = startInstance(t)
	const other = "at "
	instanceAt := func(a string) string {
		if a == address {
			return "i"
		}
		return other + a
	}
	addressOf := func(id, _ string) string {
		if id == "i" {
			return address
		}
		if a, isOther := strings.CutPrefix(id, other); isOther {
			return a
		}
		return ""
	}
	var all []members.Member
	for k := range n {
		h := &testHost{}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		h.member = members.Member{Name: fmt.Sprint("h", k), Peer: l.Addr().String()}
		transport := peer.NewTransport(&peerpb.Identity{Name: h.member.Name}, noHandler{}, metrics.NewRegistry(), log.NewNopLogger())
		peers := func() []members.Member {
			return slices.DeleteFunc(slices.Clone(all), func(m members.Member) bool { return members.Contains(h.unknown, m.Name) })
		}
		h.Dialer = NewDialer(Options{Self: h.member.Name, Direct: h.direct, Instance: instanceAt, Peers: peers, Transport: transport, Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger()})
		h.relay = NewRelay(RelayOptions{
			Dialer: h.Dialer, Address: addressOf, Stopping: h.stopping.Load,
			Helpers: func(string) []members.Member { return h.named }, MaxBytes: maxBytes, FreeIdle: transport.DrainIdleRelayed, Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger(),
		})
		transport.SetRelay(countingRelay{h.relay, &h.calls})
		go func() { _ = transport.Serve(l) }()
		t.Cleanup(func() { l.Close(); transport.Close() })
		hosts, all = append(hosts, h), append(all, h.member)
	}
	for _, h := range hosts {
		for _, m := range all {
			_, err := h.o.Transport.Call(context.Background(), m.Peer, &peerpb.Request{Body: &peerpb.Request_Heartbeat{Heartbeat: &peerpb.Heartbeat{}}})
			require.NoError(t, err)
		}
	}
	return hosts, address
}

// dial connects from a host and returns the helper's name, empty for a direct connection.
func (h *testHost) dial(t *testing.T, address string) (helper string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, err := h.Dial(ctx, address)
	if err != nil {
		return "", err
	}
	t.Cleanup(func() { conn.Close() })
	if r, ok := conn.(*peer.RelayedConn); ok {
		return r.Helper(), nil
	}
	return "", nil
}

func (h *testHost) requireMode(t *testing.T, mode Mode, address string) {
	t.Helper()
	require.Eventually(t, func() bool { return h.Mode(address) == mode }, time.Second, time.Millisecond)
}

const memory = 64 << 20

func TestPathIsCutAndWorksAgain(t *testing.T) {
	for _, failure := range []error{os.ErrDeadlineExceeded, syscall.ECONNREFUSED} {
		hosts, address := startHosts(t, 2, memory)
		h := hosts[0]
		h.fail(failure)
		helper, err := h.dial(t, address)
		require.NoError(t, err)
		require.Equal(t, "h1", helper)
		h.requireMode(t, Relayed, address)
		require.True(t, h.MayReuse(address, "h1"))
		require.False(t, h.MayReuse(address, ""))
		h.heal()
		h.requireMode(t, Direct, address)
		helper, err = h.dial(t, address)
		require.NoError(t, err)
		require.Empty(t, helper)
	}
}

// TestSilentInstanceIsNoCutPath guards against a way round for an instance that is silent to all hosts for a second, or
// that has crashed.
func TestSilentInstanceIsNoCutPath(t *testing.T) {
	for _, failure := range []error{os.ErrDeadlineExceeded, syscall.ECONNREFUSED} {
		hosts, address := startHosts(t, 3, memory)
		for _, h := range hosts {
			h.fail(failure)
		}
		_, err := hosts[0].dial(t, address)
		require.Error(t, err)
		require.False(t, hosts[0].IsCut(address))
		for _, h := range hosts {
			h.heal()
		}
		require.Equal(t, Direct, hosts[0].Mode(address))
		helper, err := hosts[0].dial(t, address)
		require.NoError(t, err)
		require.Empty(t, helper)
	}
}

// TestRefusedPathIsNoCrash guards against the quarantine of requests whose connections were reset by a cut path.
func TestRefusedPathIsNoCrash(t *testing.T) {
	hosts, address := startHosts(t, 2, memory)
	hosts[0].fail(syscall.ECONNREFUSED)
	require.False(t, hosts[0].Refuses(context.Background(), address))
	hosts[1].fail(syscall.ECONNREFUSED)
	hosts, address = startHosts(t, 2, memory)
	for _, h := range hosts {
		h.fail(syscall.ECONNREFUSED)
	}
	require.True(t, hosts[0].Refuses(context.Background(), address))
}

// TestUnreachableInstanceCausesNoStorm bounds what hosts that all are cut off ask of each other.
func TestUnreachableInstanceCausesNoStorm(t *testing.T) {
	hosts, address := startHosts(t, 5, memory)
	for _, h := range hosts {
		h.fail(syscall.ECONNREFUSED)
	}
	for range 50 {
		for _, h := range hosts {
			_, err := h.dial(t, address)
			require.Error(t, err)
		}
	}
	for _, h := range hosts {
		require.LessOrEqual(t, h.calls.Load(), int64(2*maxHelpers*len(hosts)))
	}
}

// TestOnlyHostWithAPathIsFound checks that the one host that reaches the instance helps all others.
func TestOnlyHostWithAPathIsFound(t *testing.T) {
	hosts, address := startHosts(t, 7, memory)
	for _, h := range hosts[1:] {
		h.fail(os.ErrDeadlineExceeded)
	}
	time.Sleep(time.Millisecond)
	for _, h := range hosts[1:] {
		require.Eventually(t, func() bool { helper, err := h.dial(t, address); return err == nil && helper == "h0" }, 3*time.Second, 10*time.Millisecond)
	}
}

// TestHelperThatCannotHelpIsReplaced checks that another peer is used for a helper that stops, is full, is cut off
// itself, or is lost.
func TestHelperThatCannotHelpIsReplaced(t *testing.T) {
	for name, disable := range map[string]func(h *testHost){
		"stopping": func(h *testHost) { h.stopping.Store(true) },
		"full":     func(h *testHost) { h.relay.o.MaxBytes = 0 },
		"cut":      func(h *testHost) { h.fail(os.ErrDeadlineExceeded) },
		"lost":     func(h *testHost) { h.o.Transport.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			hosts, address := startHosts(t, 3, memory)
			hosts[0].fail(os.ErrDeadlineExceeded)
			helper, err := hosts[0].dial(t, address)
			require.NoError(t, err)
			hosts[0].requireMode(t, Relayed, address)
			for _, h := range hosts[1:] {
				if h.member.Name == helper {
					disable(h)
				}
			}
			begun := time.Now()
			next, err := hosts[0].dial(t, address)
			require.NoError(t, err)
			require.NotEqual(t, helper, next)
			require.Less(t, time.Since(begun), helpTimeout)
		})
	}
}

// TestOnlyHelperIsUsedAgainOnceItHasRoom covers a host whose only helper has no room for one more connection. Those that it
// has stay in use, and the next one is made as soon as the helper has room.
func TestOnlyHelperIsUsedAgainOnceItHasRoom(t *testing.T) {
	hosts, address := startHosts(t, 2, peer.RelayedConnBytes)
	hosts[0].fail(os.ErrDeadlineExceeded)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	first, err := hosts[0].Dial(ctx, address)
	require.NoError(t, err)
	hosts[0].requireMode(t, Relayed, address)
	_, err = hosts[0].dial(t, address)
	require.Error(t, err)
	require.True(t, hosts[0].MayReuse(address, "h1"))
	first.Close()
	require.Eventually(t, func() bool { return hosts[1].relay.Open() == 0 }, time.Second, time.Millisecond)
	_, err = hosts[0].dial(t, address)
	require.NoError(t, err)
}

// TestIdleConnectionsMakeRoomForOthers has two hosts use a helper with room for one connection. The one of the first host is
// closed for the other one between two requests, but not while one is under way.
func TestIdleConnectionsMakeRoomForOthers(t *testing.T) {
	hosts, address := startHosts(t, 3, peer.RelayedConnBytes)
	connect := func(h *testHost) *peer.RelayedConn {
		h.fail(os.ErrDeadlineExceeded)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		conn, err := h.Dial(ctx, address)
		require.NoError(t, err)
		h.requireMode(t, Relayed, address)
		return conn.(*peer.RelayedConn)
	}
	require.NoError(t, connect(hosts[2]).Close())
	require.Eventually(t, func() bool { return hosts[1].relay.Open() == 0 }, time.Second, time.Millisecond)
	first := connect(hosts[0])
	require.NoError(t, first.BeginRequest("r"))
	_, err := hosts[2].dial(t, address)
	require.Error(t, err)
	require.True(t, first.Idle(), "an exchange is under way")
	first.EndRequest()
	require.Eventually(t, func() bool { _, err := hosts[2].dial(t, address); return err == nil }, time.Second, time.Millisecond)
	require.False(t, first.Idle())
}

// TestPeersThatLostOnePathHelpWithOthers has each host lose its path to one of two instances: the asking host that to
// the second one, the peers that to the first one. Peers that declined the first one must still be asked for the second.
func TestPeersThatLostOnePathHelpWithOthers(t *testing.T) {
	hosts, first := startHosts(t, 4, memory)
	second := startInstance(t)
	for _, h := range hosts[1:] {
		h.lost = first
		require.Eventually(t, func() bool { _, _ = h.dial(t, first); return h.table.mode(first, time.Now()) == Relayed }, 3*time.Second, 10*time.Millisecond)
	}
	hosts[0].fail(os.ErrDeadlineExceeded)
	_, err := hosts[0].dial(t, first)
	require.Error(t, err, "nobody reaches it")
	_, err = hosts[0].dial(t, second)
	require.NoError(t, err)
}

// TestHostThatJustStartedFindsHelpers covers a host that starts while its paths are cut: it has heard nothing of its peers
// yet, and most of them are cut as well.
func TestHostThatJustStartedFindsHelpers(t *testing.T) {
	hosts, address := startHosts(t, 5, memory)
	var peers []members.Member
	for n, h := range hosts {
		peers = append(peers, h.member)
		if n > 0 {
			h.lost = address
			require.Eventually(t, func() bool { _, _ = h.dial(t, address); return h.table.mode(address, time.Now()) == Relayed }, 3*time.Second, 10*time.Millisecond)
		}
	}
	started := &testHost{}
	started.fail(syscall.ECONNREFUSED)
	transport := peer.NewTransport(&peerpb.Identity{Name: "new"}, noHandler{}, metrics.NewRegistry(), log.NewNopLogger())
	t.Cleanup(transport.Close)
	started.Dialer = NewDialer(Options{
		Self: "new", Direct: started.direct, Instance: hosts[0].o.Instance, Peers: func() []members.Member { return peers }, Transport: transport, Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger(),
	})
	_, err := transport.Call(context.Background(), peers[1].Peer, &peerpb.Request{Body: &peerpb.Request_Heartbeat{Heartbeat: &peerpb.Heartbeat{}}})
	require.NoError(t, err)
	helper, err := started.dial(t, address)
	require.NoError(t, err)
	require.Equal(t, hosts[0].member.Name, helper)
}

// TestNamedHelpersAreUsed checks that a host uses processes that it doesn't know itself, which a peer names that is full.
func TestNamedHelpersAreUsed(t *testing.T) {
	hosts, address := startHosts(t, 3, memory)
	hosts[0].fail(os.ErrDeadlineExceeded)
	hosts[0].unknown = []members.Member{hosts[2].member}
	hosts[1].relay.o.MaxBytes, hosts[1].named = 0, []members.Member{hosts[2].member}
	require.Eventually(t, func() bool { helper, err := hosts[0].dial(t, address); return err == nil && helper == "h2" }, 2*time.Second, 10*time.Millisecond)
}

// TestRelayedConnectionsAreBounded checks that memory for connections is returned when they end.
func TestRelayedConnectionsAreBounded(t *testing.T) {
	hosts, address := startHosts(t, 2, 3*peer.RelayedConnBytes)
	connect := func() (net.Conn, peerpb.ConnectStatus) {
		conn, connected := hosts[0].relay.Connect(context.Background(), "h1", &peerpb.Connect{Instance: "i", Address: address})
		return conn, connected.GetStatus()
	}
	var conns []net.Conn
	for range 3 {
		conn, status := connect()
		require.Equal(t, peerpb.ConnectStatus_CONNECT_STATUS_CONNECTED, status)
		conns = append(conns, conn)
	}
	_, status := connect()
	require.Equal(t, peerpb.ConnectStatus_CONNECT_STATUS_BUSY, status)
	for _, conn := range conns {
		conn.Close()
		conn.Close()
	}
	require.Zero(t, hosts[0].relay.Open())
	_, connected := hosts[0].relay.Connect(context.Background(), "h1", &peerpb.Connect{Instance: "other", Address: address})
	require.Equal(t, peerpb.ConnectStatus_CONNECT_STATUS_UNKNOWN, connected.GetStatus(), "only instances are connected to")
}

// TestHelperThatBeginsToStopWhileItConnectsDeclines has a helper begin to stop during its connection to an instance. It has told
// its callers already to use its connections no longer, so this one would be used until it is cut.
func TestHelperThatBeginsToStopWhileItConnectsDeclines(t *testing.T) {
	hosts, address := startHosts(t, 1, 1<<20)
	asked := 0
	relay := hosts[0].relay
	relay.o.Stopping = func() bool { asked++; return asked > 1 }
	conn, connected := relay.Connect(t.Context(), "h1", &peerpb.Connect{Instance: "i", Address: address})
	require.Nil(t, conn)
	require.Equal(t, peerpb.ConnectStatus_CONNECT_STATUS_BUSY, connected.GetStatus())
	require.Zero(t, relay.Open())
}
