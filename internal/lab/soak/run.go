package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	// startTimeout bounds the start of all processes: hundreds share a few cores.
	startTimeout = 90 * time.Second
	// warmUp is for how long requests pass before the first fault.
	warmUp = 2 * time.Second
	// calm is for how long requests pass after the recovery.
	calm = 3 * time.Second
	// settleTime is how long instances are watched after the last request: an engine may
	// carry out late what it was sent.
	settleTime = 2 * time.Second
	// startGap spreads the starts of processes.
	startGap = 10 * time.Millisecond
	// progressEvery is how often progress is told.
	progressEvery = 5 * time.Second
	poll          = 50 * time.Millisecond
)

// Run plays the schedule of a seed and checks what was seen. An error says that the soak
// itself failed.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := clearDir(o.Dir); err != nil {
		return nil, err
	}
	w, err := newWorld(ctx, o)
	if err != nil {
		return nil, err
	}
	defer w.close()
	if err := w.connect(); err != nil {
		return nil, err
	}
	op := &operator{w: w}
	op.change()
	if err := w.startAll(); err != nil {
		return nil, err
	}
	w.watchStarvation()
	stopProgress := w.tellProgress()
	stopCallers := w.call(op)
	time.Sleep(warmUp)
	actions := Schedule(o.Seed, o.Processes, w.o.Layout, o.Length)
	w.play(op, actions)
	healed, err := w.heal()
	stopCallers()
	stopProgress()
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	w.stopAll()
	if err := w.failed(); err != nil {
		return nil, err
	}
	return check(w, healed), nil
}

// clearDir removes what an earlier run left in a directory.
func clearDir(dir string) error {
	old, err := filepath.Glob(filepath.Join(dir, "gateway-*"))
	if err != nil {
		return fmt.Errorf("directory %s cannot be listed: %w", dir, err)
	}
	for _, file := range old {
		if err := os.Remove(file); err != nil {
			return fmt.Errorf("file of an earlier run: %w", err)
		}
	}
	return nil
}

// startAll starts all processes and waits until the balancer has them all.
func (w *world) startAll() error {
	for _, g := range w.gates {
		if err := g.writeSettings(); err != nil {
			return err
		}
		if err := g.start(); err != nil {
			return err
		}
		time.Sleep(startGap)
	}
	w.balance()
	return w.await("all processes are ready", startTimeout, func() bool { return len(w.readyProcesses()) == len(w.gates) })
}

func (w *world) await(what string, within time.Duration, cond func() bool) error {
	deadline := time.Now().Add(within)
	for !cond() {
		if time.Now().After(deadline) || w.ctx.Err() != nil {
			return fmt.Errorf("waited %s in vain until %s; the logs are in %s", within, what, w.o.Dir)
		}
		time.Sleep(poll)
	}
	return nil
}

// call has callers send requests until the returned function is called.
func (w *world) call(op *operator) (stop func()) {
	ctx, cancel := context.WithCancel(w.ctx)
	var all sync.WaitGroup
	for n := range w.o.CallersEach * w.o.Processes {
		all.Add(1)
		go func() {
			defer all.Done()
			newCaller(w, op, n, n%w.o.Processes).run(ctx)
		}()
	}
	return func() { cancel(); all.Wait() }
}

// play carries out the actions at their times.
func (w *world) play(op *operator, actions []Action) {
	begun := time.Now()
	for _, a := range actions {
		select {
		case <-w.ctx.Done():
			return
		case <-time.After(time.Until(begun.Add(a.At))):
		}
		w.strike(op, a)
	}
	time.Sleep(time.Until(begun.Add(w.o.Length)))
}

// heal waits until all faults have ended, has every process run, and returns when that was so.
// Requests pass for the time of recovery and a while longer.
func (w *world) heal() (time.Time, error) {
	err := w.await("all processes run again", w.o.Bounds.Grace+startTimeout, func() bool {
		if w.pending.Load() > 0 {
			return false
		}
		for _, g := range w.gates {
			if _, serving := g.state(); !serving {
				return false
			}
		}
		return true
	})
	if err != nil {
		return time.Time{}, err
	}
	healed := time.Now()
	time.Sleep(w.o.Bounds.Recovery + calm)
	return healed, nil
}

// stopAll asks all processes to end, as at the end of a deployment.
func (w *world) stopAll() {
	for _, g := range w.gates {
		g.stop()
	}
	for _, g := range w.gates {
		<-g.done()
	}
}

// tellProgress prints a line now and then until the returned function is called.
func (w *world) tellProgress() (stop func()) {
	if w.o.Progress == nil {
		return func() {}
	}
	begun, done := time.Now(), make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(progressEvery):
			}
			w.facts.mu.Lock()
			faults, exits := len(w.facts.Disturbances), len(w.facts.Exits)
			calls, arrivals := len(w.facts.Calls), len(w.facts.Arrivals)
			w.facts.mu.Unlock()
			fmt.Fprintf(w.o.Progress, "%4.0f s: %d faults and changes, %d processes ended, %d ready of %d, %d requests, %d arrivals at instances\n",
				time.Since(begun).Seconds(), faults, exits, len(w.readyProcesses()), len(w.gates), calls, arrivals)
		}
	}()
	return func() { close(done) }
}
