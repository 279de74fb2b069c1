package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// maxClientRepeats is how often a client repeats a request that was rejected or not read.
	maxClientRepeats = 2
	// sameIDShare is the share of repeated requests that keep their ID, sameConnShare that of those that go to the same
	// process while the connection is open.
	sameIDShare   = 0.5
	sameConnShare = 0.6
	// In one of ignoresCloseEvery clients, a connection is used on after a response that announces its end.
	ignoresCloseEvery = 4
	// maxRetryShare is the longest part of its timeout for which a client waits as Retry-After tells it to.
	maxRetryShare = 1.0 / 3
)

// ignoresClose reports whether the client sends requests on connections whose end was announced.
func (c *client) ignoresClose() bool { return c.number%ignoresCloseEvery == 0 }

// repeat sends a request again for as long as it has not run, by what the client knows: it was rejected, or its connection
// was closed by a process that was told to stop. What may be repeated is sent again after other failures, too.
func (c *client) repeat(ctx context.Context) {
	for range maxClientRepeats {
		before := c.lastCall
		if ctx.Err() != nil || !mayRepeat(before) || !c.waitToRepeat(before) {
			return
		}
		c.sendCall(c.nextAttempt(before))
	}
}

// mayRepeat reports whether a client may send a request again.
func mayRepeat(call *Call) bool {
	switch {
	case !call.CanceledAt.IsZero(), call.Poisoned, call.Resumes != "", call.Kind == Only:
		return false
	case slices.Contains(refusals, call.Status), call.Unread:
		return true
	}
	return call.Kind == Repeat && (call.Status == 0 || call.Status >= http.StatusInternalServerError)
}

// waitToRepeat waits as the response says, but no longer than a client does, and connects again if need be. It returns false if
// it could not connect.
func (c *client) waitToRepeat(call *Call) bool {
	wait := min(call.RetryAfter, time.Duration(maxRetryShare*float64(call.Timeout)))
	time.Sleep(wait)
	if c.conn != nil && c.rng.Float64() < sameConnShare {
		return true
	}
	c.closeConn()
	if c.rng.Float64() < sameConnShare {
		return c.connect()
	}
	return c.connectToAny()
}

// nextAttempt returns the next attempt of a request, under the same ID or a new one.
func (c *client) nextAttempt(before *Call) *Call {
	next := &Call{
		ID: before.ID, Begun: before.Begun, Attempt: before.Attempt + 1, Kind: before.Kind, Path: before.Path, Body: before.Body, Timeout: before.Timeout,
		Gateway: c.gateway, Incarnation: c.incarnation, ReusedConn: c.connUsed, EndAnnounced: c.toldToClose,
	}
	if next.Begun == "" {
		next.Begun = before.ID
	}
	if c.rng.Float64() >= sameIDShare {
		c.callCount++
		next.ID, next.Attempt = fmt.Sprintf("s%d-c%d-%d", c.w.o.Seed, c.number, c.callCount), 0
	}
	return next
}

// takesForUnread reports whether a client takes a request that got no response for one that was not read: its connection had
// carried others, and had been announced to end, or its process was told to stop.
func (c *client) takesForUnread(call *Call) bool {
	return call.Status == 0 && call.ReusedConn && call.CanceledAt.IsZero() && time.Since(call.Sent) < call.Timeout &&
		(call.EndAnnounced || c.w.gateways[call.Gateway].stopping(call.Incarnation))
}

// cuts are the faults that end connections whose requests have been read.
var cuts = []Fault{FaultKill, FaultFreeze, FaultReset, FaultRefuse, FaultOneWay, FaultSilence, FaultLoss}

// mayHaveBeenCut reports whether a fault may have ended the connection of a call although its process had read it.
func (c *checker) mayHaveBeenCut(call *Call) bool {
	return c.observed.wasDisturbed(call.Gateway, call.Sent.Add(-c.o.Bounds.ContactTime), call.Ended.Add(c.o.Bounds.ContactTime), func(d *Disturbance) bool {
		return slices.Contains(cuts, d.Fault)
	})
}

// closedUnreadNeverRuns checks that a request whose connection was closed without a response by a process that was told to
// stop, or had announced that, does not run.
func (c *checker) closedUnreadNeverRuns() Guarantee {
	g := Guarantee{Name: "requests on connections that were closed unanswered by a process that stops do not run"}
	for _, call := range c.observed.Calls {
		if !call.Unread || c.mayHaveBeenCut(call) {
			continue
		}
		g.Cases++
		for _, a := range c.runs(call) {
			g.addViolation(call.ID, "%s: its connection was closed unanswered (%s), but it ran at %s", call.key(), call.Err, a.Instance)
		}
	}
	return g
}

// atMostOnceOverAttempts checks that a request that must not be retried runs at most once, however often its client sends it
// after a rejection, or after its connection was closed unread.
func (c *checker) atMostOnceOverAttempts() Guarantee {
	g := Guarantee{Name: "requests that must not be retried run at most once over all attempts of their clients"}
	attempts := map[string][]*Call{}
	for _, call := range c.observed.Calls {
		if !call.Kind.AtMostOnce() {
			continue
		}
		first := call.ID
		if call.Begun != "" {
			first = call.Begun
		}
		attempts[first] = append(attempts[first], call)
	}
	for first, calls := range attempts {
		if len(calls) == 1 {
			continue
		}
		g.Cases++
		var ran []string
		for _, call := range calls {
			if call.Unread && c.mayHaveBeenCut(call) {
				continue // nothing promised that it had not run
			}
			for _, a := range c.runs(call) {
				ran = append(ran, call.key()+" at "+a.Instance)
			}
		}
		if len(ran) > 1 {
			g.addViolation(first, "%s: ran %d times in %d attempts: %v", first, len(ran), len(calls), ran)
		}
	}
	return g
}
