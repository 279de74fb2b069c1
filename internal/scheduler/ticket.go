package scheduler

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/placement"
)

// remoteTicket is a job that a remote scheduler placed.
type remoteTicket struct {
	client    *Client
	scheduler members.Member
	id        uint64
	// closed is true once no more reports about the ticket are needed.
	closed bool
	// lastEvent is when the last event arrived. gaps is the number of times between two events,
	// and gapTotal is their sum.
	lastEvent time.Time
	gaps      int
	gapTotal  time.Duration
}

// PrefillEnded implements Ticket.
func (t *remoteTicket) PrefillEnded(done bool, o placement.Outcome) {
	if !done {
		t.report(&peerpb.TicketReport{Event: peerpb.TicketEvent_TICKET_EVENT_NOT_READ, Outcome: uint32(o)})
	}
}

// PlaceDecode implements Ticket. If the scheduler does not respond, another one or this process
// places the job.
func (t *remoteTicket) PlaceDecode(ctx context.Context, j *placement.Job, plan *placement.Plan) Ticket {
	resp, err := t.client.call(ctx, t.scheduler, &peerpb.Request{Body: &peerpb.Request_PlaceRead{PlaceRead: &peerpb.PlaceRead{Ticket: t.id, Job: encodeJob(j)}}})
	var next placement.Plan
	if err == nil {
		next, err = decodePlan(resp.GetPlaced(), j, t.client.o.View())
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
	level.Info(t.client.logger).Log("msg", "scheduler did not place the prefilled request", "request", j.Call.ID, "scheduler", t.scheduler.Name, "err", err)
	retry := *j
	retry.SkipPrefill = true
	next, newTicket := t.client.Place(ctx, &retry)
	plan.Target, plan.DecidedBy, plan.Granted = next.Target, next.DecidedBy, next.Granted
	if newTicket == nil {
		plan.Reason, plan.RetryAfter = next.Reason, next.RetryAfter
	}
	return newTicket
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
		t.gapTotal += now.Sub(t.lastEvent)
	}
	t.lastEvent = now
}

// RunEnded implements Ticket.
func (t *remoteTicket) RunEnded(o placement.Outcome) {
	r := &peerpb.TicketReport{Event: peerpb.TicketEvent_TICKET_EVENT_ENDED, Outcome: uint32(o), Gaps: uint32(t.gaps)}
	if t.gaps > 0 {
		r.GapUs = uint32((t.gapTotal / time.Duration(t.gaps)).Microseconds())
	}
	t.report(r)
	t.closed = true
}

// Cancel implements Ticket.
func (t *remoteTicket) Cancel() {
	t.report(&peerpb.TicketReport{Event: peerpb.TicketEvent_TICKET_EVENT_CANCELLED})
	t.closed = true
}

func (t *remoteTicket) report(r *peerpb.TicketReport) {
	if t.closed {
		return
	}
	r.Ticket = t.id
	t.client.reports.queue(t.scheduler, r)
}
