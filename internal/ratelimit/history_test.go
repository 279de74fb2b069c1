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
	// window is the time in which an instance may get useMost times its rate.
	window = 4 * time.Second
	// useMost is the most that an instance may get in a window, as a multiple of its rate, useLeast
	// what is used of it while all want to send more.
	useMost  = 1.2
	useLeast = 0.9
	// wayMost is how long a message is on its way at most, silentAfter when a process is taken for gone.
	wayMost     = 5 * time.Millisecond
	silentAfter = 500 * time.Millisecond
	// hearEvery is how often processes hear each other.
	hearEvery = 80 * time.Millisecond
	step      = time.Millisecond
)

// history is a fleet in virtual time before one instance that limits its rate. All processes decide.
type history struct {
	clock   *testClock
	random  *rand.Rand
	nodes   []*node
	waiting deliveries
	// sent are the times at which requests were sent, sentBy how many each process sent.
	sent   []bootclock.Instant
	sentBy map[string]int
	// rate is what the instance names, demand how many requests a second the fleet wants to send there.
	rate, demand float64
}

// delivery is a message that arrives at a process.
type delivery struct {
	at bootclock.Instant
	to *node
	do func(to *node)
}

// node is a process. It implements Fleet.
type node struct {
	h     *history
	name  string
	table *Table
	// side numbers the part of a split fleet that it is in.
	side  int
	until bootclock.Instant // frozen until then
	// heardAt is when each other process was heard last.
	heardAt []bootclock.Instant
	// asked is when it asked its keeper last, heard when it heard the others.
	asked, heard bootclock.Instant
	share        float64 // of the demand
}

func newHistory(seed uint64, processes int, rate, demand float64) *history {
	h := &history{
		clock: &testClock{at: bootclock.Instant(time.Hour)}, random: rand.New(rand.NewPCG(seed, 1)), sentBy: map[string]int{}, rate: rate, demand: demand,
	}
	for n := range processes {
		h.nodes = append(h.nodes, &node{h: h, name: fmt.Sprintf("p-%03d", n), share: 1 / float64(processes), heardAt: make([]bootclock.Instant, processes)})
		h.nodes[n].start()
	}
	return h
}

// start begins a new run of a process, which knows nothing.
func (n *node) start() {
	n.table = NewTable(n.name, metrics.NewRegistry(), log.NewNopLogger())
	n.table.now = n.h.clock.now
	n.table.after = func(d time.Duration, f func()) { n.h.later(n, d, func(*node) { f() }) }
	n.table.Join(n)
}

func (n *node) frozen() bool { return n.h.clock.at < n.until }

// hear takes in which of the others are heard now.
func (n *node) hear() {
	n.heard = n.h.clock.at
	for k, other := range n.h.nodes {
		if other.side == n.side && !other.frozen() {
			n.heardAt[k] = n.h.clock.at
		}
	}
}

// hears reports whether another process has been heard lately.
func (n *node) hears(k int) bool { return n.h.clock.at.Sub(n.heardAt[k]) < silentAfter }

// Coordinator implements Fleet.
func (n *node) Coordinator() string {
	for k, other := range n.h.nodes {
		if other == n || n.hears(k) {
			return other.name
		}
	}
	return n.name
}

// Share implements Fleet.
func (n *node) Share() float64 {
	heard := 0
	for k, other := range n.h.nodes {
		if other == n || n.hears(k) {
			heard++
		}
	}
	return float64(heard) / float64(len(n.h.nodes))
}

// send delivers a message after its way, later to one that is frozen, and never over a cut.
func (h *history) send(from, to *node, do func(to *node)) {
	if from.side != to.side {
		return
	}
	h.later(to, time.Duration(h.random.Int64N(int64(wayMost))), do)
}

// later has a run of a process do something after a time.
func (h *history) later(to *node, after time.Duration, do func(to *node)) {
	table := to.table
	heap.Push(&h.waiting, delivery{h.clock.at.Add(after), to, func(to *node) {
		if to.table == table { // connections end with the process
			do(to)
		}
	}})
}

func (h *history) deliver() {
	for len(h.waiting) > 0 && h.waiting[0].at <= h.clock.at {
		d := heap.Pop(&h.waiting).(delivery)
		if d.to.frozen() {
			d.at = d.to.until
			heap.Push(&h.waiting, d)
			continue
		}
		d.do(d.to)
	}
}

// deliveries are a heap by their times.
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

