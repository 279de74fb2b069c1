package placement

import (
	"math"
	"time"

	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/roles"
)

// This file decides whether a request with a long prompt runs as a whole on one engine or is split:
// prefilled on a prefill engine and moved to another one that decodes. A split request moves the KV
// cache of its whole prompt. With long prompts and responses of a few events, links are busy while the
// engines that decode are nearly idle. A whole request moves nothing, but its prefill takes turns with
// the decoding of others.

const (
	// minWholeGapTarget is the gap target that all streaming routes of a service must have for its
	// requests to run whole. An engine that prefills between the tokens of other requests produces
	// events up to some 250 ms apart: an event has several tokens, with a piece of a prompt before
	// each.
	minWholeGapTarget = 300 * time.Millisecond
	// wholeGapShare is the share of the smallest gap target up to which an engine's mean time between
	// events may have grown before it gets no more whole requests. Single gaps reach several times the
	// mean, and the mean decides whether long responses end before their clients time out.
	wholeGapShare = 0.25
	// wholePrefillFactor is how much longer a prefill is assumed to take on an engine that decodes,
	// until there are measurements. It takes turns with decode steps.
	wholePrefillFactor = 2.0
	// wholeTargetShare is the share of the latency target within which the first event of a whole
	// request must be expected. It is less than latencyTargetShare: the estimate doesn't contain what
	// arrives at the engine before its load is known elsewhere, and a request that the engine rejects
	// must still be in time elsewhere.
	wholeTargetShare = 0.4
	// minWholeTokens is the number of prompt tokens from which a request that could be split may run
	// whole. Moving the KV cache of a shorter prompt takes a few ms, and the time in which an engine that
	// decodes would prefill it is better spent on a long one.
	minWholeTokens = 4096
	// movedRank is the rank at which a service that runs requests whole decodes those whose prompt was
	// prefilled elsewhere. They need no prefill and must not wait for those of whole requests.
	movedRank = firstRank
	// wholeRank is the rank of all whole requests, which an engine therefore prefills in the order of
	// their arrival. By the ranks of their routes, one of a low rank would be overtaken by those that
	// other processes send there at the same time.
	wholeRank = movedRank + 1
	// wholeEngineShare is added to the score of an engine that gets whole requests as a target for prompts
	// that were prefilled elsewhere, as a share of its slots. While it prefills it produces several times
	// fewer tokens.
	wholeEngineShare = 0.5
	// minLongResponse is the duration from which a response counts as long. A role change itself takes
	// about as long, to which a shorter response adds little, and a longer one meets many prefills of
	// other whole requests, each of which makes the times between its events several times as long.
	minLongResponse = 3 * time.Second
)

// Whole reports whether the request runs as a whole on an engine that decodes, which prefills its
// long prompt as well.
func (r Reason) Whole() bool {
	switch r {
	case ReasonWholeHolder, ReasonWholeFetch, ReasonWholePreferred, ReasonWholeSpill:
		return true
	}
	return false
}

// wholeInput is what the decision between whole and split depends on.
type wholeInput struct {
	// LatencyTarget is 0 if there is none. Elapsed is the time since the request arrived.
	LatencyTarget, Elapsed time.Duration
	// Whole is when the first event of the whole request is expected.
	Whole time.Duration
	// Splittable is true if there is a split plan; Split is when its first event is expected and
	// SplitLate is true if that is past the latency target.
	Splittable, SplitLate bool
	Split                 time.Duration
}

// withinShare reports whether the whole request's first event is expected within a share of the
// latency target. An estimate beyond the range of a time, or not a number, is negative.
func (in *wholeInput) withinShare(share float64) bool {
	if in.Whole < 0 {
		return false
	}
	return in.LatencyTarget == 0 || in.Whole <= time.Duration(share*float64(in.LatencyTarget))-in.Elapsed
}

// prefersWhole decides for a whole request if its response is expected in time with a margin, or in
// time and no later than that of the split one.
func prefersWhole(in wholeInput) bool {
	switch {
	case in.withinShare(wholeTargetShare):
		return true
	case !in.withinShare(latencyTargetShare):
		return false
	}
	return !in.Splittable || in.SplitLate || in.Whole <= in.Split
}

