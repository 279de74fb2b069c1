package gateway

import (
	"strings"
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/suspects"
	"github.com/rockdoor/rockdoor/quarantine"
)

// codeQuarantined is the outcome of a request that is rejected because instances crashed while
// they ran it.
const codeQuarantined = "quarantined"

// fingerprint returns a hash of the request that is the same for each attempt and each retry by
// the client.
func (q *request) fingerprint() quarantine.Fingerprint {
	if q.cachedFingerprint == (quarantine.Fingerprint{}) {
		q.cachedFingerprint = quarantine.FingerprintOf(q.workspaceName(), q.http.Method, q.http.Host, q.http.RequestURI, q.body)
	}
	return q.cachedFingerprint
}

// fingerprintForScheduler returns the fingerprint if another process may place the request, as its
// quarantine table may have newer entries. It is zero if this process places its own requests,
// since it has already checked its table.
func (q *request) fingerprintForScheduler() quarantine.Fingerprint {
	if q.trial || q.s.o.View().Scheduling {
		return quarantine.Fingerprint{}
	}
	return q.fingerprint()
}

// quarantineReply returns the rejection of a quarantined request, nil if the request may be sent.
func (q *request) quarantineReply() *reply {
	if q.s.o.Quarantine.Empty() {
		return nil
	}
	v := q.s.o.Quarantine.Admit(q.fingerprint())
	if !v.Refused {
		q.trial = v.Trial
		v = q.s.o.Quarantine.AdmitParts(q.parts())
		q.trial = q.trial || v.Trial
	}
	if !v.Refused {
		return nil
	}
	return quarantineRejection(strings.Join(v.CrashedInstances, ", "), v.RetryAfter)
}

func quarantineRejection(evidence string, retryAfter time.Duration) *reply {
	return replyFromState(codeQuarantined, suspects.QuarantinedError(evidence), retryAfter)
}

// cancelUnusedTrial lets another request be tried if this one was permitted as a trial and has not run.
func (q *request) cancelUnusedTrial() {
	if q.trial && !q.lifecycle.MayHaveRun() {
		q.s.o.Quarantine.CancelTrial(q.fingerprint(), q.parts())
	}
}

// newlyQuarantined reports whether the request has been quarantined since it was placed.
func (q *request) newlyQuarantined() bool {
	return !q.trial && !q.s.o.Quarantine.Empty() && q.s.isQuarantined(q.fingerprint(), q.parts())
}

// parts returns the parts of the prompt that may crash instances. The last one belongs to the request itself.
func (q *request) parts() []quarantine.Part {
	if q.cachedParts == nil {
		q.cachedParts = quarantine.PartsOf(q.workspaceName(), q.call.Model, q.sharedParts())
	}
	return q.cachedParts
}

// sharedParts returns the IDs of the parts of the prompt that other requests may share.
func (q *request) sharedParts() []string {
	var out []string
	for _, p := range q.call.Parts[:max(len(q.call.Parts)-1, 0)] {
		out = append(out, p.ID)
	}
	return out
}

// reportBrokenConnection reports to the quarantine that the connection to an instance broke while it
// may have been running the request. An instance that was shutting down has exited as planned and is
// not reported.
func (q *request) reportBrokenConnection(i *fleet.Instance) {
	q.reportBroken(i, nil)
}

// reportBrokenRun is reportBrokenConnection for an instance that was to write the response. If it has not brought an event,
// a part of the prompt may have crashed it.
func (q *request) reportBrokenRun(i *fleet.Instance) {
	if q.events > 0 {
		q.reportBroken(i, nil)
		return
	}
	q.reportBroken(i, q.parts())
}

func (q *request) reportBroken(i *fleet.Instance, suspected []quarantine.Part) {
	if q.clientGone || q.ctx.Err() != nil || !q.s.o.View().Accepts(q.service, i.ID) {
		return
	}
	q.s.crashDetector.ReportBroken(suspects.BrokenConnection{
		Request: q.call.ID, Fingerprint: q.fingerprint(), Instance: i.RunID(), Address: i.Address, RunTime: bootclock.Since(q.sentAt),
		Parts: q.sharedParts(), Begun: q.events > 0, SuspectedParts: suspected,
	})
}

// reportSuccess reports to the quarantine that an instance ran the request successfully.
func (q *request) reportSuccess(i *fleet.Instance) {
	if !q.s.o.Quarantine.Empty() {
		q.s.o.Quarantine.RecordCompletion(q.fingerprint(), i.RunID())
		q.s.o.Quarantine.RecordPartSuccess(q.parts(), i.RunID())
	}
}

// reportBegun reports to the quarantine that an instance has begun to write the response.
func (q *request) reportBegun(i *fleet.Instance) {
	if !q.s.o.Quarantine.Empty() {
		q.s.o.Quarantine.RecordPartSuccess(q.parts(), i.RunID())
	}
}
