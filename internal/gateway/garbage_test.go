package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/gateway"
	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
	"github.com/rockdoor/rockdoor/placement"
)

// eventsOf returns the first n events of the stream of a request.
func eventsOf(id string, n int) string {
	var b strings.Builder
	for n := range n {
		fmt.Fprintf(&b, "id: %d\ndata: %s-%d\n\n", n+1, id, n+1)
	}
	return b.String()
}

// TestBytesThatAreNoEventAreNotRelayed has the first engine of a request garble its stream.
func TestBytesThatAreNoEventAreNotRelayed(t *testing.T) {
	const events = 4
	forms := fleetengine.GarbledStreams()
	forms["garbage in place of the end"] = func(events []string) string { return strings.Join(events, "") }
	for name, form := range forms {
		for sent, g := range map[string]fleetengine.Garble{
			"chunked": {}, "chunked, split at every byte": {Piecemeal: true, CRLF: true},
			"length": {Length: true, CRLF: true}, "length, split at every byte": {Length: true, Piecemeal: true},
			"unframed": {}, "unframed, split at every byte": {Piecemeal: true, CRLF: true},
		} {
			unframed := strings.HasPrefix(sent, "unframed")
			g.Change, g.BadEnd = form, name == "garbage in place of the end"
			if g.BadEnd && !strings.HasPrefix(sent, "chunked") {
				continue // only chunked responses have an end of their own
			}
			for _, path := range []string{pathModel, pathAtMostOnceStream} {
				t.Run(name+"/"+sent+path, func(t *testing.T) {
					all := engines(fleetengine.StageDecode, "i-1", "i-2")
					var placed, failed atomic.Int64
					for _, e := range all {
						e.Events, e.Garble, e.Unframed = events, g, unframed
					}
					r := newHarness(t, harnessOptions{model: all, onPlaced: func(_ *harness, p placement.Plan) {
						if placed.Add(1) == 1 {
							all[p.Target.ID[2]-'1'].Fail(fleetengine.Garbled, 1)
						}
					}, onAttemptEnded: func(o placement.Outcome) {
						if o == placement.Failed {
							failed.Add(1)
						}
					}})
					got := r.send(http.MethodPost, path, "a", "x", nil)
					body := strings.ReplaceAll(got.body, "\r\n", "\n")
					require.EqualValues(t, 1, failed.Load(), "the engine is at fault once: %q", body)
					if path == pathModel {
						require.Equal(t, eventsOf("a", events), body)
						require.False(t, got.truncated)
						require.Equal(t, 2, allRuns(all))
						return
					}
					require.Equal(t, 1, allRuns(all))
					if got.status == http.StatusBadGateway {
						return // nothing was sent
					}
					require.True(t, got.truncated)
					require.Equal(t, eventsOf("a", strings.Count(body, "\n\n")), body)
				})
			}
		}
	}
}

// TestResponseWithoutEventIDsIsNotContinued interrupts events without IDs on a route whose requests may be repeated but whose
// responses are not streams that can be resumed.
func TestResponseWithoutEventIDsIsNotContinued(t *testing.T) {
	const sent = "data: a\n\ndata: b\n\n"
	all := engines("", "i-1", "i-2")
	for _, e := range all {
		e.Events, e.Garble.Change, e.Garble.BadEnd = 2, func([]string) string { return sent + "data" }, true
	}
	var placed atomic.Int64
	r := newHarness(t, harnessOptions{plain: all, onPlaced: func(_ *harness, p placement.Plan) {
		if placed.Add(1) == 1 {
			all[p.Target.ID[2]-'1'].Fail(fleetengine.Garbled, 1)
		}
	}})
	got := r.send(http.MethodGet, pathIdempotent, "a", "", nil)
	require.Equal(t, sent, got.body)
	require.True(t, got.truncated)
	require.Equal(t, 1, allRuns(all))
}

// TestEventsAsRunsWriteThemPassUnchanged compares what a client receives with what a run wrote.
func TestEventsAsRunsWriteThemPassUnchanged(t *testing.T) {
	const maxEvent = 256 << 10
	large := "id: 4\ndata: " + strings.Repeat("x", maxEvent-len("id: 4\ndata: \n\n")) + "\n\n"
	wrote := "x-weight-versions: 2\nid: 1\ndata: õ\ndata\ndata:  \t:\n\n: comment\nid:2\nmy_Field-2: x\n\n" + "event: e\nretry: 5\ndata: x\nid: 3\n\n" + large
	for _, text := range []string{wrote, strings.ReplaceAll(strings.TrimSuffix(wrote, large), "\n", "\r\n")} {
		for _, path := range []string{pathModel, pathAtMostOnceStream} {
			for _, piecemeal := range []bool{false, true} {
				e := fleetengine.New("i-1", fleetengine.StageDecode)
				e.Events, e.Garble = 4, fleetengine.Garble{Change: func([]string) string { return text }, Piecemeal: piecemeal && len(text) < maxEvent}
				e.Fail(fleetengine.Garbled, 1)
				got := newHarness(t, harnessOptions{model: []*fleetengine.Engine{e}}).send(http.MethodPost, path, "a", "x", nil)
				require.Equal(t, http.StatusOK, got.status)
				require.True(t, got.body == text, "the client got %d of %d bytes", len(got.body), len(text))
				require.False(t, got.truncated)
			}
		}
	}
}

