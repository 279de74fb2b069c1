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

// The model simulates several processes, a store and a platform in virtual time. Time advances only
// while all goroutines wait, so a minute takes some tens of milliseconds.

const (
	modelTTL           = 3 * time.Second
	modelHandoverDelay = modelTTL + 500*time.Millisecond
	modelWindow        = 5 * time.Second
	modelDue           = 10 * time.Second
	// modelMargin is the minimum remaining time of a grant under which the previous version sends a
	// request.
	modelMargin = 300 * time.Millisecond
	// maxTransit is the maximum time in which a request reaches the platform.
	maxTransit = 250 * time.Millisecond
	// maxWriteDelay is the maximum delay of a write that the store carries out without a response.
	maxWriteDelay = 4 * time.Second
	// maxDrift is the maximum relative drift between the clocks of two processes.
	maxDrift = 0.009
	// modelDomains is the number of failure domains in which engines can be ordered. modelEngines
	// is the number of engines whose roles can be changed.
	modelDomains = 2
	modelEngines = 6
)

// call is a request that reached the platform.
type call struct {
	at    time.Time
	host  string
	token int64
	// subject is what the call changes. Tokens must not decrease among the calls of one subject.
	subject string
	// window and content are those of an accepted usage report.
	window  int64
	content string
}

// world is the store, the platform and the state of all faults in one simulation.
type world struct {
	store     *memstore.Store
	startedAt time.Time

	mu    sync.Mutex
	rng   *rand.Rand
	calls []call
	// unauthorized describes the calls of processes that did not hold the lease at the time.
	unauthorized []string
	roles        map[string]engine.Role
	// faults maps each active fault to the time at which it ends.
	faults map[effect]time.Time
}

// effect identifies a fault of one host, or of all hosts if host is empty.
type effect struct {
	kind faultKind
	host string
}

func newWorld(seed uint64) *world {
	w := &world{store: memstore.New(), startedAt: time.Now(), rng: rand.New(rand.NewPCG(seed, 1)), roles: map[string]engine.Role{}, faults: map[effect]time.Time{}}
	for n := range modelEngines {
		w.roles[fmt.Sprint("e", n)] = engine.RoleMixed
	}
	w.roles["e0"] = engine.RolePrefill
	return w
}

func (w *world) randomBetween(low, high time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return low + time.Duration(w.rng.Int64N(int64(high-low)))
}

// active reports whether a fault is active.
func (w *world) active(k faultKind, host string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.faults[effect{k, host}])
}

// strikes reports whether a fault affects the current call. An active fault affects three calls in
// four.
func (w *world) strikes(k faultKind, host string) bool {
	if !w.active(k, host) {
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

// holder returns the stored record of a lease.
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
	world *world
	host  string
	run   string
	// clockRate and clockOffset describe its boot-time clock, wallClockSkew its wall clock.
	clockRate     float64
	clockOffset   time.Duration
	wallClockSkew time.Duration
	startedAt     time.Time
	stop          context.CancelFunc
	done          sync.WaitGroup

	mu sync.Mutex
	// pausedUntil is the end of the current pause. The calls of a dead process reach nobody.
	pausedUntil time.Time
	dead        bool
}

// newProcess returns a process that is not started yet.
func newProcess(w *world, host, run string) *process {
	return &process{
		world: w, host: host, run: run, startedAt: time.Now(), wallClockSkew: w.randomBetween(0, 200*time.Millisecond),
		clockOffset: w.randomBetween(time.Second, time.Hour), clockRate: 1 + maxDrift*float64(w.randomBetween(0, time.Second))/float64(time.Second),
	}
}

// start runs the duties of a version.
func (p *process) start(duties func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	p.done.Add(1)
	go func() {
		defer p.done.Done()
		duties(ctx)
	}()
}

func (p *process) now() bootclock.Instant {
	return bootclock.Instant(p.clockOffset).Add(time.Duration(p.clockRate * float64(time.Since(p.startedAt))))
}

// waitWhilePaused blocks while the process is paused, and returns false if it is dead. It is called
// wherever a pause may take effect.
func (p *process) waitWhilePaused() (alive bool) {
	for {
		p.mu.Lock()
		remaining, dead := time.Until(p.pausedUntil), p.dead
		p.mu.Unlock()
		if dead || remaining <= 0 {
			return !dead
		}
		time.Sleep(remaining)
	}
}

func (p *process) pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pausedUntil = time.Now().Add(d)
}

// kill ends the process without releasing its leases.
func (p *process) kill() {
	p.mu.Lock()
	p.dead = true
	p.mu.Unlock()
	p.stop()
}

