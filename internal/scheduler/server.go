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
	"github.com/rockdoor/rockdoor/quarantine"
)

const (
	// clientTimeout is the time without a call after which the tickets of a client are cancelled.
	// Clients call their scheduler at least twice a second.
	clientTimeout = 2 * time.Second
	// maxTicketAge limits the life of a ticket whose end is never reported.
	maxTicketAge = time.Minute
	// unlistedGrace is the age from which a ticket is cancelled if its client does not list it
	// as open. A younger ticket may be missing because the list was sent before it arrived.
	unlistedGrace = time.Second
	// sweepInterval is how often expired clients and tickets are looked for.
	sweepInterval = 500 * time.Millisecond
)

// Server places requests for other processes. It is safe for concurrent use.
type Server struct {
	o                Options
	logger           log.Logger
	feed             *feed.Feed
	packs            packCache
	partialSnapshots partialSnapshotCache

	mu           sync.Mutex
	lastTicketID uint64
	clients      map[string]*client
	positions    positionHistory
}

// client is a process whose requests are placed here.
type client struct {
	incarnation string
	lastContact time.Time
	tickets     map[uint64]issuedTicket
	// follower is true if the client follows the feed; position is what it had at its last call.
	follower bool
	position uint64
	// peer is the address at which the client accepts calls, empty if it relays no connections.
	peer string
}

// issuedTicket is a ticket and the time when it was issued.
type issuedTicket struct {
	*placement.Ticket
	issuedAt time.Time
}

// NewServer returns a server that lets other processes follow f. The caller must call Run.
func NewServer(o Options, f *feed.Feed) *Server {
	o.setDefaults()
	return &Server{
		o: o, logger: log.With(o.Logger, "component", "scheduler"), feed: f,
		// A random start keeps tickets of an earlier run of this process from matching those of this run.
		lastTicketID: rand.Uint64() >> 1, clients: map[string]*client{},
	}
}

// Run discards expired clients and tickets until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	periodic.Run(ctx, sweepInterval, func(context.Context) { s.sweep(time.Now()) })
	return nil
}

func (s *Server) sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.updateFollowerMetrics(now)
	for name, c := range s.clients {
		if now.Sub(c.lastContact) > clientTimeout {
			if len(c.tickets) > 0 {
				level.Info(s.logger).Log("msg", "client timed out, its tickets are cancelled", "client", name, "tickets", len(c.tickets))
			}
			c.cancelTickets()
			delete(s.clients, name)
			continue
		}
		for id, t := range c.tickets {
			if now.Sub(t.issuedAt) > maxTicketAge {
				t.Cancel()
				delete(c.tickets, id)
			}
		}
	}
}

func (c *client) cancelTickets() {
	for id, t := range c.tickets {
		t.Cancel()
		delete(c.tickets, id)
	}
}

// HandlePeer implements peer.Handler.
func (s *Server) HandlePeer(ctx context.Context, req *peerpb.Request) *peerpb.Response {
	if req.GetConfigQuery() != nil { // also at others that reach the store while no scheduler does
		return s.configState(req.GetConfigQuery())
	}
	if !s.o.View().Scheduling {
		return &peerpb.Response{Error: "this process is no scheduler"}
	}
	from := req.GetFrom()
	s.recordContact(from)
	switch {
	case req.GetHeartbeat() != nil:
		return s.confirmNoContact(req.GetHeartbeat())
	case req.GetFollow() != nil:
		s.recordFollower(from, req.GetFollow())
		return s.follow(ctx, req.GetFollow())
	case req.GetConfigOffer() != nil:
		return s.configOffered(from, req.GetConfigOffer())
	case req.GetPlace() != nil:
		return s.place(ctx, from, req.GetPlace())
	case req.GetPlaceRead() != nil:
		return s.placeDecode(ctx, from, req.GetPlaceRead())
	case req.GetReports() != nil:
		s.applyReports(from, req.GetReports().GetReports())
		if req.GetReports().GetAllOpen() {
			s.cancelUnlisted(from, req.GetReports().GetOpen(), time.Now())
		}
		return &peerpb.Response{Body: &peerpb.Response_Reports{Reports: &peerpb.TicketReportsTaken{}}}
	}
	return &peerpb.Response{Error: "call is not known"}
}

