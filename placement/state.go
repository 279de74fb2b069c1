package placement

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rockdoor/rockdoor/fleet"
)

const (
	// slowdownSmoothing is the weight of a new measurement in an engine's slowdown factor.
	slowdownSmoothing = 0.1
	// minSlowdown and maxSlowdown bound the effect of single measurements.
	minSlowdown = 0.5
	maxSlowdown = 12.0
	// gapSmoothing is the weight of one gap between events. A stream has tens of gaps.
	gapSmoothing = 0.05
	// maxGapSamples is the maximum number of equal gaps that are averaged in. More would hardly
	// change the result.
	maxGapSamples = 100
	// failureSmoothing is the weight of one outcome in the failure rate.
	failureSmoothing = 0.2
	// failureHalfLife is the time after which the penalty for past failures has halved, so that an
	// instance that has recovered is used again.
	failureHalfLife = 2 * time.Second
	// failurePenalty is added to the factor on the score of an instance that always fails. The factor
	// is 1 for an instance without failures.
	failurePenalty = 30.0
	// unreachableFailureShare is the minimum failure rate after a failed connection, since the
	// process there has most likely terminated.
	unreachableFailureShare = 0.8
)

// Load is the work in flight at an instance.
type Load struct {
	Requests int `json:"requests"`
	// Pending holds the prompts pending prefill.
	Pending PendingByRank `json:"unread"`
	// Starting counts the requests whose target was chosen and whose responses have not begun.
	Starting int `json:"starting"`
	// LongResponses counts requests to engines without a separate prefill, whose responses take
	// seconds.
	LongResponses int `json:"long"`
}

func (l Load) Add(m Load) Load {
	return Load{l.Requests + m.Requests, l.Pending.add(m.Pending), l.Starting + m.Starting, l.LongResponses + m.LongResponses}
}

func (l Load) Sub(m Load) Load {
	return Load{l.Requests - m.Requests, l.Pending.sub(m.Pending), l.Starting - m.Starting, l.LongResponses - m.LongResponses}
}

// instanceState is what this process has recorded about one instance.
type instanceState struct {
	id string
	// startTime is that of the run that the state belongs to.
	startTime int64
	// local is the load of this process.
	local Load
	// slowdown is the ratio of measured prefill times to the model's estimates.
	slowdown float64
	// failureRate is the smoothed share of attempts that failed. failedAt is the time of the last
	// failure.
	failureRate float64
	failedAt    time.Time
	breaker     breaker
	// misdirection is set by responses that state that a request was not meant for the instance.
	misdirection misdirection
	// silence is set by attempts without a response.
	silence silence
	// draws counts the jobs that could have been a probe.
	draws uint64
	cache *prefixCache
	// prefills counts the prompts that the engine is known to have prefilled.
	prefills uint64
	// gapMs is the smoothed time between two events of a stream, in ms, 0 if unknown.
	gapMs float64
	// service is the service under which the engine's profile is reviewed, and index the engine's place in
	// it. service is nil if profiles are off, and until the engine is first considered for a request.
	service *serviceProfiles
	index   int
	// profile is nil until something is known of the engine's speed.
	profile *engineProfile
}

// state returns the state of an instance. If a new run of the instance has started, the state is
// reset, except for the load in flight, whose tickets are still open. Its profile has little weight for
// the new run.
func (p *Placer) state(i *fleet.Instance) *instanceState {
	st := p.stateByID(i.ID)
	if st.startTime != i.StartTime {
		p.observeSuspensions(st, func() { st.reset(i.StartTime, p.now()) })
	}
	if !st.misdirection.isOf(i) {
		p.observeSuspensions(st, func() { st.misdirection.observeRegistration(i, p.now()) })
	}
	if p.LearnsProfiles() && (st.service == nil || st.service.name != i.Service) {
		p.dropFromReviews(st)
		p.serviceProfiles(i.Service).add(st)
	}
	return st
}

// reset drops the state, for a new run of the instance that started at startTime.
func (s *instanceState) reset(startTime int64, now time.Time) {
	before := *s
	*s = *newState(s.id)
	s.startTime, s.local, s.service, s.index = startTime, before.local, before.service, before.index
	s.profile = before.profile.ofNextRun()
	s.misdirection.changedAt = now
}

