package gateway_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
	"github.com/rockdoor/rockdoor/placement"
)

// TestInterruptedStreamContinuesAtBackup interrupts streams that may run at most once, as happens when a
// failure domain loses its engines. Each stream must continue in another failure domain, after the
// last event that its client received and as the same run. Without a backup it ends truncated.
func TestInterruptedStreamContinuesAtBackup(t *testing.T) {
	const first = "id: 1\ndata: s-1\n\n"
	const whole = first + "id: 2\ndata: s-2\n\nid: 3\ndata: s-3\n\nid: 4\ndata: s-4\n\n"
	for _, c := range []struct {
		name    string
		domains map[string]string
		// wanted is the response body if the engine that interrupts its stream is chosen.
		wanted string
	}{{"backup in another domain", map[string]string{"i-2": "b"}, whole}, {"no other domain", nil, first}} {
		interrupting, other := fleetengine.New("i-1", "decode"), fleetengine.New("i-2", "decode")
		interrupting.Events, other.Events = 4, 4
		r := newHarness(t, harnessOptions{model: []*fleetengine.Engine{interrupting, other}, domains: c.domains, spot: true})
		for len(interrupting.Runs()) == 0 { // until this engine is chosen
			interrupting.Fail(fleetengine.CutMidEvent, 1)
			before := len(other.Runs())
			a := r.send(http.MethodPost, pathAtMostOnceStream, "s", "x", nil)
			if len(interrupting.Runs()) == 0 {
				require.Equal(t, whole, a.body, c.name)
				continue
			}
			require.Equal(t, c.wanted, a.body, c.name)
			require.Equal(t, c.wanted != whole, a.truncated, c.name)
			if c.domains == nil {
				require.Empty(t, interrupting.Runs()[0].Header.Get("X-Kv-Backup"))
				require.Len(t, other.Runs(), before)
				continue
			}
			require.NotEmpty(t, interrupting.Runs()[0].Header.Get("X-Kv-Backup"))
			after := other.Runs()[before:]
			require.Len(t, after, 1)
			require.Equal(t, "1", after[0].LastEvent)
			require.Regexp(t, "/s$", after[0].Header.Get("X-Kv-Source"), "the KV cache copy of the same run")
		}
	}
}

// TestInterruptedStreamContinuesOnlyWherePermitted interrupts a stream after the rules have excluded the
// failure domain of its backup. The stream must end there.
func TestInterruptedStreamContinuesOnlyWherePermitted(t *testing.T) {
	near, far := fleetengine.New("i-1", "decode"), fleetengine.New("i-2", "decode")
	near.Events, far.Events = 3, 3
	near.Fail(fleetengine.HangMidStream, 1)
	r := newHarness(t, harnessOptions{model: []*fleetengine.Engine{near, far}, domains: map[string]string{"i-2": "b"}, spot: true})
	req, err := http.NewRequest(http.MethodPost, r.url+pathAtMostOnceStream, strings.NewReader("x"))
	require.NoError(t, err)
	req.Host = testHost
	req.Header.Set("X-Request-Id", "s")
	resp, err := http.DefaultTransport.RoundTrip(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	in := bufio.NewReader(resp.Body)
	first, err := in.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "id: 1\n", first)
	require.Len(t, near.Runs(), 1)
	require.NotEmpty(t, near.Runs()[0].Header.Get("X-Kv-Backup"))

	v := *r.view.Load()
	v.Rules, err = fleet.ParseRules([]byte(`{"selectors": {"*": "domain=a"}}`))
	require.NoError(t, err)
	r.view.Store(&v)
	r.servers["i-1"].CloseClientConnections()
	_, err = io.ReadAll(in)
	require.Error(t, err, "the stream is truncated")
	require.Empty(t, far.Runs())
}

