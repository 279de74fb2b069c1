package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Fault is a kind of fault, or of planned change, that the soak injects.
type Fault string

// Faults of gateway processes.
const (
	FaultFreeze Fault = "freeze" // SIGSTOP, and SIGCONT after the duration
	FaultKill   Fault = "kill"   // SIGKILL
	FaultStop   Fault = "stop"   // SIGTERM, as at a planned stop
	FaultReload Fault = "reload" // new settings and SIGHUP
	FaultClock  Fault = "clock"  // the clock is wrong by ClockOffset
)

// Faults of network links.
const (
	FaultDelay   Fault = "link-delay"
	FaultLoss    Fault = "link-loss"
	FaultReset   Fault = "link-reset"   // all connections are reset once
	FaultOneWay  Fault = "link-one-way" // one direction is blocked
	FaultSilence Fault = "link-silence" // both directions are blocked
	FaultRefuse  Fault = "link-refused" // connections are reset and new ones refused
)

// Faults of the store.
const (
	FaultStoreDown          Fault = "store-down"   // every call gets an error
	FaultStoreSilent        Fault = "store-silent" // no call gets a response
	FaultStoreSlow          Fault = "store-slow"
	FaultStoreLoses         Fault = "store-loses-answers"   // writes are carried out, but their responses are lost
	FaultStoreLate          Fault = "store-late-writes"     // like FaultStoreLoses, and writes are carried out late
	FaultStoreSilentWatches Fault = "store-deaf-watches"    // watches stay open without reporting changes
	FaultStoreDropsHistory  Fault = "store-forgets"         // the history is dropped, so that watches have to list again
	FaultStoreRefusesSome   Fault = "store-turns-some-away" // the store is down for some processes only
	FaultStoreStale         Fault = "store-stale"           // reads that accept stale data get old data
	// FaultStoreRestore restores the store from an older snapshot.
	FaultStoreRestore Fault = "store-restored"
)

// Faults of instances and of the platform's API.
const (
	FaultShed         Fault = "instance-sheds"            // requests are rejected with 503 and do not run
	FaultError        Fault = "instance-errors"           // requests run and get a response with status 500
	FaultLoseResponse Fault = "instance-loses-answers"    // requests run, and their connections are closed without a response
	FaultCut          Fault = "instance-cuts"             // streams are truncated in the middle of an event
	FaultStray        Fault = "instance-strays"           // a response to another request comes first
	FaultUnsealed     Fault = "instance-unsealed"         // the response has no seal
	FaultHang         Fault = "instance-hangs"            // requests run without a response
	FaultHangMid      Fault = "instance-hangs-mid-stream" // streams stop after their first event
	FaultLateOrders   Fault = "instance-late-orders"      // orders get no response and are carried out late
	FaultCrash        Fault = "instance-crash"
	FaultDrain        Fault = "instance-drains"         // announces that it drains, and ends later
	FaultRemove       Fault = "instance-removed"        // is deregistered, and ends later
	FaultReuse        Fault = "instance-address-reused" // two instances end and new ones swap their addresses
	FaultMisdirect    Fault = "instance-misdirects"     // requests are rejected as not meant for the instance
	FaultSilent       Fault = "instance-silent"         // requests run without a response for some seconds
	FaultEndlessHead  Fault = "instance-endless-head"   // responses begin with a header that does not end
	FaultEndlessEvent Fault = "instance-endless-event"  // responses begin with an event that does not end
	FaultCrashAll     Fault = "service-crashes"         // all instances of a service crash together
	FaultShedAll      Fault = "service-sheds"           // all requests of a service are rejected
	FaultShedSome     Fault = "service-sheds-some"      // every n-th request of a service is rejected
	FaultAPI          Fault = "api-loses-answers"       // calls are carried out, but their responses are lost
)

// FaultConfig is a configuration change.
const FaultConfig Fault = "configuration"

// Parties at the far end of the links that a link fault affects.
const (
	partyAny       = ""
	partyInstances = "instances"
	partyPeers     = "peers"
)

