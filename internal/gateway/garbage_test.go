package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

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
		e.Events, e.Garble.Change = 2, func([]string) string { return sent + "data" }
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
