// Package soak runs gateways as real processes between callers and stand-ins of the users'
// platform, strikes them with faults from outside by a schedule that a seed fixes, and checks
// what callers, instances and the store saw against what the gateways promise.
package soak

import (
	"io"
	"time"
)

// Options of a run.
type Options struct {
	Seed      uint64
	Processes int
	// Layout is what the deployment consists of; DefaultLayout if it is nil.
	Layout *Layout
	// Length is how long faults are put in. The start and the end are not part of it.
	Length time.Duration
	// Dir takes the settings and logs of the processes.
	Dir string
	// Command starts a gateway when "gateway serve --settings FILE" is added; Env is added to
	// its environment.
	Command []string
	Env     []string
	// Progress takes a line every few seconds. It may be nil.
	Progress io.Writer
	// CallersEach is how many callers each process has.
	CallersEach int
	// Think is the mean time between an answer and a caller's next request; thinkTime if it is 0.
	Think time.Duration
	// MemoryMB is what a host has for its process, 0 for no bound.
	MemoryMB float64
	// Bounds are what the deployment demands of the processes.
	Bounds Bounds
	// Slack is by how much longer than the bounds say a thing may take, for machines that are
	// busy with other work. What must never happen is not changed by it. 0 is 1.
	Slack float64
}

// complete puts in what was left out.
func (o *Options) complete() {
	if o.Layout == nil {
		o.Layout = DefaultLayout
	}
	if o.Think == 0 {
		o.Think = thinkTime
	}
}

// checked returns the bounds by which a run is judged.
func (o *Options) checked() Bounds {
	b := o.Bounds
	if o.Slack <= 1 {
		return b
	}
	for _, d := range []*time.Duration{&b.Apply, &b.Back, &b.BackSlow, &b.Drain, &b.Thaw, &b.Gone, &b.Loss, &b.Late} {
		*d = time.Duration(o.Slack * float64(*d))
	}
	return b
}

// Bounds are what a deployment demands, by the users' rules.
type Bounds struct {
	// Contact is how long a process must have been undisturbed for bounds of time to hold.
	Contact time.Duration
	// Apply is in what time a configuration is in force, Back for how long after an effect of
	// a version was seen an older one may still be met, BackSlow where a process was disturbed.
	Apply, Back, BackSlow time.Duration
	// Drain is in what time an instance that leaves gets nothing new.
	Drain time.Duration
	// Grace is the time between SIGTERM and SIGKILL, Notice that in which the balancer notices.
	Grace, Notice time.Duration
	// Lease must pass between orders of two holders, Thaw is for how long after a freeze or a
	// cut what was held up may arrive.
	Lease, Thaw time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the arrivals beyond the first.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// Gone is how long after a caller has left work for it may still begin or go on.
	Gone time.Duration
	// Loss is how long a request may have been read before its connection ends unanswered.
	Loss time.Duration
	// Recovery is in what time after the last fault requests are served again.
	Recovery time.Duration
	// Late is how long after its timeout a request may wait for its final answer.
	Late time.Duration
}

// DefaultBounds are those of the users' first deployments, with a retry budget that fits the
// load of a soak.
var DefaultBounds = Bounds{
	Contact: 3 * time.Second, Apply: 2 * time.Second, Back: 250 * time.Millisecond, BackSlow: 2 * time.Second, Drain: 2 * time.Second,
	Grace: 8 * time.Second, Notice: 2500 * time.Millisecond, Lease: 3 * time.Second, Thaw: 300 * time.Millisecond,
	RetryRatio: 0.1, RetrySlack: 20, RetryWindow: 5 * time.Second, Gone: 500 * time.Millisecond, Loss: 200 * time.Millisecond,
	Recovery: 12 * time.Second, Late: 500 * time.Millisecond,
}
