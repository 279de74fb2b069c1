package duty_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/capacity"
	"github.com/rockdoor/rockdoor/duty"
	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/rolekeeper"
	"github.com/rockdoor/rockdoor/internal/scaler"
	"github.com/rockdoor/rockdoor/internal/usage"
	"github.com/rockdoor/rockdoor/lease"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/objstore/memstore"
	"github.com/rockdoor/rockdoor/placement"
	"github.com/rockdoor/rockdoor/roles"
)

// The model plays some processes, a store and a platform in virtual time. Time passes only
// while all wait, so a minute takes some tens of milliseconds.

const (
	modelTTL    = 3 * time.Second
	modelApart  = modelTTL + 500*time.Millisecond
	modelWindow = 5 * time.Second
	modelDue    = 10 * time.Second
	// modelMargin is what a former version keeps from the end of its grant.
	modelMargin = 300 * time.Millisecond
	// longestFlight bounds the way of a call to the platform.
	longestFlight = 250 * time.Millisecond
	// longestLate bounds how late the store carries out a write that it did not answer.
	longestLate = 4 * time.Second
	// fastest is how much faster the clock of one process runs than that of another.
	fastest = 0.009
	// modelDomains and modelEngines are what there is to be ordered.
	modelDomains = 2
	modelEngines = 6
)

// call is one that reached the platform.
type call struct {
	at      time.Time
	machine string
	token   int64
	// subject is what the call is about: at one a time order counts.
	subject string
	// window and content are those of a report that was accepted.
	window  int64
	content string
}

// world is the store, the platform and all processes of one course.
type world struct {
	store *memstore.Store
	begun time.Time

	mu    sync.Mutex
	rng   *rand.Rand
	calls []call
	// unlawful are the calls without a lease that outlived them.
	unlawful []string
	roles    map[string]engine.Role
	// faults are in force until a time; the store's are those of all processes.
	faults map[effect]time.Time
}

// effect is what a fault does to a process, or to all if machine is empty.
type effect struct {
	kind    kind
	machine string
}

func newWorld(seed uint64) *world {
	w := &world{store: memstore.New(), begun: time.Now(), rng: rand.New(rand.NewPCG(seed, 1)), roles: map[string]engine.Role{}, faults: map[effect]time.Time{}}
	for n := range modelEngines {
		w.roles[fmt.Sprint("e", n)] = engine.RoleMixed
	}
	w.roles["e0"] = engine.RolePrefill
	return w
}

func (w *world) between(low, high time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return low + time.Duration(w.rng.Int64N(int64(high-low)))
}

// is reports whether a fault is in force.
func (w *world) is(k kind, machine string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.faults[effect{k, machine}])
}

// hit reports whether a fault strikes now, which it does three times in four.
func (w *world) hit(k kind, machine string) bool {
	if !w.is(k, machine) {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(4) > 0
}

func (w *world) set(e effect, length time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults[e] = time.Now().Add(length)
}

// holder returns what the store says of a lease.
func (w *world) holder(shard string) lease.Record {
	var rec lease.Record
	obj, err := w.store.Get(context.Background(), lease.KeyPrefix+shard)
	if err != nil || json.Unmarshal(obj.Value, &rec) != nil {
		return lease.Record{}
	}
	return rec
}

// process is one run of a process.
type process struct {
	w       *world
	machine string
	run     string
	// rate and ahead are those of its clock, skew how wrong its time of day is.
	rate  float64
	ahead time.Duration
	skew  time.Duration
	begun time.Time
	stop  context.CancelFunc
	ended sync.WaitGroup

	mu sync.Mutex
	// paused is until when it is paused; a dead one's calls reach nobody.
	paused time.Time
	dead   bool
}

// newProcess returns one that has to be started.
func newProcess(w *world, machine, run string) *process {
	return &process{
		w: w, machine: machine, run: run, begun: time.Now(), skew: w.between(0, 200*time.Millisecond),
		ahead: w.between(time.Second, time.Hour), rate: 1 + fastest*float64(w.between(0, time.Second))/float64(time.Second),
	}
}

// start runs the duties of a version.
func (p *process) start(duties func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	p.ended.Add(1)
	go func() {
		defer p.ended.Done()
		duties(ctx)
	}()
}

func (p *process) now() bootclock.Instant {
	return bootclock.Instant(p.ahead).Add(time.Duration(p.rate * float64(time.Since(p.begun))))
}

// gate is passed where the process may be paused.
func (p *process) gate() (alive bool) {
	for {
		p.mu.Lock()
		left, dead := time.Until(p.paused), p.dead
		p.mu.Unlock()
		if dead || left <= 0 {
			return !dead
		}
		time.Sleep(left)
	}
}

func (p *process) pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = time.Now().Add(d)
}

