package cachescan

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
	"github.com/rockdoor/rockdoor/internal/upstream"
	"github.com/rockdoor/rockdoor/placement"
	"github.com/rockdoor/rockdoor/platform"
)

// TestCachesAreKnownAfterAllProcessesWereLost covers a new process without peers. It must place a
// prompt on the engine that has prefilled another prompt with the same prefix before.
func TestCachesAreKnownAfterAllProcessesWereLost(t *testing.T) {
	v := &fleet.View{Config: &fleet.Config{Services: map[string]fleet.Service{"m": {Name: "m", KVCapacity: 100_000}}}, Instances: map[string]*fleet.Instance{}}
	var all []*fleet.Instance
	for n, id := range []string{"p-0", "p-1", "p-2", "d-0"} {
		stage, role := "prefill", engine.RolePrefill
		if id == "d-0" {
			stage, role = "decode", engine.RoleMixed
		}
		e := fleetengine.New(id, stage)
		s := httptest.NewServer(e)
		defer s.Close()
		if n == 1 {
			prefill(t, s.URL)
		}
		i := &fleet.Instance{ID: id, StartTime: int64(n + 1), Service: "m", Address: s.Listener.Addr().String(), Domain: "a", Role: role, Slots: 8}
		v.Instances[id], all = i, append(all, i)
	}
	unreachable := &fleet.Instance{ID: "p-9", Service: "m", Address: "127.0.0.1:1", Domain: "a", Role: engine.RolePrefill}
	v.Instances["p-9"] = unreachable
	v.Index()
	placer := placement.New("a", nil, nil)
	Run(context.Background(), Options{
		View: func() *fleet.View { return v }, Lister: platform.NewEngineClient(upstream.New(metrics.NewRegistry())), Placer: placer, Logger: log.NewNopLogger(),
	})
	plan, _ := placer.Place(&placement.Job{
		Route: &fleet.Route{}, Service: v.Config.Services["m"], Remaining: time.Second, Permitted: all,
		Call: &engine.Call{PromptTokens: 9000, Parts: []engine.Part{{ID: "aa", Tokens: 2500}, {ID: "bb", Tokens: 3800}, {ID: "ff", Tokens: 2700}}},
	})
	require.Equal(t, placement.ReasonCacheHolder, plan.Reason)
	require.Equal(t, "p-1", plan.PrefillEngine.ID)
	require.Equal(t, 2700, plan.Uncached)
}

// prefill prefills a prompt on an engine.
func prefill(t *testing.T, url string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url, nil)
	require.NoError(t, err)
	req.Header = http.Header{"X-Request-Id": {"1"}, "X-Serving-Stage": {"prefill"}, "X-Prompt-Prefix": {"aa:2500,bb:3800,ee:100"}}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	resp.Body.Close()
}

// slowLister is a lister that takes 5 ms for each engine. It counts all calls, and those after the deadline.
type slowLister struct {
	deadline    time.Time
	calls, late atomic.Int64
}

func (l *slowLister) CachedParts(context.Context, string) ([]engine.Part, error) {
	l.calls.Add(1)
	if time.Now().After(l.deadline) {
		l.late.Add(1)
	}
	time.Sleep(5 * time.Millisecond)
	return nil, nil
}

// TestAScanIsBounded scans 300 and 10,000 engines. The number of calls must be limited by the time, not
// only by the number of engines.
func TestAScanIsBounded(t *testing.T) {
	for _, n := range []int{300, 10_000} {
		v := &fleet.View{Config: &fleet.Config{Services: map[string]fleet.Service{"m": {Name: "m", KVCapacity: 100_000}}}, Instances: map[string]*fleet.Instance{}}
		for k := range n {
			id := fmt.Sprint("p-", k)
			v.Instances[id] = &fleet.Instance{ID: id, Service: "m", Role: engine.RolePrefill}
		}
		v.Index()
		lister := &slowLister{}
		synctest.Test(t, func(t *testing.T) {
			begun := time.Now()
			lister.deadline = begun.Add(maxScanTime)
			Run(context.Background(), Options{View: func() *fleet.View { return v }, Lister: lister, Placer: placement.New("a", nil, nil), Logger: log.NewNopLogger()})
			require.LessOrEqual(t, time.Since(begun), maxScanTime+listTimeout)
		})
		inTime := maxConcurrent * int(maxScanTime/(5*time.Millisecond))
		require.InDelta(t, min(n, inTime), lister.calls.Load(), maxConcurrent, "%d engines", n)
		require.Zero(t, lister.late.Load(), "called after the end of the scan")
	}
}
