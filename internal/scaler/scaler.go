// Package scaler orders engines from the platform while this process has the authority to do so.
// Package capacity decides how many.
package scaler

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/capacity"
	"github.com/rockdoor/rockdoor/duty"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/periodic"
)

const (
	// reviewInterval is how often the numbers of engines are reviewed.
	reviewInterval = 250 * time.Millisecond
	// orderTimeout is the timeout of one order.
	orderTimeout = 1500 * time.Millisecond
	// failedOrderBackoff is the delay before a failed order is repeated: the failure domain had no
	// engines available, or the platform didn't respond.
	failedOrderBackoff = time.Second
	// exhaustedTime is how long failure domains that had no engines available count as exhausted after
	// the last order that was refused for this reason.
	exhaustedTime = 5 * time.Second
	// startupMargin is the time in addition to Scaling.StartupTime within which engines must have started
	// or terminated. After that the order is repeated.
	startupMargin = 4 * time.Second
)

// Options configures a Scaler.
type Options struct {
	Authority duty.Granter
	Orderer   capacity.Orderer
	// View returns the latest view.
	View func() *fleet.View
	// Demand makes the numbers of engines follow the demand. If it is nil, as many are ordered as the
	// limits permit.
	Demand  *DemandOptions
	Metrics metrics.Registry
	Logger  log.Logger
}

// Scaler orders engines for all services that permit scaling.
type Scaler struct {
	opts     Options
	logger   log.Logger
	policies map[string]*capacity.Policy // by service
	// demands is the state by service if engines are ordered by demand.
	demands map[string]*demandState
	status  statusTable
	// token is the fencing token under which the orders were sent.
	token  int64
	orders map[orderKey]*sentOrder
	// exhaustedAt is when an order was last refused because a domain had no engines, by service.
	exhaustedAt map[string]time.Time
}

// orderKey identifies the engines that an order applies to.
type orderKey struct {
	service, domain string
	spot            bool
}

// sentOrder is the last order for an orderKey.
type sentOrder struct {
	engines int
	// otherKind is the number of engines of the other kind at that time. The limit for both kinds
	// together may have kept the platform from starting all engines of the order. The order is
	// therefore repeated once some engines of the other kind have terminated.
	otherKind int
	// retryAt is when the order is repeated if it has not been executed. failed is true if sending it
	// failed.
	retryAt time.Time
	failed  bool
	// exhausted is true if the failure domain had no engines available, and no domain has started
	// others since.
	exhausted bool
}

// New returns a Scaler. The caller has to call Run.
func New(o Options) *Scaler {
	return &Scaler{opts: o, logger: log.With(o.Logger, "component", "scaler"), policies: map[string]*capacity.Policy{}, demands: map[string]*demandState{}, orders: map[orderKey]*sentOrder{}, exhaustedAt: map[string]time.Time{}}
}

// Run orders engines until ctx is done.
func (s *Scaler) Run(ctx context.Context) { periodic.Run(ctx, reviewInterval, s.review) }

// review orders the missing engines. While the store is unavailable, the present number of engines
// is unknown and nothing is ordered.
func (s *Scaler) review(ctx context.Context) {
	g, ok := s.opts.Authority.Grant()
	v := s.opts.View()
	if s.opts.Demand != nil {
		s.observeDemand(v)
	}
	if !ok || !v.Complete() || !v.StoreUp {
		return
	}
	if g.Token != s.token {
		s.token = g.Token
		clear(s.orders) // other processes may have sent orders since
	}
	for _, name := range slices.Sorted(maps.Keys(v.Config.Services)) {
		service := v.Config.Services[name]
		switch {
		case service.Scaling == nil:
		case s.opts.Demand != nil:
			s.scaleByDemand(ctx, g, v, &service)
		default:
			s.scaleService(ctx, g, v, &service)
		}
	}
}

func (s *Scaler) scaleService(ctx context.Context, g duty.Grant, v *fleet.View, service *fleet.Service) {
	p := s.policies[service.Name]
	if p == nil {
		p = &capacity.Policy{}
		s.policies[service.Name] = p
	}
	in := policyInput(v, service)
	s.order(ctx, g, service, in.Domains, p.Decide(in), s.logger)
}

