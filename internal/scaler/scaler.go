// Package scaler orders engines from the platform while this process has the authority for
// it. How many is decided by package capacity.
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
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/periodic"
)

const (
	// reviewEvery is how often it is looked whether other engines are to be had.
	reviewEvery = 250 * time.Millisecond
	// orderTimeout bounds one order.
	orderTimeout = 1500 * time.Millisecond
	// failedPause is how long a failure domain is not asked again that has no engines to give,
	// or from which there was no answer.
	failedPause = time.Second
	// startSlack is how long beyond the stated time engines may take to start, or to leave,
	// before the order is repeated.
	startSlack = 4 * time.Second
)

// Options of a Scaler.
type Options struct {
	Authority duty.Granter
	Orderer   capacity.Orderer
	// View returns the latest view.
	View    func() *fleet.View
	Metrics metrics.Registry
	Logger  log.Logger
}

// Scaler orders engines for all services that allow it.
type Scaler struct {
	o      Options
	logger log.Logger
	// policies are by service.
	policies map[string]*capacity.Policy
	// token is the grant under which orders were given.
	token  int64
	orders map[subject]*given
}

// subject is what an order is about.
type subject struct {
	service, domain string
	spot            bool
}

// given is the last order of a subject.
type given struct {
	engines int
	// room is how many engines of the other kind there were: when some of them leave, an
	// order that the bounds of both together have cut is worth repeating.
	room int
	// until is when it is repeated if it has not been carried out, failed whether it was not
	// taken.
	until  time.Time
	failed bool
}

// New returns a scaler that has to be run.
func New(o Options) *Scaler {
	return &Scaler{o: o, logger: log.With(o.Logger, "component", "scaler"), policies: map[string]*capacity.Policy{}, orders: map[subject]*given{}}
}

// Run orders engines until ctx ends.
func (s *Scaler) Run(ctx context.Context) { periodic.Run(ctx, reviewEvery, s.review) }

// review orders what is missing. While the store is away nobody knows what there is, and
// nothing is ordered.
func (s *Scaler) review(ctx context.Context) {
	g, ok := s.o.Authority.Grant()
	v := s.o.View()
	if !ok || !v.Complete() || !v.StoreUp {
		return
	}
	if g.Token != s.token {
		s.token = g.Token
		clear(s.orders) // others may have ordered since
	}
	for _, name := range slices.Sorted(maps.Keys(v.Config.Services)) {
		if service := v.Config.Services[name]; service.Scaling != nil {
			s.scale(ctx, g, v, &service)
		}
	}
}

func (s *Scaler) scale(ctx context.Context, g duty.Grant, v *fleet.View, service *fleet.Service) {
	p := s.policies[service.Name]
	if p == nil {
		p = &capacity.Policy{}
		s.policies[service.Name] = p
	}
	in := input(v, service)
	targets := p.Decide(in)
	for n, d := range in.Domains {
		next := targets[n]
		s.order(ctx, g, service, capacity.Order{Service: service.Name, Domain: d.Name, Engines: next.Spot, Spot: true}, d.Spot, d.Lasting)
		s.order(ctx, g, service, capacity.Order{Service: service.Name, Domain: d.Name, Engines: next.Lasting}, d.Lasting, d.Spot)
	}
}

// input describes what a service has.
func input(v *fleet.View, service *fleet.Service) capacity.Input {
	in := capacity.Input{Scaling: service.Scaling}
	for _, name := range slices.Sorted(maps.Keys(service.Scaling.Prices)) {
		d := capacity.Domain{Name: name, Price: service.Scaling.Prices[name]}
		for _, i := range v.Usable(service.Name) {
			switch {
			case i.Domain != name:
			case i.Spot:
				d.Spot++
			default:
				d.Lasting++
			}
		}
		in.Domains = append(in.Domains, d)
	}
	return in
}

// order gives an order if it is needed: so many engines of its kind are present, and so many of
// the other kind.
func (s *Scaler) order(ctx context.Context, g duty.Grant, service *fleet.Service, o capacity.Order, present, others int) {
	what := subject{o.Service, o.Domain, o.Spot}
	last := s.orders[what]
	if !needed(last, o.Engines, present, others, time.Now()) {
		return
	}
	octx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := s.o.Orderer.Order(octx, g, o)
	level.Info(s.logger).Log("msg", "engines ordered", "service", o.Service, "domain", o.Domain, "spot", o.Spot, "engines", o.Engines,
		"before", last.ordered(), "present", present, "others", others, "token", g.Token, "err", err)
	metrics.GetOrRegisterCounter("scaler.orders", s.o.Metrics).Inc(1)
	pause := service.Scaling.Startup + startSlack
	if err != nil {
		pause = failedPause
	}
	s.orders[what] = &given{engines: o.Engines, room: others, until: time.Now().Add(pause), failed: err != nil}
}

// ordered returns the number of engines of an order, 0 if there was none.
func (g *given) ordered() int {
	if g == nil {
		return 0
	}
	return g.engines
}

// needed reports whether an order of so many engines has to be given, where last is the one
// before, nil for none, and so many engines of its kind and of the other one are present.
func needed(last *given, engines, present, others int, now time.Time) bool {
	switch {
	case last != nil && last.engines != engines:
		return true // also if they are present, since the last order may still be carried out
	case present == engines:
		return false
	case last == nil:
		return true
	case !now.Before(last.until):
		return true
	case last.failed:
		return false
	}
	return others < last.room
}
