package gatewayd

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/fleetstore"
	"github.com/rockdoor/rockdoor/members"
)

// fleetSize is the size of a large fleet, in which a few processes schedule for all others.
const fleetSize = members.MaxFullMesh + 2

func processName(n int) string { return fmt.Sprintf("g-%02d", n) }

// startLargeFleet starts fleetSize gateways and waits until all of them know the schedulers.
func (d *deployment) startLargeFleet() []*process {
	all := make([]*process, fleetSize)
	var wg sync.WaitGroup
	for n := range all {
		wg.Add(1)
		go func() {
			defer wg.Done()
			all[n] = d.startGateway(processName(n))
		}()
	}
	wg.Wait()
	require.Eventually(d.t, func() bool {
		for _, p := range all {
			if st := p.fetchStatus(d.t); st.Members != fleetSize || len(st.Schedulers) != members.SchedulersPerDomain*d.domains {
				return false
			}
		}
		return true
	}, startTimeout, 50*time.Millisecond)
	return all
}

func (p *process) fetchStatus(t *testing.T) Status {
	t.Helper()
	var st Status
	p.get(t, "/status", &st)
	return st
}

// shutDown asks a process to stop and waits until it has ended. The result of Run is put back for the
// cleanup of the test.
func (p *process) shutDown() {
	p.stop()
	err := <-p.done
	p.done <- err
}

// waitApplied waits until a configuration is in force at all processes. If it is not in force in
// time, the test fails with the state and the last log lines of the processes that lag behind, and
// with the longest time that this program was not scheduled on a CPU.
func (d *deployment) waitApplied(all []*process, version int, within time.Duration) {
	d.t.Helper()
	schedulingDelay := measureSchedulingDelay(d.t)
	var behind []*process
	begun := time.Now()
	for {
		behind = nil
		for _, p := range all {
			if p.fetchStatus(d.t).Config != int64(version) {
				behind = append(behind, p)
			}
		}
		if len(behind) == 0 {
			d.t.Logf("configuration %d is in force everywhere after %s", version, time.Since(begun).Round(time.Millisecond))
			return
		}
		if time.Since(begun) > within {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, p := range behind {
		st := p.fetchStatus(d.t)
		d.t.Logf("%s: config %d of %d ms ago, schedulers %v, reachable %v; last log lines:\n%s", st.Name, st.Config, st.ConfigAgeMs, st.Schedulers, st.ReachableSchedulers, lastLines(p.log.String(), 30))
	}
	require.Empty(d.t, behind, "configuration %d is not in force at %d of %d processes after %s; this program was not scheduled for %s at a time", version, len(behind), len(all), within, schedulingDelay())
}

// lastLines returns the last lines of a log, without those about a single request.
func lastLines(text string, limit int) string {
	var out []string
	for line := range strings.Lines(text) {
		if !strings.Contains(line, " request=") {
			out = append(out, line)
		}
	}
	return strings.Join(out[max(len(out)-limit, 0):], "")
}

// logLines logs the lines of the processes that contain one of the parts.
func logLines(t *testing.T, all []*process, parts ...string) {
	t.Helper()
	for _, p := range all {
		for line := range strings.Lines(p.log.String()) {
			if slices.ContainsFunc(parts, func(part string) bool { return strings.Contains(line, part) }) {
				t.Log(strings.TrimSpace(line))
			}
		}
	}
}

// measureSchedulingDelay starts a goroutine that should run each millisecond. The function that it
// returns reports the longest time in which the goroutine did not run.
func measureSchedulingDelay(t *testing.T) (longest func() time.Duration) {
	var maxDelay atomic.Int64
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		last := time.Now()
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
			maxDelay.Store(max(maxDelay.Load(), int64(time.Since(last))))
			last = time.Now()
		}
	}()
	return func() time.Duration { return time.Duration(maxDelay.Load()) }
}

// TestSchedulersServeALargeFleet checks that all processes serve requests, that an idle fleet makes
// few calls to the store, and that a new configuration reaches all processes, also after all
// schedulers were shut down.
func TestSchedulersServeALargeFleet(t *testing.T) {
	d := newDeployment(t)
	d.applyLimit = "3s"
	all := d.startLargeFleet()
	for n, p := range all {
		status, body := p.send("/llm/x", fmt.Sprint("r-", n), longPrompt)
		require.Equal(t, http.StatusOK, status, body)
	}
	time.Sleep(time.Second) // a lease may change its holder in this time
	before := d.store.Calls()
	time.Sleep(2 * time.Second)
	calls := d.store.Calls() - before
	require.Less(t, calls, 3*fleetSize, "calls of %d processes in two seconds", fleetSize)

	begun := time.Now()
	d.configure(2, "/new/")
	d.waitApplied(all, 2, time.Second)
	t.Logf("%d calls in 2 s; in force everywhere after %s", calls, time.Since(begun))

	var remaining []*process
	schedulers := map[string]bool{}
	for _, name := range all[0].fetchStatus(t).Schedulers {
		schedulers[name] = true
	}
	for _, p := range all {
		if schedulers[p.settings.Name] {
			go p.shutDown()
			continue
		}
		remaining = append(remaining, p)
	}
	for n, p := range remaining {
		status, body := p.send("/llm/x", fmt.Sprint("s-", n), longPrompt)
		require.Equal(t, http.StatusOK, status, body)
	}
	require.Eventually(t, func() bool {
		for _, name := range remaining[0].fetchStatus(t).Schedulers {
			if schedulers[name] {
				return false
			}
		}
		return true
	}, 10*time.Second, 50*time.Millisecond, "other processes become schedulers")
	// A process reads the store itself once it has been without a scheduler for 1.5 s.
	bound, err := time.ParseDuration(d.applyLimit)
	require.NoError(t, err)
	d.configure(3, "/newer/")
	d.waitApplied(remaining, 3, bound)
}

