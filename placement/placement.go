// Package placement decides where a request runs: which engine prefills its prompt, which instance
// produces the response, and whether the request is better rejected at once. It models each
// instance from the load and the timings of this process and from the load that other processes
// report.
package placement

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/lengths"
	"github.com/rockdoor/rockdoor/profile"
	"github.com/rockdoor/rockdoor/quarantine"
	"github.com/rockdoor/rockdoor/shares"
)

// Reason says why a plan was chosen.
type Reason string

const (
	// ReasonCacheHolder is an engine that has most of the prompt's shared parts cached.
	ReasonCacheHolder Reason = "holder"
	// ReasonFetch is another engine, which fetches the shared parts from the cache holder.
	ReasonFetch Reason = "fetch"
	// ReasonPreferred is the preferred engine of a prompt prefix that no engine has cached.
	ReasonPreferred Reason = "home"
	// ReasonSpill is another engine, because the preferred one is too busy.
	ReasonSpill Reason = "spill"
	// The reasons for running a request as a whole on an engine that decodes: the engine has the shared
	// parts of the prompt cached, it fetches them, it is the preferred engine of a prefix that no engine
	// has cached, or it is another engine because those are too busy.
	ReasonWholeHolder    Reason = "whole-holder"
	ReasonWholeFetch     Reason = "whole-fetch"
	ReasonWholePreferred Reason = "whole-home"
	ReasonWholeSpill     Reason = "whole-spill"
	// ReasonLeastWork is the instance with the lowest load score.
	ReasonLeastWork Reason = "least-work"
	// ReasonNonePermitted means that no permitted instance accepts requests.
	ReasonNonePermitted Reason = "none-permitted"
	// ReasonFull means that all permitted instances are at their request limit.
	ReasonFull Reason = "all-full"
	// ReasonWouldTimeOut means that no engine is expected to prefill the prompt before the client
	// times out.
	ReasonWouldTimeOut Reason = "hopeless"
	// ReasonQuarantined means that the request is quarantined because instances crashed while running
	// it.
	ReasonQuarantined Reason = "quarantined"
	// ReasonLimited means that all permitted instances have reached their rate limits.
	ReasonLimited Reason = "rate-limited"
	// ReasonLate is the engine with the least queued prefill work: no engine is expected to meet the
	// latency target.
	ReasonLate Reason = "too-late"
	// ReasonOverShare means that the workspace is over its share of the engine time, and that the
	// others don't leave enough of it.
	ReasonOverShare Reason = "over-share"
)

// Job is a request to be placed.
type Job struct {
	Route *fleet.Route
	// WorkspaceRank is true if Route.Rank has been replaced by the rank of the client's workspace.
	WorkspaceRank bool
	// Workspace is the client's workspace, empty if it has none.
	Workspace string
	Service   fleet.Service
	Call      *engine.Call
	// Fingerprint identifies the request across its attempts. It is zero for the trial of a quarantined
	// request, and if the process that received the request also places it.
	Fingerprint quarantine.Fingerprint
	// Domain is the failure domain of the process that received the request. If empty, it is set to
	// the placer's own.
	Domain string
	// Remaining is the time until the client times out.
	Remaining time.Duration
	// ResponseTime is the time until the client's deadline for the whole response, 0 if unknown.
	ResponseTime time.Duration
	// Elapsed is the time since the request arrived.
	Elapsed time.Duration
	// Permitted holds the instances that may run the request, sorted by ID.
	Permitted []*fleet.Instance
	// Groups divides Permitted like fleet.Pool.Groups. If it is nil, there is one group. It is a
	// function so that only the process that decides divides the pool.
	Groups func() [][]*fleet.Instance
	// Avoid holds the IDs of instances that must not get this request: they failed or rejected it, or
	// have announced a shutdown or asked for a backoff.
	Avoid map[string]bool
	// Software is the only software version that may run the request, nil if every version may. Permitted has
	// only instances of that version.
	Software *string
	// AwaitsRateLimit is true if the job was tried before and is waiting for rate limits.
	AwaitsRateLimit bool
	// SkipPrefill disables prefill on a separate engine: the prompt has been prefilled already, or the
	// request resumes after events that were delivered.
	SkipPrefill bool
}

