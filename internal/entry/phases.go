package entry

import (
	"encoding/json"
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

// Phases of a request, for the log.
const (
	phaseRun     = "run"
	phasePrefill = "prefill"
)

// maxPrefillWait is how much work, as time, an engine in the prefill role may
// have ahead for another prompt to be sent there. It leaves half of the bound on
// the first token for the rest.
const maxPrefillWait = 400 * time.Millisecond

// role returns the role that an engine last reported; mixed if it is not known.
func (r *run) role(t *config.Target) engine.Role {
	if role := r.c.snapshot.Reports[t.Name].Status.Role; role != "" {
		return role
	}
	return engine.RoleMixed
}

// runsWhole reports whether a target can run the call, apart from a prompt that
// was read elsewhere.
func (r *run) runsWhole(t *config.Target) bool {
	switch r.role(t) {
	case engine.RolePrefill:
		return false
	case engine.RoleDecode:
		return r.kv.KV != "" || r.c.cost.PrefillTokens <= openai.MaxDecodePrompt
	}
	return true
}

func (r *run) readsPrompts(t *config.Target) bool { return r.role(t) == engine.RolePrefill }

// readApart has a long prompt read by an engine in the prefill role, if one is
// permitted and not behind with its work. Reading a prompt gives no answer, so it
// is not a run: it may be repeated, and if it fails the call runs whole elsewhere.
func (r *run) readApart() {
	if r.whole || r.kv.KV != "" || r.c.completion == nil || r.c.cost.PrefillTokens <= openai.MaxDecodePrompt {
		return
	}
	r.whole = true
	work, t, _ := r.pick(r.c.permitted(), routing.Cost{PrefillTokens: r.c.cost.PrefillTokens}, r.readsInTime, phasePrefill)
	if work == nil {
		return
	}
	defer work.End()
	header := r.c.header.Clone()
	header.Set(openai.PriorityHeader, enginePriority(r.c.priority))
	header.Set(openai.PhaseHeader, openai.PhasePrefill)
	sentAt := bootclock.Now()
	a := r.s.runner.Start(r.ctx, attempt.Request{
		ID: r.c.id + "-p" + strconv.Itoa(r.attempts), Address: t.Address,
		Method: r.c.method, URI: r.c.uri, Header: header, Body: r.c.body,
	})
	r.heed(t, a, sentAt)
	if a.State() == charts.AttemptAnswering {
		_, _ = a.ReadAll(bufferedAnswer, func(body []byte) error { return r.takeExport(a, body) })
	}
	if a.State() != charts.AttemptComplete {
		level.Info(r.s.o.Logger).Log("msg", "prompt not read apart", "request", r.c.id, "target", t.Name, "state", a.State(), "err", a.Err())
	}
}

// countDemand counts the work of a completion, by which engines get their roles.
// Short prompts are not counted, since they are not read apart.
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

// readsInTime reports whether a target reads prompts apart and is not so far
// behind that the prompt is better read where the call runs.
func (r *run) readsInTime(t *config.Target) bool {
	if !r.readsPrompts(t) {
		return false
	}
	ahead := float64(r.s.load(t, r.c).PrefillTokens) / routing.DefaultRates.PrefillPerSecond
	return ahead < maxPrefillWait.Seconds()
}

// takeExport reads the name of an exported KV cache.
func (r *run) takeExport(a *attempt.Attempt, body []byte) error {
	var kv openai.KVExport
	if err := json.Unmarshal(body, &kv); err != nil || kv.KV == "" || a.Status() != http.StatusOK {
		return fault.New(fault.Unavailable, "engine exported no KV cache", "the prompt is read where the request runs")
	}
	r.kv = kv
	return nil
}
