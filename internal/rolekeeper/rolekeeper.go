// Package rolekeeper changes the roles of engines. The gateway that holds the authority for duties
// sends the orders.
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
	reviewInterval = 200 * time.Millisecond
	// orderTimeout is the timeout for an order together with the report that is fetched before it.
	orderTimeout = 800 * time.Millisecond
	// announceTime is the time between the announcement of a role change to the other gateways and
	// the order, so that they stop sending requests to the engine.
	announceTime = 150 * time.Millisecond
	// unansweredOrderTime is how long an engine gets no further order after one without a response.
	// Such an order may still be executed up to 12 s later.
	unansweredOrderTime = 13 * time.Second
	// changeMargin is the time in addition to Service.RoleChange within which a change must be
	// complete. An engine first finishes its requests.
	changeMargin = 12 * time.Second
	// minDwellTime is the minimum time between two orders to the same engine. It also holds when other
	// engines are lost: a second order would make the engine unavailable for another change, while
	// engines that were not ordered lately can replace those that were lost at once.
	minDwellTime = 5 * time.Second
	// At most maxConcurrentShare of a service's engines change their roles at the same time, but at
	// least minConcurrent may.
	maxConcurrentShare = 1.0 / 3
	minConcurrent      = 4
)

// Options configures a Keeper.
type Options struct {
	// Authority grants the right to send orders.
	Authority duty.Granter
	// Policy is the name of a policy of package roles.
	Policy  string
	Engines engine.RoleClient
	Placer  *placement.Placer
	// View returns the latest view. Only schedulers know the load, so other processes review no
	// roles.
	View    func() *fleet.View
	Metrics metrics.Registry
	Logger  log.Logger
}

// Keeper decides on and orders the role changes of all services' engines.
type Keeper struct {
	opts   Options
	logger log.Logger

	// policies, lastOrderAt, versions, decodedAt and engineBuf, which is reused for each policy input, are accessed only
	// by the goroutine of Run.
	policies    map[string]roles.Policy
	lastOrderAt map[string]time.Time
	engineBuf   []roles.Engine
	// versions counts the engines of the last policy input. decodedAt is when an engine of each version last decoded.
	versions  versionCounts
	decodedAt map[softwareVersion]time.Time

	mu      sync.Mutex
	pending map[string]*pendingOrder
	sending sync.WaitGroup
}

// pendingOrder is an order to one engine whose result is not known yet.
type pendingOrder struct {
	change roles.Change
	// announced is true while the engine must get no requests.
	announced bool
	// expiresAt is when the order is considered failed.
	expiresAt time.Time
}

// New returns a Keeper. The caller has to call Run.
func New(o Options) *Keeper {
	return &Keeper{
		opts: o, logger: log.With(o.Logger, "component", "roles"),
		policies: map[string]roles.Policy{}, lastOrderAt: map[string]time.Time{}, decodedAt: map[softwareVersion]time.Time{}, pending: map[string]*pendingOrder{},
	}
}

// Changing returns the engines with an announced role change of this process, and their new roles.
func (k *Keeper) Changing() map[string]engine.Role {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := map[string]engine.Role{}
	for id, c := range k.pending {
		if c.announced {
			out[id] = c.change.To
		}
	}
	return out
}

// IsChanging reports whether the engine has an announced role change of this process.
func (k *Keeper) IsChanging(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.pending[id]
	return c != nil && c.announced
}

// Run reviews the roles until ctx is done, and returns when all orders have been sent.
func (k *Keeper) Run(ctx context.Context) {
	periodic.Run(ctx, reviewInterval, k.review)
	k.sending.Wait()
}

// review closes completed orders and, while this process holds the authority, sends the orders that
// the policies decide on. The policies run on every scheduler, so that the next holder of the
// authority has their state already.
func (k *Keeper) review(ctx context.Context) {
	v := k.opts.View()
	k.closeOrders(v)
	grant, mayOrder := k.opts.Authority.Grant()
	if !v.Complete() || !v.Scheduling {
		return
	}
	for name, service := range v.Config.Services {
		if service.KVCapacity > 0 {
			k.applyPolicy(ctx, v, name, grant, mayOrder)
		}
	}
}

// applyPolicy runs a service's policy and starts the changes that it decides on. Without mayOrder
// it starts none and the policy only observes the load.
func (k *Keeper) applyPolicy(ctx context.Context, v *fleet.View, service string, grant duty.Grant, mayOrder bool) {
	p := k.policies[service]
	if p == nil {
		var err error
		if p, err = roles.New(k.opts.Policy); err != nil {
			level.Error(k.logger).Log("msg", "role policy not available", "err", err)
			return
		}
		k.policies[service] = p
	}
	maxConcurrent := max(minConcurrent, int(maxConcurrentShare*float64(len(v.Usable(service)))))
	for range maxConcurrent {
		in := k.policyInput(v, service)
		c := k.restoreVersion(v, service, in)
		if c == nil {
			c = p.Decide(in)
		}
		if c == nil || !mayOrder || k.inProgress() >= maxConcurrent {
			return
		}
		level.Info(k.logger).Log("msg", "role decision", "service", service, "engine", c.Engine, "from", c.From, "to", c.To, "reason", c.Reason, "token", grant.Token)
		metrics.GetOrRegisterCounter("roles.decisions", k.opts.Metrics).Inc(1)
		k.startOrder(ctx, v.Instances[c.Engine], c, grant, v.Config.Services[service].RoleChange)
	}
}

