package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/charts"
	"github.com/rockdoor/rockdoor/internal/lifecycle"
	"github.com/rockdoor/rockdoor/internal/resumption"
	"github.com/rockdoor/rockdoor/internal/scheduler"
	"github.com/rockdoor/rockdoor/internal/upstream"
	"github.com/rockdoor/rockdoor/placement"
	"github.com/rockdoor/rockdoor/quarantine"
)

const (
	// maxSends bounds how often one request is sent to instances, including sends that
	// were rejected.
	maxSends = 4
	// minRemaining is the minimum time before the deadline at which a request is still sent.
	// An instance cannot do useful work in less.
	minRemaining = 20 * time.Millisecond
	// rejectionMargin is how long before the client timeout a request is rejected, so that the
	// client still receives the rejection: the network and a busy process take some tens of ms.
	rejectionMargin = 60 * time.Millisecond
	// defaultRetry is the Retry-After if nothing indicates when an instance becomes available.
	defaultRetry = 500 * time.Millisecond
	// maxPrefillResult bounds the response of a prefill engine in bytes.
	maxPrefillResult = 64 << 10
	// maxKVOffers is how many targets may reject a request with the same prefilled KV
	// cache. After that the KV cache is presumed to be the reason and is released.
	maxKVOffers = 2
	// releaseTimeout bounds the call that releases an unused KV cache.
	releaseTimeout = time.Second
)

// request is the state of one client request. It is used by one goroutine.
type request struct {
	s     *Server
	w     http.ResponseWriter
	http  *http.Request
	ctx   context.Context
	call  *engine.Call
	route *fleet.Route
	// workspace is the client's workspace, nil if the route is public and the client sent no valid
	// API key, or if no workspaces are configured.
	workspace *fleet.Workspace
	body      []byte
	// bufferedBytes is how much of the server's buffer memory this request has reserved.
	bufferedBytes int64
	arrived       time.Time
	deadline      time.Time

	service string
	// sends counts the sends to targets, not those to prefill engines; runs counts the sends
	// after which the target may have started to run the request.
	sends, runs int
	// avoid holds the IDs of the instances that failed or rejected the request.
	avoid map[string]bool
	// responseStarted is true once a part of the response has been sent to the client.
	responseStarted bool
	// lastEventID is the ID of the last stream event that was sent to the client.
	lastEventID string
	// relayedAs says how the last response was relayed, empty for none.
	relayedAs string
	// events counts the events that were sent to the client.
	events int
	// origin is what began the stream: an earlier attempt of the client, or the first run that brought an event. It
	// is nil before that.
	origin *resumption.Origin
	// backup is the engine that receives copies of the run's KV cache, nil for none.
	backup *fleet.Instance
	// lifecycle tracks whether any instance may have started to run the request.
	lifecycle *lifecycle.Request
	// runCounted is true once Options.OnRunStart has been called for the request.
	runCounted bool
	// retryCharged is true if the next send does not need to be charged to the retry budget:
	// it has been charged already, or the last one did not reach the instance.
	retryCharged bool
	// kvSource is a prefilled KV cache that no engine has consumed yet, kvHolder the prefill
	// engine that keeps it, and kvOffers how often it was offered to a target.
	kvSource *engine.KVSource
	kvHolder *fleet.Instance
	kvOffers int
	// prefilled is true once the prompt has been prefilled. Any further prefill is charged
	// to the retry budget.
	prefilled     bool
	configVersion int64
	plan          placement.Plan
	ticket        scheduler.Ticket
	prefillTime   time.Duration
	// clientGone is true if a write to the client failed, with writeErr.
	clientGone bool
	writeErr   error
	// sentAt is when the request was last sent to an instance.
	sentAt bootclock.Instant
	// notSent is true if checkBeforeSend cancelled the last send.
	notSent bool
	// evidence is that of the last exchange, nil if it used no connection.
	evidence *upstream.Evidence
	// hang watches the attempt at the target.
	hang *hangWatch
	// trial is true if the request is quarantined and this attempt is its permitted trial.
	trial bool
	// cachedFingerprint is zero until fingerprint is first called.
	cachedFingerprint quarantine.Fingerprint
	// cachedParts is nil until parts is first called.
	cachedParts []quarantine.Part
}

