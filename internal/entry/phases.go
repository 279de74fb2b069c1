package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/engine/openai"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/attempt"
	"github.com/rockdoor/rockdoor/internal/charts"
	"github.com/rockdoor/rockdoor/routing"
)

// Phases of a request, as logged with each decision.
const (
	phaseRun     = "run"
	phasePrefill = "prefill"
)

// maxPrefillWait is the queueing delay from which a prefill engine gets no further
// prompts. It leaves half of the time limit on the first token for the remaining
// steps.
const maxPrefillWait = 400 * time.Millisecond

// role returns the role that an engine last reported, RoleMixed if it reported
// none.
func (r *run) role(t *config.Target) engine.Role {
	if role := r.c.snapshot.Reports[t.Name].Status.Role; role != "" {
		return role
	}
	return engine.RoleMixed
}

// canServe reports whether a target can run the call. A decode engine can run it
// only if the prompt has been prefilled elsewhere or is short.
func (r *run) canServe(t *config.Target) bool {
	switch r.role(t) {
	case engine.RolePrefill:
		return false
	case engine.RoleDecode:
		return r.kv.KV != "" || r.c.cost.PrefillTokens <= openai.MaxDecodePrompt
	}
	return true
}

func (r *run) isPrefillEngine(t *config.Target) bool { return r.role(t) == engine.RolePrefill }

// prefillSeparately sends a long prompt to a prefill engine, if one is permitted and
// its queue is short. Prefill produces no output for the client, so it doesn't count
// as a run: it may be repeated, and if it fails, the target of the call prefills the
// prompt itself.
func (r *run) prefillSeparately() {
	if r.separatePrefillTried || r.kv.KV != "" || r.c.completion == nil || r.c.cost.PrefillTokens <= openai.MaxDecodePrompt {
		return
	}
	r.separatePrefillTried = true
	work, t, _ := r.chooseAndCount(r.c.permitted(), routing.Cost{PrefillTokens: r.c.cost.PrefillTokens}, r.acceptsPrefill, phasePrefill)
	if work == nil {
		return
	}
	defer work.End()
	header := r.c.header.Clone()
	header.Set(openai.PriorityHeader, enginePriority(r.c.priority))
	header.Set(openai.PhaseHeader, openai.PhasePrefill)
	sentAt := bootclock.Now()
	a := r.s.sender.Start(r.ctx, attempt.Request{
		ID: r.c.id + "-p" + strconv.Itoa(r.attempts), Address: t.Address,
		Method: r.c.method, URI: r.c.uri, Header: header, Body: r.c.body,
	})
	r.recordSignals(t, a, sentAt)
	if a.State() == charts.AttemptAnswering {
		_, _ = a.ReadAll(maxBufferedResponse, func(body []byte) error { return r.decodeKVExport(a, body) })
	}
	if a.State() != charts.AttemptComplete {
		level.Info(r.s.o.Logger).Log("msg", "separate prefill failed", "request", r.c.id, "target", t.Name, "state", a.State(), "err", a.Err())
	}
}

// countDemand adds the work of a completion to the demand from which the roles of
// the engines are decided. Short prompts don't count as prefill demand, since they
// are not prefilled separately.
func (r *run) countDemand() {
	if r.c.completion == nil {
		return
	}
	prefill := r.c.cost.PrefillTokens
	if prefill <= openai.MaxDecodePrompt {
		prefill = 0
	}
	r.s.o.Tracker.Demand.Add(r.c.pool, prefill, r.c.cost.DecodeTokens)
}

// acceptsPrefill reports whether a target is a prefill engine whose queueing delay
// is below maxPrefillWait. With a longer queue, prefill on the target of the call is
// faster.
func (r *run) acceptsPrefill(t *config.Target) bool {
	if !r.isPrefillEngine(t) {
		return false
	}
	queueingDelay := float64(r.s.load(t, r.c).PrefillTokens) / routing.DefaultRates.PrefillPerSecond
	return queueingDelay < maxPrefillWait.Seconds()
}

// decodeKVExport decodes the response to a prefill request and stores the exported
// KV cache in the run.
func (r *run) decodeKVExport(a *attempt.Attempt, body []byte) error {
	if a.Status() != http.StatusOK {
		return fault.Newf(fault.Unavailable, "the target of the request prefills the prompt", "engine answered %d to a prefill request", a.Status())
	}
	kv, err := parseKVExport(body)
	if err != nil {
		return err
	}
	r.kv = kv
	return nil
}
