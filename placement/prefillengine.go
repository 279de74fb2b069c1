package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rockdoor/rockdoor/fleet"
)

const (
	// remotePrefillMs is added to the score of a prefill engine in another failure domain, in ms. The
	// request body travels there, and the KV cache back.
	remotePrefillMs = 20.0
	// fetchedTokenCost is the share of fetched tokens that is expected to be prefilled anyway.
	// A fetch is cheap, but the cache holder may have evicted the parts.
	fetchedTokenCost = 0.15
	// latencyTargetShare is the share of the latency target within which the response must be
	// expected, or the request counts as late. Without the margin, estimation errors make borderline
	// requests late.
	latencyTargetShare = 0.85
	// notPreferredMs is added to the score of every engine but the preferred one, in ms. A prefix
	// that no engine has cached should be cached in one place only.
	notPreferredMs = 3.0
)

// choosePrefillEngine picks the engine that is expected to finish the prefill first. If none can
// meet the latency target, the request goes to the engine with the least pending work of all ranks,
// because it is prefilled only when nothing else is pending.
func (p *Placer) choosePrefillEngine(plan *Plan, j *Job, parts []Part, prefillEngines []*fleet.Instance) {
	holders := p.cacheHolders(j, parts, prefillEngines)
	p.chooseWithinLatencyTarget(plan, j, prefillEngines, holders)
	defer p.rejectOverShare(plan, j)
	if plan.Late = j.Remaining <= 0 || p.missesLatencyTarget(j, plan); !plan.Late {
		return
	}
	rank := p.prefillRank(j.Route, true)
	if plan.share.Tight {
		rank = p.shareRank(plan)
	}
	p.chooseFastest(plan, j, prefillEngines, holders, rank)
	plan.Reason = ReasonLate
	if untilPrefilled := plan.QueueDelay + plan.PrefillTime; untilPrefilled > j.Remaining && p.policy.Has(RejectWouldTimeOut) {
		plan.PrefillEngine, plan.Reason = nil, ReasonWouldTimeOut
		plan.RetryAfter = max(untilPrefilled-j.Route.LatencyTarget, minRetryAfter)
	}
}

// chooseWithinLatencyTarget picks an engine as if the request could meet its latency target. If it
// would be late, and its workspace has few pending prompts, the prompt gets the first rank. A
// workspace that sends more than the prefill engines can handle thus doesn't starve the others.
func (p *Placer) chooseWithinLatencyTarget(plan *Plan, j *Job, prefillEngines []*fleet.Instance, holders cacheHolders) {
	rank := p.prefillRank(j.Route, false)
	p.chooseFastest(plan, j, prefillEngines, holders, rank)
	if p.applyShares(plan, j, prefillEngines, holders) {
		return
	}
	if rank == firstRank || !p.missesLatencyTarget(j, plan) {
		return
	}
	busy := p.model(j.Service.Name).BusyMs(Backlog{1, PrefillWork(j.Call.PromptTokens, plan.Uncached)})
	if p.workspacePending(j.Service.Name).isSmall(j.Workspace, busy) {
		p.chooseFastest(plan, j, prefillEngines, holders, firstRank)
	}
}

// missesLatencyTarget reports whether the plan's response is expected past its latency target.
func (p *Placer) missesLatencyTarget(j *Job, plan *Plan) bool {
	estimate := plan.QueueDelay + plan.PrefillTime + millis(p.model(j.Service.Name).firstEventMs)
	share := latencyTargetShare
	if !p.policy.Has(LatencyTargetMargin) {
		share = 1
	}
	return j.Route.LatencyTarget > 0 && estimate > time.Duration(share*float64(j.Route.LatencyTarget))-j.Elapsed
}

// chooseFastest picks the engine with the lowest score for a prefill at a rank. The score is mainly
// the time until the prefill ends.
func (p *Placer) chooseFastest(plan *Plan, j *Job, prefillEngines []*fleet.Instance, holders cacheHolders, rank int) {
	plan.Rank = rank
	plan.PrefillEngine = nil
	best := lastCandidate
	var chosen estimate
	for _, r := range prefillEngines {
		e := p.estimate(j, r, holders, rank)
		if o := p.orderOf(j, r, &e, &holders); o.before(best) {
			best, chosen = o, e
			plan.PrefillEngine = r
		}
	}
	plan.Uncached, plan.QueueDelay, plan.PrefillTime = chosen.uncached, millis(chosen.queueMs), millis(chosen.prefillMs)
	plan.FetchFrom = nil
	if chosen.fetched > 0 {
		plan.FetchFrom = holders.holder
	}
	switch {
	case chosen.fetched > 0:
		plan.Reason = ReasonFetch
	case chosen.cached > 0:
		plan.Reason = ReasonCacheHolder
	case plan.PrefillEngine == holders.preferred:
		plan.Reason = ReasonPreferred
	default:
		plan.Reason = ReasonSpill
	}
}

