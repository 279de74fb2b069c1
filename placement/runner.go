package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/roles"
)

const (
	// farShare is how much more of its slots an instance of the own failure domain
	// may have in hand than one elsewhere.
	farShare = 0.15
	// moveShare is the same for an engine elsewhere than the one that read the prompt:
	// its memory takes twice as long to get there.
	moveShare = 0.3
	// spareShare is the same for an engine that should stay free to read.
	spareShare = 0.5
	// tieBreak spreads the choices of processes that see the same loads.
	tieBreak = 0.5
)

// chooseRunner picks the instance with the least work, in the own failure domain
// if that makes no great difference.
func (p *Placer) chooseRunner(plan *Plan, j *Job, runners []*fleet.Instance) {
	spare := p.spare(j, plan, runners)
	usual := p.usualGap(runners)
	best := math.Inf(1)
	for _, r := range runners {
		st := p.state(r)
		if p.full(&j.Service, r, st) {
			continue
		}
		score := p.runnerScore(j, r, st, usual) + p.tie(r)
		if spare[r.ID] {
			score += spareShare * float64(r.Slots)
		}
		if plan.PrefillEngine != nil && r.Domain != plan.PrefillEngine.Domain && p.policy.Has(RunnerNearReader) {
			score += moveShare * float64(r.Slots)
		}
		if score < best {
			best = score
			plan.Target = r
		}
	}
	if plan.Target == nil {
		plan.Reason, plan.RetryAfter = ReasonFull, fullRetry
	} else if plan.PrefillEngine == nil {
		plan.Reason = ReasonLeast
	}
}

// spare returns the engines that generate now but are the next to read prompts. An
// engine that changes its role finishes what it has first, which takes as long as
// its longest answer, so long answers are kept away from these. A prompt that was
// read apart has a short one.
func (p *Placer) spare(j *Job, plan *Plan, runners []*fleet.Instance) map[string]bool {
	if j.Service.KVCapacity == 0 || plan.PrefillEngine != nil || len(runners) < 2 || !p.policy.Has(SpareRunners) {
		return nil
	}
	requests, slots := 0, 1
	for _, r := range runners {
		requests += p.load(p.state(r)).Requests
		slots = max(slots, r.Slots)
	}
	keep := roles.Generating(float64(requests), slots, len(j.Permitted))
	if keep >= len(runners) {
		return nil
	}
	out := map[string]bool{}
	for _, r := range byDomain(runners)[keep:] {
		out[r.ID] = true
	}
	return out
}

// byDomain returns instances in an order that is the same in all processes, in
// which failure domains take turns.
func byDomain(instances []*fleet.Instance) []*fleet.Instance {
	type placed struct {
		*fleet.Instance
		turn int
	}
	turns := map[string]int{}
	var all []placed
	for _, i := range instances { // in the order of their IDs
		all = append(all, placed{i, turns[i.Domain]})
		turns[i.Domain]++
	}
	slices.SortStableFunc(all, func(a, b placed) int {
		return cmp.Or(cmp.Compare(a.turn, b.turn), cmp.Compare(a.Domain, b.Domain))
	})
	out := make([]*fleet.Instance, len(all))
	for n, i := range all {
		out[n] = i.Instance
	}
	return out
}

// usualGap returns the median of the times between events at the runners, in ms, 0
// if none is known.
func (p *Placer) usualGap(runners []*fleet.Instance) float64 {
	var gaps []float64
	for _, r := range runners {
		if gap := p.state(r).gap; gap > 0 {
			gaps = append(gaps, gap)
		}
	}
	if len(gaps) == 0 {
		return 0
	}
	slices.Sort(gaps)
	return gaps[(len(gaps)-1)/2]
}

// slowness is how much longer a runner takes than is usual. Its requests last so
// much longer, so it should have as many fewer.
func (s *state) slowness(usual float64) float64 {
	if s.gap == 0 || usual == 0 {
		return 1
	}
	return max(1, s.gap/usual)
}

// full reports whether a runner has as much in hand as it takes: requests wait for a
// slot, and each needs a connection.
func (p *Placer) full(s *fleet.Service, r *fleet.Instance, st *state) bool {
	requests := p.load(st).Requests
	queued := r.Slots > 0 && float64(requests) >= queueFactor*float64(r.Slots) && p.policy.Has(QueueLimit)
	return queued || s.MaxConns > 0 && requests >= s.MaxConns
}

// runnerScore grows with how unfit a runner is, where usual is the usual time
// between events.
func (p *Placer) runnerScore(j *Job, r *fleet.Instance, st *state, usual float64) float64 {
	load := p.load(st)
	work := float64(load.Requests) + 1
	if p.policy.Has(StartingCounts) {
		work += startingWeight * float64(load.Starting)
	}
	score := work * p.penalty(st)
	if p.policy.Has(SlowRunners) {
		score *= st.slowness(usual)
	}
	if r.Domain != j.Domain && p.policy.Has(NearRunner) {
		score += farShare * float64(r.Slots)
	}
	return score
}