func newState(id string) *instanceState {
	return &instanceState{id: id, slowdown: 1, cache: newPrefixCache()}
}

func (p *Placer) stateByID(id string) *instanceState {
	st := p.instances[id]
	if st == nil {
		st = newState(id)
		p.instances[id] = st
		if prior, ok := p.restoredProfiles[id]; ok {
			delete(p.restoredProfiles, id)
			st.knownProfile().prior = prior
		}
	}
	return st
}

// recordPrefill records that the instance, one of a number of them, has prefilled a prompt.
func (s *instanceState) recordPrefill(parts []Part, unshared, instances int) {
	s.cache.limitEntries(instances)
	s.cache.add(parts, unshared)
	s.prefills++
}

// load returns the load from all processes.
func (p *Placer) load(st *instanceState) Load { return st.local.Add(p.peerLoad(st.id)) }

// penalty returns the factor by which recent failures worsen the instance's score.
func (s *instanceState) penalty(now time.Time) float64 {
	age := now.Sub(s.failedAt).Seconds() / failureHalfLife.Seconds()
	return 1 + failurePenalty*s.failureRate/(1+age*age)
}

// recordSend records that a request is sent to the instance.
func (s *instanceState) recordSend(now time.Time) {
	s.breaker.recordSend(now)
	s.misdirection.recordSend(now)
	s.silence.recordSend(now)
}

// drawProbe draws whether a job may be a probe. The result follows from the number of the draw, but has no period
// with which the requests of one client could coincide.
func (s *instanceState) drawProbe() bool {
	s.draws++
	return xxhash.Sum64String(s.id+strconv.FormatUint(s.draws, 10))%jobsPerProbe == 0
}

// recordOutcome records the end of an attempt that began at startedAt.
func (s *instanceState) recordOutcome(failed bool, startedAt, now time.Time) {
	if failed {
		s.breaker.recordFailure(now)
	} else {
		s.breaker.recordSuccess(startedAt)
	}
	outcome := 0.0
	if failed {
		outcome, s.failedAt = 1, now
	}
	s.failureRate += (outcome - s.failureRate) * failureSmoothing
	if s.failureRate < failureSmoothing/10 {
		s.failureRate = 0
	}
}

// recordUnreachable records that the connection to the instance failed.
func (s *instanceState) recordUnreachable(now time.Time) {
	s.breaker.recordFailure(now)
	s.failureRate, s.failedAt = max(s.failureRate, unreachableFailureShare), now
}

// observePrefill updates the slowdown factor from a prefill's measured and expected times.
func (s *instanceState) observePrefill(took, expected float64) {
	if expected <= 0 {
		return
	}
	ratio := min(max(took/expected, minSlowdown), maxSlowdown)
	s.slowdown += (ratio - s.slowdown) * slowdownSmoothing
}

// observeGap updates the smoothed time between events.
func (s *instanceState) observeGap(ms float64) {
	if s.gapMs == 0 {
		s.gapMs = ms
		return
	}
	s.gapMs += (ms - s.gapMs) * gapSmoothing
}

// LocalLoads returns the load of this process by instance, without idle instances. It runs for each
// load digest, so it visits only the busy instances.
func (p *Placer) LocalLoads() map[string]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]Load{}
	for id, st := range p.busy {
		if st.local == (Load{}) {
			delete(p.busy, id)
			continue
		}
		out[id] = st.local
	}
	return out
}

// PendingPrompts returns the number of this process's prompts that are pending or being prefilled.
func (p *Placer) PendingPrompts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, st := range p.busy {
		n += st.local.Pending.All().Prompts
	}
	return n
}

// Retain drops the state of all instances for which keep returns false and which have no requests
// in flight from this process.
func (p *Placer) Retain(keep func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, st := range p.instances {
		if st.local == (Load{}) && !keep(id) {
			p.dropFromReviews(st)
			if st.profile != nil && st.profile.class != "" {
				p.review.gone = append(p.review.gone, id)
			}
			delete(p.busy, id)
			delete(p.instances, id)
		}
	}
}
