package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
)

// FaultRelease replaces engines by engines of another version.
const FaultRelease Fault = "release"

const (
	// releaseSeed selects a separate random sequence for releases, so that the schedules of the other faults don't depend on
	// them.
	releaseSeed = 7
	// aloneTime is how long a version serves alone before the next one joins: longer than a stream may live.
	aloneTime = streamTimeout + 500*time.Millisecond
	// joinTime is the time from the first engine of a version to the last. In it clients begin more streams, streamShare of
	// their requests, and drop dropShare of these within maxDropDelay to resume them elsewhere.
	joinTime     = 4 * time.Second
	streamShare  = 0.5
	dropShare    = 0.6
	maxDropDelay = 600 * time.Millisecond
	// outOfStepShare is the share of resumptions in that time for which clients choose a host that is out of step.
	outOfStepShare = 0.5
	// maxJoining is the largest number of engines that join at once.
	maxJoining = 3
	// Hosts are out of step from up to maxLead before a version joins, for minOutOfStep to maxOutOfStep.
	maxLead      = 500 * time.Millisecond
	minOutOfStep = 200 * time.Millisecond
	maxOutOfStep = 10 * time.Second
	// All processes are killed up to maxKillDelay after a version joins, mostly within earlyKillDelay, and start
	// minDark to maxDark later.
	maxKillDelay   = 2 * time.Second
	earlyKillDelay = 300 * time.Millisecond
	minDark        = 600 * time.Millisecond
	maxDark        = 2600 * time.Millisecond
	// storeAwayShare is the share of such kills with a fault of the store.
	storeAwayShare = 0.3
)

// hasReleases reports whether versions of engines follow one another in a seed. In the others, they change with each restart.
func hasReleases(seed uint64) bool { return seed%5 >= 3 }

// releaseActions has versions replace one another while hosts are out of step or all processes are killed.
func releaseActions(seed uint64, processes int, layout *Layout, length time.Duration) []Action {
	if !hasReleases(seed) {
		return nil
	}
	s := &scheduleBuilder{rng: rand.New(rand.NewPCG(seed, releaseSeed)), processes: processes, layout: layout}
	var out []Action
	engines, version := layout.placesOf(serviceModels), 0
	for at := aloneTime; at < length; at += joinTime + aloneTime + s.randomDuration(time.Second) {
		version++
		all := s.shuffled(engines)
		first := all[:1+s.rng.IntN(min(maxJoining, len(all)))]
		if s.rng.IntN(3) == 0 {
			first = all // the last engines of the version before leave in the same moment
		}
		out = append(out, Action{At: at, Fault: FaultRelease, Places: first, Version: version}, Action{At: at + joinTime, Fault: FaultRelease, Places: all, Version: version})
		if s.rng.IntN(2) == 0 {
			out = append(out, s.outOfStep(at)...)
		} else {
			out = append(out, s.killedInRelease(at, first, version)...)
		}
	}
	return out
}

// outOfStep has some hosts suspended or cut off while a version joins.
func (s *scheduleBuilder) outOfStep(at time.Duration) []Action {
	a := Action{At: at - s.randomDuration(maxLead), OutOfStep: true, Gateways: s.rng.Perm(s.processes)[:1+s.rng.IntN(max(1, s.processes/2))], Duration: minOutOfStep + s.randomDuration(maxOutOfStep-minOutOfStep)}
	if s.rng.IntN(4) == 0 {
		a.Fault = FaultFreeze
		return []Action{a}
	}
	a.Fault, a.Conditions = FaultSilence, Conditions{BlockForward: true, BlockBackward: true}
	if s.rng.IntN(4) == 0 {
		forward := s.rng.IntN(2) == 0
		a.Fault, a.Conditions = FaultOneWay, Conditions{BlockForward: forward, BlockBackward: !forward}
	}
	var out []Action
	both := []string{partyStore, partyPeers}
	for _, party := range [][]string{{partyStore}, {partyPeers}, both, both, both}[s.rng.IntN(5)] {
		a.Party = party
		out = append(out, a)
	}
	return out
}

// killedInRelease has all processes killed soon after a version has joined. In most cases its engines leave meanwhile.
func (s *scheduleBuilder) killedInRelease(at time.Duration, joined []int, version int) []Action {
	delay := []time.Duration{earlyKillDelay, earlyKillDelay, maxKillDelay}[s.rng.IntN(3)]
	kill := Action{At: at + s.randomDuration(delay), Fault: FaultKill, Gateways: s.rng.Perm(s.processes), Duration: minDark + s.randomDuration(maxDark-minDark)}
	out := []Action{kill}
	if s.rng.IntN(3) > 0 {
		out = append(out, Action{At: kill.At + s.randomDuration(minDark), Fault: FaultRelease, Places: joined, Version: version - 1})
	}
	if s.rng.Float64() < storeAwayShare {
		f := []Fault{FaultStoreDown, FaultStoreSilent, FaultStoreStale}[s.rng.IntN(3)]
		out = append(out, Action{At: at - maxLead + s.randomDuration(maxKillDelay), Fault: f, Duration: maxLead + s.randomDuration(maxDark)})
	}
	return out
}

func (s *scheduleBuilder) shuffled(all []int) []int {
	out := slices.Clone(all)
	s.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// placesOf returns the indexes of the places of a service.
func (l *Layout) placesOf(service string) (out []int) {
	for n, p := range l.Places {
		if p.Service == service {
			out = append(out, n)
		}
	}
	return out
}

// release replaces the engines of the places that do not run the version.
func (w *world) release(a Action) {
	now := time.Now()
	w.released.Store(&now)
	for _, n := range a.Places {
		p := w.places[n]
		p.mu.Lock()
		changed := p.version != a.Version
		p.version = a.Version
		p.mu.Unlock()
		if changed {
			p.crash(0)
		}
	}
}

// isReleasing reports whether a version has joined or left recently.
func (w *world) isReleasing() bool {
	at := w.released.Load()
	return at != nil && time.Since(*at) < joinTime
}

// connectOutOfStep connects to a gateway that is out of step. It returns false if there is none, or the client does not prefer
// one.
func (c *client) connectOutOfStep() bool {
	preferred := c.w.outOfStep.Load()
	if preferred == nil || !c.w.isReleasing() || c.rng.Float64() >= outOfStepShare {
		return false
	}
	return c.connectTo(slices.DeleteFunc(c.w.readyProcesses(), func(n int) bool { return !slices.Contains(*preferred, n) }))
}

// software returns the version of the next instance of a place. The caller holds the lock.
func (p *place) software() string {
	if hasReleases(p.w.o.Seed) {
		return versionName(p.version)
	}
	return p.w.softwareVersion(p.number, p.starts)
}

// isDecode reports whether the engines of a place begin in the decode stage.
func (p *place) isDecode() bool { return p.Stage == fleetengine.StageDecode }