// Plan is the decision for a job.
type Plan struct {
	// DecidedBy is the process that decided, empty if it is the one that received the request.
	DecidedBy string
	// PrefillEngine is the engine that prefills the prompt, nil if the target does so itself.
	PrefillEngine *fleet.Instance
	// Target is the instance that produces the response: a decode or mixed engine, or a backend
	// server. It is nil if the request is rejected.
	Target *fleet.Instance
	// FetchFrom is an engine that is believed to have parts of the prompt cached which the prefill
	// engine has not.
	FetchFrom *fleet.Instance
	Reason    Reason
	// Uncached is the estimated number of prompt tokens that have to be prefilled.
	Uncached int
	// QueueDelay is the estimated queueing delay of the request.
	QueueDelay time.Duration
	// PrefillTime is the estimated prefill time of its own prompt.
	PrefillTime time.Duration
	// Rank is the queue rank at which the prompt is prefilled.
	Rank int
	// Late is true if the response is expected past its latency target.
	Late bool
	// RetryAfter is the retry delay for the client if the request is rejected.
	RetryAfter time.Duration
	// share is the standing of the job's workspace, used only by the process that decides.
	share shareStanding
	// Granted is true if the next request was counted against a rate limit of its instance.
	Granted bool
	// ShortResponse is true if the response is known to end soon after its first event. It is set only for
	// services that run requests whole.
	ShortResponse bool
}

const (
	// minSeparatePrefillTokens is the number of prompt tokens from which prefill runs on a separate
	// engine. Moving the KV cache costs a round trip and a transfer set-up, about as long as an
	// engine takes to prefill this many tokens.
	minSeparatePrefillTokens = 1024
	// maxRequestsPerSlot is the maximum number of requests in flight at an instance, per slot.
	maxRequestsPerSlot = 2.5
	// startingWeight is the weight, in running requests, of one whose response has not begun. It waits
	// for a KV cache transfer or in a queue, and so will the next request.
	startingWeight = 4.0
)

// Placer places requests. It is safe for concurrent use.
type Placer struct {
	domain string
	now    func() time.Time
	// random returns a number in [0, 1).
	random   func() float64
	policy   Policy
	features Features
	lengths  *lengths.Estimator

	mu        sync.Mutex
	instances map[string]*instanceState
	// busy holds the instances with requests in flight from this process. Instances that have become
	// idle are removed when the local load is read.
	busy             map[string]*instanceState
	models           map[string]*Model // by service
	wholeModels      map[string]*Model // by service; of prefills on engines that decode
	prefillLog       prefillLog
	pendingByService map[string]*workspacePending // by service
	peerLoad         func(id string) Load
	isChangingRole   func(*fleet.Instance) bool
	limiter          Limiter
	// onSuspension may be nil.
	onSuspension func(s Suspension, resumed bool)
	work         map[string]*WorkTotals      // by service
	profiles     map[string]*serviceProfiles // by service
	// reviewOrder holds the services in the order of their reviews, and nextReview is the one that is next.
	reviewOrder []*serviceProfiles
	nextReview  int
	review      reviewBuffers
	// restoredProfiles are profiles from the store of engines that have no state yet.
	restoredProfiles map[string]profile.Profile
	// peerProfiles is nil if there are no other processes.
	peerProfiles  func(instance string, startTime int64) profile.Profile
	shareAccounts map[string]*shareAccount // by service
	shareSettings *shares.Settings
}

// New returns a placer for a process in a failure domain. peerLoad returns the load that the other
// processes have at an instance, and isChangingRole reports whether an engine is about to change its
// role. Either may be nil.
func New(domain string, peerLoad func(id string) Load, isChangingRole func(*fleet.Instance) bool) *Placer {
	if peerLoad == nil {
		peerLoad = func(string) Load { return Load{} }
	}
	if isChangingRole == nil {
		isChangingRole = func(*fleet.Instance) bool { return false }
	}
	return &Placer{
		domain: domain, now: time.Now, random: rand.Float64, instances: map[string]*instanceState{}, busy: map[string]*instanceState{}, models: map[string]*Model{}, wholeModels: map[string]*Model{}, pendingByService: map[string]*workspacePending{}, lengths: lengths.New(), work: map[string]*WorkTotals{}, profiles: map[string]*serviceProfiles{}, shareAccounts: map[string]*shareAccount{}, peerLoad: peerLoad, isChangingRole: isChangingRole,
	}
}

// SetClock replaces the clock, for simulated time. It must be called before the placer is used.
func (p *Placer) SetClock(now func() time.Time) { p.now = now }

// SetRandom replaces the source of the numbers in [0, 1) that break ties, for reproducible runs. It
// must be called before the placer is used.
func (p *Placer) SetRandom(random func() float64) { p.random = random }

// SetLimiter sets the source of instance rate limits. Without it no instance has a rate limit. It
// must be called before the placer is used.
func (p *Placer) SetLimiter(l Limiter) { p.limiter = l }