// serve makes attempts until the request has been answered.
func (q *request) serve() {
	defer q.releaseKV()
	defer q.cancelUnusedTrial()
	q.lifecycle.Fire(charts.Admitted)
	rep := lifecycle.Serve(q.lifecycle, q)
	if rep == nil {
		q.logOutcome("ok", nil)
		return
	}
	q.finish(rep)
}

// RefreshConfig implements lifecycle.Steps: it applies the newest configuration and selects the
// service for the next attempt.
func (q *request) RefreshConfig() *reply {
	view := q.s.o.View()
	route := view.Config.Route(hostOnly(q.http.Host), targetPath(q.http))
	if route == nil {
		return replyFromState("no-route", fault.New(fault.NotFound, "route has been removed", "check the host name and the path"), defaultRetry)
	}
	workspace, rep := q.s.admit(view, route, q.call.Key)
	if rep != nil {
		return replyFromState(rep.code, rep.err, rep.retryAfter)
	}
	firstAttempt := q.service == ""
	q.workspace, q.route, q.configVersion = workspace, withWorkspaceRank(route, workspace), view.Config.Version
	if rep := q.repeatForbidden(); rep != nil {
		return rep
	}
	if rep := q.continuationForbidden(); rep != nil {
		return rep
	}
	if firstAttempt && q.resumes() {
		if rep := q.findOrigin(); rep != nil {
			return rep
		}
	}
	service := q.serviceOf(route)
	if service == "" && q.origin != nil {
		err := fault.New(fault.Unavailable, "the route no longer leads to the service that began the stream", "send the request anew, without the events received")
		return replyFromState(codeUnknownOrigin, err, defaultRetry)
	}
	if service != q.service {
		q.releaseKV() // a KV cache of one service is of no use to another
	}
	q.service = service
	if firstAttempt {
		q.s.budget.recordRequest(q.service)
	}
	return nil
}

// repeatForbidden returns a reply if the request may have run and its route, as it is configured now, does not let it be repeated.
func (q *request) repeatForbidden() *reply {
	if q.runs == 0 || q.route.Repeatable() {
		return nil
	}
	err := fault.New(fault.Unknown, "the response was lost, and the route has changed to one whose requests run at most once", "the request may have run")
	return replyFromState(codeLost, err, 0)
}

// ChooseTarget implements lifecycle.Steps.
func (q *request) ChooseTarget() *reply {
	if time.Until(q.deadline) < minRemaining || q.ctx.Err() != nil {
		return q.expiredReply()
	}
	if rep := q.stoppingReply(); rep != nil {
		return rep
	}
	if rep := q.quarantineReply(); rep != nil {
		return rep
	}
	if q.origin != nil && q.origin.Ambiguous {
		return replyFromState(codeUnknownOrigin, fault.New(fault.Unavailable, "the instance that began the stream may have come back with another software version meanwhile", "resume the stream again"), 0)
	}
	view := q.s.o.View()
	job := q.placementJob(view)
	q.plan, q.ticket = q.scheduler(job).Place(q.ctx, job)
	q.logDecision(view)
	if q.ticket == nil {
		return q.unplacedReply()
	}
	return nil
}

// Attempt implements lifecycle.Steps.
func (q *request) Attempt() (lifecycle.Outcome, error) {
	defer func() { q.ticket.Cancel() }() // the ticket may have been replaced
	run, counted := q.s.drain.Start(q.route.Name), false
	defer func() { run.End(counted) }()
	outcome, err := q.send()
	counted = q.endedByItself(outcome)
	return outcome, err
}

