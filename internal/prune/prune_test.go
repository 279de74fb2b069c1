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
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/platform"
)

const (
	reviewInterval = 20 * time.Millisecond
	removeAfter    = 10 * reviewInterval
	leaseTTL       = time.Second
	pollTimeout    = 3 * time.Second
)

// deployment is a store with registrations and a pruner that has the authority.
type deployment struct {
	t      *testing.T
	server *fleetstore.Server
	store  *platform.Store
	// reviews is what the pruner does in the store.
	reviews *reviewLog

	mu sync.Mutex
	// holderContacts are the processes that the holder has contact with, schedulerContacts those of the
	// one other scheduler. schedulerDown is true while that scheduler does not respond.
	holderContacts, schedulerContacts []string
	schedulerDown, storeDown          bool
}

// reviewLog counts the deletes of each review, which begins with a list.
type reviewLog struct {
	mu       sync.Mutex
	removals []int
}

func (l *reviewLog) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removals = append(l.removals, 0)
}

func (l *reviewLog) countRemoval() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removals[len(l.removals)-1]++
}

// perReview returns the number of deletes of each review that deleted anything.
func (l *reviewLog) perReview() []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(l.removals), func(n int) bool { return n == 0 })
}

// reviewedStore records the lists and deletes of a pruner.
type reviewedStore struct {
	objstore.Store
	reviews *reviewLog
}

func (s reviewedStore) List(ctx context.Context, prefix string) ([]objstore.Object, objstore.Revision, error) {
	s.reviews.begin()
	return s.Store.List(ctx, prefix)
}

func (s reviewedStore) Delete(ctx context.Context, key string, ifVersion objstore.Version) error {
	s.reviews.countRemoval()
	return s.Store.Delete(ctx, key, ifVersion)
}

var self = members.Member{Name: "holder", Incarnation: members.NewIncarnation(), Domain: "a"}

func start(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, server: fleetstore.New(), reviews: &reviewLog{}}
	server := httptest.NewServer(d.server)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	d.store = platform.NewStore(server.Listener.Addr().String())
	view := func() *fleet.View {
		d.mu.Lock()
		defer d.mu.Unlock()
		return &fleet.View{Scheduling: true, StoreUp: !d.storeDown, Schedulers: []members.Member{self, {Name: "other"}}}
	}
	authority := duty.New(duty.Options{
		Store: d.store, Prefix: platform.LeasePrefix, Self: self, TTL: leaseTTL, HandoverDelay: leaseTTL, View: view, LivePeers: func() []string { return nil }, Logger: log.NewNopLogger(),
	})
	p := prune.New(prune.Options{
		Self: self, Authority: authority, Prefix: platform.MemberPrefix, View: view,
		Store: reviewedStore{d.store, d.reviews}, Stale: reviewedStore{d.store.WithStaleReads(), d.reviews},
		HasContact: func(name string) bool {
			d.mu.Lock()
			defer d.mu.Unlock()
			return slices.Contains(d.holderContacts, name)
		},
		WithoutContact: d.withoutContact, ReviewInterval: reviewInterval, RemoveAfter: removeAfter, Logger: log.NewNopLogger(),
	})
	d.register("holder", "other")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); authority.Run(ctx, p.Run) }()
	t.Cleanup(func() { cancel(); <-done; d.store.Close() })
	return d
}

func (d *deployment) withoutContact(_ context.Context, _ members.Member, names []string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.schedulerDown {
		return nil, errors.New("no answer")
	}
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return slices.Contains(d.schedulerContacts, n) }), nil
}

// update changes the fields that mu guards.
func (d *deployment) update(change func()) {
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

// TestUnresponsiveProcessesArePruned checks that a registration is removed if no scheduler has contact with
// its process, and kept if one scheduler has.
func TestUnresponsiveProcessesArePruned(t *testing.T) {
	d := start(t)
	d.update(func() { d.holderContacts, d.schedulerContacts = []string{"near"}, []string{"far"} })
	d.register("near", "far", "gone-1", "gone-2")
	require.Eventually(t, func() bool { return slices.Equal(d.registered(), []string{"far", "holder", "near", "other"}) }, pollTimeout, reviewInterval)
	time.Sleep(2 * removeAfter)
	require.Len(t, d.registered(), 4)
}

// TestRenewedRegistrationIsKept restarts an unresponsive process again and again before RemoveAfter has
// passed, without contact to a scheduler. Each restart renews the registration, so it must be kept.
func TestRenewedRegistrationIsKept(t *testing.T) {
	d := start(t)
	for range 6 {
		d.register("often")
		time.Sleep(removeAfter * 6 / 10)
		require.Contains(t, d.registered(), "often")
	}
	require.Eventually(t, func() bool { return !slices.Contains(d.registered(), "often") }, pollTimeout, reviewInterval)
}

// TestNothingIsPrunedWhileViewIsIncomplete covers a scheduler that does not respond, a view without the store,
// and a store that is down. After each of these the time to removal starts over.
func TestNothingIsPrunedWhileViewIsIncomplete(t *testing.T) {
	for name, setFault := range map[string]func(d *deployment, on bool){
		"scheduler": func(d *deployment, on bool) { d.update(func() { d.schedulerDown = on }) },
		"view":      func(d *deployment, on bool) { d.update(func() { d.storeDown = on }) },
		"store":     func(d *deployment, on bool) { d.server.SetFaults(fleetstore.Faults{DownKind: memberKindIf(on)}) },
	} {
		t.Run(name, func(t *testing.T) {
			d := start(t)
			time.Sleep(leaseTTL / 2) // until the authority is held
			d.register("gone")
			for range 3 {
				time.Sleep(removeAfter * 6 / 10)
				setFault(d, true)
				time.Sleep(4 * reviewInterval)
				setFault(d, false)
				require.Contains(t, d.registered(), "gone")
			}
			require.Eventually(t, func() bool { return !slices.Contains(d.registered(), "gone") }, pollTimeout, reviewInterval)
		})
	}
}

func memberKindIf(on bool) string {
	if on {
		return platform.MemberPrefix[:len(platform.MemberPrefix)-1]
	}
	return ""
}

// TestRemovalsPerReviewAreLimited checks how many registrations one review deletes.
func TestRemovalsPerReviewAreLimited(t *testing.T) {
	const unresponsive = 20
	d := start(t)
	d.update(func() { d.storeDown = true }) // until all are registered, so that all are due in the same review
	for n := range unresponsive {
		d.register(fmt.Sprintf("gone-%02d", n))
	}
	d.update(func() { d.storeDown = false })
	require.Eventually(t, func() bool { return len(d.registered()) == 2 }, 2*pollTimeout, reviewInterval/2)
	removals := d.reviews.perReview()
	require.Equal(t, 4, slices.Max(removals))
	total := 0
	for _, n := range removals {
		total += n
	}
	require.Equal(t, unresponsive, total)
}

// TestReviewMakesOneListCall counts the calls to the store when all processes have contact: one list for each
// review, and the lease.
func TestReviewMakesOneListCall(t *testing.T) {
	const others, pages, reviews, leaseCalls = 20, 5, 20, 20
	d := start(t)
	for n := range others {
		name := fmt.Sprintf("near-%02d", n)
		d.register(name)
		d.update(func() { d.holderContacts = append(d.holderContacts, name) })
	}
	time.Sleep(leaseTTL / 2)
	before := d.server.Calls()
	time.Sleep(reviews * reviewInterval)
	require.LessOrEqual(t, d.server.Calls()-before, reviews*pages+leaseCalls)
	require.Len(t, d.registered(), others+2)
}