// TargetRank returns the rank at which the target runs a request according to a plan. moved is true if
// its prompt has been prefilled on another engine.
func (p *Placer) TargetRank(s fleet.Service, r *fleet.Route, plan *Plan, moved bool) int {
	switch {
	case plan.Reason.Whole():
		return plan.Rank
	case moved && p.runsWhole(&s):
		return movedRank
	case p.runsWhole(&s):
		return min(r.Rank, wholeRank) // or whole requests would overtake it for as long as they arrive
	}
	return r.Rank
}

// RunsWhole reports whether requests of a service may run as a whole.
func (p *Placer) RunsWhole(s fleet.Service) bool { return p.runsWhole(&s) }

func (p *Placer) runsWhole(s *fleet.Service) bool {
	return p.features.WholeRequests && s.KVCapacity > 0 && s.MinGapTarget >= minWholeGapTarget && p.policy.Has(WholeRequests)
}

// mayRunWhole reports whether the job may run as a whole. splittable is true if its prompt may be
// prefilled on another engine than the target. A prompt that is too short for that has no long prefill,
// and its target is chosen by load.
func (p *Placer) mayRunWhole(j *Job, splittable bool) bool {
	minTokens := minSeparatePrefillTokens
	if splittable {
		minTokens = minWholeTokens
	}
	return j.Call.PromptTokens >= minTokens && !j.SkipPrefill && j.Remaining > 0 && p.runsWhole(&j.Service)
}

// chooseWholeOrSplit plans a request whose prompt is not prefilled yet. splittable is true if the prompt
// may be prefilled on another engine than the target.
func (p *Placer) chooseWholeOrSplit(plan *Plan, j *Job, splittable bool, prefillEngines, targets []*fleet.Instance) {
	whole := *plan
	possible := !(splittable && p.expectedLength(j, targets) == longResponse) && p.chooseWhole(&whole, j, targets, splittable)
	in := wholeInput{LatencyTarget: j.Route.LatencyTarget, Elapsed: j.Elapsed, Whole: whole.QueueDelay + whole.PrefillTime}
	if possible && in.withinShare(wholeTargetShare) {
		*plan = whole
		return
	}
	if splittable {
		p.choosePrefillEngine(plan, j, sharedParts(j.Call), prefillEngines)
		in.Splittable, in.SplitLate = plan.PrefillEngine != nil, plan.Late
		in.Split = plan.QueueDelay + plan.PrefillTime + millis(p.model(j.Service.Name).firstEventMs)
	}
	switch {
	case possible && prefersWhole(in):
		*plan = whole
	case !splittable:
		p.chooseTarget(plan, j, targets)
	}
}

// chooseWhole picks the engine for a whole request. It returns false if no engine may run it. Engines
// where a prompt is pending are left out if the request could be split: the first event has several
// tokens, and before each of them a piece of the other prompt would be prefilled. Of the engines that are
// expected to respond in time with a margin, those of the home of the shared parts go first: each part is
// best cached in few places.
func (p *Placer) chooseWhole(plan *Plan, j *Job, targets []*fleet.Instance, splittable bool) bool {
	plan.Rank = wholeRank
	candidates := targets
	if splittable {
		candidates = p.wholeEngines(j, targets)
	}
	holders := p.cacheHolders(j, sharedParts(j.Call), candidates)
	best := lastCandidate
	var chosen estimate
	for _, r := range candidates {
		st := p.state(r)
		if splittable && !p.canPrefillNow(r, st) || p.isFull(&j.Service, r, st) || st.gapMs > wholeGapShare*toMillis(j.Service.MinGapTarget) {
			continue
		}
		e := p.estimateWhole(j, r, holders)
		if o := p.orderOf(j, r, &e, &holders); o.before(best) {
			best, chosen = o, e
			plan.Target = r
		}
	}
	if plan.Target == nil {
		return false
	}
	plan.Uncached, plan.QueueDelay, plan.PrefillTime = chosen.uncached, millis(chosen.queueMs), millis(chosen.prefillMs)
	switch {
	case chosen.fetched > 0:
		plan.FetchFrom, plan.Reason = holders.holder, ReasonWholeFetch
	case chosen.cached > 0:
		plan.Reason = ReasonWholeHolder
	case plan.Target == holders.preferred:
		plan.Reason = ReasonWholePreferred
	default:
		plan.Reason = ReasonWholeSpill
	}
	return true
}

// canPrefillNow reports whether an engine that decodes has a free slot and no pending prompt. The estimate
// of a prefill there doesn't contain the time until a slot is free.
func (p *Placer) canPrefillNow(r *fleet.Instance, st *instanceState) bool {
	load := p.load(st)
	return load.Pending.All().Prompts == 0 && (r.Slots == 0 || load.Requests < r.Slots)
}

