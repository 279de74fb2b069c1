// Package rolekeeper has engines change their roles. The gateway that has the authority over
// duties gives the orders.
package rolekeeper

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/duty"
	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/periodic"
	"github.com/rockdoor/rockdoor/placement"
	"github.com/rockdoor/rockdoor/roles"
)

const (
	// planEvery is how often roles are reviewed.
	planEvery = 200 * time.Millisecond
	// orderTimeout bounds an order and the report that is read before it.
	orderTimeout = 800 * time.Millisecond
	// spreadTime is how long an engine is announced as changing before it gets the
	// order, so that the other gateways send it nothing more.
	spreadTime = 150 * time.Millisecond
	// settleTime is how long an engine is left alone after an order without an
	// answer, which may be carried out up to 12 s later.
	settleTime = 13 * time.Second
	// changeSlack is how long beyond the stated time a change may take; requests
	// that run are finished first.
	changeSlack = 12 * time.Second
	// dwell is how long a role is kept at the least, unless engines are lost.
	dwell = 5 * time.Second
	// atOnceShare is the part of a service's engines that may change at a time, and at least
	// minAtOnce.
	atOnceShare = 1.0 / 3
	minAtOnce   = 4
)

// Options of a Keeper.
type Options struct {
	// Authority gives the right to order.
	Authority duty.Granter
	// Policy is a name of package roles.
	Policy  string
	Engines engine.Keeper
	Placer  *placement.Placer
	// View returns the latest view. Only schedulers, which know the load, keep roles.
	View    func() *fleet.View
	Metrics metrics.Registry
	Logger  log.Logger
}

// Keeper keeps the roles of all services' engines.
type Keeper struct {
	o      Options
	logger log.Logger

	// policies, changed and engines, which is used for each input again, belong to the goroutine of Run.
	policies map[string]roles.Policy
	changed  map[string]time.Time
	engines  []roles.Engine

	mu      sync.Mutex
	pending map[string]*change
	giving  sync.WaitGroup
}

// change is an order to one engine that is not settled.
type change struct {
	to roles.Change
	// announced engines get no requests.
	announced bool
	// until is when the order is given up on.
	until time.Time
}

// New returns a keeper that has to be run.
func New(o Options) *Keeper {
	return &Keeper{
		o: o, logger: log.With(o.Logger, "component", "roles"),
		policies: map[string]roles.Policy{}, changed: map[string]time.Time{}, pending: map[string]*change{},
	}
}

// Changing returns the engines that this process is having change their role, and
// to which.
func (k *Keeper) Changing() map[string]engine.Role {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := map[string]engine.Role{}
	for id, c := range k.pending {
		if c.announced {
			out[id] = c.to.To
		}
	}
	return out
}

// IsChanging reports whether this process is having an engine change its role.
func (k *Keeper) IsChanging(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.pending[id]
	return c != nil && c.announced
}

// Run keeps the roles until ctx ends and all orders are given.
func (k *Keeper) Run(ctx context.Context) {
	periodic.Run(ctx, planEvery, k.review)
	k.giving.Wait()
}

// review settles the orders in hand and, while this process holds the lease, gives
// those that the policies want. The policies observe the load at every gateway, so
// that the next holder need not learn it first.
func (k *Keeper) review(ctx context.Context) {
	v := k.o.View()
	k.settle(v)
	grant, mayOrder := k.o.Authority.Grant()
	if !v.Complete() || !v.Scheduling {
		return
	}
	for name, service := range v.Config.Services {
		if service.KVCapacity > 0 {
			k.plan(ctx, v, name, grant, mayOrder)
		}
	}
}

// plan asks a service's policy for changes. Without mayOrder the policy only
// observes.
func (k *Keeper) plan(ctx context.Context, v *fleet.View, service string, grant duty.Grant, mayOrder bool) {
	p := k.policies[service]
	if p == nil {
		var err error
		if p, err = roles.New(k.o.Policy); err != nil {
			level.Error(k.logger).Log("msg", "no policy", "err", err)
			return
		}
		k.policies[service] = p
	}
	most := max(minAtOnce, int(atOnceShare*float64(len(v.Usable(service)))))
	for range most {
		in := k.input(v, service)
		c := p.Decide(in)
		if c == nil || !mayOrder || k.inHand() >= most {
			return
		}
		level.Info(k.logger).Log("msg", "role decision", "service", service, "engine", c.Engine, "from", c.From, "to", c.To, "reason", c.Reason, "token", grant.Token)
		metrics.GetOrRegisterCounter("roles.decisions", k.o.Metrics).Inc(1)
		k.begin(ctx, v.Instances[c.Engine], c, grant, v.Config.Services[service].RoleChange)
	}
}

