// Package duty elects the process that performs the duties of the whole deployment: changing the
// roles of engines, ordering engines from the platform and reporting usage. The holder of a lease
// has the authority to act. The platform and some engines do not check fencing tokens, so a new
// holder acts only when no request of the previous holder can arrive any more.
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
	// maxCandidates is the number of gateways that compete for the lease.
	maxCandidates = 2
	// renewTimeout limits a renewal of the lease. acquireTimeout limits an acquisition, which sends
	// two more requests to the store.
	renewTimeout   = time.Second
	acquireTimeout = 2 * renewTimeout
	// grantMargin is the minimum remaining time of a grant for sending a request under it.
	grantMargin = 300 * time.Millisecond
	// firstToken is the token of the first grant ever. Its holder has no predecessor to wait for.
	firstToken = 1
	// shard is the name of the lease.
	shard = "duties"
)

// Granter grants the authority to perform duties.
type Granter interface {
	// Grant returns the current grant, and true if this process may act under it now.
	Grant() (Grant, bool)
}

// Options of an Authority.
type Options struct {
	Store  objstore.Store
	Prefix string
	Self   members.Member
	// TTL is the time to live of the lease. HandoverDelay is how long a new holder waits before it
	// acts, so that no request of the previous holder arrives after its own.
	TTL, HandoverDelay time.Duration
	// View returns the latest view. Only schedulers perform duties, since they know the load.
	View func() *fleet.View
	// LivePeers returns the names of the other live gateways.
	LivePeers func() []string
	// Now is the clock. If it is nil, the clock of the host is used.
	Now    func() bootclock.Instant
	Logger log.Logger
}

// Authority competes for the lease of the duties and grants the authority to perform them. It is
// safe for concurrent use.
type Authority struct {
	o      Options
	logger log.Logger
	lessee *lease.Lessee
	legacy *legacyLease

	mu sync.Mutex
	// seenToken is the token of the last grant that was seen, or 0. seenSince is when it was first
	// seen.
	seenToken int64
	seenSince bootclock.Instant
	// hasActed is true if this process has been permitted to act and no other process has held the
	// lease since. It then need not wait if it reacquires the lease after an outage of the store.
	hasActed bool
}

// New returns an Authority. Call Run to compete for the lease.
func New(o Options) *Authority {
	if o.Now == nil {
		o.Now = bootclock.Now
	}
	a := &Authority{o: o, logger: log.With(o.Logger, "component", "duty"), legacy: newLegacyLease(o)}
	l := o.leaseOptions(shard, o.TTL)
	l.NextToken = a.legacy.acquire
	a.lessee = lease.New(l)
	return a
}

// leaseOptions returns the options of a lease for which this process competes.
func (o *Options) leaseOptions(name string, ttl time.Duration) lease.Options {
	return lease.Options{
		Store: o.Store, Prefix: o.Prefix, Shard: name, Holder: o.Self.Name, Incarnation: o.Self.Incarnation, Address: o.Self.Peer,
		TTL: ttl, Now: o.Now, Logger: o.Logger,
	}
}

// Grant implements Granter.
func (a *Authority) Grant() (Grant, bool) {
	g, held := a.lessee.Grant()
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case !held && a.seenToken != 0:
		level.Info(a.logger).Log("msg", "authority lost", "token", a.seenToken)
		a.seenToken = 0
	case held && g.Token != a.seenToken:
		a.seenToken, a.seenSince = g.Token, a.o.Now()
		a.hasActed = a.hasActed && g.Resumed && a.legacy.resumed()
		level.Info(a.logger).Log("msg", "authority", "token", g.Token, "acts_after", a.o.HandoverDelay)
	}
	noPredecessor := g.Token == firstToken || a.hasActed
	mayAct := held && (noPredecessor || a.o.Now().Sub(a.seenSince) >= a.o.HandoverDelay)
	a.hasActed = a.hasActed || mayAct
	return Grant{Holder: a.o.Self.Name, Token: g.Token, lease: a.lessee}, mayAct
}

// Grant is the authority to act for a limited time.
type Grant struct {
	Holder string
	// Token is the fencing token. It is higher than that of any earlier grant.
	Token int64
	lease *lease.Lessee
}

// Check must be called immediately before a request is written. It returns an error if the grant
// ends too soon or has been released.
func (g Grant) Check() error {
	if now, _ := g.lease.Grant(); now.Token != g.Token || !now.Valid(grantMargin) {
		return fault.New(fault.Unavailable, "authority ends too soon for this call", "the next holder of the lease carries on")
	}
	return nil
}

// Run competes for the lease and runs the duties until ctx ends. It releases the lease when all
// duties have returned.
func (a *Authority) Run(ctx context.Context, duties ...func(context.Context)) {
	var wg sync.WaitGroup
	for _, run := range append(duties, a.runLease) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			run(ctx)
		}()
	}
	wg.Wait()
	a.release()
}

// release releases the lease and the legacy lease.
func (a *Authority) release() {
	ctx, cancel := context.WithTimeout(context.Background(), acquireTimeout)
	defer cancel()
	if _, held := a.lessee.Grant(); held {
		a.legacy.release(ctx)
	}
	if err := a.lessee.Release(ctx); err != nil {
		level.Warn(a.logger).Log("msg", "lease not released", "err", err)
	}
}

// runLease competes for the lease while this process is a candidate. A holder that is no longer a
// scheduler releases it, since it does not see the load.
func (a *Authority) runLease(ctx context.Context) {
	for ctx.Err() == nil {
		a.stepLease(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(a.lessee.Interval()):
		}
	}
}

// stepLease renews, releases or tries to acquire the lease.
func (a *Authority) stepLease(ctx context.Context) {
	g, held := a.lessee.Grant()
	switch {
	case held && !a.o.View().Scheduling:
		a.release()
	case held:
		a.stepWithTimeout(ctx, renewTimeout, held)
		if a.legacy.lostOnRenewal(ctx, g.Token) {
			a.release()
		}
	case a.isCandidate():
		a.stepWithTimeout(ctx, acquireTimeout, held)
	}
	a.Grant() // records when the lease was first seen to be held
}

// stepWithTimeout renews the lease if it is held, and otherwise tries to acquire it.
func (a *Authority) stepWithTimeout(ctx context.Context, timeout time.Duration, held bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := a.lessee.Step(ctx); err != nil && !fault.Is(err, fault.Conflict) {
		level.Info(a.logger).Log("msg", "lease neither renewed nor acquired", "held", held, "err", err)
	}
}

func (a *Authority) isCandidate() bool {
	return a.o.View().Scheduling && members.Rank(shard, a.o.Self.Name, a.o.LivePeers()) < maxCandidates
}
