package prune_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/duty"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/prune"
	"github.com/rockdoor/rockdoor/internal/standin/fleetstore"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/platform"
)

const (
	every = 20 * time.Millisecond
	after = 10 * every
	lease = time.Second
	soon  = 3 * time.Second
)

// deployment is a store with registrations and a pruner that has the authority.
type deployment struct {
	t     *testing.T
	fake  *fleetstore.Server
	store *platform.Store

	mu sync.Mutex
	// heard are the processes that the holder hears, heardThere those that its one other
	// scheduler hears, mute is true while that one does not answer.
	heard, heardThere []string
	mute, storeDown   bool
}

var self = members.Member{Name: "holder", Incarnation: members.NewIncarnation(), Domain: "a"}

func start(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, fake: fleetstore.New()}
	server := httptest.NewServer(d.fake)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	d.store = platform.NewStore(server.Listener.Addr().String())
	view := func() *fleet.View {
		d.mu.Lock()
		defer d.mu.Unlock()
		return &fleet.View{Scheduling: true, StoreUp: !d.storeDown, Schedulers: []members.Member{self, {Name: "other"}}}
	}
	authority := duty.New(duty.Options{
		Store: d.store, Prefix: platform.LeasePrefix, Self: self, TTL: lease, HandoverDelay: lease, View: view, LivePeers: func() []string { return nil }, Logger: log.NewNopLogger(),
	})
	p := prune.New(prune.Options{
		Self: self, Authority: authority, Store: d.store, Stale: d.store.WithStaleReads(), Prefix: platform.MemberPrefix, View: view,
		Hears: func(name string) bool {
			d.mu.Lock()
			defer d.mu.Unlock()
			return slices.Contains(d.heard, name)
		},
		Unheard: d.unheard, Every: every, After: after, Logger: log.NewNopLogger(),
	})
	d.register("holder", "other")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); authority.Run(ctx, p.Run) }()
	t.Cleanup(func() { cancel(); <-done; d.store.Close() })
	return d
}

func (d *deployment) unheard(_ context.Context, _ members.Member, names []string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.mute {
		return nil, errors.New("no answer")
	}
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return slices.Contains(d.heardThere, n) }), nil
}

// set changes what is heard.
func (d *deployment) set(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
}

func (d *deployment) register(names ...string) {
	d.t.Helper()
	for _, n := range names {
		m := members.Member{Name: n, Incarnation: members.NewIncarnation(), Domain: "a"}
		require.NoError(d.t, members.Register(context.Background(), d.store, platform.MemberPrefix, m))
	}
}

func (d *deployment) registered() []string {
	all, _, err := d.store.List(context.Background(), platform.MemberPrefix)
	require.NoError(d.t, err)
	return members.Names(members.Parse(all))
}

// TestHostsThatAreGoneArePruned checks that a registration goes whose process nobody hears,
// and that one stays whose process is heard by one scheduler.
func TestHostsThatAreGoneArePruned(t *testing.T) {
	d := start(t)
	d.set(func() { d.heard, d.heardThere = []string{"near"}, []string{"far"} })
	d.register("near", "far", "gone-1", "gone-2")
	require.Eventually(t, func() bool { return slices.Equal(d.registered(), []string{"far", "holder", "near", "other"}) }, soon, every)
	time.Sleep(2 * after)
	require.Len(t, d.registered(), 4)
}

// TestARegistrationThatWasRenewedStays has the process of a silent registration start again
// every now and then, heard by nobody yet.
func TestARegistrationThatWasRenewedStays(t *testing.T) {
	d := start(t)
	for range 6 {
		d.register("often")
		time.Sleep(after * 6 / 10)
		require.Contains(t, d.registered(), "often")
	}
	require.Eventually(t, func() bool { return !slices.Contains(d.registered(), "often") }, soon, every)
}

// TestNothingIsPrunedInDoubt covers a scheduler that does not answer, a store that is away,
// and one that was away: silence counts anew after each.
func TestNothingIsPrunedInDoubt(t *testing.T) {
	for name, doubt := range map[string]func(d *deployment, on bool){
		"scheduler": func(d *deployment, on bool) { d.set(func() { d.mute = on }) },
		"view":      func(d *deployment, on bool) { d.set(func() { d.storeDown = on }) },
		"store":     func(d *deployment, on bool) { d.fake.SetFaults(fleetstore.Faults{DownKind: kindIf(on)}) },
	} {
		t.Run(name, func(t *testing.T) {
			d := start(t)
			time.Sleep(lease / 2) // the authority is held
			d.register("gone")
			for range 3 {
				time.Sleep(after * 6 / 10)
				doubt(d, true)
				time.Sleep(4 * every)
				doubt(d, false)
				require.Contains(t, d.registered(), "gone")
			}
			require.Eventually(t, func() bool { return !slices.Contains(d.registered(), "gone") }, soon, every)
		})
	}
}

func kindIf(on bool) string {
	if on {
		return platform.MemberPrefix[:len(platform.MemberPrefix)-1]
	}
	return ""
}

// TestFewAreRemovedAtOnce bounds what a look writes, and counts the calls of a deployment in
// which all are heard.
func TestFewAreRemovedAtOnce(t *testing.T) {
	const gone = 20
	d := start(t)
	for n := range gone {
		d.register(fmt.Sprintf("gone-%02d", n))
	}
	before, left := time.Now(), gone+2
	require.Eventually(t, func() bool {
		now := len(d.registered())
		looks := 2 + int(time.Since(before)/every)
		require.LessOrEqual(t, left-now, 4*looks)
		before, left = time.Now(), now
		return now == 2
	}, 2*soon, every/2)
}

// TestALookCostsOneList counts the calls of a deployment in which all are heard: a list for
// each look, and the lease.
func TestALookCostsOneList(t *testing.T) {
	const others, pages, looks, leaseCalls = 20, 5, 20, 20
	d := start(t)
	for n := range others {
		name := fmt.Sprintf("near-%02d", n)
		d.register(name)
		d.set(func() { d.heard = append(d.heard, name) })
	}
	time.Sleep(lease / 2)
	before := d.fake.Calls()
	time.Sleep(looks * every)
	require.LessOrEqual(t, d.fake.Calls()-before, looks*pages+leaseCalls)
	require.Len(t, d.registered(), others+2)
}
