package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/rcrowley/go-metrics"
)

// BenchmarkRejections measures requests to an instance that rejects every third one, with the request's ID or without any. It
// reports the new connections per request.
func BenchmarkRejections(b *testing.B) {
	for name, identify := range map[string]bool{"with ID": true, "without ID": false} {
		b.Run(name, func(b *testing.B) {
			address := serve(b, func(_ int, c net.Conn, r *bufio.Reader) {
				for n := 0; ; n++ {
					id, _, err := readRequest(r)
					if err != nil {
						return
					}
					rejected := len(id) > 0 && (id[len(id)-1]-'0')%3 == 0
					switch {
					case rejected && identify:
						_, _ = io.WriteString(c, rejectionHead+"Id: "+id+"\r\n\r\n")
					case rejected:
						_, _ = io.WriteString(c, rejectionHead+"\r\n")
					default:
						write(c, id, "x")
					}
				}
			})
			reg := metrics.NewRegistry()
			c := New(reg)
			lost, n := 0, 0
			for b.Loop() {
				n++
				resp, err := c.Do(b.Context(), request(address, fmt.Sprint(n), ""))
				if err != nil {
					lost++
					continue
				}
				resp.DiscardBody()
			}
			b.ReportMetric(float64(metrics.GetOrRegisterCounter("upstream.connections", reg).Count())/float64(n), "connections/op")
			b.ReportMetric(float64(lost), "lost")
		})
	}
}
