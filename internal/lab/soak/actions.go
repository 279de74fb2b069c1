package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rockdoor/rockdoor/internal/gatewayd"
	"github.com/rockdoor/rockdoor/internal/standin/fleetapi"
	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
	"github.com/rockdoor/rockdoor/internal/standin/fleetstore"
)

const (
	// registrationExpiry is the time after a crash at which the registration expires: three
	// heartbeats.
	registrationExpiry = time.Second
	// configBurstGap is the time between two configurations of a burst.
	configBurstGap = 60 * time.Millisecond
	// storeDelay is the delay of the responses of a slow store. lateWriteDelay is the delay with
	// which the store carries out writes whose responses are lost.
	storeDelay     = 300 * time.Millisecond
	lateWriteDelay = 1500 * time.Millisecond
	// serveAfterRemoval is how long an instance continues to serve after it was withdrawn.
	serveAfterRemoval = 3 * time.Second
	// With FaultShedSome, an instance rejects every shedEvery-th request, so that retries use up
	// the retry budget while no circuit breaker opens.
	shedEvery = 2
	// addressReuseDelay is how long the address of an instance that ended is not reassigned.
	addressReuseDelay = 2 * time.Second
	// staleReadAge is the age of the data in responses to reads that accept stale data.
	staleReadAge = 4 * time.Second
)

// applyAction performs one action and returns at once; timers end the faults.
func (w *world) applyAction(op *operator, a Action) {
	if a.TargetHolder {
		a.Gateways = w.dutyHolder(a.Gateways)
	}
	if a.TargetWatcher {
		a.Gateways = w.storeWatcher(a.Gateways)
	}
	if a.OutOfStep {
		w.outOfStep.Store(&a.Gateways)
	}
	d := &Disturbance{Fault: a.Fault, Gateways: a.Gateways, From: time.Now(), To: time.Now().Add(a.Duration)}
	w.observed.record(func() { w.observed.Disturbances = append(w.observed.Disturbances, d) })
	w.logEvent("%s", a)
	switch a.Fault {
	case FaultFreeze, FaultKill, FaultStop, FaultReload, FaultClock:
		for _, n := range a.Gateways {
			w.applyProcessFault(w.gateways[n], a, d)
		}
	case FaultDelay, FaultLoss, FaultOneWay, FaultSilence, FaultReset, FaultRefuse:
		w.applyLinkFault(a, d)
	case FaultConfig:
		w.writeConfigs(op, a.Count)
	case FaultAPI:
		w.api.SetFaults(fleetapi.Faults{LoseResponses: true})
		w.runAfter(a.Duration, func() { w.api.SetFaults(fleetapi.Faults{}) })
	case FaultOddEntries:
		w.writeOddEntries(a)
	case FaultRelease:
		w.release(a)
	case FaultStoreRestore:
		w.restoreStore(op, a.Duration)
	case FaultStoreRefusesSome, FaultStoreDown, FaultStoreSilent, FaultStoreSlow, FaultStoreLoses, FaultStoreLate, FaultStoreSilentWatches, FaultStoreStale, FaultStoreDropsHistory:
		w.applyStoreFault(a, d)
	default:
		w.applyInstanceFault(a)
	}
}

// dutyHolder returns the process that the last change of the duties lease names as its holder, or
// fallback if there is none.
func (w *world) dutyHolder(fallback []int) []int {
	w.observed.mu.Lock()
	defer w.observed.mu.Unlock()
	if len(w.observed.Leases) == 0 {
		return fallback
	}
	return w.gatewayNamed(w.observed.Leases[len(w.observed.Leases)-1].Holder, fallback)
}

// gatewayNamed returns the process with a name, or fallback if there is none.
func (w *world) gatewayNamed(name string, fallback []int) []int {
	for _, g := range w.gateways {
		if g.name() == name {
			return []int{g.number}
		}
	}
	return fallback
}

// statusTimeout limits the status request that asks which processes watch the store.
const statusTimeout = 200 * time.Millisecond

