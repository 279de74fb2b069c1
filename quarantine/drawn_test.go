package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/bootclock"
)

const (
	drawnDays  = 1000
	dayLength  = time.Minute
	dayStep    = 100 * time.Millisecond
	soundReads = 10
	// restartTime is the time from a crash until the instance is up again.
	restartTime    = 1500 * time.Millisecond
	domains        = 3
	racksPerDomain = 3
)

// drawnDay is a day on which instances crash together, and perhaps one request crashes each instance that runs it.
type drawnDay struct {
	rng       *rand.Rand
	table     *Table
	now       *bootclock.Instant
	instances int
	upAt      []bootclock.Instant
	// crashesAt has the instances that crash in each step without a cause among the requests.
	crashesAt map[int][]int
	// inFlight is the probability that a read runs at an instance when that crashes.
	inFlight []float64
	deadly   bool
	// refusedSince is when a sound read began to be refused, 0 while it is served.
	refusedSince []bootclock.Instant

	asked, refused, deadlyCrashes int
	longestRefusal                time.Duration
}

func drawDay(seed uint64, instances int) *drawnDay {
	d := &drawnDay{rng: rand.New(rand.NewPCG(seed, 0)), instances: instances, upAt: make([]bootclock.Instant, instances), crashesAt: map[int][]int{}, refusedSince: make([]bootclock.Instant, soundReads)}
	d.table, d.now = newTestTable()
	for range soundReads {
		d.inFlight = append(d.inFlight, d.rng.Float64())
	}
	d.deadly = d.rng.IntN(2) == 0
	steps := int(dayLength / dayStep)
	for range 1 + d.rng.IntN(4) {
		at := d.rng.IntN(steps / 2)
		gap := d.rng.IntN(2) // 1: one after the other, as after a faulty release
		for n, i := range d.drawGroup() {
			d.crashesAt[at+n*gap] = append(d.crashesAt[at+n*gap], i)
		}
	}
	return d
}

// drawGroup returns instances that crash for the same reason: all of a domain, of a rack, or some.
func (d *drawnDay) drawGroup() (out []int) {
	domain, rack := d.rng.IntN(domains), d.rng.IntN(racksPerDomain)
	switch d.rng.IntN(3) {
	case 0:
		for i := domain; i < d.instances; i += domains {
			out = append(out, i)
		}
	case 1:
		for i := domain + domains*rack; i < d.instances; i += domains * racksPerDomain {
			out = append(out, i)
		}
	default:
		out = d.rng.Perm(d.instances)[:min(d.instances, 1+d.rng.IntN(5))]
	}
	return out
}

func (d *drawnDay) play() {
	for step := range int(dayLength / dayStep) {
		*d.now += bootclock.Instant(dayStep)
		for _, i := range d.crashesAt[step] {
			d.crash(i)
		}
		if d.deadly {
			d.askDeadly()
		}
		for n := range soundReads {
			d.askSound(n)
		}
	}
}

func (d *drawnDay) crash(i int) {
	if d.upAt[i] > *d.now {
		return
	}
	d.upAt[i] = *d.now + bootclock.Instant(restartTime)
	for n := range soundReads {
		if d.refusedSince[n] == 0 && d.rng.Float64() < d.inFlight[n] {
			d.table.RecordCrash(testFingerprint(n), fmt.Sprint("i-", i), time.Duration(d.rng.IntN(int(dayStep))))
		}
	}
}

// liveInstance returns an instance that is up, -1 if none is.
func (d *drawnDay) liveInstance() int {
	first := d.rng.IntN(d.instances)
	for n := range d.instances {
		if i := (first + n) % d.instances; d.upAt[i] <= *d.now {
			return i
		}
	}
	return -1
}

func (d *drawnDay) askDeadly() {
	i := d.liveInstance()
	f := testFingerprint(soundReads)
	if i < 0 || d.rng.IntN(2) == 0 || d.table.Admit(f).Refused {
		return
	}
	d.deadlyCrashes++
	d.table.RecordCrash(f, fmt.Sprint("i-", i), time.Duration(d.rng.IntN(int(dayStep))))
	d.crash(i)
}

func (d *drawnDay) askSound(n int) {
	i := d.liveInstance()
	if i < 0 {
		return
	}
	d.asked++
	if !d.table.Admit(testFingerprint(n)).Refused {
		d.refusedSince[n] = 0
		*d.now++ // the run ends later than any crash before it
		d.table.RecordCompletion(testFingerprint(n), fmt.Sprint("i-", i))
		return
	}
	d.refused++
	if d.refusedSince[n] == 0 {
		d.refusedSince[n] = *d.now
	}
	d.longestRefusal = max(d.longestRefusal, d.now.Sub(d.refusedSince[n]))
}

// TestSoundReadsAreServedOnDrawnDays plays days on which instances crash by domain, rack, release and at random, beside a request
// that crashes each instance that runs it on half of them. Sound reads, which are in flight at many crashes, must not be refused
// for long, and the deadly request must be contained.
func TestSoundReadsAreServedOnDrawnDays(t *testing.T) {
	const (
		maxRefusal       = 5 * time.Second
		maxDeadlyCrashes = 5 // three until the verdict, trials after 2 s and a minute
	)
	for _, instances := range []int{3, 12, 460} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			var asked, refused, long, uncontained, mostCrashes int
			var longest time.Duration
			for seed := range drawnDays {
				d := drawDay(uint64(seed), instances)
				d.play()
				asked, refused = asked+d.asked, refused+d.refused
				longest, mostCrashes = max(longest, d.longestRefusal), max(mostCrashes, d.deadlyCrashes)
				if d.longestRefusal > maxRefusal {
					long++
				}
				if d.deadlyCrashes > maxDeadlyCrashes {
					uncontained++
				}
			}
			t.Logf("%d of %d sound reads refused; for more than %s on %d days, for %s at most; deadly request: %d crashes at most, more than %d on %d days", refused, asked, maxRefusal, long, longest, mostCrashes, maxDeadlyCrashes, uncontained)
			require.Zero(t, long)
			require.Zero(t, uncontained)
		})
	}
}
