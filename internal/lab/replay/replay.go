// Package replay drives the placement of prompts with a load in virtual time, without
// processes or a network: placers that hear of each other late, engines that read one
// prompt at a time, keep what fits into their memory and generate in slots. The same seed
// gives the same course, and what comes does not depend on what is decided, so that two
// versions of a decision can be compared in seconds.
//
// Roles do not change, engines neither come nor go, and reading does not delay what runs
// beside it.
package replay

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/placement"
)

// Options of a replay.
type Options struct {
	Load []Kind
	// Factor multiplies the load's rates.
	Factor float64
	Bursts []Burst
	// Length is how long requests come.
	Length time.Duration
	// Readers is the number of engines that read, Runners of those that generate, 0 for
	// fewRunners, Placers that of processes that decide.
	Readers, Runners, Placers int
	Engines                   Engines
	Faults                    []Fault
	// Domains is the number of failure domains, 0 for one, over which engines and placers
	// are spread in turn. Cross is how long bytes take from one to another.
	Domains int
	Cross   time.Duration
	// Exchange is how often placers tell each other of their work, 0 for exchangeEvery.
	Exchange time.Duration
	// Warm has each engine keep what it is home to from the start. Unknown is true if the
	// placers are not told of it.
	Warm, Unknown bool
	// RefusalCost is the part of its worth that a refused request costs.
	RefusalCost float64
	// IgnorePatience has callers' headers taken for how long they wait.
	IgnorePatience bool
	// Workspace returns that of a kind's callers; nil if they have none.
	Workspace func(kind string) string
	Policy    placement.Policy
	// Ungrouped has each decision look at all engines.
	Ungrouped bool
	Seed      uint64
}

// Outcome counts the requests of one kind.
type Outcome struct{ Asked, InTime, Answered int }

// Add returns the sum of two outcomes.
func (o Outcome) Add(p Outcome) Outcome {
	return Outcome{o.Asked + p.Asked, o.InTime + p.InTime, o.Answered + p.Answered}
}

// Result of a replay.
type Result struct {
	// Outcomes are by the name of the kind.
	Outcomes map[string]Outcome
	// EstimateError is by which share the placers' estimates for an idle engine are off in
	// the mean over some prompts, at the end.
	EstimateError float64
	// Owed is what answers in time to all requests are worth, Earned what was answered,
	// Prices what refusals and holding what was not served cost.
	Owed, Earned, Prices float64
}

const (
	service = "model"
	// exchangeEvery is how often placers tell each other of their work if nothing else is
	// stated: between the two paces of the gateways' digests.
	exchangeEvery = 40 * time.Millisecond
	// sizeSpread is the deviation of the logarithm of own tokens, leastOwn the fewest.
	sizeSpread = 0.8
	leastOwn   = 64
	fewRunners = 4
)

// replay is one course. All of it happens in one goroutine.
type replay struct {
	o       Options
	rng     *rand.Rand
	started time.Time
	now     time.Time
	queue   events
	placers []*placement.Placer
	// heard is what each placer was last told of the others, told the number of the newest
	// read that it has of each.
	heard   []map[string]placement.Load
	told    [][]uint64
	fleet   []*fleet.Instance
	pool    *fleet.Pool
	engines map[string]*simEngine
	result  Result
}

// Run plays a load.
func Run(o Options) Result {
	start := time.Unix(0, 0)
	r := &replay{
		o: o.withDefaults(), rng: rand.New(rand.NewPCG(o.Seed, 0)), started: start, now: start,
		engines: map[string]*simEngine{}, result: Result{Outcomes: map[string]Outcome{}},
	}
	r.buildEngines()
	r.buildPlacers()
	if o.Warm {
		r.warm()
	}
	end := r.now.Add(o.Length)
	for _, k := range o.Load {
		r.arrivals(k, end)
	}
	r.exchanges(end)
	for len(r.queue) > 0 {
		e, _ := heap.Pop(&r.queue).(event)
		r.now = e.at
		e.do()
	}
	r.result.EstimateError = r.estimateError()
	return r.result
}

func (r *replay) buildEngines() {
	for n := range r.o.Readers + r.o.Runners {
		i := &fleet.Instance{ID: fmt.Sprintf("reader-%02d", n), Role: engine.RolePrefill, Domain: r.domain(n), Slots: r.o.Engines.Slots}
		if n >= r.o.Readers {
			i.ID, i.Role = fmt.Sprintf("runner-%02d", n), engine.RoleMixed
		}
		e := &simEngine{Instance: i, engines: r.o.Engines, memory: newMemory(r.o.Engines.Memory)}
		for _, f := range r.o.Faults {
			if f.Engine == n {
				e.faults = append(e.faults, f)
			}
		}
		r.fleet = append(r.fleet, i)
		r.engines[i.ID] = e
	}
	r.pool = &fleet.Pool{All: r.fleet}
}

// buildPlacers makes the processes that decide. Their ties are broken by numbers apart from
// those of the load, which must not depend on decisions.
func (r *replay) buildPlacers() {
	ties := rand.New(rand.NewPCG(r.o.Seed, 1))
	for n := range r.o.Placers {
		r.heard = append(r.heard, map[string]placement.Load{})
		r.told = append(r.told, make([]uint64, r.o.Placers))
		p := placement.New(r.domain(n), func(id string) placement.Load { return r.heard[n][id] }, nil)
		p.SetClock(func() time.Time { return r.now })
		p.SetRandom(ties.Float64)
		p.SetPolicy(r.o.Policy)
		r.placers = append(r.placers, p)
	}
}

