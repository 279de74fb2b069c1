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
	"github.com/rockdoor/rockdoor/internal/scheduler"
	"github.com/rockdoor/rockdoor/internal/upstream"
	"github.com/rockdoor/rockdoor/placement"
	"github.com/rockdoor/rockdoor/quarantine"
)

const (
	// maxSends bounds how often one request is sent, counting rejections.
	maxSends = 4
	// minLeft is the least time for which a request is sent again: less than this
	// an instance cannot use.
	minLeft = 20 * time.Millisecond
	// refusalTime is how long before a caller leaves it is refused, so that it hears of
	// it: some tens of ms on the way and at a busy process.
	refusalTime = 60 * time.Millisecond
	// unknownRetry is when to come back if no instance is known.
	unknownRetry = 500 * time.Millisecond
	// maxReadResult bounds the answer of an engine that read a prompt.
	maxReadResult = 64 << 10
	// maxSourceUses is how many runners a prompt that was read is offered to before
	// it is taken for the reason of their refusals.
	maxSourceUses = 2
	// freeTimeout bounds the call that frees a prompt that is not wanted.
	freeTimeout = time.Second
)

// request is the work on one request of a caller. It belongs to one goroutine.
type request struct {
	s     *Server
	w     http.ResponseWriter
	http  *http.Request
	ctx   context.Context
	call  *engine.Call
	route *fleet.Route
	// workspace is the caller's, nil if it needs none and has none.
	workspace *fleet.Workspace
	body      []byte
	// held is how many bytes of the request and its answer are counted as held.
	held     int64
	arrived  time.Time
	deadline time.Time

	service string
	// sends counts sends to runners, runs those that may have begun there.
	sends, runs int
	avoid       map[string]bool
	// begun is true once the caller has got a part of the answer.
	begun bool
	// lastEvent is the id of the last event that the caller got.
	lastEvent string
	events    int
	// backup gets a copy of the run's memory, nil for none.
	backup *fleet.Instance
	// life says whether some instance may have begun the request.
	life *lifecycle.Request
	// counted is true once the request is known to have begun to run.
	counted bool
	// paid is true if the next send has been taken from the budget.
	paid bool
	// source is a prompt that was read and has not been used, sourceReader the
	// engine that keeps it and sourceUses how often it was offered to a runner.
	source       *engine.KVSource
	sourceReader *fleet.Instance
	sourceUses   int
	// read is true once an engine has taken the prompt up.
	read    bool
	version int64
	plan    placement.Plan
	ticket  scheduler.Ticket
	readFor time.Duration
	// gone is true if the caller could not be written to, for the reason writeErr.
	gone     bool
	writeErr error
	// sentAt is when it was sent to an instance last.
	sentAt bootclock.Instant
	// withheld is true if the last send was not made since its instance wants no more now.
	withheld bool
	// trial is true if the request may run though instances have ended under it.
	trial bool
	// print is the fingerprint once it was asked for.
	print quarantine.Fingerprint
}

// serve makes attempts until the request has an answer.
func (q *request) serve() {
	defer q.free()
	q.life.Fire(charts.Admitted)
	rep := lifecycle.Serve(q.life, q)
	if rep == nil {
		q.log("ok", nil)
		return
	}
	q.finish(rep)
}

// RefreshConfig implements lifecycle.Steps: it decides under the newest configuration which
// service runs the next attempt.
func (q *request) RefreshConfig() *reply {
	view := q.s.o.View()
	route := view.Config.Route(hostOnly(q.http.Host), q.http.URL.EscapedPath())
	if route == nil {
		return given("no-route", fault.New(fault.NotFound, "route has been removed", "check the host name and the path"), unknownRetry)
	}
	workspace, rep := q.s.admit(view, route, q.call.Key)
	if rep != nil {
		return given(rep.code, rep.err, rep.retryAfter)
	}
	first := q.service == ""
	q.workspace, q.route, q.version = workspace, ranked(route, workspace), view.Config.Version
	service := route.Pick(q.call.ID)
	if service != q.service {
		q.free() // what one service read is not for another
	}
	q.service = service
	if first {
		q.s.budget.request(q.service)
	}
	return nil
}

// ChooseTarget implements lifecycle.Steps.
func (q *request) ChooseTarget() *reply {
	if time.Until(q.deadline) < minLeft || q.ctx.Err() != nil {
		return q.expired()
	}
	if rep := q.quarantined(); rep != nil {
		return rep
	}
	view := q.s.o.View()
	q.plan, q.ticket = q.s.o.Scheduler.Place(q.ctx, q.job(view))
	q.decision(view)
	if q.ticket == nil {
		return q.unplaced()
	}
	return nil
}

// Attempt implements lifecycle.Steps.
func (q *request) Attempt() (lifecycle.Outcome, error) {
	defer func() { q.ticket.Cancel() }() // the ticket may have been replaced
	return q.send()
}

// CanRetryAfterRun implements lifecycle.Steps.
func (q *request) CanRetryAfterRun() bool {
	return q.ctx.Err() == nil && q.route.Repeatable() && q.runs < q.route.MaxAttempts
}

