package duty_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// currentShard is the name of the lease for which this version competes.
const currentShard = "duties"

type faultKind int

// Kinds of faults. The kinds up to platformPartition affect one host, except for rollingRestart. The
// others affect all hosts.
const (
	pause faultKind = iota
	killed
	stopped
	rollingRestart
	demoted
	storePartition
	platformPartition
	storeLosesResponses
	storeLateWrites
	storeSlow
	platformDown
	platformLosesResponses
	faultKinds
)

var faultNames = [faultKinds]string{
	"pause", "kill", "stop", "rolling restart of the holders, starting with", "not a scheduler", "partition from the store", "partition from the platform", "store loses responses", "store delays writes", "store is slow",
	"platform is down", "platform loses responses",
}

const (
	// faultPeriod is the time in which faults are injected. In the quietPeriod after it there are
	// none.
	faultPeriod = 70 * time.Second
	quietPeriod = 30 * time.Second
	// maxIdleAtEnd is the maximum time between the last call and the end. The quiet period is long
	// enough before that for a lease to expire, a successor to wait and a usage window to end.
	maxIdleAtEnd = 15 * time.Second
	// currentHolder stands for the host that holds the lease when the fault is injected.
	currentHolder = -1
)

// scheduledFault is a fault that is injected at a time after the start.
type scheduledFault struct {
	kind   faultKind
	at     time.Duration
	length time.Duration
	host   int
}

func (t scheduledFault) String() string {
	return fmt.Sprintf("%v %s host %d for %v", t.at, faultNames[t.kind], t.host, t.length)
}

// scenario is the input of a simulation.
type scenario struct {
	seed uint64
	// hosts is the number of hosts. The last ones, legacy in number, run the previous version.
	hosts, legacy int
	faults        []scheduledFault
}

// maxFaults is the maximum number of faults in a scenario.
const maxFaults = 14

// drawScenario draws a scenario. All but the number of faults is derived from the seed, since rapid
// prefers small numbers. A scenario with fewer faults has the first ones of the full scenario.
func drawScenario(t *rapid.T) scenario {
	c := scenario{seed: rapid.Uint64().Draw(t, "seed")}
	rng := rand.New(rand.NewPCG(c.seed, 0))
	c.hosts = 2 + rng.IntN(3)
	if rng.IntN(2) > 0 {
		c.legacy = 1 + rng.IntN(c.hosts-1)
	}
	ms := func(low, high int) time.Duration { return time.Duration(low+rng.IntN(high-low)) * time.Millisecond }
	for range maxFaults {
		c.faults = append(c.faults, scheduledFault{
			kind: faultKind(rng.IntN(int(faultKinds))), at: ms(0, int(faultPeriod.Milliseconds())), length: ms(100, 12000),
			host: max(currentHolder, rng.IntN(2*c.hosts)-c.hosts),
		})
	}
	c.faults = c.faults[:maxFaults-rapid.IntRange(0, maxFaults).Draw(t, "left out")]
	slices.SortStableFunc(c.faults, func(a, b scheduledFault) int { return int(a.at - b.at) })
	return c
}

// startPeriod is the time in which the faults of a start scenario are injected. The processes write
// their leases for the first time in it.
const startPeriod = 150 * time.Millisecond

// drawStartScenario draws a scenario in which two or more candidates start at the same moment, and
// all faults occur during their first writes.
func drawStartScenario(t *rapid.T) scenario {
	c := drawScenario(t)
	rng := rand.New(rand.NewPCG(c.seed, 2))
	kinds := []faultKind{pause, killed, stopped, storePartition, storeLosesResponses, storeLateWrites}
	c.legacy = min(c.legacy, c.hosts-2)
	for n := range c.faults {
		c.faults[n].kind = kinds[rng.IntN(len(kinds))]
		c.faults[n].at = time.Duration(rng.Int64N(int64(startPeriod)))
	}
	slices.SortStableFunc(c.faults, func(a, b scheduledFault) int { return int(a.at - b.at) })
	return c
}

// simulation runs the processes of a scenario.
type simulation struct {
	world     *world
	scenario  scenario
	runs      int
	processes []*process
}

// simulate runs a scenario. It must be called in a synctest bubble, whose time is virtual.
func simulate(c scenario) *world {
	f := &simulation{world: newWorld(c.seed), scenario: c, processes: make([]*process, c.hosts)}
	begun := time.Now()
	for n := range f.processes {
		f.start(n)
	}
	for _, t := range c.faults {
		time.Sleep(t.at - time.Since(begun))
		f.inject(t)
	}
	time.Sleep(faultPeriod + quietPeriod - time.Since(begun))
	for _, p := range f.processes {
		p.kill()
	}
	for _, p := range f.processes {
		p.done.Wait()
	}
	return f.world
}

// start starts a new process on a host.
func (f *simulation) start(n int) {
	f.runs++
	p := newProcess(f.world, fmt.Sprint("m", n), fmt.Sprint("m", n, "/", f.runs))
	f.processes[n] = p
	if n >= f.scenario.hosts-f.scenario.legacy {
		p.start(p.runLegacyVersion)
		return
	}
	p.start(p.runCurrentVersion)
}

