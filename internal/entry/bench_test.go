package entry

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
)

// keepAlive is a client that reuses its connections, as real clients do.
var keepAlive = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

func get(b *testing.B, url string) {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	require.NoError(b, err)
	req.Header.Set(HeaderWorkspace, "w")
	resp, err := keepAlive.Do(req)
	if err != nil {
		b.Error(err)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
}

// BenchmarkAddedLatency alternates the same open-loop load between direct requests
// to a service and requests through one entry server, and reports the added latency.
func BenchmarkAddedLatency(b *testing.B) {
	f := startBench(b)
	straight := "http://" + f.snapshot.Config.Targets["s0"].Address + "/flags/x"
	through := f.url + "/flags/x"
	hists := map[string]*hdrhistogram.Histogram{straight: hdrhistogram.New(1, 1e9, 3), through: hdrhistogram.New(1, 1e9, 3)}
	const rate, turn = 1000, 500 * time.Millisecond
	for b.Loop() {
		for range 3 {
			for url, h := range hists {
				openLoop(b, url, rate, turn, h)
			}
		}
	}
	for name, q := range map[string]float64{"p50": 50, "p99": 99} {
		d, e := hists[straight].ValueAtQuantile(q), hists[through].ValueAtQuantile(q)
		b.ReportMetric(float64(d)/1e3, "direct-"+name+"-µs")
		b.ReportMetric(float64(e-d)/1e3, "added-"+name+"-µs")
	}
	b.ReportMetric(0, "ns/op")
}

func openLoop(b *testing.B, url string, rate int, d time.Duration, h *hdrhistogram.Histogram) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for i := range int(float64(rate) * d.Seconds()) {
		due := start.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(due))
		wg.Add(1)
		go func() {
			defer wg.Done()
			get(b, url)
			mu.Lock()
			defer mu.Unlock()
			_ = h.RecordValue(time.Since(due).Nanoseconds())
		}()
	}
	wg.Wait()
}

// BenchmarkRequests measures throughput and allocations of requests to a plain
// service, and the memory that remains allocated afterwards, without the records of
// the stand-ins.
func BenchmarkRequests(b *testing.B) {
	f := startBench(b)
	get(b, f.url+"/flags/x")
	before := heap()
	b.ReportAllocs()
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			get(b, f.url+"/flags/x")
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	for _, s := range f.services {
		s.ClearRuns()
	}
	keepAlive.CloseIdleConnections()
	b.ReportMetric((heap()-before)/(1<<20), "held-MB")
}

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkTokens measures streams of 1,000 tokens each, directly from the stand-in
// and through the entry server. The difference is the cost of the entry server.
func BenchmarkTokens(b *testing.B) {
	const tokens = 1000
	f := startBench(b)
	body := fmt.Sprintf(`{"model": "notes", "stream": true, "max_tokens": %d, "messages": [{"role": "user", "content": "x"}]}`, tokens)
	for name, url := range map[string]string{"direct": "http://" + f.snapshot.Config.Targets["e0"].Address, "through": f.url} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.SetParallelism(2)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					req, _ := http.NewRequest(http.MethodPost, url+pathChat, strings.NewReader(body))
					req.Header.Set(HeaderWorkspace, "w")
					resp, err := keepAlive.Do(req)
					if err != nil {
						b.Error(err)
						return
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			})
			b.ReportMetric(float64(b.N)*tokens/b.Elapsed().Seconds(), "tokens/s")
		})
	}
}
