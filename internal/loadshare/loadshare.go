// Package loadshare tells the schedulers of a deployment what each of them has in
// hand at each instance, so that together they act on nearly the whole load.
// Each works alone with its own figures when it hears from nobody.
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
	// calmInterval is how often digests are exchanged while this process has no prompts
	// in hand, and with each prompt more often: where prompts queue, what the others
	// placed since their last digest is as much as an engine reads in the time.
	calmInterval = 80 * time.Millisecond
	// minInterval is how often at the most.
	minInterval = 15 * time.Millisecond
	// perPeer stretches the least interval with the number of peers, so that a process
	// makes at most some 400 exchanges a second.
	perPeer = 2500 * time.Microsecond
	// callTimeout bounds one exchange.
	callTimeout = 500 * time.Millisecond
	// keptIntervals is for how many intervals a digest counts.
	keptIntervals = 6
	// replaceAfter is for how long a scheduler must be silent before another one takes its
	// place. A start takes less.
	replaceAfter = 3 * time.Second
	// registerRetry is how often a failed registration is tried again.
	registerRetry = time.Second
	// registerTimeout bounds one try.
	registerTimeout = 2 * time.Second
	// registerAgain is how long after it has registered a process takes word that it is not
	// registered for old: lists may be seconds old.
	registerAgain = 10 * time.Second
)

// Options of a Sharer.
type Options struct {
	Self  members.Member
	Store objstore.Store
	// Prefix is where the gateways register.
	Prefix    string
	Transport *peer.Transport
	// Placer knows what this process has in hand and learns what others had read.
	Placer *placement.Placer
	// RoleChanges returns the engines that this process is having change their role,
	// and to which.
	RoleChanges func() map[string]engine.Role
	// Members returns the gateways that tell each other, none if this is not one of them.
	Members func() []members.Member
	// Clock hears the clocks of the other gateways' hosts.
	Clock  *truetime.Clock
	Logger log.Logger
}

// Syncer exchanges digests with the other gateways.
type Syncer struct {
	o      Options
	logger log.Logger
	// missing has an entry if this process may have lost its registration.
	missing chan struct{}
	// restored has an entry if the store came back from a copy that may lack it.
	restored chan struct{}
	// again is registerAgain, except in tests.
	again time.Duration
	// left is true once this process takes its registration back.
	left atomic.Bool

	mu      sync.Mutex
	digests map[string]digest // by peer
	told    map[string]told   // by peer
	// heardAt is when a peer was heard last, or expected to be for the first time.
	heardAt map[string]time.Time
	// exchanging is true while this process is one of those that tell each other of their work.
	exchanging bool
	silent     *peer.Backoffs
	// calling are the peers whose answer is awaited.
	calling map[string]bool
	sum     map[string]placement.Load
	// changing are engines that some other gateway is having change their role, and
	// to which.
	changing map[string]engine.Role
}

// New returns a sharer that has to be run.
func New(o Options) *Syncer {
	if o.Clock == nil {
		o.Clock = truetime.New()
	}
	return &Syncer{
		o: o, logger: log.With(o.Logger, "component", "loadshare"), missing: make(chan struct{}, 1), restored: make(chan struct{}, 1), again: registerAgain,
		digests: map[string]digest{}, told: map[string]told{}, heardAt: map[string]time.Time{}, silent: peer.NewBackoffs(), calling: map[string]bool{}, sum: map[string]placement.Load{},
	}
}

// Load returns what the other gateways have in hand at an instance.
func (s *Syncer) Load(instance string) placement.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sum[instance]
}

// IsChangingRole reports whether another gateway is having an engine change its role. The
// role in the engine's own registration goes before that gateway's word, which may
// have lost the store and not see that the engine has changed.
func (s *Syncer) IsChangingRole(i *fleet.Instance) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	to := s.changing[i.ID]
	return to != "" && to != i.Role
}

// Reachable returns the names of the other gateways that are heard.
func (s *Syncer) Reachable() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.digests))
}

// Unresponsive reports whether a peer has not been heard for so long that another one takes its
// place. Nobody is silent for a process that is not told any more, as one that works for others no
// longer: it took all others for silent, and decided beside them for seconds at a time.
func (s *Syncer) Unresponsive(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, expected := s.heardAt[name]
	return expected && time.Since(at) > replaceAfter && (s.exchanging || s.hearsAny())
}

// hearsAny reports whether any peer has been heard lately. The caller holds the lock.
func (s *Syncer) hearsAny() bool {
	for _, at := range s.heardAt {
		if time.Since(at) <= replaceAfter {
			return true
		}
	}
	return false
}

