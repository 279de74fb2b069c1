package entry

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/claims"
	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/engine/openai"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/attempt"
	"github.com/rockdoor/rockdoor/internal/charts"
	"github.com/rockdoor/rockdoor/internal/lifecycle"
	"github.com/rockdoor/rockdoor/internal/ratelimit"
	"github.com/rockdoor/rockdoor/internal/upstream"
	"github.com/rockdoor/rockdoor/routing"
	"github.com/rockdoor/rockdoor/statechart"
)

const (
	// maxAttempts is the maximum number of attempts of one request.
	maxAttempts = 6
	// noTargetRetryAfter is the Retry-After time while no permitted target is
	// active.
	noTargetRetryAfter = 2 * time.Second
	// stoppingRetryAfter is the Retry-After time of a process that is being stopped. It is short: other processes serve.
	stoppingRetryAfter = 100 * time.Millisecond
	// The queue factors limit the in-flight requests of a target, as a multiple of
	// its capacity, for calls of each priority.
	queueFactorUrgent = 2.0
	queueFactorNormal = 1.5
	queueFactorBatch  = 1.0
)

// run executes one call. It is confined to one goroutine.
type run struct {
	s         *Server
	c         *call
	w         http.ResponseWriter
	ctx       context.Context
	cancel    context.CancelFunc
	lifecycle *lifecycle.Request
	start     time.Time

	attempts int
	avoid    map[string]bool // targets on which an attempt of this call failed
	// delivered is the number of stream events sent to the client.
	delivered int
	// responseStarted is true once the response header has been sent to the client.
	responseStarted bool
	// kv is an exported KV cache of the prompt, to be imported by the target.
	kv openai.KVExport
	// separatePrefillTried is true once prefill on a separate engine has been tried,
	// so that it is tried at most once.
	separatePrefillTried bool
	// claim is the granted claim of a call with an idempotency key, nil without one.
	claim *claims.Claim
	// waiting is true while the call waits for a rate limit grant.
	waiting bool
	// target is the target of the latest attempt, and work is the attempt's entry in
	// the load tracker.
	target *config.Target
	work   *routing.Work
}

func newRun(s *Server, c *call, w http.ResponseWriter, r *http.Request) *run {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	stop := context.AfterFunc(s.drain.Ending(), cancel)
	return &run{s: s, c: c, w: w, ctx: ctx, cancel: func() { stop(); cancel() }, lifecycle: lifecycle.New(c.id, s.o.Logger), start: time.Now(), avoid: map[string]bool{}}
}

// do makes attempts until the call has a final state. It returns the error reply
// to send to the client, or nil if a response has been forwarded.
func (r *run) do() *reply {
	r.s.retries.RecordRequest()
	r.countDemand()
	rep := lifecycle.Serve(r.lifecycle, r)
	if rep == nil {
		return nil
	}
	rep.outcome = r.lifecycle.State()
	if rep.outcome == charts.RequestUnknown {
		rep.code = codeUnknown
	}
	return rep
}

// RefreshConfig implements lifecycle.Steps.
func (r *run) RefreshConfig() *reply {
	if err := r.c.applyConfig(r.s.o.Snapshot()); err != nil {
		return errorReplyFor(err)
	}
	return r.s.checkEntryHost(r.c)
}

// ChooseTarget implements lifecycle.Steps. It adds the call to the load of the
// chosen target.
func (r *run) ChooseTarget() *reply {
	if rep := r.rejectStopping(); rep != nil {
		return rep
	}
	r.prefillSeparately()
	if rep := r.rejectQuarantined(); rep != nil {
		return rep
	}
	if r.ctx.Err() != nil {
		return errorReply(http.StatusGatewayTimeout, codeDeadline,
			fault.New(fault.Exhausted, "deadline passed before a target was found", "allow more time with "+HeaderDeadline), noTargetRetryAfter)
	}
	permitted := r.c.permitted()
	cost := r.c.cost
	if r.kv.KV != "" {
		cost.PrefillTokens = 0
	}
	full, rep := r.place(permitted, cost)
	for waited := time.Duration(0); rep == nil && r.work == nil && r.anyRateLimited(permitted) && waited < ratelimit.MaxGrantWait; waited += ratelimit.GrantPollInterval {
		if !r.sleep(ratelimit.GrantPollInterval) {
			break
		}
		r.waiting = true
		full, rep = r.place(permitted, cost)
	}
	r.waiting = false
	if rep == nil && r.work == nil {
		return r.noTarget(permitted, full)
	}
	if r.work != nil {
		if rep = r.rejectStopping(); rep != nil { // prefill and grants take time
			r.work.End()
		}
	}
	return rep
}

