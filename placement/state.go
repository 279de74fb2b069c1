package placement

import (
	"time"

	"github.com/rockdoor/rockdoor/fleet"
)

const (
	// paceStep is the weight of a new measurement of an engine's pace.
	paceStep = 0.1
	// minPace and maxPace bound the pace against single odd measurements.
	minPace = 0.5
	maxPace = 12.0
	// gapStep is the weight of one gap between events, of which a stream has tens.
	gapStep = 0.05
	// maxGaps is how many equal gaps count: more change nothing.
	maxGaps = 100
	// failureStep is the weight of one outcome in the share of failures.
	failureStep = 0.2
	// failureFade is the time in which an old share of failures halves, so that
	// an instance that recovered is tried again.
	failureFade = 2 * time.Second
	// failurePenalty is how much worse an instance that always fails looks.
	failurePenalty = 30.0
	// unreachableShare is the share of failures that one vain connection counts
	// for: whatever listened there is most likely gone.
	unreachableShare = 0.8
)

// Load is work in hand at an instance.
type Load struct {
	Requests int `json:"requests"`
	// Pending are the prompts that are still to be read.
	Pending PendingByRank `json:"unread"`
	// Starting are the requests that were sent to generate and whose answers have
	// not begun.
	Starting int `json:"starting"`
	// LongResponses are the requests to engines whose answers last for seconds.
	LongResponses int `json:"long"`
}

// Add returns the sum of two loads.
func (l Load) Add(m Load) Load {
	return Load{l.Requests + m.Requests, l.Pending.add(m.Pending), l.Starting + m.Starting, l.LongResponses + m.LongResponses}
}

// Sub returns the difference of two loads.
func (l Load) Sub(m Load) Load {
	return Load{l.Requests - m.Requests, l.Pending.sub(m.Pending), l.Starting - m.Starting, l.LongResponses - m.LongResponses}
}

// state is what is known about one instance.
type state struct {
	id string
	// born is that of the run that all this is about.
	born int64
	// own is what this process has in hand there.
	own Load
	// pace is how much longer the engine takes than the model says.
	pace float64
	// failures is the share of recent requests that failed, as of failedAt.
	failures float64
	failedAt time.Time
	breaker  breaker
	// replaced instances have lost their address to another.
	replaced bool
	cache    *prefixCache
	// reads counts the prompts that it is known to have read.
	reads uint64
	// gap is the smoothed time between two events of a stream from there, in ms, 0
	// if it is not known.
	gap float64
}

// state returns what is known about an instance. What was known of an earlier run of it is
// forgotten but for the work in hand, which ends by itself.
func (p *Placer) state(i *fleet.Instance) *state {
	st := p.stateOf(i.ID)
	if st.born != i.StartTime {
		own := st.own
		*st = *newState(i.ID)
		st.born, st.own = i.StartTime, own
	}
	return st
}

func newState(id string) *state { return &state{id: id, pace: 1, cache: newPrefixCache()} }

func (p *Placer) stateOf(id string) *state {
	st := p.instances[id]
	if st == nil {
		st = newState(id)
		p.instances[id] = st
	}
	return st
}

// read takes in that the instance has read a prompt.
func (s *state) read(parts []Part, own int) {
	s.cache.read(parts, own)
	s.reads++
}

// load returns what all processes have in hand.
func (p *Placer) load(st *state) Load { return st.own.Add(p.peers(st.id)) }

// penalty is the factor by which an instance looks worse for its failures.
func (s *state) penalty(now time.Time) float64 {
	age := now.Sub(s.failedAt).Seconds() / failureFade.Seconds()
	return 1 + failurePenalty*s.failures/(1+age*age)
}

// outcome takes in how an attempt ended that began at begun.
func (s *state) outcome(failed bool, begun, now time.Time) {
	if failed {
		s.breaker.fail(now)
	} else {
		s.breaker.sound(begun)
	}
	share := 0.0
	if failed {
		share, s.failedAt = 1, now
	}
	s.failures += (share - s.failures) * failureStep
	if s.failures < failureStep/10 {
		s.failures = 0
	}
}

// unreachable records that the instance could not be connected to.
func (s *state) unreachable(now time.Time) {
	s.breaker.fail(now)
	s.failures, s.failedAt = max(s.failures, unreachableShare), now
}

// measure takes in how long a read took against what was expected.
func (s *state) measure(took, expected float64) {
	if expected <= 0 {
		return
	}
	ratio := min(max(took/expected, minPace), maxPace)
	s.pace += (ratio - s.pace) * paceStep
}

// observeGap takes in the time between two events.
func (s *state) observeGap(ms float64) {
	if s.gap == 0 {
		s.gap = ms
		return
	}
	s.gap += (ms - s.gap) * gapStep
}

// LocalLoads returns what this process has in hand at each instance where it has any. It costs what those are,
// not what there is: it is asked for each digest.
func (p *Placer) LocalLoads() map[string]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]Load{}
	for id, st := range p.busy {
		if st.own == (Load{}) {
			delete(p.busy, id)
			continue
		}
		out[id] = st.own
	}
	return out
}

// PendingPrompts returns how many prompts of this process wait to be read or are being read.
func (p *Placer) PendingPrompts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, st := range p.busy {
		n += st.own.Pending.All().Prompts
	}
	return n
}

// Retain forgets all instances but those that keep names.
func (p *Placer) Retain(keep func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, st := range p.instances {
		if st.own == (Load{}) && !keep(id) {
			delete(p.busy, id)
			delete(p.instances, id)
		}
	}
}
