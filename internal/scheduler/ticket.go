package scheduler

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/placement"
)

// remoteTicket is a job that a scheduler placed.
type remoteTicket struct {
	c  *Client
	at members.Member
	id uint64
	// ended is true once the scheduler need not hear of the ticket any more.
	ended bool
	// lastEvent is when the last event arrived, gaps how many times between events there
	// were, which add up to gapSum.
	lastEvent time.Time
	gaps      int
	gapSum    time.Duration
}

// PrefillEnded implements Ticket.
func (t *remoteTicket) PrefillEnded(read bool, o placement.Outcome) {
	if !read {
		t.report(&peerpb.TicketReport{Event: peerpb.TicketEvent_TICKET_EVENT_NOT_READ, Outcome: uint32(o)})
	}
}

// PlaceDecode implements Ticket. If the scheduler does not answer any more, another one or
// this process decides.
func (t *remoteTicket) PlaceDecode(ctx context.Context, j *placement.Job, plan *placement.Plan) Ticket {
	resp, err := t.c.ask(ctx, t.at, &peerpb.Request{Body: &peerpb.Request_PlaceRead{PlaceRead: &peerpb.PlaceRead{Ticket: t.id, Job: encodeJob(j)}}})
	var next placement.Plan
	if err == nil {
		next, err = decodePlan(resp.GetPlaced(), j, t.c.o.View())
	}
	if err == nil && next.Target == nil {
		plan.Reason, plan.RetryAfter, plan.Target = next.Reason, next.RetryAfter, nil
		return nil
	}
	if err == nil {
		plan.Target, plan.Granted = next.Target, next.Granted
		return t
	}
	t.Cancel()
	level.Info(t.c.logger).Log("msg", "not placed", "request", j.Call.ID, "scheduler", t.at.Name, "err", err)
	again := *j
	again.SkipPrefill = true
	next, other := t.c.Place(ctx, &again)
	plan.Target, plan.DecidedBy, plan.Granted = next.Target, next.DecidedBy, next.Granted
	if other == nil {
		plan.Reason, plan.RetryAfter = next.Reason, next.RetryAfter
	}
	return other
}

// FirstEvent implements Ticket.
func (t *remoteTicket) FirstEvent() {
	t.report(&peerpb.TicketReport{Event: peerpb.TicketEvent_TICKET_EVENT_STARTED})
}

// Event implements Ticket.
func (t *remoteTicket) Event() {
	now := time.Now()
	if !t.lastEvent.IsZero() {
		t.gaps++
		t.gapSum += now.Sub(t.lastEvent)
	}
	t.lastEvent = now
}

// RunEnded implements Ticket.
func (t *remoteTicket) RunEnded(o placement.Outcome) {
	r := &peerpb.TicketReport{Event: peerpb.TicketEvent_TICKET_EVENT_ENDED, Outcome: uint32(o), Gaps: uint32(t.gaps)}
	if t.gaps > 0 {
		r.GapUs = uint32((t.gapSum / time.Duration(t.gaps)).Microseconds())
	}
	t.report(r)
	t.ended = true
}

// Cancel implements Ticket.
func (t *remoteTicket) Cancel() {
	t.report(&peerpb.TicketReport{Event: peerpb.TicketEvent_TICKET_EVENT_CANCELLED})
	t.ended = true
}

func (t *remoteTicket) report(r *peerpb.TicketReport) {
	if t.ended {
		return
	}
	r.Ticket = t.id
	t.c.reports.add(t.at, r)
}
