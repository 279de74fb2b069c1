// Package placement decides where a request runs: which engine reads its prompt,
// which one generates, and when it is better refused at once. It keeps a model
// of each instance from what this process has sent there and how long it took,
// and from what the other processes say of theirs.
package placement

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/quarantine"
)

// Reason says why a plan is as it is.
type Reason string

// Reasons of plans.
const (
	// ReasonCacheHolder is an engine that keeps the most of the prompt's shared parts.
	ReasonCacheHolder Reason = "holder"
	// ReasonFetch is another engine, which takes what the holder keeps.
	ReasonFetch Reason = "fetch"
	// ReasonHome is the home of a subject that nobody has read lately.
	ReasonHome Reason = "home"
	// ReasonSpill is another engine, because the home is too busy.
	ReasonSpill Reason = "spill"
	// ReasonLeast is the instance with the least work.
	ReasonLeast Reason = "least-work"
	// ReasonNonePermitted means that no permitted instance takes requests.
	ReasonNonePermitted Reason = "none-permitted"
	// ReasonFull means that all permitted instances have as much as they take.
	ReasonFull Reason = "all-full"
	// ReasonHopeless means that no engine is expected to read the prompt before the
	// caller's time is up.
	ReasonHopeless Reason = "hopeless"
	// ReasonQuarantined means that instances end under the request.
	ReasonQuarantined Reason = "quarantined"
	// ReasonLimited means that all permitted instances limit their rate of requests, and take no more
	// now.
	ReasonLimited Reason = "rate-limited"
	// ReasonLate is the engine that has the least to read in all: no engine is
	// expected to answer in time.
	ReasonLate Reason = "too-late"
)

// Job is a request to be placed.
type Job struct {
	Route *fleet.Route
	// WorkspaceRank is true if the rank of Route is not the operator's for the route but that of
	// the caller's workspace.
	WorkspaceRank bool
	// Workspace is that of the caller, empty if it has none.
	Workspace string
	Service   fleet.Service
	Call      *engine.Call
	// Fingerprint is what is the same in each try of the request; zero if the process that
	// has it decides.
	Fingerprint quarantine.Fingerprint
	// Domain is the failure domain of the process that has the request; empty is that of
	// the placer.
	Domain string
	// Remaining is how long the caller still waits.
	Remaining time.Duration
	// Elapsed is how long the request has been here.
	Elapsed time.Duration
	// Permitted are the instances that may run it, in the order of their IDs.
	Permitted []*fleet.Instance
	// Groups divides Permitted as a fleet.Pool does; nil is one group. It is asked where the job is
	// decided on.
	Groups func() [][]*fleet.Instance
	// Avoid holds the IDs of instances that failed this request.
	Avoid map[string]bool
	// AwaitsRateLimit is true if the job has been tried before and waits for rate limits.
	AwaitsRateLimit bool
	// SkipPrefill is true if the prompt is not to be read apart: it has been read, or
	// the request goes on after events that were delivered.
	SkipPrefill bool
}

// Plan is a decision.
type Plan struct {
	// DecidedBy is the process that decided, empty for the one that has the request.
	DecidedBy string
	// PrefillEngine reads the prompt; nil if the runner does.
	PrefillEngine *fleet.Instance
	// Target generates; nil if the request is refused.
	Target *fleet.Instance
	// FetchFrom is an engine that is believed to keep parts of the prompt that
	// the reader does not.
	FetchFrom *fleet.Instance
	Reason    Reason
	// Uncached is how many prompt tokens are believed to be read.
	Uncached int
	// QueueDelay is the estimate of how long work ahead of the request takes.
	QueueDelay time.Duration
	// PrefillTime is the estimate of how long its own prompt takes.
	PrefillTime time.Duration
	// Rank is the one at which the prompt is read.
	Rank int
	// Late is true if the answer is not expected within the latency target.
	Late bool
	// RetryAfter is when to come back, if the request is refused.
	RetryAfter time.Duration
	// Granted is true if the next send was counted against a rate limit of its instance.
	Granted bool
}