// storeWatcher returns one of the processes that watch the store for the others, according to the
// first process that responds to a status request, or fallback if none does.
func (w *world) storeWatcher(fallback []int) []int {
	client := &http.Client{Timeout: statusTimeout}
	defer client.CloseIdleConnections()
	for _, n := range w.readyProcesses() {
		var st gatewayd.Status
		resp, err := client.Get("http://" + w.gateways[n].address(portMetrics) + "/status")
		if err != nil {
			continue // it is frozen, or has just ended
		}
		err = json.NewDecoder(resp.Body).Decode(&st)
		_ = resp.Body.Close() // fully read
		if err != nil || len(st.Watchers) == 0 {
			continue
		}
		return w.gatewayNamed(st.Watchers[fallback[0]%len(st.Watchers)], fallback)
	}
	return fallback
}

func (w *world) applyProcessFault(g *gateway, a Action, d *Disturbance) {
	switch a.Fault {
	case FaultFreeze:
		g.freeze(a.Duration, d)
	case FaultReload:
		w.recordFailure(g.reload(w.o.Bounds.RetrySlack / float64(1+a.Duration.Milliseconds()%4)))
	case FaultClock:
		w.recordFailure(g.setClock(a.ClockOffset))
		w.endAfter(a.Duration, d, func() { w.recordFailure(g.setClock(0)) })
	case FaultKill:
		g.kill()
		w.restart(g, a.Duration, d)
	case FaultStop:
		g.stop()
		w.restart(g, a.Duration, d)
	}
}

// restart starts a process again some time after it has ended.
func (w *world) restart(g *gateway, after time.Duration, d *Disturbance) {
	ended := g.done()
	w.pending.Add(1)
	go func() {
		defer w.pending.Add(-1)
		select {
		case <-w.ctx.Done():
			return
		case <-ended:
		}
		w.endAfter(after, d, func() { w.recordFailure(g.start()) })
	}()
}

