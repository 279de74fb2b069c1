package gatewayd

import (
	"math"
	"runtime/debug"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/gateway"
	"github.com/rockdoor/rockdoor/internal/resources"
	"github.com/rockdoor/rockdoor/internal/upstream"
)

// TestBodiesAreLimitedWithoutAMemoryLimit has settings name no memory limit, and odd ones.
func TestBodiesAreLimitedWithoutAMemoryLimit(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(before) })
	for mb, want := range map[float64]int64{0: 64 << 20, 1e-9: 1, 64: 16 << 20, math.MaxFloat64: resources.MaxMemory} {
		var logged strings.Builder
		reg := metrics.NewRegistry()
		d := &Daemon{logger: log.NewLogfmtLogger(&logged), gateway: gateway.New(gateway.Options{Client: upstream.New(reg), Metrics: reg, Logger: log.NewNopLogger()})}
		d.limitMemory(mb)
		limit, _ := reg.Get("gateway.buffer_limit").(metrics.Gauge)
		require.NotNil(t, limit, "%v MB: no limit", mb)
		require.Equal(t, want, limit.Value(), "%v MB", mb)
		require.Contains(t, logged.String(), "buffer_bytes=")
	}
}
