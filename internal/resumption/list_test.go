package resumption

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/peer"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/internal/standin/fleetstore"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/objstore/memstore"
	"github.com/rockdoor/rockdoor/platform"
)

// heldStore is a store whose reads of an object can be held up or fail.
type heldStore struct {
	*memstore.Store
	mu   sync.Mutex
	gets int
	down bool
	hold chan struct{} // closed: not held up
}

func newHeldStore() *heldStore {
	s := &heldStore{Store: memstore.New(), hold: make(chan struct{})}
	close(s.hold)
	return s
}

func (s *heldStore) Get(ctx context.Context, key string) (objstore.Object, error) {
	s.mu.Lock()
	s.gets++
	down, hold := s.down, s.hold
	s.mu.Unlock()
	if down {
		return objstore.Object{}, fault.New(fault.Unavailable, "down", "wait")
	}
	obj, err := s.Store.Get(ctx, key) // what the store has when the read arrives
	<-hold
	return obj, err
}

func (s *heldStore) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *heldStore) reads() (n int) {
	s.set(func() { n = s.gets })
	return n
}

// listedWorld is a process with a store whose list has had the versions for longer than a stream may live.
func listedWorld(t *testing.T, listed []string, serving ...string) (*world, *heldStore) {
	w, s := newWorld(serving...), newHeldStore()
	w.o.Store = &StoreOptions{Store: s, Prefix: "streams/", Process: "p", Writer: "w", Clock: time.Now}
	w.reader, w.list = newRecordReader(*w.o.Store), newVersionList(*w.o.Store, func() int { return 1 })
	w.setList(t, listed...)
	w.pass(life)
	w.view.InstancesConfirmedAt = w.view.InstancesConfirmedAt.Add(time.Minute)
	return w, s
}

// setList writes the list.
func (w *world) setList(t *testing.T, versions ...string) {
	ctx, since := context.Background(), time.Now().Add(-time.Minute)
	o := *w.o.Store
	o.Store = o.Store.(*heldStore).Store
	old, at, err := getVersions(ctx, o)
	require.NoError(t, err)
	next, _ := old.next(map[string][]string{"s": versions}, since, 0)
	text, err := json.Marshal(next)
	require.NoError(t, err)
	_, err = o.Store.Put(ctx, "streams/"+versionsName, text, at, "w")
	require.NoError(t, err)
}

// silentPeer is a peer that can't be reached.
func (w *world) silentPeer() {
	w.o.Peers = func() []members.Member { return []members.Member{{Name: "silent", Peer: "127.0.0.1:1"}} }
}

// withTransport lets the process call peers.
func (w *world) withTransport(t *testing.T) {
	w.o.Transport = peer.NewTransport(&peerpb.Identity{Name: "own"}, w, metrics.NewRegistry(), log.NewNopLogger())
	t.Cleanup(w.o.Transport.Close)
}

// TestSilenceIsNoAgreement has a process that knows one version, by registrations that count as current. The only peer does
// not answer; it may have begun the stream at another version.
func TestSilenceIsNoAgreement(t *testing.T) {
	for name, c := range map[string]struct {
		listed []string
		down   bool
		want   Source
	}{
		"the list has the same version":    {[]string{"v1"}, false, SourceOnlyVersion},
		"the list has another version too": {[]string{"v1", "v2"}, false, SourceNone},
		"the list has another version":     {[]string{"v2"}, false, SourceNone},
		"the list is empty":                {nil, false, SourceNone},
		"the store does not answer":        {[]string{"v1"}, true, SourceNone},
	} {
		t.Run(name, func(t *testing.T) {
			w, s := listedWorld(t, c.listed, "v1")
			w.silentPeer()
			w.withTransport(t)
			s.set(func() { s.down = c.down })
			version, source := w.find("r")
			require.Equal(t, c.want, source)
			if c.want == SourceOnlyVersion {
				require.Equal(t, "v1", version)
			}
		})
	}
	w := newWorld("v1")
	w.pass(life)
	w.silentPeer()
	w.withTransport(t)
	_, source := w.find("r")
	require.Equal(t, SourceNone, source, "there is no store")
}

// TestListIsReadAfterTheResumptionArrived has the list change while a read of it is under way. A resumption that arrives then
// must not be decided by that read.
func TestListIsReadAfterTheResumptionArrived(t *testing.T) {
	w, s := listedWorld(t, []string{"v1"}, "v1")
	hold := make(chan struct{})
	s.set(func() { s.hold = hold })
	before := s.reads()
	first := make(chan Source)
	go func() { _, source := w.find("first"); first <- source }()
	require.Eventually(t, func() bool { return s.reads() == before+1 }, time.Second, time.Millisecond)
	w.setList(t, "v1", "v2")
	const later = 20
	sources := make(chan Source, later)
	for range later {
		go func() { _, source := w.find("later"); sources <- source }()
	}
	time.Sleep(50 * time.Millisecond)
	close(hold)
	require.Equal(t, SourceOnlyVersion, <-first)
	for range later {
		require.Equal(t, SourceNone, <-sources)
	}
	require.LessOrEqual(t, s.reads()-before, 3, "the later ones share reads")
}

