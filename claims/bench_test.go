package claims

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkClaim measures the time of one claim at a holder and the memory per
// stored claim.
func BenchmarkClaim(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint("held=", n), func(b *testing.B) {
			table, _ := Next(nil, members(1), false)
			s := NewStore(members(1)[0], time.Hour)
			s.Adopt(table)
			before := heap()
			for i := range n {
				s.Claim(Claim{Key: fmt.Sprint("workspace-7\x00", i), Claimant: fmt.Sprintf("01J9Z3NDEKTSV4RRFF%08d", i), Digest: fmt.Sprintf("%032x", i), Process: "entry-1/01J9Z3NDEKTSV4RRFFQ69G5FAV", Epoch: 1})
			}
			held := float64(heap()-before) / float64(n)
			i := 0
			for b.Loop() {
				i++
				s.Claim(Claim{Key: fmt.Sprint("workspace-8\x00", i%n), Claimant: "c", Digest: "d", Process: "p", Epoch: 1})
			}
			b.ReportMetric(held, "bytes/claim")
		})
	}
}

// BenchmarkNext measures the computation of a new table after one member is lost.
func BenchmarkNext(b *testing.B) {
	for _, n := range []int{8, 32, 128, 610} {
		b.Run(fmt.Sprint("members=", n), func(b *testing.B) {
			table, _ := Next(nil, members(n), false)
			live := members(n)[1:]
			for b.Loop() {
				Next(table, live, false)
			}
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
