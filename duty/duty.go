// Package duty gives one process at a time the authority over the duties of the whole
// deployment: orders to engines, orders for engines and reports of usage. The platform and
// some engines do not check who acts, so the next holder acts only once every call of the
// one before it is too old to arrive after its own.
package duty

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/lease"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore"
)

const (
	// candidates is how many gateways want the lease.
	candidates = 2
	// stepTimeout bounds a renewal of the lease, acquireTimeout an acquisition, which has two
	// more calls of the store.
	stepTimeout    = time.Second
	acquireTimeout = 2 * stepTimeout
	// callMargin is how long before the end of its grant a holder makes its last call.
	callMargin = 300 * time.Millisecond
	// firstToken is that of the first holder ever, which has none before it to wait for.
	firstToken = 1
	// shard is the name of the lease.
	shard = "duties"
)

// Granter gives the right to do duties.
type Granter interface {
	// Grant returns the right to act now, if this process has it.
	Grant() (Grant, bool)
}

// Options of an Authority.
type Options struct {
	Store  objstore.Store
	Prefix string
	Self   members.Member
	// TTL is the life of the lease, Apart the time that must pass between the calls of two
	// holders.
	TTL, HandoverDelay time.Duration
	// View returns the latest view. Only schedulers, which know the load, do duties.
	View func() *fleet.View
	// LivePeers returns the other gateways that are heard.
	LivePeers func() []string
	// Now is the clock; that of the host if it is nil.
	Now    func() bootclock.Instant
	Logger log.Logger
}

// Authority is the right to do duties. It is safe for concurrent use.
type Authority struct {
	o      Options
	logger log.Logger
	lessee *lease.Lessee
	former *former

	mu sync.Mutex
	// token is that of the grant seen last, since when it was seen first.
	token int64
	since bootclock.Instant
	// acted is true if this process has had the right to act and nobody else has had the lease
	// since: one that it gets back after an outage of the store needs no wait then.
	acted bool
}

// New returns an authority that has to be run.
func New(o Options) *Authority {
	if o.Now == nil {
		o.Now = bootclock.Now
	}
	a := &Authority{o: o, logger: log.With(o.Logger, "component", "duty"), former: newFormer(o)}
	l := o.lease(shard, o.TTL)
	l.Token = a.former.take
	a.lessee = lease.New(l)
	return a
}

// lease returns the options of a lease that this process wants.
func (o *Options) lease(name string, ttl time.Duration) lease.Options {
	return lease.Options{
		Store: o.Store, Prefix: o.Prefix, Shard: name, Holder: o.Self.Name, Incarnation: o.Self.Incarnation, Address: o.Self.Peer,
		TTL: ttl, Now: o.Now, Logger: o.Logger,
	}
}

// Grant returns the right to act now, if this process has it.
func (a *Authority) Grant() (Grant, bool) {
	g, held := a.lessee.Grant()
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case !held && a.token != 0:
		level.Info(a.logger).Log("msg", "authority lost", "token", a.token)
		a.token = 0
	case held && g.Token != a.token:
		a.token, a.since = g.Token, a.o.Now()
		a.acted = a.acted && g.Resumed && a.former.resumed()
		level.Info(a.logger).Log("msg", "authority", "token", g.Token, "acts_after", a.o.HandoverDelay)
	}
	alone := g.Token == firstToken || a.acted
	may := held && (alone || a.o.Now().Sub(a.since) >= a.o.HandoverDelay)
	a.acted = a.acted || may
	return Grant{Holder: a.o.Self.Name, Token: g.Token, lease: a.lessee}, may
}

// Grant is the right to act for a time.
type Grant struct {
	Holder string
	// Token is higher than that of any grant before.
	Token int64
	lease *lease.Lessee
}

// Check is the last step before a call is written. It fails if the grant ends too soon, or
// has been given up.
func (g Grant) Check() error {
	if now, _ := g.lease.Grant(); now.Token != g.Token || !now.Valid(callMargin) {
		return fault.New(fault.Unavailable, "authority ends too soon for this call", "the next holder of the lease carries on")
	}
	return nil
}

// Run wants the lease and does the duties until ctx ends. When all duties have ended it
// gives the lease up.
func (a *Authority) Run(ctx context.Context, duties ...func(context.Context)) {
	var all sync.WaitGroup
	for _, do := range append(duties, a.keepLease) {
		all.Add(1)
		go func() {
			defer all.Done()
			do(ctx)
		}()
	}
	all.Wait()
	a.release()
}

// release gives the lease up.
func (a *Authority) release() {
	ctx, cancel := context.WithTimeout(context.Background(), acquireTimeout)
	defer cancel()
	if _, held := a.lessee.Grant(); held {
		a.former.release(ctx)
	}
	if err := a.lessee.Release(ctx); err != nil {
		level.Warn(a.logger).Log("msg", "lease not released", "err", err)
	}
}

// keepLease wants the lease while this process is one of the candidates. A holder that is
// no scheduler any more gives it up, since it does not see the load.
func (a *Authority) keepLease(ctx context.Context) {
	for ctx.Err() == nil {
		a.step(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(a.lessee.Interval()):
		}
	}
}

// step renews the lease, gives it up, or tries to get it.
func (a *Authority) step(ctx context.Context) {
	g, held := a.lessee.Grant()
	switch {
	case held && !a.o.View().Scheduling:
		a.release()
	case held:
		a.use(ctx, stepTimeout, held)
		if a.former.lost(ctx, g.Token) {
			a.release()
		}
	case a.candidate():
		a.use(ctx, acquireTimeout, held)
	}
	a.Grant() // notes since when it is held
}

// use makes a step of the lease.
func (a *Authority) use(ctx context.Context, within time.Duration, held bool) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	if err := a.lessee.Step(ctx); err != nil && !fault.Is(err, fault.Conflict) {
		level.Info(a.logger).Log("msg", "lease not stepped", "held", held, "err", err)
	}
}

func (a *Authority) candidate() bool {
	return a.o.View().Scheduling && members.Rank(shard, a.o.Self.Name, a.o.LivePeers()) < candidates
}
