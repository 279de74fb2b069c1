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
	// startTimeout limits the start of all processes; it allows for hundreds of them sharing a few
	// cores.
	startTimeout = 90 * time.Second
	// warmUp is how long clients send requests before the first fault.
	warmUp = 2 * time.Second
	// postRecoveryTime is how long clients send requests after the recovery time. It is the time in which everything that is
	// asked for must be served.
	postRecoveryTime = minAskedTime + time.Second
	// settleTime is how long instances are observed after the last request, because an engine may
	// carry out an order late.
	settleTime = 2 * time.Second
	// startGap is the delay between the starts of two processes.
	startGap = 10 * time.Millisecond
	// progressInterval is the time between two progress lines.
	progressInterval = 5 * time.Second
	pollInterval     = 50 * time.Millisecond
)

// Run executes the schedule of a seed and checks the guarantees. An error means that the soak
// itself failed, not that a guarantee was violated.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := clearDir(o.Dir); err != nil {
		return nil, err
	}
	w, err := newWorld(ctx, o)
	if err != nil {
		return nil, err
	}
	defer w.close()
	if err := w.createLinks(); err != nil {
		return nil, err
	}
	op := &operator{w: w}
	op.writeNext()
	if err := w.startAll(); err != nil {
		return nil, err
	}
	w.watchStarvation()
	if o.CPUShare > 0 {
		for _, g := range w.gateways {
			go g.throttle(o.CPUShare)
		}
	}
	stopProgress := w.printProgress()
	stopClients := w.startClients(op)
	time.Sleep(warmUp)
	actions := Schedule(o.Seed, o.Processes, w.o.Layout, o.Length)
	w.runSchedule(op, actions)
	faultsEnded, err := w.waitForRecovery()
	stopClients()
	stopProgress()
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	w.stopAll()
	if err := w.recordedFailure(); err != nil {
		return nil, err
	}
	return check(w, faultsEnded), nil
}

// clearDir removes the files of an earlier run from a directory.
func clearDir(dir string) error {
	old, err := filepath.Glob(filepath.Join(dir, "gateway-*"))
	if err != nil {
		return fmt.Errorf("cannot list directory %s: %w", dir, err)
	}
	for _, file := range old {
		if err := os.Remove(file); err != nil {
			return fmt.Errorf("cannot remove file of an earlier run: %w", err)
		}
	}
	return nil
}

// startAll starts all processes and waits until the balancer has marked all of them ready.
func (w *world) startAll() error {
	for _, g := range w.gateways {
		if err := g.writeSettings(); err != nil {
			return err
		}
		if err := g.start(); err != nil {
			return err
		}
		time.Sleep(startGap)
	}
	w.runBalancer()
	return w.waitFor("all processes are ready", startTimeout, func() bool { return len(w.readyProcesses()) == len(w.gateways) })
}

func (w *world) waitFor(what string, within time.Duration, cond func() bool) error {
	deadline := time.Now().Add(within)
	for !cond() {
		if time.Now().After(deadline) || w.ctx.Err() != nil {
			return fmt.Errorf("gave up after %s waiting until %s; the logs are in %s", within, what, w.o.Dir)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// startClients starts the clients, which send requests until the returned function is called.
func (w *world) startClients(op *operator) (stop func()) {
	ctx, cancel := context.WithCancel(w.ctx)
	var all sync.WaitGroup
	for n := range w.o.ClientsPerProcess * w.o.Processes {
		all.Add(1)
		go func() {
			defer all.Done()
			newClient(w, op, n, n%w.o.Processes).run(ctx)
		}()
	}
	w.startUploaders(ctx, op, &all)
	w.startMisbehaving(ctx, &all)
	all.Go(func() { w.watchResources(ctx) })
	return func() { cancel(); all.Wait() }
}

// runSchedule performs the actions at their times.
func (w *world) runSchedule(op *operator, actions []Action) {
	begun := time.Now()
	w.scheduleBegun.Store(&begun)
	for _, a := range actions {
		select {
		case <-w.ctx.Done():
			return
		case <-time.After(time.Until(begun.Add(a.At))):
		}
		w.applyAction(op, a)
	}
	time.Sleep(time.Until(begun.Add(w.o.Length)))
}

// waitForRecovery waits until all faults have ended and every process is running, and returns the
// time at which that was the case. Clients keep sending requests for the recovery time and
// postRecoveryTime.
func (w *world) waitForRecovery() (time.Time, error) {
	err := w.waitFor("all processes run again", w.o.Bounds.Grace+startTimeout, func() bool {
		if w.pending.Load() > 0 {
			return false
		}
		for _, g := range w.gateways {
			if _, serving := g.state(); !serving {
				return false
			}
		}
		return true
	})
	if err != nil {
		return time.Time{}, err
	}
	faultsEnded := time.Now()
	time.Sleep(w.o.Bounds.Recovery + postRecoveryTime)
	return faultsEnded, nil
}

// stopAll stops all processes gracefully and waits until they have exited.
func (w *world) stopAll() {
	for _, g := range w.gateways {
		g.stop()
	}
	for _, g := range w.gateways {
		<-g.done()
	}
}

// printProgress prints progress lines until the returned function is called.
func (w *world) printProgress() (stop func()) {
	if w.o.Progress == nil {
		return func() {}
	}
	begun, done := time.Now(), make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(progressInterval):
			}
			w.observed.mu.Lock()
			faults, exits := len(w.observed.Disturbances), len(w.observed.Exits)
			calls, arrivals := len(w.observed.Calls), len(w.observed.Arrivals)
			w.observed.mu.Unlock()
			fmt.Fprintf(w.o.Progress, "%4.0f s: %d faults and changes, %d processes ended, %d ready of %d, %d requests, %d arrivals at instances\n",
				time.Since(begun).Seconds(), faults, exits, len(w.readyProcesses()), len(w.gateways), calls, arrivals)
		}
	}()
	return func() { close(done) }
}