// restart stops the process on a host gracefully and starts another one.
func (f *simulation) restart(n int) {
	f.processes[n].stop()
	f.processes[n].done.Wait()
	f.start(n)
}

// holder returns the host that holds the lease, or the first host if none does.
func (f *simulation) holder() int {
	holder := f.world.holder(legacyShard).Holder
	return max(slices.IndexFunc(f.processes, func(p *process) bool { return p.host == holder }), 0)
}

// inject injects a fault.
func (f *simulation) inject(t scheduledFault) {
	n := t.host
	if n == currentHolder {
		n = f.holder()
	}
	p := f.processes[n]
	switch t.kind {
	case pause:
		p.pause(t.length)
	case killed:
		p.kill()
		f.start(n)
	case stopped:
		f.restart(n)
	case rollingRestart:
		for range f.processes {
			f.restart(f.holder())
			time.Sleep(t.length / 6)
		}
	case demoted, storePartition, platformPartition:
		f.world.set(effect{t.kind, p.host}, t.length)
	default:
		f.world.set(effect{t.kind, ""}, t.length)
	}
}

// check returns the violations in the recorded calls.
func (w *world) check() []string {
	wrong := w.unauthorized
	hosts, contents := map[int64]string{}, map[int64]string{}
	bySubject := map[string][]call{}
	for _, c := range w.calls {
		if h, used := hosts[c.token]; used && h != c.host {
			wrong = append(wrong, fmt.Sprintf("token %d is used by %s and %s", c.token, h, c.host))
		}
		hosts[c.token] = c.host
		if c.content != "" && contents[c.window] != "" && contents[c.window] != c.content {
			wrong = append(wrong, fmt.Sprintf("window %d: %s and %s", c.window, contents[c.window], c.content))
		}
		if c.content != "" {
			contents[c.window] = c.content
		}
		bySubject[c.subject] = append(bySubject[c.subject], c)
	}
	for subject, calls := range bySubject {
		wrong = append(wrong, checkTokens(subject, calls)...)
	}
	if len(w.calls) > 0 {
		wrong = append(wrong, checkHandovers(w.calls)...)
	}
	return wrong
}

// checkTokens checks that the tokens of calls about one subject never decrease, in the order of
// their arrival.
func checkTokens(subject string, calls []call) (wrong []string) {
	for n, c := range calls[1:] {
		if c.token < calls[n].token {
			wrong = append(wrong, fmt.Sprintf("%s: token %d after %d", subject, c.token, calls[n].token))
		}
	}
	return wrong
}

// checkHandovers checks that between calls of two different hosts, whatever their subjects, at
// least the TTL of a lease passes.
func checkHandovers(calls []call) (wrong []string) {
	for n, c := range calls[1:] {
		if before := calls[n]; c.host != before.host && c.at.Sub(before.at) < modelTTL {
			wrong = append(wrong, fmt.Sprintf("%s calls with token %d %v after %s with %d", c.host, c.token, c.at.Sub(before.at), before.host, before.token))
		}
	}
	return wrong
}

// TestHistoriesOfHolders simulates random scenarios of pauses, partitions, restarts, lost responses
// and delayed writes, some of them with two versions at the same time. It checks the calls that
// reach the platform: no token is used by two hosts or decreases, the calls of two hosts are at
// least the TTL of a lease apart, no usage window is reported with two different contents, and no
// call is made without a lease that outlives it. In the quiet period the duties must be done again.
// A scenario lasts 100 s of virtual time. Goroutines that wake at the same moment run in any
// order, so a seed may not reproduce exactly the same calls.
func TestHistoriesOfHolders(t *testing.T) {
	t.Parallel()
	checkHistories(t, drawScenario)
}

// TestHistoriesOfHoldersThatStartTogether is like TestHistoriesOfHolders for candidates that start
// at the same moment. It guards against a candidate that fails to get the lease of the duties, but
// has already acquired the legacy lease under a higher token, and keeps it.
func TestHistoriesOfHoldersThatStartTogether(t *testing.T) {
	t.Parallel()
	checkHistories(t, drawStartScenario)
}

func checkHistories(t *testing.T, draw func(*rapid.T) scenario) {
	scenarios, calls, grants, failed := 0, 0, 0, 0
	t.Cleanup(func() {
		t.Logf("%d scenarios, %d calls, %d grants of the lease; first failed scenario: %d", scenarios, calls, grants, failed)
	})
	rapid.Check(t, func(rt *rapid.T) {
		c := draw(rt)
		var w *world
		synctest.Test(t, func(*testing.T) { w = simulate(c) })
		scenarios++
		calls += len(w.calls)
		grants += int(w.holder(currentShard).Token)
		wrong := w.check()
		if len(w.calls) == 0 || w.calls[len(w.calls)-1].at.Before(w.startedAt.Add(faultPeriod+quietPeriod-maxIdleAtEnd)) {
			wrong = append(wrong, fmt.Sprintf("duties are not done at the end: %+v, %+v", w.holder(currentShard), w.holder(legacyShard)))
		}
		if len(wrong) > 0 {
			failed = cmp.Or(failed, scenarios)
			rt.Fatalf("%d hosts, %d with the previous version, %v:\n%s", c.hosts, c.legacy, c.faults, strings.Join(wrong, "\n"))
		}
	})
}