// CanRetryAfterRun implements lifecycle.Steps. Only the streams of streaming routes have IDs after which another run can
// continue a response that has begun.
func (q *request) CanRetryAfterRun() bool {
	return q.ctx.Err() == nil && q.route.Repeatable() && q.runs < q.route.MaxAttempts && (!q.responseStarted || q.route.Kind == fleet.Streaming)
}

// FinalReply implements lifecycle.Steps.
func (q *request) FinalReply(o lifecycle.Outcome, err error) *reply {
	switch {
	case o == lifecycle.Delivered:
		return nil
	case q.clientGone || q.ctx.Err() != nil:
		return q.expiredReply()
	}
	return replyFromState(codeLost, err, 0)
}

// placementJob returns the description of the request for the scheduler.
func (q *request) placementJob(v *fleet.View) *placement.Job {
	pool := v.Pool(q.route.Name, q.service)
	permitted, groups := q.permitted(pool)
	return &placement.Job{
		Route: q.route, WorkspaceRank: q.workspace != nil && q.workspace.Ranked, Workspace: q.workspaceName(), Service: v.Config.Services[q.service],
		Call: q.call, Remaining: time.Until(q.firstEventDeadline()), ResponseTime: max(time.Until(q.deadline), 0), Elapsed: time.Since(q.arrived), Fingerprint: q.fingerprintForScheduler(), Domain: q.s.o.FailureDomain,
		Permitted: permitted, Groups: groups, Software: q.requiredSoftware(), Avoid: q.excludedInstances(pool), SkipPrefill: q.responseStarted || q.kvSource != nil,
	}
}

// firstEventDeadline returns the time by which the response must start. It lies before the
// client timeout, so that a client whose request is rejected late still receives the rejection.
func (q *request) firstEventDeadline() time.Time {
	by := q.arrived.Add(q.route.FirstEventTimeout - rejectionMargin)
	if q.responseStarted || q.route.FirstEventTimeout == 0 || by.After(q.deadline) {
		return q.deadline
	}
	return by
}

// unplacedReply returns the reply to a request that no instance can take now.
func (q *request) unplacedReply() *reply {
	retry := q.plan.RetryAfter
	if backoff := q.shortestBackoff(); q.plan.Reason == placement.ReasonNonePermitted && backoff > 0 && (retry == 0 || backoff < retry) {
		retry = backoff
	}
	if retry == 0 {
		retry = defaultRetry
	}
	if q.plan.Reason == placement.ReasonQuarantined {
		return quarantineRejection("known to "+q.plan.DecidedBy, retry)
	}
	err := fault.New(fault.Unavailable, "no instance of "+q.service+" accepts the request: "+string(q.plan.Reason), "ask again after the time in Retry-After")
	return replyFromState(string(q.plan.Reason), err, retry)
}

// PrepareRetry implements lifecycle.Steps.
func (q *request) PrepareRetry(err error) *reply {
	switch {
	case q.ctx.Err() != nil:
		return q.expiredReply()
	case err == nil:
		return q.unplacedReply() // the prompt was prefilled, but no target is available
	case q.runs == 0 && time.Until(q.firstEventDeadline()) <= 0:
		return nil // the next call of ChooseTarget rejects it
	case q.sends >= maxSends:
		return replyFromState("attempts-used", err, defaultRetry)
	case !q.retryCharged && !q.s.budget.takeRetry(q.service):
		q.s.count("budget_empty")
		return replyFromState("budget-empty", err, defaultRetry)
	}
	q.retryCharged = false
	level.Info(q.s.o.Logger).Log(append([]any{"msg", "retrying request", "request", q.call.ID, "sends", q.sends, "runs", q.runs, "err", err}, q.evidenceFields()...)...)
	return nil
}