// cacheHolders describes where the shared parts of a prompt are believed to be cached.
type cacheHolders struct {
	parts []Part
	// preferred is the engine that prefills a prefix which no engine has cached.
	preferred *fleet.Instance
	// holder is the engine that has the most tokens of the parts cached, nil if no engine has any.
	// heldTokens is the number of these tokens.
	holder     *fleet.Instance
	heldTokens int
	// home describes the engines that should keep the parts. It is used for services that run requests
	// whole.
	home home
}

func (p *Placer) cacheHolders(j *Job, parts []Part, prefillEngines []*fleet.Instance) cacheHolders {
	holders := cacheHolders{parts: parts, preferred: PreferredEngine(j.Call.PromptPrefix(), prefillEngines)}
	for _, i := range prefillEngines {
		p.state(i).cache.resize(j.Service.KVCapacity)
	}
	if p.policy.Has(Fetch) {
		holders.holder, holders.heldTokens = p.cacheHolder(parts, j)
	}
	if p.runsWhole(&j.Service) {
		holders.home = p.homeOf(j, parts, prefillEngines)
	}
	return holders
}

// estimate is the expected cost of a prefill at one engine; times are in ms.
type estimate struct {
	// cached and fetched are the tokens that the engine has cached and that it fetches from the cache
	// holder. uncached tokens are prefilled.
	cached, fetched, uncached int
	queueMs, prefillMs        float64
	score                     float64
}

func (p *Placer) estimate(j *Job, r *fleet.Instance, holders cacheHolders, rank int) estimate {
	st := p.state(r)
	model := p.model(j.Service.Name)
	e := estimate{}
	if p.policy.Has(KnownPrefixes) {
		e.cached = st.cache.cachedTokens(holders.parts)
	}
	e.fetched = max(holders.heldTokens-e.cached, 0)
	e.uncached = j.Call.PromptTokens - e.cached - int((1-fetchedTokenCost)*float64(e.fetched))
	load := p.load(st)
	slowdown := p.slowdown(st)
	e.queueMs = model.QueueMs(&load.Pending, rank) * slowdown
	e.prefillMs = model.PrefillMs(PrefillWork(j.Call.PromptTokens, e.uncached)) * slowdown
	e.score = (e.queueMs + e.prefillMs) * p.penalty(st)
	if r.Domain != j.Domain && p.policy.Has(LocalPrefill) {
		e.score += remotePrefillMs
	}
	if r != holders.preferred && p.policy.Has(PreferredEngines) {
		e.score += notPreferredMs
	}
	return e
}

// slowdown returns the engine's slowdown factor, or 1 if the mechanism is disabled.
func (p *Placer) slowdown(st *instanceState) float64 {
	if !p.policy.Has(Slowdown) {
		return 1
	}
	return st.slowdown
}

// penalty returns the factor by which recent failures worsen an instance's score.
func (p *Placer) penalty(st *instanceState) float64 {
	if st.failureRate == 0 || !p.policy.Has(Penalty) {
		return 1
	}
	return st.penalty(p.now())
}

// PreferredEngine returns the engine that prefills a prompt prefix first. It uses rendezvous
// hashing, so that all processes choose the same engine, and few prefixes move when the set of
// engines changes.
func PreferredEngine(prefix string, engines []*fleet.Instance) *fleet.Instance {
	var preferred *fleet.Instance
	var maxWeight uint64
	for _, e := range engines {
		if w := rendezvousWeight(prefix, e.ID); preferred == nil || w > maxWeight {
			preferred, maxWeight = e, w
		}
	}
	return preferred
}

func rendezvousWeight(prefix, id string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(prefix)
	_, _ = h.WriteString("/")
	_, _ = h.WriteString(id)
	return h.Sum64()
}