// TestVersionsArePublishedBeforeUse has a version join. Its instances get no new request before the list has it.
func TestVersionsArePublishedBeforeUse(t *testing.T) {
	ctx := context.Background()
	w, s := listedWorld(t, []string{"v1"}, "v1", "v2")
	var published *fleet.Published
	w.o.OnPublished = func(_ context.Context, p *fleet.Published) { published = p }
	permitted := func() (versions []string) {
		v := *w.view
		v.Published = published
		v.Index()
		for _, i := range v.Permitted("r", "s") {
			versions = append(versions, i.Software)
		}
		return versions
	}
	require.Equal(t, []string{"v1", "v2"}, permitted(), "nothing is known to be published")
	p := &publisher{r: w.Registry}
	p.update(ctx)
	require.Equal(t, []string{"v1"}, permitted())
	require.Equal(t, "v2", w.view.PermittedOf("r", "s", "v2")[0].Software, "streams that it began continue there")

	s.set(func() { s.down = true })
	p.readAt = time.Time{}
	p.update(ctx)
	require.Equal(t, []string{"v1"}, permitted(), "the store does not answer")
	s.set(func() { s.down = false })

	w.setList(t, "v1", "v2", "v0")
	p.readAt = time.Time{}
	p.update(ctx)
	require.Equal(t, []string{"v1", "v2"}, permitted())
	require.False(t, published.Has("s", "v0"), "no instance has it; it is read again when one has")
	reads := s.reads()
	p.readAt = time.Now().Add(-recheckInterval / 2)
	p.update(ctx)
	require.Equal(t, reads, s.reads(), "nothing is missing")

	w.serve("v1")
	p.update(ctx)
	w.setList(t, "v1")
	w.serve("v1", "v2")
	p.readAt = time.Time{}
	p.update(ctx)
	require.Equal(t, []string{"v1"}, permitted(), "a version that comes back is published again before it serves")
	w.serve("v2")
	w.o.OnPublished(ctx, fleet.NewPublished(map[string][]string{"s": {"v1"}}, nil))
	require.Equal(t, []string{"v2"}, permitted(), "no published version serves")
}

// TestVersionIsPublishedWithoutTheHolder has nobody hold the duties.
func TestVersionIsPublishedWithoutTheHolder(t *testing.T) {
	ctx := context.Background()
	w, _ := listedWorld(t, []string{"v1"}, "v2")
	w.o.OnPublished = func(context.Context, *fleet.Published) {}
	p := &publisher{r: w.Registry}
	step := func() (v storedVersions) {
		p.readAt = time.Time{}
		p.update(ctx)
		v, _, err := getVersions(ctx, *w.o.Store)
		require.NoError(t, err)
		return v
	}
	list := step()
	require.Equal(t, []string{"v1"}, list.serving()["s"], "the holder has time to do it")
	p.writeAt = time.Now().Add(-time.Millisecond)
	list = step()
	require.Equal(t, []string{"v1", "v2"}, list.serving()["s"], "versions that only others know stay")
}

