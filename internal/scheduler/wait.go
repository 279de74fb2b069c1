package scheduler

import (
	"context"
	"time"

	"github.com/rockdoor/rockdoor/internal/ratelimit"
	"github.com/rockdoor/rockdoor/placement"
)

const (
	// grantWaitShare is the part of its latency target that a request may wait for a grant if all
	// instances limit their rates.
	grantWaitShare = 0.125
	// decodeGrantWait is how long a request may wait for a grant once its prompt is prefilled.
	decodeGrantWait = 100 * time.Millisecond
)

// placeWithWait places a job and waits for a rate limit grant if needed.
func placeWithWait(ctx context.Context, p *placement.Placer, j *placement.Job) (placement.Plan, *placement.Ticket) {
	plan, t := p.Place(j)
	maxWait := min(time.Duration(grantWaitShare*float64(j.Route.LatencyTarget)), ratelimit.MaxGrantWait)
	retryWhileLimited(ctx, &plan, j, maxWait, func() { plan, t = p.Place(j) })
	return plan, t
}

// placeDecodeWithWait places a prefilled job for decoding and waits for a rate limit grant if needed.
func placeDecodeWithWait(ctx context.Context, p *placement.Placer, j *placement.Job, plan *placement.Plan, t *placement.Ticket) bool {
	placed := p.PlaceDecode(j, plan, t)
	retryWhileLimited(ctx, plan, j, decodeGrantWait, func() { placed = p.PlaceDecode(j, plan, t) })
	return placed
}

// retryWhileLimited retries placing a job while only rate limits prevent it, for at most maxWait.
func retryWhileLimited(ctx context.Context, plan *placement.Plan, j *placement.Job, maxWait time.Duration, try func()) {
	for waited := time.Duration(0); plan.Reason == placement.ReasonLimited && waited < min(maxWait, j.Remaining); waited += ratelimit.GrantPollInterval {
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
