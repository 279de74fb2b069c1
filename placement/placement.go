// Package placement decides where a request runs: which engine reads its prompt,
// which one generates, and when it is better refused at once. It keeps a model
// of each instance from what this process has sent there and how long it took,
// and from what the other processes say of theirs.
package placement

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fleet"
)

// Reason says why a plan is as it is.
type Reason string

// Reasons of plans.
const (
	// ReasonHolder is the engine that read the prompt's subject last.
	ReasonHolder Reason = "holder"
	// ReasonFetch is another engine, which takes what the holder keeps.
	ReasonFetch Reason = "fetch"
	// ReasonHome is the home of a subject that nobody has read lately.
	ReasonHome Reason = "home"
	// ReasonSpill is another engine, because the home is too busy.
	ReasonSpill Reason = "spill"
	// ReasonLeast is the instance with the least work.
	ReasonLeast Reason = "least-work"
	// ReasonNone means that no permitted instance takes requests.
	ReasonNone Reason = "none-permitted"
	// ReasonFull means that all permitted instances have as much as they take.
	ReasonFull Reason = "all-full"
	// ReasonHopeless means that no engine is expected to read the prompt before the
	// caller's time is up.
	ReasonHopeless Reason = "hopeless"
	// ReasonLate is the engine that has the least to read in all: no engine is
	// expected to answer in time.
	ReasonLate Reason = "too-late"
)

// Job is a request to be placed.
type Job struct {
	Route   *fleet.Route
	Service fleet.Service
	Call    *engine.Call
	// Left is how long the caller still waits.
	Left time.Duration
	// Spent is how long the request has been here.
	Spent time.Duration
	// Permitted are the instances that may run it, in the order of their IDs.
	Permitted []*fleet.Instance
	// Avoid holds the IDs of instances that failed this request.
	Avoid map[string]bool
	// NoRead is true if the prompt is not to be read apart: it has been read, or
	// the request goes on after events that were delivered.
	NoRead bool
}

// Plan is a decision.
type Plan struct {
	// Reader reads the prompt; nil if the runner does.
	Reader *fleet.Instance
	// Runner generates; nil if the request is refused.
	Runner *fleet.Instance
	// FetchFrom is an engine that is believed to keep parts of the prompt that
	// the reader does not.
	FetchFrom *fleet.Instance
	Reason    Reason
	// Uncached is how many prompt tokens are believed to be read.
	Uncached int
	// Ahead is the estimate of how long work ahead of the request takes.
	Ahead time.Duration
	// Read is the estimate of how long its own prompt takes.
	Read time.Duration
	// Late is true if the answer is not expected within the latency target.
	Late bool
	// RetryAfter is when to come back, if the request is refused.
	RetryAfter time.Duration
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

	mu        sync.Mutex
	instances map[string]*state
	models    map[string]*Model // by service
	subjects  *subjects
	peers     func(id string) Load
	changing  func(id string) bool
}

// New returns a placer for a process in the failure domain. peers tells what the
// other processes have in hand at an instance, changing whether an engine is
// about to change its role; either may be nil.
func New(domain string, peers func(id string) Load, changing func(id string) bool) *Placer {
	if peers == nil {
		peers = func(string) Load { return Load{} }
	}
	if changing == nil {
		changing = func(string) bool { return false }
	}
	return &Placer{domain: domain, instances: map[string]*state{}, models: map[string]*Model{}, subjects: newSubjects(), peers: peers, changing: changing}
}

// Load returns what all processes have in hand at an instance.
func (p *Placer) Load(i *fleet.Instance) Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.load(p.state(i))
}

// Queue returns how long the prompts in hand, also the late ones, keep an engine
// of the service busy.
func (p *Placer) Queue(service string, l Load) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return millis(p.model(service).Busy(l.withLate()))
}

