package gatewayd

import (
	"fmt"
	"net/http"
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
			var expected strings.Builder
			for n := range streamEvents {
				fmt.Fprintf(&expected, "id: %d\ndata: %s-%d by v1\n\n", n+1, id, n+1)
			}
			require.Equal(t, expected.String(), body)
			complete++
		}
		t.Logf("%d of %d streams complete", complete, streams)
		require.GreaterOrEqual(t, complete, streams*3/4)
		require.Contains(t, all[0].log.String(), "malformed event")
		require.Contains(t, all[0].log.String(), "a peer reaches it")
	}
}
