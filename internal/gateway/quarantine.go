package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/quarantine"
)

const (
	// codeQuarantined is the outcome of a request that ends the instances that run it.
	codeQuarantined = "quarantined"
	// endedWait is how long a request waits to hear whether its instance has ended, so that
	// the next attempt knows; after it the answer is awaited beside.
	endedWait = 20 * time.Millisecond
	// endedTimeout bounds that answer. A host that is dark gives none.
	endedTimeout = time.Second
)

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
	v := q.s.o.Quarantine.Judge(q.fingerprint())
	if !v.Refused {
		return nil
	}
	return refusedBy(v.Ended, v.RetryAfter)
}

func refusedBy(ended []string, retryAfter time.Duration) *reply {
	err := fault.Newf(fault.Denied, "check the request; it is tried again after the time in Retry-After",
		"instances ended while they ran this request: %s", strings.Join(ended, ", "))
	return given(codeQuarantined, err, retryAfter)
}

// broke takes in that the connection to an instance that may have been at work on the request broke.
// That the instance has ended is shown by its port: a broken connection may also be a cut or a
// reset, of which this process is as likely the cause. One that was leaving has ended as planned.
func (q *request) broke(i *fleet.Instance) {
	if q.gone || q.ctx.Err() != nil || !q.s.o.View().Takes(q.service, i.ID) {
		return
	}
	ran := bootclock.Since(q.sentAt)
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), endedTimeout)
		defer cancel()
		if !q.s.o.Client.Refuses(ctx, i.Address) {
			return
		}
		v := q.s.o.Quarantine.Ended(q.fingerprint(), i.Run(), ran)
		level.Warn(q.s.o.Logger).Log("msg", "instance ended under a request", "request", q.call.ID, "fingerprint", q.fingerprint(), "instance", i.Run(),
			"ran", ran.Round(time.Millisecond), "ended", strings.Join(v.Ended, ","), "refused", v.Refused, "refused_for", v.RetryAfter.Round(time.Second))
	}()
	select {
	case <-done:
	case <-time.After(endedWait):
	}
}

// sound takes in that an instance has run the request to a good end.
func (q *request) sound() {
	if !q.s.o.Quarantine.Empty() {
		q.s.o.Quarantine.Sound(q.fingerprint())
	}
}