// SetPolicy sets the enabled mechanisms. Without it all are enabled. It must be called before the
// placer is used.
func (p *Placer) SetPolicy(policy Policy) { p.policy = policy }

// EstimatePrefill returns how long an idle engine of a service is expected to take to prefill a
// prompt.
func (p *Placer) EstimatePrefill(service string, w Work) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return millis(p.model(service).PrefillMs(w))
}

// Load returns the load that all processes together have at an instance.
func (p *Placer) Load(i *fleet.Instance) Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loadOf(i)
}

// loadOf is Load without the lock, which the caller holds. It creates no state for an instance that
// has not been considered for a request.
func (p *Placer) loadOf(i *fleet.Instance) Load {
	if st := p.instances[i.ID]; st != nil {
		return p.load(st)
	}
	return p.peerLoad(i.ID)
}

// EachLoad calls visit for each instance with the load from all processes, and with the time for
// which the pending prompts, including late ones, keep an engine of the service busy.
func (p *Placer) EachLoad(service string, instances []*fleet.Instance, visit func(i *fleet.Instance, l Load, queue time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	model := p.model(service)
	for _, i := range instances {
		l := p.loadOf(i)
		queue := time.Duration(0)
		if pending := l.Pending.All(); pending != (Backlog{}) {
			queue = millis(model.BusyMs(pending))
		}
		visit(i, l, queue)
	}
}

// Place chooses the prefill engine of a job, or its target if the prompt is not prefilled
// separately, and adds the job to its load. The ticket is nil if the job is rejected.
func (p *Placer) Place(j *Job) (Plan, *Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setDefaultDomain(j)
	c := p.chooseGroup(j, nil, p.choose)
	p.recordShare(j, &c.plan)
	if !c.hasInstance() {
		return c.plan, nil
	}
	plan := c.plan
	plan.ShortResponse = p.runsWhole(&j.Service) && p.expectedLength(c.job, c.targets) == shortResponse
	t := &Ticket{
		p: p, model: p.model(j.Service.Name), pending: p.workspacePending(j.Service.Name), work: p.workTotals(j.Service.Name), route: j.Route.Name, workspace: j.Workspace,
		promptTokens: j.Call.PromptTokens, parts: sharedParts(j.Call), unsharedTokens: j.Call.PromptTokens - j.Call.SharedTokens(), placedAt: p.now(),
	}
	if p.runsWhole(&j.Service) {
		t.targetMemory = j.Service.KVCapacity
	}
	if plan.PrefillEngine != nil {
		if !p.reserveTarget(t, &plan, c.job, c.targets) || !p.useRateGrant(plan.PrefillEngine, &plan) {
			return plan, nil
		}
		t.assignPrefill(&plan)
		t.hold = p.holdShare(j, &plan, t.busyMs)
		return plan, t
	}
	if !p.useRateGrant(plan.Target, &plan) {
		return plan, nil
	}
	if plan.Reason.Whole() {
		t.assignWhole(&plan, p.wholeModel(j.Service.Name), !plan.ShortResponse)
		return plan, t
	}
	t.assignTarget(plan.Target, j.Service.KVCapacity > 0 && !plan.ShortResponse)
	if j.Service.KVCapacity > 0 {
		t.recordWork(PrefillWork(t.promptTokens, t.promptTokens))
	}
	return plan, t
}

// choose decides among all instances that the job permits. It doesn't change any load.
func (p *Placer) choose(j *Job) choice {
	prefillEngines, targets := p.eligible(j)
	c := choice{job: j, plan: Plan{Uncached: j.Call.PromptTokens, Reason: ReasonNonePermitted}, targets: targets}
	separatePrefill := j.Call.PromptTokens >= minSeparatePrefillTokens && len(prefillEngines) > 0 && !j.SkipPrefill && p.policy.Has(SeparatePrefill)
	switch {
	case len(targets) == 0:
		p.setRetryAfterProbe(&c.plan, j)
		p.setRateLimitReason(&c.plan, j)
	case p.mayRunWhole(j, separatePrefill):
		p.chooseWholeOrSplit(&c.plan, j, separatePrefill, prefillEngines, targets)
	case separatePrefill:
		p.choosePrefillEngine(&c.plan, j, sharedParts(j.Call), prefillEngines)
	case j.Remaining <= 0:
		c.plan.Reason, c.plan.RetryAfter = ReasonWouldTimeOut, fullRetryAfter
	default:
		p.chooseTarget(&c.plan, j, targets)
	}
	return c
}

// PlaceDecode chooses the target of a job that has been prefilled and adds the job to its load. It
// returns false if there is no target; the plan then has the reason.
func (p *Placer) PlaceDecode(j *Job, plan *Plan, t *Ticket) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setDefaultDomain(j)
	reason := plan.Reason
	if plan.Target = p.reservedTarget(t, j); plan.Target != nil {
		plan.Granted = true
		t.assignTarget(plan.Target, false)
		return true
	}
	c := p.chooseGroup(j, plan.PrefillEngine, func(j *Job) choice { return p.chooseDecode(j, *plan) })
	*plan = c.plan
	if plan.Target == nil || !p.useRateGrant(plan.Target, plan) {
		return false
	}
	plan.Reason = reason
	t.assignTarget(plan.Target, false)
	return true
}

