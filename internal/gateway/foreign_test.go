package gateway_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
	"github.com/rockdoor/rockdoor/placement"
)

const foreignBody = "\x00\xff garbage\n\nid: 9\ndata: garbage\n\n"

func soundEvents(events []string) string { return strings.Join(events, "") }

// foreignHarness has the first engine that is chosen after begin requests send a response with a head.
func foreignHarness(t *testing.T, head fleetengine.Head, form fleetengine.Garble, begin int64) (*harness, []*fleetengine.Engine, *atomic.Int64) {
	all := engines(fleetengine.StageDecode, "i-1", "i-2")
	var placed, failed atomic.Int64
	for _, e := range all {
		e.Events, e.Garble = 4, form
		e.Garble.Head = head
		e.Unframed = form.BadEnd // in these tests, the end of the connection
		e.Garble.BadEnd = false
		if e.Garble.Change == nil {
			e.Garble.Change = func([]string) string { return foreignBody }
		}
	}
	return newHarness(t, harnessOptions{model: all, onPlaced: func(_ *harness, p placement.Plan) {
		if placed.Add(1) == begin+1 {
			all[p.Target.ID[2]-'1'].Fail(fleetengine.Garbled, 1)
		}
	}, onAttemptEnded: func(o placement.Outcome) {
		if o == placement.Failed {
			failed.Add(1)
		}
	}}), all, &failed
}

// TestForeignResponsesOfStreamingRoutesAreNotRelayed has an engine answer a request for a stream, or for its rest, with a
// successful response that is none.
func TestForeignResponsesOfStreamingRoutesAreNotRelayed(t *testing.T) {
	for name, head := range fleetengine.ForeignHeads() {
		for sent, form := range map[string]fleetengine.Garble{"chunked": {}, "length": {Length: true}, "unframed": {BadEnd: true}} {
			if name == "a length, and chunks" && sent != "chunked" {
				continue
			}
			if strings.HasSuffix(head.Fields, "text/event-stream\r\n") { // only the head tells that it is no stream
				form.Change = soundEvents
			}
			t.Run(name+"/"+sent+"/first attempt", func(t *testing.T) {
				r, all, failed := foreignHarness(t, head, form, 0)
				started := time.Now()
				got := r.send(http.MethodPost, pathModel, "a", "x", nil)
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, eventsOf("a", 4), got.body)
				require.False(t, got.truncated)
				require.Equal(t, 2, allRuns(all))
				require.EqualValues(t, 1, failed.Load(), "the engine is at fault once")
				require.Less(t, time.Since(started), time.Second, "the client is not kept waiting")
			})
			t.Run(name+"/"+sent+"/at most once", func(t *testing.T) {
				r, all, _ := foreignHarness(t, head, form, 0)
				got := r.send(http.MethodPost, pathAtMostOnceStream, "a", "x", nil)
				require.Equal(t, http.StatusBadGateway, got.status)
				require.NotContains(t, got.body, "garbage")
				require.NotContains(t, got.body, "data:")
				require.Equal(t, 1, allRuns(all))
			})
			t.Run(name+"/"+sent+"/resumption", func(t *testing.T) {
				r, all, _ := foreignHarness(t, head, form, 1)
				require.Equal(t, eventsOf("a", 4), r.send(http.MethodPost, pathModel, "a", "x", nil).body)
				got := r.send(http.MethodPost, pathModel, "b", "x", resumeHeader("a", "2"))
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, strings.TrimPrefix(eventsOf("b", 4), eventsOf("b", 2)), got.body)
				require.False(t, got.truncated)
				require.Equal(t, 3, allRuns(all))
			})
		}
	}
}

// TestStreamsInTheirOtherFormsPassUnchanged sends the forms of a head that begin a stream all the same.
func TestStreamsInTheirOtherFormsPassUnchanged(t *testing.T) {
	for _, fields := range []string{"Content-Type: TEXT/Event-Stream\r\n", "Content-Type: text/event-stream; charset=utf-8\r\n", "X-A: no type\r\n", "Content-Type: text/event-stream ;a=b\r\n"} {
		for _, path := range []string{pathModel, pathAtMostOnceStream} {
			r, all, failed := foreignHarness(t, fleetengine.Head{Fields: fields}, fleetengine.Garble{Change: soundEvents}, 0)
			got := r.send(http.MethodPost, path, "a", "x", nil)
			require.Equal(t, eventsOf("a", 4), got.body, fields)
			require.Equal(t, 1, allRuns(all), fields)
			require.Zero(t, failed.Load(), fields)

			r, _, failed = foreignHarness(t, fleetengine.Head{Fields: fields}, fleetengine.Garble{}, 0)
			got = r.send(http.MethodPost, path, "a", "x", nil)
			require.NotContains(t, got.body, "garbage", fields)
			require.EqualValues(t, 1, failed.Load(), fields)
		}
	}
}

// TestStreamWithoutEventsIsNotAnAnswer has an engine end a stream before its first event. After the last event it is an answer.
func TestStreamWithoutEventsIsNotAnAnswer(t *testing.T) {
	none := fleetengine.Garble{Change: func([]string) string { return "" }}
	for _, form := range []fleetengine.Garble{none, {Change: none.Change, BadEnd: true}, {Change: func([]string) string { return ": comment\n\n" }}} {
		r, all, failed := foreignHarness(t, fleetengine.Head{}, form, 0)
		require.Equal(t, eventsOf("a", 4), r.send(http.MethodPost, pathModel, "a", "x", nil).body)
		require.Equal(t, 2, allRuns(all))
		require.EqualValues(t, 1, failed.Load())

		r, _, _ = foreignHarness(t, fleetengine.Head{}, form, 0)
		require.Equal(t, http.StatusBadGateway, r.send(http.MethodPost, pathAtMostOnceStream, "a", "x", nil).status)

		r, _, failed = foreignHarness(t, fleetengine.Head{}, form, 1)
		r.send(http.MethodPost, pathModel, "a", "x", nil)
		got := r.send(http.MethodPost, pathModel, "b", "x", resumeHeader("a", "4"))
		require.Equal(t, http.StatusOK, got.status)
		require.Empty(t, got.body)
		require.False(t, got.truncated)
		require.Zero(t, failed.Load())
	}
}
