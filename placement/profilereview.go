package placement

import (
	"cmp"
	"slices"

	"github.com/rockdoor/rockdoor/profile"
)

// maxReviewed is the maximum number of engines in one review, because requests wait for the lock meanwhile.
// The engines of larger fleets are reviewed in turn.
const maxReviewed = 512

// serviceProfiles is what the process knows of the speeds of a service's engines.
type serviceProfiles struct {
	name string
	gaps profile.Gaps
	// differ is true if the engines differ beyond noise.
	differ bool
	// engines are the engines that have been considered for requests, and reviewed is the number of those that
	// the present pass has reviewed.
	engines  []*instanceState
	reviewed int
	pass     reviewPass
	// offset is that of the present pass. lastOffset and typical are those of the pass before, if hasPassed is
	// true.
	offset, lastOffset, typical profile.Reference
	hasPassed                   bool
}

// reviewPass sums up the engines of a service. Up to maxReviewed engines are reviewed at once, others in
// several reviews: their speeds are known after two passes, and served by in the third.
type reviewPass struct {
	offsets profile.Offsets
	engines profile.References
	differ  bool
}

// reviewBuffers are reused between reviews.
type reviewBuffers struct {
	measured, peers, others []profile.Profile
	// gone are engines that have been reviewed and that are not known any more.
	gone []string
}

// ProfileStatus is what is known of the speed of one engine.
type ProfileStatus struct {
	Instance  string
	Service   string
	StartTime int64
	// Profile is what all processes know, Own what this process has measured.
	Profile, Own profile.Profile
	Class        profile.Class
	// Previous is the class before the last review.
	Previous profile.Class
	// Used is true if the engines of the service differ beyond noise.
	Used bool
}

// Unknown reports whether nothing is known of the engine any more.
func (s *ProfileStatus) Unknown() bool { return s.Profile == (profile.Profile{}) }

func (s *serviceProfiles) add(st *instanceState) {
	st.service, st.index = s, len(s.engines)
	s.engines = append(s.engines, st)
}

// dropFromReviews takes an engine out of the reviews of its service. The caller holds the lock.
func (p *Placer) dropFromReviews(st *instanceState) {
	s := st.service
	if s == nil {
		return
	}
	last := len(s.engines) - 1
	s.engines[st.index] = s.engines[last]
	s.engines[st.index].index = st.index
	s.engines[last] = nil
	s.engines, st.service = s.engines[:last], nil
}

// ReviewProfiles computes the profiles of at most maxReviewed engines, and appends them to the list, after
// empty ones of engines that are gone. The next call goes on with the engines after them.
func (p *Placer) ReviewProfiles(list []ProfileStatus) []ProfileStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.LearnsProfiles() {
		return list
	}
	for _, id := range p.review.gone {
		list = append(list, ProfileStatus{Instance: id})
	}
	p.review.gone = p.review.gone[:0]
	left := maxReviewed
	for range p.reviewOrder {
		s := p.reviewOrder[p.nextReview%len(p.reviewOrder)]
		remaining := len(s.engines) - s.reviewed
		if remaining > left && (left < maxReviewed && len(s.engines) <= maxReviewed || left == 0) {
			break // the next review has room for all of its engines
		}
		n := min(max(remaining, 0), left)
		list = p.reviewService(s, n, list)
		left -= n
		if s.reviewed > 0 {
			break
		}
		p.nextReview = (p.nextReview + 1) % len(p.reviewOrder)
	}
	return list
}

// reviewService reviews the next n engines of a service.
func (p *Placer) reviewService(s *serviceProfiles, n int, list []ProfileStatus) []ProfileStatus {
	whole := s.reviewed == 0 && n == len(s.engines)
	if whole {
		// In the same order each time, because the sums of floating-point numbers depend on it.
		slices.SortFunc(s.engines, func(a, b *instanceState) int { return cmp.Compare(a.id, b.id) })
		for n, st := range s.engines {
			st.index = n
		}
	}
	batch := s.engines[min(s.reviewed, len(s.engines)):][:n]
	b := &p.review
	b.measured, b.peers, b.others = b.measured[:0], b.peers[:0], b.others[:0]
	for _, st := range batch {
		measured, peers, others := p.knownOf(st)
		b.measured, b.peers, b.others = append(b.measured, measured), append(b.peers, peers), append(b.others, others)
		s.pass.offsets.Add(measured, others)
	}
	if whole {
		s.offset = s.pass.offsets.Reference()
		s.merge(batch, b)
		s.compare(batch, b, s.offset, s.pass.engines.Reference())
	} else {
		if s.hasPassed {
			s.compare(batch, b, s.lastOffset, s.typical)
		}
		s.merge(batch, b)
	}
	if s.reviewed += n; s.reviewed >= len(s.engines) {
		s.lastOffset, s.offset, s.typical = s.offset, s.pass.offsets.Reference(), s.pass.engines.Reference()
		s.differ, s.hasPassed = s.pass.differ, true
		s.pass, s.reviewed = reviewPass{}, 0
	}
	for _, st := range batch {
		if st.profile != nil {
			list = append(list, st.applyReview(s.differ))
		}
	}
	return list
}

// merge merges what is known of each engine, in the scale of the peers.
func (s *serviceProfiles) merge(batch []*instanceState, b *reviewBuffers) {
	for n, st := range batch {
		if st.profile == nil {
			s.pass.engines.Add(profile.Profile{})
			continue
		}
		st.profile.unscaled = b.measured[n].RelativeTo(s.offset).Merge(b.peers[n]).WithPrior(st.profile.prior)
		s.pass.engines.Add(st.profile.unscaled)
	}
}

// compare compares engines with the typical one of the pass in which they were last merged.
func (s *serviceProfiles) compare(batch []*instanceState, b *reviewBuffers, offset, typical profile.Reference) {
	for n, st := range batch {
		if e := st.profile; e != nil {
			e.merged, e.own = e.unscaled.RelativeTo(typical), b.measured[n].RelativeTo(offset).RelativeTo(typical)
			s.pass.differ = s.pass.differ || e.merged.Differs(s.differ)
		}
	}
}

// knownOf returns what this process has measured of an engine, what its peers have, and the latter together
// with what was known before.
func (p *Placer) knownOf(st *instanceState) (measured, peers, others profile.Profile) {
	if p.peerProfiles != nil {
		peers = p.peerProfiles(st.id, st.startTime)
	}
	if peers != (profile.Profile{}) {
		st.knownProfile()
	}
	if st.profile == nil {
		return measured, peers, peers
	}
	return st.profile.measured.Profile(), peers, peers.WithPrior(st.profile.prior)
}

// applyReview has the engine served by its profile if the engines of its service differ.
func (s *instanceState) applyReview(differ bool) ProfileStatus {
	e := s.profile
	used := e.merged.AcrossStages()
	e.use(used, differ)
	before := e.class
	e.class = used.Class(before)
	return ProfileStatus{
		Instance: s.id, Service: s.service.name, StartTime: s.startTime, Profile: used, Own: e.own, Class: e.class, Previous: before, Used: differ,
	}
}
