package gatewayd

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
)

// TestGarbledStreamsThroughAPeer has engines that a host reaches only through a peer garble some of their streams.
func TestGarbledStreamsThroughAPeer(t *testing.T) {
	const streams = 40
	for _, unframed := range []bool{false, true} {
		d := newDeployment(t)
		d.addVersions(3, "v1")
		for _, e := range d.engines[4:] {
			e.Unframed = unframed
		}
		all, paths := d.startWithPaths("a", "b", "c")
		paths[0].cut(cutReset, nil)
		for _, e := range d.engines[4:] {
			e.FailEvery(fleetengine.Garbled, 4)
		}
		complete := 0
		for n := range streams {
			id := fmt.Sprint("g-", n)
			status, body := all[0].send("/llm/x", id, nil)
			if status != http.StatusOK {
				continue // a second engine may garble the rest
			}
			require.Equal(t, wholeStream(id), body)
			complete++
		}
		t.Logf("%d of %d streams complete", complete, streams)
		require.GreaterOrEqual(t, complete, streams*3/4)
		require.Contains(t, all[0].log.String(), "malformed event")
		require.Contains(t, all[0].log.String(), "a peer reaches it")
	}
}

// TestForeignResponsesThroughAPeer has engines that a host reaches only through a peer answer some requests for streams with
// successful responses that are none, each engine in another way.
func TestForeignResponsesThroughAPeer(t *testing.T) {
	const streams, engines = 40, 3
	heads := fleetengine.ForeignHeads()
	for names := range slices.Chunk(slices.Sorted(maps.Keys(heads)), engines) {
		d := newDeployment(t)
		d.addVersions(len(names), "v1")
		for n, e := range d.engines[4:] {
			e.Garble = fleetengine.Garble{Head: heads[names[n]], Change: func(events []string) string {
				return strings.ReplaceAll(strings.Join(events, ""), "data: ", "data: foreign ") // only the head tells that it is no stream
			}}
		}
		all, paths := d.startWithPaths("a", "b", "c")
		paths[0].cut(cutReset, nil)
		for _, e := range d.engines[4:] {
			e.FailEvery(fleetengine.Garbled, 4)
		}
		complete := 0
		for n := range streams {
			id := fmt.Sprint("g-", n)
			status, body := all[0].send("/llm/x", id, nil)
			if status != http.StatusOK {
				continue // a second engine may fail in the same way
			}
			require.Equal(t, wholeStream(id), body)
			complete++
		}
		t.Logf("%d of %d streams complete", complete, streams)
		require.GreaterOrEqual(t, complete, streams*3/4)
		for n, e := range d.engines[4:] {
			require.GreaterOrEqual(t, len(e.Runs()), 4, "%s: the engine has failed", names[n])
		}
		require.Contains(t, all[0].log.String(), "a peer reaches it")
	}
}

// wholeStream returns the stream of a request at an engine of addVersions.
func wholeStream(id string) string {
	var out strings.Builder
	for n := range streamEvents {
		fmt.Fprintf(&out, "id: %d\ndata: %s-%d by v1\n\n", n+1, id, n+1)
	}
	return out.String()
}