// TestCommentsBetweenEventsAreNotRelayed has an engine send keep-alive signals.
func TestCommentsBetweenEventsAreNotRelayed(t *testing.T) {
	e := fleetengine.New("i-1", fleetengine.StageDecode)
	e.Events, e.Garble.Change = 2, func(events []string) string { return ":\n\n" + events[0] + ": keep-alive\n:\n\n" + events[1] + ":\n\n" }
	e.Fail(fleetengine.Garbled, 1)
	got := newHarness(t, harnessOptions{model: []*fleetengine.Engine{e}}).send(http.MethodPost, pathAtMostOnceStream, "a", "x", nil)
	require.Equal(t, eventsOf("a", 2), got.body)
	require.False(t, got.truncated)
}

// TestNothingIsReadAfterAMalformedEvent has an engine go on after garbage until its connection is closed.
func TestNothingIsReadAfterAMalformedEvent(t *testing.T) {
	r := newHarness(t, harnessOptions{model: engines(fleetengine.StageDecode, "i-1")})
	closed := make(chan struct{})
	garbling := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("X-Request-Id", req.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Seal", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\ngarbage\n\n")
		_ = http.NewResponseController(w).Flush()
		<-req.Context().Done()
		close(closed)
	}))
	t.Cleanup(garbling.Close)
	r.moveInstance("i-1", garbling.Listener.Addr().String())
	started := time.Now()
	got := r.send(http.MethodPost, pathAtMostOnceStream, "a", "x", nil)
	require.Equal(t, "id: 1\ndata: x\n\n", got.body)
	require.True(t, got.truncated)
	<-closed
	require.Less(t, time.Since(started), time.Second, "the client is not kept waiting")
}

// TestServersThatGarbleSomeStreams has engines garble every 50th of their streams, or all of one engine's.
func TestServersThatGarbleSomeStreams(t *testing.T) {
	const (
		requests = 600
		every    = 50
	)
	for name, c := range map[string]struct {
		garbling int
		every    int
	}{"one engine, some": {1, every}, "all engines, some": {4, every}, "one engine, all": {1, 1}} {
		for _, path := range []string{pathModel, pathAtMostOnceStream} {
			t.Run(name+path, func(t *testing.T) {
				serve := func(f fleetengine.Fault) (whole float64) {
					all := engines(fleetengine.StageDecode, "i-1", "i-2", "i-3", "i-4")
					for n, e := range all {
						e.Events = 4
						if n < c.garbling {
							e.FailEvery(f, c.every)
						}
					}
					r := newHarness(t, harnessOptions{model: all, budget: gateway.RetryBudgetConfig{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}})
					for n := range requests {
						id := fmt.Sprint(n)
						got := r.send(http.MethodPost, path, id, "x", nil)
						require.NotEqual(t, http.StatusServiceUnavailable, got.status, "the service is in use")
						if got.status == http.StatusOK && !got.truncated {
							require.Equal(t, eventsOf(id, 4), got.body)
							whole++
						}
					}
					return whole / requests
				}
				cut, garbled := serve(fleetengine.CutMidEvent), serve(fleetengine.Garbled)
				t.Logf("whole: %.3f of streams that are cut, %.3f of those that are garbled", cut, garbled)
				require.InDelta(t, cut, garbled, 0.01)
				if path == pathModel && c.every == every {
					require.Greater(t, garbled, 0.99)
				}
			})
		}
	}
}

// FuzzClientsReceiveWhatRunsWrote puts bytes between two events. A client receives events of a run, in order; a stream that ends as
// complete has all of them.
func FuzzClientsReceiveWhatRunsWrote(f *testing.F) {
	const events = 4
	event := regexp.MustCompile(`(?s)^(.+?\r?\n)\r?\n`)
	for text := range fleetengine.GarbledStreams() {
		f.Add([]byte(text+"\n\n"), uint8(len(text)))
	}
	for _, text := range []string{"", "\n", "\r", "\x00", "\xff\n\n", "id: 3\n\n", "id: 3\r\nid: 4\r\n\r\n", ":\n\n", "data: x\n", "id: 2\ndata: x\n\n", "event\n"} {
		for variant := range uint8(5 << 2) {
			f.Add([]byte(text), variant)
		}
	}
	f.Fuzz(func(t *testing.T, text []byte, variant uint8) {
		all := engines(fleetengine.StageDecode, "i-1", "i-2")
		var placed atomic.Int64
		var wrote atomic.Pointer[string]
		for _, e := range all {
			e.Events = events
			e.Garble = fleetengine.Garble{Piecemeal: variant&1 != 0 && len(text) < 1000, CRLF: variant&2 != 0, Change: func(all []string) string {
				at := min(int(variant>>2)%(events+1), len(all))
				body := strings.Join(all[:at], "") + string(text) + strings.Join(all[at:], "")
				wrote.Store(&body)
				return body
			}}
		}
		r := newHarness(t, harnessOptions{model: all, onPlaced: func(_ *harness, p placement.Plan) {
			if placed.Add(1) == 1 {
				all[p.Target.ID[2]-'1'].Fail(fleetengine.Garbled, 1)
			}
		}})
		got := r.send(http.MethodPost, pathModel, "a", "x", nil)
		require.Equal(t, http.StatusOK, got.status)
		if len(text) == 0 {
			require.Equal(t, *wrote.Load(), got.body)
		}
		written := *wrote.Load() + eventsOf("a", events)
		rest, n := got.body, 0
		for ; rest != ""; n++ {
			e := event.FindString(rest)
			require.NotEmpty(t, e, "%q", rest)
			require.Contains(t, written, e)
			require.Regexp(t, fmt.Sprintf(`(?m)^id: ?%d\r?$`, n+1), e)
			require.NotRegexp(t, `[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]|\r[^\n]`, e)
			rest = rest[len(e):]
		}
		require.True(t, got.truncated || n >= events, "%q ends as complete", got.body)
	})
}
