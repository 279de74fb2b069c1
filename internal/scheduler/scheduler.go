// Package scheduler has a few gateways of a fleet place requests for all of them. What an
// engine has in hand, keeps and how fast it is, is known where its work is placed, so a
// gateway that takes four requests a second decides as well as one that takes all.
//
// A scheduler is a belief and no authority: a gateway that reaches none decides alone with
// what it has, and two at a time, or none, cost goodput and never a promise. What a
// scheduler answers is checked against the gateway's own view before it is used.
package scheduler

import (
	"context"

	"github.com/rockdoor/rockdoor/placement"
)

// Scheduler decides where requests run.
type Scheduler interface {
	// Place decides where a job is read, or where it runs if it is not read apart. The
	// ticket is nil if the job is refused.
	Place(ctx context.Context, j *placement.Job) (placement.Plan, Ticket)
}

// Ticket is a placed job, as placement.Ticket is. It belongs to the goroutine of the
// request.
type Ticket interface {
	// PrefillEnded records how reading the prompt apart ended. If it was read, PlaceRead follows.
	PrefillEnded(read bool, o placement.Outcome)
	// PlaceDecode decides where a job runs whose prompt has been read. It returns the ticket
	// to go on with, nil if there is no runner; the plan then says why.
	PlaceDecode(ctx context.Context, j *placement.Job, plan *placement.Plan) Ticket
	// FirstEvent records that the answer begins, Event that an event of it has arrived.
	FirstEvent()
	Event()
	// RunEnded records how the attempt at the runner ended.
	RunEnded(o placement.Outcome)
	// Cancel takes the job back, if it has not ended, without a verdict on the instances.
	Cancel()
}

// Local returns a scheduler that decides in this process.
func Local(p *placement.Placer) Scheduler { return local{p} }

type local struct{ placer *placement.Placer }

// Place implements Scheduler.
func (l local) Place(ctx context.Context, j *placement.Job) (placement.Plan, Ticket) {
	plan, t := place(ctx, l.placer, j)
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
	if !placeRead(ctx, t.placer, j, plan, t.Ticket) {
		return nil
	}
	return t
}
