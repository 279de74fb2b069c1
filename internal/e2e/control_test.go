package e2e

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/internal/standin/engined"
	"github.com/rockdoor/rockdoor/internal/standin/platformd"
)

var roleChangeTiming = engined.Timing{RoleChange: 300 * time.Millisecond}

func TestConfigurationPropagatesAndSurvivesStoreOutage(t *testing.T) {
	f := startFleet(t, options{entries: 4, engines: 2})
	rev := f.apply(2, f.config)
	f.awaitRevision(rev, 0, 1, 2, 3)
	f.platform.SetFaults(platformd.Faults{Down: true})
	f.procs[1].kill()
	f.start(1)
	f.awaitReady(1)
	require.Equal(t, rev, f.status(1).Revision, "a restarted process must load the newest configuration from its peers")
	time.Sleep(3 * time.Second) // past the staleness limit
	for i := range 4 {
		require.Equal(t, 200, f.call(i, "GET", "/flags/x", "").status, "if the store is down for all processes, they must keep serving")
	}
}

func TestIsolatedProcessRejectsAndRecovers(t *testing.T) {
	f := startFleet(t, options{entries: 3, engines: 2})
	// With its peers paused and the store down, process 0 has no contact at all.
	f.platform.SetFaults(platformd.Faults{Down: true})
	f.procs[1].signal(syscall.SIGSTOP)
	f.procs[2].signal(syscall.SIGSTOP)
	f.await("refusal", func() bool {
		r := f.call(0, "GET", "/flags/x", "")
		return r.status == 503 && r.outcome == "not_run"
	})
	f.procs[1].signal(syscall.SIGCONT)
	f.procs[2].signal(syscall.SIGCONT)
	f.await("recovery", func() bool { return f.call(0, "GET", "/flags/x", "").status == 200 })
}

func TestProcessesWithoutPlatformFollowPeers(t *testing.T) {
	f := startFleet(t, options{entries: 3, engines: 2})
	f.platformProxies[1].setPartitioned(true)
	f.platformProxies[2].setPartitioned(true)
	time.Sleep(2500 * time.Millisecond) // past the staleness limit
	rev := f.apply(0, f.config)
	f.awaitRevision(rev, 1, 2)
	for i := range 3 {
		require.Equal(t, 200, f.call(i, "GET", "/flags/x", "").status)
	}
	_, code := f.put(1, f.config)
	require.Equal(t, 503, code, "a change cannot be accepted without the platform")
	f.awaitRevision(rev, 0)
	require.Equal(t, rev, f.status(0).Revision)
}

func TestPausedProcessDoesNotServeUnderOldConfiguration(t *testing.T) {
	f := startFleet(t, options{entries: 3, engines: 2})
	f.procs[1].signal(syscall.SIGSTOP)
	rev := f.apply(0, f.config)
	f.awaitRevision(rev, 0, 2)
	time.Sleep(2500 * time.Millisecond) // past the staleness limit
	f.procs[1].signal(syscall.SIGCONT)
	// From now on it may serve requests only under the new revision.
	for range 20 {
		r := f.call(1, "GET", "/flags/x", "")
		if r.status == 200 {
			require.GreaterOrEqual(t, f.status(1).Revision, rev)
		}
	}
	f.awaitRevision(rev, 1)
}

func TestRollingReplacementWithConfigurationChanges(t *testing.T) {
	f := startFleet(t, options{entries: 4, engines: 2})
	var last int64
	for i := range 4 {
		last = f.apply((i+1)%4, f.config)
		f.procs[i].signal(syscall.SIGTERM)
		<-f.procs[i].done
		f.start(i)
		f.awaitReady(i)
		require.GreaterOrEqual(t, f.status(i).Revision, last)
	}
	f.awaitRevision(last, 0, 1, 2, 3)
}

