package gateway

import (
	"strings"
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/suspects"
	"github.com/rockdoor/rockdoor/quarantine"
)

// codeQuarantined is the outcome of a request that ends the instances that run it.
const codeQuarantined = "quarantined"

// fingerprint returns what is the same in each try of the request.
func (q *request) fingerprint() quarantine.Fingerprint {
	if q.print == (quarantine.Fingerprint{}) {
		q.print = quarantine.FingerprintOf(q.workspaceName(), q.http.Method, q.http.Host, q.http.RequestURI, q.body)
	}
	return q.print
}

// asked returns the fingerprint where another process may decide on the request, which may
// know more of it; zero where this one does.
func (q *request) asked() quarantine.Fingerprint {
	if q.s.o.View().Scheduling {
		return quarantine.Fingerprint{}
	}
	return q.fingerprint()
}

// quarantined returns the refusal of a request that ends the instances that run it, nil if it
// may be sent.
func (q *request) quarantined() *reply {
	if q.s.o.Quarantine.Empty() {
		return nil
	}
	v := q.s.o.Quarantine.Admit(q.fingerprint())
	q.trial = v.Trial
	if !v.Refused {
		return nil
	}
	return refusedBy(strings.Join(v.CrashedInstances, ", "), v.RetryAfter)
}

func refusedBy(known string, retryAfter time.Duration) *reply {
	return given(codeQuarantined, suspects.QuarantinedError(known), retryAfter)
}

// convicted reports whether it has become known since the decision that the request ends instances.
func (q *request) convicted() bool {
	return !q.trial && !q.s.o.Quarantine.Empty() && q.s.o.Quarantine.Verdict(q.fingerprint()).Refused
}

// broke takes in that the connection to an instance that may have been at work on the request broke.
// One that was leaving has ended as planned.
func (q *request) broke(i *fleet.Instance) {
	if q.gone || q.ctx.Err() != nil || !q.s.o.View().Accepts(q.service, i.ID) {
		return
	}
	q.s.watch.ReportBroken(suspects.BrokenConnection{
		Request: q.call.ID, Fingerprint: q.fingerprint(), Instance: i.RunID(), Address: i.Address, RunTime: bootclock.Since(q.sentAt),
	})
}

// sound takes in that an instance has run the request to a good end.
func (q *request) sound() {
	if !q.s.o.Quarantine.Empty() {
		q.s.o.Quarantine.RecordSuccess(q.fingerprint())
	}
}
