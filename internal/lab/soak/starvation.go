package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

const (
	// starvationSampleInterval is the time between two samples of how long the threads of a process
	// waited for a CPU. A process whose longest wait in a sample reaches starvationThreshold counts
	// as disturbed.
	starvationSampleInterval = 500 * time.Millisecond
	starvationThreshold      = 150 * time.Millisecond
)

// FaultStarved marks a process that waited for a CPU according to the kernel's scheduling
// statistics. The soak does not cause this fault; other work on the machine does.
const FaultStarved Fault = "starved"

// watchStarvation records starved processes until the run ends.
func (w *world) watchStarvation() {
	for _, g := range w.gateways {
		go func() {
			before := map[string]time.Duration{}
			for w.ctx.Err() == nil {
				time.Sleep(starvationSampleInterval)
				pid, running := g.pid()
				if !running {
					continue
				}
				now := runDelays(pid)
				if worst := longestWait(before, now); worst >= starvationThreshold {
					w.recordStarvation(g.number, worst)
				}
				before = now
			}
		}()
	}
}

func (w *world) recordStarvation(gateway int, wait time.Duration) {
	now := time.Now()
	w.logEvent("%s waited %s for a CPU", gatewayName(gateway), wait)
	w.observed.record(func() {
		w.observed.Disturbances = append(w.observed.Disturbances, &Disturbance{Fault: FaultStarved, Gateways: []int{gateway}, From: now.Add(-starvationSampleInterval - wait), To: now})
	})
}

// longestWait returns the longest time that a single thread waited between two samples.
func longestWait(before, now map[string]time.Duration) time.Duration {
	longest := time.Duration(0)
	for thread, waited := range now {
		if old, known := before[thread]; known {
			longest = max(longest, waited-old)
		}
	}
	return longest
}

// runDelays returns the total time that each thread of a process has waited for a CPU.
func runDelays(pid int) map[string]time.Duration {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return nil // the pattern is a constant
	}
	out := make(map[string]time.Duration, len(files))
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		// The fields are the time on a CPU, the time waiting for one, and a count of time slices.
		fields := strings.Fields(string(text))
		if len(fields) < 2 {
			continue
		}
		if ns, err := strconv.ParseInt(fields[1], 10, 64); err == nil {
			out[file] = time.Duration(ns)
		}
	}
	return out
}
