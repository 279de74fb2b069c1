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

// newShard is the lease of this version.
const newShard = "duties"

// kind is a kind of fault.
type kind int

// Kinds of faults. The first ones concern one machine, the others all.
const (
	pause kind = iota
	killed
	stopped
	rolled
	demoted
	cutStore
	cutPlatform
	storeLost
	storeLate
	storeSlow
	platformDown
	platformLost
	kinds
)

var kindNames = [kinds]string{
	"pause", "kill", "stop", "holders are stopped one after the other, the first one", "no scheduler", "cut from the store", "cut from the platform", "store loses answers", "store carries out late", "store is slow",
	"platform is down", "platform loses answers",
}

const (
	// played is how long faults come, calm how long it is quiet after them.
	played = 70 * time.Second
	calm   = 30 * time.Second
	// lately is how long before the end there must have been a call: in the calm time a lease
	// lapses, a successor waits, and a window ends.
	lately = 15 * time.Second
	// present stands for the machine that holds the lease when the fault comes.
	present = -1
)

// trouble is a fault that comes at a time.
type trouble struct {
	kind    kind
	at      time.Duration
	length  time.Duration
	machine int
}

func (t trouble) String() string {
	return fmt.Sprintf("%v %s machine %d for %v", t.at, kindNames[t.kind], t.machine, t.length)
}

// course is what is played.
type course struct {
	seed uint64
	// machines run this version, but the last former ones.
	machines, former int
	troubles         []trouble
}

// most is how many troubles a course has at the most.
const most = 14

// drawCourse draws a course. All but the number of troubles comes from the seed, since rapid
// prefers small numbers; fewer troubles are the first ones of the same course.
func drawCourse(t *rapid.T) course {
	c := course{seed: rapid.Uint64().Draw(t, "seed")}
	rng := rand.New(rand.NewPCG(c.seed, 0))
	c.machines = 2 + rng.IntN(3)
	if rng.IntN(2) > 0 {
		c.former = 1 + rng.IntN(c.machines-1)
	}
	ms := func(low, high int) time.Duration { return time.Duration(low+rng.IntN(high-low)) * time.Millisecond }
	for range most {
		c.troubles = append(c.troubles, trouble{
			kind: kind(rng.IntN(int(kinds))), at: ms(0, int(played.Milliseconds())), length: ms(100, 12000),
			machine: max(present, rng.IntN(2*c.machines)-c.machines),
		})
	}
	c.troubles = c.troubles[:most-rapid.IntRange(0, most).Draw(t, "left out")]
	slices.SortStableFunc(c.troubles, func(a, b trouble) int { return int(a.at - b.at) })
	return c
}

// beginning is in what time after the start of all processes at once the troubles of a start come:
// the first writes of the leases.
const beginning = 150 * time.Millisecond

// drawStart draws a course in which two or more candidates start at the same moment, and all that goes
// wrong goes wrong with the first writes.
func drawStart(t *rapid.T) course {
	c := drawCourse(t)
	rng := rand.New(rand.NewPCG(c.seed, 2))
	kinds := []kind{pause, killed, stopped, cutStore, storeLost, storeLate}
	c.former = min(c.former, c.machines-2)
	for n := range c.troubles {
		c.troubles[n].kind = kinds[rng.IntN(len(kinds))]
		c.troubles[n].at = time.Duration(rng.Int64N(int64(beginning)))
	}
	slices.SortStableFunc(c.troubles, func(a, b trouble) int { return int(a.at - b.at) })
	return c
}

// fleetOf is the processes of a course.
type fleetOf struct {
	w        *world
	c        course
	runs     int
	machines []*process
}

// play plays a course. It runs in a bubble of virtual time.
func play(c course) *world {
	f := &fleetOf{w: newWorld(c.seed), c: c, machines: make([]*process, c.machines)}
	begun := time.Now()
	for n := range f.machines {
		f.start(n)
	}
	for _, t := range c.troubles {
		time.Sleep(t.at - time.Since(begun))
		f.strike(t)
	}
	time.Sleep(played + calm - time.Since(begun))
	for _, p := range f.machines {
		p.kill()
	}
	for _, p := range f.machines {
		p.ended.Wait()
	}
	return f.w
}

// start starts a new run on a machine.
func (f *fleetOf) start(n int) {
	f.runs++
	p := newProcess(f.w, fmt.Sprint("m", n), fmt.Sprint("m", n, "/", f.runs))
	f.machines[n] = p
	if n >= f.c.machines-f.c.former {
		p.start(p.former)
		return
	}
	p.start(p.newest)
}

