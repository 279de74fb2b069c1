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

// A short soak failed of "no order without the lease": 26 of 26 orders of one process, under
// token 1, came "237 ms to 3.7 s after another took the lease", and no other promise was broken.
// Of 60 starts of two candidates at the same moment, 3 wrote roles=g-3/1 duties=g-3/1 roles=g-1/2:
// the candidate that then lost the duties had taken the lease of former versions under a higher
// token first. The check took any lease for that of the duties, and the loser's token 2 for one
// that had followed the holder's 1.
func TestTheLoserOfTheDutiesTakesNothingOver(t *testing.T) {
	w, err := newWorld(context.Background(), Options{Dir: t.TempDir(), Bounds: DefaultBounds, Processes: 2})
	require.NoError(t, err)
	defer w.close()
	looked, held := make(chan struct{}), make(chan struct{})
	var once sync.Once
	loser := startCandidate(t, "gateway-0", func(rw http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/objects/rockdoor-leases/duties":
			defer once.Do(func() { close(looked) })
		case "/objects/rockdoor-leases/roles":
			<-held
		}
		w.store.ServeHTTP(rw, r)
	})
	<-looked // and found that nobody has the duties
	holder := startCandidate(t, "gateway-1", w.store.ServeHTTP)
	require.Eventually(t, func() bool { g, ok := holder.Grant(); return ok && g.Token == 1 }, 10*time.Second, poll)
	ordered := time.Now()
	close(held)
	require.Eventually(t, func() bool { return formerHolder(t, w) == "gateway-0" }, 10*time.Second, poll)
	_, ok := loser.Grant()
	require.False(t, ok)
	w.facts.Starts[0], w.facts.Starts[1] = []time.Time{ordered.Add(-time.Minute)}, []time.Time{ordered.Add(-time.Minute)}
	for n := range 4 {
		o := &Order{To: partyAPI, From: "gateway-1", Holder: "gateway-1", Token: 1, At: ordered.Add(time.Duration(n) * time.Second)}
		w.facts.Orders = append(w.facts.Orders, o)
	}
	require.Empty(t, newChecker(w.o, w.facts, time.Now()).authority().Breaches)
}

// formerHolder returns who holds the lease of former versions.
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

// startCandidate starts a process's authority on a store.
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