// expiredReply returns the reply to a request whose deadline has passed, whose client has
// disconnected, or that ends with the process.
func (q *request) expiredReply() *reply {
	if err := q.http.Context().Err(); err != nil || q.clientGone {
		return &reply{code: "caller-gone", err: errors.CombineErrors(err, q.writeErr), silent: true}
	}
	if q.s.drain.Ending().Err() != nil {
		return replyFromState(codeShutdown, fault.New(fault.Exhausted, "the process has to exit", "send the request to another process if it may be repeated"), 0)
	}
	return replyFromState(codeDeadline, fault.New(fault.Exhausted, "time is up", "send the request with a longer timeout"), 0)
}

// send carries out the plan: a prefill on a separate engine if the plan has one, then the run
// at the target. If no target is available after the prefill, it returns NotRun without an error.
func (q *request) send() (lifecycle.Outcome, error) {
	plan := &q.plan
	if plan.PrefillEngine != nil {
		if res, err := q.prefill(plan, q.ticket); err != nil {
			return res, err
		}
		view := q.s.o.View()
		next := q.ticket.PlaceDecode(q.ctx, q.placementJob(view), plan)
		if next == nil {
			return lifecycle.NotRun, nil
		}
		q.ticket = next
		q.logDecision(view)
	}
	q.backup = q.chooseBackup(plan.Target)
	ctx, cancel := context.WithCancel(q.ctx)
	q.hang = &hangWatch{cancel: cancel}
	if q.mayGiveUpRun(plan) {
		ctx, q.hang = q.watchForHang(ctx, plan.Target, plan.QueueDelay+plan.PrefillTime)
	}
	defer q.hang.end()
	defer cancel()
	defer q.s.withdrawals.add(q, plan.Target.ID, q.hang)()
	service := q.s.o.View().Config.Services[q.service]
	options := engine.SendOptions{
		Instance: plan.Target.ID, Remaining: time.Until(q.deadline), Rank: q.s.o.Placer.TargetRank(service, q.route, plan, q.kvSource != nil), Source: q.kvSource, ResumeAfter: q.resumeAfter(),
		Backup: addressOf(q.backup),
	}
	if plan.Reason.Whole() {
		options.FetchFrom = addressOf(plan.FetchFrom)
		q.s.count("whole")
	} else if plan.PrefillEngine != nil {
		q.s.count("split")
	}
	resp, verdict, err := q.exchange(ctx, plan.Target, options)
	q.sends++
	q.kvOffers++
	if err != nil {
		ownPath := errors.Is(err, upstream.ErrOwnPath)
		if !q.notSent && !ownPath { // otherwise Attempt cancels the ticket: the instance is not at fault
			outcome := q.failureOutcome(err)
			q.logUnanswered(plan.Target, outcome)
			q.ticket.RunEnded(outcome)
		}
		if !ownPath {
			q.avoid[plan.Target.ID] = true
		}
		if fault.Is(err, fault.Unavailable) {
			q.retryCharged = true // nothing reached the instance, so the next send is not a retry
			return lifecycle.NotRun, err
		}
		q.runs++
		if !q.hang.responded() {
			q.retryCharged = true
			q.releaseKV() // the instance may have consumed it
			return lifecycle.Lost, errHung(plan.Target, q.hang)
		}
		if ownPath {
			q.releaseKV() // the instance most likely runs, and has consumed it
		} else {
			q.reportBrokenRun(plan.Target)
		}
		return lifecycle.Lost, err
	}
	if (verdict.NotRun || !verdict.Sealed || resp.Status >= http.StatusInternalServerError || !q.isStream(resp)) && !q.hang.responded() {
		q.retryCharged = true
	}
	return q.receive(resp, verdict, plan)
}