// Place decides where a job is read, or where it runs if it is not read apart,
// and counts it there. The ticket is nil if the job is refused.
func (p *Placer) Place(j *Job) (Plan, *Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	readers, runners := p.split(j)
	plan := Plan{Uncached: j.Call.PromptTokens, Reason: ReasonNone}
	if len(runners) == 0 {
		return plan, nil
	}
	t := &Ticket{p: p, model: p.model(j.Service.Name), subject: j.Call.Subject(), begun: time.Now()}
	if j.Call.PromptTokens >= longPrompt && len(readers) > 0 && !j.NoRead {
		if p.chooseReader(&plan, j, readers); plan.Reader == nil {
			return plan, nil
		}
		t.read(&plan)
		return plan, t
	}
	if p.chooseRunner(&plan, runners); plan.Runner == nil {
		return plan, nil
	}
	t.run(plan.Runner)
	return plan, t
}

// PlaceRead decides where a job runs whose prompt has been read, and counts it
// there. It reports false if there is no runner; the plan then says why.
func (p *Placer) PlaceRead(j *Job, plan *Plan, t *Ticket) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	reason := plan.Reason
	plan.Reason = ReasonNone
	if _, runners := p.split(j); len(runners) > 0 {
		p.chooseRunner(plan, runners)
	}
	if plan.Runner == nil {
		return false
	}
	plan.Reason = reason
	t.run(plan.Runner)
	return true
}

// split parts the permitted instances by what they do.
func (p *Placer) split(j *Job) (readers, runners []*fleet.Instance) {
	for _, i := range j.Permitted {
		switch {
		case j.Avoid[i.ID] || p.changing(i.ID) || p.state(i).replaced:
		case i.Role == engine.RolePrefill:
			readers = append(readers, i)
		default:
			runners = append(runners, i)
		}
	}
	return readers, runners
}

// model returns the model of a service. The caller holds the lock.
func (p *Placer) model(service string) *Model {
	m := p.models[service]
	if m == nil {
		m = NewModel()
		p.models[service] = m
	}
	return m
}

// chooseReader picks the engine that is expected to have read the prompt first.
// A request that no engine is expected to read in time goes where the least waits
// in all, since it is read when nothing else is.
func (p *Placer) chooseReader(plan *Plan, j *Job, readers []*fleet.Instance) {
	keepers := p.keepers(j, readers)
	p.chooseLeast(plan, j, readers, keepers, func(l Load) Load { return l })
	estimate := plan.Ahead + plan.Read + millis(p.model(j.Service.Name).after)
	plan.Late = j.Route.LatencyTarget > 0 && estimate > j.Route.LatencyTarget-j.Spent
	if !plan.Late {
		return
	}
	p.chooseLeast(plan, j, readers, keepers, Load.withLate)
	plan.Reason = ReasonLate
	if all := plan.Ahead + plan.Read; all > j.Left {
		plan.Reader, plan.Reason = nil, ReasonHopeless
		plan.RetryAfter = max(all-j.Route.LatencyTarget, minRetry)
	}
}

// chooseLeast picks the reader with the shortest time until the prompt is read,
// counting the part of its load that counted returns.
func (p *Placer) chooseLeast(plan *Plan, j *Job, readers []*fleet.Instance, keepers keepers, counted func(Load) Load) {
	best := math.Inf(1)
	for _, r := range readers {
		e := p.estimate(j, r, keepers, counted)
		if e.score < best {
			best = e.score
			plan.Reader, plan.Uncached, plan.Ahead, plan.Read = r, e.uncached, millis(e.ahead), millis(e.read)
		}
	}
	plan.FetchFrom = nil
	switch {
	case plan.Reader == keepers.holder:
		plan.Reason = ReasonHolder
	case keepers.holder != nil:
		plan.Reason, plan.FetchFrom = ReasonFetch, keepers.holder
	case plan.Reader == keepers.home:
		plan.Reason = ReasonHome
	default:
		plan.Reason, plan.FetchFrom = ReasonSpill, keepers.home
	}
}