// runCurrentVersion runs all duties of this version.
func (p *process) runCurrentVersion(ctx context.Context) {
	member := members.Member{Name: p.host, Incarnation: p.run}
	a := duty.New(duty.Options{
		Store: storeLink{p.world.store, p}, Self: member, TTL: modelTTL, HandoverDelay: modelHandoverDelay, View: p.view,
		LivePeers: func() []string { return nil }, Now: p.now, Logger: log.NewNopLogger(),
	})
	now := func() time.Time { return time.Now().Add(p.wallClockSkew) }
	ledger := usage.NewLedger(usage.Source{Process: p.host, Incarnation: p.run}, modelWindow, now)
	reporter := usage.NewReporter(usage.ReporterOptions{
		Store: storeLink{p.world.store, p}, Prefix: "usage/", Writer: p.run, Authority: a, Biller: p, Ledger: ledger, Due: modelDue,
		Collect: func(context.Context, int64) bool { return true }, Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger(),
	})
	s := scaler.New(scaler.Options{Authority: a, Orderer: p, View: p.view, Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger()})
	k := rolekeeper.New(rolekeeper.Options{
		Authority: a, Policy: roles.Packing, Engines: engines{p}, Placer: placement.New("a", p.load, nil), View: p.view,
		Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger(),
	})
	count := func(ctx context.Context) {
		for ctx.Err() == nil {
			ledger.CountRequest("w")
			time.Sleep(p.world.randomBetween(50*time.Millisecond, time.Second))
		}
	}
	a.Run(ctx, reporter.Run, s.Run, k.Run, count)
}

// runLegacyVersion runs the duty of the previous version under the legacy lease.
func (p *process) runLegacyVersion(ctx context.Context) {
	l := lease.New(lease.Options{
		Store: storeLink{p.world.store, p}, Shard: legacyShard, Holder: p.host, Incarnation: p.run, TTL: modelTTL, Now: p.now, Logger: log.NewNopLogger(),
	})
	var token int64
	var since, stepped bootclock.Instant
	for ctx.Err() == nil && p.waitWhilePaused() {
		if p.now().Sub(stepped) > modelTTL/3 {
			stepped = p.now()
			sctx, cancel := context.WithTimeout(ctx, time.Second)
			_ = l.Step(sctx) // the grant shows whether it failed
			cancel()
		}
		g, held := l.Grant()
		if held && g.Token != token {
			token, since = g.Token, p.now()
		}
		if held && p.now().Sub(since) >= modelHandoverDelay && p.waitWhilePaused() && g.Valid(modelMargin) {
			p.send(legacyShard, call{token: g.Token, subject: "role e1"})
		}
		time.Sleep(200 * time.Millisecond)
	}
	sctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = l.Release(sctx) // if it fails, the lease expires
}

// view returns a fleet in which the number of engines changes every few seconds.
func (p *process) view() *fleet.View {
	p.waitWhilePaused()
	phase := int(time.Now().Unix() / 7)
	prices := map[string]float64{}
	v := &fleet.View{Scheduling: !p.world.active(demoted, p.host), InstancesKnown: true, StoreUp: true, Instances: map[string]*fleet.Instance{}}
	for n := range modelDomains {
		domain := fmt.Sprint("d", n)
		prices[domain] = 1
		for m := range (phase + n) % 3 {
			id := fmt.Sprint("s", n, "-", m)
			v.Instances[id] = &fleet.Instance{ID: id, Service: "plain", Domain: domain, Spot: m > 0}
		}
	}
	p.world.mu.Lock()
	for id, role := range p.world.roles {
		v.Instances[id] = &fleet.Instance{ID: id, Service: "model", Address: id, Domain: "a", Slots: 4, Role: role}
	}
	p.world.mu.Unlock()
	v.Config = &fleet.Config{Services: map[string]fleet.Service{
		"plain": {Name: "plain", Scaling: &fleet.Scaling{MinEngines: 1, MaxEngines: 6, StartupTime: time.Second, SpotPrice: 0.2, Prices: prices}},
		"model": {Name: "model", KVCapacity: 1, RoleChange: 50 * time.Millisecond},
	}}
	v.Index()
	return v
}

// load alternates between waiting prompts and running requests.
func (p *process) load(id string) placement.Load {
	var l placement.Load
	if time.Now().Unix()/9%2 == 0 {
		l.Pending[0].Prompts = 100
	} else {
		l.Requests, l.LongResponses = 8, 8
	}
	return l
}

// send records that a call reaches the platform after a random transit time.
func (p *process) send(shard string, c call) {
	rec := p.world.holder(shard)
	c.host = p.host
	if rec.Holder != p.host || rec.Incarnation != p.run || rec.Token != c.token || rec.Released {
		p.world.mu.Lock()
		p.world.unauthorized = append(p.world.unauthorized, fmt.Sprintf("%s calls with token %d while %s holds the lease with token %d", p.run, c.token, rec.Incarnation, rec.Token))
		p.world.mu.Unlock()
	}
	transit := p.world.randomBetween(time.Millisecond, maxTransit)
	go func() {
		time.Sleep(transit)
		p.world.mu.Lock()
		defer p.world.mu.Unlock()
		c.at = time.Now()
		p.world.calls = append(p.world.calls, c)
	}()
}

