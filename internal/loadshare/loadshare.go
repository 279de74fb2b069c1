// Package loadshare exchanges load digests between the schedulers of a deployment. Each
// scheduler sends the others the work that it has placed at each instance, so that all of them
// decide on nearly the whole load. A scheduler that receives no digests uses its own figures.
package loadshare

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/peer"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/placement"
	"github.com/rockdoor/rockdoor/truetime"
)

const (
	// idleInterval is the interval between digests while this process has no prompts in flight.
	// The interval shrinks with each prompt: while prompts queue, the other schedulers place
	// as much within one interval as an engine prefills in that time.
	idleInterval = 80 * time.Millisecond
	// minInterval is the minimum interval between digests.
	minInterval = 15 * time.Millisecond
	// intervalPerPeer raises the minimum interval with the number of peers, so that a process
	// makes at most about 400 exchanges per second.
	intervalPerPeer = 2500 * time.Microsecond
	// callTimeout limits one exchange.
	callTimeout = 500 * time.Millisecond
	// digestLifeIntervals is the lifetime of a digest in intervals.
	digestLifeIntervals = 6
	// unresponsiveAfter is how long a scheduler must be unresponsive before another process takes
	// its place. A restart takes less time.
	unresponsiveAfter = 3 * time.Second
	// registerRetryInterval is the delay before a failed registration is retried.
	registerRetryInterval = time.Second
	// registerTimeout limits one attempt to register.
	registerTimeout = 2 * time.Second
	// staleListTime is how long after registering a process ignores reports that it is not
	// registered, since the lists on which they are based may be seconds old.
	staleListTime = 10 * time.Second
)

// Options of a Syncer.
type Options struct {
	Self  members.Member
	Store objstore.Store
	// Prefix is the key prefix of gateway registrations in the store.
	Prefix    string
	Transport *peer.Transport
	// Placer provides the load of this process and learns of prompts prefilled for other processes.
	Placer *placement.Placer
	// RoleChanges returns the engines whose role this process is changing, and their new roles.
	RoleChanges func() map[string]engine.Role
	// Members returns the gateways that exchange digests, which are the schedulers, or none if this
	// process is not among them.
	Members func() []members.Member
	// Extensions add further state to the digests.
	Extensions []Extension
	// Clock receives the clock readings of the other gateways' hosts.
	Clock  *truetime.Clock
	Logger log.Logger
}

// Extension exchanges further state in the digests. Its methods are called by several goroutines.
type Extension interface {
	// AddTo adds the state of this process to a digest.
	AddTo(d *peerpb.LoadDigest)
	// Apply applies the state of a peer. Digests may arrive out of order.
	Apply(from *peerpb.Identity, d *peerpb.LoadDigest)
	// Forget is called when a peer has sent no digest for a while.
	Forget(peer string)
}

// Syncer exchanges load digests with the other gateways.
type Syncer struct {
	o      Options
	logger log.Logger
	// recheck has an entry if this process may have lost its registration.
	recheck chan struct{}
	// restored has an entry if the store was restored from an older snapshot that may lack the registration.
	restored chan struct{}
	// staleListTime is the constant of that name, except in tests.
	staleListTime time.Duration
	// leaving is true once this process removes its registration.
	leaving atomic.Bool

	mu         sync.Mutex
	digests    map[string]digest    // by peer
	peerStates map[string]peerState // by peer
	// lastContact is when a peer was last heard from, or when it became a member of this exchange.
	lastContact map[string]time.Time
	// exchanging is true while this process is one of those that exchange digests.
	exchanging bool
	backoffs   *peer.Backoffs
	// pendingCalls has the peers whose response is pending.
	pendingCalls map[string]bool
	totals       map[string]placement.Load
	// roleChanges has the engines whose role another gateway is changing, and their new roles.
	roleChanges map[string]engine.Role
}

