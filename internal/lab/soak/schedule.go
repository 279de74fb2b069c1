package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Fault is a kind of fault or change from outside.
type Fault string

// Faults of processes.
const (
	FaultFreeze Fault = "freeze"
	FaultKill   Fault = "kill"
	FaultStop   Fault = "stop"
	FaultReload Fault = "reload"
	FaultClock  Fault = "clock"
)

// Faults of links.
const (
	FaultDelay   Fault = "link-delay"
	FaultLoss    Fault = "link-loss"
	FaultReset   Fault = "link-reset"
	FaultOneWay  Fault = "link-one-way"
	FaultSilence Fault = "link-silence"
)

// Faults of the store.
const (
	FaultStoreDown   Fault = "store-down"
	FaultStoreSilent Fault = "store-silent"
	FaultStoreSlow   Fault = "store-slow"
	FaultStoreLoses  Fault = "store-loses-answers"
	FaultStoreLate   Fault = "store-late-writes"
	FaultStoreDeaf   Fault = "store-deaf-watches"
	FaultStoreForget Fault = "store-forgets"
	FaultStoreSome   Fault = "store-turns-some-away"
	FaultStoreStale  Fault = "store-stale"
	// FaultStoreRestore has the store come back from an older copy.
	FaultStoreRestore Fault = "store-restored"
)

// Faults of instances and of the platform's API.
const (
	FaultShed       Fault = "instance-sheds"
	FaultError      Fault = "instance-errors"
	FaultLoseAnswer Fault = "instance-loses-answers"
	FaultCut        Fault = "instance-cuts"
	FaultStray      Fault = "instance-strays"
	FaultUnsealed   Fault = "instance-unsealed"
	FaultHang       Fault = "instance-hangs"
	FaultHangMid    Fault = "instance-hangs-mid-stream"
	FaultLateOrders Fault = "instance-late-orders"
	FaultCrash      Fault = "instance-crash"
	FaultDrain      Fault = "instance-drains"
	FaultRemove     Fault = "instance-removed"
	FaultReuse      Fault = "instance-address-reused"
	FaultShedAll    Fault = "service-sheds"
	FaultShedSome   Fault = "service-sheds-some"
	FaultAPI        Fault = "api-loses-answers"
)

// FaultConfig is a change of the configuration.
const FaultConfig Fault = "configuration"

// Parties that the faults of links strike.
const (
	partyAny       = ""
	partyInstances = "instances"
	partyPeers     = "peers"
)

// Action is one step of a schedule.
type Action struct {
	At    time.Duration
	Fault Fault
	// Gateways are the processes that it strikes, Party is at the other end of a link. With
	// Holder set, it strikes the process that holds the duties then, if there is one, and with
	// Watcher one of those that watch the store for the others.
	Gateways []int
	Holder   bool
	Watcher  bool
	Party    string
	// Place is that of the instance, Other that of a second one, Service that of all of a
	// service.
	Place   int
	Other   int
	Service string
	// Count is how many requests an instance fails, or how many configurations follow each other.
	Count int
	// For is how long the fault lasts.
	For        time.Duration
	Conditions Conditions
	// Rate is what an instance names as its limit, in requests a second.
	Rate float64
	// Clock is by how much the clock of a process is wrong.
	Clock time.Duration
}

// String describes the action in a line.
func (a Action) String() string {
	text := fmt.Sprintf("%s for %s at %v", a.Fault, a.For, a.Gateways)
	if a.Party != "" {
		text += " to " + a.Party
	}
	if len(a.Gateways) == 0 {
		text = fmt.Sprintf("%s for %s", a.Fault, a.For)
	}
	if strings.HasPrefix(string(a.Fault), "instance") {
		text += fmt.Sprintf(" at place %d, %d times", a.Place, a.Count)
	}
	return strings.TrimSpace(text + " " + a.Service)
}

const (
	// waveLength is the time in which the faults of a wave begin, pauseLength the most that
	// passes before the next wave: long enough for processes to be undisturbed, and for
	// bounds of time to hold, in some pauses.
	waveLength  = 4 * time.Second
	pauseLength = 5 * time.Second
	// leastActions and mostActions are how many faults a wave has.
	leastActions, mostActions = 5, 12
	// longestFault is how long a fault lasts at the most.
	longestFault = 4 * time.Second
	// configEvery is the mean time between two configurations.
	configEvery = 1500 * time.Millisecond
	// stormShare is the share of changes that are a storm of stormSize configurations.
	stormShare = 0.1
	stormSize  = 6
	// herdShare is the share of faults of processes that strike half of them at once.
	herdShare = 0.1
	// failures is how many requests an instance fails.
	failures = 12
	// holderShare is the share of faults that strike the holder of the duties, for longer:
	// holderFault is longer than its lease and the pause before the next holder acts.
	holderShare = 0.3
	holderFault = 9 * time.Second
	// seriesShare is the share of faults of a process after which up to seriesMost more strike
	// the same one, each within seriesGap of the one before.
	seriesShare = 0.3
	seriesMost  = 3
	seriesGap   = 700 * time.Millisecond
	// worstClock is by how much the clock of a process is wrong at the worst, by the users' rules.
	worstClock = 5 * time.Second
)

