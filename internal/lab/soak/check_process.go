package soak

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

// isNotPlannedStop reports whether a disturbance is anything but a planned stop.
func isNotPlannedStop(d *Disturbance) bool { return d.Fault != FaultStop }

// plannedStopsLoseNothing checks that a process that is stopped responds to all requests that it
// has read.
func (c *checker) plannedStopsLoseNothing() Guarantee {
	g := Guarantee{Name: "a planned stop interrupts no request"}
	for _, call := range c.observed.Calls {
		if call.Slow || c.stopDuring(call) == nil || c.observed.wasDisturbed(call.Gateway, call.Sent.Add(-c.o.Bounds.ContactTime), call.Ended, isNotPlannedStop) {
			continue
		}
		g.Cases++
		if c.interrupted(call, call.Sent) {
			g.addViolation(call.ID, "%s: interrupted after %s while %s stopped: %s", call.ID, call.duration(), gatewayName(call.Gateway), call.Err)
		}
	}
	return g
}

// interrupted reports whether a process left a request that was sent at a time, and that it had read, without its response.
func (c *checker) interrupted(call *Call, sent time.Time) bool {
	arrivals := c.arrivals[call.key()]
	passedOn := len(arrivals) > 0 || call.Ended.Sub(sent) > c.o.Bounds.UnansweredRead
	return call.CanceledAt.IsZero() && !call.Complete && !call.Unsent && passedOn && !anyAborted(arrivals) && call.duration() < call.Timeout
}

// stopDuring returns the planned stop of the process that overlapped with a request, or nil.
func (c *checker) stopDuring(call *Call) *Disturbance {
	for _, d := range c.observed.Disturbances {
		if d.Fault != FaultStop || !d.From.Before(call.Ended) || !d.From.Add(c.o.Bounds.Grace+time.Second).After(call.Sent) {
			continue
		}
		if slices.Contains(d.Gateways, call.Gateway) {
			return d
		}
	}
	return nil
}

// processesExitWhenTold checks that no process exits unless it is told to, nor exceeds its grace
// period.
func (c *checker) processesExitWhenTold() Guarantee {
	g := Guarantee{Name: "processes exit only when they are told to, and in time"}
	for _, e := range c.observed.Exits {
		g.Cases++
		started := c.observed.Starts[e.Gateway][e.Incarnation-1]
		if c.diedBeforeSignalSetup(e, started) {
			continue
		}
		switch {
		case e.SentSignal == "":
			g.addViolation("", "%s exited on its own with code %d %s, %s after its start", gatewayName(e.Gateway), e.Code, e.Signal, e.At.Sub(started))
		case e.SentSignal == "SIGTERM" && (!e.ExceededGrace || e.Signal == "") && e.Code != 0:
			g.addViolation("", "%s exited with code %d %s after SIGTERM, %s after its start", gatewayName(e.Gateway), e.Code, e.Signal, e.At.Sub(started))
		// An exit code shows that the process had exited before the SIGKILL at the end of the grace
		// period, which leaves none. On a busy machine the kernel may take seconds to clean it up.
		case e.ExceededGrace && e.Signal != "" && !c.observed.wasDisturbed(e.Gateway, e.At.Add(-c.o.Bounds.Grace-time.Second), e.At, isNotPlannedStop):
			g.addViolation("", "%s exceeded its grace period: it exited %s after it was asked to, with code %d %s",
				gatewayName(e.Gateway), e.At.Sub(e.StopRequestedAt), e.Code, e.Signal).addLogPatterns("process=" + gatewayName(e.Gateway) + " msg=sto")
		}
	}
	return g
}

// signalSetupTime is how long a program may take to set up its signal handlers. On a busy machine,
// a process died of SIGHUP 25 ms after its start, and its packages take 40 ms to initialize.
const signalSetupTime = 2 * time.Second

// diedBeforeSignalSetup reports whether a process died of a signal within signalSetupTime of its
// start and without having responded to a request. It may not have set up its signal handlers by
// then, so that the signal's default action applied. Time in which the process was frozen does not
// count, because it cannot set up handlers then.
func (c *checker) diedBeforeSignalSetup(e Exit, started time.Time) bool {
	if e.Signal != syscall.SIGTERM.String() && e.Signal != syscall.SIGHUP.String() || c.observed.runningTime(e.Gateway, started, e.At) > signalSetupTime {
		return false
	}
	return !slices.ContainsFunc(c.observed.Calls, func(call *Call) bool {
		return call.Gateway == e.Gateway && call.Incarnation == e.Incarnation && call.Status != 0
	})
}

// runningTime returns how long a process was not frozen, from its start until a time.
func (f *Observations) runningTime(gateway int, started, until time.Time) time.Duration {
	return f.undisturbedTime(gateway, started, until, func(d *Disturbance) bool { return d.Fault == FaultFreeze && !d.From.Before(started) })
}

// undisturbedTime returns how long a process was not disturbed between two times by a fault for which counts returns true.
func (f *Observations) undisturbedTime(gateway int, started, until time.Time, counts func(*Disturbance) bool) time.Duration {
	all := slices.DeleteFunc(slices.Clone(f.Disturbances), func(d *Disturbance) bool { return !d.affects(gateway) || !counts(d) })
	slices.SortFunc(all, func(a, b *Disturbance) int { return a.From.Compare(b.From) })
	undisturbed, from := time.Duration(0), started
	for _, d := range all {
		if !d.From.Before(until) {
			break
		}
		undisturbed += max(0, d.From.Sub(from))
		if d.To.After(from) {
			from = d.To
		}
	}
	return undisturbed + max(0, until.Sub(from))
}

// defectPatterns are texts in a log that show a defect.
var defectPatterns = [][]byte{[]byte("panic:"), []byte("DATA RACE"), []byte("fatal error:")}

func (c *checker) logsAreClean() Guarantee {
	g := Guarantee{Name: "no log shows a panic or a data race"}
	files, err := filepath.Glob(filepath.Join(c.o.Dir, "gateway-*.log"))
	if err != nil {
		g.addViolation("", "cannot list logs: %s", err)
	}
	for _, file := range files {
		g.Cases++
		text, err := os.ReadFile(file)
		if err != nil {
			g.addViolation("", "log cannot be read: %s", err)
			continue
		}
		for _, pattern := range defectPatterns {
			if at := bytes.Index(text, pattern); at >= 0 {
				g.addViolation("", "%s: %s", filepath.Base(file), fmt.Sprintf("%q", text[at:min(len(text), at+200)]))
			}
		}
	}
	return g
}
