package gateway

import (
	"sync"
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
)

// budgetSlots is into how many parts the window of a budget is cut.
const budgetSlots = 20

// RetryBudgetConfig bound the sends beyond the first of each request, for all
// processes together, in any window.
type RetryBudgetConfig struct {
	// Ratio is the share of the requests, Slack a number that is always allowed.
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Processes returns how many processes share the slack; nil if that is not known.
	Processes func() int
}

const (
	// budgetUse is the part of the bounds that is used: the rest covers windows
	// that begin between two slots, and requests that other processes saw.
	budgetUse = 0.7
	// slackShares is by how many processes the slack is divided at the least, so
	// that a fleet that is growing stays inside it.
	slackShares = 16
)

// budget counts the requests and the sends beyond the first, by service. It is
// safe for concurrent use.
type budget struct {
	bounds RetryBudgetConfig

	started bootclock.Instant

	mu       sync.Mutex
	services map[string]*budgetWindow
}

type budgetWindow struct {
	slots [budgetSlots]struct{ requests, extras float64 }
	// at is the number of the slot that was used last, since the host was booted:
	// the time of day may jump.
	at int64
	// lastExtra is when the last extra was taken, or the process started.
	lastExtra bootclock.Instant
}

func newBudget(b RetryBudgetConfig) *budget {
	return &budget{bounds: b, started: bootclock.Now(), services: map[string]*budgetWindow{}}
}

// allow replaces ratio and slack. What has been counted stays, and so does the window.
func (b *budget) allow(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bounds.Ratio, b.bounds.Slack = ratio, slack
}

func (b *budget) window(service string, now bootclock.Instant) *budgetWindow {
	w := b.services[service]
	at := int64(now) / int64(b.bounds.Window/budgetSlots)
	if w == nil {
		w = &budgetWindow{at: at, lastExtra: b.started}
		b.services[service] = w
	}
	for n := 0; w.at < at && n < budgetSlots; n++ {
		w.at++
		w.slots[w.at%budgetSlots] = struct{ requests, extras float64 }{}
	}
	w.at = max(w.at, at)
	return w
}

// request counts a request for a service.
func (b *budget) request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, bootclock.Now())
	w.slots[w.at%budgetSlots].requests++
}

// shares returns by how many processes the slack is divided.
func (b *budget) shares() float64 {
	if b.bounds.Processes == nil {
		return slackShares
	}
	return max(slackShares, float64(b.bounds.Processes()))
}

// extra takes one send beyond the first from the budget, if there is room.
func (b *budget) extra(service string) bool { return b.extraAt(service, bootclock.Now()) }

func (b *budget) extraAt(service string, now bootclock.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	requests, extras := 0.0, 0.0
	for _, s := range w.slots {
		requests += s.requests
		extras += s.extras
	}
	if extras+1 > budgetUse*(b.bounds.Ratio*requests+b.bounds.Slack/b.shares()) && !b.mayTakeOne(w, now) {
		return false
	}
	w.slots[w.at%budgetSlots].extras++
	w.lastExtra = now
	return true
}

// mayTakeOne reports whether a process may take one extra in a window though its part is less, which it is
// where each of many processes has a few requests: as long as the slack has one for each process, the
// sum stays inside it. A process that has just started does not know what its earlier run took.
func (b *budget) mayTakeOne(w *budgetWindow, now bootclock.Instant) bool {
	return b.bounds.Slack >= b.shares() && now.Sub(w.lastExtra) > b.bounds.Window
}