// endAfter ends a fault after a delay and records the time at which it ended.
func (w *world) endAfter(after time.Duration, d *Disturbance, end func()) {
	w.runAfter(after, func() {
		end()
		w.observed.record(func() { d.To = latest(d.To, time.Now()) })
	})
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (w *world) applyLinkFault(a Action, d *Disturbance) {
	for _, n := range a.Gateways {
		for _, l := range w.linksTo(w.gateways[n], a.Party) {
			if a.Fault == FaultReset {
				l.Reset()
				continue
			}
			if a.Fault == FaultRefuse {
				w.endAfter(a.Duration, d, l.Refuse())
				continue
			}
			w.endAfter(a.Duration, d, l.AddConditions(a.Conditions))
		}
	}
}

// linksTo returns the links of a process to a party.
func (w *world) linksTo(g *gateway, party string) []*Link {
	var out []*Link
	for _, l := range w.linksOf(g) {
		if party == partyAny || party == partyOf(l) {
			out = append(out, l)
		}
	}
	return out
}

// partyOf returns the kind of party that a gateway process reaches, or is reached from, by a link.
func partyOf(l *Link) string {
	switch {
	case l.From == partyClients:
		return partyClients
	case l.To == partyStore, l.To == partyAPI:
		return l.To
	case strings.HasPrefix(l.To, partyInstances):
		return partyInstances
	}
	return partyPeers
}

func (w *world) writeConfigs(op *operator, count int) {
	for n := range count {
		w.runAfter(time.Duration(n)*configBurstGap, op.writeNext)
	}
}

func storeFaults(f Fault) fleetstore.Faults {
	switch f {
	case FaultStoreSilent:
		return fleetstore.Faults{NoResponse: true}
	case FaultStoreSlow:
		return fleetstore.Faults{Delay: storeDelay}
	case FaultStoreLoses:
		return fleetstore.Faults{LoseResponses: true}
	case FaultStoreLate:
		return fleetstore.Faults{WriteDelay: lateWriteDelay}
	case FaultStoreStale:
		return fleetstore.Faults{StaleBy: staleReadAge}
	case FaultStoreSilentWatches:
		return fleetstore.Faults{WithholdEvents: true}
	}
	return fleetstore.Faults{Down: true}
}

// applyStoreFault sets a fault of the store, which replaces the current one.
func (w *world) applyStoreFault(a Action, d *Disturbance) {
	if a.Fault == FaultStoreDropsHistory {
		w.store.DropHistory()
		return
	}
	if a.Fault == FaultStoreRefusesSome {
		for _, n := range a.Gateways {
			w.storeHandlers[n].SetFaults(fleetstore.Faults{Down: true})
			w.endAfter(a.Duration, d, func() { w.storeHandlers[n].SetFaults(fleetstore.Faults{}) })
		}
		return
	}
	w.mu.Lock()
	w.storeFault++
	mine := w.storeFault
	w.mu.Unlock()
	w.store.SetFaults(storeFaults(a.Fault))
	if a.Fault == FaultStoreStale {
		w.runAfter(a.Duration/2, w.store.DropHistory) // so that watches have to list again while lists are stale
	}
	w.endAfter(a.Duration, d, func() {
		w.mu.Lock()
		last := w.storeFault == mine
		w.mu.Unlock()
		if last {
			w.store.SetFaults(fleetstore.Faults{})
		}
	})
}

var engineFaults = map[Fault]fleetengine.Fault{
	FaultShed: fleetengine.Shed, FaultError: fleetengine.Error, FaultLoseResponse: fleetengine.LoseResponse, FaultCut: fleetengine.CutMidEvent,
	FaultStray: fleetengine.StrayFirst, FaultUnsealed: fleetengine.Unsealed, FaultHang: fleetengine.Hang, FaultHangMid: fleetengine.HangMidStream,
	FaultLateOrders: fleetengine.LateOrders, FaultMisdirect: fleetengine.Misdirect, FaultEndlessHead: fleetengine.EndlessHead, FaultEndlessEvent: fleetengine.EndlessEvent,
}

func (w *world) applyInstanceFault(a Action) {
	p := w.places[a.Place]
	switch a.Fault {
	case FaultLateResponses:
		p.sendLateResponses(a.Rate, a.Duration)
	case FaultGarble:
		p.garble(a.Count, a.Duration)
	case FaultForeign:
		p.sendForeign(a.Count, a.Duration)
	case FaultEndlessBody, FaultEndlessComments:
		w.respondWithoutEnd(a)
	case FaultFull:
		w.fill(a)
	case FaultShedAll:
		w.shedRequests(a, 1)
	case FaultShedSome:
		w.shedRequests(a, shedEvery)
	case FaultCrashAll:
		w.crashService(a.Service)
	case FaultSilent:
		e := p.currentInstance()
		e.Fail(fleetengine.Hang, -1)
		w.runAfter(a.Duration, func() { e.Fail(fleetengine.None, 0) })
	case FaultCrash:
		p.crash(registrationExpiry)
	case FaultDrain:
		p.drain()
		w.runAfter(serveAfterRemoval+a.Duration, func() { p.crash(0) })
	case FaultReuse:
		p.swapAddresses(w.places[a.OtherPlace])
	case FaultLimit:
		p.announceRateLimit(a.Rate, a.Duration)
	case FaultRemove:
		p.remove()
		w.runAfter(serveAfterRemoval, func() { p.crash(0) })
	default:
		f, ok := engineFaults[a.Fault]
		if !ok {
			w.recordFailure(fmt.Errorf("unknown fault %q", a.Fault))
			return
		}
		p.currentInstance().Fail(f, a.Count)
	}
}

// crashService crashes all instances of a service in the same moment.
func (w *world) crashService(service string) {
	for _, p := range w.places {
		if p.Service == service {
			go p.crash(registrationExpiry)
		}
	}
}

// shedRequests has all instances of a service reject every n-th request for a time.
func (w *world) shedRequests(a Action, every int) {
	for _, p := range w.places {
		if p.Service != a.Service {
			continue
		}
		p.currentInstance().FailEvery(fleetengine.Shed, every)
		w.runAfter(a.Duration, func() { p.currentInstance().Fail(fleetengine.None, 0) })
	}
}
