package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

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
	"github.com/rockdoor/rockdoor/routing"
	"github.com/rockdoor/rockdoor/statechart"
)

const (
	// maxAttempts bounds how often one request is sent.
	maxAttempts = 6
	// noTargetWait is when to ask again while no permitted target is active.
	noTargetWait = 2 * time.Second
	// queueFactor is how many times its capacity a target may have in hand.
	queueUrgent = 2.0
	queueNormal = 1.5
	queueBatch  = 1.0
)

// run is the work on one call. It belongs to one goroutine.
type run struct {
	s     *Server
	c     *call
	w     http.ResponseWriter
	ctx   context.Context
	stop  context.CancelFunc
	life  *lifecycle.Request
	start time.Time

	attempts int
	avoid    map[string]bool // targets that have failed this call
	// delivered is how many events of a stream the caller has got.
	delivered int
	// begun is true once the caller has got a part of the answer.
	begun bool
	// kv is an exported KV cache of the prompt, to be imported by the target.
	kv openai.KVExport
	// whole is true if the prompt is not to be read apart (any more).
	whole bool
	// claim is held if the call has an idempotency key.
	claim *claims.Claim
	// waiting is true while the call waits for the rate limits of its targets.
	waiting bool
	// target of the last attempt, and the work that it is there.
	target *config.Target
	work   *routing.Work
}

func newRun(s *Server, c *call, w http.ResponseWriter, r *http.Request) *run {
	ctx, stop := context.WithDeadline(r.Context(), c.deadline)
	return &run{s: s, c: c, w: w, ctx: ctx, stop: stop, life: lifecycle.New(c.id, s.o.Logger), start: time.Now(), avoid: map[string]bool{}}
}

// do sends the call until it has a final state. It returns the reply that is
// still owed to the caller, or nil if the answer was passed on.
func (r *run) do() *reply {
	r.s.retries.RecordRequest()
	r.countDemand()
	rep := lifecycle.Serve(r.life, r)
	if rep == nil {
		return nil
	}
	rep.outcome = r.life.State()
	if rep.outcome == charts.RequestUnknown {
		rep.code = codeUnknown
	}
	return rep
}

// RefreshConfig implements lifecycle.Steps.
func (r *run) RefreshConfig() *reply {
	if err := r.c.rebase(r.s.o.Snapshot()); err != nil {
		return refusalFor(err)
	}
	return r.s.mayCarry(r.c)
}

// ChooseTarget implements lifecycle.Steps. It counts the call at the target that it finds.
func (r *run) ChooseTarget() *reply {
	r.readApart()
	if rep := r.quarantined(); rep != nil {
		return rep
	}
	if r.ctx.Err() != nil {
		return refusal(http.StatusGatewayTimeout, codeDeadline,
			fault.New(fault.Exhausted, "deadline passed before a target was found", "allow more time with "+HeaderDeadline), noTargetWait)
	}
	permitted := r.c.permitted()
	cost := r.c.cost
	if r.kv.KV != "" {
		cost.PrefillTokens = 0
	}
	full, rep := r.place(permitted, cost)
	for waited := time.Duration(0); rep == nil && r.work == nil && r.limited(permitted) && waited < ratelimit.MaxGrantWait; waited += ratelimit.GrantPollInterval {
		time.Sleep(ratelimit.GrantPollInterval)
		r.waiting = true
		full, rep = r.place(permitted, cost)
	}
	r.waiting = false
	if rep == nil && r.work == nil {
		rep = r.noTarget(permitted, full)
	}
	return rep
}

// place finds a target, counts the call there, and returns how many targets are full. It returns
// a reply if the workspace is over its share. Calls look at the shares one at a time: those of a
// flood that look together would each see the room that the others take.
func (r *run) place(permitted []*config.Target, cost routing.Cost) (int, *reply) {
	if r.attempts == 0 {
		r.s.placing.Lock()
		defer r.s.placing.Unlock()
	}
	if rep := r.shareOut(permitted); rep != nil {
		return 0, rep
	}
	var full int
	r.work, r.target, full = r.pick(permitted, cost, r.runsWhole, phaseRun)
	return full, nil
}

// shortFrom is the share of the room at the permitted targets in use from which
// workspaces are held to their shares.
const shortFrom = 0.8

// shareOut refuses the first attempt of a call of a workspace that is over its
// share while the permitted targets are short.
func (r *run) shareOut(permitted []*config.Target) *reply {
	if r.attempts > 0 {
		return nil
	}
	used, room := 0, 0
	for _, t := range routing.Sample(permitted) {
		used += r.s.load(t, r.c).Requests
		room += r.room(t)
	}
	if float64(used) < shortFrom*float64(room) {
		return nil
	}
	if err := r.s.gate.OverShare(&r.c.workspace.Workspace); err != nil {
		return refusalFor(err)
	}
	return nil
}

