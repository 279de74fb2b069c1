package placement

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fleet"
)

// A replay drives placers with a load in virtual time. Engines read one prompt at a time,
// the most urgent first, and finish what they have begun; they keep what they read. Several
// placers decide, and hear of each other every exchangeEvery. The same seed gives the same
// course.
type replay struct {
	rng      *rand.Rand
	now      time.Time
	queue    events
	placers  []*Placer
	heard    []map[string]Load // by placer
	told     [][]uint64        // newest read of a placer that another has
	fleet    []*fleet.Instance
	engines  map[string]*simEngine
	outcomes map[string]*outcome
}

// kind is a kind of requests: its route, how many come a second, and its prompts.
type kind struct {
	name             string
	rank             int
	target, patience time.Duration
	perSecond        float64
	subjects         int
	shared, own      float64 // mean tokens
}

type outcome struct{ asked, inTime, served int }

// readingHeavy is a load of mostly reading: few long prompts and many short urgent ones.
var readingHeavy = []kind{
	{"long", 2, 600 * time.Millisecond, 2400 * time.Millisecond, 27, 124, 13300, 3720},
	{"middle", 1, 500 * time.Millisecond, 2 * time.Second, 13, 61, 6300, 2890},
	{"short", 0, 300 * time.Millisecond, 2 * time.Second, 53, 161, 350, 1110},
}

const exchangeEvery = 40 * time.Millisecond