// order sends the orders that bring each domain to its target.
func (s *Scaler) order(ctx context.Context, g duty.Grant, service *fleet.Service, domains []capacity.Domain, targets []capacity.Target, logger log.Logger) {
	for n, d := range domains {
		next := targets[n]
		s.orderIfNeeded(ctx, g, service, capacity.Order{Service: service.Name, Domain: d.Name, Engines: next.Spot, Spot: true}, d.Spot, d.OnDemand, logger)
		s.orderIfNeeded(ctx, g, service, capacity.Order{Service: service.Name, Domain: d.Name, Engines: next.OnDemand}, d.OnDemand, d.Spot, logger)
	}
}

// policyInput returns the present engines of a service.
func policyInput(v *fleet.View, service *fleet.Service) capacity.Input {
	in := capacity.Input{Scaling: service.Scaling}
	for _, name := range slices.Sorted(maps.Keys(service.Scaling.Prices)) {
		d := capacity.Domain{Name: name, Price: service.Scaling.Prices[name]}
		for _, i := range v.Usable(service.Name) {
			switch {
			case i.Domain != name:
			case i.Spot:
				d.Spot++
			default:
				d.OnDemand++
			}
		}
		in.Domains = append(in.Domains, d)
	}
	return in
}

// orderIfNeeded sends an order unless it is unnecessary. present is the number of engines of the
// order's kind, others that of the other kind.
func (s *Scaler) orderIfNeeded(ctx context.Context, g duty.Grant, service *fleet.Service, o capacity.Order, present, others int, logger log.Logger) {
	key := orderKey{o.Service, o.Domain, o.Spot}
	last := s.orders[key]
	now := time.Now()
	if s.opts.Demand != nil && last.awaitsRetry(o.Engines, present, now) || !orderNeeded(last, o.Engines, present, others, now) {
		return
	}
	octx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := s.opts.Orderer.Order(octx, g, o)
	level.Info(logger).Log("msg", "engines ordered", "service", o.Service, "domain", o.Domain, "spot", o.Spot, "engines", o.Engines,
		"before", last.count(), "present", present, "others", others, "token", g.Token, "err", err)
	metrics.GetOrRegisterCounter("scaler.orders", s.opts.Metrics).Inc(1)
	next := &sentOrder{engines: o.Engines, otherKind: others, retryAt: time.Now().Add(service.Scaling.StartupTime + startupMargin), failed: err != nil}
	if err != nil {
		next.retryAt = time.Now().Add(failedOrderBackoff)
	}
	switch {
	case fault.Is(err, fault.Exhausted):
		next.exhausted = true
		s.exhaustedAt[o.Service] = time.Now()
	case err == nil && o.Spot && o.Engines > present:
		s.clearExhausted(o.Service)
	default:
		next.exhausted = last != nil && last.exhausted
	}
	s.orders[key] = next
}

// clearExhausted records that the platform has spot engines available again. Domains where it doesn't
// will refuse the next order.
func (s *Scaler) clearExhausted(service string) {
	for key, o := range s.orders {
		if key.service == service {
			o.exhausted = false
		}
	}
}

// isExhausted reports whether a domain is known to have no spot engines available.
func (s *Scaler) isExhausted(service, domain string) bool {
	last := s.orders[orderKey{service, domain, true}]
	return last != nil && last.exhausted && time.Since(s.exhaustedAt[service]) < exhaustedTime
}

// count returns the number of engines of the order, 0 if there was none.
func (o *sentOrder) count() int {
	if o == nil {
		return 0
	}
	return o.engines
}

// awaitsRetry reports whether an order for more engines has to wait because the last one has just failed.
// Targets by demand change often, but the platform is asked once per failedOrderBackoff.
func (o *sentOrder) awaitsRetry(engines, present int, now time.Time) bool {
	return o != nil && o.failed && engines > present && now.Before(o.retryAt)
}

// orderNeeded reports whether an order for a number of engines has to be sent. last is the previous
// order, or nil; present and others are the numbers of engines of the order's kind and of the other
// kind.
func orderNeeded(last *sentOrder, engines, present, others int, now time.Time) bool {
	switch {
	case last != nil && last.engines != engines:
		return true // even if they are present, because the previous order may still be executed
	case present == engines:
		return false
	case last == nil:
		return true
	case !now.Before(last.retryAt):
		return true
	case last.failed:
		return false
	}
	return others < last.otherKind
}
