// Package scheduler lets a few gateways of a fleet place the requests of all gateways. A
// scheduler knows the pending work, cached prompts and speed of each engine because it places
// the work of all gateways there. So a gateway with four requests a second gets placements as
// good as those of a gateway with all requests.
//
// Schedulers are an optimization, not an authority. A gateway that cannot reach any of them
// places its requests with its own knowledge. Having no scheduler, or two at the same time,
// costs goodput but violates no guarantee. A gateway checks each placement against its own
// view before using it.
package scheduler

import (
	"context"

	"github.com/rockdoor/rockdoor/placement"
)

// Scheduler decides where requests run.
type Scheduler interface {
	// Place decides where a job is prefilled, or where it runs as a whole if it has no separate
	// prefill. The ticket is nil if the job is rejected.
	Place(ctx context.Context, j *placement.Job) (placement.Plan, Ticket)
}

// Ticket represents a placed job, like placement.Ticket. Only the goroutine of the request may
// use it.
type Ticket interface {
	// PrefillEnded records the outcome of a prefill on a separate engine. done is true if the prompt was
	// prefilled; PlaceDecode must follow then.
	PrefillEnded(done bool, o placement.Outcome)
	// PlaceDecode decides where a prefilled job is decoded. It returns the ticket to continue
	// with, or nil if no target was found; the plan then has the reason.
	PlaceDecode(ctx context.Context, j *placement.Job, plan *placement.Plan) Ticket
	// FirstEvent records the first event of the response, and Event records each event.
	FirstEvent()
	Event()
	// RunEnded records the outcome of the attempt at the target of the plan.
	RunEnded(o placement.Outcome)
	// Cancel withdraws the job if it has not ended. It does not affect the health of the instances.
	Cancel()
}

// Local returns a scheduler that places requests in this process.
func Local(p *placement.Placer) Scheduler { return local{p} }

type local struct{ placer *placement.Placer }

// Place implements Scheduler.
func (l local) Place(ctx context.Context, j *placement.Job) (placement.Plan, Ticket) {
	plan, t := placeWithWait(ctx, l.placer, j)
	if t == nil {
		return plan, nil
	}
	return plan, localTicket{t, l.placer}
}

type localTicket struct {
	*placement.Ticket
	placer *placement.Placer
}

// PlaceDecode implements Ticket.
func (t localTicket) PlaceDecode(ctx context.Context, j *placement.Job, plan *placement.Plan) Ticket {
	if !placeDecodeWithWait(ctx, t.placer, j, plan, t.Ticket) {
		return nil
	}
	return t
}
