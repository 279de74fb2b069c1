package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/members"
)

const (
	// reportEvery is how long reports are collected before they are sent together. Of a
	// short answer, which begins and ends within it, one message tells both.
	reportEvery = 20 * time.Millisecond
	// reportTimeout bounds one message. Reports that are lost cost some accuracy until
	// the scheduler gives the tickets up.
	reportTimeout = 200 * time.Millisecond
	// maxReports bounds what waits for one scheduler; further reports are dropped.
	maxReports = 4096
)

// reporter sends what became of tickets to the schedulers that gave them, in batches. It is
// safe for concurrent use.
type reporter struct {
	c *Client

	mu      sync.Mutex
	waiting map[string][]*peerpb.TicketReport // by address
}

func newReporter(c *Client) *reporter {
	return &reporter{c: c, waiting: map[string][]*peerpb.TicketReport{}}
}

func (r *reporter) add(s members.Member, report *peerpb.TicketReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.waiting[s.Peer]
	if len(all) >= maxReports {
		r.c.count("reports_dropped")
		return
	}
	r.waiting[s.Peer] = append(all, report)
	if len(all) == 0 {
		time.AfterFunc(reportEvery, func() { r.flush(s) })
	}
}

func (r *reporter) flush(s members.Member) {
	r.mu.Lock()
	all := r.waiting[s.Peer]
	delete(r.waiting, s.Peer)
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	_, err := r.c.o.Transport.Call(ctx, s.Peer, &peerpb.Request{Body: &peerpb.Request_Reports{Reports: &peerpb.TicketReports{Reports: all}}})
	if err != nil {
		r.c.count("reports_lost")
		r.c.directory.failed(s, err)
	}
}
