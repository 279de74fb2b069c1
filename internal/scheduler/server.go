package scheduler

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/internal/feed"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/internal/periodic"
	"github.com/rockdoor/rockdoor/placement"
)

const (
	// clientSilence is after which time without a word of a client its tickets are given
	// up: clients follow their scheduler at least twice a second.
	clientSilence = 2 * time.Second
	// ticketLife bounds the life of a ticket whose end is never told.
	ticketLife = time.Minute
	// openGrace is how old a ticket must be to be given up because a client does not list
	// it: the answer with the ticket and the list may have crossed.
	openGrace = time.Second
	// sweepEvery is how often all this is looked after.
	sweepEvery = 500 * time.Millisecond
)

// Server places requests for other processes. It is safe for concurrent use.
type Server struct {
	o      Options
	logger log.Logger
	feed   *feed.Feed
	packs  packs
	heads  heads

	mu       sync.Mutex
	last     uint64
	clients  map[string]*client
	progress progress
}

// client is a process whose requests are placed here.
type client struct {
	run     string
	heard   time.Time
	tickets map[uint64]given
	// follows is true if it copies the feed, position is up to where it had it when it asked last.
	follows  bool
	position uint64
}

// given is a ticket and when it was given.
type given struct {
	*placement.Ticket
	at time.Time
}

// NewServer returns a server that has others follow f. It has to be run.
func NewServer(o Options, f *feed.Feed) *Server {
	o.complete()
	return &Server{
		o: o, logger: log.With(o.Logger, "component", "scheduler"), feed: f,
		// Numbers of an earlier run of this process must not be taken for those of this one.
		last: rand.Uint64() >> 1, clients: map[string]*client{},
	}
}

// Run gives up what is not heard of any more, until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	periodic.Run(ctx, sweepEvery, func(context.Context) { s.sweep(time.Now()) })
	return nil
}

func (s *Server) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.showFollowers(now)
	for name, c := range s.clients {
		if now.Sub(c.heard) > clientSilence {
			if len(c.tickets) > 0 {
				level.Info(s.logger).Log("msg", "client silent", "client", name, "tickets", len(c.tickets))
			}
			c.giveUp()
			delete(s.clients, name)
			continue
		}
		for id, t := range c.tickets {
			if now.Sub(t.at) > ticketLife {
				t.Cancel()
				delete(c.tickets, id)
			}
		}
	}
}

func (c *client) giveUp() {
	for id, t := range c.tickets {
		t.Cancel()
		delete(c.tickets, id)
	}
}

// HandlePeer implements peer.Handler.
func (s *Server) HandlePeer(ctx context.Context, req *peerpb.Request) *peerpb.Response {
	if !s.o.View().Scheduling {
		return &peerpb.Response{Error: "this process is no scheduler"}
	}
	from := req.GetFrom()
	s.hear(from)
	switch {
	case req.GetHeartbeat() != nil:
		return s.unheard(req.GetHeartbeat())
	case req.GetFollow() != nil:
		s.followed(from, req.GetFollow())
		return s.follow(ctx, req.GetFollow())
	case req.GetPlace() != nil:
		return s.place(ctx, from, req.GetPlace())
	case req.GetPlaceRead() != nil:
		return s.placeRead(ctx, from, req.GetPlaceRead())
	case req.GetReports() != nil:
		s.take(from, req.GetReports().GetReports())
		if req.GetReports().GetAllOpen() {
			s.keepOpen(from, req.GetReports().GetOpen(), time.Now())
		}
		return &peerpb.Response{Body: &peerpb.Response_Reports{Reports: &peerpb.TicketReportsTaken{}}}
	}
	return &peerpb.Response{Error: "call is not known"}
}

// hear notes that a client lives. The tickets of its earlier run are given up.
func (s *Server) hear(from *peerpb.Identity) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.clients[from.GetName()]
	if c == nil {
		c = &client{run: from.GetIncarnation(), tickets: map[uint64]given{}}
		s.clients[from.GetName()] = c
	}
	if c.run != from.GetIncarnation() {
		c.giveUp()
		c.run = from.GetIncarnation()
	}
	c.heard = time.Now()
}

// followed notes up to where a client has the feed. One that looks for a fresher copy, or that asks for the
// head alone, does not follow.
func (s *Server) followed(from *peerpb.Identity, m *peerpb.Follow) {
	if m.GetMaxAgeMs() > 0 || m.GetHead() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.clients[from.GetName()]
	if c == nil {
		return
	}
	c.follows, c.position = true, m.GetPosition()
	if m.GetRun() != s.feed.RunID() {
		c.position = 0
	}
}

