package gateway

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSourcesLeaveMemoryToOthers has sources reserve as much as they get.
func TestSourcesLeaveMemoryToOthers(t *testing.T) {
	const limit, step = 16 << 20, 32 << 10
	for name, c := range map[string]struct {
		sources int
		by      func(n int) source
		// minOther and minRequest are what another service, and a request, still get.
		minOther, minRequest int64
	}{
		"one engine":             {1, func(int) source { return source{responseBodies, "s", "e"} }, 2 << 20, 2 << 20},
		"all engines of one":     {100, func(n int) source { return source{responseBodies, "s", fmt.Sprint(n)} }, 1 << 20, 2 << 20},
		"engines of 50 services": {50, func(n int) source { return source{responseBodies, fmt.Sprint("s-", n), "e"} }, 0, 1 << 20},
		"one workspace":          {1, func(int) source { return source{requestBodies, "r", "w"} }, 2 << 20, 2 << 20},
	} {
		m := &memoryBudget{limit: limit}
		take := func(by source) (q *request, got int64) {
			for q = new(request); m.reserve(q, by, step); got += step {
			}
			return q, got
		}
		var all []*request
		for n := range c.sources {
			q, _ := take(c.by(n))
			all = append(all, q)
		}
		q, got := take(source{responseBodies, "other", "e"})
		require.GreaterOrEqual(t, got, c.minOther, name)
		all = append(all, q)
		q, got = take(source{requestBodies, "other", "w"})
		require.GreaterOrEqual(t, got, c.minRequest, name)
		require.LessOrEqual(t, m.reserved(), int64(limit), name)
		for _, q := range append(all, q) {
			m.release(q, requestBodies)
			m.release(q, responseBodies)
		}
		require.Zero(t, m.reserved(), name)
		require.Empty(t, m.owners, name)
		require.Empty(t, m.parts, name)
	}
	m := &memoryBudget{limit: limit}
	q := new(request)
	for range maxBufferedResponse / maxReadBytes {
		require.True(t, m.reserve(q, source{responseBodies, "s", "e"}, maxReadBytes), "the largest response that is buffered has room in a process of 64 MB")
	}
}
