package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// FaultOddEntries has another writer leave entries among those of the instances that are none of an instance.
const FaultOddEntries Fault = "odd-entries"

const (
	// oddSeed selects a separate random sequence for odd entries, so that the schedules of the other faults don't depend on
	// them.
	oddSeed = 5
	// meanOddInterval is the mean time between two times at which odd entries appear. They stay for minOddTime to maxOddTime.
	// Meanwhile one process and one instance are started.
	meanOddInterval = 7 * time.Second
	minOddTime      = 7 * time.Second
	maxOddTime      = 12 * time.Second
	// maxOddStart is how long after the entries the process and the instance are started at the latest.
	maxOddStart = 500 * time.Millisecond
)

// oddEntries are the forms of odd entries, as format strings with the name and the revision. The other values of each are
// those of an instance.
var oddEntries = []string{
	oddSpec(strings.Repeat(`[`, 20000) + strings.Repeat(`]`, 20000)),
	oddSpec(strings.Repeat(`{"a":`, 9000) + `1` + strings.Repeat(`}`, 9000)),
	oddEntry(`"name":%q,"revision":1e30`, `{"service":"app","address":"127.0.0.1:9","zone":"a","slots":8,"phase":"ready","stage":"","version":"v1"}`),
	oddEntry(`"name":%.0s17,"revision":3`, `{"service":"app","address":"127.0.0.1:9","zone":"a","slots":8,"phase":"ready","stage":"","version":"v1"}`),
	oddInstance("127.0.0.1:99999", "8"),
	oddInstance("127.0.0.1:-1", "8"),
	oddInstance("127.0.0.1", "8"),
	oddInstance(`127.0.0.1 \u0000:80`, "8"),
	oddInstance("127.0.0.1:9", "-5"),
	oddInstance("127.0.0.1:9", "1000000000000000000"),
	oddInstance("127.0.0.1:9", "1e30"),
	oddSpec(`{"service":"app","service":7,"address":"` + strings.Repeat("a", 1<<20) + `"}`),
	oddSpec(`"text"`),
	oddSpec(`null`),
}

// oddNames are names of odd entries. The store lists the entries in the order of their names.
var oddNames = []string{"odd", "a/odd", "/", "../config/main", "zz odd", "odd\u00e9", "i-1-1/odd", "zzz"}

func oddEntry(meta, spec string) string { return `{"metadata":{` + meta + `},"spec":` + spec + `}` }

func oddSpec(spec string) string { return oddEntry(`"name":%q,"revision":3`, spec) }

func oddInstance(address, slots string) string {
	return oddSpec(fmt.Sprintf(`{"service":"models","address":"%s","zone":"a","slots":%s,"phase":"ready","stage":"decode","version":"v9"}`, address, slots))
}

// oddEntryActions has odd entries appear, and a process and an instance start while they are there.
func oddEntryActions(seed uint64, processes int, layout *Layout, length time.Duration) []Action {
	s := &scheduleBuilder{rng: rand.New(rand.NewPCG(seed, oddSeed)), processes: processes, layout: layout}
	odd := s.atRandomIntervals(meanOddInterval, length, func() Action {
		return Action{Fault: FaultOddEntries, Place: s.rng.IntN(len(oddEntries)), OtherPlace: s.rng.IntN(len(oddNames)), Count: 1 + s.rng.IntN(len(oddEntries)), Duration: minOddTime + s.randomDuration(maxOddTime-minOddTime)}
	})
	var starts []Action
	for _, a := range odd {
		app := layout.placesOf(serviceApp)
		starts = append(starts,
			Action{At: a.At + s.randomDuration(maxOddStart), Fault: FaultStop, Gateways: []int{s.rng.IntN(processes)}, Duration: time.Millisecond},
			Action{At: a.At + s.randomDuration(maxOddStart), Fault: FaultCrash, Place: app[s.rng.IntN(len(app))]})
	}
	return slices.Concat(odd, starts)
}

