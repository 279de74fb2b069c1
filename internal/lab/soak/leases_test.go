package soak

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/duty"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/lease"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/platform"
)

// A short soak violated "no order without the lease": 26 of 26 orders of one process under token 1
// came "237 ms to 3.7 s after another took the lease", with no other violation. In 3 of 60
// simultaneous starts of two candidates, the store received roles=g-3/1 duties=g-3/1 roles=g-1/2:
// the candidate that then lost the duties had first taken the lease of former versions ("roles"),
// under a higher token. The check treated every lease as that of the duties, and the loser's token
// 2 as the successor of the holder's token 1.
func TestCandidateWithFormerLeaseIsNotDutyHolder(t *testing.T) {
	w, err := newWorld(context.Background(), Options{Dir: t.TempDir(), Bounds: DefaultBounds, Processes: 2})
	require.NoError(t, err)
	defer w.close()
	dutiesRead, dutiesTaken := make(chan struct{}), make(chan struct{})
	var once sync.Once
	loser := startCandidate(t, "gateway-0", func(rw http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/objects/rockdoor-leases/duties":
			defer once.Do(func() { close(dutiesRead) })
		case "/objects/rockdoor-leases/roles":
			<-dutiesTaken
		}
		w.store.ServeHTTP(rw, r)
	})
	<-dutiesRead // the candidate has found that nobody holds the duties
	holder := startCandidate(t, "gateway-1", w.store.ServeHTTP)
	require.Eventually(t, func() bool { g, ok := holder.Grant(); return ok && g.Token == 1 }, 10*time.Second, pollInterval)
	ordered := time.Now()
	close(dutiesTaken)
	require.Eventually(t, func() bool { return formerHolder(t, w) == "gateway-0" }, 10*time.Second, pollInterval)
	_, ok := loser.Grant()
	require.False(t, ok)
	w.observed.Starts[0], w.observed.Starts[1] = []time.Time{ordered.Add(-time.Minute)}, []time.Time{ordered.Add(-time.Minute)}
	for n := range 4 {
		o := &Order{To: partyAPI, From: "gateway-1", Holder: "gateway-1", Token: 1, At: ordered.Add(time.Duration(n) * time.Second)}
		w.observed.Orders = append(w.observed.Orders, o)
	}
	require.Empty(t, newChecker(w.o, w.observed, time.Now()).ordersUnderLease().Violations)
}

// formerHolder returns the holder of the lease that former versions used.
func formerHolder(t *testing.T, w *world) string {
	server := httptest.NewServer(w.store)
	defer server.Close()
	store := platform.NewStore(server.Listener.Addr().String())
	defer store.Close()
	obj, err := store.Get(context.Background(), platform.LeasePrefix+"roles")
	require.NoError(t, err)
	var rec lease.Record
	require.NoError(t, json.Unmarshal(obj.Value, &rec))
	return rec.Holder
}

// startCandidate starts the duty authority of a process on a store.
func startCandidate(t *testing.T, name string, store http.HandlerFunc) *duty.Authority {
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	client := platform.NewStore(server.Listener.Addr().String())
	t.Cleanup(client.Close)
	ttl := DefaultBounds.Lease
	a := duty.New(duty.Options{
		Store: client, Prefix: platform.LeasePrefix, Self: members.Member{Name: name, Incarnation: members.NewIncarnation()}, TTL: ttl, HandoverDelay: ttl,
		View: func() *fleet.View { return &fleet.View{Scheduling: true} }, LivePeers: func() []string { return nil }, Logger: log.NewNopLogger(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return a
}
