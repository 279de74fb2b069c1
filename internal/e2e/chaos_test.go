package e2e

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/internal/standin/engined"
	"github.com/rockdoor/rockdoor/internal/standin/platformd"
)

// seedVariable is the environment variable that adds a seed to the fixed ones.
const seedVariable = "ROCKDOOR_E2E_SEED"

// faultCase is a fault. inject injects it and returns once the fault has ended.
type faultCase struct {
	name   string
	inject func(f *fleet, i int)
}

var faultCases = []faultCase{
	{"kill", func(f *fleet, i int) {
		f.procs[i].kill()
		time.Sleep(time.Second)
		f.start(i)
	}},
	{"pause", func(f *fleet, i int) {
		f.procs[i].signal(syscall.SIGSTOP)
		time.Sleep(3 * time.Second)
		f.procs[i].signal(syscall.SIGCONT)
	}},
	{"replace", func(f *fleet, i int) {
		f.procs[i].signal(syscall.SIGTERM)
		<-f.procs[i].done
		f.start(i)
	}},
	{"platform down", func(f *fleet, _ int) {
		f.platform.SetFaults(platformd.Faults{Down: true})
		time.Sleep(3 * time.Second)
		f.platform.SetFaults(platformd.Faults{})
	}},
	{"platform loses answers", func(f *fleet, _ int) {
		f.platform.SetFaults(platformd.Faults{LoseResponses: true})
		time.Sleep(2 * time.Second)
		f.platform.SetFaults(platformd.Faults{})
	}},
	{"platform partitioned from one", func(f *fleet, i int) {
		f.platformProxies[i].setPartitioned(true)
		time.Sleep(3 * time.Second)
		f.platformProxies[i].setPartitioned(false)
	}},
	{"platform partitioned from half", func(f *fleet, _ int) {
		for _, c := range f.platformProxies[:len(f.platformProxies)/2+1] {
			c.setPartitioned(true)
		}
		time.Sleep(3 * time.Second)
		for _, c := range f.platformProxies {
			c.setPartitioned(false)
		}
	}},
	{"engine crash", func(f *fleet, i int) {
		e := f.engines[i%len(f.engines)]
		e.SetFaults(engined.Faults{CutBeforeHeaders: true, CrashInOrder: true})
		time.Sleep(2 * time.Second)
		e.SetFaults(engined.Faults{})
	}},
}

// Injects two concurrent faults, chosen by a seed that the test logs, under a load of
// requests with idempotency keys, while configurations are applied and a role changes.
// Afterwards the fleet must have recovered, the responses must agree with the runs that
// the engines recorded, no request may have run twice, fencing tokens must not have
// decreased, and no order may have taken effect twice.
func TestTwoConcurrentFaults(t *testing.T) {
	seeds := []uint64{1, 2, 3, 4}
	if extra, err := strconv.ParseUint(os.Getenv(seedVariable), 10, 64); err == nil {
		seeds = append(seeds, extra)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			testTwoFaults(t, seed)
		})
	}
}

func testTwoFaults(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0))
	one, two := rng.IntN(len(faultCases)), rng.IntN(len(faultCases)-1)
	if two >= one {
		two++
	}
	i := rng.IntN(5)
	j := (i + 1 + rng.IntN(4)) % 5
	t.Logf("seed %d: %s at %d, %s at %d", seed, faultCases[one].name, i, faultCases[two].name, j)

	f := startFleet(t, options{entries: 5, engines: 3, timing: fastTiming})
	f.await("keyed requests", func() bool { return f.chat(0, "review", 5, "Idempotency-Key", "first").complete })
	holder := f.awaitController(-1)
	h := &responseLog{byRequest: map[string][]callResult{}}
	stop := make(chan struct{})
	senders := f.startSenders(4, h, stop)
	accepted, _ := f.put(holder, f.configuration(map[string]string{"e0": "decode"}))
	require.Positive(t, accepted.Revision)

	var wg sync.WaitGroup
	for _, do := range []func(){
		func() { faultCases[one].inject(f, i) },
		func() { faultCases[two].inject(f, j) },
	} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			do()
		}()
	}
	wg.Wait()
	for p := range f.procs {
		f.awaitReady(p)
	}
	var last int64
	// A process that was partitioned from the platform may still reject changes briefly.
	f.await("a change to be accepted", func() bool {
		a, code := f.put(0, f.configuration(map[string]string{"e0": "decode", "e1": "mixed"}))
		last = a.Revision
		return code == 200
	})
	f.awaitRevision(last, 0, 1, 2, 3, 4)
	f.await("the configured roles", func() bool { return f.roles(0) == "decode mixed" })
	close(stop)
	senders.Wait()
	h.check(t, f)
	checkOrders(t, f)
	f.await("keyed requests again", func() bool {
		return f.chat(1, "review", 5, "Idempotency-Key", fmt.Sprint("last", time.Now().UnixNano())).complete
	})
}
