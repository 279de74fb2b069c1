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

// besideStops counts all faults but planned stops.
func besideStops(d *Disturbance) bool { return d.Fault != FaultStop }

// stopsCutNothing: a process that is asked to end answers all that it has read.
func (c *checker) stopsCutNothing() Promise {
	p := Promise{Name: "a planned stop cuts no request"}
	for _, call := range c.f.Calls {
		stop := c.stopDuring(call)
		if stop == nil || c.f.disturbed(call.Gateway, call.Sent.Add(-c.o.Bounds.Contact), call.Ended, besideStops) {
			continue
		}
		p.Cases++
		arrivals := c.arrivals[call.ID]
		passedOn := len(arrivals) > 0 || call.took() > c.o.Bounds.Loss
		if call.Left.IsZero() && !call.Whole && !call.Unsent && passedOn && !broken(arrivals) && call.took() < call.Wait {
			p.breach(call.ID, "%s: cut after %s while %s stopped: %s", call.ID, call.took(), gatewayName(call.Gateway), call.Err)
		}
	}
	return p
}

// stopDuring returns the planned stop of its process that a request met.
func (c *checker) stopDuring(call *Call) *Disturbance {
	for _, d := range c.f.Disturbances {
		if d.Fault != FaultStop || !d.From.Before(call.Ended) || !d.From.Add(c.o.Bounds.Grace+time.Second).After(call.Sent) {
			continue
		}
		if slices.Contains(d.Gateways, call.Gateway) {
			return d
		}
	}
	return nil
}

// processesLive: no process ends unless it is told to, nor outlives its grace period.
func (c *checker) processesLive() Promise {
	p := Promise{Name: "processes end only when they are told to, and in time"}
	for _, e := range c.f.Exits {
		p.Cases++
		started := c.f.Starts[e.Gateway][e.Life-1]
		if c.unborn(e, started) {
			continue
		}
		switch {
		case e.Why == "":
			p.breach("", "%s ended by itself with code %d %s, %s after its start", gatewayName(e.Gateway), e.Code, e.Signal, e.At.Sub(started))
		case e.Why == "SIGTERM" && (!e.Overdue || e.Signal == "") && e.Code != 0:
			p.breach("", "%s ended with code %d %s after SIGTERM, %s after its start", gatewayName(e.Gateway), e.Code, e.Signal, e.At.Sub(started))
		// One that ended with a code had exited before the signal at the end of the grace period, which
		// nobody survives; on a busy machine the kernel takes seconds to clear it away.
		case e.Overdue && e.Signal != "" && !c.f.disturbed(e.Gateway, e.At.Add(-c.o.Bounds.Grace-time.Second), e.At, besideStops):
			p.breach("", "%s outlived its grace period: it ended %s after it was asked to, with code %d %s",
				gatewayName(e.Gateway), e.At.Sub(e.Asked), e.Code, e.Signal).signs("process=" + gatewayName(e.Gateway) + " msg=sto")
		}
	}
	return p
}

// birth is how long a program may take until it has asked for its signals: on a busy machine
// one died of SIGHUP 25 ms after its start, and its packages take 40 ms to initialize.
const birth = 2 * time.Second

// unborn reports whether a process died of a signal that it had not asked for yet, and had
// served nobody. Until a program runs, the signal's default action holds. A time for which it was frozen is none
// in which it could ask.
func (c *checker) unborn(e Exit, started time.Time) bool {
	if e.Signal != syscall.SIGTERM.String() && e.Signal != syscall.SIGHUP.String() || c.f.awake(e.Gateway, started, e.At) > birth {
		return false
	}
	return !slices.ContainsFunc(c.f.Calls, func(call *Call) bool {
		return call.Gateway == e.Gateway && call.Life == e.Life && call.Status != 0
	})
}

// awake returns for how long a process was not frozen from its start until a time.
func (f *Facts) awake(gateway int, started, until time.Time) time.Duration {
	freezes := slices.DeleteFunc(slices.Clone(f.Disturbances), func(d *Disturbance) bool {
		return d.Fault != FaultFreeze || !slices.Contains(d.Gateways, gateway) || d.From.Before(started)
	})
	slices.SortFunc(freezes, func(a, b *Disturbance) int { return a.From.Compare(b.From) })
	awake, from := time.Duration(0), started
	for _, d := range freezes {
		if !d.From.Before(until) {
			break
		}
		awake += max(0, d.From.Sub(from))
		if d.To.After(from) {
			from = d.To
		}
	}
	return awake + max(0, until.Sub(from))
}

// signs are what a log holds of a defect.
var signs = [][]byte{[]byte("panic:"), []byte("DATA RACE"), []byte("fatal error:")}

func (c *checker) logsAreClean() Promise {
	p := Promise{Name: "no log shows a panic or a data race"}
	files, err := filepath.Glob(filepath.Join(c.o.Dir, "gateway-*.log"))
	if err != nil {
		p.breach("", "logs cannot be listed: %s", err)
	}
	for _, file := range files {
		p.Cases++
		text, err := os.ReadFile(file)
		if err != nil {
			p.breach("", "log cannot be read: %s", err)
			continue
		}
		for _, sign := range signs {
			if at := bytes.Index(text, sign); at >= 0 {
				p.breach("", "%s: %s", filepath.Base(file), fmt.Sprintf("%q", text[at:min(len(text), at+200)]))
			}
		}
	}
	return p
}
