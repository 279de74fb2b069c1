package scheduler

import (
	"context"
	"time"

	"github.com/rockdoor/rockdoor/placement"
)

const (
	// grantWaitShare is the part of its latency target that a request waits for where all instances
	// limit their rates, grantWaitMost the longest: a grant that is asked for arrives in that time, and
	// what takes longer is better refused at once.
	grantWaitShare = 0.125
	grantWaitMost  = 25 * time.Millisecond
	// readWaitMost is the same for a request whose prompt has been read.
	readWaitMost = 100 * time.Millisecond
	// grantPoll is how often it is tried again meanwhile.
	grantPoll = 4 * time.Millisecond
)

// place decides where a job is read or runs.
func place(ctx context.Context, p *placement.Placer, j *placement.Job) (placement.Plan, *placement.Ticket) {
	plan, t := p.Place(j)
	most := min(time.Duration(grantWaitShare*float64(j.Route.LatencyTarget)), grantWaitMost)
	again(ctx, &plan, j, most, func() { plan, t = p.Place(j) })
	return plan, t
}

// placeRead decides where a job runs whose prompt has been read.
func placeRead(ctx context.Context, p *placement.Placer, j *placement.Job, plan *placement.Plan, t *placement.Ticket) bool {
	placed := p.PlaceRead(j, plan, t)
	again(ctx, plan, j, readWaitMost, func() { placed = p.PlaceRead(j, plan, t) })
	return placed
}

// again tries to place a job until it is not for rate limits that it can't be, or some time has passed.
func again(ctx context.Context, plan *placement.Plan, j *placement.Job, most time.Duration, try func()) {
	for waited := time.Duration(0); plan.Reason == placement.ReasonLimited && waited < min(most, j.Left); waited += grantPoll {
		select {
		case <-ctx.Done():
			return
		case <-time.After(grantPoll):
		}
		j.Left -= grantPoll
		j.Spent += grantPoll
		j.Waiting = true
		try()
	}
}
