package e2e

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/serviced"
)

// A server announces a rate limit for the sum of the requests of all entry processes. The limit must
// hold while the process that coordinates the grants is paused and resumed, then killed and restarted.
// Without coordinated grants, each process would send all requests that it receives.
func TestRateLimitAppliesToSumOfProcesses(t *testing.T) {
	const (
		entries = 4
		rate    = 5.0
		slack   = 1.2
		window  = 4 * time.Second
		settle  = 500 * time.Millisecond
		sendGap = 30 * time.Millisecond
		pause   = 2500 * time.Millisecond
	)
	f := startFleet(t, options{entries: entries, engines: 1})
	limited := f.services[0]
	limited.SetFaults(serviced.Faults{RateLimit: fmt.Sprint(rate)})
	stopped := make(chan struct{})
	var wg sync.WaitGroup
	for i := range entries {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stopped:
					return
				case <-time.After(sendGap):
					f.call(i, http.MethodPost, "/alerts/x", fmt.Sprint(i, "-", n))
				}
			}
		})
	}
	started := time.Now()
	f.await("the limit is known", func() bool { return len(limited.Runs()) > 0 })
	time.Sleep(window)
	f.procs[0].signal(syscall.SIGSTOP)
	time.Sleep(pause)
	f.procs[0].signal(syscall.SIGCONT)
	time.Sleep(pause)
	f.procs[0].kill()
	time.Sleep(pause)
	f.start(0)
	f.awaitReady(0)
	steady := time.Now().Add(pause + window)
	time.Sleep(time.Until(steady.Add(window)))
	close(stopped)
	wg.Wait()
	var at []time.Time
	for _, run := range limited.Runs() {
		at = append(at, run.Start)
	}
	slices.SortFunc(at, time.Time.Compare)
	peak, used := 0, 0
	for n, from := range at {
		if from.After(steady) {
			used++
		}
		end, _ := slices.BinarySearchFunc(at, from.Add(window), time.Time.Compare)
		if from.Sub(at[0]) >= settle {
			peak = max(peak, end-n)
		}
	}
	t.Logf("%d calls in %s, at most %d in %s, %d in the last", len(at), time.Since(started).Round(time.Second), peak, window, used)
	require.LessOrEqual(t, float64(peak), slack*rate*window.Seconds())
	require.GreaterOrEqual(t, float64(used), 0.9*rate*window.Seconds()-1)
}