// rejectStopping returns a reply if the process is being stopped and ends before the call can be expected to. A stream that
// has begun is continued as long as possible.
func (r *run) rejectStopping() *reply {
	missing := r.s.drain.Missing(r.c.class, 0, 0, r.c.deadline)
	if r.responseStarted || missing == 0 && r.s.drain.Ending().Err() == nil {
		return nil
	}
	r.w.Header().Set("Connection", "close")
	return errorReply(http.StatusServiceUnavailable, codeStopping,
		fault.Newf(fault.Unavailable, "send the request to another entry host", "the process is being stopped: %s too little for a request of %s", missing.Round(time.Millisecond), r.c.class), stoppingRetryAfter)
}

// sleep returns false at once when the client leaves or the deadline passes.
func (r *run) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-r.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// place chooses a target, adds the call to its load, and returns how many targets are full. It
// returns a reply if the workspace is over its share. First attempts are placed one at a time:
// concurrent calls of one workspace would otherwise each see the same free capacity, and together
// exceed the share.
func (r *run) place(permitted []*config.Target, cost routing.Cost) (int, *reply) {
	if r.attempts == 0 {
		r.s.placementMu.Lock()
		defer r.s.placementMu.Unlock()
	}
	if rep := r.checkShare(permitted); rep != nil {
		return 0, rep
	}
	var full int
	r.work, r.target, full = r.chooseAndCount(permitted, cost, r.canServe, phaseRun)
	return full, nil
}

// shareThreshold is the utilization of the permitted targets from which the shares
// of the workspaces are enforced.
const shareThreshold = 0.8

// checkShare rejects the first attempt of a call if its workspace is over its
// share while utilization is at or above shareThreshold.
func (r *run) checkShare(permitted []*config.Target) *reply {
	if r.attempts > 0 {
		return nil
	}
	inFlight, capacity := 0, 0
	for _, t := range routing.Sample(permitted) {
		inFlight += r.s.load(t, r.c).Requests
		capacity += r.maxInFlight(t)
	}
	if float64(inFlight) < shareThreshold*float64(capacity) {
		return nil
	}
	if err := r.s.admission.CheckFairShare(&r.c.workspace.Workspace); err != nil {
		return errorReplyFor(err)
	}
	return nil
}

// chooseAndCount chooses among the permitted targets for which fits returns true, and
// adds the cost to the load of the chosen target. The returned work is nil if no target
// is available. The last result is the number of full targets.
func (r *run) chooseAndCount(permitted []*config.Target, cost routing.Cost, fits func(*config.Target) bool, phase string) (*routing.Work, *config.Target, int) {
	for {
		cands, full := r.candidates(routing.Sample(permitted), fits)
		if len(permitted) > routing.MaxSample && !slices.ContainsFunc(cands, func(c routing.Candidate) bool { return !c.BreakerOpen }) {
			cands, full = r.candidates(permitted, fits)
		}
		d := routing.Choose(r.s.policy(r.c.policy), cost, cands)
		if d.Chosen == nil {
			if phase == phaseRun {
				r.logDecision(d, len(permitted), phase)
			}
			return nil, nil, full
		}
		t := d.Chosen.Target
		limit := r.maxInFlight(t) - r.c.snapshot.PeerLoads[t.Name].Requests
		work := r.s.o.Tracker.Begin(t.Name, cost, limit)
		if work == nil {
			continue
		}
		if _, ok := r.s.limits.UseGrant(t.Name); !ok {
			work.End()
			continue
		}
		r.logDecision(d, len(permitted), phase)
		return work, t, full
	}
}