func (s *Server) place(ctx context.Context, from *peerpb.Identity, m *peerpb.Place) *peerpb.Response {
	begun := time.Now()
	job, err := decodeJob(m, s.o.View())
	if err != nil {
		return &peerpb.Response{Error: err.Error()}
	}
	if v := s.o.Quarantine.Admit(fingerprintOf(m)); v.Refused {
		plan := placement.Plan{Reason: placement.ReasonQuarantined, RetryAfter: v.RetryAfter}
		return &peerpb.Response{Body: &peerpb.Response_Placed{Placed: encodePlan(&plan, 0, false)}}
	}
	plan, t := place(ctx, s.o.Placer, job)
	number := uint64(0)
	if t != nil {
		number = s.keep(from, t)
	}
	metrics.GetOrRegisterTimer("scheduler.place", s.o.Metrics).Update(time.Since(begun))
	return &peerpb.Response{Body: &peerpb.Response_Placed{Placed: encodePlan(&plan, number, m.GetLacksInstances())}}
}

// keep returns the number under which a ticket is kept.
func (s *Server) keep(from *peerpb.Identity, t *placement.Ticket) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	if c := s.clients[from.GetName()]; c != nil {
		c.tickets[s.last] = given{t, time.Now()}
	}
	return s.last
}

// ticket returns a ticket that is kept, nil if it is not.
func (s *Server) ticket(from *peerpb.Identity, number uint64) *placement.Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.clients[from.GetName()]; c != nil {
		return c.tickets[number].Ticket
	}
	return nil
}

func (s *Server) drop(from *peerpb.Identity, number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.clients[from.GetName()]; c != nil {
		delete(c.tickets, number)
	}
}

func (s *Server) placeRead(ctx context.Context, from *peerpb.Identity, m *peerpb.PlaceRead) *peerpb.Response {
	job, err := decodeJob(m.GetJob(), s.o.View())
	if err != nil {
		return &peerpb.Response{Error: err.Error()}
	}
	t := s.ticket(from, m.GetTicket())
	if t == nil {
		return &peerpb.Response{Error: "ticket is not known"}
	}
	t.PrefillEnded(true, placement.Succeeded)
	var plan placement.Plan
	placeRead(ctx, s.o.Placer, job, &plan, t)
	return &peerpb.Response{Body: &peerpb.Response_Placed{Placed: encodePlan(&plan, m.GetTicket(), m.GetJob().GetLacksInstances())}}
}

// keepOpen gives up the tickets of a client that it does not list. Their ends, or the answers
// with which they were given, were lost: a scheduler that was stopped for a while would
// count them at its instances for the next minute, and refuse all that come.
func (s *Server) keepOpen(from *peerpb.Identity, open []uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.clients[from.GetName()]
	if c == nil {
		return
	}
	listed := make(map[uint64]bool, len(open))
	for _, id := range open {
		listed[id] = true
	}
	given := 0
	for id, t := range c.tickets {
		if !listed[id] && now.Sub(t.at) > openGrace {
			t.Cancel()
			delete(c.tickets, id)
			given++
		}
	}
	if given > 0 {
		level.Info(s.logger).Log("msg", "tickets given up", "client", from.GetName(), "tickets", given)
	}
}

// take takes reports in. Those of tickets that were given up are left out.
func (s *Server) take(from *peerpb.Identity, reports []*peerpb.TicketReport) {
	for _, r := range reports {
		t := s.ticket(from, r.GetTicket())
		if t == nil {
			continue
		}
		outcome := placement.Outcome(r.GetOutcome())
		switch r.GetEvent() {
		case peerpb.TicketEvent_TICKET_EVENT_NOT_READ:
			t.PrefillEnded(false, outcome)
		case peerpb.TicketEvent_TICKET_EVENT_STARTED:
			t.FirstEvent()
		case peerpb.TicketEvent_TICKET_EVENT_ENDED:
			t.Gaps(micros(int64(r.GetGapUs())), int(r.GetGaps()))
			t.RunEnded(outcome)
			s.drop(from, r.GetTicket())
		case peerpb.TicketEvent_TICKET_EVENT_CANCELLED:
			t.Cancel()
			s.drop(from, r.GetTicket())
		}
	}
}
