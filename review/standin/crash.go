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

// tally counts the answers to one kind of request by status.
type tally struct {
	mu    sync.Mutex
	name  string
	total int
	by    map[int]int
}

func (t *tally) add(status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.total++
	t.by[status]++
}

func (t *tally) served() float64 { return float64(t.by[http.StatusOK]) / float64(max(t.total, 1)) }

// callers has n clients send requests at a tick until the time is over. targetOf returns the target of a request.
func (w *world) callers(wg *sync.WaitGroup, t *tally, n int, tick, length time.Duration, method string, targetOf func(n int) string) {
	begun := time.Now()
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &client{w: w, to: w.gateways[i%len(w.gateways)]}
			defer c.drop()
			for at, sent := time.Duration(i)*tick/time.Duration(n), 0; at < length; at, sent = at+tick, sent+1 {
				time.Sleep(time.Until(begun.Add(at + rand.N(tick))))
				t.add(c.send(method, targetOf(sent)).status)
			}
		}()
	}
}

// lockedOut: the servers of a service are lost with their zone for two seconds. Each kind of request must be
// served at least a quarter as often as all.
func lockedOut(w *world) (bool, error) {
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		e, err := w.startEngine(id)
		if err != nil {
			return false, err
		}
		e.work = 25 * time.Millisecond // cold_x of the small sites
	}
	w.configure(7, newRoute("r-flag-check", "/pule252/", "unsafe", 1), newRoute("r-kill-switch", "/puxa403/", "safe", 2))
	if err := w.startGateways(3); err != nil {
		return false, err
	}
	const length = 90 * time.Second
	read, check := &tally{name: "kill-switch", by: map[int]int{}}, &tally{name: "flag-check", by: map[int]int{}}
	var wg sync.WaitGroup
	w.callers(&wg, read, 24, 200*time.Millisecond, length, "GET", func(int) string { return "/puxa403/2f" })
	w.callers(&wg, check, 30, 200*time.Millisecond, length, "POST", func(n int) string { return fmt.Sprintf("/pule252/%x", n) })
	if w.trouble {
		time.Sleep(5 * time.Second)
		lost := w.engines[:3]
		for until := time.Now().Add(maxCrashWait); time.Now().Before(until); time.Sleep(time.Millisecond) {
			if !slices.ContainsFunc(lost, func(e *engine) bool { return !e.hasRead() }) {
				break
			}
		}
		for _, e := range lost {
			w.crash(e)
		}
	}
	wg.Wait()
	all := &tally{total: read.total + check.total, by: map[int]int{200: read.by[200] + check.by[200]}}
	for _, t := range []*tally{read, check} {
		w.note("%s: %d sent, answers by status %v, served %.3f; of all kinds %.3f", t.name, t.total, t.by, t.served(), all.served())
	}
	return read.served() < all.served()/4 || check.served() < all.served()/4, nil
}