// input describes a service's engines to its policy. An engine that is changing
// counts as changed.
func (k *Keeper) input(v *fleet.View, service string) roles.Input {
	in := roles.Input{Now: time.Now(), Gateways: v.Processes}
	var queue time.Duration
	reading := 0
	usable := v.Usable(service)
	in.Engines = slices.Grow(k.engines[:0], len(usable))
	k.o.Placer.EachLoad(service, usable, func(i *fleet.Instance, load placement.Load, ahead time.Duration) {
		role, movable := i.Role, true
		if at, changed := k.changed[i.ID]; changed {
			movable = in.Now.Sub(at) > dwell
		}
		if c := k.change(i.ID); c != nil {
			role, movable = c.to.To, false
		}
		if i.Role == engine.RolePrefill {
			reading++
			queue += ahead
		}
		in.Engines = append(in.Engines, roles.Engine{
			Name: i.ID, Domain: i.Domain, Role: role, Movable: movable, Requests: load.LongResponses, Slots: i.Slots,
			PrefillTokens: load.Pending.All().Tokens,
		})
	})
	k.engines = in.Engines
	in.Queue = queue / time.Duration(max(reading, 1))
	return in
}

func (k *Keeper) change(id string) *change {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.pending[id]
}

func (k *Keeper) inHand() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for _, c := range k.pending {
		if c.announced {
			n++
		}
	}
	return n
}

// begin gives an order in a goroutine of its own.
func (k *Keeper) begin(ctx context.Context, i *fleet.Instance, c *roles.Change, g duty.Grant, takes time.Duration) {
	k.mu.Lock()
	k.pending[i.ID] = &change{to: *c, announced: true, until: time.Now().Add(takes + changeSlack)}
	k.mu.Unlock()
	k.changed[i.ID] = time.Now()
	k.giving.Add(1)
	go func() {
		defer k.giving.Done()
		k.give(ctx, i, c, g)
	}()
}

func (k *Keeper) give(ctx context.Context, i *fleet.Instance, c *roles.Change, g duty.Grant) {
	select {
	case <-ctx.Done():
		k.forget(i.ID)
		return
	case <-time.After(spreadTime):
	}
	octx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
	defer cancel()
	report, err := k.o.Engines.Report(octx, i.Address)
	if err == nil && report.Changing {
		// An order of an earlier holder. Engines have two roles, so it is to the
		// same one; the registration will tell.
		level.Info(k.logger).Log("msg", "order not given", "engine", i.ID, "reason", "an earlier order is under way")
		return
	}
	if err == nil && report.Role != c.From {
		err = fault.Newf(fault.Conflict, "its registration is waited for", "engine is in role %s already", report.Role)
	}
	if err != nil {
		k.forget(i.ID)
		level.Warn(k.logger).Log("msg", "order not given", "engine", i.ID, "err", err)
		return
	}
	err = k.o.Engines.Order(octx, i.Address, engine.RoleOrder{
		Instance: i.ID, Role: c.To, Holder: g.Holder, Token: g.Token, Orders: report.Orders, Check: g.Check,
	})
	level.Info(k.logger).Log("msg", "order", "engine", i.ID, "to", c.To, "token", g.Token, "orders", report.Orders, "err", err)
	switch {
	case err == nil:
	case fault.Is(err, fault.Unknown):
		k.unanswered(i.ID)
	default:
		k.forget(i.ID)
	}
}

// unanswered makes an engine take requests again whose order may or may not be
// carried out. It gets no other order until that is settled.
func (k *Keeper) unanswered(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c := k.pending[id]; c != nil {
		c.announced, c.until = false, time.Now().Add(settleTime)
	}
}

func (k *Keeper) forget(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.pending, id)
}

// settle drops the orders whose engines have changed, have left, or do not change.
func (k *Keeper) settle(v *fleet.View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, c := range k.pending {
		i := v.Instances[id]
		switch {
		case i == nil:
			level.Info(k.logger).Log("msg", "order ended", "engine", id, "reason", "engine has left")
		case i.Role == c.to.To:
			level.Info(k.logger).Log("msg", "order ended", "engine", id, "role", i.Role)
		case time.Now().After(c.until):
			level.Warn(k.logger).Log("msg", "order ended", "engine", id, "role", i.Role, "reason", "engine did not change")
		default:
			continue
		}
		delete(k.pending, id)
	}
	for id := range k.changed {
		if v.Instances[id] == nil {
			delete(k.changed, id)
		}
	}
}