// New returns a syncer. The caller must call Run.
func New(o Options) *Syncer {
	if o.Clock == nil {
		o.Clock = truetime.New()
	}
	return &Syncer{
		o: o, logger: log.With(o.Logger, "component", "loadshare"), recheck: make(chan struct{}, 1), restored: make(chan struct{}, 1), staleListTime: staleListTime,
		digests: map[string]digest{}, peerStates: map[string]peerState{}, lastContact: map[string]time.Time{}, backoffs: peer.NewBackoffs(), pendingCalls: map[string]bool{}, totals: map[string]placement.Load{},
	}
}

// Load returns the work of the other gateways at an instance.
func (s *Syncer) Load(instance string) placement.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totals[instance]
}

// IsChangingRole reports whether another gateway is changing the role of an engine. The role in the
// engine's registration takes precedence over that gateway's digest: the gateway may have lost
// contact with the store and not see that the change is complete.
func (s *Syncer) IsChangingRole(i *fleet.Instance) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	to := s.roleChanges[i.ID]
	return to != "" && to != i.Role
}

// Reachable returns the names of the other gateways that have sent a digest recently.
func (s *Syncer) Reachable() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.digests))
}

// Unresponsive reports whether a peer has been unresponsive for so long that another process takes its
// place. It returns false for all peers if this process no longer receives digests, which happens
// when it stops working for others. Otherwise it would consider all schedulers unresponsive and
// place requests in parallel with them for seconds.
func (s *Syncer) Unresponsive(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, expected := s.lastContact[name]
	return expected && time.Since(at) > unresponsiveAfter && (s.exchanging || s.hasAnyContact())
}

// hasAnyContact reports whether any peer has been in contact recently. The caller holds the lock.
func (s *Syncer) hasAnyContact() bool {
	for _, at := range s.lastContact {
		if time.Since(at) <= unresponsiveAfter {
			return true
		}
	}
	return false
}

// setExchanging records whether this process exchanges digests now. If it starts after having had no contact for a
// while, the earlier lack of contact is discarded, since it says nothing about the peers. The caller holds the lock.
func (s *Syncer) setExchanging(exchanging bool) {
	if exchanging && !s.exchanging && !s.hasAnyContact() {
		clear(s.lastContact)
	}
	s.exchanging = exchanging
}

// Run registers this process and exchanges digests until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	go s.stayRegistered(ctx)
	for {
		peers := s.peersToCall()
		interval := s.interval()
		for _, p := range peers {
			go s.exchange(ctx, p)
		}
		s.expireDigests(s.longestInterval() * digestLifeIntervals)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(interval):
		}
	}
}

// peersToCall returns the members that this process calls now. Of each pair of processes the one
// with the lower name calls, and the response has the other's digest. A peer whose response is
// still pending is not called again.
func (s *Syncer) peersToCall() []members.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []members.Member
	all := s.o.Members()
	s.setExchanging(len(all) > 0)
	for _, m := range all {
		if _, expected := s.lastContact[m.Name]; !expected {
			s.lastContact[m.Name] = time.Now()
		}
		if m.Name <= s.o.Self.Name || s.pendingCalls[m.Name] || s.backoffs.InBackoff(m.Name) {
			continue
		}
		s.pendingCalls[m.Name] = true
		out = append(out, m)
	}
	return out
}

func (s *Syncer) exchange(ctx context.Context, p members.Member) {
	defer s.callEnded(p.Name)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &peerpb.Request{Body: &peerpb.Request_Loads{Loads: s.newDigest(p.Name)}}
	resp, err := s.o.Transport.Call(ctx, p.Peer, req)
	if err != nil {
		s.recordFailure(p, err)
		return
	}
	s.applyDigest(resp.GetFrom(), resp.GetLoads())
}

// callEnded records that a call to a peer has ended.
func (s *Syncer) callEnded(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pendingCalls, name)
}

