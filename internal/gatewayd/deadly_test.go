package gatewayd

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/crash"
	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
)

const (
	// deadlyBody is that of a request that crashes the engines that run it.
	deadlyBody = "deadly"
	// deadlyEvery is how often it comes.
	deadlyEvery = 60 * time.Millisecond
	// enginesEnd is how many engines it may crash before all must know of it, knownWithin in
	// what time they must, sendsAfter how often it may be sent to engines later.
	enginesEnd  = 3
	knownWithin = 3 * time.Second
	sendsAfter  = 3
	// laterTries is how often it comes after that time.
	laterTries = 36
)

// crashing are engines that crash when they run a request, and are soon back under another id.
type crashing struct {
	hosts []*crash.Host

	mu      sync.Mutex
	engines []*fleetengine.Engine
	// present is the ID of the newest engine at each address.
	present map[string]string
}

// crashing registers engines that a request crashes.
func (d *deployment) crashing(n int) *crashing {
	d.t.Helper()
	c := &crashing{present: map[string]string{}}
	for range n {
		h, err := crash.NewHost("127.0.0.1:0", 500*time.Millisecond, func(address string, crash func()) http.Handler { return c.start(d, address, crash) })
		require.NoError(d.t, err)
		d.t.Cleanup(h.Close)
		c.hosts = append(c.hosts, h)
	}
	return c
}

func (c *crashing) start(d *deployment, address string, crash func()) *fleetengine.Engine {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := fleetengine.New(fmt.Sprint("c-", len(c.engines)), "decode")
	e.Events, e.Deadly, e.Crash = 3, deadlyBody, crash
	if gone := c.present[address]; gone != "" {
		d.store.Remove("servers", gone)
	}
	c.present[address] = e.ID
	c.engines = append(c.engines, e)
	d.store.Set("servers", e.ID, map[string]any{"service": "llm", "address": address, "zone": "a", "slots": 8, "phase": "ready", "stage": "decode"})
	return e
}

func (c *crashing) crashes() (n int) {
	for _, h := range c.hosts {
		n += h.Crashes()
	}
	return n
}

// arrivals returns how often the deadly request was sent to an engine.
func (c *crashing) arrivals(d *deployment) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range slices.Concat(c.engines, d.engines) {
		for _, run := range append(e.Runs(), e.Reads()...) {
			if run.Body == deadlyBody {
				n++
			}
		}
	}
	return n
}

// TestRequestThatEndsItsEngines sends a request again and again, to all processes in turn,
// that crashes each engine that begins to run it. Seventeen to twenty engines of a fleet of
// twelve ended so, one each second, and callers of other requests lost their streams with each
// and were refused for some seconds. Every try has an id of its own, and what failed was held
// against the engine only, so that the next process sent the next try to the next engine. Of
// 226 lines like
//
//	outcome=lost sends=1 runs=1 read=8ms took=106ms err="stream was cut: unexpected EOF"
//
// that a fleet wrote in twenty seconds, 55 bore one fingerprint and no other was borne by more
// than two; 30 engines had ended, and each of them had been running that request.
func TestRequestThatEndsItsEngines(t *testing.T) {
	for name, start := range fleetStarts {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.bound = "3s"
			c := d.crashing(8)
			all := start(d)
			var tries atomic.Int64
			send := func(p *process) {
				p.sendBody("/llm/x", fmt.Sprint("d-", tries.Add(1)), deadlyBody, nil)
			}
			for n := 0; c.crashes() < enginesEnd; n++ {
				send(all[n%len(all)])
				time.Sleep(deadlyEvery)
			}
			for end := time.Now().Add(knownWithin); time.Now().Before(end); {
				go send(all[int(tries.Load())%len(all)])
				time.Sleep(deadlyEvery)
			}
			before := c.arrivals(d)
			for n := range laterTries {
				send(all[n%len(all)])
				time.Sleep(deadlyEvery)
			}
			t.Logf("%d engines ended, %d sends, %d of them later", c.crashes(), c.arrivals(d), c.arrivals(d)-before)
			require.LessOrEqual(t, c.arrivals(d)-before, sendsAfter)
			status, body := all[0].sendBody("/llm/x", "other", "innocent", nil)
			require.Equal(t, http.StatusOK, status, body)
		})
	}
}

// TestProcessThatStartsKnowsOfRequestsThatEndEngines starts a process after a request has ended
// engines. Each process of a roll had it end one or two more in its first second: ten engines of twelve.
func TestProcessThatStartsKnowsOfRequestsThatEndEngines(t *testing.T) {
	// startsWithin is in what time it knows.
	const startsWithin = 200 * time.Millisecond
	d := newDeployment(t)
	c := d.crashing(8)
	all := []*process{d.gateway("a"), d.gateway("b")}
	for n := 0; c.crashes() < enginesEnd; n++ {
		all[n%len(all)].sendBody("/llm/x", fmt.Sprint("d-", n), deadlyBody, nil)
		time.Sleep(deadlyEvery)
	}
	young := d.gateway("c")
	time.Sleep(startsWithin)
	before := c.arrivals(d)
	for n := range 5 {
		young.sendBody("/llm/x", fmt.Sprint("y-", n), deadlyBody, nil)
	}
	require.Equal(t, before, c.arrivals(d))

	var known []SuspectStatus
	young.get(t, "/quarantine", &known)
	require.Len(t, known, 1)
	require.True(t, known[0].Refused)
	for fingerprint, want := range map[string]int{"odd": http.StatusBadRequest, strings.Repeat("0", 32): http.StatusNotFound, known[0].Fingerprint: http.StatusOK} {
		req, err := http.NewRequest(http.MethodDelete, "http://"+young.set.Metrics+"/quarantine/"+fingerprint, nil)
		require.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		resp.Body.Close()
		require.Equal(t, want, resp.StatusCode, fingerprint)
	}
	require.Eventually(t, func() bool {
		all[0].get(t, "/quarantine", &known)
		return !known[0].Refused
	}, 2*time.Second, 10*time.Millisecond, "it may run again at all processes")
}
