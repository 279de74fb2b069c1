package gateway

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/upstream"
	"github.com/rockdoor/rockdoor/placement"
)

// logDecision logs where an attempt is sent and why.
func (q *request) logDecision(v *fleet.View) {
	p := &q.plan
	kv := []any{
		"msg", "decision", "request", q.call.ID, "send", q.sends + 1, "route", q.route.Name, "service", q.service, "config", q.configVersion,
		"workspace", q.workspaceName(), "config_age", v.ConfigAge().Round(time.Millisecond), "proof_age", v.ConfigStaleness().Round(time.Millisecond), "instances_age", v.InstancesAge().Round(time.Millisecond),
		"reason", p.Reason, "prompt", q.call.PromptTokens, "uncached", p.Uncached, "late", p.Late, "rank", p.Rank, "ahead", p.QueueDelay.Round(time.Millisecond), "read", p.PrefillTime.Round(time.Millisecond),
		"left", time.Until(q.deadline).Round(time.Millisecond), "first_event_left", time.Until(q.firstEventDeadline()).Round(time.Millisecond),
	}
	if p.DecidedBy != "" {
		kv = append(kv, "by", p.DecidedBy)
	}
	if p.PrefillEngine != nil {
		kv = append(kv, "subject", q.call.PromptPrefix(), "reader", p.PrefillEngine.ID)
	}
	if p.FetchFrom != nil {
		kv = append(kv, "fetch_from", p.FetchFrom.ID)
	}
	if p.Target != nil {
		kv = append(kv, "runner", p.Target.ID, "software", p.Target.Software)
	}
	if q.call.Resumes != "" || q.call.LastEvent != "" {
		kv = append(kv, "resumes", q.call.Resumes, "after", q.call.LastEvent)
	}
	level.Debug(q.s.o.Logger).Log(kv...)
}

const (
	// maxLoggedBytes bounds what is logged of a malformed event.
	maxLoggedBytes = 64
	// maxLoggedText bounds what is logged, and repeated in responses, of a text that a client chooses.
	maxLoggedText = 256
)

// shorten cuts a text of a client at maxLoggedText.
func shorten(text string) string {
	if len(text) <= maxLoggedText {
		return text
	}
	return text[:maxLoggedText] + "..."
}

// logMalformedEvent logs and counts bytes that an instance sent in place of the next event.
func (q *request) logMalformedEvent(from *fleet.Instance, event []byte, err error) {
	q.s.count("malformed_events")
	level.Warn(q.s.o.Logger).Log(append([]any{
		"msg", "malformed event", "request", q.call.ID, "route", q.route.Name, "instance", from.ID, "send", q.sends, "after", q.resumeAfter(), "events", q.events,
		"reason", err, "bytes", len(event), "begins", fmt.Sprintf("%q", event[:min(len(event), maxLoggedBytes)]),
	}, q.evidenceFields()...)...)
}

// logUnexpectedResponse logs and counts a successful response that is not what the route asks for.
func (q *request) logUnexpectedResponse(from *fleet.Instance, resp *upstream.Response, err error) {
	q.s.count("unexpected_responses")
	level.Warn(q.s.o.Logger).Log(append([]any{
		"msg", "unexpected response", "request", q.call.ID, "route", q.route.Name, "instance", from.ID, "send", q.sends, "after", q.resumeAfter(), "events", q.events,
		"reason", err, "status", resp.Status, "type", fmt.Sprintf("%.64q", strings.Join(resp.Header.Values("Content-Type"), ", ")), "length", resp.Length,
	}, q.evidenceFields()...)...)
}

// evidenceFields returns what the last exchange rested on, for a log line.
func (q *request) evidenceFields() []any {
	if q.evidence == nil {
		return nil
	}
	out := q.evidence.LogFields()
	if q.evidence.Helper != "" {
		out = append(out, "via", q.evidence.Helper)
	}
	return out
}

// logOutcome logs and counts the outcome of the request.
func (q *request) logOutcome(outcome string, err error) {
	took := time.Since(q.arrived)
	q.s.count("outcome." + outcome)
	q.s.time("duration", took)
	kv := []any{
		"msg", "request", "request", q.call.ID, "workspace", q.workspaceName(), "route", q.route.Name, "service", q.service, "config", q.configVersion, "outcome", outcome,
		"sends", q.sends, "runs", q.runs, "events", q.events, "may_have_run", q.lifecycle.MayHaveRun(), "relayed_as", q.relayedAs,
		"read", q.prefillTime.Round(time.Millisecond), "took", took.Round(time.Millisecond),
	}
	if q.plan.Target != nil {
		kv = append(kv, "runner", q.plan.Target.ID)
	}
	kv = append(kv, q.evidenceFields()...)
	if outcome == string(placement.ReasonNonePermitted) || outcome == string(placement.ReasonFull) {
		kv = append(kv, "out_of_use", q.outOfUse())
	}
	if q.lifecycle.MayHaveRun() && err != nil {
		kv = append(kv, "fingerprint", q.fingerprint())
	}
	if err == nil {
		level.Debug(q.s.o.Logger).Log(kv...)
		return
	}
	level.Warn(q.s.o.Logger).Log(append(kv, "err", err)...)
}
