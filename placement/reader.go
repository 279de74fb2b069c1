package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rockdoor/rockdoor/fleet"
)

const (
	// farRead is how much longer, in ms, a reader of the own failure domain may take
	// than one elsewhere: the body crosses to there, and the memory back.
	farRead = 20.0
	// fetchedCost is the part of the shared tokens that is expected to be read at
	// an engine that takes them from another: the move costs little, but they may
	// have given way there.
	fetchedCost = 0.15
	// targetShare is the part of the latency target within which an answer must be
	// expected for the request not to be late. Estimates err: without
	// a margin requests on the edge are late.
	targetShare = 0.85
	// strangerRead is how much longer, in ms, the home of a subject may take than
	// another engine: what nobody keeps is best kept in one place.
	strangerRead = 3.0
)

// chooseReader picks the engine that is expected to have read the prompt first.
// A request that no engine is expected to read in time goes where the least waits
// in all, since it is read when nothing else is.
func (p *Placer) chooseReader(plan *Plan, j *Job, parts []Part, readers []*fleet.Instance) {
	k := p.keepers(j, parts, readers)
	p.chooseInTime(plan, j, readers, k)
	if plan.Late = j.Remaining <= 0 || p.tooLate(j, plan); !plan.Late {
		return
	}
	p.chooseLeast(plan, j, readers, k, p.rankOf(j.Route, true))
	plan.Reason = ReasonLate
	if all := plan.QueueDelay + plan.PrefillTime; all > j.Remaining && p.policy.Has(RefuseHopeless) {
		plan.PrefillEngine, plan.Reason = nil, ReasonHopeless
		plan.RetryAfter = max(all-j.Route.LatencyTarget, minRetry)
	}
}

// chooseInTime picks a reader for a prompt that is expected in time. One of a workspace that has
// little in hand, and that would be late, is read before all others, so that a workspace that
// sends more than the readers can do starves none.
func (p *Placer) chooseInTime(plan *Plan, j *Job, readers []*fleet.Instance, k keepers) {
	rank := p.rankOf(j.Route, false)
	p.chooseLeast(plan, j, readers, k, rank)
	if rank == firstRank || !p.tooLate(j, plan) {
		return
	}
	busy := p.model(j.Service.Name).Busy(Backlog{1, PrefillWork(j.Call.PromptTokens, plan.Uncached)})
	if p.sharesOf(j.Service.Name).small(j.Workspace, busy) {
		p.chooseLeast(plan, j, readers, k, firstRank)
	}
}

// tooLate reports whether the answer that a plan leads to is not expected within its
// target.
func (p *Placer) tooLate(j *Job, plan *Plan) bool {
	estimate := plan.QueueDelay + plan.PrefillTime + millis(p.model(j.Service.Name).after)
	share := targetShare
	if !p.policy.Has(TargetMargin) {
		share = 1
	}
	return j.Route.LatencyTarget > 0 && estimate > time.Duration(share*float64(j.Route.LatencyTarget))-j.Elapsed
}

// chooseLeast picks the reader with the shortest time until the prompt is read at a
// rank.
func (p *Placer) chooseLeast(plan *Plan, j *Job, readers []*fleet.Instance, k keepers, rank int) {
	plan.Rank = rank
	plan.PrefillEngine = nil
	best := math.Inf(1)
	var chosen estimate
	for _, r := range readers {
		e := p.estimate(j, r, k, rank)
		if e.score < best {
			best, chosen = e.score, e
			plan.PrefillEngine = r
		}
	}
	plan.Uncached, plan.QueueDelay, plan.PrefillTime = chosen.uncached, millis(chosen.ahead), millis(chosen.read)
	plan.FetchFrom = nil
	if chosen.fetched > 0 {
		plan.FetchFrom = k.most
	}
	switch {
	case chosen.fetched > 0:
		plan.Reason = ReasonFetch
	case chosen.kept > 0:
		plan.Reason = ReasonCacheHolder
	case plan.PrefillEngine == k.home:
		plan.Reason = ReasonHome
	default:
		plan.Reason = ReasonSpill
	}
}

// keepers are the engines that are expected to keep the shared parts of a prompt.
type keepers struct {
	parts []Part
	// home is where a subject that nobody keeps is read.
	home *fleet.Instance
	// most keeps the most tokens of the parts, kept; nil if none keeps any.
	most *fleet.Instance
	kept int
}

func (p *Placer) keepers(j *Job, parts []Part, readers []*fleet.Instance) keepers {
	k := keepers{parts: parts, home: PreferredEngine(j.Call.Subject(), readers)}
	for _, i := range readers {
		p.state(i).cache.resize(j.Service.KVCapacity)
	}
	if p.policy.Has(Fetch) {
		k.most, k.kept = p.keeper(parts, j)
	}
	return k
}

// estimate is what a reader is expected to take for a job, in ms.
type estimate struct {
	// kept and fetched are tokens that the reader keeps and takes from another
	// engine, uncached those that it reads.
	kept, fetched, uncached int
	ahead, read             float64
	score                   float64
}

func (p *Placer) estimate(j *Job, r *fleet.Instance, k keepers, rank int) estimate {
	st := p.state(r)
	model := p.model(j.Service.Name)
	e := estimate{}
	if p.policy.Has(KnownCaches) {
		e.kept = st.cache.kept(k.parts)
	}
	e.fetched = max(k.kept-e.kept, 0)
	e.uncached = j.Call.PromptTokens - e.kept - int((1-fetchedCost)*float64(e.fetched))
	load := p.load(st)
	pace := p.pace(st)
	e.ahead = model.Ahead(&load.Pending, rank) * pace
	e.read = model.Read(PrefillWork(j.Call.PromptTokens, e.uncached)) * pace
	e.score = (e.ahead + e.read) * p.penalty(st)
	if r.Domain != j.Domain && p.policy.Has(NearReader) {
		e.score += farRead
	}
	if r != k.home && p.policy.Has(Homes) {
		e.score += strangerRead
	}
	return e
}

// pace is how much longer an engine takes to read than the model says.
func (p *Placer) pace(st *state) float64 {
	if !p.policy.Has(Pace) {
		return 1
	}
	return st.pace
}

// penalty is the factor by which an instance looks worse for its failures.
func (p *Placer) penalty(st *state) float64 {
	if st.failures == 0 || !p.policy.Has(Penalty) {
		return 1
	}
	return st.penalty(p.now())
}

// PreferredEngine returns the engine that first reads a subject, by rendezvous hashing, so
// that all processes name the same one and a change of engines moves few subjects.
func PreferredEngine(subject string, engines []*fleet.Instance) *fleet.Instance {
	var home *fleet.Instance
	var most uint64
	for _, e := range engines {
		if w := weight(subject, e.ID); home == nil || w > most {
			home, most = e, w
		}
	}
	return home
}

func weight(subject, id string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(subject)
	_, _ = h.WriteString("/")
	_, _ = h.WriteString(id)
	return h.Sum64()
}
