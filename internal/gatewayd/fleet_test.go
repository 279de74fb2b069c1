package gatewayd

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/fleetstore"
	"github.com/rockdoor/rockdoor/members"
)

// fleetSize is the least size at which a few work for the others.
const fleetSize = members.MaxFullMesh + 2

func processName(n int) string { return fmt.Sprintf("g-%02d", n) }

// largeFleet starts gateways and waits until all agree on the schedulers.
func (d *deployment) largeFleet() []*process {
	all := make([]*process, fleetSize)
	var wg sync.WaitGroup
	for n := range all {
		wg.Add(1)
		go func() {
			defer wg.Done()
			all[n] = d.gateway(processName(n))
		}()
	}
	wg.Wait()
	require.Eventually(d.t, func() bool {
		for _, p := range all {
			if st := p.state(d.t); st.Members != fleetSize || len(st.Schedulers) != members.SchedulersPerDomain*d.domains {
				return false
			}
		}
		return true
	}, startWithin, 50*time.Millisecond)
	return all
}

func (p *process) state(t *testing.T) Status {
	t.Helper()
	var st Status
	p.get(t, "/status", &st)
	return st
}

// kill ends a process.
func (p *process) kill() {
	p.stop()
	err := <-p.done
	p.done <- err
}

// applied waits until a configuration is in force at all processes. If it is not, it tells what those
// that lag behind believe and did, and for how long this program had no processor.
func (d *deployment) applied(all []*process, version int, within time.Duration) {
	d.t.Helper()
	starved := watchProcessor(d.t)
	var behind []*process
	begun := time.Now()
	for {
		behind = nil
		for _, p := range all {
			if p.state(d.t).Config != int64(version) {
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
		st := p.state(d.t)
		d.t.Logf("%s: config %d of %d ms ago, follows %v, heard %v; its last lines:\n%s", st.Name, st.Config, st.ConfigAgeMs, st.Schedulers, st.Heard, lastLines(p.log.String(), 30))
	}
	require.Empty(d.t, behind, "configuration %d is not in force at %d of %d processes after %s; without processor for %s at a time", version, len(behind), len(all), within, starved())
}

// lastLines returns the last lines of a log that are not about one request.
func lastLines(text string, most int) string {
	var out []string
	for line := range strings.Lines(text) {
		if !strings.Contains(line, " request=") {
			out = append(out, line)
		}
	}
	return strings.Join(out[max(len(out)-most, 0):], "")
}

// watchProcessor measures for how long at most a goroutine that wants to run each millisecond did
// not.
func watchProcessor(t *testing.T) (longest func() time.Duration) {
	var most atomic.Int64
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
			most.Store(max(most.Load(), int64(time.Since(last))))
			last = time.Now()
		}
	}()
	return func() time.Duration { return time.Duration(most.Load()) }
}

// TestAFewWorkForALargeFleet checks what a fleet costs the store while nothing changes,
// that all serve and know the work of all, and that a new configuration reaches everybody,
// also after the schedulers were lost and while the store turns the others away.
func TestAFewWorkForALargeFleet(t *testing.T) {
	d := newDeployment(t)
	d.bound = "3s"
	all := d.largeFleet()
	for n, p := range all {
		status, body := p.send("/llm/x", fmt.Sprint("r-", n), longPrompt)
		require.Equal(t, http.StatusOK, status, body)
	}
	time.Sleep(time.Second) // a lease may be given up and taken over
	before := d.store.Calls()
	time.Sleep(2 * time.Second)
	calls := d.store.Calls() - before
	require.Less(t, calls, 3*fleetSize, "calls of %d processes in two seconds", fleetSize)

	begun := time.Now()
	d.configure(2, "/new/")
	d.applied(all, 2, time.Second)
	t.Logf("%d calls in 2 s; in force everywhere after %s", calls, time.Since(begun))

	var left []*process
	schedulers := map[string]bool{}
	for _, name := range all[0].state(t).Schedulers {
		schedulers[name] = true
	}
	for _, p := range all {
		if schedulers[p.set.Name] {
			go p.kill()
			continue
		}
		left = append(left, p)
	}
	for n, p := range left {
		status, body := p.send("/llm/x", fmt.Sprint("s-", n), longPrompt)
		require.Equal(t, http.StatusOK, status, body)
	}
	require.Eventually(t, func() bool {
		for _, name := range left[0].state(t).Schedulers {
			if schedulers[name] {
				return false
			}
		}
		return true
	}, 10*time.Second, 50*time.Millisecond, "others take their place")
	// A process that heard a scheduler last as it ended looks at the store itself after 1.5 s without one.
	bound, err := time.ParseDuration(d.bound)
	require.NoError(t, err)
	d.configure(3, "/newer/")
	d.applied(left, 3, bound)
}

