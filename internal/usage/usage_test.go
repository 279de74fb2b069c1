package usage_test

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/duty"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/standin/fleetapi"
	"github.com/rockdoor/rockdoor/internal/standin/fleetstore"
	"github.com/rockdoor/rockdoor/internal/upstream"
	"github.com/rockdoor/rockdoor/internal/usage"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/platform"
)

const (
	testWindow   = 200 * time.Millisecond
	testDue      = time.Second
	testTTL      = 600 * time.Millisecond
	testHandover = 300 * time.Millisecond
)

// testPlatform is a store and the API of the platform.
type testPlatform struct {
	t                        *testing.T
	store                    *fleetstore.Server
	api                      *fleetapi.Server
	storeAddress, apiAddress string
}

func newTestPlatform(t *testing.T) *testPlatform {
	b := &testPlatform{t: t, store: fleetstore.New(), api: fleetapi.New()}
	store, api := httptest.NewServer(b.store), httptest.NewServer(b.api)
	t.Cleanup(func() { store.CloseClientConnections(); store.Close(); api.CloseClientConnections(); api.Close() })
	b.storeAddress, b.apiAddress = store.Listener.Addr().String(), api.Listener.Addr().String()
	return b
}

// process is a process that counts requests and may hold the duty to report.
type process struct {
	ledger    *usage.Ledger
	authority *duty.Authority
	stop      func()
}

