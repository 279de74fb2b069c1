package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/internal/periodic"
	"github.com/rockdoor/rockdoor/members"
)

const (
	// reportDelay is how long reports are collected before they are sent together. A short
	// response that begins and ends within the delay needs only one message.
	reportDelay = 20 * time.Millisecond
	// reportTimeout limits one message. The next list of open tickets makes up for reports
	// that are lost.
	reportTimeout = 200 * time.Millisecond
	// maxQueuedReports limits the queue for one scheduler. Further reports are dropped.
	maxQueuedReports = 4096
	// openListInterval is how often a scheduler is sent the list of its open tickets, if there
	// are any or if it may not know that there are none.
	openListInterval = 500 * time.Millisecond
)

// reporter reports the state of tickets to the schedulers that issued them. It is safe for
// concurrent use.
type reporter struct {
	c *Client

	mu        sync.Mutex
	byAddress map[string]*ticketState
}

// ticketState is the state of the tickets that one scheduler issued to this process.
type ticketState struct {
	queued []*peerpb.TicketReport
	open   map[uint64]struct{}
	// emptyConfirmed is true once the scheduler has confirmed a list without open tickets and
	// no call could have left it with a ticket that this process does not know of: there was no
	// call since, and the last one was long enough before the list for the scheduler to cancel
	// every unlisted ticket.
	emptyConfirmed bool
	// lastCall is when the scheduler was last asked to place a job.
	lastCall bootclock.Instant
}

func newReporter(c *Client) *reporter { return &reporter{c: c, byAddress: map[string]*ticketState{}} }

// run sends the lists of open tickets to the schedulers, until ctx ends.
func (r *reporter) run(ctx context.Context) error {
	periodic.Run(ctx, openListInterval, func(context.Context) {
		for _, address := range r.unconfirmed() {
			go r.send(address, true)
		}
	})
	return nil
}

// unconfirmed returns the addresses to send a list of open tickets to. Processes that are no
// longer schedulers are dropped, since their ticket counts do not matter.
func (r *reporter) unconfirmed() []string {
	present := map[string]bool{}
	for _, s := range r.c.o.View().Schedulers {
		present[s.Peer] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for address, t := range r.byAddress {
		switch {
		case !present[address]:
			delete(r.byAddress, address)
		case !t.emptyConfirmed:
			out = append(out, address)
		}
	}
	return out
}

// stateOf returns the ticket state of a scheduler. The caller holds the lock.
func (r *reporter) stateOf(address string) *ticketState {
	t := r.byAddress[address]
	if t == nil {
		t = &ticketState{open: map[uint64]struct{}{}}
		r.byAddress[address] = t
	}
	return t
}

// noteCall records that a scheduler may issue a ticket, even if its response is lost.
func (r *reporter) noteCall(s members.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.stateOf(s.Peer)
	t.emptyConfirmed, t.lastCall = false, bootclock.Now()
}

// noteTicket records that a scheduler has issued a ticket.
func (r *reporter) noteTicket(s members.Member, ticket uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stateOf(s.Peer).open[ticket] = struct{}{}
}

// queue queues a report, to be sent after reportDelay.
func (r *reporter) queue(s members.Member, report *peerpb.TicketReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.stateOf(s.Peer)
	if isFinal(report.GetEvent()) {
		delete(t.open, report.GetTicket())
	}
	if len(t.queued) >= maxQueuedReports {
		r.c.count("reports_dropped")
		return
	}
	t.queued = append(t.queued, report)
	if len(t.queued) == 1 {
		time.AfterFunc(reportDelay, func() { r.send(s.Peer, false) })
	}
}

// isFinal reports whether an event ends the life of a ticket.
func isFinal(e peerpb.TicketEvent) bool {
	return e == peerpb.TicketEvent_TICKET_EVENT_ENDED || e == peerpb.TicketEvent_TICKET_EVENT_CANCELLED
}

// send sends the queued reports to a scheduler, together with the list of open tickets if list
// is true.
func (r *reporter) send(address string, list bool) {
	r.mu.Lock()
	t := r.stateOf(address)
	m := &peerpb.TicketReports{Reports: t.queued, AllOpen: list}
	t.queued = nil
	if list {
		for ticket := range t.open {
			m.Open = append(m.Open, ticket)
		}
		t.emptyConfirmed = len(t.open) == 0 && bootclock.Since(t.lastCall) > unlistedGrace+openListInterval
	}
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	if _, err := r.c.o.Transport.Call(ctx, address, &peerpb.Request{Body: &peerpb.Request_Reports{Reports: m}}); err == nil {
		return
	}
	r.c.count("reports_lost")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stateOf(address).emptyConfirmed = false
}