const (
	// longPrompt is the number of uncached prompt tokens from which a prompt is
	// read apart. Moving a prompt costs a round trip and the set-up of a move,
	// about as long as an engine takes to read this many.
	longPrompt = 1024
	// queueFactor is how many times its slots an instance may have in hand.
	queueFactor = 2.5
	// startingWeight is how many running requests one counts for whose answer has
	// not begun: it waits for a move of memory or in a queue, as the next one will.
	startingWeight = 4.0
)

// Placer places requests. It is safe for concurrent use.
type Placer struct {
	domain string
	// now is the clock.
	now func() time.Time
	// random returns a number in [0, 1).
	random func() float64
	policy Policy

	mu        sync.Mutex
	instances map[string]*state
	// busy are the instances at which this process has work in hand, and some at which it had.
	busy     map[string]*state
	models   map[string]*Model // by service
	reads    readLog
	shares   map[string]*shares // by service
	peers    func(id string) Load
	changing func(*fleet.Instance) bool
	limiter  Limiter
}

// New returns a placer for a process in a failure domain. peers tells what the
// other processes have in hand at an instance, changing whether an engine is
// about to change its role; either may be nil.
func New(domain string, peers func(id string) Load, changing func(*fleet.Instance) bool) *Placer {
	if peers == nil {
		peers = func(string) Load { return Load{} }
	}
	if changing == nil {
		changing = func(*fleet.Instance) bool { return false }
	}
	return &Placer{
		domain: domain, now: time.Now, random: rand.Float64, instances: map[string]*state{}, busy: map[string]*state{}, models: map[string]*Model{}, shares: map[string]*shares{}, peers: peers, changing: changing,
	}
}

// SetClock replaces the clock. It is called before the placer is used, where time is not
// that of the process.
func (p *Placer) SetClock(now func() time.Time) { p.now = now }

// SetRandom replaces the source of numbers in [0, 1) by which ties are broken. It is called
// before the placer is used, where the same course must come again.
func (p *Placer) SetRandom(random func() float64) { p.random = random }

// SetLimiter states who knows the rate limits of instances; without it there are none. It is called
// before the placer is used.
func (p *Placer) SetLimiter(l Limiter) { p.limiter = l }

// SetPolicy states which mechanisms are in force; without it all are. It is called before
// the placer is used.
func (p *Placer) SetPolicy(policy Policy) { p.policy = policy }

// EstimatePrefill returns how long an idle engine of a service is expected to take to read a
// prompt.
func (p *Placer) EstimatePrefill(service string, w Work) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return millis(p.model(service).Read(w))
}

// Load returns what all processes have in hand at an instance.
func (p *Placer) Load(i *fleet.Instance) Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loadOf(i)
}

// loadOf does what Load does, and keeps nothing of an instance that has not been looked at for a decision. The
// caller holds the lock.
func (p *Placer) loadOf(i *fleet.Instance) Load {
	if st := p.instances[i.ID]; st != nil {
		return p.load(st)
	}
	return p.peers(i.ID)
}