// noTarget returns the reply to a call for which no target is available.
func (r *run) noTarget(permitted []*config.Target, full int) *reply {
	switch {
	case len(permitted) == 0:
		return errorReply(http.StatusServiceUnavailable, codeNoTarget,
			fault.New(fault.Unavailable, "no active target is permitted for this request", "see why with: rockdoor explain"), noTargetRetryAfter)
	case full > 0:
		return errorReply(http.StatusServiceUnavailable, codeOverloaded,
			fault.New(fault.Exhausted, "all permitted targets are full", "ask again after the time in Retry-After"), r.s.estimateWait(r.c))
	}
	return errorReply(http.StatusServiceUnavailable, codeNoTarget,
		fault.New(fault.Unavailable, "all permitted targets failed, asked for a backoff or limit their rate", "ask again after the time in Retry-After"), r.retryAfter(permitted, noTargetRetryAfter))
}

// maxInFlight returns the limit on the in-flight requests of a target for calls of
// this priority.
func (r *run) maxInFlight(t *config.Target) int {
	return int(float64(t.Capacity) * queueFactor(r.c.priority))
}

// candidates returns the targets to choose from, and the number of full targets. It leaves
// out targets that are full, on which an attempt of this call failed, for which fits returns
// false, that are in backoff or unavailable, or whose rate limit grants no further call.
func (r *run) candidates(permitted []*config.Target, fits func(*config.Target) bool) (cands []routing.Candidate, full int) {
	for _, t := range permitted {
		if r.avoid[t.Name] || r.s.notices.Backoff(t.Name) > 0 || !fits(t) {
			continue
		}
		load := r.s.load(t, r.c)
		if load.Requests >= r.maxInFlight(t) {
			full++
			continue
		}
		if !r.s.o.Snapshot().Available(t) || !r.s.limits.CheckGrant(t.Name, r.waiting) {
			continue
		}
		cands = append(cands, routing.Candidate{Target: t, Load: load, Rates: routing.DefaultRates, BreakerOpen: r.s.breakers.broken(t.Name)})
	}
	return cands, full
}

func queueFactor(p config.Priority) float64 {
	switch p {
	case config.Urgent:
		return queueFactorUrgent
	case config.Batch:
		return queueFactorBatch
	}
	return queueFactorNormal
}

// load returns the load that this process and its peers have placed on a target.
func (s *Server) load(t *config.Target, c *call) routing.Load {
	return s.o.Tracker.Load(t.Name).Add(c.snapshot.PeerLoads[t.Name])
}

// Attempt implements lifecycle.Steps: it sends the call to the chosen target and
// forwards the response.
func (r *run) Attempt() (lifecycle.Outcome, error) {
	r.attempts++
	t := r.target
	defer r.work.End()
	done := r.s.breakers.begin(t.Name)
	timed, counted := r.s.drain.Start(r.c.class), false
	defer func() { timed.End(counted) }()
	header := r.c.header.Clone()
	header.Set(openai.PriorityHeader, enginePriority(r.c.priority))
	if r.kv.KV != "" {
		header.Set(openai.KVHeader, r.kv.KV)
		header.Set(openai.KVTokensHeader, strconv.Itoa(r.kv.PromptTokens))
	}
	if r.delivered > 0 {
		header.Set(openai.ResumeHeader, strconv.Itoa(r.delivered))
	}
	sent, sentAt := time.Now(), bootclock.Now()
	a := r.s.sender.Start(r.ctx, attempt.Request{
		ID: r.c.id + "-" + strconv.Itoa(r.attempts), Address: t.Address,
		Method: r.c.method, URI: r.c.uri, Header: header, Body: r.c.body, Repeatable: r.c.idempotent,
	})
	r.recordSignals(t, a, sentAt)
	if a.State() == charts.AttemptAnswering {
		r.relay(a, r.work)
	}
	counted = a.State() == charts.AttemptComplete || !time.Now().Before(r.c.deadline)
	done(a.State(), a.Err())
	if !errors.Is(a.Err(), upstream.ErrOwnPath) {
		r.recordResult(a.State(), sent)
	}
	r.s.count("attempts."+string(a.State()), r.c)
	return outcomeOf(a.State()), a.Err()
}

func outcomeOf(s statechart.State) lifecycle.Outcome {
	switch s {
	case charts.AttemptComplete:
		return lifecycle.Delivered
	case charts.AttemptFailed:
		return lifecycle.Failed
	case charts.AttemptNotRun:
		return lifecycle.NotRun
	}
	return lifecycle.Lost
}