// Action is one step of a schedule.
type Action struct {
	At    time.Duration
	Fault Fault
	// Gateways are the affected processes, Party the far end of the affected links. With
	// TargetHolder set, the action affects the current duty holder instead of Gateways, if there is
	// one; with TargetWatcher set, one of the processes that watch the store for the others.
	Gateways      []int
	TargetHolder  bool
	TargetWatcher bool
	Party         string
	// Place is the index of the affected instance's place, OtherPlace that of a second one. Service
	// is set if all instances of a service are affected.
	Place      int
	OtherPlace int
	Service    string
	// Count is the number of requests that an instance fails, or of configurations written in a
	// row.
	Count int
	// Places are the places whose engines are replaced by those of the version with the number Version.
	Places  []int
	Version int
	// OutOfStep is true if clients prefer the affected processes to resume streams.
	OutOfStep bool
	// Duration is how long the fault lasts.
	Duration   time.Duration
	Conditions Conditions
	// Rate is the rate limit that an instance announces, in requests per second.
	Rate float64
	// ClockOffset is the error of a process's clock.
	ClockOffset time.Duration
}

// String describes the action in one line.
func (a Action) String() string {
	text := fmt.Sprintf("%s for %s at %v", a.Fault, a.Duration, a.Gateways)
	if a.Party != "" {
		text += " to " + a.Party
	}
	if len(a.Gateways) == 0 {
		text = fmt.Sprintf("%s for %s", a.Fault, a.Duration)
	}
	if strings.HasPrefix(string(a.Fault), "instance") {
		text += fmt.Sprintf(" at place %d, %d times", a.Place, a.Count)
	}
	if a.Fault == FaultOddEntries {
		text += fmt.Sprintf(": %d from form %d", a.Count, a.Place)
	}
	if a.Fault == FaultRelease {
		text += fmt.Sprintf(" of %s at places %v", versionName(a.Version), a.Places)
	}
	return strings.TrimSpace(text + " " + a.Service)
}

const (
	// All faults of a wave begin within waveLength. The pause before the next wave is at most
	// maxPause: some pauses are then long enough for processes to be undisturbed, so that time
	// bounds apply to them.
	waveLength = 4 * time.Second
	maxPause   = 5 * time.Second
	// minActions and maxActions bound the number of faults in a wave.
	minActions, maxActions = 5, 12
	// maxFaultDuration is the longest duration of an ordinary fault.
	maxFaultDuration = 4 * time.Second
	// meanConfigInterval is the mean time between two configuration changes.
	meanConfigInterval = 1500 * time.Millisecond
	// configBurstShare is the share of changes that write configBurstSize configurations in a row.
	configBurstShare = 0.1
	configBurstSize  = 6
	// groupFaultShare is the share of process faults that affect half of the processes at once.
	groupFaultShare = 0.1
	// maxFailedRequests is the largest number of requests that an instance fault makes fail.
	maxFailedRequests = 12
	// holderFaultShare is the share of process and link faults that affect the duty holder.
	// maxHolderFault exceeds the sum of the lease duration and the handover delay before the next
	// holder acts.
	holderFaultShare = 0.3
	maxHolderFault   = 9 * time.Second
	// repeatShare is the share of process and link faults that are followed by up to maxRepeats
	// more process faults at the same process, each at most maxRepeatGap after the one before.
	repeatShare  = 0.3
	maxRepeats   = 3
	maxRepeatGap = 700 * time.Millisecond
	// maxClockOffset is the largest clock error that the users' rules allow for.
	maxClockOffset = 5 * time.Second
)

// weightedAction generates an action; weight is its relative frequency.
type weightedAction struct {
	weight int
	make   func(*scheduleBuilder) Action
}

// scheduleBuilder generates the schedule of a run.
type scheduleBuilder struct {
	rng       *rand.Rand
	processes int
	layout    *Layout
}

