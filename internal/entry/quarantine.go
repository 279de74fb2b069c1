package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/rockdoor/rockdoor/internal/charts"
	"github.com/rockdoor/rockdoor/internal/suspects"
	"github.com/rockdoor/rockdoor/quarantine"
	"github.com/rockdoor/rockdoor/statechart"
)

// fingerprint returns what is the same in each try of the call.
func (r *run) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(r.c.workspace.Name, r.c.method, "", r.c.uri, r.c.body)
}

// quarantined returns the refusal of a call that ends the targets that run it, nil if it may
// be sent.
func (r *run) quarantined() *reply {
	if r.s.o.Quarantine.Empty() {
		return nil
	}
	v := r.s.o.Quarantine.Admit(r.fingerprint())
	if !v.Refused {
		return nil
	}
	return refusal(http.StatusServiceUnavailable, codeQuarantined, suspects.QuarantinedError(strings.Join(v.CrashedInstances, ", ")), v.RetryAfter)
}

// observe takes in how an attempt at the target ended that was sent at a time. A target that was
// leaving has ended as planned.
func (r *run) observe(s statechart.State, sent time.Time) {
	switch {
	case s == charts.AttemptComplete && !r.s.o.Quarantine.Empty():
		r.s.o.Quarantine.RecordSuccess(r.fingerprint())
	case s == charts.AttemptUnknown && r.ctx.Err() == nil && r.s.o.Snapshot().Available(r.target):
		r.s.watch.ReportBroken(suspects.BrokenConnection{
			Request: r.c.id, Fingerprint: r.fingerprint(), Instance: r.target.Name, Address: r.target.Address, RunTime: time.Since(sent),
		})
	}
}
