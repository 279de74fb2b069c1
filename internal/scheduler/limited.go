package scheduler

import (
	"context"
	"time"

	"github.com/rockdoor/rockdoor/internal/ratelimit"
	"github.com/rockdoor/rockdoor/placement"
)

const (
	// grantWaitShare is the part of its latency target that a request waits for at the most where all
	// instances limit their rates.
	grantWaitShare = 0.125
	// readWait is how long a request waits whose prompt has been read.
	readWait = 100 * time.Millisecond
)

// place decides where a job is read or runs.
func place(ctx context.Context, p *placement.Placer, j *placement.Job) (placement.Plan, *placement.Ticket) {
	plan, t := p.Place(j)
	most := min(time.Duration(grantWaitShare*float64(j.Route.LatencyTarget)), ratelimit.MaxGrantWait)
	again(ctx, &plan, j, most, func() { plan, t = p.Place(j) })
	return plan, t
}

// placeRead decides where a job runs whose prompt has been read.
func placeRead(ctx context.Context, p *placement.Placer, j *placement.Job, plan *placement.Plan, t *placement.Ticket) bool {
	placed := p.PlaceDecode(j, plan, t)
	again(ctx, plan, j, readWait, func() { placed = p.PlaceDecode(j, plan, t) })
	return placed
}

// again tries to place a job until it is not for rate limits that it can't be, or some time has passed.
func again(ctx context.Context, plan *placement.Plan, j *placement.Job, most time.Duration, try func()) {
	for waited := time.Duration(0); plan.Reason == placement.ReasonLimited && waited < min(most, j.Remaining); waited += ratelimit.GrantPollInterval {
		select {
		case <-ctx.Done():
			return
		case <-time.After(ratelimit.GrantPollInterval):
		}
		j.Remaining -= ratelimit.GrantPollInterval
		j.Elapsed += ratelimit.GrantPollInterval
		j.AwaitsRateLimit = true
		try()
	}
}
