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
	// askTimeout bounds one question where a request runs. Answers take a millisecond or
	// two between failure domains; a process that is stopped or cut off must not cost a
	// request more than a part of its latency target.
	askTimeout = 40 * time.Millisecond
	// asks is how many schedulers are asked before a process decides alone.
	asks = 2
)

// Options of a Client and a Server.
type Options struct {
	Self      members.Member
	View      func() *fleet.View
	Transport *peer.Transport
	// Placer decides in this process.
	Placer *placement.Placer
	// Limits are the rates that instances limit themselves to; nil if none do.
	Limits *ratelimit.Table
	// Quarantine knows which requests end the instances that run them; nil if none do.
	Quarantine *quarantine.Table
	// HasContact reports whether this process hears another one in other ways than as one that
	// follows it; nil if in none.
	HasContact func(name string) bool
	// InstancePrefix is that of the keys of registrations.
	InstancePrefix string
	// PropagationLimit is in what time a change in the store must have reached everybody.
	PropagationLimit time.Duration
	// Clock is the time of day that the schedulers agree on.
	Clock   *truetime.Clock
	Metrics metrics.Registry
	Logger  log.Logger
}

func (o *Options) complete() {
	if o.Quarantine == nil {
		o.Quarantine = quarantine.NewTable()
	}
	if o.Limits == nil {
		o.Limits = ratelimit.NewTable(o.Self.Name, metrics.NewRegistry(), log.NewNopLogger())
	}
	if o.Clock == nil {
		o.Clock = truetime.New()
	}
	if o.HasContact == nil {
		o.HasContact = func(string) bool { return false }
	}
}

// Client has the schedulers place requests. It implements Scheduler.
type Client struct {
	o         Options
	logger    log.Logger
	local     Scheduler
	directory *directory
	reports   *reporter
	// fresh is the name of the scheduler whose copy was fresher than that of the first in
	// order. Calls to follow may overlap for a moment when a process stops and begins to.
	fresh atomic.Pointer[string]
	// limits is up to where the rate limits of the scheduler that is followed are known.
	limits atomic.Pointer[feed.Position]
}

// NewClient returns a client that has to be run.
func NewClient(o Options) *Client {
	o.complete()
	c := &Client{o: o, logger: log.With(o.Logger, "component", "scheduler"), local: Local(o.Placer)}
	c.directory = &directory{self: o.Self, silences: peer.NewBackoffs(), logger: c.logger}
	c.reports = newReporter(c)
	return c
}

// Run tells the schedulers which of their tickets are open, until ctx ends.
func (c *Client) Run(ctx context.Context) error { return c.reports.run(ctx) }

// Place implements Scheduler. A process that is a scheduler itself decides by itself, and so
// does one that reaches none.
func (c *Client) Place(ctx context.Context, j *placement.Job) (placement.Plan, Ticket) {
	if c.o.View().Scheduling {
		return c.local.Place(ctx, j)
	}
	for _, s := range c.directory.order(c.o.View().Schedulers, c.mostAsks()) {
		plan, t, err := c.place(ctx, s, j)
		if err == nil {
			return plan, t
		}
		if ctx.Err() != nil {
			break // the caller has left
		}
		level.Info(c.logger).Log("msg", "not placed", "request", j.Call.ID, "scheduler", s.Name, "err", err)
	}
	c.count("placed_alone")
	plan, t := c.local.Place(ctx, j)
	plan.DecidedBy = c.o.Self.Name
	return plan, t
}

// OtherSchedulers returns the schedulers in the order in which this process prefers them, without
// itself.
func (c *Client) OtherSchedulers() []members.Member {
	all := c.o.View().Schedulers
	return c.directory.order(all, len(all))
}

// place asks one scheduler.
func (c *Client) place(ctx context.Context, s members.Member, j *placement.Job) (placement.Plan, Ticket, error) {
	c.reports.asked(s)
	resp, err := c.ask(ctx, s, &peerpb.Request{Body: &peerpb.Request_Place{Place: encodeJob(j)}})
	if err != nil {
		return placement.Plan{}, nil, err
	}
	placed := resp.GetPlaced()
	plan, err := decodePlan(placed, j, c.o.View())
	plan.DecidedBy = s.Name
	if placed.GetTicket() == 0 {
		return plan, nil, err
	}
	t := &remoteTicket{c: c, at: s, id: placed.GetTicket()}
	c.reports.opened(s, t.id)
	if err != nil {
		t.Cancel()
		return plan, nil, err
	}
	return plan, t, nil
}

// ask makes one call to a scheduler.
func (c *Client) ask(ctx context.Context, s members.Member, req *peerpb.Request) (*peerpb.Response, error) {
	begun := time.Now()
	actx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	resp, err := c.o.Transport.Call(actx, s.Peer, req)
	switch {
	case err == nil && resp.GetPlaced() == nil:
		return nil, fault.Newf(fault.Internal, "run the same version everywhere", "scheduler %s gave another answer", s.Name)
	case err == nil:
		c.directory.answered(s)
		metrics.GetOrRegisterTimer("scheduler.ask", c.o.Metrics).Update(time.Since(begun))
	case ctx.Err() == nil && !fault.Is(err, fault.Denied):
		c.directory.failed(s, err)
	}
	return resp, err
}

func (c *Client) count(name string) {
	metrics.GetOrRegisterCounter("scheduler."+name, c.o.Metrics).Inc(1)
}