type event struct {
	at   time.Time
	what func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type simEngine struct {
	cache   *prefixCache
	busy    bool
	waiting []*simRead
}

type simRead struct {
	rank   int
	by     time.Time
	ticket *Ticket
	call   *engine.Call
	done   func()
}

func newReplay(seed uint64, readers, runners, placers int) *replay {
	r := &replay{rng: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(0, 0), fleet: fleetOf(readers, runners), engines: map[string]*simEngine{}, outcomes: map[string]*outcome{}}
	for _, i := range r.fleet {
		r.engines[i.ID] = &simEngine{cache: newPrefixCache()}
		r.engines[i.ID].cache.resize(470_000)
	}
	for n := range placers {
		r.heard = append(r.heard, map[string]Load{})
		r.told = append(r.told, make([]uint64, placers))
		p := New("a", func(id string) Load { return r.heard[n][id] }, nil)
		p.now = func() time.Time { return r.now }
		r.placers = append(r.placers, p)
	}
	return r
}

func (r *replay) after(d time.Duration, what func()) { heap.Push(&r.queue, event{r.now.Add(d), what}) }

// run plays a load, each kind with exponential pauses, for a time.
func (r *replay) run(load []kind, factor float64, length time.Duration) {
	end := r.now.Add(length)
	for _, k := range load {
		r.outcomes[k.name] = &outcome{}
		var next func()
		next = func() {
			if r.now.After(end) {
				return
			}
			r.request(k)
			r.after(time.Duration(r.rng.ExpFloat64()/(k.perSecond*factor)*float64(time.Second)), next)
		}
		next()
	}
	var exchange func()
	exchange = func() {
		r.exchange()
		if r.now.Before(end) {
			r.after(exchangeEvery, exchange)
		}
	}
	exchange()
	for len(r.queue) > 0 {
		e := heap.Pop(&r.queue).(event)
		r.now = e.at
		e.what()
	}
}

// exchange tells each placer what the others have in hand and have had read.
func (r *replay) exchange() {
	for n := range r.placers {
		sum := map[string]Load{}
		for m, other := range r.placers {
			if m == n {
				continue
			}
			for id, l := range other.Own() {
				sum[id] = sum[id].Add(l)
			}
			var reads []Read
			reads, r.told[n][m] = other.ReadsAfter(r.told[n][m])
			for _, read := range reads {
				r.placers[n].Learn(read)
			}
		}
		r.heard[n] = sum
	}
}

// size draws a skewed size around a mean.
func (r *replay) size(mean float64) int { return int(mean * math.Exp(r.rng.NormFloat64()*0.8-0.32)) }

func (r *replay) request(k kind) {
	o, arrived := r.outcomes[k.name], r.now
	o.asked++
	subject := fmt.Sprint(k.name, r.rng.IntN(k.subjects))
	shared, own := int(k.shared), max(r.size(k.own), 64)
	call := &engine.Call{PromptTokens: shared + own, Parts: []engine.Part{{ID: subject, Tokens: shared}, {ID: "own", Tokens: own}}}
	p := r.placers[r.rng.IntN(len(r.placers))]
	plan, ticket := p.Place(&Job{
		Route: &fleet.Route{Name: k.name, LatencyTarget: k.target, Rank: k.rank}, Service: fleet.Service{Name: "m", KVCapacity: 470_000},
		Call: call, Left: k.patience, Permitted: r.fleet,
	})
	if ticket == nil {
		return
	}
	if plan.Reader == nil { // too short to be read apart
		o.served++
		o.inTime++
		ticket.Cancel()
		return
	}
	done := func() {
		o.served++
		if r.now.Sub(arrived) <= k.target {
			o.inTime++
		}
	}
	e := r.engines[plan.Reader.ID]
	e.waiting = append(e.waiting, &simRead{plan.Rank, arrived.Add(k.patience), ticket, call, done})
	r.start(e)
}

// start has an idle engine read the most urgent prompt that is still wanted.
func (r *replay) start(e *simEngine) {
	if e.busy {
		return
	}
	var next *simRead
	rest := e.waiting[:0]
	for _, w := range e.waiting {
		switch {
		case r.now.After(w.by):
			w.ticket.Cancel()
			continue
		case next == nil:
			next = w
			continue
		case w.rank < next.rank:
			next, w = w, next
		}
		rest = append(rest, w)
	}
	if e.waiting = rest; next == nil {
		return
	}
	parts := partsOf(next.call)
	work := workOf(next.call.PromptTokens, next.call.PromptTokens-e.cache.kept(parts))
	e.cache.read(parts, next.call.PromptTokens-next.call.SharedTokens())
	e.busy = true
	r.after(millis(trueRead(work)), func() {
		e.busy = false
		next.ticket.Read(true, Sound)
		next.done()
		next.ticket.Cancel()
		r.start(e)
	})
}

// trueRead is how long the engines take for a prompt, in ms.
func trueRead(w Work) float64 { return 5 + float64(w.Tokens)/64 + 0.65*float64(w.Pairs)/million }

// replays plays a load with eight seeds. It returns the outcomes and the share by which the
// learned models err in the mean over some prompts.
func replays(load []kind, factor float64, readers int) (map[string]outcome, float64) {
	sum, wrong, n := map[string]outcome{}, 0.0, 0.0
	for seed := range uint64(8) {
		r := newReplay(seed, readers, 4, 6)
		r.run(load, factor, 10*time.Second)
		for name, o := range r.outcomes {
			s := sum[name]
			sum[name] = outcome{s.asked + o.asked, s.inTime + o.inTime, s.served + o.served}
		}
		for _, p := range r.placers {
			for _, w := range []Work{workOf(1500, 1100), workOf(9000, 2900), workOf(17000, 3700), workOf(17000, 17000)} {
				wrong += math.Abs(p.model("m").Read(w)/trueRead(w) - 1)
				n++
			}
		}
	}
	return sum, wrong / n
}

func (o outcome) timely() float64 { return float64(o.inTime) / float64(o.asked) }

func (o outcome) answered() float64 { return float64(o.served) / float64(o.asked) }

// TestReplayShortPromptsPassLongOnes replays a load of mostly reading beyond what the
// readers can do. Short urgent prompts are read before the long ones, so they are neither
// late nor lost.
func TestReplayShortPromptsPassLongOnes(t *testing.T) {
	got, _ := replays(readingHeavy, 1.2, 6)
	t.Logf("short: in time %.3f, answered %.3f; long: in time %.3f, answered %.3f",
		got["short"].timely(), got["short"].answered(), got["long"].timely(), got["long"].answered())
	require.Greater(t, got["short"].answered(), 0.99)
	require.Greater(t, got["short"].timely(), 0.8)
}

// TestReplayEstimatesStayRight replays a load under which many reads wait for prompts of
// other processes that are not known yet. What is learned of the engines must not be
// spoilt by that.
func TestReplayEstimatesStayRight(t *testing.T) {
	_, wrong := replays(readingHeavy, 0.8, 12)
	t.Logf("estimates err by %.3f in the mean", wrong)
	require.Less(t, wrong, 0.25)
}