// receive evaluates the headers of a response, and relays the response to the client or
// reports that the attempt has to be repeated.
func (q *request) receive(resp *upstream.Response, verdict engine.Verdict, plan *placement.Plan) (lifecycle.Outcome, error) {
	if verdict.NotRun {
		resp.DiscardBody()
		outcome := placement.Failed
		if verdict.Misdirected {
			outcome = placement.Misdirected
		}
		q.ticket.RunEnded(outcome)
		q.avoid[plan.Target.ID] = true
		if q.kvOffers >= maxKVOffers {
			q.releaseKV() // the KV cache may be the reason for the rejections
		}
		return lifecycle.NotRun, fault.Newf(fault.Unavailable, "another instance is tried", "instance %s rejected the request with status %d", plan.Target.ID, resp.Status)
	}
	q.runs++
	q.kvSource = nil // the instance has consumed it
	if promisesNotRun(resp.Status) {
		resp.DiscardBody()
		q.ticket.RunEnded(placement.Failed)
		q.avoid[plan.Target.ID] = true
		return lifecycle.Lost, fault.Newf(fault.Unknown, "check the instance", "instance %s responded with status %d without stating that the request has not run", plan.Target.ID, resp.Status)
	}
	if !q.isStream(resp) {
		q.countRun() // the run of a stream is counted at its first event
	}
	if !verdict.Sealed && resp.Status < http.StatusMultipleChoices {
		resp.Close(false)
		q.logUnexpectedResponse(plan.Target, resp, errNoSeal)
		q.ticket.RunEnded(placement.Failed)
		q.avoid[plan.Target.ID] = true
		return lifecycle.Lost, fault.Newf(fault.Unknown, "check the instance", "instance %s sent a response without its seal", plan.Target.ID)
	}
	if resp.Status >= http.StatusInternalServerError && q.takeErrorRetry() {
		resp.DiscardBody()
		q.ticket.RunEnded(placement.Failed)
		q.avoid[plan.Target.ID] = true
		return lifecycle.Lost, fault.Newf(fault.Unknown, "another instance is tried", "instance %s responded with status %d", plan.Target.ID, resp.Status)
	}
	res, err := q.relay(resp, plan.Target)
	if res == lifecycle.Lost && !q.clientGone && !errors.Is(err, errMalformed) && resp.OwnPathLost(q.ctx, err) {
		q.releaseBrokenPath(plan.Target)
		return q.resumeAtBackup(err)
	}
	q.ticket.RunEnded(q.responseOutcome(res))
	if res != lifecycle.Lost {
		q.reportSuccess(plan.Target)
		return res, err
	}
	q.avoid[plan.Target.ID] = true
	if !q.hang.responded() {
		q.retryCharged = true
		return lifecycle.Lost, errHung(plan.Target, q.hang)
	}
	q.reportBrokenRun(plan.Target)
	return q.resumeAtBackup(err)
}

// releaseBrokenPath ends an attempt whose response was lost because of the path from this host to the instance. Nothing
// is held against the instance.
func (q *request) releaseBrokenPath(i *fleet.Instance) {
	level.Info(q.s.o.Logger).Log("msg", "response lost with the path to its instance", "request", q.call.ID, "instance", i.ID, "events", q.events)
	q.ticket.Cancel()
	if !q.hang.responded() {
		q.retryCharged = true
	}
}

// failureOutcome returns what a failed attempt says about the instance.
func (q *request) failureOutcome(err error) placement.Outcome {
	switch {
	case q.hang != nil && q.hang.wasWithdrawn():
		return placement.Inconclusive
	case q.ctx.Err() != nil, !time.Now().Before(q.deadline):
		return unansweredOutcome(err)
	case fault.Is(err, fault.Unavailable):
		return placement.Unreachable
	}
	return placement.Failed
}

// unansweredOutcome returns what an attempt says about the instance that failed when the time was up or the client had left.
func unansweredOutcome(err error) placement.Outcome {
	if fault.Is(err, fault.Unavailable) {
		return placement.Inconclusive // nothing was sent
	}
	return placement.Unanswered
}

// responseOutcome returns what the end of a relayed response says about the instance. A
// client that disconnected is not counted against it.
func (q *request) responseOutcome(o lifecycle.Outcome) placement.Outcome {
	if o == lifecycle.Lost && !q.clientGone && !q.hang.wasWithdrawn() {
		return placement.Failed
	}
	return placement.Succeeded
}