// start starts a process. others returns the ledgers from which it collects counts.
func (b *testPlatform) start(name string, others func() []*usage.Ledger) *process {
	b.t.Helper()
	store := platform.NewStore(b.storeAddress)
	p := &process{ledger: usage.NewLedger(usage.Source{Process: name, Incarnation: name}, testWindow, time.Now)}
	p.authority = duty.New(duty.Options{
		Store: store, Prefix: platform.LeasePrefix, Self: members.Member{Name: name, Incarnation: name}, TTL: testTTL, HandoverDelay: testHandover,
		View: func() *fleet.View { return &fleet.View{Scheduling: true} }, LivePeers: func() []string { return nil }, Logger: log.NewNopLogger(),
	})
	r := usage.NewReporter(usage.ReporterOptions{
		Store: store, Prefix: platform.UsagePrefix, Writer: name, Authority: p.authority, Ledger: p.ledger, Due: testDue,
		Biller: platform.NewDutyClient(upstream.New(metrics.NewRegistry()), b.apiAddress), Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger(),
		Collect: func(_ context.Context, window int64) bool {
			for _, l := range others() {
				p.ledger.Merge(l.Entries(window))
			}
			return true
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		p.authority.Run(ctx, r.Run)
	}()
	var once sync.Once
	p.stop = func() { once.Do(func() { cancel(); wg.Wait(); store.Close() }) }
	b.t.Cleanup(p.stop)
	return p
}

// billed returns how often a workspace has been billed in all windows.
func (b *testPlatform) billed(workspace string) int {
	n := 0
	for _, counts := range b.api.Reports() {
		n += counts[workspace]
	}
	return n
}

func noLedgers() []*usage.Ledger { return nil }

func TestEachRequestIsBilledOnce(t *testing.T) {
	b := newTestPlatform(t)
	other := usage.NewLedger(usage.Source{Process: "o", Incarnation: "o"}, testWindow, time.Now)
	p := b.start("p", func() []*usage.Ledger { return []*usage.Ledger{other} })
	const each = 60
	for n := range each {
		p.ledger.CountRequest("w")
		other.CountRequest("w")
		if n%3 == 0 {
			other.CountRequest("v")
		}
		time.Sleep(10 * time.Millisecond)
	}
	require.Eventually(t, func() bool { return b.billed("w") == 2*each && b.billed("v") == each/3 }, 5*time.Second, 10*time.Millisecond)
	require.Empty(t, b.api.Conflicts())
}

// TestWindowIsNeverReportedWithDifferentCounts changes the holder of the duty while windows are decided
// and sent. Each holder has counted other requests, responses of the store and of the API are lost, and
// late writes take effect after the next holder has read the record.
func TestWindowIsNeverReportedWithDifferentCounts(t *testing.T) {
	b := newTestPlatform(t)
	var all []*process
	for round, f := range []struct {
		store fleetstore.Faults
		api   fleetapi.Faults
	}{
		{}, {api: fleetapi.Faults{LoseResponses: true}}, {store: fleetstore.Faults{LoseResponses: true}}, {store: fleetstore.Faults{WriteDelay: 150 * time.Millisecond}}, {api: fleetapi.Faults{Down: true}}, {store: fleetstore.Faults{DownKind: "rockdoor-usage"}}, {},
	} {
		name := string(rune('a' + round))
		p := b.start(name, noLedgers)
		all = append(all, p)
		require.Eventually(t, func() bool { _, held := p.authority.Grant(); return held }, 6*time.Second, 5*time.Millisecond)
		time.Sleep(3 * testWindow) // until the process has loaded the record
		b.store.SetFaults(f.store)
		b.api.SetFaults(f.api)
		for range 40 {
			p.ledger.CountRequest("w")
			time.Sleep(10 * time.Millisecond)
		}
		if round < 6 {
			p.stop()
		}
		b.store.SetFaults(fleetstore.Faults{})
		b.api.SetFaults(fleetapi.Faults{})
	}
	last := time.Now()
	require.Eventually(t, func() bool { _, held := b.api.Reports()[all[0].ledger.Window(last)]; return held }, 5*time.Second, 10*time.Millisecond)
	require.Empty(t, b.api.Conflicts())
	reports := b.api.Reports()
	first := all[0].ledger.Window(last)
	for window := range reports {
		first = min(first, window)
	}
	for window := first; window <= all[0].ledger.Window(last); window++ {
		require.Contains(t, reports, window, "windows are reported without a gap")
	}
}

// TestReplicatedCountsSurviveProcessFailure checks that counts sent to another process are known there, that sending
// them twice, late or to several processes changes nothing, and that a new run of a process counts
// separately.
func TestReplicatedCountsSurviveProcessFailure(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	ledger := func(process, incarnation string) *usage.Ledger {
		return usage.NewLedger(usage.Source{Process: process, Incarnation: incarnation}, 5*time.Second, clock)
	}
	a, restarted, k1, k2 := ledger("a", "1"), ledger("a", "2"), ledger("k1", "1"), ledger("k2", "1")
	a.CountRequest("w")
	early := a.TakeUnsent()
	a.CountRequest("w")
	a.CountRequest("v")
	late := a.TakeUnsent()
	require.Empty(t, a.TakeUnsent())
	k1.Merge(late)
	k1.Merge(early)
	k2.Merge(early)
	restarted.CountRequest("w")
	k2.Merge(restarted.TakeUnsent())
	window := k1.Window(now)
	require.Equal(t, map[string]int{"w": 2, "v": 1}, k1.Total(window))
	k1.Merge(k2.Entries(window))
	k1.Merge(k1.Entries(window))
	require.Equal(t, map[string]int{"w": 3, "v": 1}, k1.Total(window))
	a.MarkAllUnsent()
	require.Equal(t, late, a.TakeUnsent(), "a new replica gets all counts")
	now = now.Add(10 * time.Minute)
	k1.CountRequest("w")
	require.Empty(t, k1.Entries(window), "old windows are dropped")
	k1.Merge(late)
	require.Empty(t, k1.Entries(window))
}

// TestWindowIsNeverReportedWithDifferentCountsAfterRestores restores the store again and again from
// snapshots that lack decided windows and the lease, while holders run, stop and change, each with other
// counts. Without the era a window was decided again with other counts, and two holders used the same
// token.
func TestWindowIsNeverReportedWithDifferentCountsAfterRestores(t *testing.T) {
	b := newTestPlatform(t)
	b.store.SetEra(1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	begin := func(p *process, workspace string) {
		for ctx.Err() == nil {
			p.ledger.CountRequest(workspace)
			time.Sleep(10 * time.Millisecond)
		}
	}
	a := b.start("a", noLedgers)
	go begin(a, "w")
	reported := func() bool { return len(b.api.Reports()) > 2 }
	require.Eventually(t, reported, 10*time.Second, 5*time.Millisecond)
	for round := range 5 {
		p := b.start(string(rune('b'+round)), noLedgers)
		go begin(p, "w")
		time.Sleep(3 * testWindow)
		if round%2 == 1 {
			a.stop()
			a = p
		}
		b.store.Restore(time.Duration(round+1) * testWindow)
		time.Sleep(4*testTTL + testHandover)
	}
	last := a.ledger.Window(time.Now())
	require.Eventually(t, func() bool { _, done := b.api.Reports()[last]; return done }, 10*time.Second, 10*time.Millisecond, "usage is reported again")
	require.Empty(t, b.api.Conflicts())
	holders := map[int64]string{}
	token := int64(0)
	for _, c := range b.api.Calls() {
		require.GreaterOrEqual(t, c.Token, token, "tokens increase across eras")
		token = c.Token
		if holder, used := holders[token]; used {
			require.Equal(t, holder, c.Holder, "token %d", token)
		}
		holders[token] = c.Holder
	}
	require.Greater(t, len(holders), 3)
}