// FinalReply implements lifecycle.Steps.
func (q *request) FinalReply(o lifecycle.Outcome, err error) *reply {
	switch {
	case o == lifecycle.Delivered:
		return nil
	case q.gone || q.ctx.Err() != nil:
		return q.expired()
	}
	return given("lost", err, 0)
}

// job describes the request to the placer.
func (q *request) job(v *fleet.View) *placement.Job {
	pool := v.Pool(q.route.Name, q.service)
	return &placement.Job{
		Route: q.route, WorkspaceRank: q.workspace != nil && q.workspace.Ranked, Workspace: q.workspaceName(), Service: v.Config.Services[q.service],
		Call: q.call, Remaining: time.Until(q.firstBy()), Elapsed: time.Since(q.arrived), Fingerprint: q.asked(), Domain: q.s.o.FailureDomain,
		Permitted: pool.All, Groups: pool.Groups, Avoid: q.unwilling(pool), SkipPrefill: q.begun || q.source != nil,
	}
}

// firstBy returns until when an answer must begin: a caller that has to be refused
// after all is told before it leaves.
func (q *request) firstBy() time.Time {
	by := q.arrived.Add(q.route.FirstEventTimeout - refusalTime)
	if q.begun || q.route.FirstEventTimeout == 0 || by.After(q.deadline) {
		return q.deadline
	}
	return by
}

// unplaced returns the reply to a request for which there is no instance.
func (q *request) unplaced() *reply {
	retry := q.plan.RetryAfter
	if q.plan.Reason == placement.ReasonNonePermitted {
		retry = q.restLeft()
	}
	if retry == 0 {
		retry = unknownRetry
	}
	if q.plan.Reason == placement.ReasonQuarantined {
		return refusedBy("known to "+q.plan.DecidedBy, retry)
	}
	err := fault.New(fault.Unavailable, "no instance of "+q.service+" takes the request: "+string(q.plan.Reason), "ask again after the time in Retry-After")
	return given(string(q.plan.Reason), err, retry)
}

// PrepareRetry implements lifecycle.Steps.
func (q *request) PrepareRetry(err error) *reply {
	switch {
	case q.ctx.Err() != nil:
		return q.expired()
	case err == nil:
		return q.unplaced() // the prompt was read and nobody can run it
	case q.runs == 0 && time.Until(q.firstBy()) <= 0:
		return nil // Choose refuses it
	case q.sends >= maxSends:
		return given("attempts-used", err, unknownRetry)
	case !q.paid && !q.s.budget.extra(q.service):
		q.s.count("budget_empty")
		return given("budget-empty", err, unknownRetry)
	}
	q.paid = false
	level.Info(q.s.o.Logger).Log("msg", "attempt again", "request", q.call.ID, "sends", q.sends, "runs", q.runs, "err", err)
	return nil
}

// expired ends a request whose time is up or whose caller has left.
func (q *request) expired() *reply {
	if err := q.http.Context().Err(); err != nil || q.gone {
		return &reply{code: "caller-gone", err: errors.CombineErrors(err, q.writeErr), silent: true}
	}
	return given(codeDeadline, fault.New(fault.Exhausted, "time is up", "allow more time"), 0)
}

// send carries out the plan. If there is no runner after the prompt was read, it
// returns notRun without an error.
func (q *request) send() (lifecycle.Outcome, error) {
	plan := &q.plan
	if plan.PrefillEngine != nil {
		if res, err := q.readPrompt(plan, q.ticket); err != nil {
			return res, err
		}
		view := q.s.o.View()
		next := q.ticket.PlaceDecode(q.ctx, q.job(view), plan)
		if next == nil {
			return lifecycle.NotRun, nil
		}
		q.ticket = next
		q.decision(view)
	}
	q.backup = q.chooseBackup(plan.Target)
	a, verdict, err := q.exchange(q.ctx, plan.Target, engine.Send{
		Instance: plan.Target.ID, Left: time.Until(q.deadline), Rank: q.route.Rank, Source: q.source, ResumeAfter: q.resumeAfter(),
		Backup: addressOf(q.backup),
	})
	q.sends++
	q.sourceUses++
	if err != nil {
		q.ticket.RunEnded(q.blame(err))
		q.avoid[plan.Target.ID] = true
		if fault.Is(err, fault.Unavailable) {
			q.paid = true // nothing arrived at the instance
			return lifecycle.NotRun, err
		}
		q.runs++
		q.broke(plan.Target)
		return lifecycle.Lost, err
	}
	return q.receive(a, verdict, plan)
}