// Schedule returns the actions for a seed, ordered by time. The same arguments give the same
// schedule.
func Schedule(seed uint64, processes int, layout *Layout, length time.Duration) []Action {
	s := &scheduleBuilder{rng: rand.New(rand.NewPCG(seed, 0)), processes: processes, layout: layout}
	var out []Action
	for at := time.Duration(0); at < length; at += waveLength + s.randomDuration(maxPause) {
		for range minActions + s.rng.IntN(maxActions-minActions+1) {
			a := s.randomAction()
			a.At = at + s.randomDuration(waveLength)
			out = append(append(out, a), s.repeatedFaults(a)...)
		}
	}
	for at := s.randomDuration(meanConfigInterval); at < length; at += s.randomDuration(2 * meanConfigInterval) {
		a := Action{At: at, Fault: FaultConfig, Count: 1}
		if s.rng.Float64() < configBurstShare {
			a.Count = configBurstSize
		}
		out = append(out, a)
	}
	if layout.isCustom() {
		out = slices.DeleteFunc(out, func(a Action) bool { return slices.Contains(storeWideFaults, a.Fault) && a.At > storeFaultsEnd(length) })
		out = slices.Concat(out, s.withdrawals(length), s.watcherFaults(length), s.storeRestores(length), s.rollingRestart(length))
	}
	out = slices.Concat(out, rateLimitActions(seed, layout, length), rejectionActions(seed, processes, layout, length), sickInstanceActions(seed, layout, length), lateResponseActions(seed, processes, layout, length),
		garbageActions(seed, layout, length), foreignActions(seed, layout, length), oddEntryActions(seed, processes, layout, length), releaseActions(seed, processes, layout, length))
	out = slices.DeleteFunc(out, func(a Action) bool { return a.At >= length })
	slices.SortStableFunc(out, func(a, b Action) int { return int(a.At - b.At) })
	return out
}

// repeatedFaults returns further faults of the same processes shortly after an action.
func (s *scheduleBuilder) repeatedFaults(a Action) []Action {
	var out []Action
	if len(a.Gateways) == 0 || s.rng.Float64() >= repeatShare {
		return nil
	}
	at := a.At
	for range 1 + s.rng.IntN(maxRepeats) {
		at += s.randomDuration(maxRepeatGap)
		next := s.randomActionFrom(processActions)
		next.At, next.Gateways, next.TargetHolder = at, a.Gateways, a.TargetHolder
		out = append(out, next)
	}
	return out
}

func (s *scheduleBuilder) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(limit)))
}

func (s *scheduleBuilder) randomAction() Action { return s.randomActionFrom(actions) }

