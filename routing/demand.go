package routing

import (
	"sync"
	"sync/atomic"
)

// DemandCounter counts the tokens that this process has admitted to each pool since
// it started. It is safe for concurrent use.
type DemandCounter struct {
	pools sync.Map // name to *admitted
}

type admitted struct{ prefill, decode atomic.Uint64 }

// Add counts the work of one request, in tokens.
func (d *DemandCounter) Add(pool string, prefill, decode int) {
	v, ok := d.pools.Load(pool)
	if !ok {
		v, _ = d.pools.LoadOrStore(pool, &admitted{})
	}
	v.(*admitted).prefill.Add(uint64(max(prefill, 0)))
	v.(*admitted).decode.Add(uint64(max(decode, 0)))
}

// Each calls f with the number of prefill and decode tokens admitted to each pool.
func (d *DemandCounter) Each(f func(pool string, prefill, decode uint64)) {
	d.pools.Range(func(k, v any) bool {
		a := v.(*admitted)
		f(k.(string), a.prefill.Load(), a.decode.Load())
		return true
	})
}