// chooseDecode chooses the target of a job that has been prefilled according to a plan.
func (p *Placer) chooseDecode(j *Job, plan Plan) choice {
	plan.Reason, plan.Target = ReasonNonePermitted, nil
	_, targets := p.eligible(j)
	c := choice{job: j, plan: plan, targets: targets}
	if len(targets) == 0 {
		p.setRateLimitReason(&c.plan, j)
	} else {
		p.chooseTarget(&c.plan, j, targets)
	}
	return c
}

// setDefaultDomain sets the domain of a job that this process received.
func (p *Placer) setDefaultDomain(j *Job) {
	if j.Domain == "" {
		j.Domain = p.domain
	}
}

// eligible returns the permitted instances that may get the job, by role. Instances that fail or don't respond are left out
// unless there is no other target, except for a share of the jobs when a probe is due.
func (p *Placer) eligible(j *Job) (prefillEngines, targets []*fleet.Instance) {
	now := p.now()
	prefillEngines, targets = p.partitionByRole(j, func(st *instanceState) bool { return p.admits(st, now) })
	if len(targets) == 0 {
		return p.partitionByRole(j, func(*instanceState) bool { return true })
	}
	return prefillEngines, targets
}

func (p *Placer) partitionByRole(j *Job, allowed func(*instanceState) bool) (prefillEngines, targets []*fleet.Instance) {
	for _, i := range j.Permitted {
		st := p.state(i)
		switch {
		case j.Avoid[i.ID] || p.isChangingRole(i) || !st.misdirection.canSend(p.now()) || !allowed(st) || !p.withinRateLimit(j, i):
		case i.Role == engine.RolePrefill:
			prefillEngines = append(prefillEngines, i)
		default:
			targets = append(targets, i)
		}
	}
	return prefillEngines, targets
}

// admits reports whether the instance may get a job, which may be a probe. A probe may cost its client the whole timeout.
// If it were always the next job that prefers the instance, a client that asks rarely would send all probes and never be served.
func (p *Placer) admits(st *instanceState, now time.Time) bool {
	if !p.breakerCanSend(st, now) || !st.silence.canSend(now) {
		return false
	}
	onProbation := st.silence.open() || st.breaker.open() && p.policy.Has(Breakers)
	return !onProbation || st.drawProbe()
}

// breakerCanSend reports whether the instance's breaker admits a request.
func (p *Placer) breakerCanSend(st *instanceState, now time.Time) bool {
	return st.breaker.canSend(now) || !p.policy.Has(Breakers)
}

// model returns the model of a service. The caller holds the lock.
func (p *Placer) model(service string) *Model {
	m := p.models[service]
	if m == nil {
		m = newModel(p.policy)
		p.models[service] = m
	}
	return m
}

// workspacePending returns the pending prompts to a service by workspace. The caller holds the
// lock.
func (p *Placer) workspacePending(service string) *workspacePending {
	s := p.pendingByService[service]
	if s == nil {
		s = &workspacePending{byWorkspace: map[string]pendingPrompts{}}
		p.pendingByService[service] = s
	}
	return s
}

const (
	// minRetryAfter is the minimum retry delay. The load hardly changes in less time.
	minRetryAfter = 100 * time.Millisecond
	// fullRetryAfter is the retry delay while all instances are full, about the time in which an
	// engine finishes a short request.
	fullRetryAfter = 200 * time.Millisecond
)

// unknownDuration stands for a time that is not a number or beyond the range of a time.Duration.
const unknownDuration time.Duration = math.MinInt64

// millis converts milliseconds. Go leaves the conversion of a value out of range to the processor, so it is checked.
func millis(ms float64) time.Duration {
	ns := ms * float64(time.Millisecond)
	if math.IsNaN(ns) || math.Abs(ns) >= math.MaxInt64 {
		return unknownDuration
	}
	return time.Duration(ns)
}