// receive judges the head of an answer and passes the answer on.
func (q *request) receive(a *upstream.Response, verdict engine.Verdict, plan *placement.Plan) (lifecycle.Outcome, error) {
	if verdict.NotRun {
		a.DiscardBody()
		outcome := placement.Failed
		if verdict.Replaced {
			outcome = placement.Replaced
		}
		q.ticket.RunEnded(outcome)
		q.avoid[plan.Target.ID] = true
		if q.sourceUses >= maxSourceUses {
			q.free() // the prompt may be what the instances refuse
		}
		return lifecycle.NotRun, fault.Newf(fault.Unavailable, "another instance is tried", "instance %s refused with %d", plan.Target.ID, a.Status)
	}
	q.runs++
	q.source = nil // taken by the runner
	if !isStream(a) {
		q.countRun() // the run of a stream begins with its first event
	}
	if !verdict.Genuine && a.Status < http.StatusMultipleChoices {
		a.Close(false)
		q.ticket.RunEnded(placement.Failed)
		q.avoid[plan.Target.ID] = true
		return lifecycle.Lost, fault.Newf(fault.Unknown, "check the instance", "instance %s answered without its seal", plan.Target.ID)
	}
	if a.Status >= http.StatusInternalServerError && q.mayRepeat() {
		a.DiscardBody()
		q.ticket.RunEnded(placement.Failed)
		q.avoid[plan.Target.ID] = true
		return lifecycle.Lost, fault.Newf(fault.Unknown, "another instance is tried", "instance %s answered %d", plan.Target.ID, a.Status)
	}
	res, err := q.relay(a)
	q.ticket.RunEnded(q.verdictOn(res))
	if res != lifecycle.Lost {
		q.sound()
		return res, err
	}
	q.avoid[plan.Target.ID] = true
	q.broke(plan.Target)
	return q.goOn(err)
}

// blame says what an attempt that failed tells of the instance. A caller that
// left says nothing of it, and neither does what was not sent for its sake.
func (q *request) blame(err error) placement.Outcome {
	switch {
	case q.ctx.Err() != nil, q.withheld, !time.Now().Before(q.deadline):
		return placement.Succeeded
	case fault.Is(err, fault.Unavailable):
		return placement.Unreachable
	}
	return placement.Failed
}

// verdictOn says what the end of an answer tells of the instance that gave it. That a
// caller left says nothing.
func (q *request) verdictOn(o lifecycle.Outcome) placement.Outcome {
	if o == lifecycle.Lost && !q.gone {
		return placement.Failed
	}
	return placement.Succeeded
}

// mayRepeat reports whether a failure that an instance answered is better asked
// for again than passed on, and takes the send from the budget if so.
func (q *request) mayRepeat() bool {
	if !q.route.Repeatable() || q.runs >= q.route.MaxAttempts || q.sends >= maxSends || time.Until(q.deadline) < minLeft {
		return false
	}
	q.paid = q.s.budget.extra(q.service)
	return q.paid
}

func (q *request) resumeAfter() string {
	if q.lastEvent != "" {
		return q.lastEvent
	}
	return q.call.LastEvent
}

func (q *request) upstream(i *fleet.Instance, s engine.Send) upstream.Request {
	s.Workspace = q.workspaceName()
	return upstream.Request{
		Address: i.Address, Method: q.http.Method, URI: q.http.RequestURI, Host: q.http.Host, Body: q.body,
		Header:     q.s.o.Protocol.Forward(endToEnd(q.http.Header), s),
		Matches:    func(h http.Header) bool { return q.s.o.Protocol.Matches(q.call.ID, h) },
		MaxIdle:    q.maxIdle(),
		BeforeSend: func() error { return q.mayStillRun(i) },
	}
}

// mayStillRun is the last look before a request is written: an instance may have left since the
// decision, which lies questions to schedulers and a new connection back, up to half a second.
// It may also have become known meanwhile that the request ends the instances that run it.
func (q *request) mayStillRun(i *fleet.Instance) error {
	q.sentAt = bootclock.Now()
	switch {
	case q.convicted():
		return fault.New(fault.Unavailable, "instances have ended under the request since the decision", "the request is refused")
	case q.s.notices.ShuttingDown(i.RunID()), q.s.o.View().StoppedAccepting(q.service, i.ID):
		return fault.Newf(fault.Unavailable, "another instance is tried", "instance %s has left since it was chosen", i.ID)
	case q.s.notices.Backoff(i.RunID()) > 0:
		q.withheld = true
		return fault.Newf(fault.Unavailable, "another instance is tried", "instance %s has asked for rest since it was chosen", i.ID)
	case !q.plan.Granted && q.s.limits.BlocksUngranted(i.RunID()):
		q.withheld = true
		return fault.Newf(fault.Unavailable, "another instance is tried", "instance %s has limited its rate since it was chosen", i.ID)
	}
	return nil
}

// maxIdle returns how many unused connections to one instance this process keeps: half
// of its share of those that the instance takes from all callers together. It returns
// 0 if the configuration states no bound.
func (q *request) maxIdle() int {
	v := q.s.o.View()
	most := v.Config.Services[q.service].MaxConns
	if most <= 0 {
		return 0
	}
	return max(1, most/(2*max(v.Processes, 1)))
}

// finish gives the caller a reply of the gateway's own, whose status says truly whether
// the request may have run. If a part of an answer has been passed on, the connection
// is broken off, so that the caller sees that the answer is not whole. That holds also
// for a caller that has left: it may have closed only its own side.
func (q *request) finish(rep *reply) {
	q.log(rep.code, rep.err)
	if q.begun || rep.silent {
		panic(http.ErrAbortHandler)
	}
	rep.status = rep.statusIn(q.life)
	rep.write(q.w)
}
