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
	// gather is how long what is new is collected before it is told.
	gather = 5 * time.Millisecond
	// minAsk and maxAsk bound how often the keeper is asked, perAsker stretches that with the number of
	// those that ask. Grants must not have ended before the next ones arrive.
	minAsk   = 10 * time.Millisecond
	maxAsk   = grantLife / 2
	perAsker = time.Millisecond
	// repeatEvery is how often one other process is told all limits, which may have missed some.
	repeatEvery = time.Second
	// askFirst is how often a process that has just started asks for all limits, until one has
	// answered, or for firstTime.
	askFirst  = 20 * time.Millisecond
	firstTime = 2 * time.Second
	// callTimeout bounds one call.
	callTimeout = 500 * time.Millisecond
	// keeperAge is for how long it is kept who the keeper is.
	keeperAge = 20 * time.Millisecond
	// answerAge is for how long a process counts as heard that has answered a call here.
	answerAge = 3 * time.Second
	// lonePart is what the processes that decide alone may send of a limit, all together, beside what the
	// keeper grants.
	lonePart = 0.15
)

// Deciders are the processes that decide where requests run, and so send to limited instances.
type Deciders struct {
	// All of the fleet, with this process if it is one of them.
	All []members.Member
	// Reachable are the names of those of the others that this process hears.
	Reachable []string
	// Processes is how many processes there are, those that have others decide among them.
	Processes int
}

// Options of a Sharer.
type Options struct {
	Self      string
	Table     *Table
	Transport *peer.Transport
	Deciders  func() Deciders
	// Peers returns whom this process tells what it hears of instances, without itself.
	Peers  func() []members.Member
	Logger log.Logger
}

// Syncer tells other processes what instances say of their rates, and asks the keeper for grants. It
// implements Fleet.
type Syncer struct {
	o      Options
	logger log.Logger
	// heard is true once another process has answered.
	heard atomic.Bool

	mu sync.Mutex
	// keeper and part hold as of keeperAt.
	keeper   members.Member
	part     float64
	deciders int
	keeperAt bootclock.Instant
	// answered is when other processes answered a call last.
	answered map[string]bootclock.Instant
}

// NewSyncer returns a sharer that has to be run.
func NewSyncer(o Options) *Syncer {
	s := &Syncer{o: o, logger: log.With(o.Logger, "component", "ratelimit"), answered: map[string]bootclock.Instant{}}
	o.Table.Join(s)
	return s
}

// Coordinator implements Fleet: of the deciders that are heard, the one with the least name.
func (s *Syncer) Coordinator() string {
	keeper, _, _ := s.group()
	return keeper.Name
}

// Share implements Fleet. Where the deciders don't hear each other, each side grants only its part.
func (s *Syncer) Share() float64 {
	_, part, _ := s.group()
	return part
}

func (s *Syncer) group() (keeper members.Member, part float64, deciders int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keeperAt == 0 || bootclock.Since(s.keeperAt) > keeperAge {
		s.review(s.o.Deciders())
	}
	return s.keeper, s.part, s.deciders
}

// review works out the keeper. The caller holds the lock.
func (s *Syncer) review(d Deciders) {
	before := s.keeper.Name
	s.keeperAt = bootclock.Now()
	s.deciders = len(d.All)
	s.keeper = members.Member{Name: s.o.Self}
	if !members.Contains(d.All, s.o.Self) {
		s.part = lonePart / float64(max(d.Processes, 1))
		return
	}
	present := 0
	for _, m := range d.All {
		if m.Name != s.o.Self && !slices.Contains(d.Reachable, m.Name) && !s.hasAnswered(m.Name) {
			continue
		}
		present++
		if m.Name < s.keeper.Name {
			s.keeper = m
		}
	}
	s.part = float64(present) / float64(len(d.All))
	if s.keeper.Name != before && s.o.Table.limits.Load() > 0 {
		level.Info(s.logger).Log("msg", "keeper of rate limits", "keeper", s.keeper.Name, "before", before, "part", s.part)
	}
}

// hasAnswered reports whether a process has answered a call lately. The caller holds the lock.
func (s *Syncer) hasAnswered(name string) bool {
	at, ok := s.answered[name]
	return ok && bootclock.Since(at) < answerAge
}

// note records whether a process has answered a call.
func (s *Syncer) note(name string, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keeperAt = 0; !answered {
		delete(s.answered, name)
		return
	}
	s.answered[name] = bootclock.Now()
}

// Run tells others what is new at once, and asks the keeper while requests want to be sent, until ctx
// ends.
func (s *Syncer) Run(ctx context.Context) error {
	go s.askAll(ctx)
	repeat := time.NewTicker(repeatEvery)
	defer repeat.Stop()
	var asked bootclock.Instant
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-repeat.C:
			if s.o.Table.limits.Load() > 0 {
				s.repeat(ctx)
				s.seek(ctx)
			}
			continue
		case <-s.o.Table.wake:
		}
		time.Sleep(max(gather, s.askEvery()-bootclock.Since(asked)))
		asked = bootclock.Now()
		s.tell(ctx, s.o.Table.News(), s.o.Peers())
		s.ask(ctx)
	}
}

