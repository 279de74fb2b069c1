package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond // heartbeat_ms
	// downTime is for_s of the crash, and lapse the three heartbeats after which an entry is removed.
	downTime = 2 * time.Second
	lapse    = 3 * heartbeat
	// The zone is lost at a moment at which each server has a read in work, or after this time.
	maxCrashWait = 10 * time.Second
)

// crash ends an engine as a crash of its process does: its connections are reset, and its port refuses new ones. It
// comes back at the same address as a new engine.
func (w *world) crash(e *engine) {
	e.mu.Lock()
	_ = e.listener.Close()
	for conn := range e.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	inWork := e.running
	e.mu.Unlock()
	w.note("engine %s crashes with %d requests in work", e.id, inWork)
	time.AfterFunc(lapse, func() { w.store.Remove("servers", e.id) })
	time.AfterFunc(downTime, func() {
		next, err := w.startEngineAt(e.id+"b", e.listener.Addr().String())
		if err != nil {
			w.note("engine %s does not come back: %v", e.id, err)
			return
		}
		next.work = e.work
		w.note("engine %s is back as %s", e.id, next.id)
	})
}

// tally counts the answers to requests that were sent in one part of the run.
type tally struct{ total, served int }

func (t tally) share() float64 { return float64(t.served) / float64(max(t.total, 1)) }

// answered is a request with the time at which it was sent.
type answered struct {
	at     time.Time
	kind   string
	status int
}

// between counts the requests of a kind, of all kinds if it is empty, that were sent in a time.
func between(all []answered, kind string, from, to time.Time) (t tally) {
	for _, a := range all {
		if (kind == "" || a.kind == kind) && !a.at.Before(from) && a.at.Before(to) {
			t.total++
			if a.status == http.StatusOK {
				t.served++
			}
		}
	}
	return t
}

// callers are clients of several kinds of requests.
type callers struct {
	w  *world
	wg sync.WaitGroup

	mu  sync.Mutex
	all []answered
}

// start has n clients send a request in each tick until the time is over. targetOf returns the target of a request.
func (c *callers) start(kind string, n int, tick, length time.Duration, method string, targetOf func(n int) string) {
	begun := time.Now()
	for i := range n {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			one := &client{w: c.w, to: c.w.gateways[i%len(c.w.gateways)]}
			defer one.drop()
			for at, sent := time.Duration(0), 0; at < length; at, sent = at+tick, sent+1 {
				time.Sleep(time.Until(begun.Add(at + rand.N(tick))))
				a := answered{at: time.Now(), kind: kind}
				a.status = one.send(method, targetOf(sent)).status
				c.mu.Lock()
				c.all = append(c.all, a)
				c.mu.Unlock()
			}
		}()
	}
}

const (
	kindRead, kindCheck = "kill-switch", "flag-check"
	// The operator adds the route of the reads after addAfter. The servers are lost crashAfter that, and from
	// settled after their crash nothing is disturbed any more: they are back, and contact_ms have passed.
	addAfter   = 3 * time.Second
	applyTime  = 2500 * time.Millisecond // config_apply_ms and half a second
	crashAfter = 8 * time.Second
	settled    = 8 * time.Second
	afterCrash = 50 * time.Second
	// minRequests is the number of requests on routes added later from which the rule holds.
	minRequests = 20
)

// lockedOut: the operator adds a route for reads; later the servers are lost with their zone for two seconds. In
// steady state, requests on the added route must be served at least a quarter as often as those on the first one.
func lockedOut(w *world) (bool, error) {
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		e, err := w.startEngine(id)
		if err != nil {
			return false, err
		}
		e.work = 25 * time.Millisecond // cold_x of the small sites
	}
	check, read := newRoute("r-flag-check", "/pule252/", "unsafe", 1), newRoute("r-kill-switch", "/puxa403/", "safe", 2)
	w.configure(7, check)
	if err := w.startGateways(3); err != nil {
		return false, err
	}
	c := &callers{w: w}
	begun := time.Now()
	c.start(kindCheck, 30, 200*time.Millisecond, addAfter+applyTime+crashAfter+afterCrash, "POST", func(n int) string { return fmt.Sprintf("/pule252/%x", n) })
	time.Sleep(addAfter)
	w.configure(9, check, read)
	time.Sleep(applyTime)
	c.start(kindRead, 24, 200*time.Millisecond, crashAfter+afterCrash, "GET", func(int) string { return "/puxa403/2f" })
	time.Sleep(crashAfter)
	if w.trouble {
		w.crashAll(w.engines[:3])
	}
	crashed := time.Now()
	c.wg.Wait()
	steady := func(kind string) tally {
		before, after := between(c.all, kind, begun, crashed.Add(-time.Second)), between(c.all, kind, crashed.Add(settled), time.Now())
		return tally{before.total + after.total, before.served + after.served}
	}
	first, added := steady(kindCheck), steady(kindRead)
	broken := added.total >= minRequests && added.share() < first.share()/4
	w.note("in steady state: first route %d of %d served (%.3f), added route %d of %d (%.3f); CONFIG broken: %t", first.served, first.total, first.share(), added.served, added.total, added.share(), broken)
	return broken, nil
}

// crashAll crashes engines together, once each of them has a read in work.
func (w *world) crashAll(lost []*engine) {
	for until := time.Now().Add(maxCrashWait); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if !slices.ContainsFunc(lost, func(e *engine) bool { return !e.hasRead() }) {
			break
		}
	}
	for _, e := range lost {
		w.crash(e)
	}
}