// TestBackupsOnlyForAtMostOnceStreamsOnSpotInstances checks that the KV cache is copied only for
// streams that may run at most once and run on spot instances.
func TestBackupsOnlyForAtMostOnceStreamsOnSpotInstances(t *testing.T) {
	for _, c := range []struct {
		path   string
		spot   bool
		copies int
	}{{pathModel, true, 0}, {pathAtMostOnceStream, false, 0}, {pathAtMostOnceStream, true, 1}} {
		all := engines("decode", "i-1", "i-2")
		for _, e := range all {
			e.Events = 2
		}
		r := newHarness(t, harnessOptions{model: all, domains: map[string]string{"i-2": "b"}, spot: c.spot})
		r.send(http.MethodPost, c.path, "s", "x", nil)
		copies := 0
		for _, run := range append(all[0].Runs(), all[1].Runs()...) {
			if run.Header.Get("X-Kv-Backup") != "" {
				copies++
			}
		}
		require.Equal(t, c.copies, copies, c)
	}
}

// TestSecondInterruptionEndsTheStream interrupts a stream at its engine and again at its backup. It must
// end there with whole events, although a third engine could take it, and the client must see that it is
// incomplete.
func TestSecondInterruptionEndsTheStream(t *testing.T) {
	const first = "id: 1\ndata: s-1\n\n"
	const whole = first + "id: 2\ndata: s-2\n\nid: 3\ndata: s-3\n\nid: 4\ndata: s-4\n\n"
	engines := []*fleetengine.Engine{fleetengine.New("i-1", "decode"), fleetengine.New("i-2", "decode"), fleetengine.New("i-3", "decode")}
	for _, e := range engines {
		e.Events = 4
		e.Fail(fleetengine.CutMidEvent, -1)
	}
	r := newHarness(t, harnessOptions{model: engines, domains: map[string]string{"i-2": "b", "i-3": "c"}, spot: true})
	a := r.send(http.MethodPost, pathAtMostOnceStream, "s", "x", nil)
	require.Equal(t, http.StatusOK, a.status)
	require.True(t, a.truncated)
	require.NotEqual(t, whole, a.body)
	require.True(t, strings.HasPrefix(whole, a.body) && strings.HasPrefix(a.body, first) && strings.HasSuffix(a.body, "\n\n"), "only whole events: %q", a.body)
	var resumed, runs int
	for _, e := range engines {
		require.LessOrEqual(t, len(e.Runs()), 1)
		for _, run := range e.Runs() {
			runs++
			if run.LastEvent != "" {
				resumed++
				require.Equal(t, "1", run.LastEvent)
				require.Empty(t, run.Header.Get("X-Kv-Backup"), "a continued stream has no further backup")
			}
		}
	}
	require.Equal(t, 2, runs)
	require.Equal(t, 1, resumed)
}

// TestForeignResponseOfABackupIsNotRelayed interrupts streams that may run at most once, whose backups answer with a successful response
// that is no stream. Nothing of it may follow the events of the first engine.
func TestForeignResponseOfABackupIsNotRelayed(t *testing.T) {
	for name, head := range fleetengine.ForeignHeads() {
		interrupting, other := fleetengine.New("i-1", "decode"), fleetengine.New("i-2", "decode")
		interrupting.Events, other.Events, other.Garble.Head = 4, 4, head
		r := newHarness(t, harnessOptions{model: []*fleetengine.Engine{interrupting, other}, domains: map[string]string{"i-2": "b"}, spot: true, onPlaced: func(_ *harness, p placement.Plan) {
			if p.Target.ID == "i-1" {
				interrupting.Fail(fleetengine.CutMidEvent, 1)
				other.Fail(fleetengine.Garbled, 1)
			}
		}})
		for len(interrupting.Runs()) == 0 { // until this engine is chosen
			before := len(other.Runs())
			a := r.send(http.MethodPost, pathAtMostOnceStream, "s", "x", nil)
			if len(interrupting.Runs()) > 0 {
				require.Equal(t, "id: 1\ndata: s-1\n\n", a.body, name)
				require.True(t, a.truncated, name)
				require.Len(t, other.Runs(), before+1, name)
			}
		}
	}
}
