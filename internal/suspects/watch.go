package suspects

import (
	"context"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/quarantine"
)

const (
	// endedWait is how long a request waits to hear whether its instance has ended, so that
	// the next attempt knows; after it the answer is awaited beside.
	endedWait = 20 * time.Millisecond
	// endedTimeout bounds that answer. A host that is dark gives none.
	endedTimeout = time.Second
)

// CrashDetector finds out whether an instance has ended under a request.
type CrashDetector struct {
	Table *quarantine.Table
	// RefusesConnections reports whether an address refuses connections.
	RefusesConnections func(ctx context.Context, address string) bool
	Logger             log.Logger
}

// BrokenConnection is a request whose connection to an instance broke.
type BrokenConnection struct {
	// Request is its id in logs.
	Request     string
	Fingerprint quarantine.Fingerprint
	// Instance names the run of the instance, Address is where it was.
	Instance string
	Address  string
	// RunTime is how long the request had been there.
	RunTime time.Duration
}

// ReportBroken takes in that a connection broke while an instance may have been at work on a request. That the
// instance has ended is shown by its port: a broken connection may also be a cut or a
// reset, of which this process is as likely the cause.
func (w *CrashDetector) ReportBroken(b BrokenConnection) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), endedTimeout)
		defer cancel()
		if !w.RefusesConnections(ctx, b.Address) {
			return
		}
		v := w.Table.RecordCrash(b.Fingerprint, b.Instance, b.RunTime)
		level.Warn(w.Logger).Log("msg", "instance ended under a request", "request", b.Request, "fingerprint", b.Fingerprint, "instance", b.Instance,
			"ran", b.RunTime.Round(time.Millisecond), "ended", strings.Join(v.CrashedInstances, ","), "refused", v.Refused, "refused_for", v.RetryAfter.Round(time.Second))
	}()
	select {
	case <-done:
	case <-time.After(endedWait):
	}
}

// QuarantinedError returns the error for a request that is refused, where by says how that is known.
func QuarantinedError(by string) error {
	return fault.Newf(fault.Denied, "check the request; it is tried again after the time in Retry-After",
		"instances ended while they ran this request: %s", by)
}
