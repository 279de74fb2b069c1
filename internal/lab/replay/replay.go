// Package replay simulates the placement of prompts under a load in virtual time, without processes
// or a network. Placers learn of each other's work with a delay. Engines prefill one prompt at a
// time, cache as much as fits into their KV cache, and decode in slots. The same seed gives the
// same result, and arrivals do not depend on decisions, so that two versions of a decision can be
// compared in seconds.
//
// Roles do not change, no engines are added or removed, and prefill does not delay the requests
// that the same engine decodes.
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
	"github.com/rockdoor/rockdoor/profile"
)

// Options configure a replay.
type Options struct {
	Load []Kind
	// Factor multiplies the rates of the load.
	Factor float64
	Bursts []Burst
	// Length is how long requests arrive.
	Length time.Duration
	// PrefillEngines is the number of prefill engines, MixedEngines that of mixed engines (0 means
	// defaultMixedEngines), and Placers that of processes that decide on placement.
	PrefillEngines, MixedEngines, Placers int
	EngineProfile                         EngineProfile
	Faults                                []Fault
	// Speeds are the speeds of the engines by turns, prefill and mixed engines apart; none means 1.
	Speeds     []float64
	SlowPhases SlowPhases
	Features   placement.Features
	// Domains is the number of failure domains, to which engines and placers are assigned round
	// robin; 0 means one. CrossDomainDelay is the network delay between two of them.
	Domains          int
	CrossDomainDelay time.Duration
	// ExchangeInterval is the interval at which placers exchange their loads; 0 means
	// defaultExchangeInterval.
	ExchangeInterval time.Duration
	// WarmCaches has each engine start with the prompt prefixes cached for which it is the
	// preferred engine. UnknownCaches is true if the placers are not told of them.
	WarmCaches, UnknownCaches bool
	// RejectionCost is the penalty for a rejected request, as a share of its worth.
	RejectionCost float64
	// UseStatedTimeout has placement use the stated timeout of requests instead of the actual
	// client timeout.
	UseStatedTimeout bool
	// Workspace returns the workspace of a kind's clients; nil means no workspaces.
	Workspace func(kind string) string
	Policy    placement.Policy
	// Ungrouped has each decision consider all engines.
	Ungrouped bool
	Seed      uint64
}

// Outcome counts the requests of one kind.
type Outcome struct{ Requests, InTime, Answered int }

// Add returns the sum of two outcomes.
func (o Outcome) Add(p Outcome) Outcome {
	return Outcome{o.Requests + p.Requests, o.InTime + p.InTime, o.Answered + p.Answered}
}

// Result holds the outcomes of a replay.
type Result struct {
	// Outcomes is indexed by the name of the kind.
	Outcomes map[string]Outcome
	// EstimateError is the mean relative error of the placers' prefill estimates for an idle engine
	// at the end of the replay, over some prompts.
	EstimateError float64
	// MaxWorth is the worth of in-time responses to all requests, EarnedWorth that of the actual
	// responses, and Penalties the cost of rejecting requests and of holding requests that were not
	// served.
	MaxWorth, EarnedWorth, Penalties float64
	// MostPrefillOfDue and MostDecodeOfDue are the largest share of the work that any engine of a role got,
	// relative to its share of the speed of all engines of the role.
	MostPrefillOfDue, MostDecodeOfDue float64
}

const (
	service = "model"
	// defaultExchangeInterval is the default interval at which placers exchange their loads. It
	// lies between the two intervals that gateways use.
	defaultExchangeInterval = 40 * time.Millisecond
	// sizeSpread is the standard deviation of the logarithm of a request's own tokens, minOwnTokens
	// their minimum.
	sizeSpread          = 0.8
	minOwnTokens        = 64
	defaultMixedEngines = 4
	// profileInterval is the interval at which placers review and exchange profiles.
	profileInterval = time.Second
)

// replay is the state of one simulation run. It is used by a single goroutine.
type replay struct {
	o       Options
	rng     *rand.Rand
	started time.Time
	now     time.Time
	queue   eventQueue
	placers []*placement.Placer
	// knownLoads holds, for each placer, the loads that it last received from the others;
	// lastPrefills the sequence number of the newest prefill that it has from each.
	knownLoads   []map[string]placement.Load
	lastPrefills [][]uint64
	// knownProfiles holds, for each placer, the profiles by its own measurements.
	knownProfiles []map[string]profile.Profile
	instances     []*fleet.Instance
	pool          *fleet.Pool
	engines       map[string]*simEngine
	result        Result
}

