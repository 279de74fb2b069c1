package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/rockdoor/rockdoor/internal/gateway"
	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
)

// BenchmarkRequest measures one request through a gateway on loopback, with the client and the
// simulated engines in the same process.
func BenchmarkRequest(b *testing.B) {
	all := engines("", "i-1", "i-2")
	r := newHarness(b, harnessOptions{plain: all, budget: gateway.RetryBudgetConfig{Ratio: 0.2, Slack: 10, Window: time.Second}})
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		if a := r.send(http.MethodPost, pathAtMostOnce, fmt.Sprint(n), "body", nil); a.status != http.StatusOK {
			b.Fatal(a.status)
		}
	}
}

// BenchmarkEvent measures one event of a stream through a gateway on loopback.
func BenchmarkEvent(b *testing.B) {
	const events = 1000
	all := engines(fleetengine.StageDecode, "i-1")
	all[0].Events = events
	r := newHarness(b, harnessOptions{model: all})
	b.ReportAllocs()
	for n := 0; n < b.N; n += events {
		if a := r.send(http.MethodPost, pathModel, fmt.Sprint(n), "body", nil); a.status != http.StatusOK || a.truncated {
			b.Fatal(a.status)
		}
	}
}