// request has a process try to send one request, for as long as requests wait; the answer names the limit.
func (h *history) request(n *node, waited time.Duration) {
	if !n.table.CheckGrant("i", waited > 0) {
		if waited += GrantPollInterval; waited < MaxGrantWait {
			h.later(n, GrantPollInterval, func(n *node) { h.request(n, waited) })
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

// exchange has a process tell its news and ask its keeper.
func (n *node) exchange() {
	h := n.h
	for run, s := range n.table.News() {
		for _, other := range h.nodes {
			if other != n {
				h.send(n, other, func(to *node) { to.table.Learn(run, n.name, s) })
			}
		}
	}
	demand := n.table.Demand()
	keeper := n.Coordinator()
	if len(demand) == 0 || keeper == n.name {
		return
	}
	d := demand[0]
	at := slices.IndexFunc(h.nodes, func(o *node) bool { return o.name == keeper })
	begun := h.clock.at
	h.send(n, h.nodes[at], func(to *node) {
		to.table.Learn("i", n.name, d.Known)
		granted := to.table.Grant("i", n.name, d.Wanted, d.Lapsed)
		h.send(to, n, func(n *node) { n.table.Granted("i", granted, begun) })
	})
}

// run passes a time.
func (h *history) run(d time.Duration) {
	every := min(max(minAsk, time.Duration(len(h.nodes))*perAsker), maxAsk)
	for end := h.clock.at.Add(d); h.clock.at < end; h.clock.pass(step) {
		h.deliver()
		for _, n := range h.nodes {
			if n.frozen() {
				continue
			}
			if h.random.Float64() < h.demand*n.share*step.Seconds() {
				h.request(n, 0)
			}
			if len(n.table.wake) > 0 && h.clock.at.Sub(n.asked) >= every {
				<-n.table.wake
				n.asked = h.clock.at
				h.later(n, gather, (*node).exchange)
			}
			if h.clock.at.Sub(n.heard) >= hearEvery {
				n.hear()
			}
		}
	}
}

// most returns the most requests in any window from a time on, as a multiple of what the rate allows.
func (h *history) most(from bootclock.Instant) float64 {
	most, first := 0, 0
	for n, at := range h.sent {
		for h.sent[first] < from || at.Sub(h.sent[first]) >= window {
			if first == n {
				break
			}
			first++
		}
		if h.sent[first] >= from {
			most = max(most, n-first+1)
		}
	}
	return float64(most) / (h.rate * window.Seconds())
}

// used returns what part of the rate was sent since a time.
func (h *history) used(since bootclock.Instant) float64 {
	n := 0
	for _, at := range h.sent {
		if at >= since {
			n++
		}
	}
	return float64(n) / (h.rate * h.clock.at.Sub(since).Seconds())
}

// allowed is the most that may be sent in a window, as a multiple of what the rate allows: whole requests
// can't be divided.
func (h *history) allowed() float64 { return useMost + 1/(h.rate*window.Seconds()) }

// TestSumOfAllProcessesStaysWithinTheRate has fleets that decide and rates: in no window do all together
// send more than 1.2 times the rate, and at least 0.9 of it while they want to send more.
func TestSumOfAllProcessesStaysWithinTheRate(t *testing.T) {
	for _, processes := range []int{1, 7, 16, 295} {
		for _, rate := range []float64{0.5, 2, 6.4, 25, 100} {
			h := newHistory(uint64(processes), processes, rate, 4*rate+20)
			begun := h.clock.at
			h.run(5 * time.Second)
			steady := h.clock.at
			h.run(15 * time.Second)
			most, used := h.most(begun.Add(500*time.Millisecond)), h.used(steady)
			t.Logf("%3d processes, %5.1f a second: at most %.2f in %s, %.2f used", processes, rate, most, window, used)
			require.LessOrEqual(t, most, h.allowed(), "%d processes, %v a second", processes, rate)
			require.GreaterOrEqual(t, used, useLeast-1/(15*rate), "%d processes, %v a second", processes, rate)
		}
	}
}

// TestRateIsSharedByDemand has half of the processes want three times as much as the others.
func TestRateIsSharedByDemand(t *testing.T) {
	h := newHistory(1, 8, 40, 160)
	for n, node := range h.nodes {
		node.share = float64(1+2*(n%2)) / 16
	}
	h.run(20 * time.Second)
	little, much := 0, 0
	for n, node := range h.nodes {
		if n%2 == 0 {
			little += h.sentBy[node.name]
		} else {
			much += h.sentBy[node.name]
		}
	}
	require.InDelta(t, 3, float64(much)/float64(little), 0.6)
}

// TestSumHoldsUnderFaults draws freezes, restarts and splits of the fleet, of the keeper above all.
func TestSumHoldsUnderFaults(t *testing.T) {
	for seed := range uint64(60) {
		h := newHistory(seed, 2+int(seed%15), []float64{3, 6.4, 30}[seed%3], 100)
		begun := h.clock.at
		h.run(2 * time.Second)
		for range 8 {
			h.fault()
			h.run(time.Duration(h.random.Int64N(int64(3 * time.Second))))
		}
		for _, n := range h.nodes {
			n.side, n.until = 0, 0
		}
		h.run(6 * time.Second)
		steady := h.clock.at
		h.run(6 * time.Second)
		require.LessOrEqual(t, h.most(begun.Add(500*time.Millisecond)), h.allowed(), "seed %d, %d processes, %v a second", seed, len(h.nodes), h.rate)
		require.GreaterOrEqual(t, h.used(steady), useLeast-1/(6*h.rate), "seed %d, %d processes, %v a second", seed, len(h.nodes), h.rate)
	}
}

// fault freezes a process, begins a new run of one, which learns what another one knows, or splits or
// joins the fleet.
func (h *history) fault() {
	n := h.nodes[0] // the keeper, if it is heard
	if h.random.IntN(2) == 0 {
		n = h.nodes[h.random.IntN(len(h.nodes))]
	}
	switch h.random.IntN(3) {
	case 0:
		n.until = h.clock.at.Add(time.Duration(h.random.Int64N(int64(3 * time.Second))))
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
