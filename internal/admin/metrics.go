package admin

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

var quantiles = []float64{0.5, 0.95, 0.99}

// metrics responds with the registry in the Prometheus text format.
func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	WriteMetrics(w, s.o.Metrics)
}

// WriteMetrics writes a registry in the Prometheus text format.
func WriteMetrics(w io.Writer, reg metrics.Registry) {
	var names []string
	reg.Each(func(name string, _ any) { names = append(names, name) })
	slices.Sort(names)
	for _, name := range names {
		writeMetric(w, "rockdoor_"+strings.NewReplacer(".", "_", "-", "_").Replace(name), reg.Get(name))
	}
}

func writeMetric(w io.Writer, name string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		fmt.Fprintf(w, "# TYPE %s_total counter\n%s_total %d\n", name, name, m.Count())
	case metrics.Gauge:
		fmt.Fprintf(w, "# TYPE %s gauge\n%s %d\n", name, name, m.Value())
	case metrics.GaugeFloat64:
		fmt.Fprintf(w, "# TYPE %s gauge\n%s %g\n", name, name, m.Value())
	case metrics.Timer:
		t := m.Snapshot()
		fmt.Fprintf(w, "# TYPE %s_seconds summary\n", name)
		for i, v := range t.Percentiles(quantiles) {
			fmt.Fprintf(w, "%s_seconds{quantile=\"%g\"} %g\n", name, quantiles[i], v/float64(time.Second))
		}
		fmt.Fprintf(w, "%s_seconds_sum %g\n%s_seconds_count %d\n", name, float64(t.Sum())/float64(time.Second), name, t.Count())
	}
}
