package roles

import (
	"fmt"
	"math"
	"time"

	"github.com/rockdoor/rockdoor/engine"
)

// packing assigns as few engines to decode as the requests in flight can fill, and uses the others
// for prefill while prompts are queued. Decode engines slow down only a little when all their slots
// are busy, so packing requests onto few of them costs little, while each additional prefill engine
// shortens the queue of prompts.
type packing struct {
	firstRequestAt, lastDecideAt time.Time
	// runningRequests is the smoothed number of requests that are being decoded.
	runningRequests float64
	// queueMs is the smoothed queueing delay of prompts, in ms.
	queueMs float64
	// engineCount is the last number of engines. grewAt is when it last increased.
	engineCount int
	grewAt      time.Time
	// queuedSince is when prompts began to queue, and decodeShortageSince is when decode engines became
	// too few. Each is zero while its condition doesn't hold.
	queuedSince, decodeShortageSince time.Time
}

const (
	// prefillHeadroom is the capacity, relative to the smoothed load, that the decode engines must
	// keep when one of them switches to prefill. With less headroom the policy would follow bursts
	// that alternate every few seconds.
	prefillHeadroom = 1.7
	// decodeHeadroom is the minimum capacity of the decode engines relative to the smoothed load.
	decodeHeadroom = 1.15
	// runningHalfLife is the half-life of the smoothed load. It is shorter than a lasting change of
	// the traffic mix and longer than alternating bursts.
	runningHalfLife = 4 * time.Second
	// queueTimeConstant is the time constant of the smoothed queueing delay.
	queueTimeConstant = 500 * time.Millisecond
	// maxQueueMs is the queueing delay, in ms, above which another prefill engine is useful.
	maxQueueMs = 40.0
	// minQueuedTime is how long prompts must have queued, and minDecodeShortageTime how long decode
	// engines must have been too few, before a role changes. minQueuedTime is shorter because
	// queued prompts miss their latency target sooner.
	minQueuedTime         = 300 * time.Millisecond
	minDecodeShortageTime = 700 * time.Millisecond
	// minQueuedTimeBusy is how long prompts must have queued before an engine with more than
	// maxRequestsToSwitch requests switches to prefill. Such an engine first finishes its longest
	// request, which takes longer than a burst, and does nothing else meanwhile. Engines that aren't
	// needed for decoding get no long requests, so they soon have none.
	minQueuedTimeBusy   = 3 * time.Second
	maxRequestsToSwitch = 0
	// observeTime is how long the load must have been observed before more than
	// maxInitialPrefillShare of the engines may prefill. Decoding takes seconds, so the load is not
	// known earlier.
	observeTime            = 4 * time.Second
	maxInitialPrefillShare = 0.6
	// Before the first request, maxInitialPrefillShare, prefillPerGateway and maxInitialPrefill limit
	// the number of prefill engines, which exist so that the first prompts don't wait for a role
	// change. Without the last two limits most engines of a large idle fleet would get an order.
	// maxInitialPrefill suffices because one decision considers about 120 engines, and the decode
	// engines among them prefill the prompts that get no separate prefill.
	prefillPerGateway = 1
	maxInitialPrefill = 72
	// registrationQuietTime is how long no new engine must have registered before roles change ahead
	// of the first request. When thousands of engines register, the prefill engines may be the last
	// ones, and decode engines would be switched in their place.
	registrationQuietTime = time.Second
	// minDecode engines, and the share minDecodeShare of all, always decode, so that the loss of one
	// engine or of a slow link doesn't stop the service. An engine receives the KV caches of prompts
	// one after the other.
	minDecode      = 2
	minDecodeShare = 0.3
	minPrefill     = 1
	// If engines that decode also prefill long prompts, they take most of the load, and prefill engines
	// what is beyond it. Before the first request at most maxInitialPrefillShareWhole of the engines
	// prefill, and queued prompts make no engine switch to prefill that is one of the last
	// minDecodeShareWhole. The queue must have lasted longer than the role change of an engine takes,
	// which is some 3 s, and longer than a burst that ends before the engine is of use; the smoothed
	// queueing delay falls about a second after the queue.
	maxInitialPrefillShareWhole = 0.35
	minDecodeShareWhole         = 0.5
	minQueuedTimeWhole          = 5 * time.Second
)