// candidateOrder orders the engines that may prefill a prompt. atHome is true for those that are expected
// to be early enough without another copy of shared parts.
type candidateOrder struct {
	atHome bool
	score  float64
}

// lastCandidate is after every engine with a finite score.
var lastCandidate = candidateOrder{score: math.Inf(1)}

func (o candidateOrder) before(other candidateOrder) bool {
	if o.atHome != other.atHome {
		return o.atHome
	}
	return o.score < other.score
}

// orderOf rates an engine by the estimate of a prefill there.
func (p *Placer) orderOf(j *Job, r *fleet.Instance, e *estimate, holders *cacheHolders) candidateOrder {
	in := wholeInput{LatencyTarget: j.Route.LatencyTarget, Elapsed: j.Elapsed, Whole: millis(e.queueMs + e.prefillMs)}
	return candidateOrder{p.runsWhole(&j.Service) && holders.home.isAt(r, e.cached) && in.withinShare(wholeTargetShare), e.score}
}

// home describes the engines of the job's failure domain that should keep the shared parts of its
// prompt: those that have most of them cached, or a preferred one if none has half of them. Each domain
// has its own, so that requests don't cross to another domain for as long as a part is used. The zero value
// stands for all engines.
type home struct {
	domain    string
	preferred *fleet.Instance
	tokens    int
}

// homeOf returns the home of a prompt among engines, of all domains if the job's own has none of them.
func (p *Placer) homeOf(j *Job, parts []Part, engines []*fleet.Instance) home {
	var local []*fleet.Instance
	shared := 0
	for _, part := range parts {
		shared += part.Tokens
	}
	if shared == 0 {
		return home{} // there is nothing to keep
	}
	h := home{domain: j.Domain}
	for _, r := range engines {
		if r.Domain == j.Domain {
			local = append(local, r)
		}
	}
	if len(local) == 0 {
		local, h.domain = engines, ""
	}
	for _, r := range local {
		h.tokens = max(h.tokens, p.state(r).cache.cachedTokens(parts))
	}
	if 2*h.tokens < shared || h.tokens == 0 {
		h.preferred = PreferredEngine(j.Call.PromptPrefix(), local)
	}
	return h
}

// isAt reports whether an engine that has a number of the tokens cached is part of the home.
func (h *home) isAt(r *fleet.Instance, cached int) bool {
	if h.preferred != nil {
		return r == h.preferred
	}
	return cached >= h.tokens && (h.domain == "" || h.domain == r.Domain)
}

// estimateWhole estimates the prefill of a whole request at an engine that decodes.
func (p *Placer) estimateWhole(j *Job, r *fleet.Instance, holders cacheHolders) estimate {
	st := p.state(r)
	model := p.wholeModel(j.Service.Name)
	e := estimate{}
	if p.policy.Has(KnownPrefixes) {
		e.cached = st.cache.cachedTokens(holders.parts)
	}
	e.fetched = max(holders.heldTokens-e.cached, 0)
	e.uncached = j.Call.PromptTokens - e.cached - int((1-fetchedTokenCost)*float64(e.fetched))
	load := p.load(st)
	slowdown := p.slowdown(st)
	e.queueMs = model.QueueMs(&load.Pending, wholeRank) * slowdown
	e.prefillMs = model.PrefillMs(PrefillWork(j.Call.PromptTokens, e.uncached))*slowdown + moveMs(&j.Service, e.fetched, holders.holder, r)
	e.score = (e.queueMs + e.prefillMs) * p.penalty(st)
	if r.Domain != j.Domain && p.policy.Has(LocalPrefill) {
		e.score += remotePrefillMs
	}
	return e
}

// crossDomainMoveFactor is how many times longer a KV cache takes to another failure domain.
const crossDomainMoveFactor = 2

// moveMs returns the time in ms that the KV cache of a number of tokens takes between two engines, 0
// if it is unknown.
func moveMs(s *fleet.Service, tokens int, from, to *fleet.Instance) float64 {
	if tokens == 0 || !(s.LinkBytesPerSecond > 0) {
		return 0
	}
	ms := float64(tokens) * float64(s.KVTokenBytes) / s.LinkBytesPerSecond * 1000
	if from != nil && from.Domain != to.Domain {
		ms *= crossDomainMoveFactor
	}
	return ms
}

// responseLength says how long a response is expected to last.
type responseLength int

