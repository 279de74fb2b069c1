package placement

import (
	"cmp"
	"math"

	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/profile"
)

const (
	// minModelSamples is the number of measurements after which the prefill model is precise enough to
	// measure engines by.
	minModelSamples = 20
	// minProfileGaps is the number of gaps of a response whose mean measures an engine.
	minProfileGaps = 4
	// nearlyFastest is the ratio to the shortest expected gap up to which engines count as the fastest, so
	// that the responses that fit no engine don't all run on one.
	nearlyFastest = 1.2
)

// engineProfile is what the process knows of the speed of one engine.
type engineProfile struct {
	measured profile.Measurement
	// prior is what was known before this run of the engine or of this process.
	prior profile.Profile
	gaps  profile.EngineGaps
	// unscaled is what all processes know, before it is compared with the typical engine.
	unscaled profile.Profile
	// merged and own are results of the last review: what all processes know, and what this one has
	// measured, both relative to the typical engine.
	merged, own profile.Profile
	class       profile.Class
	// usedPrefillSpeed and usedDecodeSpeed are the speeds by which the engine is served, 0 if they are
	// unknown or the service's engines don't differ.
	usedPrefillSpeed, usedDecodeSpeed float64
}

// SetPeerProfiles sets the source of the profiles of an engine's run by the measurements of the other
// processes. It must be called before the placer is used.
func (p *Placer) SetPeerProfiles(peers func(instance string, startTime int64) profile.Profile) {
	p.peerProfiles = peers
}

// RestoreProfile sets what is known of an engine from before this process started. Measurements take its
// place. The caller bounds the number of engines.
func (p *Placer) RestoreProfile(instance string, prior profile.Profile) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if prior == (profile.Profile{}) || !p.LearnsProfiles() {
		return
	}
	st := p.instances[instance]
	switch {
	case st == nil && p.restoredProfiles == nil:
		p.restoredProfiles = map[string]profile.Profile{instance: prior.AsPrior()}
	case st == nil:
		p.restoredProfiles[instance] = prior.AsPrior()
	case st.knownProfile().prior == (profile.Profile{}):
		st.profile.prior = prior.AsPrior()
	}
}

// LearnsProfiles reports whether the profiles of engines are learned.
func (p *Placer) LearnsProfiles() bool { return p.features.EngineProfiles && p.policy.Has(Profiles) }

// serviceProfiles returns the profiles of a service. The caller holds the lock.
func (p *Placer) serviceProfiles(service string) *serviceProfiles {
	s := p.profiles[service]
	if s == nil {
		s = &serviceProfiles{name: service}
		p.profiles[service] = s
		p.reviewOrder = append(p.reviewOrder, s)
	}
	return s
}

// usesProfiles reports whether the engines of a service are known to differ in speed.
func (p *Placer) usesProfiles(service string) bool {
	s := p.profiles[service]
	return s != nil && s.differ
}

// decodeSpeed returns the engine's speed relative to the typical engine, 1 if it is unknown or the service's
// engines don't differ.
func (s *instanceState) decodeSpeed() float64 {
	if s.profile == nil {
		return 1
	}
	return cmp.Or(s.profile.usedDecodeSpeed, 1)
}

func (s *instanceState) prefillSpeed() float64 {
	if s.profile == nil {
		return 1
	}
	return cmp.Or(s.profile.usedPrefillSpeed, 1)
}

// ofNextRun returns what is known of the next run of an engine, nil if nothing is.
func (e *engineProfile) ofNextRun() *engineProfile {
	if e == nil {
		return nil
	}
	prior := e.merged.WithPrior(e.prior).AsPrior()
	if prior == (profile.Profile{}) {
		return nil
	}
	return &engineProfile{prior: prior}
}

// use sets the speeds by which the engine is served.
func (e *engineProfile) use(speeds profile.Profile, differ bool) {
	e.usedPrefillSpeed, e.usedDecodeSpeed = 0, 0
	if differ && speeds.Prefill.Known() {
		e.usedPrefillSpeed = speeds.Prefill.Speed()
	}
	if differ && speeds.Decode.Known() {
		e.usedDecodeSpeed = speeds.Decode.Speed()
	}
}

// Speeds returns the prefill and the decode speed of an instance relative to the typical engine of its
// service, 1 if they are unknown or the service's engines don't differ.
func (p *Placer) Speeds(instance string) (prefill, decode float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if st := p.instances[instance]; st != nil {
		return st.prefillSpeed(), st.decodeSpeed()
	}
	return 1, 1
}

// knownProfile returns the profile of an engine of whose speed something is known. The caller holds the lock.
func (s *instanceState) knownProfile() *engineProfile {
	if s.profile == nil {
		s.profile = &engineProfile{}
	}
	return s.profile
}

// profilePrefill measures an engine by a prefill that took longer or shorter than expected of a typical
// one.
func (t *Ticket) profilePrefill(st *instanceState, tookMs float64) {
	if !t.p.LearnsProfiles() || t.model.samples < minModelSamples || t.expectedMs <= 0 {
		return
	}
	st.knownProfile().measured.AddPrefill(t.p.now(), tookMs/t.expectedMs)
}

// profileDecode measures an engine by the gaps of a response that ends. The caller holds the lock.
func (t *Ticket) profileDecode() {
	st := t.targetState
	if !t.p.LearnsProfiles() || t.gaps < minProfileGaps || t.targetSlots == 0 || st.service == nil {
		return
	}
	load := float64(t.requestsAtStart+t.p.load(st).Requests) / 2 / float64(t.targetSlots)
	ratio := st.service.gaps.Observe(&st.knownProfile().gaps, t.gapTotalMs/float64(t.gaps), load, st.decodeSpeed())
	if ratio > 0 {
		st.profile.measured.AddDecode(t.p.now(), ratio)
	}
}

// expectedGapMs returns the expected time between two events of one more response at an engine, 0 if it is
// unknown. The caller holds the lock.
func (p *Placer) expectedGapMs(r *fleet.Instance, st *instanceState) float64 {
	if st.profile == nil || st.profile.usedDecodeSpeed == 0 {
		return st.gapMs
	}
	load := float64(p.load(st).Requests+1) / float64(max(r.Slots, 1))
	return p.serviceProfiles(r.Service).gaps.Typical(load) / st.decodeSpeed()
}

// fittingTargets returns the targets at which the response is expected to end before the client's deadline,
// by the 90th percentile of the lengths of its route. If there are none, it returns the fastest. It returns
// all if the engines don't differ or the lengths are not known.
func (p *Placer) fittingTargets(j *Job, targets []*fleet.Instance) []*fleet.Instance {
	if j.ResponseTime <= 0 || len(targets) < 2 || !p.usesProfiles(j.Service.Name) {
		return targets
	}
	length, known := p.lengths.Estimate(j.Route.Name, j.Workspace)
	if !known {
		return targets
	}
	gaps, fastest := make([]float64, len(targets)), math.Inf(1)
	for n, r := range targets {
		st := p.state(r)
		if p.isFull(&j.Service, r, st) {
			gaps[n] = math.Inf(1)
			continue
		}
		gaps[n] = p.expectedGapMs(r, st)
		if gaps[n] > 0 { // an engine of unknown gap is tried, but is not the measure of the others
			fastest = min(fastest, gaps[n])
		}
	}
	longest := max(toMillis(j.ResponseTime)/length.P90, fastest*nearlyFastest)
	var out []*fleet.Instance
	for n, r := range targets {
		if !(gaps[n] > longest) {
			out = append(out, r)
		}
	}
	return out
}
