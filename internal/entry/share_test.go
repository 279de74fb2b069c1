package entry

import (
	"math"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/engine/openai"
	"github.com/rockdoor/rockdoor/internal/limits"
	"github.com/rockdoor/rockdoor/internal/standin/engined"
)

func TestFloodDoesNotStarveOtherWorkspace(t *testing.T) {
	f := start(t)
	f.engineFaults(engined.Faults{NoResponse: true})
	responses := make(chan got, 40)
	for range 40 {
		go func() { responses <- f.chat("review", false, HeaderWorkspace, "flood", HeaderDeadline, "1s") }()
	}
	require.Eventually(t, func() bool { return f.engineRuns() >= 8 }, 5*time.Second, time.Millisecond)
	g := f.chat("review", false, HeaderDeadline, "300ms")
	require.Equal(t, codeUnknown, g.code(t), "the request was sent although another workspace floods the engines")
	rejected := 0
	for range 40 {
		if g := <-responses; g.header.Get(HeaderOutcome) == "not_run" {
			rejected++
			require.NotEmpty(t, g.header.Get("Retry-After"))
		}
	}
	require.GreaterOrEqual(t, rejected, 28, "the engines accept 12 requests")
}

// Concurrent calls of one workspace must not exceed its share together. Without placementMu each of
// them would see the same free capacity.
func TestConcurrentCallsStayWithinShare(t *testing.T) {
	const calls, capacity = 40, 12
	f := start(t)
	for range 50 {
		var startAll, returned sync.WaitGroup
		startAll.Add(1)
		runs := make([]*run, calls)
		for n := range runs {
			runs[n] = f.admitted(t, "flood")
			returned.Add(1)
			go func() {
				defer returned.Done()
				startAll.Wait()
				runs[n].ChooseTarget()
			}()
		}
		startAll.Done()
		returned.Wait()
		placed := 0
		for _, r := range runs {
			if r.work != nil {
				placed++
				r.work.End()
			}
			r.cancel()
		}
		require.LessOrEqual(t, float64(placed), math.Ceil(shareThreshold*capacity))
		f.entry.admission = limits.NewAdmissionController(f.entry.o.Settings.Limits.Requests, f.entry.o.Settings.Limits.UrgentReserve)
	}
}

// admitted returns the run of an admitted call of a workspace.
func (f *fleet) admitted(t *testing.T, workspace string) *run {
	req := httptest.NewRequest(http.MethodPost, pathChat, nil)
	c := newCall(req, f.current())
	c.workspace = c.snapshot.Config.Workspaces[workspace]
	require.NoError(t, c.forModel(&openai.Request{Model: "review"}, f.entry.lengths))
	c.deadline = time.Now().Add(time.Minute)
	_, err := f.entry.admission.Admit(&c.workspace.Workspace, c.priority, 1)
	require.NoError(t, err)
	return newRun(f.entry, c, httptest.NewRecorder(), req)
}
