package gateway

import (
	"sync"
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
)

// budgetSlots is the number of slots into which the window of a budget is divided.
const budgetSlots = 20

// RetryBudgetConfig limits the retries of all processes together in any window. Every send of a
// request after its first one is a retry.
type RetryBudgetConfig struct {
	// Ratio is the number of retries allowed per request, and Slack the number allowed in addition
	// to that in each window.
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Processes returns how many processes share the slack; nil if the number is unknown.
	Processes func() int
}

const (
	// usableBudgetShare is the share of the bounds that a process uses. The rest allows for
	// windows that start between two slots, and for requests that other processes counted.
	usableBudgetShare = 0.7
	// minSlackDivisor is the minimum number of processes by which the slack is divided, so that a
	// growing fleet stays within it.
	minSlackDivisor = 16
)

// retryBudget counts requests and retries by service and limits the retries. It is safe for
// concurrent use.
type retryBudget struct {
	bounds RetryBudgetConfig

	started bootclock.Instant

	mu       sync.Mutex
	services map[string]*budgetWindow
}

type budgetWindow struct {
	slots [budgetSlots]struct{ requests, retries float64 }
	// slot is the number of the latest slot, counted since the host was booted. The boot clock
	// is used because the wall clock may jump.
	slot int64
	// lastRetry is when the last retry was taken, or when the process started.
	lastRetry bootclock.Instant
}

func newRetryBudget(b RetryBudgetConfig) *retryBudget {
	return &retryBudget{bounds: b, started: bootclock.Now(), services: map[string]*budgetWindow{}}
}

// setBounds replaces the ratio and the slack. The counts and the window stay.
func (b *retryBudget) setBounds(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bounds.Ratio, b.bounds.Slack = ratio, slack
}

func (b *retryBudget) window(service string, now bootclock.Instant) *budgetWindow {
	w := b.services[service]
	at := int64(now) / int64(b.bounds.Window/budgetSlots)
	if w == nil {
		w = &budgetWindow{slot: at, lastRetry: b.started}
		b.services[service] = w
	}
	for n := 0; w.slot < at && n < budgetSlots; n++ {
		w.slot++
		w.slots[w.slot%budgetSlots] = struct{ requests, retries float64 }{}
	}
	w.slot = max(w.slot, at)
	return w
}

// recordRequest counts a request to a service.
func (b *retryBudget) recordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, bootclock.Now())
	w.slots[w.slot%budgetSlots].requests++
}

// slackDivisor returns the number of processes by which the slack is divided.
func (b *retryBudget) slackDivisor() float64 {
	if b.bounds.Processes == nil {
		return minSlackDivisor
	}
	return max(minSlackDivisor, float64(b.bounds.Processes()))
}

// takeRetry reports whether the budget allows a retry now, and charges it if so.
func (b *retryBudget) takeRetry(service string) bool { return b.takeRetryAt(service, bootclock.Now()) }

func (b *retryBudget) takeRetryAt(service string, now bootclock.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	requests, retries := 0.0, 0.0
	for _, s := range w.slots {
		requests += s.requests
		retries += s.retries
	}
	if retries+1 > usableBudgetShare*(b.bounds.Ratio*requests+b.bounds.Slack/b.slackDivisor()) && !b.mayTakeMinimum(w, now) {
		return false
	}
	w.slots[w.slot%budgetSlots].retries++
	w.lastRetry = now
	return true
}

// mayTakeMinimum reports whether the process may take one retry although its share of the budget is
// less than one, as happens if many processes get few requests each. One retry for each process in a
// window stays within the slack if the slack is at least the number of processes. A process that has
// just started waits for one window, because it does not know what its previous run took.
func (b *retryBudget) mayTakeMinimum(w *budgetWindow, now bootclock.Instant) bool {
	return b.bounds.Slack >= b.slackDivisor() && now.Sub(w.lastRetry) > b.bounds.Window
}
