package resumption

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/peer"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/members"
)

const life = 16 * time.Second

// world is a registry without peers whose clock and view the test sets.
type world struct {
	*Registry
	at   bootclock.Instant
	view *fleet.View
}

func newWorld(versions ...string) *world {
	w := &world{at: bootclock.Now()}
	w.Registry = New(Options{View: func() *fleet.View { return w.view }, StaleAfter: time.Second, Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger()})
	w.history.now = func() bootclock.Instant { return w.at }
	w.table.now = w.history.now
	w.serve(versions...)
	return w
}

// serve changes the versions of the service's instances.
func (w *world) serve(versions ...string) {
	v := &fleet.View{InstancesKnown: true, Instances: map[string]*fleet.Instance{}, InstancesConfirmedAt: bootclock.Now()}
	for n, version := range versions {
		id := fmt.Sprint("i-", n)
		v.Instances[id] = &fleet.Instance{ID: id, Service: "s", Software: version}
	}
	v.Index()
	w.view = v
	w.history.observe(v)
}

func (w *world) pass(d time.Duration) { w.at = w.at.Add(d) }

func (w *world) find(request string) (string, Source) {
	o, source := w.Find(context.Background(), "w", request, "s", life)
	return o.Software, source
}

func TestOriginWithoutARecord(t *testing.T) {
	w := newWorld("v1", "v1")
	_, source := w.find("r")
	require.Equal(t, SourceNone, source, "the versions before the start of the process are not known")
	w.pass(life)
	version, source := w.find("r")
	require.Equal(t, SourceOnlyVersion, source)
	require.Equal(t, "v1", version)

	w.serve("v1", "v2")
	_, source = w.find("r")
	require.Equal(t, SourceNone, source, "two versions serve")
	w.serve("v2")
	w.pass(life)
	_, source = w.find("r")
	require.Equal(t, SourceNone, source, "the stream may have begun when the last instance of v1 served")
	w.pass(time.Millisecond)
	version, source = w.find("r")
	require.Equal(t, SourceOnlyVersion, source)
	require.Equal(t, "v2", version)

	w.view.InstancesConfirmedAt = bootclock.Now().Add(-time.Minute)
	_, source = w.find("r")
	require.Equal(t, SourceNone, source, "another version may serve that this process doesn't know of")
}

func TestOnlyVersionNeedsAllToAgree(t *testing.T) {
	complete := func(versions ...string) Evidence { return Evidence{Versions: versions, Complete: true} }
	young := func(versions ...string) Evidence { return Evidence{Versions: versions} }
	for name, c := range map[string]struct {
		all  []Evidence
		want string
	}{
		"a process that started lately relies on a peer": {[]Evidence{young("v1"), complete("v1")}, "v1"},
		"a peer knows another version":                   {[]Evidence{complete("v1"), young("v2")}, ""},
		"all started lately":                             {[]Evidence{young("v1"), young("v1")}, ""},
		"no instances":                                   {[]Evidence{complete()}, ""},
		"a peer knows no instances":                      {[]Evidence{complete("v1"), young()}, "v1"},
	} {
		got, ok := onlyVersion(c.all)
		require.Equal(t, c.want, got, name)
		require.Equal(t, c.want != "", ok, name)
	}
}

func TestRecordsOfStreams(t *testing.T) {
	w := newWorld("v1", "v2")
	began := func(workspace, request, version string) {
		w.Began(Origin{Request: request, Workspace: workspace, Service: "s", Software: version}, life)
	}
	began("w", "a", "v1")
	version, source := w.find("a")
	require.Equal(t, SourceRecord, source)
	require.Equal(t, "v1", version)

	began("other", "a", "v2")
	version, _ = w.find("a")
	require.Equal(t, "v1", version, "another workspace can't change the record")
	began("other", "b", "v2")
	_, source = w.find("b")
	require.Equal(t, SourceNone, source, "the stream of another workspace")
	_, source = w.find("forged")
	require.Equal(t, SourceNone, source)
	_, source = w.find("")
	require.Equal(t, SourceNone, source, "the client names no attempt")

	w.pass(life - time.Second)
	began("w", "a", "v1")
	w.pass(life - time.Second)
	_, source = w.find("a")
	require.Equal(t, SourceRecord, source, "a stream that was resumed lives on")
	began("w", "a", "v2")
	_, source = w.find("a")
	require.Equal(t, SourceNone, source, "two streams with the same ID")
	w.pass(life)
	began("w", "a", "v2")
	version, _ = w.find("a")
	require.Equal(t, "v2", version, "the earlier stream is over")
}

func TestRecordsAreBounded(t *testing.T) {
	w := newWorld("v1", "v2")
	for n := range maxRecords + 100 {
		w.Began(Origin{Request: fmt.Sprint(n), Service: "s", Software: "v1"}, time.Hour)
	}
	require.LessOrEqual(t, w.table.size(), maxRecords)
	require.LessOrEqual(t, len(w.table.order), maxRecords)
	require.LessOrEqual(t, len(w.pending), maxRecords)
	_, newest := w.table.find("", fmt.Sprint(maxRecords+99))
	require.True(t, newest)
	w.pass(maxLife)
	w.Began(Origin{Request: "last", Service: "s", Software: "v1"}, life)
	require.Equal(t, 1, w.table.size())
}