// Run simulates a load.
func Run(o Options) Result {
	start := time.Unix(0, 0)
	r := &replay{
		o: o.withDefaults(), rng: rand.New(rand.NewPCG(o.Seed, 0)), started: start, now: start,
		engines: map[string]*simEngine{}, result: Result{Outcomes: map[string]Outcome{}},
	}
	r.buildEngines()
	r.buildPlacers()
	if o.WarmCaches {
		r.warmCaches()
	}
	end := r.now.Add(o.Length)
	for _, k := range o.Load {
		r.scheduleArrivals(k, end)
	}
	r.exchangeLoads(end)
	if o.Features.EngineProfiles {
		r.reviewProfiles(end)
	}
	for len(r.queue) > 0 {
		e, _ := heap.Pop(&r.queue).(event)
		r.now = e.at
		e.do()
	}
	r.result.EstimateError = r.estimateError()
	r.result.MostPrefillOfDue = r.mostOfDue(r.instances[:r.o.PrefillEngines], func(e *simEngine) float64 { return e.prefilled })
	r.result.MostDecodeOfDue = r.mostOfDue(r.instances[r.o.PrefillEngines:], func(e *simEngine) float64 { return e.decoded })
	return r.result
}

// buildEngines creates the engines. The preferred engines of prompt prefixes depend on the engines'
// IDs, so that other IDs would change the results.
func (r *replay) buildEngines() {
	for n := range r.o.PrefillEngines + r.o.MixedEngines {
		i := &fleet.Instance{ID: fmt.Sprintf("reader-%02d", n), Service: service, Role: engine.RolePrefill, Domain: r.domain(n), Slots: r.o.EngineProfile.Slots}
		if n >= r.o.PrefillEngines {
			i.ID, i.Role = fmt.Sprintf("runner-%02d", n), engine.RoleMixed
		}
		e := &simEngine{
			Instance: i, speed: r.speed(n), slowPhases: r.o.SlowPhases, phaseRNG: rand.New(rand.NewPCG(r.o.Seed, uint64(n)+2)),
			profile: r.o.EngineProfile, cache: newPromptCache(r.o.EngineProfile.CacheTokens),
		}
		for _, f := range r.o.Faults {
			if f.Engine == n {
				e.faults = append(e.faults, f)
			}
		}
		r.instances = append(r.instances, i)
		r.engines[i.ID] = e
	}
	r.pool = &fleet.Pool{All: r.instances}
}

// buildPlacers creates the placers. They break ties with their own random numbers, because those of
// the load must not depend on decisions.
func (r *replay) buildPlacers() {
	ties := rand.New(rand.NewPCG(r.o.Seed, 1))
	for n := range r.o.Placers {
		r.knownLoads = append(r.knownLoads, map[string]placement.Load{})
		r.knownProfiles = append(r.knownProfiles, nil)
		r.lastPrefills = append(r.lastPrefills, make([]uint64, r.o.Placers))
		p := placement.New(r.domain(n), func(id string) placement.Load { return r.knownLoads[n][id] }, nil)
		p.SetClock(func() time.Time { return r.now })
		p.SetRandom(ties.Float64)
		p.SetPolicy(r.o.Policy)
		p.SetFeatures(r.o.Features)
		p.SetPeerProfiles(func(id string, _ int64) profile.Profile { return r.peerProfile(n, id) })
		r.placers = append(r.placers, p)
	}
}

// domain returns the failure domain of an engine or placer, by its index.
func (r *replay) domain(n int) string { return string(rune('a' + n%r.o.Domains)) }

// warmCaches adds to each prefill engine's cache the prompt prefixes for which it is the preferred
// engine.
func (r *replay) warmCaches() {
	cached := map[string][]engine.Part{}
	for _, k := range r.o.Load {
		for n := range k.Prefixes {
			id := prefixID(k, n)
			preferred := placement.PreferredEngine(id, r.prefillEnginesOf(id))
			r.engines[preferred.ID].cache.add(id, k.PrefixTokens, 0)
			cached[preferred.ID] = append(cached[preferred.ID], engine.Part{ID: id, Tokens: k.PrefixTokens})
		}
	}
	if r.o.UnknownCaches {
		return
	}
	for _, p := range r.placers {
		for id, parts := range cached {
			p.RestoreCache(r.engines[id].Instance, r.o.EngineProfile.CacheTokens, parts)
		}
	}
}

// groups divides the engines into groups as the gateways do.
func (r *replay) groups() [][]*fleet.Instance {
	if r.o.Ungrouped {
		return nil
	}
	return r.pool.Groups()
}

// prefillEnginesOf returns the prefill engines in the group of a prompt prefix.
func (r *replay) prefillEnginesOf(prefix string) []*fleet.Instance {
	group := r.instances
	if groups := r.groups(); len(groups) > 1 {
		group = groups[fleet.GroupIndex(prefix, len(groups))]
	}
	return slices.DeleteFunc(slices.Clone(group), func(i *fleet.Instance) bool { return i.Role != engine.RolePrefill })
}

func prefixID(k Kind, n int) string { return fmt.Sprint(k.Name, n) }