func (p *packing) Decide(in Input) *Change {
	decodeEngines, prefillEngines, slots := 0, 0, 0
	for _, e := range in.Engines {
		if e.Role == engine.RolePrefill {
			prefillEngines++
			continue
		}
		decodeEngines++
		slots = max(slots, e.Slots)
	}
	if slots == 0 {
		return nil
	}
	p.observe(in, decodeEngines*slots, decodeEngines < decodeFloor(decodeEngines+prefillEngines))
	settled := p.registrationSettled(in.Now, decodeEngines+prefillEngines)
	queuedTime := minQueuedTime
	if in.WholeRequests {
		queuedTime = minQueuedTimeWhole
	}
	reason := fmt.Sprintf("%.0f requests decoding, %d decode engines with %d slots each, %.0f ms of prompts queued", p.runningRequests, decodeEngines, slots, p.queueMs)
	switch {
	case p.firstRequestAt.IsZero() && in.QueueDelay == 0 && settled && prefillEngines < initialPrefillEngines(prefillEngines+decodeEngines, &in):
		return chooseEngine(in.Engines, engine.RoleMixed, engine.RolePrefill, "no request has been decoded yet")
	case elapsed(p.decodeShortageSince, in.Now, minDecodeShortageTime) && prefillEngines > minPrefill:
		p.decodeShortageSince = in.Now
		return chooseEngine(in.Engines, engine.RolePrefill, engine.RoleMixed, reason)
	case elapsed(p.queuedSince, in.Now, queuedTime) && p.canSwitchToPrefill(in, decodeEngines, prefillEngines, slots):
		c := chooseEngine(in.Engines, engine.RoleMixed, engine.RolePrefill, reason)
		if c != nil && requestsOf(in.Engines, c.Engine) > maxRequestsToSwitch && !elapsed(p.queuedSince, in.Now, minQueuedTimeBusy) {
			return nil
		}
		return c
	}
	return nil
}

func requestsOf(engines []Engine, name string) int {
	for _, e := range engines {
		if e.Name == name {
			return e.Requests
		}
	}
	return 0
}

// MinDecodeEngines returns how many of n engines should decode at least, for a number of requests
// in flight that each need a slot.
func MinDecodeEngines(requests float64, slots, n int) int {
	return max(decodeFloor(n), int(math.Ceil(requests*prefillHeadroom/float64(slots))))
}

// decodeFloor returns how many of n engines decode even without requests.
func decodeFloor(n int) int {
	return max(minDecode, int(math.Ceil(minDecodeShare*float64(n))))
}

// initialPrefillEngines returns how many of n engines prefill before the first request.
func initialPrefillEngines(n int, in *Input) int {
	share := maxInitialPrefillShare
	if in.WholeRequests {
		share = maxInitialPrefillShareWhole
	}
	return min(int(share*float64(n)), prefillPerGateway*in.Gateways, maxInitialPrefill)
}

// registrationSettled records the number of engines and reports whether it has not grown for
// registrationQuietTime.
func (p *packing) registrationSettled(now time.Time, engines int) bool {
	if engines > p.engineCount {
		p.grewAt = now
	}
	p.engineCount = engines
	return now.Sub(p.grewAt) >= registrationQuietTime
}

// canSwitchToPrefill reports whether the load permits that a decode engine switches to prefill.
func (p *packing) canSwitchToPrefill(in Input, decodeEngines, prefillEngines, slots int) bool {
	if decodeEngines <= MinDecodeEngines(p.runningRequests, slots, decodeEngines+prefillEngines) {
		return false
	}
	if in.WholeRequests && float64(decodeEngines) <= minDecodeShareWhole*float64(decodeEngines+prefillEngines) {
		return false
	}
	return in.Now.Sub(p.firstRequestAt) >= observeTime || float64(prefillEngines+1) <= maxInitialPrefillShare*float64(prefillEngines+decodeEngines)
}

func elapsed(since, now time.Time, after time.Duration) bool {
	return !since.IsZero() && now.Sub(since) >= after
}

func (p *packing) observe(in Input, decodeSlots int, tooFewDecode bool) {
	dt := in.Now.Sub(p.lastDecideAt)
	if p.lastDecideAt.IsZero() || dt < 0 {
		dt = 0
	}
	p.lastDecideAt = in.Now
	running := 0
	for _, e := range in.Engines {
		if e.Role != engine.RolePrefill {
			running += e.Requests
		}
	}
	if p.firstRequestAt.IsZero() && running > 0 {
		p.firstRequestAt = in.Now
	}
	p.runningRequests += (float64(running) - p.runningRequests) * (1 - math.Exp2(-dt.Seconds()/runningHalfLife.Seconds()))
	p.queueMs += (in.QueueDelay.Seconds()*1000 - p.queueMs) * (1 - math.Exp(-dt.Seconds()/queueTimeConstant.Seconds()))
	p.queuedSince = conditionSince(p.queuedSince, in.Now, p.queueMs > maxQueueMs)
	p.decodeShortageSince = conditionSince(p.decodeShortageSince, in.Now, tooFewDecode || p.runningRequests*decodeHeadroom > float64(decodeSlots))
}

// conditionSince returns the time since when a condition has held, zero if it doesn't hold. old is
// its previous result.
func conditionSince(old, now time.Time, holds bool) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case old.IsZero():
		return now
	}
	return old
}