// TestRecordsAreSharedWhileVersionsDiffer counts the records that are sent. A service with one version needs none.
func TestRecordsAreSharedWhileVersionsDiffer(t *testing.T) {
	w := newWorld("v1")
	w.review()
	w.Began(Origin{Request: "a", Service: "s", Software: "v1"}, life)
	require.Empty(t, w.pending)
	w.serve("v1", "v2")
	w.review()
	require.Len(t, w.pending, 1, "the stream that was under way when the second version appeared")
	w.Began(Origin{Request: "b", Service: "s", Software: "v2"}, life)
	require.Len(t, w.pending, 2)
	w.review()
	require.Len(t, w.pending, 2)

	young := newWorld()
	young.view = &fleet.View{InstancesConfirmedAt: bootclock.Now()} // a scheduler places its requests until it has the registrations
	young.Began(Origin{Request: "a", Service: "s", Software: "v1"}, life)
	require.Len(t, young.pending, 1, "the process doesn't know which versions serve")

	stale := newWorld("v1")
	stale.view.InstancesConfirmedAt = bootclock.Now().Add(-time.Minute)
	stale.Began(Origin{Request: "a", Service: "s", Software: "v1"}, life)
	require.Len(t, stale.pending, 1, "other processes may know a second version")
}

func TestStoredVersions(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	var s storedVersions
	require.False(t, s.evidence("s", now, life).Complete, "nothing was ever written")
	s, changed := s.next(map[string][]string{"s": {"v1"}}, now, 0)
	require.True(t, changed)
	_, changed = s.next(map[string][]string{"s": {"v1"}}, now.Add(time.Hour), 0)
	require.False(t, changed, "an object that doesn't change is not written")
	require.False(t, s.evidence("s", now.Add(life), life).Complete)
	require.Equal(t, Evidence{[]string{"v1"}, true}, s.evidence("s", now.Add(life+clockMargin), life))

	now = now.Add(time.Minute)
	s, changed = s.next(map[string][]string{"s": {"v1", "v2"}}, now, 0)
	require.True(t, changed)
	s, changed = s.next(map[string][]string{"s": {"v2"}}, now.Add(time.Second), 0)
	require.True(t, changed)
	now = now.Add(time.Second)
	require.Len(t, s.evidence("s", now.Add(life), life).Versions, 2, "a stream of v1 may have been under way")
	require.Equal(t, []string{"v2"}, s.evidence("s", now.Add(life+2*clockMargin), life).Versions)
	s, _ = s.next(map[string][]string{"s": {"v3"}}, now.Add(2*historyRetention), 0)
	require.Equal(t, []string{"v2", "v3"}, slices.Sorted(maps.Keys(s.Until["s"])), "old versions are forgotten")
}

// TestCopiesOutlastADomain has more peers in the own domain than there are copies.
func TestCopiesOutlastADomain(t *testing.T) {
	var peers []members.Member
	for n, domain := range []string{"a", "a", "a", "a", "b", "b", "c"} {
		peers = append(peers, members.Member{Name: fmt.Sprint(n), Domain: domain})
	}
	require.Equal(t, []string{"0", "4", "6", "1", "2", "3", "5"}, members.Names(spread(peers)))
}

// slowPeer answers after a pause, as a process on a busy host.
type slowPeer struct {
	*Registry
	pause time.Duration
}

// HandlePeer implements peer.Handler.
func (s slowPeer) HandlePeer(ctx context.Context, req *peerpb.Request) *peerpb.Response {
	time.Sleep(s.pause)
	return s.Registry.HandlePeer(ctx, req)
}

// TestPeerOnABusyHostIsHeard has the only process with a record of a stream answer late. Without its answer the client
// would have to begin the stream again.
func TestPeerOnABusyHostIsHeard(t *testing.T) {
	keeper := newWorld("v1", "v2")
	keeper.Began(Origin{Request: "r", Workspace: "w", Service: "s", Software: "v1"}, life)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	remote := peer.NewTransport(&peerpb.Identity{Name: "keeper"}, slowPeer{keeper.Registry, 150 * time.Millisecond}, metrics.NewRegistry(), log.NewNopLogger())
	defer remote.Close()
	go func() { _ = remote.Serve(l) }()
	asking := newWorld("v1", "v2")
	own := peer.NewTransport(&peerpb.Identity{Name: "asking"}, asking, metrics.NewRegistry(), log.NewNopLogger())
	defer own.Close()
	asking.o.Transport = own
	asking.o.Peers = func() []members.Member { return []members.Member{{Name: "keeper", Peer: l.Addr().String()}} }
	version, source := asking.find("r")
	require.Equal(t, SourcePeer, source)
	require.Equal(t, "v1", version)
}

// BenchmarkBegan records the beginning of a stream, with one version and with two.
func BenchmarkBegan(b *testing.B) {
	for _, versions := range [][]string{{"v1"}, {"v1", "v2"}} {
		b.Run(fmt.Sprint(len(versions)), func(b *testing.B) {
			w := newWorld(versions...)
			for n := range b.N {
				w.Began(Origin{Request: fmt.Sprint(n), Workspace: "w", Service: "s", Software: "v1"}, life)
				if len(w.pending) == maxBatch {
					w.pending = nil
				}
			}
		})
	}
}

// TestRecordsAreBoundedInBytes has clients begin streams with long request IDs.
func TestRecordsAreBoundedInBytes(t *testing.T) {
	tb := newTable()
	id := func(n int) string { return fmt.Sprintf("%0250d", n) }
	const records = maxRecordBytes / 250
	for n := range records {
		tb.add(Origin{Request: id(n), Service: "s"}, maxLife, true)
	}
	require.LessOrEqual(t, tb.bytes, maxRecordBytes+recordBytes+250)
	require.Less(t, tb.size(), records)
	_, known := tb.find("", id(records-1))
	require.True(t, known, "the newest is kept")
	_, known = tb.find("", id(0))
	require.False(t, known, "the oldest is dropped")
}
