package httpserve

import (
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// recentRuns is the number of the latest runs of a class from which the time that a run needs is estimated.
	recentRuns = 64
	// expectedShare is the share of the recent runs that end within the estimate.
	expectedShare = 0.98
	// runTimeMargin is the factor by which a run may take longer than the recent ones.
	runTimeMargin = 1.1
	// unknownRunTime is the estimate for a class of which no run has been seen and which states no longer time.
	unknownRunTime = time.Second
	// maxClasses bounds the classes whose runs are remembered.
	maxClasses = 4096
)

// Drain decides which requests a server still takes while it is being stopped. It estimates from the recent runs of the same
// class, such as a route, whether a run can end before the process does. Its zero value is not usable.
type Drain struct {
	end    atomic.Pointer[time.Time]
	ending context.Context
	finish context.CancelFunc

	mu      sync.Mutex
	classes map[string]*runTimes
}

// runTimes are the durations of the recent runs of a class, and the runs under way.
type runTimes struct {
	recent  []time.Duration
	next    int
	running map[*Run]struct{}
}

// Run is a run under way.
type Run struct {
	drain *Drain
	times *runTimes
	begun time.Time
}

// NewDrain returns a Drain of a server that is not being stopped.
func NewDrain() *Drain {
	d := &Drain{classes: map[string]*runTimes{}}
	d.ending, d.finish = context.WithCancel(context.Background())
	return d
}

// Begin states that the requests in flight will be ended at the given time. It may be called again with a new time.
func (d *Drain) Begin(end time.Time) { d.end.Store(&end) }

// Begun reports whether the server is being stopped.
func (d *Drain) Begun() bool { return d.end.Load() != nil }

// End ends the requests in flight.
func (d *Drain) End() { d.finish() }

// Ending is done once the requests in flight are ended.
func (d *Drain) Ending() context.Context { return d.ending }

// Missing returns by how much a run of the class, of which a part has been done already, would exceed the end of the process, 0
// if it can be expected to end before. Stated is the time that the class should take, 0 if unknown. A run with a deadline
// before the end of the process always ends in time.
func (d *Drain) Missing(class string, stated, done time.Duration, deadline time.Time) time.Duration {
	end := d.end.Load()
	if end == nil || !deadline.After(*end) {
		return 0
	}
	return max(0, d.expected(class, stated)-done-time.Until(*end))
}

// expected returns the time within which nearly all runs of a class end. A run under way counts with the time that it has taken so
// far, so that runs that have become slower are noticed before they end.
func (d *Drain) expected(class string, stated time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.classes[class]
	if t == nil || len(t.recent) == 0 {
		return max(stated, unknownRunTime, t.longestRunning())
	}
	known := slices.Sorted(slices.Values(t.recent))
	usual := quantile(known)
	for r := range t.running {
		if age := time.Since(r.begun); age > usual {
			known = append(known, age)
		}
	}
	slices.Sort(known)
	return time.Duration(float64(quantile(known)) * runTimeMargin)
}

// quantile returns the time within which expectedShare of the sorted times lie.
func quantile(sorted []time.Duration) time.Duration {
	return sorted[int(math.Ceil(expectedShare*float64(len(sorted))))-1]
}

func (t *runTimes) longestRunning() (longest time.Duration) {
	if t == nil {
		return 0
	}
	for r := range t.running {
		longest = max(longest, time.Since(r.begun))
	}
	return longest
}

// Start records that a run of a class begins. The caller must call End.
func (d *Drain) Start(class string) *Run {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.classes[class]
	if t == nil {
		d.makeRoom()
		t = &runTimes{running: map[*Run]struct{}{}}
		d.classes[class] = t
	}
	r := &Run{drain: d, times: t, begun: time.Now()}
	t.running[r] = struct{}{}
	return r
}

// makeRoom forgets a class if there are too many.
func (d *Drain) makeRoom() {
	if len(d.classes) < maxClasses {
		return
	}
	for class := range d.classes {
		delete(d.classes, class)
		return
	}
}

// End records the end of a run. Counted is false if its duration does not say how long runs take, for instance because the
// client has left.
func (r *Run) End(counted bool) {
	r.drain.mu.Lock()
	defer r.drain.mu.Unlock()
	t := r.times
	delete(t.running, r)
	switch {
	case !counted:
	case len(t.recent) < recentRuns:
		t.recent = append(t.recent, time.Since(r.begun))
	default:
		t.recent[t.next] = time.Since(r.begun)
		t.next = (t.next + 1) % recentRuns
	}
}