// weighted is a way to make an action, and how often it is used.
type weighted struct {
	weight int
	make   func(*scheduler) Action
}

// scheduler makes a schedule.
type scheduler struct {
	rng       *rand.Rand
	processes int
	layout    *Layout
}

// Schedule returns the actions that a seed stands for, in order of their times.
func Schedule(seed uint64, processes int, layout *Layout, length time.Duration) []Action {
	s := &scheduler{rng: rand.New(rand.NewPCG(seed, 0)), processes: processes, layout: layout}
	var out []Action
	for at := time.Duration(0); at < length; at += waveLength + s.upTo(pauseLength) {
		for range leastActions + s.rng.IntN(mostActions-leastActions+1) {
			a := s.pick()
			a.At = at + s.upTo(waveLength)
			out = append(append(out, a), s.series(a)...)
		}
	}
	for at := s.upTo(configEvery); at < length; at += s.upTo(2 * configEvery) {
		a := Action{At: at, Fault: FaultConfig, Count: 1}
		if s.rng.Float64() < stormShare {
			a.Count = stormSize
		}
		out = append(out, a)
	}
	if layout.grown() {
		out = slices.DeleteFunc(out, func(a Action) bool { return slices.Contains(storeWide, a.Fault) && a.At > storeWideUntil(length) })
		out = slices.Concat(out, s.leaves(length), s.watcherFaults(length), s.restores(length), s.roll(length))
	}
	out = append(out, limits(seed, layout, length)...)
	out = slices.DeleteFunc(out, func(a Action) bool { return a.At >= length })
	slices.SortStableFunc(out, func(a, b Action) int { return int(a.At - b.At) })
	return out
}

// series returns faults that strike the same processes shortly after an action.
func (s *scheduler) series(a Action) []Action {
	var out []Action
	if len(a.Gateways) == 0 || s.rng.Float64() >= seriesShare {
		return nil
	}
	at := a.At
	for range 1 + s.rng.IntN(seriesMost) {
		at += s.upTo(seriesGap)
		next := s.pickFrom(processActions)
		next.At, next.Gateways, next.Holder = at, a.Gateways, a.Holder
		out = append(out, next)
	}
	return out
}

func (s *scheduler) upTo(most time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(most)))
}

func (s *scheduler) pick() Action { return s.pickFrom(actions) }

func (s *scheduler) pickFrom(from []weighted) Action {
	total := 0
	for _, w := range from {
		total += w.weight
	}
	at := s.rng.IntN(total)
	for _, w := range from {
		if at -= w.weight; at < 0 {
			return w.make(s)
		}
	}
	return Action{}
}

// some returns one process, seldom half of them.
func (s *scheduler) some() []int {
	n := 1
	if s.rng.Float64() < herdShare {
		n = max(1, s.processes/2)
	}
	return s.rng.Perm(s.processes)[:n]
}

// processFault strikes processes.
func processFault(f Fault, least, most time.Duration) func(*scheduler) Action {
	return func(s *scheduler) Action {
		return s.perhapsHolder(Action{Fault: f, Gateways: s.some(), For: least + s.upTo(most-least)})
	}
}

// perhapsHolder has some actions strike the holder of the duties, for longer.
func (s *scheduler) perhapsHolder(a Action) Action {
	if s.rng.Float64() < holderShare {
		a.Holder = true
		if a.Fault != FaultKill && a.Fault != FaultStop {
			a.For = s.upTo(holderFault)
		}
	}
	return a
}

// actions are all ways to make an action.
var actions = slices.Concat(processActions, linkActions, storeActions, instanceActions)

