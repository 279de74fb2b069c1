package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/roles"
)

const (
	// The shares below are added to the score of an instance, as a share of its slots.
	//
	// remoteShare applies to an instance in another failure domain.
	remoteShare = 0.15
	// transferShare applies to an engine in another failure domain than the prefill engine, because
	// the KV cache takes twice as long to get there.
	transferShare = 0.3
	// prefillCandidateShare applies to an engine that is likely to become a prefill engine.
	prefillCandidateShare = 0.5
	// tieBreak is the maximum random addition to a score, in requests, which spreads the choices of
	// processes that see equal loads.
	tieBreak = 0.5
)

// chooseTarget picks the instance with the lowest score that is not full.
func (p *Placer) chooseTarget(plan *Plan, j *Job, targets []*fleet.Instance) {
	nextPrefill := p.prefillCandidates(j, plan, targets)
	medianGap := p.medianGap(targets)
	best := math.Inf(1)
	for _, r := range p.fittingTargets(j, targets) {
		st := p.state(r)
		if p.isFull(&j.Service, r, st) {
			continue
		}
		score := p.targetScore(j, r, st, medianGap) + p.tieBreaker(r)
		if nextPrefill[r.ID] {
			score += prefillCandidateShare * float64(r.Slots)
		}
		if plan.PrefillEngine != nil && r.Domain != plan.PrefillEngine.Domain && p.policy.Has(TargetNearPrefill) {
			score += transferShare * float64(r.Slots)
		}
		if score < best {
			best = score
			plan.Target = r
		}
	}
	if plan.Target == nil {
		plan.Reason, plan.RetryAfter = ReasonFull, fullRetryAfter
	} else if plan.PrefillEngine == nil {
		plan.Reason = ReasonLeastWork
	}
}

// prefillCandidates returns the engines that decode at present but are likely to become prefill
// engines next. An engine finishes its requests before it changes its role, which takes as long as
// its longest response, so long responses should go elsewhere. Requests with a separate prefill are
// exempt, because their responses are short.
func (p *Placer) prefillCandidates(j *Job, plan *Plan, targets []*fleet.Instance) map[string]bool {
	if j.Service.KVCapacity == 0 || plan.PrefillEngine != nil || len(targets) < 2 || !p.policy.Has(SparePrefillCandidates) {
		return nil
	}
	requests, slots := 0, 1
	for _, r := range targets {
		requests += p.load(p.state(r)).Requests
		slots = max(slots, r.Slots)
	}
	decodeEngines := roles.MinDecodeEngines(float64(requests), slots, len(j.Permitted))
	if decodeEngines >= len(targets) {
		return nil
	}
	out := map[string]bool{}
	for _, r := range interleaveDomains(targets)[decodeEngines:] {
		out[r.ID] = true
	}
	return out
}

// interleaveDomains orders instances round-robin over the failure domains. The order is the same in
// all processes.
func interleaveDomains(instances []*fleet.Instance) []*fleet.Instance {
	type roundInstance struct {
		*fleet.Instance
		round int
	}
	nextRound := map[string]int{}
	var all []roundInstance
	for _, i := range instances { // in the order of their IDs
		all = append(all, roundInstance{i, nextRound[i.Domain]})
		nextRound[i.Domain]++
	}
	slices.SortStableFunc(all, func(a, b roundInstance) int {
		return cmp.Or(cmp.Compare(a.round, b.round), cmp.Compare(a.Domain, b.Domain))
	})
	out := make([]*fleet.Instance, len(all))
	for n, i := range all {
		out[n] = i.Instance
	}
	return out
}

// medianGap returns the median over the targets of the smoothed time between events, in ms, 0 if no
// time is known.
func (p *Placer) medianGap(targets []*fleet.Instance) float64 {
	var gaps []float64
	for _, r := range targets {
		if gap := p.state(r).gapMs; gap > 0 {
			gaps = append(gaps, gap)
		}
	}
	if len(gaps) == 0 {
		return 0
	}
	slices.Sort(gaps)
	return gaps[(len(gaps)-1)/2]
}

// relativeGap returns the target's gap between events relative to that of an engine of its speed, by the
// median, at least 1. Its requests last longer by this factor, so it should have fewer by the same factor.
func (s *instanceState) relativeGap(medianGap float64) float64 {
	if s.gapMs == 0 || medianGap == 0 {
		return 1
	}
	return max(1, s.gapMs/medianGap*s.decodeSpeed())
}

// isFull reports whether a target is at its maximum of requests in flight, because of the queue for
// its slots or because of its connection limit.
func (p *Placer) isFull(s *fleet.Service, r *fleet.Instance, st *instanceState) bool {
	requests := p.load(st).Requests
	queued := r.Slots > 0 && float64(requests) >= maxRequestsPerSlot*float64(r.Slots) && p.policy.Has(QueueLimit)
	return queued || s.MaxConns > 0 && requests >= s.MaxConns
}

// targetScore rates a target; lower is better. medianGap is the median gap between events of all
// targets, in ms.
func (p *Placer) targetScore(j *Job, r *fleet.Instance, st *instanceState, medianGap float64) float64 {
	load := p.load(st)
	work := float64(load.Requests) + 1
	if p.policy.Has(StartingCounts) {
		work += startingWeight * float64(load.Starting)
	}
	score := work * p.penalty(st)
	score /= st.decodeSpeed()
	if p.policy.Has(SlowTargets) {
		score *= st.relativeGap(medianGap)
	}
	if r.Domain != j.Domain && p.policy.Has(LocalTarget) {
		score += remoteShare * float64(r.Slots)
	}
	return score
}
