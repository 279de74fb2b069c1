// Package controller carries out role changes. For each pool, one process holds the
// lease and sends the orders. A second process is on standby.
package controller

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/charts"
	"github.com/rockdoor/rockdoor/internal/control"
	"github.com/rockdoor/rockdoor/lease"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/mirror"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/orders"
	"github.com/rockdoor/rockdoor/routing"
)

const (
	// leaseCandidates is how many processes compete for the lease of a pool.
	leaseCandidates = 2
	reviewInterval  = 500 * time.Millisecond
	pollInterval    = 100 * time.Millisecond
	// stepTimeout limits one lease operation at the store.
	stepTimeout   = 2 * time.Second
	statusTimeout = time.Second
	// orderRetryDelay is the delay before a new order to an engine whose last order failed.
	orderRetryDelay = 3 * time.Second
)

// Options configures a Manager.
type Options struct {
	Store    objstore.Store
	Engines  engine.Controller
	Sender   orders.Sender
	Snapshot func() *control.Snapshot
	Mirror   *mirror.Mirror
	Tracker  *routing.Tracker
	Self     members.Member
	LeaseTTL time.Duration
	// StaleAfter is how long a process without contact keeps sending requests.
	StaleAfter time.Duration
	Logger     log.Logger
}

// Manager runs one controller for each pool that this process is a candidate
// for. It is safe for concurrent use.
type Manager struct {
	o Options

	mu    sync.Mutex
	pools map[string]*controller
}

// New returns a manager. The caller must call Run.
func New(o Options) *Manager { return &Manager{o: o, pools: map[string]*controller{}} }

// PoolStatus is the state of one pool's controller at this process.
type PoolStatus struct {
	Pool string `json:"pool"`
	// Held is true if this process holds the lease and so sends the orders.
	Held  bool  `json:"held"`
	Token int64 `json:"token,omitempty"`
	// Waiting is the reason why a candidate does not hold the lease.
	Waiting string `json:"waiting,omitempty"`
}

// Status returns the pools that this process is a candidate for.
func (m *Manager) Status() []PoolStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []PoolStatus{}
	for _, c := range m.pools {
		g, held := c.lessee.Grant()
		st := PoolStatus{Pool: c.pool, Held: held, Waiting: c.lessee.WaitReason()}
		if held {
			st.Token = g.Token
		}
		out = append(out, st)
	}
	slices.SortFunc(out, func(a, b PoolStatus) int { return cmp.Compare(a.Pool, b.Pool) })
	return out
}

// Run starts and stops controllers as pools and members change. When ctx ends, it
// stops all of them and releases their leases.
func (m *Manager) Run(ctx context.Context) error {
	tick := time.NewTicker(reviewInterval)
	defer tick.Stop()
	for {
		m.review(ctx)
		select {
		case <-ctx.Done():
			m.stopAll()
			return nil
		case <-tick.C:
		}
	}
}

// review starts the controllers that are missing and stops those that are no longer
// needed.
func (m *Manager) review(ctx context.Context) {
	s := m.o.Snapshot()
	if s.Config == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range s.Config.Pools {
		wanted := rank(s.Members, m.o.Self.Name, name) < leaseCandidates
		c := m.pools[name]
		switch {
		case wanted && c == nil:
			m.pools[name] = m.start(ctx, name)
		case !wanted && c != nil:
			delete(m.pools, name)
			go c.stop()
		}
	}
	for name, c := range m.pools {
		if s.Config.Pools[name] == nil {
			delete(m.pools, name)
			go c.stop()
		}
	}
}

// rank returns this process's rank among the candidates for a pool.
func rank(ms []control.MemberState, self, pool string) int {
	var alive []string
	for _, m := range ms {
		if m.Health.IsAlive() {
			alive = append(alive, m.Name)
		}
	}
	return members.Rank("pool/"+pool, self, alive)
}

func (m *Manager) stopAll() {
	m.mu.Lock()
	pools := m.pools
	m.pools = map[string]*controller{}
	m.mu.Unlock()
	var wg sync.WaitGroup
	for _, c := range pools {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.stop()
		}()
	}
	wg.Wait()
}

// controller is a candidate for one pool.
type controller struct {
	m        *Manager
	pool     string
	lessee   *lease.Lessee
	executor *orders.Executor
	logger   log.Logger
	cancel   context.CancelFunc
	done     chan struct{}
	planner  planner

	mu sync.Mutex
	// busy holds the engines to which this process is carrying out an order.
	busy map[string]bool
	// drains holds the drain states by engine.
	drains        map[string]*drainState
	pendingOrders sync.WaitGroup
}

// drainState is the progress of a drain for one version of an order record.
type drainState struct {
	version objstore.Version
	// seenAt is the revision of this process's mirror when it first held the record.
	seenAt     objstore.Revision
	propagated bool
	// idleSince is when the engine began to report no requests, zero if it has some.
	idleSince time.Time
}

func (m *Manager) start(ctx context.Context, pool string) *controller {
	ctx, cancel := context.WithCancel(ctx)
	c := &controller{m: m, pool: pool, cancel: cancel, done: make(chan struct{}), busy: map[string]bool{}, drains: map[string]*drainState{}}
	c.logger = log.With(m.o.Logger, "component", "controller", "pool", pool)
	c.lessee = lease.New(lease.Options{
		Store: m.o.Store, Shard: "pool/" + pool, Holder: m.o.Self.Name, Incarnation: m.o.Self.Incarnation, Address: m.o.Self.Peer,
		TTL: m.o.LeaseTTL, HolderTerminated: m.holderTerminated, Logger: m.o.Logger,
	})
	c.executor = orders.New(orders.Options{
		Store: m.o.Store, Engines: m.o.Engines, Sender: m.o.Sender, Grant: c.lessee.Grant, Holder: m.o.Self.Name,
		Drained: c.drained, Logger: m.o.Logger, PollInterval: pollInterval,
	})
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); c.keepLease(ctx) }()
	go func() { defer wg.Done(); c.reconcileLoop(ctx) }()
	go func() {
		wg.Wait()
		c.pendingOrders.Wait()
		close(c.done)
	}()
	return c
}