var processActions = []weighted{
	{6, processFault(FaultFreeze, 100*time.Millisecond, longestFault)},
	{4, processFault(FaultKill, 100*time.Millisecond, 2*time.Second)},
	{6, processFault(FaultStop, 100*time.Millisecond, 2*time.Second)},
	{4, processFault(FaultReload, time.Millisecond, time.Second)},
	{3, func(s *scheduler) Action {
		a := processFault(FaultClock, time.Millisecond, longestFault)(s)
		a.Clock = s.upTo(2*worstClock) - worstClock
		return a
	}},
}

func linkFault(f Fault, c func(s *scheduler) Conditions) func(*scheduler) Action {
	return func(s *scheduler) Action {
		parties := []string{partyAny, partyStore, partyInstances, partyPeers, partyCallers, partyAPI}
		return s.perhapsHolder(Action{
			Fault: f, Gateways: s.some(), Party: parties[s.rng.IntN(len(parties))],
			For: 100*time.Millisecond + s.upTo(longestFault), Conditions: c(s),
		})
	}
}

var linkActions = []weighted{
	{2, linkFault(FaultDelay, func(s *scheduler) Conditions { return Conditions{Delay: s.upTo(150 * time.Millisecond)} })},
	{2, linkFault(FaultLoss, func(s *scheduler) Conditions { return Conditions{Loss: 0.3 * s.rng.Float64()} })},
	{3, linkFault(FaultReset, func(*scheduler) Conditions { return Conditions{} })},
	{3, linkFault(FaultOneWay, func(s *scheduler) Conditions {
		there := s.rng.IntN(2) == 0
		return Conditions{CutThere: there, CutBack: !there}
	})},
	{3, linkFault(FaultSilence, func(*scheduler) Conditions { return Conditions{CutThere: true, CutBack: true} })},
}

func storeFault(f Fault) func(*scheduler) Action {
	return func(s *scheduler) Action {
		return Action{Fault: f, For: 200*time.Millisecond + s.upTo(longestFault)}
	}
}

var storeActions = []weighted{
	{1, storeFault(FaultStoreDown)},
	{1, storeFault(FaultStoreSilent)},
	{1, storeFault(FaultStoreSlow)},
	{2, storeFault(FaultStoreLoses)},
	{1, storeFault(FaultStoreLate)},
	{1, storeFault(FaultStoreDeaf)},
	{2, storeFault(FaultStoreForget)},
	{2, storeFault(FaultStoreStale)},
	{2, func(s *scheduler) Action {
		a := storeFault(FaultStoreSome)(s)
		a.Gateways = s.some()
		return a
	}},
}

func anyService(string) bool { return true }

func hasEvents(service string) bool { return service == serviceModels }

func hasNoEvents(service string) bool { return service != serviceModels }

// instanceFault strikes one instance of a service that suits.
func instanceFault(f Fault, count int, suits func(service string) bool) func(*scheduler) Action {
	return func(s *scheduler) Action {
		places := s.layout.Places
		place := s.rng.IntN(len(places))
		for !suits(places[place].Service) {
			place = s.rng.IntN(len(places))
		}
		return Action{Fault: f, Place: place, Other: s.rng.IntN(len(places)), Count: 1 + s.rng.IntN(count), For: 100*time.Millisecond + s.upTo(longestFault)}
	}
}

// serviceFault strikes all instances of a service.
func serviceFault(f Fault) func(*scheduler) Action {
	return func(s *scheduler) Action {
		services := []string{serviceApp, serviceModels}
		return Action{Fault: f, Service: services[s.rng.IntN(len(services))], For: time.Second + s.upTo(longestFault)}
	}
}

var instanceActions = []weighted{
	{2, instanceFault(FaultShed, failures, anyService)},
	{2, instanceFault(FaultError, failures, anyService)},
	{2, instanceFault(FaultLoseAnswer, failures, anyService)},
	{3, instanceFault(FaultCut, failures, hasEvents)},
	{2, instanceFault(FaultStray, failures, hasNoEvents)},
	{2, instanceFault(FaultUnsealed, failures, anyService)},
	{2, instanceFault(FaultHang, failures, anyService)},
	{2, instanceFault(FaultHangMid, failures, hasEvents)},
	{2, instanceFault(FaultLateOrders, 1, hasEvents)},
	{3, instanceFault(FaultCrash, 1, anyService)},
	{4, instanceFault(FaultDrain, 1, anyService)},
	{2, instanceFault(FaultRemove, 1, anyService)},
	{2, instanceFault(FaultReuse, 1, anyService)},
	{2, serviceFault(FaultShedAll)},
	{4, serviceFault(FaultShedSome)},
	{1, func(s *scheduler) Action {
		return Action{Fault: FaultAPI, For: 200*time.Millisecond + s.upTo(longestFault)}
	}},
}
