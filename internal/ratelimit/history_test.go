package ratelimit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/engine"
)

const (
	// window is the period in which an instance may receive at most maxUse times its rate.
	window = 4 * time.Second
	// maxUse is the maximum that an instance may receive in a window, minUse the minimum of the rate that
	// must be used while demand exceeds it, both as multiples of the rate.
	maxUse = 1.2
	minUse = 0.9
	// maxMessageDelay is the maximum delay of a message, peerTimeout when a process counts as unreachable.
	maxMessageDelay = 5 * time.Millisecond
	peerTimeout     = 500 * time.Millisecond
	// contactInterval is the interval at which processes update which others they are in contact with.
	contactInterval = 80 * time.Millisecond
	step            = time.Millisecond
)

// simulation runs a fleet in virtual time with one instance that limits its rate. All processes place requests.
type simulation struct {
	clock   *testClock
	random  *rand.Rand
	nodes   []*node
	waiting deliveries
	// sent has the times at which requests were sent, sentBy the number of requests by process.
	sent   []bootclock.Instant
	sentBy map[string]int
	// rate is what the instance reports, demand the number of requests per second that the fleet has for it.
	rate, demand float64
}

// delivery is a message to be delivered to a process.
type delivery struct {
	at bootclock.Instant
	to *node
	do func(to *node)
}

// node is a simulated process. It implements Fleet.
type node struct {
	sim   *simulation
	name  string
	table *Table
	// side is the number of the partition that the process is in.
	side        int
	frozenUntil bootclock.Instant
	// lastContact is when this process last received a message from each process.
	lastContact []bootclock.Instant
	// askedAt is when it last called its coordinator, contactsUpdatedAt when it last updated lastContact.
	askedAt, contactsUpdatedAt bootclock.Instant
	demandShare                float64 // of the demand
}

func newSimulation(seed uint64, processes int, rate, demand float64) *simulation {
	h := &simulation{
		clock: &testClock{at: bootclock.Instant(time.Hour)}, random: rand.New(rand.NewPCG(seed, 1)), sentBy: map[string]int{}, rate: rate, demand: demand,
	}
	for n := range processes {
		h.nodes = append(h.nodes, &node{sim: h, name: fmt.Sprintf("p-%03d", n), demandShare: 1 / float64(processes), lastContact: make([]bootclock.Instant, processes)})
		h.nodes[n].start()
	}
	return h
}

// start begins a new run of a process without any state.
func (n *node) start() {
	n.table = NewTable(n.name, metrics.NewRegistry(), log.NewNopLogger())
	n.table.now = n.sim.clock.now
	n.table.after = func(d time.Duration, f func()) { n.sim.schedule(n, d, func(*node) { f() }) }
	n.table.Join(n)
}

func (n *node) frozen() bool { return n.sim.clock.at < n.frozenUntil }

// updateContacts records which processes are reachable now.
func (n *node) updateContacts() {
	n.contactsUpdatedAt = n.sim.clock.at
	for k, other := range n.sim.nodes {
		if other.side == n.side && !other.frozen() {
			n.lastContact[k] = n.sim.clock.at
		}
	}
}

// inContact reports whether a process was reachable recently.
func (n *node) inContact(k int) bool { return n.sim.clock.at.Sub(n.lastContact[k]) < peerTimeout }

// Coordinator implements Fleet.
func (n *node) Coordinator() string {
	for k, other := range n.sim.nodes {
		if other == n || n.inContact(k) {
			return other.name
		}
	}
	return n.name
}

// Share implements Fleet.
func (n *node) Share() float64 {
	inContact := 0
	for k, other := range n.sim.nodes {
		if other == n || n.inContact(k) {
			inContact++
		}
	}
	return float64(inContact) / float64(len(n.sim.nodes))
}

// send delivers a message after a random delay. A frozen process receives it later, one in another partition never.
func (h *simulation) send(from, to *node, do func(to *node)) {
	if from.side != to.side {
		return
	}
	h.schedule(to, time.Duration(h.random.Int64N(int64(maxMessageDelay))), do)
}