// TestKeysRevokedDuringAStoreOutage revokes API keys while no process reaches the store, and shuts
// down one of the processes that schedule for the others. No request may run with a revoked key for longer
// than the operator allows. Until the store responds, clients get 503 for all keys; after that the
// remaining keys are valid again. A key that moves to another workspace is covered too.
func TestKeysRevokedDuringAStoreOutage(t *testing.T) {
	const revoke = 2 * time.Second
	d := newDeployment(t)
	d.applyLimit, d.revoke = "3s", revoke.String()
	d.workspaces = map[string][]string{"w": {"gone", "kept"}, "v": {"moved"}}
	d.configure(1, "/app/")
	all := d.startLargeFleet()
	status := func(p *process, key, id string) int {
		got, _ := p.send("/app/x", id, http.Header{"Api-Key": {key}})
		return got
	}
	for _, p := range all {
		require.Equal(t, http.StatusOK, status(p, "gone", p.settings.Name+"-1"))
		require.Equal(t, http.StatusUnauthorized, status(p, "none", p.settings.Name+"-2"))
	}
	d.store.SetFaults(fleetstore.Faults{NoResponse: true})
	d.workspaces = map[string][]string{"w": {"kept", "moved"}, "v": {"new"}}
	d.configure(2, "/app/")
	revokedAt := time.Now()
	runs := func() (n int) {
		for _, e := range d.engines {
			n += len(e.Runs())
		}
		return n
	}
	for _, p := range all[1:] {
		if p.fetchStatus(t).Scheduling {
			go p.shutDown()
			break
		}
	}
	time.Sleep(time.Until(revokedAt.Add(revoke)))
	before := runs()
	for n, p := range all {
		for _, key := range []string{"gone", "kept"} {
			got := status(p, key, fmt.Sprint("o-", key, n))
			require.Contains(t, []int{http.StatusServiceUnavailable, 0}, got, "0 is the process that was shut down")
		}
	}
	require.Equal(t, before, runs(), "no request runs with a key that may have been revoked")
	d.store.SetFaults(fleetstore.Faults{})
	require.Eventually(t, func() bool { return status(all[0], "kept", "back") == http.StatusOK }, 5*time.Second, 50*time.Millisecond)
	require.Equal(t, http.StatusUnauthorized, status(all[0], "gone", "after"))
	require.Equal(t, http.StatusOK, status(all[0], "moved", "moved"))
	for _, e := range d.engines {
		for _, run := range e.Runs() {
			if run.ID == "moved" {
				require.Equal(t, "w", run.Header.Get("X-Tenant"))
			}
		}
	}
}

// TestLargeFleetStartsDuringAStoreOutage starts all processes at once while the store is down. They
// must serve once the store is back.
func TestLargeFleetStartsDuringAStoreOutage(t *testing.T) {
	d := newDeployment(t)
	d.applyLimit = "3s"
	d.store.SetFaults(fleetstore.Faults{Down: true})
	time.AfterFunc(time.Second, func() { d.store.SetFaults(fleetstore.Faults{}) })
	started := make(chan *process, fleetSize)
	for n := range fleetSize {
		go func() { started <- d.startGateway(processName(n)) }()
	}
	for range fleetSize {
		p := <-started
		status, body := p.send("/app/x", p.settings.Name, nil)
		require.Equal(t, http.StatusOK, status, body)
	}
}

// TestLargeFleetRestartsWithStaleRegistrations starts all processes at once after all were killed, so
// that their old registrations are still in the store. Reading all pages of the list of engines takes
// longer than one response of the store may, and longer than a process waits for the schedulers.
// Only the watchers may read that list.
func TestLargeFleetRestartsWithStaleRegistrations(t *testing.T) {
	const engines = 300
	d := newDeployment(t)
	d.applyLimit = "3s"
	for n := range engines {
		d.store.Set("servers", fmt.Sprintf("j-%03d", n), map[string]any{"service": "app", "address": "127.0.0.1:9", "zone": "a", "slots": 8, "phase": "draining"})
	}
	ips := make([]string, fleetSize)
	for n := range ips {
		ips[n] = uniqueLoopbackIP()
		m := members.Member{Name: processName(n), Incarnation: "01KQHTTQEKYMB9K8XD7WB9DT11", Domain: "a", Peer: fmt.Sprintf("%s:%d", ips[n], peerPort)}
		value, err := json.Marshal(m)
		require.NoError(t, err)
		d.store.Set("rockdoor-members", m.Name, map[string]any{"write": m.Incarnation, "value": json.RawMessage(value)})
	}
	d.store.SetFaults(fleetstore.Faults{Delay: 30 * time.Millisecond})
	begun := time.Now()
	started := make(chan *process, fleetSize)
	for n, ip := range ips {
		go func() { started <- d.startGatewayAt(processName(n), ip) }()
	}
	for range fleetSize {
		select {
		case p := <-started:
			status, body := p.send("/app/x", p.settings.Name, nil)
			require.Equal(t, http.StatusOK, status, body)
		case <-time.After(startTimeout):
			t.Fatalf("not all processes are ready after %d calls to the store", d.store.Calls())
		}
	}
	t.Logf("all processes serve after %s and %d calls to the store", time.Since(begun), d.store.Calls())
	calls := d.store.Calls()
	d.store.SetFaults(fleetstore.Faults{})
	require.Less(t, calls, 2*engines, "calls of %d processes", fleetSize)
}