// writeOddEntries writes entries of the forms and names that follow each other, and removes them after the duration.
func (w *world) writeOddEntries(a Action) {
	for n := range a.Count {
		form, name := oddEntries[(a.Place+n)%len(oddEntries)], oddNames[(a.OtherPlace+n)%len(oddNames)]+strconv.Itoa(n)
		w.store.SetInstanceText(name, fmt.Sprintf(form, name))
		w.runAfter(a.Duration, func() { w.store.Deregister(name) })
	}
}

// Registered is the time in which an instance is registered and not draining.
type Registered struct {
	Instance, Service string
	From              time.Time
}

// recordRegistration records that an instance has been registered for the first time.
func (p *place) recordRegistration(id string) {
	p.w.observed.record(func() {
		p.w.observed.Registered = append(p.w.observed.Registered, Registered{id, p.Service, time.Now()})
	})
}

const (
	// minNewcomerChances is the number of requests to the other instances of a service after which a new one must have got one.
	minNewcomerChances = 40
	// readyTime is the undisturbed time after its start within which a process must be ready.
	readyTime = 5 * time.Second
)

// newInstancesGetWork checks that undisturbed processes send requests to an instance some time after it has been registered.
func (c *checker) newInstancesGetWork() Guarantee {
	g := Guarantee{Name: "instances that register get requests"}
	for _, r := range c.observed.Registered {
		if r.Service != serviceApp {
			continue // prompts are sent to engines that hold a part of them, and mark services have one instance
		}
		passed, got := c.passedOver(r)
		g.Cases += boolInt(got || passed >= minNewcomerChances)
		if passed >= minNewcomerChances {
			g.addViolation("", "%s got none of the first %d requests that undisturbed processes sent to its service, from %s after it had been registered", r.Instance, passed, c.o.Bounds.Drain).addLogPatterns(r.Instance + " ")
		}
	}
	return g
}

// passedOver returns how many requests undisturbed processes sent to other instances of a service, from some time after an
// instance had been registered until it got its first request, and whether it got one.
func (c *checker) passedOver(r Registered) (passed int, got bool) {
	from, until := r.From.Add(c.o.Bounds.Drain), c.withdrawnAt(r.Instance)
	for _, a := range c.observed.Arrivals {
		call := c.calls[a.key()]
		switch {
		case a.Instance == r.Instance && a.Status != http.StatusMisdirectedRequest: // one meant for its predecessor shows nothing
			return passed, true
		case a.At.After(until):
			return passed, false
		case a.Service == r.Service && a.At.After(from) && call != nil && c.undisturbed(call.Gateway, a.At):
			passed++
		}
	}
	return passed, false
}

// withdrawnAt returns when an instance was withdrawn, the distant future if it was not.
func (c *checker) withdrawnAt(instance string) time.Time {
	until := c.faultsEnded.Add(time.Hour)
	for _, w := range c.observed.Withdrawals {
		if w.Instance == instance && w.At.Before(until) {
			until = w.At
		}
	}
	return until
}

// processesBecomeReady checks that a process that starts is ready after some undisturbed time.
func (c *checker) processesBecomeReady() Guarantee {
	g := Guarantee{Name: "processes that start become ready"}
	within := time.Duration(float64(readyTime) * max(1, c.o.BoundsFactor))
	longest := time.Duration(0)
	for gateway, starts := range c.observed.Starts {
		for n, started := range starts {
			until := c.faultsEnded.Add(c.o.Bounds.Recovery)
			if n+1 < len(starts) {
				until = starts[n+1]
			}
			for _, at := range c.observed.Ready[gateway] {
				if at.After(started) && at.Before(until) {
					until = at
				}
			}
			isLater := func(d *Disturbance) bool {
				return d.Fault != FaultStop && d.Fault != FaultKill || d.From.After(started)
			}
			took := c.observed.undisturbedTime(gateway, started, until, isLater)
			g.Cases++
			longest = max(longest, took)
			if took > within {
				g.addViolation("", "%s was not ready after an undisturbed time of %s since its start", gatewayName(gateway), took).addLogPatterns("process=" + gatewayName(gateway) + " ")
			}
		}
	}
	g.Closest = fmt.Sprintf(" (the longest undisturbed time: %s)", longest.Round(time.Millisecond))
	return g
}
