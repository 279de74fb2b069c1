package gatewayd

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/fleetstore"
	"github.com/rockdoor/rockdoor/members"
)

// fleetSize is the least size at which a few work for the others.
const fleetSize = members.FullMesh + 2

// largeFleet starts gateways and waits until all agree on the schedulers.
func (d *deployment) largeFleet() []*process {
	all := make([]*process, fleetSize)
	var wg sync.WaitGroup
	for n := range all {
		wg.Add(1)
		go func() {
			defer wg.Done()
			all[n] = d.gateway(fmt.Sprintf("g-%02d", n))
		}()
	}
	wg.Wait()
	require.Eventually(d.t, func() bool {
		for _, p := range all {
			if st := p.state(d.t); st.Members != fleetSize || len(st.Schedulers) != members.SchedulersPerDomain {
				return false
			}
		}
		return true
	}, 10*time.Second, 50*time.Millisecond)
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

// applied waits until a configuration is in force at all processes.
func (d *deployment) applied(all []*process, version int, within time.Duration) {
	d.t.Helper()
	require.Eventually(d.t, func() bool {
		for _, p := range all {
			if p.state(d.t).Config != int64(version) {
				return false
			}
		}
		return true
	}, within, 10*time.Millisecond)
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
	d.configure(3, "/newer/")
	d.applied(left, 3, 2*time.Second)
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
		go func() { started <- d.gateway(fmt.Sprintf("g-%02d", n)) }()
	}
	for range fleetSize {
		p := <-started
		status, body := p.send("/app/x", p.set.Name, nil)
		require.Equal(t, http.StatusOK, status, body)
	}
}
