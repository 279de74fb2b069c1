package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/lifecycle"
	"github.com/rockdoor/rockdoor/internal/scheduler"
	"github.com/rockdoor/rockdoor/internal/upstream"
	"github.com/rockdoor/rockdoor/placement"
)

// readPrompt has the prompt read by the planned engine. The request does not run
// there. A prompt that is read again costs a send beyond the first.
func (q *request) readPrompt(plan *placement.Plan, ticket scheduler.Ticket) (lifecycle.Outcome, error) {
	if q.read && !q.s.budget.extra(q.service) {
		q.paid = false
		return lifecycle.NotRun, fault.New(fault.Exhausted, "prompt may not be read again", "ask again after the time in Retry-After")
	}
	begun := time.Now()
	ctx, cancel := context.WithDeadline(q.ctx, q.firstBy())
	defer cancel()
	a, verdict, err := q.exchange(ctx, plan.PrefillEngine, engine.Send{
		Instance: plan.PrefillEngine.ID, Left: time.Until(q.firstBy()), Rank: plan.Rank, ReadOnly: true, FetchFrom: addressOf(plan.FetchFrom),
	})
	if err != nil {
		if q.paid = fault.Is(err, fault.Unavailable); !q.paid { // something may have arrived at the engine
			q.broke(plan.PrefillEngine)
		}
		return q.unread(plan, ticket, q.blame(err), err)
	}
	if verdict.Replaced {
		a.DiscardBody()
		return q.unread(plan, ticket, placement.Replaced, fault.Newf(fault.Unavailable, "another engine is tried", "engine %s has lost its address", plan.PrefillEngine.ID))
	}
	body, err := readAll(a, maxReadResult)
	if err != nil {
		q.broke(plan.PrefillEngine)
		return q.unread(plan, ticket, q.blame(err), err)
	}
	if a.Status != http.StatusOK {
		return q.unread(plan, ticket, placement.Failed, fault.Newf(fault.Unavailable, "another engine is tried", "engine %s answered %d to reading", plan.PrefillEngine.ID, a.Status))
	}
	handle, err := q.s.o.Protocol.ReadResult(body)
	if err != nil {
		return q.unread(plan, ticket, placement.Failed, err)
	}
	ticket.PrefillEnded(true, placement.Succeeded)
	q.read = true
	q.source, q.sourceReader, q.sourceUses = &engine.KVSource{Address: plan.PrefillEngine.Address, Handle: handle}, plan.PrefillEngine, 0
	q.readFor = time.Since(begun)
	q.s.time("read", q.readFor)
	return lifecycle.Delivered, nil
}

// unread records that an engine did not read the prompt.
func (q *request) unread(plan *placement.Plan, ticket scheduler.Ticket, o placement.Outcome, err error) (lifecycle.Outcome, error) {
	if q.ctx.Err() != nil || time.Until(q.firstBy()) <= 0 {
		o = placement.Succeeded // that the caller's time is up says nothing of the engine
	}
	ticket.PrefillEnded(false, o)
	q.avoid[plan.PrefillEngine.ID] = true
	return lifecycle.NotRun, err
}

func addressOf(i *fleet.Instance) string {
	if i == nil {
		return ""
	}
	return i.Address
}

// free tells an engine that a prompt that it read is not wanted. Nobody waits
// for it: the engine drops the prompt by itself after a while.
func (q *request) free() {
	if q.source == nil {
		return
	}
	reader := q.sourceReader
	method, uri := q.s.o.Protocol.FreeHandle(q.source.Handle)
	q.source = nil
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		a, err := q.s.o.Client.Do(ctx, upstream.Request{Address: reader.Address, Method: method, URI: uri, Host: reader.Address, Header: http.Header{}})
		if err != nil {
			level.Info(q.s.o.Logger).Log("msg", "handle not freed", "request", q.call.ID, "engine", reader.ID, "err", err)
			return
		}
		a.DiscardBody()
	}()
}