// scheduleArrivals creates requests of a kind as a Poisson process.
func (r *replay) scheduleArrivals(k Kind, end time.Time) {
	if r.now.After(end) {
		return
	}
	r.createRequest(k)
	pause := r.rng.ExpFloat64() / r.o.rate(k, r.elapsed())
	r.schedule(time.Duration(pause*float64(time.Second)), func() { r.scheduleArrivals(k, end) })
}

// exchangeLoads has the placers exchange their loads periodically.
func (r *replay) exchangeLoads(end time.Time) {
	for n := range r.placers {
		r.knownLoads[n] = r.remoteLoads(n)
	}
	if r.now.Before(end) {
		r.schedule(r.o.ExchangeInterval, func() { r.exchangeLoads(end) })
	}
}

// speed returns the speed of an engine, by its index.
func (r *replay) speed(n int) float64 {
	if len(r.o.Speeds) == 0 {
		return 1
	}
	if n >= r.o.PrefillEngines {
		n -= r.o.PrefillEngines
	}
	return r.o.Speeds[n%len(r.o.Speeds)]
}

// mostOfDue returns the largest share of the work of any engine relative to its share of the speed.
func (r *replay) mostOfDue(engines []*fleet.Instance, work func(*simEngine) float64) float64 {
	all, speeds, most := 0.0, 0.0, 0.0
	for _, i := range engines {
		e := r.engines[i.ID]
		all += work(e)
		speeds += e.speed
	}
	for _, i := range engines {
		e := r.engines[i.ID]
		most = max(most, work(e)/e.speed/all*speeds)
	}
	return most
}

// reviewProfiles has the placers review the engines' profiles and exchange them periodically.
func (r *replay) reviewProfiles(end time.Time) {
	for n, p := range r.placers {
		known := map[string]profile.Profile{}
		for _, s := range p.ReviewProfiles(nil) {
			known[s.Instance] = s.Own
		}
		r.knownProfiles[n] = known
	}
	if r.now.Before(end) {
		r.schedule(profileInterval, func() { r.reviewProfiles(end) })
	}
}

// peerProfile returns what the peers of a placer have measured of an engine.
func (r *replay) peerProfile(n int, id string) profile.Profile {
	out := profile.Profile{}
	for m, known := range r.knownProfiles {
		if m != n {
			out = out.Merge(known[id])
		}
	}
	return out
}

// remoteLoads returns the loads of a placer's peers and applies their prefills to the placer.
func (r *replay) remoteLoads(n int) map[string]placement.Load {
	sum := map[string]placement.Load{}
	for m, other := range r.placers {
		if m == n {
			continue
		}
		for id, l := range other.LocalLoads() {
			sum[id] = sum[id].Add(l)
		}
		var prefills []placement.Prefill
		prefills, r.lastPrefills[n][m] = other.PrefillsAfter(r.lastPrefills[n][m])
		for _, prefill := range prefills {
			r.placers[n].ApplyRemotePrefill(prefill)
		}
	}
	return sum
}

// createRequest creates a request of a kind and has it placed.
func (r *replay) createRequest(k Kind) {
	name := prefixID(k, r.rng.IntN(k.Prefixes))
	own := max(int(float64(k.OwnTokens)*math.Exp(r.rng.NormFloat64()*sizeSpread-sizeSpread*sizeSpread/2)), minOwnTokens)
	by := r.rng.IntN(len(r.placers))
	q := &request{
		kind: k, placer: r.placers[by], domain: r.domain(by), arrived: r.now, deadline: r.now.Add(k.ClientTimeout), prefix: name,
		worth: k.worthOf(k.PrefixTokens + own),
		job: &placement.Job{
			Route: &fleet.Route{Name: k.Name, LatencyTarget: k.TargetLatency, Rank: k.Rank}, Service: fleet.Service{Name: service, KVCapacity: r.o.EngineProfile.CacheTokens},
			Call:      &engine.Call{PromptTokens: k.PrefixTokens + own, Parts: []engine.Part{{ID: name, Tokens: k.PrefixTokens}, {ID: "own", Tokens: own}}},
			Permitted: r.instances, Groups: r.groups, Avoid: map[string]bool{}, Workspace: r.workspace(k),
		},
	}
	r.result.MaxWorth += q.worth
	r.count(q, Outcome{Requests: 1})
	r.place(q)
}

// workspace returns the workspace of a kind's clients.
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
			sum += math.Abs(float64(p.EstimatePrefill(service, w))/float64(r.o.EngineProfile.prefillTime(w)) - 1)
			n++
		}
	}
	return sum / n
}

// elapsed returns the virtual time since the start.
func (r *replay) elapsed() time.Duration { return r.now.Sub(r.started) }

func (r *replay) schedule(d time.Duration, do func()) { heap.Push(&r.queue, event{r.now.Add(d), do}) }
