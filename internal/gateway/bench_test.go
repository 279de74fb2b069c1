package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/rockdoor/rockdoor/internal/gateway"
)

// BenchmarkPath measures one request through a gateway on loopback, with the
// caller and the stand-ins in the same process.
func BenchmarkPath(b *testing.B) {
	all := engines("", "i-1", "i-2")
	r := newRig(b, rigOptions{plain: all, budget: gateway.RetryBudgetConfig{Ratio: 0.2, Slack: 10, Window: time.Second}})
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		if a := r.send(http.MethodPost, pathOnce, fmt.Sprint(n), "body", nil); a.status != http.StatusOK {
			b.Fatal(a.status)
		}
	}
}