// TestKeysThatAreTakenAwayInAnOutage takes keys away while no process reaches the store, and
// while the processes that watch it for the others are killed: nothing runs with such a key
// longer than the operator allows, callers are told to come back, and the keys that are left
// are good again as soon as that is proven. It also covers a key that is given to another
// workspace.
func TestKeysThatAreTakenAwayInAnOutage(t *testing.T) {
	const revoke = 2 * time.Second
	d := newDeployment(t)
	d.bound, d.revoke = "3s", revoke.String()
	d.workspaces = map[string][]string{"w": {"gone", "kept"}, "v": {"moved"}}
	d.configure(1, "/app/")
	all := d.largeFleet()
	status := func(p *process, key, id string) int {
		got, _ := p.send("/app/x", id, http.Header{"Api-Key": {key}})
		return got
	}
	for _, p := range all {
		require.Equal(t, http.StatusOK, status(p, "gone", p.set.Name+"-1"))
		require.Equal(t, http.StatusUnauthorized, status(p, "none", p.set.Name+"-2"))
	}
	d.store.SetFaults(fleetstore.Faults{Silent: true})
	d.workspaces = map[string][]string{"w": {"kept", "moved"}, "v": {"new"}}
	d.configure(2, "/app/")
	taken := time.Now()
	runs := func() (n int) {
		for _, e := range d.engines {
			n += len(e.Runs())
		}
		return n
	}
	for _, p := range all[1:] {
		if p.state(t).Scheduling {
			go p.kill()
			break
		}
	}
	time.Sleep(time.Until(taken.Add(revoke)))
	before := runs()
	for n, p := range all {
		for _, key := range []string{"gone", "kept"} {
			got := status(p, key, fmt.Sprint("o-", key, n))
			require.Contains(t, []int{http.StatusServiceUnavailable, 0}, got, "0 is a process that was killed")
		}
	}
	require.Equal(t, before, runs(), "nothing runs with a key that is not proven")
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

// TestALargeFleetStartsWithAStoreThatIsAway covers a start of all processes at once during
// an outage.
func TestALargeFleetStartsWithAStoreThatIsAway(t *testing.T) {
	d := newDeployment(t)
	d.bound = "3s"
	d.store.SetFaults(fleetstore.Faults{Down: true})
	time.AfterFunc(time.Second, func() { d.store.SetFaults(fleetstore.Faults{}) })
	started := make(chan *process, fleetSize)
	for n := range fleetSize {
		go func() { started <- d.gateway(processName(n)) }()
	}
	for range fleetSize {
		p := <-started
		status, body := p.send("/app/x", p.set.Name, nil)
		require.Equal(t, http.StatusOK, status, body)
	}
}

// TestALargeFleetStartsAgain covers a start of all processes at once after all were killed:
// their registrations are still there, and the list of the engines has many pages, which
// take longer than one answer may, and longer than a process waits for the schedulers. Only
// the watchers read that list.
func TestALargeFleetStartsAgain(t *testing.T) {
	const engines = 300
	d := newDeployment(t)
	d.bound = "3s"
	for n := range engines {
		d.store.Set("servers", fmt.Sprintf("j-%03d", n), map[string]any{"service": "app", "address": "127.0.0.1:9", "zone": "a", "slots": 8, "phase": "draining"})
	}
	ips := make([]string, fleetSize)
	for n := range ips {
		ips[n] = loopback()
		m := members.Member{Name: processName(n), Incarnation: "01KQHTTQEKYMB9K8XD7WB9DT11", Domain: "a", Peer: fmt.Sprintf("%s:%d", ips[n], peerPort)}
		value, err := json.Marshal(m)
		require.NoError(t, err)
		d.store.Set("rockdoor-members", m.Name, map[string]any{"write": m.Incarnation, "value": json.RawMessage(value)})
	}
	d.store.SetFaults(fleetstore.Faults{Delay: 30 * time.Millisecond})
	begun := time.Now()
	started := make(chan *process, fleetSize)
	for n, ip := range ips {
		go func() { started <- d.gatewayAt(processName(n), ip) }()
	}
	for range fleetSize {
		select {
		case p := <-started:
			status, body := p.send("/app/x", p.set.Name, nil)
			require.Equal(t, http.StatusOK, status, body)
		case <-time.After(startWithin):
			t.Fatalf("not all are ready, after %d calls", d.store.Calls())
		}
	}
	t.Logf("all serve after %s, %d calls", time.Since(begun), d.store.Calls())
	calls := d.store.Calls()
	d.store.SetFaults(fleetstore.Faults{})
	require.Less(t, calls, 2*engines, "calls of %d processes", fleetSize)
}
