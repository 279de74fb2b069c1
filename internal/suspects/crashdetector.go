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
	// crashCheckWait is how long a request waits to learn whether its instance has crashed, so that
	// the next attempt can take it into account. After that the check continues in the background.
	crashCheckWait = 20 * time.Millisecond
	// crashCheckTimeout limits the check. A host that has lost power or network does not respond at all.
	crashCheckTimeout = time.Second
)

// CrashDetector finds out whether an instance crashed while running a request.
type CrashDetector struct {
	Table *quarantine.Table
	// RefusesConnections reports whether an address refuses connections.
	RefusesConnections func(ctx context.Context, address string) bool
	Logger             log.Logger
}

// BrokenConnection describes a request whose connection to an instance broke.
type BrokenConnection struct {
	// Request is the ID of the request in logs.
	Request     string
	Fingerprint quarantine.Fingerprint
	// Instance names the run of the instance, Address is its address.
	Instance string
	Address  string
	// RunTime is how long the request had been running.
	RunTime time.Duration
	// Parts are the IDs of the parts of its prompt that other requests may share, and Begun is true if the instance had
	// begun to respond.
	Parts []string
	Begun bool
	// SuspectedParts are the parts that may be the cause.
	SuspectedParts []quarantine.Part
}

// ReportBroken handles a connection that broke while an instance may have been running a request. The instance
// counts as crashed only if its port refuses connections. A connection may also break by a network failure
// or a reset, which this process is just as likely to have caused.
func (d *CrashDetector) ReportBroken(b BrokenConnection) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		defer cancel()
		if !d.RefusesConnections(ctx, b.Address) {
			return
		}
		v := d.Table.RecordCrash(b.Fingerprint, b.Instance, b.RunTime)
		parts := d.Table.RecordPartCrash(b.SuspectedParts, b.Instance)
		level.Warn(d.Logger).Log("msg", "instance ended under a request", "request", b.Request, "fingerprint", b.Fingerprint, "instance", b.Instance,
			"parts", strings.Join(b.Parts, ","), "begun", b.Begun, "ran", b.RunTime.Round(time.Millisecond), "ended", strings.Join(v.CrashedInstances, ","), "refused", v.Refused, "refused_for", v.RetryAfter.Round(time.Second), "parts_refused", parts.Refused)
	}()
	select {
	case <-done:
	case <-time.After(crashCheckWait):
	}
}

// QuarantinedError returns the error for a quarantined request, where by says how that is known.
func QuarantinedError(by string) error {
	return fault.Newf(fault.Denied, "check the request; it is tried again after the time in Retry-After",
		"instances ended while they ran this request: %s", by)
}
