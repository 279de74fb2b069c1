package scheduler

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/feed"
	"github.com/rockdoor/rockdoor/internal/peer"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/internal/ratelimit"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/placement"
	"github.com/rockdoor/rockdoor/quarantine"
	"github.com/rockdoor/rockdoor/truetime"
)

const (
	// callTimeout bounds one call to a scheduler. Answers take 1 to 2 ms between failure
	// domains. A stopped or partitioned scheduler must cost a request only a small part of
	// its latency target.
	callTimeout = 40 * time.Millisecond
	// maxPlaceAttempts is how many schedulers are tried before a process places a request itself.
	maxPlaceAttempts = 2
)

// Options of a Client and a Server.
type Options struct {
	Self      members.Member
	View      func() *fleet.View
	Transport *peer.Transport
	// Placer makes placement decisions in this process.
	Placer *placement.Placer
	// Limits holds the rate limits that instances report; nil if none do.
	Limits *ratelimit.Table
	// Quarantine holds the requests that crash the instances running them; nil if there are none.
	Quarantine *quarantine.Table
	// HasContact reports whether this process receives messages from another process in other ways
	// than as its scheduler. If it is nil, it never does.
	HasContact func(name string) bool
	// OnConfigOffer, unless nil, is called when another process offers the configuration that it has read from the store.
	OnConfigOffer func(from members.Member)
	// InstancePrefix is the key prefix of instance registrations in the store.
	InstancePrefix string
	// PropagationLimit is the time limit for a change in the store to reach all processes.
	PropagationLimit time.Duration
	// Clock is the wall clock on which the schedulers agree.
	Clock   *truetime.Clock
	Metrics metrics.Registry
	Logger  log.Logger
}

func (o *Options) setDefaults() {
	if o.Quarantine == nil {
		o.Quarantine = quarantine.NewTable()
	}
	if o.Limits == nil {
		o.Limits = ratelimit.NewTable(o.Self.Name, metrics.NewRegistry(), log.NewNopLogger())
	}
	if o.OnConfigOffer == nil {
		o.OnConfigOffer = func(members.Member) {}
	}
	if o.Clock == nil {
		o.Clock = truetime.New()
	}
	if o.HasContact == nil {
		o.HasContact = func(string) bool { return false }
	}
}

// Client sends placement requests to the schedulers. It implements Scheduler.
type Client struct {
	o       Options
	logger  log.Logger
	local   Scheduler
	ranking *ranking
	reports *reporter
	// preferred names the scheduler to follow first, because its snapshot was fresher than the
	// first one in order. It is atomic since calls to Follow may overlap briefly when a process
	// stops following and starts again.
	preferred atomic.Pointer[string]
	// limitsPosition is the position up to which the rate limits of the followed scheduler are known.
	limitsPosition atomic.Pointer[feed.Position]
}

// NewClient returns a client. The caller must call Run.
func NewClient(o Options) *Client {
	o.setDefaults()
	c := &Client{o: o, logger: log.With(o.Logger, "component", "scheduler"), local: Local(o.Placer)}
	c.ranking = &ranking{self: o.Self, backoffs: peer.NewBackoffs(), logger: c.logger}
	c.reports = newReporter(c)
	return c
}

// Run reports the open tickets to the schedulers that issued them, until ctx ends.
func (c *Client) Run(ctx context.Context) error { return c.reports.run(ctx) }

// Place implements Scheduler. A process that is itself a scheduler places its own requests,
// and so does a process that cannot reach any scheduler.
func (c *Client) Place(ctx context.Context, j *placement.Job) (placement.Plan, Ticket) {
	if c.o.View().Scheduling {
		return c.local.Place(ctx, j)
	}
	for _, s := range c.ranking.order(c.o.View().Schedulers, c.placeAttempts()) {
		plan, t, err := c.placeAt(ctx, s, j)
		if err == nil && knowsNoInstanceFor(j, plan) {
			level.Info(c.logger).Log("msg", "scheduler knows no instance that continues the stream", "request", j.Call.ID, "scheduler", s.Name, "software", *j.Software)
			break
		}
		if err == nil {
			return plan, t
		}
		if ctx.Err() != nil {
			break // the client disconnected
		}
		level.Info(c.logger).Log("msg", "scheduler did not place the request", "request", j.Call.ID, "scheduler", s.Name, "err", err)
	}
	c.count("placed_alone")
	plan, t := c.local.Place(ctx, j)
	plan.DecidedBy = c.o.Self.Name
	return plan, t
}

// knowsNoInstanceFor reports whether a scheduler rejected a stream that only one software version can continue, although this
// process knows instances of it. The scheduler may know that they drain; for a while they continue streams nevertheless.
func knowsNoInstanceFor(j *placement.Job, plan placement.Plan) bool {
	return j.Software != nil && len(j.Permitted) > 0 && plan.Reason == placement.ReasonNonePermitted
}

// OtherSchedulers returns the schedulers other than this process, in order of preference.
func (c *Client) OtherSchedulers() []members.Member {
	all := c.o.View().Schedulers
	return c.ranking.order(all, len(all))
}

// placeAt asks one scheduler to place a job.
func (c *Client) placeAt(ctx context.Context, s members.Member, j *placement.Job) (placement.Plan, Ticket, error) {
	c.reports.noteCall(s)
	resp, err := c.call(ctx, s, &peerpb.Request{Body: &peerpb.Request_Place{Place: encodeJob(j)}})
	if err != nil {
		return placement.Plan{}, nil, err
	}
	placed := resp.GetPlaced()
	plan, err := decodePlan(placed, j, c.o.View())
	plan.DecidedBy = s.Name
	if placed.GetTicket() == 0 {
		return plan, nil, err
	}
	t := &remoteTicket{client: c, scheduler: s, id: placed.GetTicket()}
	c.reports.noteTicket(s, t.id)
	if err != nil {
		t.Cancel()
		return plan, nil, err
	}
	return plan, t, nil
}

// call makes one placement call to a scheduler.
func (c *Client) call(ctx context.Context, s members.Member, req *peerpb.Request) (*peerpb.Response, error) {
	begun := time.Now()
	actx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.o.Transport.Call(actx, s.Peer, req)
	switch {
	case err == nil && resp.GetPlaced() == nil:
		return nil, fault.Newf(fault.Internal, "run the same version everywhere", "scheduler %s sent a response of the wrong type", s.Name)
	case err == nil:
		c.ranking.recordResponse(s)
		metrics.GetOrRegisterTimer("scheduler.ask", c.o.Metrics).Update(time.Since(begun))
	case ctx.Err() == nil && !fault.Is(err, fault.Denied):
		c.ranking.recordFailure(s, err)
	}
	return resp, err
}

func (c *Client) count(name string) {
	metrics.GetOrRegisterCounter("scheduler."+name, c.o.Metrics).Inc(1)
}
