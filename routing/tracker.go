package routing

import (
	"sync"
	"sync/atomic"
)

// Tracker counts the work that this process has outstanding at each target. It
// is safe for concurrent use.
type Tracker struct {
	targets sync.Map // name to *outstanding
	// Demand counts what was admitted.
	Demand DemandCounter
}

type outstanding struct {
	requests, prefill, decode atomic.Int64
}

func (o *outstanding) load() Load {
	return Load{int(o.requests.Load()), int(o.prefill.Load()), int(o.decode.Load())}
}

// Work is one request that is outstanding at a target.
type Work struct {
	at      *outstanding
	mu      sync.Mutex
	prefill int64
	decode  int64
	ended   bool
}

// Begin counts a request at a target until its End, or returns nil if the
// target already has limit requests of this process. Counting and checking are
// one step, so that requests that begin together cannot exceed the limit.
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
	return &Work{at: o, prefill: int64(c.PrefillTokens), decode: int64(c.DecodeTokens)}
}

// Token records that one more token was generated; the first one also means
// that the prompt has been read.
func (w *Work) Token() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.at.prefill.Add(-w.prefill)
	w.prefill = 0
	if w.decode > 0 {
		w.decode--
		w.at.decode.Add(-1)
	}
}

// End takes the rest of the request off the target. It may be called twice.
func (w *Work) End() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.ended = true
	w.at.requests.Add(-1)
	w.at.prefill.Add(-w.prefill)
	w.at.decode.Add(-w.decode)
}

// Load returns what this process has outstanding at a target.
func (t *Tracker) Load(target string) Load {
	if v, ok := t.targets.Load(target); ok {
		return v.(*outstanding).load()
	}
	return Load{}
}

// Each calls f for each target with outstanding requests.
func (t *Tracker) Each(f func(target string, l Load)) {
	t.targets.Range(func(k, v any) bool {
		if l := v.(*outstanding).load(); l.Requests > 0 {
			f(k.(string), l)
		}
		return true
	})
}