func TestConcurrentChangesAreEachAcceptedOrRejected(t *testing.T) {
	f := startFleet(t, options{entries: 3, engines: 2})
	var mu sync.Mutex
	accepted := map[int64]int{}
	var wg sync.WaitGroup
	for n := range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a, code := f.put(n%3, f.config)
			mu.Lock()
			defer mu.Unlock()
			if code == 200 {
				accepted[a.Revision]++
			} else if code != 409 {
				t.Errorf("status %d", code)
			}
		}()
	}
	wg.Wait()
	require.NotEmpty(t, accepted)
	for rev, n := range accepted {
		require.Equal(t, 1, n, "revision %d was returned for two changes", rev)
	}
	f.awaitRevision(int64(len(accepted))+1, 0, 1, 2)
	require.EqualValues(t, len(accepted)+1, f.status(0).Revision)
}

func TestRoleChangeInterruptsNoRequest(t *testing.T) {
	slow := engined.Timing{StepBase: 10 * time.Millisecond, RoleChange: 300 * time.Millisecond}
	f := startFleet(t, options{entries: 3, engines: 2, timing: slow})
	f.awaitController(-1)
	finish := f.keepSending(6)
	f.apply(0, f.configuration(map[string]string{"e0": "decode"}))
	f.await("role change", func() bool { return len(f.roleOrders(0)) == 1 })
	time.Sleep(time.Second)
	finish()
	require.Len(t, f.roleOrders(0), 1)
	require.Empty(t, f.roleOrders(1))
	for _, r := range f.engines[0].Runs() {
		require.False(t, r.Aborted, "run %s was interrupted", r.Attempt)
	}
}

// checkOrders checks the records of the engines: fencing tokens must not decrease, and
// no order may have taken effect twice.
func checkOrders(t *testing.T, f *fleet) {
	for i, e := range f.engines {
		token := int64(0)
		seen := map[string]bool{}
		for _, o := range e.Orders() {
			require.GreaterOrEqual(t, o.Token, token, "engine %d accepted an order of a holder that had lost its lease", i)
			require.False(t, seen[o.ID], "engine %d accepted order %s twice", i, o.ID)
			token, seen[o.ID] = o.Token, true
		}
	}
}

func TestControllerFailureDuringOrder(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		for _, fault := range []string{"kill", "pause", "release"} {
			t.Run(fmt.Sprintf("%s, fencing %t", fault, fencing), func(t *testing.T) {
				t.Parallel()
				f := startFleet(t, options{entries: 3, engines: 2, fencing: fencing, timing: roleChangeTiming})
				holder := f.awaitController(-1)
				f.apply((holder+1)%3, f.configuration(map[string]string{"e0": "decode", "e1": "prefill"}))
				f.await("an order in progress", func() bool {
					for _, tg := range f.status((holder + 1) % 3).Targets {
						if tg.Order != "" {
							return true
						}
					}
					return false
				})
				switch fault {
				case "kill":
					f.procs[holder].kill()
				case "pause":
					f.procs[holder].signal(syscall.SIGSTOP)
				case "release":
					f.procs[holder].signal(syscall.SIGTERM)
				}
				f.awaitController(holder)
				f.await("both roles", func() bool { return f.roles((holder+1)%3) == "decode prefill" })
				f.procs[holder].signal(syscall.SIGCONT)
				time.Sleep(500 * time.Millisecond)
				checkOrders(t, f)
				require.Equal(t, "decode prefill", f.roles((holder+1)%3))
			})
		}
	}
}

// roles returns the roles that engines 0 and 1 report to the i-th process.
func (f *fleet) roles(i int) string {
	var out []engine.Role
	for _, tg := range f.status(i).Targets {
		if tg.Kind == "engine" && !tg.Changing {
			out = append(out, tg.Role)
		}
	}
	return fmt.Sprintf("%s %s", append(out, "", "")[0], append(out, "", "")[1])
}

func TestEngineCrashDuringRoleChange(t *testing.T) {
	f := startFleet(t, options{entries: 3, engines: 2, timing: roleChangeTiming})
	f.engines[0].SetFaults(engined.Faults{CrashInOrder: true})
	holder := f.awaitController(-1)
	f.apply(holder, f.configuration(map[string]string{"e0": "decode"}))
	f.await("crash during the order", func() bool { return len(f.roleOrders(0)) == 1 })
	f.procs[holder].kill()
	f.engines[0].SetFaults(engined.Faults{})
	f.await("the repeated order to complete", func() bool { return f.roles((holder+1)%3) == "decode mixed" })
	checkOrders(t, f)
}