const (
	unknownLength responseLength = iota
	shortResponse
	longResponse
)

// expectedLength returns how long the response of a job is expected to last at one of the targets. The
// client's own estimate is not used: it is often far off.
func (p *Placer) expectedLength(j *Job, targets []*fleet.Instance) responseLength {
	length, known := p.lengths.Estimate(j.Route.Name, j.Workspace)
	switch gap := p.medianGap(targets); {
	case !known || gap == 0 && length.P90 > 1:
		return unknownLength
	case length.P90*gap >= toMillis(minLongResponse):
		return longResponse
	}
	return shortResponse
}

// wholeModel returns the model of a service's prefills on engines that decode. The caller holds the
// lock.
func (p *Placer) wholeModel(service string) *Model {
	m := p.wholeModels[service]
	if m == nil {
		m = newSlowedModel(p.policy, wholePrefillFactor)
		p.wholeModels[service] = m
	}
	return m
}

// assignWhole adds a whole request to the load of its target: until the first event its prompt is
// pending there. The caller holds the placer's lock.
func (t *Ticket) assignWhole(plan *Plan, model *Model, long bool) {
	t.assignTarget(plan.Target, long)
	before := t.p.load(t.targetState)
	work := PrefillWork(t.promptTokens, plan.Uncached)
	t.wholeModel = model
	t.queueEmpty, t.prefillsBefore = before.Pending.All().Prompts == 0, t.targetState.prefills
	t.expectedMs = model.QueueMs(&before.Pending, plan.Rank) + model.PrefillMs(work)
	t.wholeLoad.Pending[plan.Rank] = Backlog{1, work}
	t.p.addLocalLoad(t.targetState, t.wholeLoad)
	t.busyMs = t.model.BusyMs(Backlog{1, work})
	t.pending.add(t.workspace, t.busyMs)
	t.recordWork(work)
}

// wholePrefilled records that the target has prefilled the prompt of a whole request. The caller holds
// the lock.
func (t *Ticket) wholePrefilled() {
	if t.wholeModel == nil || t.targetState == nil {
		return
	}
	model, st, work := t.wholeModel, t.targetState, t.wholeLoad.Pending.All().Work
	t.releaseWhole()
	t.recordCachedAt(st)
	took := t.p.now().Sub(t.targetPlacedAt)
	st.observePrefill(toMillis(took), t.expectedMs)
	if !t.p.policy.Has(CleanSamples) || t.hadEngineAlone(st) {
		model.Observe(work, took)
	}
}

// releaseWhole removes the prompt of a whole request from the load of its target. The caller holds the
// lock.
func (t *Ticket) releaseWhole() {
	if t.wholeModel == nil {
		return
	}
	t.targetState.local = t.targetState.local.Sub(t.wholeLoad)
	t.pending.remove(t.workspace, t.busyMs)
	t.wholeModel, t.wholeLoad = nil, Load{}
}

// wholeEngines returns the engines that get whole requests: those beyond the number that the requests in
// flight need for decoding. The others decode what is prefilled elsewhere, without prefills in between.
func (p *Placer) wholeEngines(j *Job, targets []*fleet.Instance) []*fleet.Instance {
	requests, slots := 0, 1
	for _, r := range targets {
		requests += p.load(p.state(r)).Requests
		slots = max(slots, r.Slots)
	}
	decodeEngines := roles.MinDecodeEngines(float64(requests), slots, len(j.Permitted))
	if decodeEngines >= len(targets) {
		return nil
	}
	return interleaveDomains(targets)[decodeEngines:]
}

// wholePenalties returns what is added to the scores of targets for a request that does not run as a whole.
// An engine where a whole request's prompt is pending counts as one whose slots are all in use, because the
// first event would wait for pieces of that prompt. A prompt that was prefilled elsewhere also avoids the
// engines that get whole requests; others avoid those by prefillCandidates.
func (p *Placer) wholePenalties(j *Job, plan *Plan, targets []*fleet.Instance) map[string]float64 {
	if !p.runsWhole(&j.Service) {
		return nil
	}
	out := map[string]float64{}
	if plan.PrefillEngine != nil {
		for _, r := range p.wholeEngines(j, targets) {
			out[r.ID] = wholeEngineShare * float64(r.Slots)
		}
	}
	for _, r := range targets {
		if load := p.load(p.state(r)); load.Pending.All().Prompts > 0 {
			out[r.ID] += float64(r.Slots)
		}
	}
	return out
}