// enginePriority returns the value of openai.PriorityHeader for a priority.
func enginePriority(p config.Priority) string {
	switch p {
	case config.Urgent:
		return "2"
	case config.Batch:
		return "0"
	}
	return "1"
}

// CanRetryAfterRun implements lifecycle.Steps. An idempotent call can be retried
// after a run if nothing has reached the client yet, or if the response is a
// stream, which resumes after the last complete event.
func (r *run) CanRetryAfterRun() bool {
	return r.c.idempotent && r.ctx.Err() == nil && (!r.responseStarted || r.c.stream())
}

// FinalReply implements lifecycle.Steps.
func (r *run) FinalReply(o lifecycle.Outcome, err error) *reply {
	switch o {
	case lifecycle.Delivered:
		return nil
	case lifecycle.Failed:
		return errorReply(http.StatusBadGateway, codeFailed, err, 0)
	}
	return errorReply(http.StatusBadGateway, codeUnknown, err, 0)
}

// PrepareRetry implements lifecycle.Steps.
func (r *run) PrepareRetry(err error) *reply {
	if !errors.Is(err, upstream.ErrOwnPath) {
		r.avoid[r.target.Name] = true
	}
	r.kv = openai.KVExport{} // the import of the KV cache may have caused the failure
	level.Info(r.s.o.Logger).Log("msg", "attempt failed", "request", r.c.id, "attempt", r.attempts, "target", r.target.Name, "state", r.lifecycle.State(), "err", err)
	if r.attempts >= maxAttempts || !r.s.retries.TakeRetry() {
		return errorReply(http.StatusServiceUnavailable, codeOverloaded,
			fault.Wrap(err, fault.Unavailable, "attempts failed and no further retry is allowed", "ask again after the time in Retry-After"), noTargetRetryAfter)
	}
	return nil
}

// finish sends the reply, if there is one, and records the outcome.
func (r *run) finish(rep *reply) {
	defer r.cancel()
	outcome := r.lifecycle.State()
	code := "ok"
	if rep != nil {
		code = rep.code
	}
	if r.claim != nil {
		r.completeClaim(outcome)
	}
	if rep != nil {
		r.sendReply(rep)
	}
	took := time.Since(r.start)
	r.s.count("outcome."+string(outcome), r.c)
	metrics.GetOrRegisterTimer("entry.duration."+string(r.c.priority), r.s.o.Metrics).Update(took)
	level.Info(r.s.o.Logger).Log("msg", "request", "request", r.c.id, "workspace", r.c.workspace.Name, "class", r.c.class,
		"outcome", outcome, "code", code, "attempts", r.attempts, "took", took)
}

// estimateWait estimates when one of the full targets accepts a call again: the
// mean duration of a request, divided by the total capacity of the targets.
func (s *Server) estimateWait(c *call) time.Duration {
	t := metrics.GetOrRegisterTimer("entry.duration."+string(c.priority), s.o.Metrics)
	perRequest := time.Duration(t.Mean())
	capacity := 0
	for _, target := range c.targets {
		capacity += target.Capacity
	}
	wait := max(perRequest/time.Duration(max(capacity, 1)), minRetryAfter)
	return min(wait, maxRetryAfter)
}

const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// logDecision logs the routing decision, if the settings enable that.
func (r *run) logDecision(d routing.Decision, permitted int, phase string) {
	if !r.s.o.Settings.Log.Decisions {
		return
	}
	kv := []any{
		"msg", "decision", "request", r.c.id, "attempt", r.attempts + 1, "workspace", r.c.workspace.Name, "class", r.c.class,
		"priority", r.c.priority, "revision", r.c.snapshot.Revision, "policy", r.c.policy, "phase", phase, "reason", d.Reason,
		"permitted", permitted, "considered", d.Considered,
	}
	if d.Chosen != nil {
		kv = append(kv, "chosen", d.Chosen.Target.Name, "domain", d.Chosen.Target.Domain, "score", d.Score, "load", d.Chosen.Load.Requests)
	}
	if d.RunnerUp != nil {
		kv = append(kv, "runner_up", d.RunnerUp.Target.Name, "runner_up_score", d.RunnerUpScore)
	}
	level.Info(log.With(r.s.o.Logger)).Log(kv...)
	metrics.GetOrRegisterCounter("entry.decisions."+string(d.Reason), r.s.o.Metrics).Inc(1)
}