// restart stops a run in order and starts another one.
func (f *fleetOf) restart(n int) {
	f.machines[n].stop()
	f.machines[n].ended.Wait()
	f.start(n)
}

// holder returns the machine that has the lease, the first one if none has.
func (f *fleetOf) holder() int {
	holder := f.w.holder(formerShard).Holder
	return max(slices.IndexFunc(f.machines, func(p *process) bool { return p.machine == holder }), 0)
}

// strike has a fault come.
func (f *fleetOf) strike(t trouble) {
	n := t.machine
	if n == present {
		n = f.holder()
	}
	p := f.machines[n]
	switch t.kind {
	case pause:
		p.pause(t.length)
	case killed:
		p.kill()
		f.start(n)
	case stopped:
		f.restart(n)
	case rolled:
		for range f.machines {
			f.restart(f.holder())
			time.Sleep(t.length / 6)
		}
	case demoted, cutStore, cutPlatform:
		f.w.set(effect{t.kind, p.machine}, t.length)
	default:
		f.w.set(effect{t.kind, ""}, t.length)
	}
}

// check returns what is wrong with a history.
func (w *world) check() []string {
	wrong := w.unlawful
	machines, contents := map[int64]string{}, map[int64]string{}
	bySubject := map[string][]call{}
	for _, c := range w.calls {
		if m, used := machines[c.token]; used && m != c.machine {
			wrong = append(wrong, fmt.Sprintf("token %d is used by %s and %s", c.token, m, c.machine))
		}
		machines[c.token] = c.machine
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
		wrong = append(wrong, checkTurns(w.calls)...)
	}
	return wrong
}

// checkTokens checks that tokens never fall among the calls of one subject, in the order in
// which they arrived.
func checkTokens(subject string, calls []call) (wrong []string) {
	for n, c := range calls[1:] {
		if c.token < calls[n].token {
			wrong = append(wrong, fmt.Sprintf("%s: token %d after %d", subject, c.token, calls[n].token))
		}
	}
	return wrong
}

// checkTurns checks that the calls of two machines, whatever they are about, lie the life of a
// lease apart, so that no machine can act again so soon after another.
func checkTurns(calls []call) (wrong []string) {
	for n, c := range calls[1:] {
		if before := calls[n]; c.machine != before.machine && c.at.Sub(before.at) < modelTTL {
			wrong = append(wrong, fmt.Sprintf("%s calls with token %d %v after %s with %d", c.machine, c.token, c.at.Sub(before.at), before.machine, before.token))
		}
	}
	return wrong
}

// TestHistoriesOfHolders plays random courses of pauses, cuts, restarts, lost and late answers,
// also with versions side by side, and checks what reached the platform: no token is used by
// two machines or falls, the calls of two machines lie the life of a lease apart, no window
// has two contents, no call is made without a lease that outlives it, and when all is quiet
// again the duties are done. A course lasts 100 s of virtual time. Goroutines that wake at the
// same moment do so in any order, so a seed need not give quite the same course again.
func TestHistoriesOfHolders(t *testing.T) {
	t.Parallel()
	checkHistories(t, drawCourse)
}

// TestHistoriesOfHoldersThatStartTogether plays courses in which candidates start together, as
// TestHistoriesOfHolders does. One that loses the duties may have taken the lease of former versions
// under a higher token, and keep it.
func TestHistoriesOfHoldersThatStartTogether(t *testing.T) {
	t.Parallel()
	checkHistories(t, drawStart)
}

func checkHistories(t *testing.T, draw func(*rapid.T) course) {
	courses, calls, grants, failed := 0, 0, 0, 0
	t.Cleanup(func() {
		t.Logf("%d courses, %d calls, %d grants of the lease; the first course that failed: %d", courses, calls, grants, failed)
	})
	rapid.Check(t, func(rt *rapid.T) {
		c := draw(rt)
		var w *world
		synctest.Test(t, func(*testing.T) { w = play(c) })
		courses++
		calls += len(w.calls)
		grants += int(w.holder(newShard).Token)
		wrong := w.check()
		if len(w.calls) == 0 || w.calls[len(w.calls)-1].at.Before(w.begun.Add(played+calm-lately)) {
			wrong = append(wrong, fmt.Sprintf("duties are not done in the end: %+v, %+v", w.holder(newShard), w.holder(formerShard)))
		}
		if len(wrong) > 0 {
			failed = cmp.Or(failed, courses)
			rt.Fatalf("%d machines, %d former, %v:\n%s", c.machines, c.former, c.troubles, strings.Join(wrong, "\n"))
		}
	})
}
