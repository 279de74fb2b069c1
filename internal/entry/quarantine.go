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

// fingerprint returns the quarantine fingerprint of the call, which is the same for
// every attempt and for every retry by the client.
func (r *run) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(r.c.workspace.Name, r.c.method, "", r.c.uri, r.c.body)
}

// rejectQuarantined returns an error reply if the call is quarantined because it crashes the targets
// that run it, nil if it may be sent.
func (r *run) rejectQuarantined() *reply {
	if r.s.o.Quarantine.Empty() {
		return nil
	}
	v := r.s.o.Quarantine.Admit(r.fingerprint())
	if !v.Refused {
		return nil
	}
	return errorReply(http.StatusServiceUnavailable, codeQuarantined, suspects.QuarantinedError(strings.Join(v.CrashedInstances, ", ")), v.RetryAfter)
}

// recordResult reports a complete attempt to the quarantine table and an attempt of unknown outcome,
// which may be the crash of its target, to the crash detector. The parameter sent is when the attempt
// was sent. An attempt of unknown outcome does not count if the client has disconnected or its deadline
// has passed, nor if the target is shutting down or carrying out an order, since its end is then planned.
func (r *run) recordResult(s statechart.State, sent time.Time) {
	switch {
	case s == charts.AttemptComplete && !r.s.o.Quarantine.Empty():
		r.s.o.Quarantine.RecordCompletion(r.fingerprint(), r.target.Name)
	case s == charts.AttemptUnknown && r.ctx.Err() == nil && r.s.o.Snapshot().Available(r.target):
		r.s.crashes.ReportBroken(suspects.BrokenConnection{
			Request: r.c.id, Fingerprint: r.fingerprint(), Instance: r.target.Name, Address: r.target.Address, RunTime: time.Since(sent),
		})
	}
}
