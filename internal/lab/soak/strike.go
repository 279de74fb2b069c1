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
	// lapseTime is how long after a crash an instance's registration goes: three heartbeats.
	lapseTime = time.Second
	// stormGap is the time between configurations that follow each other quickly.
	stormGap = 60 * time.Millisecond
	// slowStore is by how much a slow store's answers come later, lateStore by how much its
	// writes are carried out later whose answers are lost.
	slowStore = 300 * time.Millisecond
	lateStore = 1500 * time.Millisecond
	// servesOn is how long an instance serves after it has been taken out.
	servesOn = 3 * time.Second
	// shedEvery has so many requests refused that the retry budget is used up, and so few that
	// no breaker opens.
	shedEvery = 2
	// reuseAfter is how long the address of an instance that ended is given to nobody.
	reuseAfter = 2 * time.Second
	// staleStore is how old answers are to callers that accept old ones.
	staleStore = 4 * time.Second
)

// strike carries out one action. It returns at once; what lasts is ended by timers.
func (w *world) strike(op *operator, a Action) {
	if a.Holder {
		a.Gateways = w.holder(a.Gateways)
	}
	if a.Watcher {
		a.Gateways = w.watcher(a.Gateways)
	}
	d := &Disturbance{Fault: a.Fault, Gateways: a.Gateways, From: time.Now(), To: time.Now().Add(a.For)}
	w.facts.note(func() { w.facts.Disturbances = append(w.facts.Disturbances, d) })
	w.event("%s", a)
	switch a.Fault {
	case FaultFreeze, FaultKill, FaultStop, FaultReload, FaultClock:
		for _, n := range a.Gateways {
			w.strikeProcess(w.gates[n], a, d)
		}
	case FaultDelay, FaultLoss, FaultOneWay, FaultSilence, FaultReset:
		w.strikeLinks(a, d)
	case FaultConfig:
		w.configure(op, a.Count)
	case FaultAPI:
		w.api.SetFaults(fleetapi.Faults{LoseAnswers: true})
		w.later(a.For, func() { w.api.SetFaults(fleetapi.Faults{}) })
	case FaultStoreRestore:
		w.restore(op, a.For)
	case FaultStoreSome, FaultStoreDown, FaultStoreSilent, FaultStoreSlow, FaultStoreLoses, FaultStoreLate, FaultStoreDeaf, FaultStoreStale, FaultStoreForget:
		w.strikeStore(a, d)
	default:
		w.strikeInstances(a)
	}
}

// holder returns the process that holds the duties, others if there is none.
func (w *world) holder(others []int) []int {
	w.facts.mu.Lock()
	defer w.facts.mu.Unlock()
	if len(w.facts.Leases) == 0 {
		return others
	}
	return w.named(w.facts.Leases[len(w.facts.Leases)-1].Holder, others)
}

// named returns the process with a name, others if there is none.
func (w *world) named(name string, others []int) []int {
	for _, g := range w.gates {
		if g.name() == name {
			return []int{g.number}
		}
	}
	return others
}

// statusTimeout bounds the question who watches the store.
const statusTimeout = 200 * time.Millisecond

// watcher returns one of the processes that watch the store for the others, as the first
// process that answers names them, the given ones if none does.
func (w *world) watcher(others []int) []int {
	client := &http.Client{Timeout: statusTimeout}
	defer client.CloseIdleConnections()
	for _, n := range w.readyProcesses() {
		var st gatewayd.Status
		resp, err := client.Get("http://" + w.gates[n].address(portMetrics) + "/status")
		if err != nil {
			continue // it is frozen, or has just ended
		}
		err = json.NewDecoder(resp.Body).Decode(&st)
		_ = resp.Body.Close() // has been read
		if err != nil || len(st.Watchers) == 0 {
			continue
		}
		return w.named(st.Watchers[others[0]%len(st.Watchers)], others)
	}
	return others
}

func (w *world) strikeProcess(g *gateway, a Action, d *Disturbance) {
	switch a.Fault {
	case FaultFreeze:
		g.freeze(a.For, d)
	case FaultReload:
		w.fail(g.reload(w.o.Bounds.RetrySlack / float64(1+a.For.Milliseconds()%4)))
	case FaultClock:
		w.fail(g.setClock(a.Clock))
		w.until(a.For, d, func() { w.fail(g.setClock(0)) })
	case FaultKill:
		g.kill()
		w.restart(g, a.For, d)
	case FaultStop:
		g.stop()
		w.restart(g, a.For, d)
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
		w.until(after, d, func() { w.fail(g.start()) })
	}()
}

