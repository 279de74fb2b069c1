package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// load has n clients, each with a connection of its own, send a request at every tick, and returns what they got.
func (w *world) load(n int, tick, length time.Duration, method, target string) []outcome {
	var mu sync.Mutex
	var all []outcome
	var wg sync.WaitGroup
	begun := time.Now()
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &client{w: w, to: w.gateways[i%len(w.gateways)]}
			defer c.drop()
			for at := time.Duration(0); at < length; at += tick {
				time.Sleep(time.Until(begun.Add(at)))
				o := c.send(method, target)
				mu.Lock()
				all = append(all, o)
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return all
}

const (
	// The dose of the disruption: for_s, share and x of the site file's entry for extra answers that are late.
	garbleTime     = 5 * time.Second
	garbledEngines = 3 // of five: 0.6
	garbledAnswers = 0.03
)

// garble has some engines send some of their answers twice, for garbleTime at a time and as long again not.
func (w *world) garble(length time.Duration) {
	begun := time.Now()
	for share := garbledAnswers; time.Since(begun) < length; share = garbledAnswers - share {
		for _, e := range w.engines[:garbledEngines] {
			e.setDoubled(share)
		}
		w.note("%d of %d engines send %.2f of their answers twice", garbledEngines, len(w.engines), share)
		time.Sleep(garbleTime)
	}
}

// lateRejection: an engine sends a few of its answers a second time, late, in the place where the next
// answer on the connection is due. Some of these are rejections. No request of an unsafe route may run twice.
func lateRejection(w *world) (bool, error) {
	for n := range 5 {
		e, err := w.startEngine(fmt.Sprintf("i-%d", n+1))
		if err != nil {
			return false, err
		}
		e.echoOnRejection = os.Getenv("ECHO_ID") == "1"
	}
	w.configure(7, newRoute("r-pay", "/pule252/", "unsafe", 1))
	if err := w.startGateways(3); err != nil {
		return false, err
	}
	const length = 60 * time.Second
	if w.trouble {
		go w.garble(length)
	}
	all := w.load(40, 125*time.Millisecond, length, "POST", "/pule252/2f")
	time.Sleep(time.Second)
	status := map[string]int{}
	answers := map[int]int{}
	for _, o := range all {
		status[o.id] = o.status
		answers[o.status]++
	}
	runs, rejections, repeats := map[string]int{}, 0, 0
	for _, e := range w.engines {
		repeats += e.repeated()
		for _, a := range e.snapshot() {
			if a.ran {
				runs[a.id]++
			} else {
				rejections++
			}
		}
	}
	twice, refusedAndRun := 0, 0
	for id, n := range runs {
		if n > 1 {
			twice++
			w.note("TWICE: %s ran %d times, its client got %d", id, n, status[id])
		}
		if status[id] == 503 || status[id] == 429 {
			refusedAndRun++
			w.note("REFUSED: %s ran, its client got %d", id, status[id])
		}
	}
	w.note("%d requests, answers by status %v, %d ran, %d rejections, %d answers sent twice; %d ran more than once, %d were refused and ran", len(all), answers, len(runs), rejections, repeats, twice, refusedAndRun)
	return twice > 0, nil
}

// doubleSlash: the operator adds a route for all paths of the host. A request must reach the engine with the
// path that its client sent, also if that begins with two slashes.
func doubleSlash(w *world) (bool, error) {
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		if _, err := w.startEngine(id); err != nil {
			return false, err
		}
	}
	first := newRoute("r-pay", "/pule252/", "unsafe", 1)
	w.configure(7, first)
	if err := w.startGateways(3); err != nil {
		return false, err
	}
	if w.trouble {
		w.configure(9, first, newRoute("r-all", "/", "unsafe", 1))
	}
	time.Sleep(2500 * time.Millisecond) // config_apply_ms and half a second
	const target = "//pule252/2f?v=1"
	known := w.load(6, 100*time.Millisecond, 3*time.Second, "POST", "/pule252/2f?v=1")
	all := w.load(6, 100*time.Millisecond, 3*time.Second, "POST", target)
	answers := map[int]int{}
	sent := map[string]string{}
	for _, o := range known {
		sent[o.id] = "/pule252/2f?v=1"
	}
	for _, o := range all {
		answers[o.status]++
		sent[o.id] = target
	}
	changed, ran := 0, 0
	for _, e := range w.engines {
		for _, a := range e.snapshot() {
			if !a.ran {
				continue
			}
			ran++
			if a.target != sent[a.id] || a.method != "POST" {
				changed++
				if changed <= 5 {
					w.note("UNASKED: %s was sent as POST %s and ran as %s %s", a.id, sent[a.id], a.method, a.target)
				}
			}
		}
	}
	w.note("%d requests with one slash, %d with two, answers to these by status %v, %d ran, %d of them under another path", len(known), len(all), answers, ran, changed)
	return changed > 0, nil
}