// HandlePeer implements peer.Handler.
func (s *Syncer) HandlePeer(_ context.Context, req *peerpb.Request) *peerpb.Response {
	loads := req.GetLoads()
	if loads == nil {
		return &peerpb.Response{Error: "call is not known"}
	}
	s.applyDigest(req.GetFrom(), loads)
	return &peerpb.Response{Body: &peerpb.Response_Loads{Loads: s.newDigest(req.GetFrom().GetName())}}
}

// interval returns the time to wait before the next exchange.
func (s *Syncer) interval() time.Duration {
	minimum := max(minInterval, time.Duration(len(s.o.Members()))*intervalPerPeer)
	return max(minimum, idleInterval/time.Duration(1+s.o.Placer.PendingPrompts()))
}

// longestInterval returns the longest interval between two exchanges.
func (s *Syncer) longestInterval() time.Duration {
	return max(idleInterval, time.Duration(len(s.o.Members()))*intervalPerPeer)
}

// expireDigests removes the digests of peers that have not been heard from for a while.
func (s *Syncer) expireDigests(after time.Duration) {
	for _, name := range s.removeExpired(after) {
		for _, x := range s.o.Extensions {
			x.Forget(name) // without the lock: extensions use the placer, which asks for the loads of peers
		}
	}
}

// removeExpired does the work of expireDigests on the digests and returns the names of the peers.
func (s *Syncer) removeExpired(after time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var removed []string
	for name, d := range s.digests {
		if time.Since(d.receivedAt) > after {
			s.updateTotals(d, digest{})
			delete(s.digests, name)
			delete(s.peerStates, name)
			removed = append(removed, name)
			level.Info(s.logger).Log("msg", "peer silent", "peer", name, "age", time.Since(d.receivedAt).Round(time.Millisecond))
		}
	}
	if len(removed) > 0 {
		s.mergeRoleChanges()
	}
	return removed
}

// recordFailure delays the next call to a peer that failed to respond.
func (s *Syncer) recordFailure(p members.Member, err error) {
	if s.backoffs.Failed(p.Name) {
		level.Info(s.logger).Log("msg", "peer does not respond", "peer", p.Name, "address", p.Peer, "err", err)
	}
}

// CheckRegistration makes this process register again, unless it has registered within staleListTime.
func (s *Syncer) CheckRegistration() {
	select {
	case s.recheck <- struct{}{}:
	default: // a check is already pending
	}
}

// RegisterAfterRestore makes this process register again after the store was restored from an older snapshot that may
// lack its registration.
func (s *Syncer) RegisterAfterRestore() {
	select {
	case s.restored <- struct{}{}:
	default: // a registration is already pending
	}
}

// stayRegistered registers this process, and again whenever its registration may be missing.
func (s *Syncer) stayRegistered(ctx context.Context) {
	s.register(ctx)
	registered := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.recheck:
			if time.Since(registered) <= s.staleListTime {
				continue
			}
		case <-s.restored:
		}
		if s.leaving.Load() {
			continue
		}
		level.Info(s.logger).Log("msg", "registering again")
		s.register(ctx)
		registered = time.Now()
	}
}

// register registers this process and retries until it succeeds.
func (s *Syncer) register(ctx context.Context) {
	for {
		rctx, cancel := context.WithTimeout(ctx, registerTimeout)
		err := members.Register(rctx, s.o.Store, s.o.Prefix, s.o.Self)
		cancel()
		if err == nil || ctx.Err() != nil {
			return
		}
		level.Warn(s.logger).Log("msg", "not registered", "err", err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(registerRetryInterval):
		}
	}
}

// Leave removes the registration of this process.
func (s *Syncer) Leave(ctx context.Context) {
	s.leaving.Store(true)
	if err := members.Unregister(ctx, s.o.Store, s.o.Prefix, s.o.Self); err != nil {
		level.Warn(s.logger).Log("msg", "registration not removed", "err", err)
	}
}
