package gateway_test

import (
	"fmt"
	"maps"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/gateway"
	"github.com/rockdoor/rockdoor/internal/resumption"
	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
	"github.com/rockdoor/rockdoor/placement"
)

// versionedEngines returns two engines of each version.
func versionedEngines(versions ...string) []*fleetengine.Engine {
	var out []*fleetengine.Engine
	for _, version := range versions {
		for n := range 2 {
			e := fleetengine.New(fmt.Sprint(version, "-", n), fleetengine.StageDecode)
			e.Software, e.Events = version, 4
			out = append(out, e)
		}
	}
	return out
}

func resumeHeader(of, after string) http.Header {
	h := http.Header{"Last-Event-Id": {after}}
	if of != "" {
		h["Resumes"] = []string{of}
	}
	return h
}

// changeInstances applies a change to a copy of each instance of the view.
func (r *harness) changeInstances(change func(i *fleet.Instance)) {
	v := *r.view.Load()
	v.Instances = maps.Clone(v.Instances)
	for id, i := range v.Instances {
		changed := *i
		change(&changed)
		v.Instances[id] = &changed
	}
	v.Index()
	r.view.Store(&v)
}

// began returns the version that wrote the events of a response.
func began(t *testing.T, body string) string {
	t.Helper()
	v1, v2 := strings.Contains(body, " by v1\n"), strings.Contains(body, " by v2\n")
	require.True(t, v1 != v2, body)
	if v1 {
		return "v1"
	}
	return "v2"
}

// TestStreamIsResumedAtItsVersion checks what happens to each kind of resumption while two versions serve.
func TestStreamIsResumedAtItsVersion(t *testing.T) {
	all := versionedEngines("v1", "v2")
	r := newHarness(t, harnessOptions{model: all})
	for n := range 20 {
		id := fmt.Sprint("first-", n)
		version := began(t, r.send(http.MethodPost, pathModel, id, "x", nil).body)
		got := r.send(http.MethodPost, pathModel, fmt.Sprint("second-", n), "x", resumeHeader(id, "2"))
		require.Equal(t, http.StatusOK, got.status, got.body)
		require.Equal(t, version, began(t, got.body))
		require.NotContains(t, got.body, "id: 2\n")
		// The client names the attempt that brought the first event, also when it resumes the stream again.
		require.Equal(t, version, began(t, r.send(http.MethodPost, pathModel, fmt.Sprint("third-", n), "x", resumeHeader(id, "3")).body))
	}
	runs := allRuns(all)
	for name, h := range map[string]http.Header{
		"an ID that nobody has seen": resumeHeader("forged", "2"), "no ID": resumeHeader("", "2"), "no event": {"Resumes": {"forged"}},
		"the ID of a resumption, which began nothing": resumeHeader("second-1", "2"),
	} {
		got := r.send(http.MethodPost, pathModel, "unknown", "x", h)
		require.Equal(t, http.StatusServiceUnavailable, got.status, name)
	}
	require.Equal(t, runs, allRuns(all), "rejected requests have not run")
}

// TestExplainSaysWhatMayContinueAStream explains resumptions of a known stream and of an unknown one.
func TestExplainSaysWhatMayContinueAStream(t *testing.T) {
	r := newHarness(t, harnessOptions{model: versionedEngines("v1", "v2")})
	version := began(t, r.send(http.MethodPost, pathModel, "a", "x", nil).body)
	e, err := r.gateway.Explain(t.Context(), gateway.ExplainRequest{Host: testHost, Path: pathModel, Resumes: "a"})
	require.NoError(t, err)
	require.Equal(t, &gateway.Resumption{KnownBy: resumption.SourceRecord, Service: "model", Software: version}, e.Resumption)
	require.Len(t, e.Considered, 2)
	for _, c := range e.Considered {
		require.Equal(t, version, c.Software)
	}
	e, err = r.gateway.Explain(t.Context(), gateway.ExplainRequest{Host: testHost, Path: pathModel, Resumes: "forged"})
	require.NoError(t, err)
	require.Equal(t, resumption.SourceNone, e.Resumption.KnownBy)
	require.Empty(t, e.Considered)
	require.Contains(t, e.Plan, "rejected")
}

