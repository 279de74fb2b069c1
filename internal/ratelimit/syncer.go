package ratelimit

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/internal/peer"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/members"
)

const (
	// batchDelay is how long updates are collected before they are sent.
	batchDelay = 5 * time.Millisecond
	// minRequestInterval and maxRequestInterval bound the interval between requests to the coordinator.
	// It grows by intervalPerDecider with the number of processes that request grants. It must be shorter
	// than the lifetime of a grant, so that new grants arrive in time.
	minRequestInterval = 10 * time.Millisecond
	maxRequestInterval = minGrantLifetime / 2
	intervalPerDecider = time.Millisecond
	// resendInterval is how often all limits are sent to one random process, which may have missed some.
	resendInterval = time.Second
	// startupPollInterval is how often a process that has just started requests all limits, until another
	// process has responded or startupPeriod is over.
	startupPollInterval = 20 * time.Millisecond
	startupPeriod       = 2 * time.Second
	// callTimeout limits one call.
	callTimeout = 500 * time.Millisecond
	// coordinatorCacheTime is how long the choice of the coordinator is cached.
	coordinatorCacheTime = 20 * time.Millisecond
	// contactTimeout is how long a process counts as reachable after it has responded to a call.
	contactTimeout = 3 * time.Second
	// isolatedShare is the part of a limit that all processes which place requests on their own may send
	// together, on top of what the coordinator grants.
	isolatedShare = 0.15
)

// Deciders are the processes that place requests, and so send them to limited instances.
type Deciders struct {
	// All has all deciders of the fleet, including this process if it is one.
	All []members.Member
	// Reachable has the names of the other deciders that this process receives messages from.
	Reachable []string
	// Processes is the number of all processes, including those that do not place requests.
	Processes int
}

// Options of a Syncer.
type Options struct {
	Self      string
	Table     *Table
	Transport *peer.Transport
	// Deciders returns the deciders as this process sees them now.
	Deciders func() Deciders
	// Peers returns the processes to send rate reports to, without this process.
	Peers  func() []members.Member
	Logger log.Logger
}

// Syncer exchanges rate reports with other processes and requests grants from the coordinator. It
// implements Fleet.
type Syncer struct {
	o      Options
	logger log.Logger
	// synced is true once another process has responded.
	synced atomic.Bool

	mu sync.Mutex
	// coordinator, share and deciders are cached; they were determined at coordinatorAt.
	coordinator   members.Member
	share         float64
	deciders      int
	coordinatorAt bootclock.Instant
	// lastResponse is when each other process last responded to a call.
	lastResponse map[string]bootclock.Instant
}

// NewSyncer returns a syncer. The caller must call Run.
func NewSyncer(o Options) *Syncer {
	s := &Syncer{o: o, logger: log.With(o.Logger, "component", "ratelimit"), lastResponse: map[string]bootclock.Instant{}}
	o.Table.Join(s)
	return s
}

// Coordinator implements Fleet. The coordinator is the reachable decider with the lowest name.
func (s *Syncer) Coordinator() string {
	coordinator, _, _ := s.coordination()
	return coordinator.Name
}

// Share implements Fleet. If the deciders are partitioned, each side grants only its share.
func (s *Syncer) Share() float64 {
	_, share, _ := s.coordination()
	return share
}

func (s *Syncer) coordination() (coordinator members.Member, share float64, deciders int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.coordinatorAt == 0 || bootclock.Since(s.coordinatorAt) > coordinatorCacheTime {
		s.updateCoordinator(s.o.Deciders())
	}
	return s.coordinator, s.share, s.deciders
}

// updateCoordinator determines the coordinator and the share. The caller holds the lock.
func (s *Syncer) updateCoordinator(d Deciders) {
	before := s.coordinator.Name
	s.coordinatorAt = bootclock.Now()
	s.deciders = len(d.All)
	s.coordinator = members.Member{Name: s.o.Self}
	if !members.Contains(d.All, s.o.Self) {
		s.share = isolatedShare / float64(max(d.Processes, 1))
		return
	}
	reachable := 0
	for _, m := range d.All {
		if m.Name != s.o.Self && !slices.Contains(d.Reachable, m.Name) && !s.respondedRecently(m.Name) {
			continue
		}
		reachable++
		if m.Name < s.coordinator.Name {
			s.coordinator = m
		}
	}
	s.share = float64(reachable) / float64(len(d.All))
	if s.coordinator.Name != before && s.o.Table.activeLimits.Load() > 0 {
		level.Info(s.logger).Log("msg", "coordinator of rate limits", "keeper", s.coordinator.Name, "before", before, "part", s.share)
	}
}

// respondedRecently reports whether a process has responded to a call recently. The caller holds the lock.
func (s *Syncer) respondedRecently(name string) bool {
	at, ok := s.lastResponse[name]
	return ok && bootclock.Since(at) < contactTimeout
}

// recordResponse records whether a process has responded to a call.
func (s *Syncer) recordResponse(name string, responded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.coordinatorAt = 0; !responded {
		delete(s.lastResponse, name)
		return
	}
	s.lastResponse[name] = bootclock.Now()
}