// EachLoad tells what all processes have in hand at each of a service's instances, and how long the
// prompts among it, also the late ones, keep an engine of the service busy.
func (p *Placer) EachLoad(service string, instances []*fleet.Instance, tell func(i *fleet.Instance, l Load, queue time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	model := p.model(service)
	for _, i := range instances {
		l := p.loadOf(i)
		queue := time.Duration(0)
		if unread := l.Pending.All(); unread != (Backlog{}) {
			queue = millis(model.Busy(unread))
		}
		tell(i, l, queue)
	}
}

// Place decides where a job is read, or where it runs if it is not read apart,
// and counts it there. The ticket is nil if the job is refused.
func (p *Placer) Place(j *Job) (Plan, *Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settleDomain(j)
	c := p.chooseGroup(j, nil, p.choose)
	if !c.placed() {
		return c.plan, nil
	}
	plan := c.plan
	t := &Ticket{
		p: p, model: p.model(j.Service.Name), shares: p.sharesOf(j.Service.Name), workspace: j.Workspace,
		tokens: j.Call.PromptTokens, parts: partsOf(j.Call), own: j.Call.PromptTokens - j.Call.SharedTokens(), begun: p.now(),
	}
	if plan.PrefillEngine != nil {
		if !p.reserve(t, &plan, c.job, c.runners) || !p.take(plan.PrefillEngine, &plan) {
			return plan, nil
		}
		t.read(&plan)
		return plan, t
	}
	if !p.take(plan.Target, &plan) {
		return plan, nil
	}
	t.run(plan.Target, j.Service.KVCapacity > 0)
	return plan, t
}

// choose decides where a job is read, or where it runs, among all that it permits, and counts nothing.
func (p *Placer) choose(j *Job) choice {
	readers, runners := p.split(j)
	c := choice{job: j, plan: Plan{Uncached: j.Call.PromptTokens, Reason: ReasonNonePermitted}, runners: runners}
	apart := j.Call.PromptTokens >= longPrompt && len(readers) > 0 && !j.SkipPrefill && p.policy.Has(Apart)
	switch {
	case len(runners) == 0:
		p.explainNone(&c.plan, j)
	case apart:
		p.chooseReader(&c.plan, j, partsOf(j.Call), readers)
	case j.Remaining <= 0:
		c.plan.Reason, c.plan.RetryAfter = ReasonHopeless, fullRetry
	default:
		p.chooseRunner(&c.plan, j, runners)
	}
	return c
}

// PlaceDecode decides where a job runs whose prompt has been read, and counts it
// there. It reports false if there is no runner; the plan then says why.
func (p *Placer) PlaceDecode(j *Job, plan *Plan, t *Ticket) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settleDomain(j)
	reason := plan.Reason
	if plan.Target = p.reserved(t, j); plan.Target != nil {
		plan.Granted = true
		t.run(plan.Target, false)
		return true
	}
	c := p.chooseGroup(j, plan.PrefillEngine, func(j *Job) choice { return p.chooseAfterRead(j, *plan) })
	*plan = c.plan
	if plan.Target == nil || !p.take(plan.Target, plan) {
		return false
	}
	plan.Reason = reason
	t.run(plan.Target, false)
	return true
}

// chooseAfterRead decides where a job runs whose prompt has been read by a plan.
func (p *Placer) chooseAfterRead(j *Job, plan Plan) choice {
	plan.Reason, plan.Target = ReasonNonePermitted, nil
	_, runners := p.split(j)
	c := choice{job: j, plan: plan, runners: runners}
	if len(runners) == 0 {
		p.explainNone(&c.plan, j)
	} else {
		p.chooseRunner(&c.plan, j, runners)
	}
	return c
}

// settleDomain states the domain of a job that is of this process.
func (p *Placer) settleDomain(j *Job) {
	if j.Domain == "" {
		j.Domain = p.domain
	}
}

// split parts the permitted instances by what they do. Those with an open breaker are
// left out as long as others are there.
func (p *Placer) split(j *Job) (readers, runners []*fleet.Instance) {
	now := p.now()
	readers, runners = p.parted(j, func(st *state) bool { return p.allows(st, now) })
	if len(runners) == 0 {
		return p.parted(j, func(*state) bool { return true })
	}
	return readers, runners
}

func (p *Placer) parted(j *Job, allowed func(*state) bool) (readers, runners []*fleet.Instance) {
	for _, i := range j.Permitted {
		st := p.state(i)
		switch {
		case j.Avoid[i.ID] || p.changing(i) || st.replaced || !allowed(st) || !p.withinLimit(j, i):
		case i.Role == engine.RolePrefill:
			readers = append(readers, i)
		default:
			runners = append(runners, i)
		}
	}
	return readers, runners
}

// allows reports whether an instance's breaker lets a request through.
func (p *Placer) allows(st *state, now time.Time) bool {
	return st.breaker.allows(now) || !p.policy.Has(Breakers)
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

// sharesOf returns the workspaces' unread prompts to a service. The caller holds the lock.
func (p *Placer) sharesOf(service string) *shares {
	s := p.shares[service]
	if s == nil {
		s = &shares{of: map[string]unreadShare{}}
		p.shares[service] = s
	}
	return s
}

const (
	// minRetry is the least time to come back: sooner, and nothing has changed.
	minRetry = 100 * time.Millisecond
	// fullRetry is when to ask again while everything is full: about as long as
	// an engine takes to finish a short request.
	fullRetry = 200 * time.Millisecond
)

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