// policyInput returns the input for a service's policy. An engine that is changing counts with its
// new role.
func (k *Keeper) policyInput(v *fleet.View, service string) roles.Input {
	in := roles.Input{Now: time.Now(), Gateways: v.Processes, WholeRequests: k.opts.Placer.RunsWhole(v.Config.Services[service])}
	var queue time.Duration
	prefillEngines := 0
	usable := v.Usable(service)
	in.Engines = slices.Grow(k.engineBuf[:0], len(usable))
	k.versions = k.versions[:0]
	k.opts.Placer.EachLoad(service, usable, func(i *fleet.Instance, load placement.Load, queueTime time.Duration) {
		role, movable := i.Role, true
		if at, changed := k.lastOrderAt[i.ID]; changed {
			movable = in.Now.Sub(at) > minDwellTime
		}
		if c := k.pendingOrder(i.ID); c != nil {
			role, movable = c.change.To, false
		}
		if i.Role == engine.RolePrefill {
			prefillEngines++
			queue += queueTime
		}
		k.versions.add(i.Software, role)
		in.Engines = append(in.Engines, roles.Engine{
			Name: i.ID, Domain: i.Domain, Role: role, Movable: movable, Requests: load.LongResponses, Slots: i.Slots,
			PrefillTokens: load.Pending.All().Tokens,
		})
	})
	if k.opts.Placer.LearnsProfiles() {
		for n := range in.Engines {
			e := &in.Engines[n]
			e.PrefillSpeed, e.DecodeSpeed = k.opts.Placer.Speeds(e.Name)
		}
	}
	k.keepVersions(v, service, in)
	k.engineBuf = in.Engines
	in.QueueDelay = queue / time.Duration(max(prefillEngines, 1))
	return in
}

func (k *Keeper) pendingOrder(id string) *pendingOrder {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.pending[id]
}

func (k *Keeper) inProgress() int {
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

// startOrder announces a role change and sends the order in a new goroutine.
func (k *Keeper) startOrder(ctx context.Context, i *fleet.Instance, c *roles.Change, g duty.Grant, roleChange time.Duration) {
	k.mu.Lock()
	k.pending[i.ID] = &pendingOrder{change: *c, announced: true, expiresAt: time.Now().Add(roleChange + changeMargin)}
	k.mu.Unlock()
	k.lastOrderAt[i.ID] = time.Now()
	k.sending.Add(1)
	go func() {
		defer k.sending.Done()
		k.sendOrder(ctx, i, c, g)
	}()
}

func (k *Keeper) sendOrder(ctx context.Context, i *fleet.Instance, c *roles.Change, g duty.Grant) {
	select {
	case <-ctx.Done():
		k.removeOrder(i.ID)
		return
	case <-time.After(announceTime):
	}
	octx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
	defer cancel()
	report, err := k.opts.Engines.Report(octx, i.Address)
	if err == nil && report.Changing {
		// The order comes from an earlier holder of the authority. Since engines have two roles only,
		// it is an order for the same role. The registration will show when it has been executed.
		level.Info(k.logger).Log("msg", "order not sent", "engine", i.ID, "reason", "an earlier order is still being executed")
		return
	}
	if err == nil && report.Role != c.From {
		err = fault.Newf(fault.Conflict, "no action is needed: its registration follows", "engine already has the role %s", report.Role)
	}
	if err != nil {
		k.removeOrder(i.ID)
		level.Warn(k.logger).Log("msg", "order not sent", "engine", i.ID, "err", err)
		return
	}
	err = k.opts.Engines.Order(octx, i.Address, engine.RoleOrder{
		Instance: i.ID, Role: c.To, Holder: g.Holder, Token: g.Token, Orders: report.Orders, Check: g.Check,
	})
	level.Info(k.logger).Log("msg", "order", "engine", i.ID, "to", c.To, "token", g.Token, "orders", report.Orders, "err", err)
	switch {
	case err == nil:
	case fault.Is(err, fault.Unknown):
		k.markUnanswered(i.ID)
	default:
		k.removeOrder(i.ID)
	}
}

// markUnanswered lets an engine accept requests again although its order may still be executed. The
// engine gets no other order until then.
func (k *Keeper) markUnanswered(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c := k.pending[id]; c != nil {
		c.announced, c.expiresAt = false, time.Now().Add(unansweredOrderTime)
	}
}

func (k *Keeper) removeOrder(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.pending, id)
}

// closeOrders removes the orders whose engines have changed their role, have terminated or did not
// change in time.
func (k *Keeper) closeOrders(v *fleet.View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, c := range k.pending {
		i := v.Instances[id]
		switch {
		case i == nil:
			level.Info(k.logger).Log("msg", "order ended", "engine", id, "reason", "engine is no longer registered")
		case i.Role == c.change.To:
			level.Info(k.logger).Log("msg", "order ended", "engine", id, "role", i.Role)
		case time.Now().After(c.expiresAt):
			level.Warn(k.logger).Log("msg", "order ended", "engine", id, "role", i.Role, "reason", "engine did not change")
		default:
			continue
		}
		delete(k.pending, id)
	}
	for id := range k.lastOrderAt {
		if v.Instances[id] == nil {
			delete(k.lastOrderAt, id)
		}
	}
}
