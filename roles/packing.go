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
	last time.Time
	// peak is the number of requests that were being generated lately, falling
	// slowly.
	peak float64
	// queue is the smoothed queue of prompts in ms.
	queue float64
	// waited is since when prompts have waited, zero if they do not.
	waited time.Time
}

const (
	// fill is the part of the slots of generating engines that is planned for; the
	// rest takes up bursts for as long as a change of role takes.
	fill = 0.7
	// peakHalf is the time in which the remembered peak halves: longer than bursts
	// that alternate every few seconds, shorter than a shift of the mix.
	peakHalf = 8 * time.Second
	// queueTime smooths the queue.
	queueTime = 500 * time.Millisecond
	// queueLimit is the queue from which another engine is worth having.
	queueLimit = 40 * time.Millisecond
	// waitFor is how long prompts must have waited before a role changes.
	waitFor = 700 * time.Millisecond
	// minGenerating engines are kept, so that the loss of one stops nothing.
	minGenerating = 2
	minReading    = 1
)

func (p *packing) Decide(in Input) *Change {
	p.observe(in)
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
	need := max(minGenerating, int(math.Ceil(p.peak/(fill*float64(slots)))))
	reason := fmt.Sprintf("%.0f requests generating at the peak, %d slots each, %.0f ms of prompts queued", p.peak, slots, p.queue)
	switch {
	case generating < need && reading > minReading:
		return move(in.Engines, engine.RolePrefill, engine.RoleMixed, reason)
	case generating > need && !p.waited.IsZero() && in.Now.Sub(p.waited) >= waitFor:
		return move(in.Engines, engine.RoleMixed, engine.RolePrefill, reason)
	}
	return nil
}

func (p *packing) observe(in Input) {
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
	p.peak = max(float64(running), p.peak*math.Exp2(-dt.Seconds()/peakHalf.Seconds()))
	weight := 1 - math.Exp(-dt.Seconds()/queueTime.Seconds())
	p.queue += (float64(in.Queue)/float64(time.Millisecond) - p.queue) * weight
	switch {
	case p.queue < float64(queueLimit/time.Millisecond):
		p.waited = time.Time{}
	case p.waited.IsZero():
		p.waited = in.Now
	}
}
