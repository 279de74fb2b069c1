package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/engined"
	"github.com/rockdoor/rockdoor/internal/standin/platformd"
)

// responseLog records the responses that clients received, by request.
type responseLog struct {
	mu        sync.Mutex
	byRequest map[string][]callResult
}

func (h *responseLog) add(id string, r callResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byRequest[id] = append(h.byRequest[id], r)
}

// countOutcomes returns the number of responses by outcome.
func (h *responseLog) countOutcomes() map[string]int {
	out := map[string]int{}
	for _, rs := range h.byRequest {
		for _, r := range rs {
			name := r.outcome
			if r.err != nil {
				name = "connection lost"
			}
			out[name]++
		}
	}
	return out
}

// runsByID returns how often each request ran, according to the records of the engines.
func (f *fleet) runsByID() map[string]int {
	runs := map[string]int{}
	for _, e := range f.engines {
		for _, r := range e.Runs() {
			if r.Phase == "" { // prefill produces no output for the client and may be repeated
				runs[r.LoadID]++
			}
		}
	}
	return runs
}

// check compares the responses to clients with the records of the engines.
func (h *responseLog) check(t *testing.T, f *fleet) {
	runs := f.runsByID()
	for id, rs := range h.byRequest {
		require.LessOrEqual(t, runs[id], 1, "%s ran more than once", id)
		first := ""
		for _, r := range rs {
			if r.outcome == "not_run" && len(rs) == 1 {
				require.Zero(t, runs[id], "%s ran although its outcome is not_run", id)
			}
			if r.complete && r.status == http.StatusOK {
				require.Equal(t, 1, runs[id], "%s has a complete response without a run", id)
				require.Contains(t, r.body, "[DONE]")
				if first != "" {
					require.Equal(t, first, r.body, "two responses to %s differ", id)
				}
				first = r.body
			}
		}
	}
	t.Logf("%d requests, responses by outcome: %v", len(h.byRequest), h.countOutcomes())
}

// startSenders starts n goroutines that send requests with idempotency keys until stop is
// closed. Each request is sent twice concurrently to random processes, and retried if the
// response is incomplete.
func (f *fleet) startSenders(n int, h *responseLog, stop chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	for s := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%d-%d", s, i)
				var both sync.WaitGroup
				for range 2 {
					both.Add(1)
					go func() {
						defer both.Done()
						f.sendUntilComplete(id, h)
					}()
				}
				both.Wait()
			}
		}()
	}
	return &wg
}

func (f *fleet) sendUntilComplete(id string, h *responseLog) {
	for range 4 {
		r := f.chat(rand.IntN(len(f.procs)), "review", 5, "Idempotency-Key", id, "X-Load-Id", id)
		h.add(id, r)
		if r.complete {
			return
		}
		time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
	}
}

var fastTiming = engined.Timing{StepBase: 2 * time.Millisecond, RoleChange: 300 * time.Millisecond}

func TestIdempotencyKeysRunAtMostOnceUnderFaults(t *testing.T) {
	faults := map[string]func(f *fleet){
		"none": func(*fleet) {},
		"kill": func(f *fleet) { f.procs[1].kill(); time.Sleep(time.Second); f.start(1) },
		"pause": func(f *fleet) {
			f.procs[1].signal(syscall.SIGSTOP)
			time.Sleep(7 * time.Second) // until its claims have moved to other holders
			f.procs[1].signal(syscall.SIGCONT)
		},
		"platform down": func(f *fleet) {
			f.platform.SetFaults(platformd.Faults{Down: true})
			f.procs[2].kill()
			time.Sleep(3 * time.Second)
			f.platform.SetFaults(platformd.Faults{})
			f.start(2)
		},
		"rolling replacement": func(f *fleet) {
			for i := range f.procs {
				f.procs[i].signal(syscall.SIGTERM)
				<-f.procs[i].done
				f.start(i)
				f.awaitReady(i)
			}
		},
		"engine crash": func(f *fleet) {
			f.engines[0].SetFaults(engined.Faults{CutBeforeHeaders: true})
			time.Sleep(time.Second)
			f.engines[0].SetFaults(engined.Faults{CutAfter: 2})
			time.Sleep(time.Second)
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, options{entries: 5, engines: 3, timing: fastTiming})
			f.await("keyed requests", func() bool { return f.chat(0, "review", 5, "Idempotency-Key", "first").complete })
			h := &responseLog{byRequest: map[string][]callResult{}}
			stop := make(chan struct{})
			wg := f.startSenders(6, h, stop)
			time.Sleep(500 * time.Millisecond)
			fault(f)
			time.Sleep(time.Second)
			close(stop)
			wg.Wait()
			h.check(t, f)
		})
	}
}