// TestResumptionReachesTheEngineUnchanged checks that engines get the headers of the client.
func TestResumptionReachesTheEngineUnchanged(t *testing.T) {
	all := versionedEngines("v1", "v2")
	r := newHarness(t, harnessOptions{model: all})
	r.send(http.MethodPost, pathModel, "a", "x", nil)
	r.send(http.MethodPost, pathModel, "b", "x", resumeHeader("a", "2"))
	for _, e := range all {
		for _, run := range e.Runs() {
			if run.ID == "b" {
				require.Equal(t, "2", run.LastEvent)
				require.Equal(t, "a", run.Header.Get("Resumes"))
				return
			}
		}
	}
	require.Fail(t, "the stream was not resumed")
}

// TestBrokenStreamContinuesAtItsVersion breaks a stream within its response. Where no other engine of its version is
// left, the response ends.
func TestBrokenStreamContinuesAtItsVersion(t *testing.T) {
	for _, left := range []int{2, 1} {
		all := versionedEngines("v1", "v2")
		var placed atomic.Int64
		r := newHarness(t, harnessOptions{model: all, onPlaced: func(_ *harness, p placement.Plan) {
			if placed.Add(1) > 1 {
				return
			}
			for _, e := range all {
				if e.ID == p.Target.ID {
					e.Fail(fleetengine.CutMidEvent, 1)
				}
			}
		}})
		for _, e := range all {
			if left == 1 && strings.HasSuffix(e.ID, "-1") {
				r.startDraining(e.ID)
			}
		}
		got := r.send(http.MethodPost, pathModel, "a", "x", nil)
		began(t, got.body)
		require.Equal(t, left == 1, got.truncated)
		require.EqualValues(t, 2, placed.Load())
	}
}

// TestEngineThatCameBackWithAnotherVersionGetsNoStream has an engine start again under its ID, with another
// version, after it was chosen to continue a stream.
func TestEngineThatCameBackWithAnotherVersionGetsNoStream(t *testing.T) {
	all := versionedEngines("v1", "v2")
	var resumed atomic.Bool
	r := newHarness(t, harnessOptions{model: all, onPlaced: func(r *harness, p placement.Plan) {
		if resumed.Load() && p.Target != nil {
			r.changeInstances(func(i *fleet.Instance) {
				if i.ID == p.Target.ID {
					i.Software, i.StartTime = "v3", 1
				}
			})
		}
	}})
	r.send(http.MethodPost, pathModel, "a", "x", nil)
	resumed.Store(true)
	runs := allRuns(all)
	got := r.send(http.MethodPost, pathModel, "b", "x", resumeHeader("a", "2"))
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Equal(t, runs, allRuns(all))
}

// TestStreamOfAnUnknownVersionDoesNotContinue has an engine start again under its ID, with another version, while it begins a
// stream. Nobody can tell which version wrote the first event.
func TestStreamOfAnUnknownVersionDoesNotContinue(t *testing.T) {
	all := versionedEngines("v1", "v2")
	var placed atomic.Int64
	r := newHarness(t, harnessOptions{model: all, onPlaced: func(r *harness, p placement.Plan) {
		if placed.Add(1) > 1 || p.Target == nil {
			return
		}
		for _, e := range all {
			if e.ID == p.Target.ID {
				e.ResponseDelay = 50 * time.Millisecond
				e.Fail(fleetengine.CutMidEvent, 1)
			}
		}
		time.AfterFunc(20*time.Millisecond, func() {
			r.changeInstances(func(i *fleet.Instance) {
				if i.ID == p.Target.ID {
					i.Software, i.StartTime = "v3", 1
				}
			})
		})
	}})
	got := r.send(http.MethodPost, pathModel, "a", "x", nil)
	require.True(t, got.truncated)
	require.EqualValues(t, 1, placed.Load())
	require.Equal(t, http.StatusServiceUnavailable, r.send(http.MethodPost, pathModel, "b", "x", resumeHeader("a", "1")).status)
}

// TestStreamIsNotResumedAtAnotherService moves the route of a stream to another service.
func TestStreamIsNotResumedAtAnotherService(t *testing.T) {
	all := versionedEngines("v1")
	r := newHarness(t, harnessOptions{model: all, plain: engines("", "p-1")})
	r.send(http.MethodPost, pathModel, "a", "x", nil)
	v := *r.view.Load()
	v.Config = config()
	for n := range v.Config.Routes {
		v.Config.Routes[n].Shares = []fleet.Share{{Service: "plain", Weight: 1}}
	}
	v.Config.Index()
	r.view.Store(&v)
	got := r.send(http.MethodPost, pathModel, "b", "x", resumeHeader("a", "2"))
	require.Equal(t, http.StatusServiceUnavailable, got.status)
}