// until ends a fault after a time, and notes when it ended.
func (w *world) until(after time.Duration, d *Disturbance, end func()) {
	w.later(after, func() {
		end()
		w.facts.note(func() { d.To = latest(d.To, time.Now()) })
	})
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (w *world) strikeLinks(a Action, d *Disturbance) {
	for _, n := range a.Gateways {
		for _, l := range w.struck(w.gates[n], a.Party) {
			if a.Fault == FaultReset {
				l.Reset()
				continue
			}
			w.until(a.For, d, l.Put(a.Conditions))
		}
	}
}

// struck returns the links of a process to a party.
func (w *world) struck(g *gateway, party string) []*Link {
	var out []*Link
	for _, l := range w.linksOf(g) {
		if party == partyAny || party == partyOf(l) {
			out = append(out, l)
		}
	}
	return out
}

// partyOf returns which party a link leads to or from, besides a process.
func partyOf(l *Link) string {
	switch {
	case l.From == partyCallers:
		return partyCallers
	case l.To == partyStore, l.To == partyAPI:
		return l.To
	case strings.HasPrefix(l.To, partyInstances):
		return partyInstances
	}
	return partyPeers
}

func (w *world) configure(op *operator, count int) {
	for n := range count {
		w.later(time.Duration(n)*stormGap, op.change)
	}
}

func storeFaults(f Fault) fleetstore.Faults {
	switch f {
	case FaultStoreSilent:
		return fleetstore.Faults{Silent: true}
	case FaultStoreSlow:
		return fleetstore.Faults{Delay: slowStore}
	case FaultStoreLoses:
		return fleetstore.Faults{LoseAnswers: true}
	case FaultStoreLate:
		return fleetstore.Faults{LateBy: lateStore}
	case FaultStoreStale:
		return fleetstore.Faults{StaleBy: staleStore}
	case FaultStoreDeaf:
		return fleetstore.Faults{DeafWatches: true}
	}
	return fleetstore.Faults{Down: true}
}

// strikeStore puts a fault in the place of the one that the store has, if any.
func (w *world) strikeStore(a Action, d *Disturbance) {
	if a.Fault == FaultStoreForget {
		w.store.Forget()
		return
	}
	if a.Fault == FaultStoreSome {
		for _, n := range a.Gateways {
			w.fronts[n].SetFaults(fleetstore.Faults{Down: true})
			w.until(a.For, d, func() { w.fronts[n].SetFaults(fleetstore.Faults{}) })
		}
		return
	}
	w.mu.Lock()
	w.storeFault++
	mine := w.storeFault
	w.mu.Unlock()
	w.store.SetFaults(storeFaults(a.Fault))
	if a.Fault == FaultStoreStale {
		w.later(a.For/2, w.store.Forget) // so that lists are asked for while they are old
	}
	w.until(a.For, d, func() {
		w.mu.Lock()
		last := w.storeFault == mine
		w.mu.Unlock()
		if last {
			w.store.SetFaults(fleetstore.Faults{})
		}
	})
}

var engineFaults = map[Fault]fleetengine.Fault{
	FaultShed: fleetengine.Shed, FaultError: fleetengine.Error, FaultLoseAnswer: fleetengine.LoseAnswer, FaultCut: fleetengine.CutMidEvent,
	FaultStray: fleetengine.StrayFirst, FaultUnsealed: fleetengine.Unsealed, FaultHang: fleetengine.Hang, FaultHangMid: fleetengine.HangMidStream,
	FaultLateOrders: fleetengine.LateOrders,
}

func (w *world) strikeInstances(a Action) {
	p := w.places[a.Place]
	switch a.Fault {
	case FaultShedAll:
		w.shed(a, 1)
	case FaultShedSome:
		w.shed(a, shedEvery)
	case FaultCrash:
		p.crash(lapseTime)
	case FaultDrain:
		p.drain()
		w.later(servesOn+a.For, func() { p.crash(0) })
	case FaultReuse:
		p.exchange(w.places[a.Other])
	case FaultLimit:
		p.limit(a.Rate, a.For)
	case FaultRemove:
		p.remove()
		w.later(servesOn, func() { p.crash(0) })
	default:
		f, ok := engineFaults[a.Fault]
		if !ok {
			w.fail(fmt.Errorf("fault %q is not known", a.Fault))
			return
		}
		p.instance().Fail(f, a.Count)
	}
}

// shed has all instances of a service refuse every n-th request for a time.
func (w *world) shed(a Action, every int) {
	for _, p := range w.places {
		if p.Service != a.Service {
			continue
		}
		p.instance().FailEvery(fleetengine.Shed, every)
		w.later(a.For, func() { p.instance().Fail(fleetengine.None, 0) })
	}
}