// domain returns the failure domain of an engine or placer by its number.
func (r *replay) domain(n int) string { return string(rune('a' + n%r.o.Domains)) }

// warm has each engine that reads keep the subjects that it is home to.
func (r *replay) warm() {
	kept := map[string][]engine.Part{}
	for _, k := range r.o.Load {
		for n := range k.Subjects {
			id := subject(k, n)
			home := placement.PreferredEngine(id, r.readersOf(id))
			r.engines[home.ID].memory.read(id, k.Shared, 0)
			kept[home.ID] = append(kept[home.ID], engine.Part{ID: id, Tokens: k.Shared})
		}
	}
	if r.o.Unknown {
		return
	}
	for _, p := range r.placers {
		for id, parts := range kept {
			p.RestoreCache(r.engines[id].Instance, r.o.Engines.Memory, parts)
		}
	}
}

// groups divides the engines as the gateways do.
func (r *replay) groups() [][]*fleet.Instance {
	if r.o.Ungrouped {
		return nil
	}
	return r.pool.Groups()
}

// readersOf returns the engines that read among those of a subject's group.
func (r *replay) readersOf(subject string) []*fleet.Instance {
	group := r.fleet
	if groups := r.groups(); len(groups) > 1 {
		group = groups[fleet.GroupIndex(subject, len(groups))]
	}
	return slices.DeleteFunc(slices.Clone(group), func(i *fleet.Instance) bool { return i.Role != engine.RolePrefill })
}

func subject(k Kind, n int) string { return fmt.Sprint(k.Name, n) }

// arrivals makes requests of a kind, with exponential pauses.
func (r *replay) arrivals(k Kind, end time.Time) {
	if r.now.After(end) {
		return
	}
	r.request(k)
	pause := r.rng.ExpFloat64() / r.o.rate(k, r.since())
	r.after(time.Duration(pause*float64(time.Second)), func() { r.arrivals(k, end) })
}

// exchanges has the placers tell each other of their work.
func (r *replay) exchanges(end time.Time) {
	for n := range r.placers {
		r.heard[n] = r.others(n)
	}
	if r.now.Before(end) {
		r.after(r.o.Exchange, func() { r.exchanges(end) })
	}
}

// others returns what the other placers have in hand, and tells a placer of their reads.
func (r *replay) others(n int) map[string]placement.Load {
	sum := map[string]placement.Load{}
	for m, other := range r.placers {
		if m == n {
			continue
		}
		for id, l := range other.LocalLoads() {
			sum[id] = sum[id].Add(l)
		}
		var reads []placement.Prefill
		reads, r.told[n][m] = other.PrefillsAfter(r.told[n][m])
		for _, read := range reads {
			r.placers[n].ApplyRemotePrefill(read)
		}
	}
	return sum
}

// request makes a request of a kind.
func (r *replay) request(k Kind) {
	name := subject(k, r.rng.IntN(k.Subjects))
	own := max(int(float64(k.Own)*math.Exp(r.rng.NormFloat64()*sizeSpread-sizeSpread*sizeSpread/2)), leastOwn)
	by := r.rng.IntN(len(r.placers))
	q := &request{
		kind: k, placer: r.placers[by], domain: r.domain(by), arrived: r.now, until: r.now.Add(k.Patience), subject: name,
		worth: k.worthOf(k.Shared + own),
		job: &placement.Job{
			Route: &fleet.Route{Name: k.Name, LatencyTarget: k.Target, Rank: k.Rank}, Service: fleet.Service{Name: service, KVCapacity: r.o.Engines.Memory},
			Call:      &engine.Call{PromptTokens: k.Shared + own, Parts: []engine.Part{{ID: name, Tokens: k.Shared}, {ID: "own", Tokens: own}}},
			Permitted: r.fleet, Groups: r.groups, Avoid: map[string]bool{}, Workspace: r.workspace(k),
		},
	}
	r.result.Owed += q.worth
	r.count(q, Outcome{Asked: 1})
	r.place(q)
}

// workspace returns that of a kind's callers.
func (r *replay) workspace(k Kind) string {
	if r.o.Workspace == nil {
		return ""
	}
	return r.o.Workspace(k.Name)
}

func (r *replay) estimateError() float64 {
	sum, n := 0.0, 0.0
	for _, p := range r.placers {
		for _, w := range []placement.Work{
			placement.PrefillWork(1500, 1100), placement.PrefillWork(9000, 2900), placement.PrefillWork(17000, 3700), placement.PrefillWork(17000, 17000),
		} {
			sum += math.Abs(float64(p.EstimatePrefill(service, w))/float64(r.o.Engines.readTime(w)) - 1)
			n++
		}
	}
	return sum / n
}

// since returns how long the replay has run.
func (r *replay) since() time.Duration { return r.now.Sub(r.started) }

func (r *replay) after(d time.Duration, do func()) { heap.Push(&r.queue, event{r.now.Add(d), do}) }