// kill ends the process without a word.
func (p *process) kill() {
	p.mu.Lock()
	p.dead = true
	p.mu.Unlock()
	p.stop()
}

// newest runs all duties of this version.
func (p *process) newest(ctx context.Context) {
	member := members.Member{Name: p.machine, Incarnation: p.run}
	a := duty.New(duty.Options{
		Store: link{p.w.store, p}, Self: member, TTL: modelTTL, HandoverDelay: modelApart, View: p.view,
		LivePeers: func() []string { return nil }, Now: p.now, Logger: log.NewNopLogger(),
	})
	now := func() time.Time { return time.Now().Add(p.skew) }
	ledger := usage.NewLedger(usage.Source{Process: p.machine, Incarnation: p.run}, modelWindow, now)
	reporter := usage.NewReporter(usage.ReporterOptions{
		Store: link{p.w.store, p}, Prefix: "usage/", Writer: p.run, Authority: a, Biller: p, Ledger: ledger, Due: modelDue,
		Collect: func(context.Context, int64) bool { return true }, Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger(),
	})
	s := scaler.New(scaler.Options{Authority: a, Orderer: p, View: p.view, Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger()})
	k := rolekeeper.New(rolekeeper.Options{
		Authority: a, Policy: roles.Packing, Engines: engines{p}, Placer: placement.New("a", p.load, nil), View: p.view,
		Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger(),
	})
	count := func(ctx context.Context) {
		for ctx.Err() == nil {
			ledger.Began("w")
			time.Sleep(p.w.between(50*time.Millisecond, time.Second))
		}
	}
	a.Run(ctx, reporter.Run, s.Run, k.Run, count)
}

// former does the duty of the version before, under the lease that it had.
func (p *process) former(ctx context.Context) {
	l := lease.New(lease.Options{
		Store: link{p.w.store, p}, Shard: formerShard, Holder: p.machine, Incarnation: p.run, TTL: modelTTL, Now: p.now, Logger: log.NewNopLogger(),
	})
	var token int64
	var since, stepped bootclock.Instant
	for ctx.Err() == nil && p.gate() {
		if p.now().Sub(stepped) > modelTTL/3 {
			stepped = p.now()
			sctx, cancel := context.WithTimeout(ctx, time.Second)
			_ = l.Step(sctx) // a failure shows in the grant
			cancel()
		}
		g, held := l.Grant()
		if held && g.Token != token {
			token, since = g.Token, p.now()
		}
		if held && p.now().Sub(since) >= modelApart && p.gate() && g.Valid(modelMargin) {
			p.send(formerShard, call{token: g.Token, subject: "role e1"})
		}
		time.Sleep(200 * time.Millisecond)
	}
	sctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = l.Release(sctx) // it ends by itself
}

// view is a fleet whose engines change their number and their load every few seconds.
func (p *process) view() *fleet.View {
	p.gate()
	phase := int(time.Now().Unix() / 7)
	prices := map[string]float64{}
	v := &fleet.View{Scheduling: !p.w.is(demoted, p.machine), InstancesKnown: true, StoreUp: true, Instances: map[string]*fleet.Instance{}}
	for n := range modelDomains {
		domain := fmt.Sprint("d", n)
		prices[domain] = 1
		for m := range (phase + n) % 3 {
			id := fmt.Sprint("s", n, "-", m)
			v.Instances[id] = &fleet.Instance{ID: id, Service: "plain", Domain: domain, Spot: m > 0}
		}
	}
	p.w.mu.Lock()
	for id, role := range p.w.roles {
		v.Instances[id] = &fleet.Instance{ID: id, Service: "model", Address: id, Domain: "a", Slots: 4, Role: role}
	}
	p.w.mu.Unlock()
	v.Config = &fleet.Config{Services: map[string]fleet.Service{
		"plain": {Name: "plain", Scaling: &fleet.Scaling{MinEngines: 1, MaxEngines: 6, Startup: time.Second, SpotPrice: 0.2, Prices: prices}},
		"model": {Name: "model", KVCapacity: 1, RoleChange: 50 * time.Millisecond},
	}}
	v.Index()
	return v
}

// load alternates between prompts that wait and answers that run.
func (p *process) load(id string) placement.Load {
	var l placement.Load
	if time.Now().Unix()/9%2 == 0 {
		l.Pending[0].Prompts = 100
	} else {
		l.Requests, l.LongResponses = 8, 8
	}
	return l
}