// noteExchanging notes whether this process exchanges digests now. If it has heard nobody for a while, it begins to listen:
// what was not heard before is no silence. The caller holds the lock.
func (s *Syncer) noteExchanging(exchanging bool) {
	if exchanging && !s.exchanging && !s.hearsAny() {
		clear(s.heardAt)
	}
	s.exchanging = exchanging
}

// Run registers this process and exchanges digests until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	go s.stayRegistered(ctx)
	for {
		peers := s.peers()
		interval := s.interval()
		for _, p := range peers {
			go s.exchange(ctx, p)
		}
		s.expire(s.longestInterval() * keptIntervals)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(interval):
		}
	}
}

// peers returns the members that this process calls now: of each pair the one with
// the lesser name calls, and the answer carries the other's digest. One that has not
// answered yet is not called again.
func (s *Syncer) peers() []members.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []members.Member
	all := s.o.Members()
	s.noteExchanging(len(all) > 0)
	for _, m := range all {
		if _, expected := s.heardAt[m.Name]; !expected {
			s.heardAt[m.Name] = time.Now()
		}
		if m.Name <= s.o.Self.Name || s.calling[m.Name] || s.silent.InBackoff(m.Name) {
			continue
		}
		s.calling[m.Name] = true
		out = append(out, m)
	}
	return out
}

func (s *Syncer) exchange(ctx context.Context, p members.Member) {
	defer s.called(p.Name)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &peerpb.Request{Body: &peerpb.Request_Loads{Loads: s.digest(p.Name)}}
	resp, err := s.o.Transport.Call(ctx, p.Peer, req)
	if err != nil {
		s.fail(p, err)
		return
	}
	s.hear(resp.GetFrom(), resp.GetLoads())
}

// called notes that a call to a peer has ended.
func (s *Syncer) called(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calling, name)
}

// HandlePeer implements peer.Handler.
func (s *Syncer) HandlePeer(_ context.Context, req *peerpb.Request) *peerpb.Response {
	loads := req.GetLoads()
	if loads == nil {
		return &peerpb.Response{Error: "call is not known"}
	}
	s.hear(req.GetFrom(), loads)
	return &peerpb.Response{Body: &peerpb.Response_Loads{Loads: s.digest(req.GetFrom().GetName())}}
}

// interval returns how long to wait until the next exchange.
func (s *Syncer) interval() time.Duration {
	least := max(minInterval, time.Duration(len(s.o.Members()))*perPeer)
	return max(least, calmInterval/time.Duration(1+s.o.Placer.PendingPrompts()))
}

// longestInterval returns the longest time between two exchanges.
func (s *Syncer) longestInterval() time.Duration {
	return max(calmInterval, time.Duration(len(s.o.Members()))*perPeer)
}

// expire drops the digests of peers that have not been heard for a while.
func (s *Syncer) expire(after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	dropped := false
	for name, d := range s.digests {
		if time.Since(d.at) > after {
			s.replace(d, digest{})
			delete(s.digests, name)
			delete(s.told, name)
			dropped = true
			level.Info(s.logger).Log("msg", "peer silent", "peer", name, "age", time.Since(d.at).Round(time.Millisecond))
		}
	}
	if dropped {
		s.sumChanging()
	}
}

// fail makes the next call to a peer wait.
func (s *Syncer) fail(p members.Member, err error) {
	if s.silent.Failed(p.Name) {
		level.Info(s.logger).Log("msg", "peer does not answer", "peer", p.Name, "address", p.Peer, "err", err)
	}
}

// CheckRegistration has this process register again if it is not registered any more.
func (s *Syncer) CheckRegistration() {
	select {
	case s.missing <- struct{}{}:
	default: // it is being looked after
	}
}

// RegisterAfterRestore has this process register again if the store, which came back from an older copy, lacks
// its registration.
func (s *Syncer) RegisterAfterRestore() {
	select {
	case s.restored <- struct{}{}:
	default: // it is being looked after
	}
}

// stayRegistered registers this process, and again whenever its registration may be gone.
func (s *Syncer) stayRegistered(ctx context.Context) {
	s.register(ctx)
	registered := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.missing:
			if time.Since(registered) <= s.again {
				continue
			}
		case <-s.restored:
		}
		if s.left.Load() {
			continue
		}
		level.Info(s.logger).Log("msg", "registering again")
		s.register(ctx)
		registered = time.Now()
	}
}

// register registers this process, as often as it takes.
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
		case <-time.After(registerRetry):
		}
	}
}

// Leave removes the registration of this process.
func (s *Syncer) Leave(ctx context.Context) {
	s.left.Store(true)
	if err := members.Unregister(ctx, s.o.Store, s.o.Prefix, s.o.Self); err != nil {
		level.Warn(s.logger).Log("msg", "registration not removed", "err", err)
	}
}
