// Package placement decides where a request runs: which engine reads its prompt,
// which one generates, and when it is better refused at once. It keeps a model
// of each instance from what this process has sent there and how long it took,
// and from what the other processes say of theirs.
package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
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
	// ReasonHome is the home engine of the prompt's subject.
	ReasonHome Reason = "home"
	// ReasonSpill is another engine, because the home is too busy.
	ReasonSpill Reason = "spill"
	// ReasonLeast is the instance with the least work.
	ReasonLeast Reason = "least-work"
	// ReasonNone means that no permitted instance takes requests.
	ReasonNone Reason = "none-permitted"
	// ReasonFull means that all permitted instances have as much as they take.
	ReasonFull Reason = "all-full"
	// ReasonLate means that no instance can answer in time.
	ReasonLate Reason = "too-late"
)

// Job is a request to be placed.
type Job struct {
	Route   *fleet.Route
	Service fleet.Service
	Call    *engine.Call
	// Left is how long the caller still waits.
	Left time.Duration
	// Permitted are the instances that may run it, in the order of their IDs.
	Permitted []*fleet.Instance
	// Avoid holds the IDs of instances that failed this request.
	Avoid map[string]bool
	// Resumed requests go on after events that were delivered.
	Resumed bool
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
	// RetryAfter is when to come back, if the request is refused.
	RetryAfter time.Duration
}

const (
	// longPrompt is the number of uncached prompt tokens from which a prompt is
	// read apart. Moving a prompt costs a round trip and the set-up of a move,
	// about as long as an engine takes to read this many.
	longPrompt = 1024
	// queueFactor is how many times its slots an instance may have in hand.
	queueFactor = 1.5
)

// Placer places requests. It is safe for concurrent use.
type Placer struct {
	domain string

	mu        sync.Mutex
	instances map[string]*state
	// Peers returns what the other processes have in hand at an instance.
	peers func(id string) Load
}

// Load is work in hand at an instance.
type Load struct {
	Requests int
	// Reading is the number of prompt tokens that are still to be read.
	Reading int
}

// New returns a placer for a process in the failure domain. peers tells what the
// other processes have in hand at an instance; it may be nil.
func New(domain string, peers func(id string) Load) *Placer {
	if peers == nil {
		peers = func(string) Load { return Load{} }
	}
	return &Placer{domain: domain, instances: map[string]*state{}, peers: peers}
}

// Place decides where a job runs and counts it there. The ticket is nil if the
// job is refused.
func (p *Placer) Place(j *Job) (Plan, *Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var readers, runners []*fleet.Instance
	for _, i := range j.Permitted {
		switch {
		case j.Avoid[i.ID]:
		case i.Role == engine.RolePrefill:
			readers = append(readers, i)
		default:
			runners = append(runners, i)
		}
	}
	plan := Plan{Uncached: j.Call.PromptTokens}
	if len(runners) == 0 {
		plan.Reason = ReasonNone
		return plan, nil
	}
	if j.Call.PromptTokens >= longPrompt && len(readers) > 0 && !j.Resumed {
		p.chooseReader(&plan, j, readers)
	}
	p.chooseRunner(&plan, j, runners)
	if plan.Runner == nil {
		return plan, nil
	}
	return plan, p.begin(j, &plan)
}

// chooseReader picks the engine that is expected to have read the prompt first.
func (p *Placer) chooseReader(plan *Plan, j *Job, readers []*fleet.Instance) {
	home := Home(j.Call.Subject(), readers)
	best := math.Inf(1)
	for _, r := range readers {
		st := p.state(r)
		uncached := j.Call.PromptTokens
		if r == home || st.keeps(j.Call.Subject()) {
			uncached -= j.Call.SharedTokens()
		}
		ahead := float64(p.load(st).Reading) / st.rate
		score := (ahead + float64(uncached)/st.rate) * st.penalty()
		if score < best {
			best = score
			plan.Reader, plan.Uncached = r, uncached
			plan.Ahead = millis(ahead)
			plan.Read = millis(float64(uncached) / st.rate)
		}
	}
	plan.Reason = ReasonSpill
	if plan.Reader == home {
		plan.Reason = ReasonHome
	} else if p.state(plan.Reader).keeps(j.Call.Subject()) {
		return
	} else {
		plan.FetchFrom = home
	}
}

// chooseRunner picks the instance with the least work, in the own failure domain
// if that makes no great difference.
func (p *Placer) chooseRunner(plan *Plan, j *Job, runners []*fleet.Instance) {
	best := math.Inf(1)
	full := true
	for _, r := range runners {
		st := p.state(r)
		load := p.load(st)
		if r.Slots > 0 && float64(load.Requests) >= queueFactor*float64(r.Slots) {
			continue
		}
		full = false
		score := (float64(load.Requests) + 1) * st.penalty()
		if r.Domain != p.domain {
			score += farPenalty
		}
		if score += rand.Float64() * tieBreak; score < best {
			best = score
			plan.Runner = r
		}
	}
	if full {
		plan.Reason = ReasonFull
		plan.RetryAfter = fullRetry
		return
	}
	if plan.Reader == nil {
		plan.Reason = ReasonLeast
	}
}

const (
	// farPenalty is how many requests more an instance of the own failure domain
	// may have than one elsewhere.
	farPenalty = 1.0
	// tieBreak spreads the choices of processes that see the same loads.
	tieBreak = 0.5
	// fullRetry is when to ask again while everything is full: about as long as
	// an engine takes to finish a short request.
	fullRetry = 200 * time.Millisecond
)

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Home returns the engine that keeps a subject, by rendezvous hashing, so that
// all processes name the same one and a change of engines moves few subjects.
func Home(subject string, engines []*fleet.Instance) *fleet.Instance {
	if len(engines) == 0 {
		return nil
	}
	return slices.MaxFunc(engines, func(a, b *fleet.Instance) int {
		return cmp.Compare(weight(subject, a.ID), weight(subject, b.ID))
	})
}

func weight(subject, id string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(subject)
	_, _ = h.WriteString("/")
	_, _ = h.WriteString(id)
	return h.Sum64()
}