// post simulates a call to the platform and its response.
func (p *process) post(ctx context.Context, shard string, check func() error, c call) error {
	if !p.waitWhilePaused() || p.world.strikes(platformPartition, p.host) {
		<-ctx.Done()
		return fault.New(fault.Unavailable, "platform is unreachable", "wait")
	}
	if err := check(); err != nil {
		return err
	}
	refused := p.world.strikes(platformDown, "")
	if refused {
		c.content = ""
	}
	p.send(shard, c)
	if p.world.strikes(platformLosesResponses, "") {
		<-ctx.Done()
		return fault.New(fault.Unknown, "no response", "wait")
	}
	time.Sleep(maxTransit + p.world.randomBetween(time.Millisecond, 100*time.Millisecond))
	p.waitWhilePaused()
	if refused {
		return fault.New(fault.Unavailable, "platform is down", "wait")
	}
	return nil
}

// ReportUsage implements usage.Biller.
func (p *process) ReportUsage(ctx context.Context, g duty.Grant, r usage.Report) error {
	return p.post(ctx, currentShard, g.Check, call{token: g.Token, subject: "usage", window: r.Window, content: fmt.Sprint("counts ", r.Counts)})
}

// Order implements capacity.Orderer.
func (p *process) Order(ctx context.Context, g duty.Grant, o capacity.Order) error {
	return p.post(ctx, currentShard, g.Check, call{token: g.Token, subject: fmt.Sprint("scale ", o.Domain, o.Spot)})
}

// engines is the access of a process to the engines.
type engines struct{ *process }

// Report implements engine.RoleClient.
func (e engines) Report(_ context.Context, address string) (engine.Report, error) {
	if !e.waitWhilePaused() {
		return engine.Report{}, fault.New(fault.Unavailable, "process is dead", "wait")
	}
	time.Sleep(e.world.randomBetween(time.Millisecond, 50*time.Millisecond))
	e.world.mu.Lock()
	defer e.world.mu.Unlock()
	return engine.Report{Role: e.world.roles[address]}, nil
}

// Order implements engine.RoleClient.
func (e engines) Order(ctx context.Context, address string, o engine.RoleOrder) error {
	err := e.post(ctx, currentShard, o.Check, call{token: o.Token, subject: "role " + address})
	if err == nil {
		e.world.mu.Lock()
		defer e.world.mu.Unlock()
		e.world.roles[address] = o.Role
	}
	return err
}

// storeLink is the access of a process to the store.
type storeLink struct {
	objstore.Store
	process *process
}

// Get implements objstore.Store.
func (l storeLink) Get(ctx context.Context, key string) (objstore.Object, error) {
	if !l.request(ctx) {
		return objstore.Object{}, fault.New(fault.Unavailable, "store is unreachable", "wait")
	}
	obj, err := l.Store.Get(ctx, key)
	l.response()
	return obj, err
}

// Put implements objstore.Store.
func (l storeLink) Put(ctx context.Context, key string, value []byte, ifVersion objstore.Version, writeID string) (objstore.Object, error) {
	if !l.request(ctx) {
		return objstore.Object{}, fault.New(fault.Unavailable, "store is unreachable", "wait")
	}
	if l.process.world.strikes(storeLateWrites, "") {
		late := l.process.world.randomBetween(0, maxWriteDelay)
		go func() {
			time.Sleep(late)
			_, _ = l.Store.Put(context.Background(), key, value, ifVersion, writeID) // the process does not learn the result
		}()
		return objstore.Object{}, fault.New(fault.Unknown, "no response", "read it back")
	}
	obj, err := l.Store.Put(ctx, key, value, ifVersion, writeID)
	l.response()
	if l.process.world.strikes(storeLosesResponses, "") {
		return objstore.Object{}, fault.New(fault.Unknown, "no response", "read it back")
	}
	return obj, err
}

// request simulates the transit of a request. It returns false if the request does not reach the
// store.
func (l storeLink) request(ctx context.Context) bool {
	if !l.process.waitWhilePaused() || l.process.world.strikes(storePartition, l.process.host) {
		<-ctx.Done()
		return false
	}
	slowest := 10 * time.Millisecond
	if l.process.world.strikes(storeSlow, "") {
		slowest = 700 * time.Millisecond
	}
	time.Sleep(l.process.world.randomBetween(time.Millisecond, slowest))
	return l.process.waitWhilePaused()
}

// response simulates the transit of a response.
func (l storeLink) response() {
	time.Sleep(l.process.world.randomBetween(time.Millisecond, 5*time.Millisecond))
	l.process.waitWhilePaused()
}