// askEvery returns how often the keeper is asked at most.
func (s *Syncer) askEvery() time.Duration {
	_, _, deciders := s.group()
	return min(max(minAsk, time.Duration(deciders)*perAsker), maxAsk)
}

// askAll has a process that starts learn what the others know.
func (s *Syncer) askAll(ctx context.Context) {
	for begun := bootclock.Now(); ctx.Err() == nil && !s.heard.Load() && bootclock.Since(begun) < firstTime; time.Sleep(askFirst) {
		if m, ok := oneOf(s.o.Peers()); ok {
			s.call(ctx, m, &peerpb.RateLimits{All: true})
		}
	}
}

// repeat tells one other process all limits.
func (s *Syncer) repeat(ctx context.Context) {
	if m, ok := oneOf(s.o.Peers()); ok {
		s.tell(ctx, s.o.Table.AllLimits(), []members.Member{m})
	}
}

// seek calls the deciders that go before the keeper and are not heard. One that takes the place of another
// may not be known to those that do hear each other, and would grant beside them.
func (s *Syncer) seek(ctx context.Context) {
	keeper, _, _ := s.group()
	if keeper.Name != s.o.Self {
		return
	}
	for _, m := range s.o.Deciders().All {
		if m.Name < s.o.Self {
			go s.call(ctx, m, &peerpb.RateLimits{})
		}
	}
}

func oneOf(all []members.Member) (members.Member, bool) {
	if len(all) == 0 {
		return members.Member{}, false
	}
	return all[rand.IntN(len(all))], true
}

// tell tells some processes statements. It does not wait for them.
func (s *Syncer) tell(ctx context.Context, news map[string]RateReport, to []members.Member) {
	if len(news) == 0 {
		return
	}
	message := &peerpb.RateLimits{Limits: encodeAll(news)}
	for _, m := range to {
		go s.call(ctx, m, message)
	}
}

// ask asks the keeper for what wants to be sent.
func (s *Syncer) ask(ctx context.Context) {
	keeper, _, _ := s.group()
	demand := s.o.Table.Demand()
	if len(demand) == 0 || keeper.Name == s.o.Self {
		return
	}
	message := &peerpb.RateLimits{}
	for _, d := range demand {
		message.Limits = append(message.Limits, encode(d.Run, d.Known))
		message.Requests = append(message.Requests, &peerpb.RateRequests{Instance: d.Run, Requests: uint32(d.Wanted), Lapsed: uint32(d.Lapsed)})
	}
	go s.call(ctx, keeper, message)
}

// call makes one call, and takes in its answer.
func (s *Syncer) call(ctx context.Context, to members.Member, message *peerpb.RateLimits) {
	begun := bootclock.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := s.o.Transport.Call(ctx, to.Peer, &peerpb.Request{Body: &peerpb.Request_RateLimits{RateLimits: message}})
	s.note(to.Name, err == nil)
	if err != nil {
		level.Debug(s.logger).Log("msg", "rate limits not told", "peer", to.Name, "err", err)
		return
	}
	s.heard.Store(true)
	answer := resp.GetRateLimits()
	s.learn(answer.GetLimits(), to.Name)
	for _, r := range answer.GetRequests() {
		s.o.Table.Granted(r.GetInstance(), int(r.GetRequests()), begun)
	}
}

// HandlePeer implements peer.Handler.
func (s *Syncer) HandlePeer(_ context.Context, req *peerpb.Request) *peerpb.Response {
	from, message := req.GetFrom().GetName(), req.GetRateLimits()
	s.learn(message.GetLimits(), from)
	answer := &peerpb.RateLimits{}
	if message.GetAll() {
		answer.Limits = encodeAll(s.o.Table.AllLimits())
	} else {
		answer.Limits = encodeAll(s.o.Table.statements(message.GetLimits()))
	}
	for _, r := range message.GetRequests() {
		if granted := s.o.Table.Grant(r.GetInstance(), from, int(r.GetRequests()), int(r.GetLapsed())); granted > 0 {
			answer.Requests = append(answer.Requests, &peerpb.RateRequests{Instance: r.GetInstance(), Requests: uint32(granted)})
		}
	}
	return &peerpb.Response{Body: &peerpb.Response_RateLimits{RateLimits: answer}}
}

func (s *Syncer) learn(limits []*peerpb.RateLimit, from string) {
	now := bootclock.Now()
	for _, l := range limits {
		s.o.Table.Learn(l.GetInstance(), from, decode(l, now))
	}
}
