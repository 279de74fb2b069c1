// Package lengths learns how many events the responses of a route have. It knows the distribution
// by route and, for the workspaces with enough responses, by route and workspace.
package lengths

import (
	"math"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxKeys bounds the number of pairs of route and workspace with a distribution of their own, of
	// some 400 bytes each.
	maxKeys = 4096
	// bucketsPerDoubling is the resolution of the distribution: a bucket is 19 % wide.
	bucketsPerDoubling = 4
	// maxEvents is the length from which responses count as equal.
	maxEvents  = 1 << 12
	maxBuckets = 12*bucketsPerDoubling + 1
	// decay is the factor applied to the weight of earlier responses on each new one. The estimate
	// thus covers some 200 responses.
	decay = 0.995
	// minSamples is the weight of responses from which an estimate is used. With fewer, a high
	// quantile is the largest length that has been seen.
	minSamples = 20
)

// Estimator learns the lengths of responses. It is safe for concurrent use.
type Estimator struct {
	mu            sync.Mutex
	distributions *lru.Cache[key, *distribution]
}

type key struct{ route, workspace string }

// distribution is a histogram of lengths with logarithmic buckets and decaying weights.
type distribution struct {
	weight, sum float64
	buckets     [maxBuckets]float64
}

// New returns an estimator without any observation.
func New() *Estimator {
	c, err := lru.New[key, *distribution](maxKeys)
	if err != nil {
		panic(err) // lru.New fails only if the size is not positive
	}
	return &Estimator{distributions: c}
}

// Observe adds the number of events of a complete response. A workspace may be empty.
func (e *Estimator) Observe(route, workspace string, events int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.add(key{route: route}, events)
	if workspace != "" {
		e.add(key{route, workspace}, events)
	}
}

func (e *Estimator) add(k key, events int) {
	d, ok := e.distributions.Get(k)
	if !ok {
		d = &distribution{}
		e.distributions.Add(k, d)
	}
	d.observe(events)
}

// Length is an estimate of the number of events of a response.
type Length struct{ Mean, P90 float64 }

// Estimate returns the expected length of a response. It returns false if too few responses of the
// route are known.
func (e *Estimator) Estimate(route, workspace string) (Length, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, k := range []key{{route, workspace}, {route: route}} {
		if d, ok := e.distributions.Get(k); ok && d.weight >= minSamples {
			return Length{Mean: d.sum / d.weight, P90: d.quantile(0.9)}, true
		}
	}
	return Length{}, false
}

func (d *distribution) observe(events int) {
	events = min(max(events, 1), maxEvents)
	d.weight = d.weight*decay + 1
	d.sum = d.sum*decay + float64(events)
	for n := range d.buckets {
		d.buckets[n] *= decay
	}
	d.buckets[int(math.Round(math.Log2(float64(events))*bucketsPerDoubling))]++
}

// quantile returns the length that a share of the responses does not exceed.
func (d *distribution) quantile(share float64) float64 {
	sum := 0.0
	for n, weight := range d.buckets {
		if sum += weight; sum >= share*d.weight {
			return math.Exp2(float64(n) / bucketsPerDoubling)
		}
	}
	return maxEvents
}