// Run sends updates to other processes immediately and requests grants from the coordinator while there
// is demand, until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	go s.fetchAll(ctx)
	resend := time.NewTicker(resendInterval)
	defer resend.Stop()
	var requestedAt bootclock.Instant
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-resend.C:
			if s.o.Table.activeLimits.Load() > 0 {
				s.resend(ctx)
				s.contactEarlierDeciders(ctx)
			}
			continue
		case <-s.o.Table.wake:
		}
		time.Sleep(max(batchDelay, s.requestInterval()-bootclock.Since(requestedAt)))
		requestedAt = bootclock.Now()
		s.send(ctx, s.o.Table.TakeUpdates(), s.o.Peers())
		s.requestGrants(ctx)
	}
}

// requestInterval returns the minimum interval between requests to the coordinator.
func (s *Syncer) requestInterval() time.Duration {
	_, _, deciders := s.coordination()
	return min(max(minRequestInterval, time.Duration(deciders)*intervalPerDecider), maxRequestInterval)
}

// fetchAll requests all limits from other processes after a start.
func (s *Syncer) fetchAll(ctx context.Context) {
	for begun := bootclock.Now(); ctx.Err() == nil && !s.synced.Load() && bootclock.Since(begun) < startupPeriod; time.Sleep(startupPollInterval) {
		if m, ok := pickRandom(s.o.Peers()); ok {
			s.call(ctx, m, &peerpb.RateLimits{All: true})
		}
	}
}

// resend sends all limits to one random process.
func (s *Syncer) resend(ctx context.Context) {
	if m, ok := pickRandom(s.o.Peers()); ok {
		s.send(ctx, s.o.Table.AllLimits(), []members.Member{m})
	}
}

// contactEarlierDeciders calls the deciders with a lower name while this process is the coordinator. A process that
// has taken the place of another decider may not be known to those that are in contact with each other. Without these
// calls it would grant requests in addition to the coordinator of the others.
func (s *Syncer) contactEarlierDeciders(ctx context.Context) {
	coordinator, _, _ := s.coordination()
	if coordinator.Name != s.o.Self {
		return
	}
	for _, m := range s.o.Deciders().All {
		if m.Name < s.o.Self {
			go s.call(ctx, m, &peerpb.RateLimits{})
		}
	}
}

func pickRandom(all []members.Member) (members.Member, bool) {
	if len(all) == 0 {
		return members.Member{}, false
	}
	return all[rand.IntN(len(all))], true
}

// send sends reports to some processes. It does not wait for them.
func (s *Syncer) send(ctx context.Context, reports map[string]RateReport, to []members.Member) {
	if len(reports) == 0 {
		return
	}
	message := &peerpb.RateLimits{Limits: encodeAll(reports)}
	for _, m := range to {
		go s.call(ctx, m, message)
	}
}

// requestGrants sends the current demand to the coordinator.
func (s *Syncer) requestGrants(ctx context.Context) {
	coordinator, _, _ := s.coordination()
	demand := s.o.Table.TakeDemand()
	if len(demand) == 0 || coordinator.Name == s.o.Self {
		return
	}
	message := &peerpb.RateLimits{}
	for _, d := range demand {
		message.Limits = append(message.Limits, encode(d.Run, d.Known))
		message.Requests = append(message.Requests, &peerpb.RateRequests{Instance: d.Run, Requests: uint32(d.Requested), Lapsed: uint32(d.Expired)})
	}
	go s.call(ctx, coordinator, message)
}

// call makes one call and applies the response.
func (s *Syncer) call(ctx context.Context, to members.Member, message *peerpb.RateLimits) {
	begun := bootclock.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := s.o.Transport.Call(ctx, to.Peer, &peerpb.Request{Body: &peerpb.Request_RateLimits{RateLimits: message}})
	s.recordResponse(to.Name, err == nil)
	if err != nil {
		level.Debug(s.logger).Log("msg", "rate limits not sent", "peer", to.Name, "err", err)
		return
	}
	s.synced.Store(true)
	limits := resp.GetRateLimits()
	s.learn(limits.GetLimits(), to.Name)
	for _, r := range limits.GetRequests() {
		s.o.Table.AddGrants(r.GetInstance(), int(r.GetRequests()), begun)
	}
}

// HandlePeer implements peer.Handler.
func (s *Syncer) HandlePeer(_ context.Context, req *peerpb.Request) *peerpb.Response {
	from, message := req.GetFrom().GetName(), req.GetRateLimits()
	s.learn(message.GetLimits(), from)
	out := &peerpb.RateLimits{}
	if message.GetAll() {
		out.Limits = encodeAll(s.o.Table.AllLimits())
	} else {
		out.Limits = encodeAll(s.o.Table.reportsFor(message.GetLimits()))
	}
	for _, r := range message.GetRequests() {
		if granted := s.o.Table.Grant(r.GetInstance(), from, int(r.GetRequests()), int(r.GetLapsed())); granted > 0 {
			out.Requests = append(out.Requests, &peerpb.RateRequests{Instance: r.GetInstance(), Requests: uint32(granted)})
		}
	}
	return &peerpb.Response{Body: &peerpb.Response_RateLimits{RateLimits: out}}
}

func (s *Syncer) learn(limits []*peerpb.RateLimit, from string) {
	now := bootclock.Now()
	for _, l := range limits {
		s.o.Table.Learn(l.GetInstance(), from, decode(l, now))
	}
}