// takeErrorRetry reports whether a request should be retried after an error response, instead of
// relaying that response to the client. If so, the retry is charged to the budget.
func (q *request) takeErrorRetry() bool {
	if !q.route.Repeatable() || q.runs >= q.route.MaxAttempts || q.sends >= maxSends || time.Until(q.deadline) < minRemaining {
		return false
	}
	q.retryCharged = q.retryCharged || q.s.budget.takeRetry(q.service)
	return q.retryCharged
}

func (q *request) resumeAfter() string {
	if q.lastEventID != "" {
		return q.lastEventID
	}
	return q.call.LastEvent
}

func (q *request) upstreamRequest(i *fleet.Instance, s engine.SendOptions) upstream.Request {
	s.Workspace = q.workspaceName()
	return upstream.Request{
		Address: i.Address, Method: q.http.Method, URI: q.http.RequestURI, Host: q.http.Host, Body: q.body,
		Header:     q.s.o.Protocol.Forward(endToEnd(q.http.Header), s),
		ResponseID: q.s.o.Protocol.ResponseID, Group: q.service,
		MaxIdle:    q.maxIdleConns(),
		BeforeSend: func() error { return q.checkBeforeSend(i) },
		ID:         q.call.ID, Repeatable: s.PrefillOnly || q.route.Repeatable() && q.runs+1 < q.route.MaxAttempts,
	}
}

// checkBeforeSend is called just before a request is written. Calls to schedulers and the setup
// of a connection can take up to half a second after the placement decision. In that time the
// instance may have started to shut down, asked for a backoff or reached its rate limit, or the
// request may have been found to crash the instances that run it.
func (q *request) checkBeforeSend(i *fleet.Instance) error {
	q.sentAt = bootclock.Now()
	err := q.reasonNotToSend(i)
	q.notSent = err != nil
	return err
}

func (q *request) reasonNotToSend(i *fleet.Instance) error {
	if err := q.errNoTimeLeft(); err != nil {
		return err
	}
	switch {
	case q.newlyQuarantined():
		return fault.New(fault.Unavailable, "instances have crashed while running this request since it was placed", "the request is rejected")
	case q.hasOtherSoftware(i):
		return fault.Newf(fault.Unavailable, "another instance is tried", "instance %s came back with another software version than the one that began the stream", i.ID)
	case q.s.notices.ShuttingDown(i.RunID()), q.stoppedAccepting(i):
		return fault.Newf(fault.Unavailable, "another instance is tried", "instance %s stopped accepting requests after it was chosen", i.ID)
	case q.s.notices.Backoff(i.RunID()) > 0:
		return fault.Newf(fault.Unavailable, "another instance is tried", "instance %s asked for a backoff after it was chosen", i.ID)
	case !q.plan.Granted && q.s.limits.BlocksUngranted(i.RunID()):
		return fault.Newf(fault.Unavailable, "another instance is tried", "instance %s reached its rate limit after it was chosen", i.ID)
	}
	return nil
}

// maxIdleConns returns how many idle connections to one instance this process keeps: half of
// its share of the connections that the instance accepts from all gateways together. It
// returns 0 if the configuration sets no limit.
func (q *request) maxIdleConns() int {
	v := q.s.o.View()
	maxConns := v.Config.Services[q.service].MaxConns
	if maxConns <= 0 {
		return 0
	}
	return max(1, maxConns/(2*max(v.Processes, 1)))
}

// finish sends the gateway's own reply, whose status tells the client whether the request
// may have run. If a part of a response has already been sent, the connection is aborted
// instead, so that the client sees that the response is incomplete. The same is done for a
// client that has disconnected, because it may have closed only its sending side.
func (q *request) finish(rep *reply) {
	q.logOutcome(rep.code, rep.err)
	if q.responseStarted || rep.silent {
		panic(http.ErrAbortHandler)
	}
	rep.status = rep.statusFor(q.lifecycle)
	rep.write(q.w)
}