func (s *scheduleBuilder) randomActionFrom(from []weightedAction) Action {
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

// randomProcesses returns one process, or occasionally half of them.
func (s *scheduleBuilder) randomProcesses() []int {
	n := 1
	if s.rng.Float64() < groupFaultShare {
		n = max(1, s.processes/2)
	}
	return s.rng.Perm(s.processes)[:n]
}

// processFault returns a generator of faults of one or several processes.
func processFault(f Fault, minDuration, maxDuration time.Duration) func(*scheduleBuilder) Action {
	return func(s *scheduleBuilder) Action {
		return s.maybeTargetHolder(Action{Fault: f, Gateways: s.randomProcesses(), Duration: minDuration + s.randomDuration(maxDuration-minDuration)})
	}
}

// maybeTargetHolder redirects a share of the actions to the duty holder. Except for kills and
// stops, it draws their duration anew, up to maxHolderFault.
func (s *scheduleBuilder) maybeTargetHolder(a Action) Action {
	if s.rng.Float64() < holderFaultShare {
		a.TargetHolder = true
		if a.Fault != FaultKill && a.Fault != FaultStop {
			a.Duration = s.randomDuration(maxHolderFault)
		}
	}
	return a
}

// actions are the generators for the waves of faults.
var actions = slices.Concat(processActions, linkActions, storeActions, instanceActions)

var processActions = []weightedAction{
	{6, processFault(FaultFreeze, 100*time.Millisecond, maxFaultDuration)},
	{4, processFault(FaultKill, 100*time.Millisecond, 2*time.Second)},
	{6, processFault(FaultStop, 100*time.Millisecond, 2*time.Second)},
	{4, processFault(FaultReload, time.Millisecond, time.Second)},
	{3, func(s *scheduleBuilder) Action {
		a := processFault(FaultClock, time.Millisecond, maxFaultDuration)(s)
		a.ClockOffset = s.randomDuration(2*maxClockOffset) - maxClockOffset
		return a
	}},
}

func linkFault(f Fault, c func(s *scheduleBuilder) Conditions) func(*scheduleBuilder) Action {
	return func(s *scheduleBuilder) Action {
		parties := []string{partyAny, partyStore, partyInstances, partyPeers, partyClients, partyAPI}
		return s.maybeTargetHolder(Action{
			Fault: f, Gateways: s.randomProcesses(), Party: parties[s.rng.IntN(len(parties))],
			Duration: 100*time.Millisecond + s.randomDuration(maxFaultDuration), Conditions: c(s),
		})
	}
}

var linkActions = []weightedAction{
	{2, linkFault(FaultDelay, func(s *scheduleBuilder) Conditions {
		return Conditions{Delay: s.randomDuration(150 * time.Millisecond)}
	})},
	{2, linkFault(FaultLoss, func(s *scheduleBuilder) Conditions { return Conditions{Loss: 0.3 * s.rng.Float64()} })},
	{3, linkFault(FaultReset, func(*scheduleBuilder) Conditions { return Conditions{} })},
	{3, linkFault(FaultOneWay, func(s *scheduleBuilder) Conditions {
		forward := s.rng.IntN(2) == 0
		return Conditions{BlockForward: forward, BlockBackward: !forward}
	})},
	{4, func(s *scheduleBuilder) Action {
		a := linkFault(FaultRefuse, func(*scheduleBuilder) Conditions { return Conditions{} })(s)
		a.Party = partyInstances // a path that is cut; processes reach the instances through peers
		return a
	}},
	{3, linkFault(FaultSilence, func(*scheduleBuilder) Conditions { return Conditions{BlockForward: true, BlockBackward: true} })},
}

func storeFault(f Fault) func(*scheduleBuilder) Action {
	return func(s *scheduleBuilder) Action {
		return Action{Fault: f, Duration: 200*time.Millisecond + s.randomDuration(maxFaultDuration)}
	}
}

var storeActions = []weightedAction{
	{1, storeFault(FaultStoreDown)},
	{1, storeFault(FaultStoreSilent)},
	{1, storeFault(FaultStoreSlow)},
	{2, storeFault(FaultStoreLoses)},
	{1, storeFault(FaultStoreLate)},
	{1, storeFault(FaultStoreSilentWatches)},
	{2, storeFault(FaultStoreDropsHistory)},
	{2, storeFault(FaultStoreStale)},
	{2, func(s *scheduleBuilder) Action {
		a := storeFault(FaultStoreRefusesSome)(s)
		a.Gateways = s.randomProcesses()
		return a
	}},
}

func anyService(string) bool { return true }

func streamsResponses(service string) bool { return service == serviceModels }

func respondsWithoutStreaming(service string) bool { return service != serviceModels }

// instanceFault returns a generator of faults of one instance, whose service meets the condition.
func instanceFault(f Fault, count int, suits func(service string) bool) func(*scheduleBuilder) Action {
	return func(s *scheduleBuilder) Action {
		places := s.layout.Places
		place := s.rng.IntN(len(places))
		for !suits(places[place].Service) {
			place = s.rng.IntN(len(places))
		}
		return Action{Fault: f, Place: place, OtherPlace: s.rng.IntN(len(places)), Count: 1 + s.rng.IntN(count), Duration: 100*time.Millisecond + s.randomDuration(maxFaultDuration)}
	}
}

// serviceFault returns a generator of faults of all instances of a service.
func serviceFault(f Fault) func(*scheduleBuilder) Action {
	return func(s *scheduleBuilder) Action {
		services := []string{serviceApp, serviceModels}
		return Action{Fault: f, Service: services[s.rng.IntN(len(services))], Duration: time.Second + s.randomDuration(maxFaultDuration)}
	}
}

var instanceActions = []weightedAction{
	{2, instanceFault(FaultShed, maxFailedRequests, anyService)},
	{2, instanceFault(FaultError, maxFailedRequests, anyService)},
	{2, instanceFault(FaultLoseResponse, maxFailedRequests, anyService)},
	{3, instanceFault(FaultCut, maxFailedRequests, streamsResponses)},
	{2, instanceFault(FaultStray, maxFailedRequests, respondsWithoutStreaming)},
	{2, instanceFault(FaultUnsealed, maxFailedRequests, anyService)},
	{2, instanceFault(FaultHang, maxFailedRequests, anyService)},
	{2, instanceFault(FaultHangMid, maxFailedRequests, streamsResponses)},
	{2, instanceFault(FaultLateOrders, 1, streamsResponses)},
	{3, instanceFault(FaultCrash, 1, anyService)},
	{4, instanceFault(FaultDrain, 1, anyService)},
	{2, instanceFault(FaultRemove, 1, anyService)},
	{2, instanceFault(FaultReuse, 1, anyService)},
	{2, serviceFault(FaultShedAll)},
	{4, serviceFault(FaultShedSome)},
	{1, func(s *scheduleBuilder) Action {
		return Action{Fault: FaultAPI, Duration: 200*time.Millisecond + s.randomDuration(maxFaultDuration)}
	}},
}
