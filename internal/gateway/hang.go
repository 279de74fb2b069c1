package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/placement"
)

const (
	// minHangTime is the shortest time without a first event after which an attempt counts as hung.
	// It is twice the longest slow phase of an engine that works.
	minHangTime = 1200 * time.Millisecond
	// Where clients wait for a shorter time, an attempt counts as hung after hangShare of it, but not before
	// shortestHangTime.
	hangShare        = 1.0 / 3
	shortestHangTime = 300 * time.Millisecond
	// hangFactor is how many times longer than expected an attempt must take to count as hung.
	// A prefill beside others takes up to three times as long as one alone.
	hangFactor = 4
)

// hangTime returns how long an attempt may go without a first event before another instance is
// tried, 0 if the attempt should not be given up. It answers instances that accept a request and then
// do nothing, without a broken connection that would tell so. expected is the estimated time to the
// first event, and left the time until the client gives up. An attempt is only given up while another
// one, which may take as long, still finishes.
func hangTime(expected, left time.Duration) time.Duration {
	if expected < 0 || expected > left/2/hangFactor {
		return 0 // the estimate is invalid or too long; the product could overflow
	}
	short := max(shortestHangTime, time.Duration(hangShare*float64(left)))
	wait := max(min(minHangTime, short), hangFactor*expected)
	if wait > left/2 {
		return 0
	}
	return wait
}

// hangTimeOf returns hangTime for the first attempt of a request of the route that arrives now.
func (s *Server) hangTimeOf(r *fleet.Route, plan *placement.Plan) time.Duration {
	if !s.o.GiveUpHungAttempts || plan.PrefillEngine == nil && !runMayHang(r, plan) {
		return 0
	}
	return hangTime(plan.QueueDelay+plan.PrefillTime, cmp.Or(r.FirstEventTimeout, r.Timeout, defaultTimeout)-rejectionMargin)
}

// hangWatch gives up an attempt that hangs.
type hangWatch struct {
	cancel context.CancelFunc
	timer  *time.Timer

	mu sync.Mutex
	// over is true once the response has begun or the attempt has ended, hung once it was given up, and withdrawn if that
	// was because of its request.
	over, hung, withdrawn bool
}

// withdraw gives the attempt up because its request must not run. It returns false if the response has begun.
func (w *hangWatch) withdraw() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.over || w.hung {
		return false
	}
	w.hung, w.withdrawn = true, true
	w.cancel()
	return true
}

// wasWithdrawn reports whether the attempt was withdrawn.
func (w *hangWatch) wasWithdrawn() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.withdrawn
}

// watchForHang starts to watch an attempt at an instance that begins now. The attempt must use the
// returned context. An attempt is given up only if the retry budget permits the next one, which is
// then already charged.
func (q *request) watchForHang(ctx context.Context, i *fleet.Instance, expected time.Duration) (context.Context, *hangWatch) {
	ctx, cancel := context.WithCancel(ctx)
	w := &hangWatch{cancel: cancel}
	wait := hangTime(expected, time.Until(q.firstEventDeadline()))
	if !q.s.o.GiveUpHungAttempts || wait == 0 || q.sends+1 >= maxSends || !q.hasAlternative(i) {
		return ctx, w
	}
	server, service, id := q.s, q.service, q.call.ID // the request belongs to another goroutine
	w.timer = time.AfterFunc(wait, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.over || w.hung {
			return
		}
		w.hung = server.budget.takeRetry(service)
		level.Info(server.o.Logger).Log("msg", "attempt hangs", "request", id, "instance", i.ID, "waited", wait, "expected", expected, "given_up", w.hung)
		if w.hung {
			server.count("hung")
			cancel()
		}
	})
	return ctx, w
}

// responded ends the watch: the response has begun or the attempt has failed. It returns false if
// the attempt was given up before that.
func (w *hangWatch) responded() bool {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.over = true
	return !w.hung
}

// end releases the watch at the end of the attempt.
func (w *hangWatch) end() {
	w.responded()
	w.cancel()
}

// hasAlternative reports whether an instance other than i may take the attempt.
func (q *request) hasAlternative(i *fleet.Instance) bool {
	permitted, _ := q.permitted(q.s.o.View().Pool(q.route.Name, q.service))
	return slices.ContainsFunc(permitted, func(o *fleet.Instance) bool {
		return o.ID != i.ID && o.Role == i.Role && !q.avoid[o.ID]
	})
}

// runMayHang reports whether it can be told from the time without an event that a run at the target of a
// plan hangs, and whether the run may be repeated then. Only a stream begins before its end, and a plan
// estimates the first event only if its target prefills the prompt.
func runMayHang(r *fleet.Route, plan *placement.Plan) bool {
	estimated := plan.PrefillEngine == nil && plan.QueueDelay+plan.PrefillTime > 0
	return estimated && r.Kind == fleet.Streaming && r.Repeatable() && r.MaxAttempts > 1
}

// mayGiveUpRun reports whether the next run at a target may be given up and repeated elsewhere.
func (q *request) mayGiveUpRun(plan *placement.Plan) bool {
	return runMayHang(q.route, plan) && q.runs+1 < q.route.MaxAttempts && !q.responseStarted
}

// errHung is the error of an attempt that was given up.
func errHung(i *fleet.Instance, w *hangWatch) error {
	if w.wasWithdrawn() {
		return fault.Newf(fault.Unknown, "the request is rejected", "the request was quarantined while instance %s had it", i.ID)
	}
	return fault.Newf(fault.Unknown, "another instance is tried", "instance %s has not begun to respond", i.ID)
}
