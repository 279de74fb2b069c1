package roles

import (
	"fmt"
	"math"
	"time"

	"github.com/rockdoor/rockdoor/engine"
)

// packing keeps as few engines generating as the requests in hand fill, and has
// the others read, once prompts wait. Generating engines slow down little when
// they are full, so packing them costs nothing, while each engine that reads
// shortens the queue of prompts.
type packing struct {
	first, last time.Time
	// running is the smoothed number of requests that are being generated.
	running float64
	// queue is the smoothed queue of prompts in ms.
	queue float64
	// known is how many engines there were last, grewAt when there were more than before for the last time.
	known  int
	grewAt time.Time
	// waited and crowded are since when prompts have waited and generating engines
	// have been too few, zero if they do not.
	waited, crowded time.Time
}

const (
	// spareRead is how much more than the smoothed load the generating engines must
	// still hold after one of them starts to read: bursts that alternate every few
	// seconds are not followed.
	spareRead = 1.7
	// spareGenerate is how much more they must hold at the least.
	spareGenerate = 1.15
	// runningHalf is the half-life of the smoothed load: shorter than a shift of
	// the mix, longer than bursts that alternate.
	runningHalf = 4 * time.Second
	// queueTime smooths the queue.
	queueTime = 500 * time.Millisecond
	// queueLimit is the queue, in ms, from which another reader is worth having.
	queueLimit = 40.0
	// waitFor and crowdedFor are how long prompts must have waited, or generating
	// engines been too few, before a role changes: prompts that wait are late sooner.
	waitFor    = 300 * time.Millisecond
	crowdedFor = 700 * time.Millisecond
	// shiftFor is how long prompts must have waited before an engine with more than
	// fewRequests starts to read: it takes as long as its longest request to get
	// there, longer than a burst, and does nothing else meanwhile. Engines that are
	// not needed get no long answers, so they are empty soon.
	shiftFor    = 3 * time.Second
	fewRequests = 0
	// learnTime is how long the load is watched before more than learnShare of the
	// engines may read: requests that generate last for seconds.
	learnTime  = 4 * time.Second
	learnShare = 0.6
	// readersPerGateway and mostInAdvance bound how many engines read before the first request, besides
	// learnShare, so that the first prompts find readers; without the bounds a large fleet of idle
	// engines would get an order each. What one decision chooses among is some 120 engines, and what is
	// not read apart is read by engines that generate.
	readersPerGateway = 1
	mostInAdvance     = 72
	// settleFor is for how long no engine must have registered for engines to get orders in advance: of
	// thousands that register, those that read may be the last.
	settleFor = time.Second
	// minGenerating engines, and the share minGeneratingShare of all, are kept, so
	// that the loss of one, or of a slow link, stops nothing: each takes over the
	// memory of prompts one after the other.
	minGenerating      = 2
	minGeneratingShare = 0.3
	minReading         = 1
)

func (p *packing) Decide(in Input) *Change {
	generating, reading, slots := 0, 0, 0
	for _, e := range in.Engines {
		if e.Role == engine.RolePrefill {
			reading++
			continue
		}
		generating++
		slots = max(slots, e.Slots)
	}
	if slots == 0 {
		return nil
	}
	p.observe(in, generating*slots, generating < leastGenerating(generating+reading))
	settled := p.settled(in.Now, generating+reading)
	reason := fmt.Sprintf("%.0f requests generating, %d engines with %d slots each, %.0f ms of prompts queued", p.running, generating, slots, p.queue)
	switch {
	case p.first.IsZero() && in.Queue == 0 && settled && reading < readInAdvance(reading+generating, in.Gateways):
		return move(in.Engines, engine.RoleMixed, engine.RolePrefill, "nothing is generated yet")
	case due(p.crowded, in.Now, crowdedFor) && reading > minReading:
		p.crowded = in.Now
		return move(in.Engines, engine.RolePrefill, engine.RoleMixed, reason)
	case due(p.waited, in.Now, waitFor) && p.maySpare(in, generating, reading, slots):
		c := move(in.Engines, engine.RoleMixed, engine.RolePrefill, reason)
		if c != nil && requestsAt(in.Engines, c.Engine) > fewRequests && !due(p.waited, in.Now, shiftFor) {
			return nil
		}
		return c
	}
	return nil
}

func requestsAt(engines []Engine, name string) int {
	for _, e := range engines {
		if e.Name == name {
			return e.Requests
		}
	}
	return 0
}

// Generating returns how many of n engines should generate at the least while they
// have a number of requests, each in one of its slots.
func Generating(requests float64, slots, n int) int {
	return max(leastGenerating(n), int(math.Ceil(requests*spareRead/float64(slots))))
}

// leastGenerating returns how many of n engines generate however few requests
// there are.
func leastGenerating(n int) int {
	return max(minGenerating, int(math.Ceil(minGeneratingShare*float64(n))))
}

// readInAdvance returns how many of n engines read while nobody has used them yet.
func readInAdvance(n, gateways int) int {
	return min(int(learnShare*float64(n)), readersPerGateway*gateways, mostInAdvance)
}

// settled takes in how many engines there are, and reports whether their number has not grown for a
// while.
func (p *packing) settled(now time.Time, engines int) bool {
	if engines > p.known {
		p.grewAt = now
	}
	p.known = engines
	return now.Sub(p.grewAt) >= settleFor
}

// maySpare reports whether the load leaves a generating engine to spare.
func (p *packing) maySpare(in Input, generating, reading, slots int) bool {
	if generating <= Generating(p.running, slots, generating+reading) {
		return false
	}
	return in.Now.Sub(p.first) >= learnTime || float64(reading+1) <= learnShare*float64(reading+generating)
}

func due(since, now time.Time, after time.Duration) bool {
	return !since.IsZero() && now.Sub(since) >= after
}

func (p *packing) observe(in Input, room int, tooFew bool) {
	dt := in.Now.Sub(p.last)
	if p.last.IsZero() || dt < 0 {
		dt = 0
	}
	p.last = in.Now
	running := 0
	for _, e := range in.Engines {
		if e.Role != engine.RolePrefill {
			running += e.Requests
		}
	}
	if p.first.IsZero() && running > 0 {
		p.first = in.Now
	}
	p.running += (float64(running) - p.running) * (1 - math.Exp2(-dt.Seconds()/runningHalf.Seconds()))
	p.queue += (in.Queue.Seconds()*1000 - p.queue) * (1 - math.Exp(-dt.Seconds()/queueTime.Seconds()))
	p.waited = since(p.waited, in.Now, p.queue > queueLimit)
	p.crowded = since(p.crowded, in.Now, tooFew || p.running*spareGenerate > float64(room))
}

// since returns from when on a condition has held, zero if it does not.
func since(old, now time.Time, holds bool) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case old.IsZero():
		return now
	}
	return old
}
