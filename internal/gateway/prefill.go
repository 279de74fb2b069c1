package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/lifecycle"
	"github.com/rockdoor/rockdoor/internal/scheduler"
	"github.com/rockdoor/rockdoor/internal/upstream"
	"github.com/rockdoor/rockdoor/placement"
)

// prefill sends the prompt to the planned prefill engine and keeps the handle of its KV
// cache. The request itself does not run there. A repeated prefill is charged to the
// retry budget.
func (q *request) prefill(plan *placement.Plan, ticket scheduler.Ticket) (lifecycle.Outcome, error) {
	if q.prefilled && !q.s.budget.takeRetry(q.service) {
		q.retryCharged = false
		return lifecycle.NotRun, fault.New(fault.Exhausted, "retry budget does not allow another prefill", "ask again after the time in Retry-After")
	}
	start := time.Now()
	ctx, cancel := context.WithDeadline(q.ctx, q.firstEventDeadline())
	defer cancel()
	ctx, watch := q.watchForHang(ctx, plan.PrefillEngine, plan.QueueDelay+plan.PrefillTime)
	defer watch.end()
	defer q.s.withdrawals.add(q, plan.PrefillEngine.ID, watch)()
	resp, verdict, err := q.exchange(ctx, plan.PrefillEngine, engine.SendOptions{
		Instance: plan.PrefillEngine.ID, Remaining: time.Until(q.firstEventDeadline()), Rank: plan.Rank, PrefillOnly: true, FetchFrom: addressOf(plan.FetchFrom),
	})
	if err != nil && !watch.responded() {
		return q.prefillHung(plan, ticket, watch)
	}
	if err != nil {
		if q.retryCharged = fault.Is(err, fault.Unavailable); !q.retryCharged && !errors.Is(err, upstream.ErrOwnPath) { // the engine may have received the request
			q.reportBrokenConnection(plan.PrefillEngine)
		}
		return q.prefillFailed(plan, ticket, q.prefillOutcome(err), err)
	}
	if verdict.Misdirected {
		resp.DiscardBody()
		return q.prefillFailed(plan, ticket, placement.Misdirected, fault.Newf(fault.Unavailable, "another engine is tried", "engine %s states that the request is not meant for it", plan.PrefillEngine.ID))
	}
	body, err := readAll(resp, maxPrefillResult)
	if !watch.responded() && err != nil {
		return q.prefillHung(plan, ticket, watch)
	}
	if err != nil && resp.OwnPathLost(q.ctx, err) {
		return q.prefillFailed(plan, ticket, placement.Inconclusive, errors.Mark(err, upstream.ErrOwnPath))
	}
	if err != nil {
		q.reportBrokenConnection(plan.PrefillEngine)
		return q.prefillFailed(plan, ticket, q.prefillOutcome(err), err)
	}
	if resp.Status != http.StatusOK {
		return q.prefillFailed(plan, ticket, placement.Failed, fault.Newf(fault.Unavailable, "another engine is tried", "engine %s answered %d to a prefill request", plan.PrefillEngine.ID, resp.Status))
	}
	handle, err := q.s.o.Protocol.DecodePrefillResult(body)
	if err != nil {
		return q.prefillFailed(plan, ticket, placement.Failed, err)
	}
	ticket.PrefillEnded(true, placement.Succeeded)
	q.prefilled = true
	q.kvSource, q.kvHolder, q.kvOffers = &engine.KVSource{Address: plan.PrefillEngine.Address, Handle: handle}, plan.PrefillEngine, 0
	q.prefillTime = time.Since(start)
	q.s.time("read", q.prefillTime)
	return lifecycle.Delivered, nil
}

// prefillHung records that a prefill was given up. Its retry has been charged, unless its request is rejected anyway.
func (q *request) prefillHung(plan *placement.Plan, ticket scheduler.Ticket, watch *hangWatch) (lifecycle.Outcome, error) {
	q.retryCharged = true
	outcome := placement.Failed
	if watch.wasWithdrawn() {
		outcome = placement.Inconclusive
	} else if q.prefillIsLate() {
		outcome = placement.Unanswered
	}
	return q.prefillFailed(plan, ticket, outcome, errHung(plan.PrefillEngine, watch))
}

// prefillIsLate reports whether the client has left or waits no longer for the first event.
func (q *request) prefillIsLate() bool {
	return q.ctx.Err() != nil || time.Until(q.firstEventDeadline()) <= 0
}

// prefillOutcome returns what a prefill without a response says about the engine.
func (q *request) prefillOutcome(err error) placement.Outcome {
	if q.prefillIsLate() {
		return unansweredOutcome(err)
	}
	return q.failureOutcome(err)
}

// prefillFailed records that an engine did not prefill the prompt, and excludes the engine
// from further attempts.
func (q *request) prefillFailed(plan *placement.Plan, ticket scheduler.Ticket, o placement.Outcome, err error) (lifecycle.Outcome, error) {
	if o == placement.Failed && q.prefillIsLate() {
		o = placement.Succeeded // it responded, and its failure may be due to the deadline
	}
	ownPath := errors.Is(err, upstream.ErrOwnPath)
	if !q.notSent && !ownPath { // otherwise Attempt cancels the ticket: the engine is not at fault
		q.logUnanswered(plan.PrefillEngine, o)
		ticket.PrefillEnded(false, o)
	}
	if !ownPath {
		q.avoid[plan.PrefillEngine.ID] = true
	}
	return lifecycle.NotRun, err
}

func addressOf(i *fleet.Instance) string {
	if i == nil {
		return ""
	}
	return i.Address
}

// releaseKV asks the prefill engine to drop the KV cache if it was not used. It does not
// wait for the result: the engine drops an unused KV cache after a timeout anyway.
func (q *request) releaseKV() {
	if q.kvSource == nil {
		return
	}
	holder := q.kvHolder
	method, uri := q.s.o.Protocol.FreeHandle(q.kvSource.Handle)
	q.kvSource = nil
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		resp, err := q.s.o.Client.Do(ctx, upstream.Request{Address: holder.Address, Method: method, URI: uri, Host: holder.Address, Header: http.Header{}})
		if err != nil {
			level.Info(q.s.o.Logger).Log("msg", "KV cache handle not released", "request", q.call.ID, "engine", holder.ID, "err", err)
			return
		}
		resp.DiscardBody()
	}()
}
