package routing

import (
	"sync"
	"sync/atomic"
)

// Tracker counts the work that this process has in flight at each target. It is
// safe for concurrent use.
type Tracker struct {
	targets sync.Map // name to *outstanding
	// Demand counts the work admitted to each pool.
	Demand DemandCounter
}

type outstanding struct {
	requests, prefill, decode atomic.Int64
}

func (o *outstanding) load() Load {
	return Load{int(o.requests.Load()), int(o.prefill.Load()), int(o.decode.Load())}
}

// Work is one request in flight at a target.
type Work struct {
	target  *outstanding
	mu      sync.Mutex
	prefill int64
	decode  int64
	ended   bool
}

// Begin counts a request at a target until Work.End is called. It returns nil if
// this process already has limit requests in flight there. The check and the count
// are one atomic step, so concurrent requests cannot exceed the limit.
func (t *Tracker) Begin(target string, c Cost, limit int) *Work {
	v, ok := t.targets.Load(target)
	if !ok {
		v, _ = t.targets.LoadOrStore(target, &outstanding{})
	}
	o := v.(*outstanding)
	if o.requests.Add(1) > int64(limit) {
		o.requests.Add(-1)
		return nil
	}
	o.prefill.Add(int64(c.PrefillTokens))
	o.decode.Add(int64(c.DecodeTokens))
	return &Work{target: o, prefill: int64(c.PrefillTokens), decode: int64(c.DecodeTokens)}
}

// Token records one output token. The first one also ends the prefill.
func (w *Work) Token() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.target.prefill.Add(-w.prefill)
	w.prefill = 0
	if w.decode > 0 {
		w.decode--
		w.target.decode.Add(-1)
	}
}

// End removes the request and its remaining work from the load of the target. A
// second call has no effect.
func (w *Work) End() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.ended = true
	w.target.requests.Add(-1)
	w.target.prefill.Add(-w.prefill)
	w.target.decode.Add(-w.decode)
}

// Load returns the work that this process has in flight at a target.
func (t *Tracker) Load(target string) Load {
	if v, ok := t.targets.Load(target); ok {
		return v.(*outstanding).load()
	}
	return Load{}
}

// Each calls f for each target with requests in flight.
func (t *Tracker) Each(f func(target string, l Load)) {
	t.targets.Range(func(k, v any) bool {
		if l := v.(*outstanding).load(); l.Requests > 0 {
			f(k.(string), l)
		}
		return true
	})
}