// schedule calls do for a process after a delay, unless the process has restarted by then.
func (h *simulation) schedule(to *node, after time.Duration, do func(to *node)) {
	table := to.table
	heap.Push(&h.waiting, delivery{h.clock.at.Add(after), to, func(to *node) {
		if to.table == table { // connections end with the process
			do(to)
		}
	}})
}

func (h *simulation) deliver() {
	for len(h.waiting) > 0 && h.waiting[0].at <= h.clock.at {
		d := heap.Pop(&h.waiting).(delivery)
		if d.to.frozen() {
			d.at = d.to.frozenUntil
			heap.Push(&h.waiting, d)
			continue
		}
		d.do(d.to)
	}
}

// deliveries is a heap ordered by delivery time.
type deliveries []delivery

func (d deliveries) Len() int           { return len(d) }
func (d deliveries) Less(i, k int) bool { return d[i].at < d[k].at }
func (d deliveries) Swap(i, k int)      { d[i], d[k] = d[k], d[i] }
func (d *deliveries) Push(x any)        { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// request tries to send one request, and retries for as long as requests wait. The response reports the limit.
func (h *simulation) request(n *node, waited time.Duration) {
	if !n.table.CheckGrant("i", waited > 0) {
		if waited += GrantPollInterval; waited < MaxGrantWait {
			h.schedule(n, GrantPollInterval, func(n *node) { h.request(n, waited) })
		}
		return
	}
	if _, ok := n.table.UseGrant("i"); !ok {
		return
	}
	sent := h.clock.at
	h.sent = append(h.sent, sent)
	h.sentBy[n.name]++
	limit := engine.RateLimit{Limited: true, PerSecond: h.rate}
	h.send(n, n, func(to *node) { to.table.RecordResponse("i", "r", limit, sent) })
}

// exchange sends updates to all processes and requests grants from the coordinator.
func (n *node) exchange() {
	h := n.sim
	for run, s := range n.table.TakeUpdates() {
		for _, other := range h.nodes {
			if other != n {
				h.send(n, other, func(to *node) { to.table.Learn(run, n.name, s) })
			}
		}
	}
	demand := n.table.TakeDemand()
	coordinator := n.Coordinator()
	if len(demand) == 0 || coordinator == n.name {
		return
	}
	d := demand[0]
	at := slices.IndexFunc(h.nodes, func(o *node) bool { return o.name == coordinator })
	begun := h.clock.at
	h.send(n, h.nodes[at], func(to *node) {
		to.table.Learn("i", n.name, d.Known)
		granted := to.table.Grant("i", n.name, d.Requested, d.Expired)
		h.send(to, n, func(n *node) { n.table.AddGrants("i", granted, begun) })
	})
}

// run advances virtual time.
func (h *simulation) run(d time.Duration) {
	every := min(max(minRequestInterval, time.Duration(len(h.nodes))*intervalPerDecider), maxRequestInterval)
	for end := h.clock.at.Add(d); h.clock.at < end; h.clock.advance(step) {
		h.deliver()
		for _, n := range h.nodes {
			if n.frozen() {
				continue
			}
			if h.random.Float64() < h.demand*n.demandShare*step.Seconds() {
				h.request(n, 0)
			}
			if len(n.table.wake) > 0 && h.clock.at.Sub(n.askedAt) >= every {
				<-n.table.wake
				n.askedAt = h.clock.at
				h.schedule(n, batchDelay, (*node).exchange)
			}
			if h.clock.at.Sub(n.contactsUpdatedAt) >= contactInterval {
				n.updateContacts()
			}
		}
	}
}

// peakUse returns the maximum number of requests in any window from a time on, as a multiple of the rate.
func (h *simulation) peakUse(from bootclock.Instant) float64 {
	peak, first := 0, 0
	for n, at := range h.sent {
		for h.sent[first] < from || at.Sub(h.sent[first]) >= window {
			if first == n {
				break
			}
			first++
		}
		if h.sent[first] >= from {
			peak = max(peak, n-first+1)
		}
	}
	return float64(peak) / (h.rate * window.Seconds())
}

// usedShare returns the share of the rate that was used since a time.
func (h *simulation) usedShare(since bootclock.Instant) float64 {
	n := 0
	for _, at := range h.sent {
		if at >= since {
			n++
		}
	}
	return float64(n) / (h.rate * h.clock.at.Sub(since).Seconds())
}

// maxPeakUse is the maximum that may be sent in a window, as a multiple of the rate. It allows for one more
// request, since requests cannot be divided.
func (h *simulation) maxPeakUse() float64 { return maxUse + 1/(h.rate*window.Seconds()) }

// TestSumOfAllProcessesStaysWithinTheRate covers several fleet sizes and rates. All processes together must
// send at most 1.2 times the rate in any window, and use at least 0.9 of it while demand exceeds it.
func TestSumOfAllProcessesStaysWithinTheRate(t *testing.T) {
	for _, processes := range []int{1, 7, 16, 295} {
		for _, rate := range []float64{0.5, 2, 6.4, 25, 100} {
			h := newSimulation(uint64(processes), processes, rate, 4*rate+20)
			begun := h.clock.at
			h.run(5 * time.Second)
			steady := h.clock.at
			h.run(15 * time.Second)
			peak, usedShare := h.peakUse(begun.Add(500*time.Millisecond)), h.usedShare(steady)
			t.Logf("%3d processes, %5.1f a second: at most %.2f in %s, %.2f used", processes, rate, peak, window, usedShare)
			require.LessOrEqual(t, peak, h.maxPeakUse(), "%d processes, %v a second", processes, rate)
			require.GreaterOrEqual(t, usedShare, minUse-1/(15*rate), "%d processes, %v a second", processes, rate)
		}
	}
}

// TestRateIsSharedByDemand has half of the processes demand three times as much as the others.
func TestRateIsSharedByDemand(t *testing.T) {
	h := newSimulation(1, 8, 40, 160)
	for n, node := range h.nodes {
		node.demandShare = float64(1+2*(n%2)) / 16
	}
	h.run(20 * time.Second)
	low, high := 0, 0
	for n, node := range h.nodes {
		if n%2 == 0 {
			low += h.sentBy[node.name]
		} else {
			high += h.sentBy[node.name]
		}
	}
	require.InDelta(t, 3, float64(high)/float64(low), 0.6)
}

// TestSumStaysWithinTheRateUnderFaults injects random freezes, restarts and partitions, half of the time at the coordinator.
func TestSumStaysWithinTheRateUnderFaults(t *testing.T) {
	for seed := range uint64(60) {
		h := newSimulation(seed, 2+int(seed%15), []float64{3, 6.4, 30}[seed%3], 100)
		begun := h.clock.at
		h.run(2 * time.Second)
		for range 8 {
			h.injectFault()
			h.run(time.Duration(h.random.Int64N(int64(3 * time.Second))))
		}
		for _, n := range h.nodes {
			n.side, n.frozenUntil = 0, 0
		}
		h.run(6 * time.Second)
		steady := h.clock.at
		h.run(6 * time.Second)
		require.LessOrEqual(t, h.peakUse(begun.Add(500*time.Millisecond)), h.maxPeakUse(), "seed %d, %d processes, %v a second", seed, len(h.nodes), h.rate)
		require.GreaterOrEqual(t, h.usedShare(steady), minUse-1/(6*h.rate), "seed %d, %d processes, %v a second", seed, len(h.nodes), h.rate)
	}
}

// injectFault freezes a process, restarts one, which learns the limits from another process, or changes the
// partitions of the fleet.
func (h *simulation) injectFault() {
	n := h.nodes[0] // the coordinator, if it is reachable
	if h.random.IntN(2) == 0 {
		n = h.nodes[h.random.IntN(len(h.nodes))]
	}
	switch h.random.IntN(3) {
	case 0:
		n.frozenUntil = h.clock.at.Add(time.Duration(h.random.Int64N(int64(3 * time.Second))))
	case 1:
		n.start()
		other := h.nodes[h.random.IntN(len(h.nodes))]
		for run, s := range other.table.AllLimits() {
			n.table.Learn(run, other.name, s)
		}
	case 2:
		for _, n := range h.nodes {
			n.side = h.random.IntN(2)
		}
	}
}