// pick chooses among the permitted targets of fitting roles and counts the cost
// there. It returns no work if there is none, and how many are full.
func (r *run) pick(permitted []*config.Target, cost routing.Cost, fits func(*config.Target) bool, phase string) (*routing.Work, *config.Target, int) {
	for {
		cands, full := r.candidates(routing.Sample(permitted), fits)
		if len(cands) == 0 && len(permitted) > routing.MaxSample {
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
		limit := r.room(t) - r.c.snapshot.PeerLoads[t.Name].Requests
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

// noTarget returns the reply to a call for which there is no target.
func (r *run) noTarget(permitted []*config.Target, full int) *reply {
	switch {
	case len(permitted) == 0:
		return refusal(http.StatusServiceUnavailable, codeNoTarget,
			fault.New(fault.Unavailable, "no active target is permitted for this request", "see why with: rockdoor explain"), noTargetWait)
	case full > 0:
		return refusal(http.StatusServiceUnavailable, codeOverloaded,
			fault.New(fault.Exhausted, "all permitted targets are full", "ask again after the time in Retry-After"), r.s.drainTime(r.c))
	}
	return refusal(http.StatusServiceUnavailable, codeNoTarget,
		fault.New(fault.Unavailable, "all permitted targets failed, rest or limit their rate", "ask again after the time in Retry-After"), r.wantedAgain(permitted, noTargetWait))
}

// room returns how many requests a target may have in hand for the call to be
// sent there.
func (r *run) room(t *config.Target) int {
	return int(float64(t.Capacity) * queueFactor(r.c.priority))
}

// candidates returns the permitted targets that have room and have not failed
// this call, and how many have no room.
func (r *run) candidates(permitted []*config.Target, fits func(*config.Target) bool) (cands []routing.Candidate, full int) {
	for _, t := range permitted {
		if r.avoid[t.Name] || r.s.notices.Backoff(t.Name) > 0 || !fits(t) {
			continue
		}
		load := r.s.load(t, r.c)
		if load.Requests >= r.room(t) {
			full++
			continue
		}
		if !r.s.o.Snapshot().Available(t) || !r.s.limits.CheckGrant(t.Name, r.waiting) {
			continue
		}
		cands = append(cands, routing.Candidate{Target: t, Load: load, Rates: routing.DefaultRates, Broken: r.s.breakers.broken(t.Name)})
	}
	return cands, full
}

func queueFactor(p config.Priority) float64 {
	switch p {
	case config.Urgent:
		return queueUrgent
	case config.Batch:
		return queueBatch
	}
	return queueNormal
}

// load is what this process and its peers have outstanding at a target.
func (s *Server) load(t *config.Target, c *call) routing.Load {
	return s.o.Tracker.Load(t.Name).Add(c.snapshot.PeerLoads[t.Name])
}

// Attempt implements lifecycle.Steps: it sends the call to the chosen target and passes
// the answer on.
func (r *run) Attempt() (lifecycle.Outcome, error) {
	r.attempts++
	t := r.target
	defer r.work.End()
	done := r.s.breakers.begin(t.Name)
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
	a := r.s.runner.Start(r.ctx, attempt.Request{
		ID: r.c.id + "-" + strconv.Itoa(r.attempts), Address: t.Address,
		Method: r.c.method, URI: r.c.uri, Header: header, Body: r.c.body,
	})
	r.heed(t, a, sentAt)
	if a.State() == charts.AttemptAnswering {
		r.relay(a, r.work)
	}
	done(a.State(), a.Err())
	r.observe(a.State(), sent)
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

// enginePriority is the number that engines know for a priority.
func enginePriority(p config.Priority) string {
	switch p {
	case config.Urgent:
		return "2"
	case config.Batch:
		return "0"
	}
	return "1"
}

// CanRetryAfterRun implements lifecycle.Steps: nothing has reached the caller, or a stream
// of which whole events have.
func (r *run) CanRetryAfterRun() bool {
	return r.c.idempotent && r.ctx.Err() == nil && (!r.begun || r.c.stream())
}

// FinalReply implements lifecycle.Steps.
func (r *run) FinalReply(o lifecycle.Outcome, err error) *reply {
	switch o {
	case lifecycle.Delivered:
		return nil
	case lifecycle.Failed:
		return refusal(http.StatusBadGateway, codeFailed, err, 0)
	}
	return refusal(http.StatusBadGateway, codeUnknown, err, 0)
}

// PrepareRetry implements lifecycle.Steps.
func (r *run) PrepareRetry(err error) *reply {
	r.avoid[r.target.Name] = true
	r.kv = openai.KVExport{} // the import may be what failed
	level.Info(r.s.o.Logger).Log("msg", "attempt failed", "request", r.c.id, "attempt", r.attempts, "target", r.target.Name, "state", r.life.State(), "err", err)
	if r.attempts >= maxAttempts || !r.s.retries.TakeRetry() {
		return refusal(http.StatusServiceUnavailable, codeOverloaded,
			fault.Wrap(err, fault.Unavailable, "attempts failed and no more are made", "ask again after the time in Retry-After"), noTargetWait)
	}
	return nil
}

// finish gives the caller what is owed and records the outcome.
func (r *run) finish(rep *reply) {
	defer r.stop()
	outcome := r.life.State()
	code := "ok"
	if rep != nil {
		code = rep.code
	}
	if r.claim != nil {
		r.settleClaim(outcome)
	}
	if rep != nil {
		r.deliver(rep)
	}
	took := time.Since(r.start)
	r.s.count("outcome."+string(outcome), r.c)
	metrics.GetOrRegisterTimer("entry.duration."+string(r.c.priority), r.s.o.Metrics).Update(took)
	level.Info(r.s.o.Logger).Log("msg", "request", "request", r.c.id, "workspace", r.c.workspace.Name, "class", r.c.class,
		"outcome", outcome, "code", code, "attempts", r.attempts, "took", took)
}

// drainTime estimates when a full target has room again for the call: the time
// that its requests in hand take, divided by how many there are.
func (s *Server) drainTime(c *call) time.Duration {
	t := metrics.GetOrRegisterTimer("entry.duration."+string(c.priority), s.o.Metrics)
	perRequest := time.Duration(t.Mean())
	capacity := 0
	for _, target := range c.targets {
		capacity += target.Capacity
	}
	wait := max(perRequest/time.Duration(max(capacity, 1)), minDrainWait)
	return min(wait, maxDrainWait)
}

const (
	minDrainWait = 200 * time.Millisecond
	maxDrainWait = 10 * time.Second
)

// logDecision writes the line that says why a call goes where it goes.
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