// holderTerminated reports whether a lease holder has certainly terminated, and why: a later
// process is registered at its address, or an operator has vouched for it.
func (m *Manager) holderTerminated(rec lease.Record) (string, bool) {
	for _, ms := range m.o.Snapshot().Members {
		if ms.Peer == rec.Address && ms.Incarnation > rec.Incarnation {
			return "later process " + ms.Name + " listens at " + ms.Peer, true
		}
	}
	if obj, ok := m.o.Mirror.Get(VouchPrefix + rec.Incarnation); ok {
		return "vouched by " + string(obj.Value), true
	}
	return "", false
}

// VouchPrefix is the key prefix of the records by which operators vouch that a run of a
// process has terminated. The key ends in the incarnation, the value names the operator.
const VouchPrefix = "state/vouch/"

func (c *controller) keepLease(ctx context.Context) {
	for ctx.Err() == nil {
		sctx, cancel := context.WithTimeout(ctx, stepTimeout)
		if err := c.lessee.Step(sctx); err != nil && !fault.Is(err, fault.Conflict) {
			level.Debug(c.logger).Log("msg", "lease", "err", err)
		}
		cancel()
		sleep(ctx, c.lessee.Interval())
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// stop stops the controller and releases its lease at the store.
func (c *controller) stop() {
	c.cancel()
	<-c.done
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	if err := c.lessee.Release(ctx); err != nil {
		level.Warn(c.logger).Log("msg", "lease not released", "err", err)
	}
}

// reconcileLoop calls reconcile at intervals while the lease is held.
func (c *controller) reconcileLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if _, held := c.lessee.Grant(); held {
			c.reconcile(ctx)
		}
		sleep(ctx, reviewInterval)
	}
}

// reconcile recovers open orders, then changes engines to the roles that operators have
// configured, and then applies the pool's role policy. At most one engine of a failure
// domain changes at a time.
func (c *controller) reconcile(ctx context.Context) {
	s := c.m.o.Snapshot()
	if s.Config == nil {
		return
	}
	for _, e := range c.engines(s) {
		if s.Orders[e.Name].Open() {
			c.runOrder(ctx, e.Name, func(ctx context.Context) error {
				_, err := c.executor.Recover(ctx, c.target(s, e))
				return err
			})
		}
	}
	for _, e := range c.engines(s) {
		last := s.Orders[e.Name]
		if e.Role == "" || e.State == config.Withdrawn || !c.domainIsFree(s, e.Name) {
			continue
		}
		if last.State == charts.OrderFailed && time.Since(last.Since) < orderRetryDelay {
			continue
		}
		st, err := c.status(ctx, e.Address)
		if err == nil && !st.Changing && st.Role != e.Role {
			c.changeRole(ctx, s, e.Name, st.Role, e.Role, "asked for by the configuration")
		}
	}
	if change := c.plan(ctx, s); change != nil {
		c.changeRole(ctx, s, change.Engine, change.From, change.To, change.Reason)
	}
}

func (c *controller) changeRole(ctx context.Context, s *control.Snapshot, name string, from, to engine.Role, reason string) {
	for _, e := range c.engines(s) {
		if e.Name == name {
			c.runOrder(ctx, name, func(ctx context.Context) error {
				return c.executor.ChangeRole(ctx, c.target(s, e), from, to, reason)
			})
		}
	}
}

// domainIsFree reports whether no engine in the failure domain of the named engine has an
// open order or an order that this process is carrying out.
func (c *controller) domainIsFree(s *control.Snapshot, name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	domain := s.Config.Targets[name].Domain
	for _, e := range c.engines(s) {
		if s.Config.Targets[e.Name].Domain == domain && (c.busy[e.Name] || s.Orders[e.Name].Open()) {
			return false
		}
	}
	return true
}

// runOrder carries out an order in a new goroutine, unless an order to the same engine is
// in progress.
func (c *controller) runOrder(ctx context.Context, name string, order func(context.Context) error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy[name] {
		return
	}
	c.busy[name] = true
	c.pendingOrders.Add(1)
	go func() {
		defer c.pendingOrders.Done()
		if err := order(ctx); err != nil && ctx.Err() == nil {
			level.Warn(c.logger).Log("msg", "order ended", "engine", name, "err", err)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.busy, name)
		delete(c.drains, name)
	}()
}

func (c *controller) engines(s *control.Snapshot) []config.Engine {
	var out []config.Engine
	for _, e := range s.Config.Config.Engines {
		if e.Pool == c.pool {
			out = append(out, e)
		}
	}
	return out
}

func (c *controller) target(s *control.Snapshot, e config.Engine) orders.Target {
	return orders.Target{
		Name: e.Name, Address: e.Address, Fencing: e.Fencing,
		ChangeTimeout: s.Config.Pools[c.pool].Roles.ChangeTimeout.Std(),
	}
}

func (c *controller) status(ctx context.Context, address string) (engine.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return c.m.o.Engines.Status(ctx, address)
}