// send has a call reach the platform some time later.
func (p *process) send(shard string, c call) {
	rec := p.w.holder(shard)
	c.machine = p.machine
	if rec.Holder != p.machine || rec.Incarnation != p.run || rec.Token != c.token || rec.Released {
		p.w.mu.Lock()
		p.w.unlawful = append(p.w.unlawful, fmt.Sprintf("%s calls with token %d while the lease is %s's with %d", p.run, c.token, rec.Incarnation, rec.Token))
		p.w.mu.Unlock()
	}
	flight := p.w.between(time.Millisecond, longestFlight)
	go func() {
		time.Sleep(flight)
		p.w.mu.Lock()
		defer p.w.mu.Unlock()
		c.at = time.Now()
		p.w.calls = append(p.w.calls, c)
	}()
}

// post is the way of a call to the platform, and of its answer.
func (p *process) post(ctx context.Context, shard string, check func() error, c call) error {
	if !p.gate() || p.w.hit(cutPlatform, p.machine) {
		<-ctx.Done()
		return fault.New(fault.Unavailable, "platform is cut off", "wait")
	}
	if err := check(); err != nil {
		return err
	}
	refused := p.w.hit(platformDown, "")
	if refused {
		c.content = ""
	}
	p.send(shard, c)
	if p.w.hit(platformLost, "") {
		<-ctx.Done()
		return fault.New(fault.Unknown, "no answer", "wait")
	}
	time.Sleep(longestFlight + p.w.between(time.Millisecond, 100*time.Millisecond))
	p.gate()
	if refused {
		return fault.New(fault.Unavailable, "platform is down", "wait")
	}
	return nil
}

// ReportUsage implements usage.Biller.
func (p *process) ReportUsage(ctx context.Context, g duty.Grant, r usage.Report) error {
	return p.post(ctx, newShard, g.Check, call{token: g.Token, subject: "usage", window: r.Window, content: fmt.Sprint("counts ", r.Counts)})
}

// Order implements capacity.Orderer.
func (p *process) Order(ctx context.Context, g duty.Grant, o capacity.Order) error {
	return p.post(ctx, newShard, g.Check, call{token: g.Token, subject: fmt.Sprint("scale ", o.Domain, o.Spot)})
}

// engines are the engines as a process reaches them.
type engines struct{ *process }

// Report implements engine.Keeper.
func (e engines) Report(_ context.Context, address string) (engine.Report, error) {
	if !e.gate() {
		return engine.Report{}, fault.New(fault.Unavailable, "process is dead", "wait")
	}
	time.Sleep(e.w.between(time.Millisecond, 50*time.Millisecond))
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	return engine.Report{Role: e.w.roles[address]}, nil
}

// Order implements engine.Keeper.
func (e engines) Order(ctx context.Context, address string, o engine.RoleOrder) error {
	err := e.post(ctx, newShard, o.Check, call{token: o.Token, subject: "role " + address})
	if err == nil {
		e.w.mu.Lock()
		defer e.w.mu.Unlock()
		e.w.roles[address] = o.Role
	}
	return err
}

// link is the store as a process reaches it.
type link struct {
	objstore.Store
	p *process
}

// Get implements objstore.Store.
func (l link) Get(ctx context.Context, key string) (objstore.Object, error) {
	if !l.there(ctx) {
		return objstore.Object{}, fault.New(fault.Unavailable, "store is cut off", "wait")
	}
	obj, err := l.Store.Get(ctx, key)
	l.back()
	return obj, err
}

// Put implements objstore.Store.
func (l link) Put(ctx context.Context, key string, value []byte, ifVersion objstore.Version, writeID string) (objstore.Object, error) {
	if !l.there(ctx) {
		return objstore.Object{}, fault.New(fault.Unavailable, "store is cut off", "wait")
	}
	if l.p.w.hit(storeLate, "") {
		late := l.p.w.between(0, longestLate)
		go func() {
			time.Sleep(late)
			_, _ = l.Store.Put(context.Background(), key, value, ifVersion, writeID) // nobody hears of it
		}()
		return objstore.Object{}, fault.New(fault.Unknown, "no answer", "read it back")
	}
	obj, err := l.Store.Put(ctx, key, value, ifVersion, writeID)
	l.back()
	if l.p.w.hit(storeLost, "") {
		return objstore.Object{}, fault.New(fault.Unknown, "no answer", "read it back")
	}
	return obj, err
}

// there reports whether a call reaches the store.
func (l link) there(ctx context.Context) bool {
	if !l.p.gate() || l.p.w.hit(cutStore, l.p.machine) {
		<-ctx.Done()
		return false
	}
	slowest := 10 * time.Millisecond
	if l.p.w.hit(storeSlow, "") {
		slowest = 700 * time.Millisecond
	}
	time.Sleep(l.p.w.between(time.Millisecond, slowest))
	return l.p.gate()
}

// back is the way of an answer.
func (l link) back() {
	time.Sleep(l.p.w.between(time.Millisecond, 5*time.Millisecond))
	l.p.gate()
}