// TestRecordsAreInTheStoreAtOnce has all processes end right after streams began.
func TestRecordsAreInTheStoreAtOnce(t *testing.T) {
	w, _ := listedWorld(t, []string{"v1", "v2"}, "v1", "v2")
	w.view.StoreUp = true
	w.saver = &saver{o: *w.o.Store, versions: map[int]objstore.Version{}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.runSaver(ctx)
	for n, version := range []string{"v1", "v2", "v1", "v2"} {
		began := time.Now()
		w.Began(Origin{Request: fmt.Sprint(n), Workspace: "w", Service: "s", Software: version}, life)
		next, _ := listedWorld(t, nil, "v1", "v2")
		next.reader = newRecordReader(*w.o.Store)
		require.Eventually(t, func() bool {
			got, source := next.find(fmt.Sprint(n))
			return source == SourceStore && got == version
		}, time.Second, 10*time.Millisecond)
		require.Less(t, time.Since(began), slotTime, "the first write is made at once, later ones wait a little")
	}
}

// begins returns the versions at which a process with these instances begins streams.
func begins(p *fleet.Published, instances ...*fleet.Instance) (versions []string) {
	v := fleet.View{InstancesKnown: true, InstancesConfirmedAt: bootclock.Now(), Instances: map[string]*fleet.Instance{}, Published: p}
	for _, i := range instances {
		v.Instances[i.ID] = i
	}
	v.Index()
	for _, i := range v.Permitted("r", "s") {
		versions = append(versions, i.Software)
	}
	return versions
}

// TestVersionThatReplacesAnotherIsPublishedBeforeUse has the last instance of v1 drain when v2 joins.
func TestVersionThatReplacesAnotherIsPublishedBeforeUse(t *testing.T) {
	ctx := context.Background()
	w, s := listedWorld(t, []string{"v1"}, "v1")
	var published *fleet.Published
	w.o.OnPublished = func(_ context.Context, p *fleet.Published) { published = p }
	p := &publisher{r: w.Registry}
	update := func() []string {
		p.readAt = time.Time{}
		p.update(ctx)
		return begins(published, w.view.Instances["i-0"], &fleet.Instance{ID: "i-9", Service: "s", Software: "v2"})
	}
	p.update(ctx)
	w.view.Instances = map[string]*fleet.Instance{
		"i-0": {ID: "i-0", Service: "s", Software: "v1", Draining: true}, "i-9": {ID: "i-9", Service: "s", Software: "v2"},
	}
	w.view.Index()
	require.Empty(t, update(), "v2 isn't in the list")
	w.setList(t, "v1", "v2")
	require.Equal(t, []string{"v2"}, update())

	w.setList(t, "v1")
	p = &publisher{r: w.Registry}
	require.Empty(t, update())
	s.set(func() { s.down = true })
	p.lacking["s"] = time.Now().Add(-openUnread - time.Second)
	require.Equal(t, []string{"v2"}, update(), "the service has no other version, and the store is away")
}

// TestNewServiceServesBeforeItIsListed has a service of which the list has no version.
func TestNewServiceServesBeforeItIsListed(t *testing.T) {
	w, _ := listedWorld(t, nil, "v1")
	var published *fleet.Published
	w.o.OnPublished = func(_ context.Context, p *fleet.Published) { published = p }
	(&publisher{r: w.Registry}).update(context.Background())
	require.Equal(t, []string{"v1"}, begins(published, &fleet.Instance{ID: "i-0", Service: "s", Software: "v1"}))
}

// TestListOfAnEarlierEraIsNoProof has the store restored from a snapshot that was made before v2 was published.
func TestListOfAnEarlierEraIsNoProof(t *testing.T) {
	long := time.Now().Add(-time.Hour)
	list, _ := (&storedVersions{}).next(map[string][]string{"s": {"v1"}}, long, 0)
	list, changed := list.next(map[string][]string{"s": {"v1"}}, time.Now(), 1)
	require.True(t, changed, "the holder confirms the list in the new era")
	require.False(t, list.evidence("s", time.Now(), life).Complete)
	require.True(t, list.evidence("s", time.Now().Add(2*life), life).Complete)
}

// TestVersionThatIsDroppedFromTheListIsPublishedAgain has another writer take a version from the list that a process uses.
func TestVersionThatIsDroppedFromTheListIsPublishedAgain(t *testing.T) {
	ctx := context.Background()
	w, _ := listedWorld(t, []string{"v1", "v2"}, "v1", "v2")
	w.o.OnPublished = func(context.Context, *fleet.Published) {}
	p := &publisher{r: w.Registry}
	p.update(ctx)
	w.setList(t, "v1")
	for range 3 {
		p.readAt = time.Now().Add(-recheckInterval - time.Second)
		p.update(ctx)
		if !p.writeAt.IsZero() {
			p.writeAt = time.Now().Add(-time.Millisecond)
		}
	}
	list, _, err := getVersions(ctx, *w.o.Store)
	require.NoError(t, err)
	require.Equal(t, []string{"v1", "v2"}, list.serving()["s"])
}

// TestRecordsAreWrittenToTheSameObjectAgain has a process write two batches of records within one slotTime.
func TestRecordsAreWrittenToTheSameObjectAgain(t *testing.T) {
	server := httptest.NewServer(fleetstore.New())
	defer server.Close()
	store := platform.NewStore(server.Listener.Addr().String())
	defer store.Close()
	s := &saver{o: StoreOptions{Store: store, Prefix: platform.StreamsPrefix, Process: "edge-1", Writer: "w", Clock: time.Now}, versions: map[int]objstore.Version{}}
	for range 3 {
		require.NoError(t, s.save(context.Background(), []storedRecord{{Request: "r", Service: "s", Software: "v1"}}))
	}
}