// recordContact records a call of a client. If the client has restarted, its earlier tickets are cancelled.
func (s *Server) recordContact(from *peerpb.Identity) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.clients[from.GetName()]
	if c == nil {
		c = &client{incarnation: from.GetIncarnation(), tickets: map[uint64]issuedTicket{}}
		s.clients[from.GetName()] = c
	}
	if c.incarnation != from.GetIncarnation() {
		c.cancelTickets()
		c.incarnation = from.GetIncarnation()
	}
	c.lastContact = time.Now()
}

// recordFollower records the feed position of a client. A client that looks for a fresher snapshot or
// requests a partial one does not count as a follower.
func (s *Server) recordFollower(from *peerpb.Identity, m *peerpb.Follow) {
	if m.GetMaxAgeMs() > 0 || m.GetHead() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.clients[from.GetName()]
	if c == nil {
		return
	}
	c.follower, c.position, c.peer = true, m.GetPosition(), ""
	if from.GetRelays() {
		c.peer = m.GetPeer()
	}
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
	if v := s.quarantineVerdict(m); v.Refused {
		plan := placement.Plan{Reason: placement.ReasonQuarantined, RetryAfter: v.RetryAfter}
		return &peerpb.Response{Body: &peerpb.Response_Placed{Placed: encodePlan(&plan, 0, false)}}
	}
	plan, t := placeWithWait(ctx, s.o.Placer, job)
	id := uint64(0)
	if t != nil {
		id = s.addTicket(from, t)
	}
	metrics.GetOrRegisterTimer("scheduler.place", s.o.Metrics).Update(time.Since(begun))
	return &peerpb.Response{Body: &peerpb.Response_Placed{Placed: encodePlan(&plan, id, m.GetLacksInstances())}}
}

// quarantineVerdict returns the verdict on a request that another process received. That process has permitted a request
// without a fingerprint as a trial.
func (s *Server) quarantineVerdict(m *peerpb.Place) quarantine.Verdict {
	f := fingerprintOf(m)
	if f == (quarantine.Fingerprint{}) {
		return quarantine.Verdict{}
	}
	if v := s.o.Quarantine.Admit(f); v.Refused {
		return v
	}
	return s.o.Quarantine.AdmitParts(partsOf(m))
}

// addTicket stores a ticket and returns its ID.
func (s *Server) addTicket(from *peerpb.Identity, t *placement.Ticket) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastTicketID++
	if c := s.clients[from.GetName()]; c != nil {
		c.tickets[s.lastTicketID] = issuedTicket{t, time.Now()}
	}
	return s.lastTicketID
}

// ticket returns a stored ticket, or nil if there is none with that ID.
func (s *Server) ticket(from *peerpb.Identity, id uint64) *placement.Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.clients[from.GetName()]; c != nil {
		return c.tickets[id].Ticket
	}
	return nil
}

func (s *Server) removeTicket(from *peerpb.Identity, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.clients[from.GetName()]; c != nil {
		delete(c.tickets, id)
	}
}

func (s *Server) placeDecode(ctx context.Context, from *peerpb.Identity, m *peerpb.PlaceRead) *peerpb.Response {
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
	placeDecodeWithWait(ctx, s.o.Placer, job, &plan, t)
	return &peerpb.Response{Body: &peerpb.Response_Placed{Placed: encodePlan(&plan, m.GetTicket(), m.GetJob().GetLacksInstances())}}
}

// cancelUnlisted cancels the tickets of a client that are not in its list of open tickets. The
// reports of their ends, or the responses that issued them, were lost. Without this, a scheduler
// that was suspended for a while would count them as load of its instances for another minute
// and reject all new requests.
func (s *Server) cancelUnlisted(from *peerpb.Identity, open []uint64, now time.Time) {
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
	cancelled := 0
	for id, t := range c.tickets {
		if !listed[id] && now.Sub(t.issuedAt) > unlistedGrace {
			t.Cancel()
			delete(c.tickets, id)
			cancelled++
		}
	}
	if cancelled > 0 {
		level.Info(s.logger).Log("msg", "tickets cancelled that the client does not list as open", "client", from.GetName(), "tickets", cancelled)
	}
}

// applyReports applies reports of a client. Reports for cancelled tickets are ignored.
func (s *Server) applyReports(from *peerpb.Identity, reports []*peerpb.TicketReport) {
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
			t.RecordGaps(micros(int64(r.GetGapUs())), int(r.GetGaps()))
			t.RunEnded(outcome)
			s.removeTicket(from, r.GetTicket())
		case peerpb.TicketEvent_TICKET_EVENT_CANCELLED:
			t.Cancel()
			s.removeTicket(from, r.GetTicket())
		}
	}
}