func TestGracefulShutdownInterruptsNoRequest(t *testing.T) {
	f := startFleet(t, options{entries: 3, engines: 2, timing: engined.Timing{StepBase: 10 * time.Millisecond}})
	results := make(chan callResult, 10)
	for range 10 {
		go func() { results <- f.chat(1, "review", 400) }() // far longer than the server takes to shut down
	}
	f.await("requests at the engines", func() bool { return len(f.runsByID()) > 0 && f.totalRuns() == 10 })
	f.procs[1].signal(syscall.SIGTERM)
	f.await("not ready", func() bool { return !f.get(1, "/readyz", nil) })
	for range 10 {
		require.True(t, (<-results).complete)
	}
	<-f.procs[1].done
	require.True(t, f.procs[1].cmd.ProcessState.Success(), f.procs[1].text())
}

func (f *fleet) totalRuns() (n int) {
	for _, e := range f.engines {
		n += len(e.Runs())
	}
	return n
}

// keepSending sends streams from n concurrent clients until the returned function is
// called. Each stream must be complete.
func (f *fleet) keepSending(n int) (finish func()) {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				if r := f.chat(i%len(f.procs), "review", 40); !r.complete {
					f.t.Errorf("interrupted by a planned change: %+v", r)
					return
				}
			}
		}()
	}
	return func() { close(stop); wg.Wait() }
}

// shutdownTriggers are the ways to stop new requests to engine 0: an operator drains it,
// or the platform lists its host as leaving.
var shutdownTriggers = map[string]func(f *fleet){
	"drain": func(f *fleet) {
		r, err := client.Post("http://"+f.address(0, 7001)+"/api/v1/edits", "", strings.NewReader(`[{"kind": "engine", "name": "e0", "state": "draining"}]`))
		require.NoError(f.t, err)
		r.Body.Close()
		require.Equal(f.t, 200, r.StatusCode)
	},
	"platform's list, while one process has lost the platform": func(f *fleet) {
		f.platformProxies[1].setPartitioned(true)
		body := fmt.Sprintf(`[{"address": "%s.100", "state": "leaving"}]`, f.net)
		req, err := http.NewRequest(http.MethodPut, "http://"+f.net+".250:9001/lab/hosts", strings.NewReader(body))
		require.NoError(f.t, err)
		r, err := client.Do(req)
		require.NoError(f.t, err)
		r.Body.Close()
	},
}

func TestDrainedEngineGetsNoNewRequests(t *testing.T) {
	for name, trigger := range shutdownTriggers {
		t.Run(name, func(t *testing.T) { testDrainedEngine(t, trigger) })
	}
}

func testDrainedEngine(t *testing.T, trigger func(*fleet)) {
	f := startFleet(t, options{entries: 3, engines: 2, timing: engined.Timing{StepBase: 5 * time.Millisecond}})
	finish := f.keepSending(6)
	time.Sleep(300 * time.Millisecond)
	trigger(f)
	accepted := time.Now()
	time.Sleep(4 * time.Second)
	finish()
	last := time.Time{}
	for _, run := range f.engines[0].Runs() {
		if run.Start.After(last) {
			last = run.Start
		}
	}
	require.Less(t, last.Sub(accepted), 3*time.Second, "new requests after the time limit")
	t.Logf("last new request %s after the shutdown was announced", last.Sub(accepted))
}