// keepers are the engines that are expected to keep a subject.
type keepers struct {
	// home is where a subject is read first, holder where it was read last, nil if
	// that is not known.
	home, holder *fleet.Instance
}

func (p *Placer) keepers(j *Job, readers []*fleet.Instance) keepers {
	subject := j.Call.Subject()
	return keepers{home: Home(subject, readers), holder: p.holder(subject, j.Permitted)}
}

// uncached returns how many tokens of a job's prompt a reader is expected to read.
func (k keepers) uncached(j *Job, r *fleet.Instance) int {
	shared := j.Call.SharedTokens()
	part := strangerCost
	switch {
	case r == k.holder:
		part = 0
	case k.holder != nil:
		part = fetchedCost
	case r == k.home:
		part = homeCost
	}
	return j.Call.PromptTokens - shared + int(part*float64(shared))
}

// estimate is what a reader is expected to take for a job, in ms.
type estimate struct {
	uncached    int
	ahead, read float64
	score       float64
}

func (p *Placer) estimate(j *Job, r *fleet.Instance, k keepers, counted func(Load) Load) estimate {
	st := p.state(r)
	model := p.model(j.Service.Name)
	e := estimate{uncached: k.uncached(j, r)}
	e.ahead = model.Busy(counted(p.load(st))) * st.pace
	e.read = model.Read(e.uncached) * st.pace
	e.score = (e.ahead + e.read) * st.penalty()
	if r.Domain != p.domain {
		e.score += farRead
	}
	return e
}

// minRetry is the least time to come back: sooner, and nothing has changed.
const minRetry = 100 * time.Millisecond

const (
	// fetchedCost is the part of the shared tokens that is expected to be read at
	// an engine that takes them from the one that read them last: the move costs
	// little, but they may have given way there.
	fetchedCost = 0.15
	// homeCost and strangerCost are for subjects that nobody has read lately.
	homeCost     = 0.5
	strangerCost = 0.6
)

// chooseRunner picks the instance with the least work, in the own failure domain
// if that makes no great difference.
func (p *Placer) chooseRunner(plan *Plan, runners []*fleet.Instance) {
	best := math.Inf(1)
	for _, r := range runners {
		st := p.state(r)
		if p.full(r, st) {
			continue
		}
		if score := p.runnerScore(r, st) + rand.Float64()*tieBreak; score < best {
			best = score
			plan.Runner = r
		}
	}
	if plan.Runner == nil {
		plan.Reason, plan.RetryAfter = ReasonFull, fullRetry
	} else if plan.Reader == nil {
		plan.Reason = ReasonLeast
	}
}

// full reports whether a runner has as much in hand as it takes.
func (p *Placer) full(r *fleet.Instance, st *state) bool {
	return r.Slots > 0 && float64(p.load(st).Requests) >= queueFactor*float64(r.Slots)
}

// runnerScore grows with how unfit a runner is.
func (p *Placer) runnerScore(r *fleet.Instance, st *state) float64 {
	load := p.load(st)
	score := (float64(load.Requests) + startingWeight*float64(load.Starting) + 1) * st.penalty()
	if r.Domain != p.domain {
		score += farShare * float64(r.Slots)
	}
	return score
}

const (
	// farShare is how much more of its slots an instance of the own failure domain
	// may have in hand than one elsewhere.
	farShare = 0.15
	// farRead is how much longer, in ms, a reader of the own failure domain may
	// take than one elsewhere.
	farRead = 10.0
	// tieBreak spreads the choices of processes that see the same loads.
	tieBreak = 0.5
	// fullRetry is when to ask again while everything is full: about as long as
	// an engine takes to finish a short request.
	fullRetry = 200 * time.Millisecond
)

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Home returns the engine that first reads a subject, by rendezvous hashing, so
// that all processes name the same one and a change of engines moves few subjects.
func Home(subject string, engines []*fleet.Instance) *fleet.Instance {
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
