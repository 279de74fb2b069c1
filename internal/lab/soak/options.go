// Package soak runs gateways as real processes between clients and stand-ins for the users'
// platform. It injects faults on a schedule that is determined by a seed, and checks what clients,
// instances and the store observed against the guarantees of the gateways.
package soak

import (
	"io"
	"time"
)

// Options configure a run.
type Options struct {
	Seed      uint64
	Processes int
	// Layout is the layout of the deployment; nil selects DefaultLayout.
	Layout *Layout
	// Length is the time during which faults are injected, without startup and recovery.
	Length time.Duration
	// Dir is the directory for the settings and logs of the processes.
	Dir string
	// Command, followed by "gateway serve --settings FILE", starts a gateway. Env is added to its
	// environment.
	Command []string
	Env     []string
	// Progress receives a line every few seconds. It may be nil.
	Progress io.Writer
	// ClientsPerProcess is the number of clients for each gateway process.
	ClientsPerProcess int
	// ThinkTime is the mean time between a response and the client's next request; 0 selects the
	// default thinkTime.
	ThinkTime time.Duration
	// MemoryMB is the memory that a host has for its process; 0 means unlimited.
	MemoryMB float64
	// Descriptors is the number of descriptors that a process may have open; 0 means the limit of the system.
	Descriptors int
	// Bounds are the limits that the deployment requires the processes to keep.
	Bounds Bounds
	// CPUShare is the share of the time in which each process runs, as on a host that is given a part of a core; 0 means
	// all of it.
	CPUShare float64
	// BoundsFactor multiplies the time bounds in which a process must react, for machines that are
	// busy with other work. Guarantees without a time bound are not affected. A factor
	// below 1, such as 0, counts as 1.
	BoundsFactor float64
}

// setDefaults fills in the fields that were left empty.
func (o *Options) setDefaults() {
	if o.Layout == nil {
		o.Layout = DefaultLayout
	}
	if o.ThinkTime == 0 {
		o.ThinkTime = thinkTime
	}
}

// relaxedBounds returns the bounds that a run is checked against: the time bounds multiplied by
// BoundsFactor.
func (o *Options) relaxedBounds() Bounds {
	b := o.Bounds
	if o.BoundsFactor <= 1 {
		return b
	}
	for _, d := range []*time.Duration{&b.Apply, &b.StaleConfig, &b.StaleConfigDisturbed, &b.Drain, &b.DelayedDelivery, &b.WorkAfterCancel, &b.UnansweredRead, &b.LateResponse} {
		*d = time.Duration(o.BoundsFactor * float64(*d))
	}
	return b
}

// Bounds are the limits that a deployment requires, from the users' rules.
type Bounds struct {
	// ContactTime is how long a process must have been undisturbed before time bounds apply to it.
	ContactTime time.Duration
	// Apply is the time within which a new configuration must be in force. After an effect of a
	// version was observed, requests may still meet an older version for StaleConfig, or for
	// StaleConfigDisturbed at a process that was disturbed.
	Apply, StaleConfig, StaleConfigDisturbed time.Duration
	// Drain is the time after which an instance that was withdrawn must get no new work.
	Drain time.Duration
	// Grace is the time between SIGTERM and SIGKILL. Notice is the part of it in which the balancer
	// must notice that the process is stopping.
	Grace, Notice time.Duration
	// Lease is the time that must pass between orders of two different holders. DelayedDelivery is
	// how long after the end of a freeze or a network partition delayed messages may still arrive.
	Lease, DelayedDelivery time.Duration
	// RetryRatio, RetrySlack and RetryWindow define the retry budget: within a RetryWindow, the
	// arrivals beyond the first of each request may number RetryRatio times the requests, plus
	// RetrySlack.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// WorkAfterCancel is how long work for a client may start or continue after the client has
	// disconnected.
	WorkAfterCancel time.Duration
	// UnansweredRead applies to planned stops: a process may close a connection without a response
	// up to this long after the request was sent, if no instance has received the request.
	UnansweredRead time.Duration
	// Recovery is the time after the last fault within which requests must be served again.
	Recovery time.Duration
	// LateResponse is how long after its timeout a request may wait for its final response.
	LateResponse time.Duration
}

// DefaultBounds are the bounds of the users' first deployments, with a retry budget that fits the
// load of a soak.
var DefaultBounds = Bounds{
	ContactTime: 3 * time.Second, Apply: 2 * time.Second, StaleConfig: 250 * time.Millisecond, StaleConfigDisturbed: 2 * time.Second, Drain: 2 * time.Second,
	Grace: 8 * time.Second, Notice: 2500 * time.Millisecond, Lease: 3 * time.Second, DelayedDelivery: 300 * time.Millisecond,
	RetryRatio: 0.1, RetrySlack: 20, RetryWindow: 5 * time.Second, WorkAfterCancel: 500 * time.Millisecond, UnansweredRead: 200 * time.Millisecond,
	Recovery: 12 * time.Second, LateResponse: 500 * time.Millisecond,
}
