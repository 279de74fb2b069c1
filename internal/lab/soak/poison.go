package soak

import (
	"slices"
	"strings"
	"time"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
)

// In some seeds, requests of several clients share one part of their prompts, and nothing else is alike. Each engine that
// begins to write an answer on that part crashes.

const (
	// poisonPart is the part, which comes in the second quarter of a run with poisonShare of the requests for streams.
	poisonPart  = "dead"
	poisonShare = 0.15
	// poisonDelay is the time from the start of a run to the crash, poisonDowntime that until the engine is back.
	poisonDelay    = 30 * time.Millisecond
	poisonDowntime = 1500 * time.Millisecond
	// Requests with the part come in one of poisonSeeds seeds.
	poisonSeeds = 3
	// From ContactTime after poisonCrashes crashes, maxPoisonRuns requests with the part may reach engines, by the users'
	// rules.
	poisonCrashes = 5
	maxPoisonRuns = 3
)

// sendsPoison reports whether requests with the part come now.
func (w *world) sendsPoison() bool {
	begun := w.scheduleBegun.Load()
	if begun == nil || w.o.Seed%poisonSeeds != 1 {
		return false
	}
	passed := time.Since(*begun)
	return passed >= w.o.Length/4 && passed < w.o.Length/2
}

// crashByPart ends the current instance under a request with the part, and starts another one later.
func (p *place) crashByPart() {
	// A link accepts connections whether or not its target does, so that it has to be told first. It resets the requests
	// under way, which the engine breaks off.
	p.mu.Lock()
	ending := p.current.ID
	p.mu.Unlock()
	p.w.observed.record(func() { p.w.markAborted(ending) })
	var accept []func()
	for _, l := range p.w.linksToTarget(p.address) {
		accept = append(accept, l.Refuse())
	}
	acceptAgain := func() {
		for _, off := range accept {
			off()
		}
	}
	if !p.terminate(registrationExpiry) {
		acceptAgain()
		return
	}
	p.w.observed.record(func() { p.w.observed.PartCrashes = append(p.w.observed.PartCrashes, time.Now()) })
	p.w.logEvent("an engine at place %d ended under a request with the part %s", p.number, poisonPart)
	p.w.runAfter(poisonDowntime, func() {
		p.startAt(p.address)
		acceptAgain()
	})
}

// linksToTarget returns all links whose target is an address.
func (w *world) linksToTarget(address string) []*Link {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*Link
	for _, l := range w.links {
		if l.target == address {
			out = append(out, l)
		}
	}
	return out
}

// isPoisoned reports whether a prompt has the part.
func isPoisoned(parts []engine.Part) bool {
	return slices.ContainsFunc(parts, func(p engine.Part) bool { return p.ID == poisonPart })
}

// withPoison puts the part into a prompt.
func withPoison(parts []engine.Part) []engine.Part {
	return slices.Insert(slices.Clone(parts), len(parts)-1, engine.Part{ID: poisonPart, Tokens: prefixTokens})
}

// poisonPartsStopped checks that requests with a part that crashes engines reach none any more, some time after the crashes
// that show it.
func (c *checker) poisonPartsStopped() Guarantee {
	g := Guarantee{Name: "requests with a part that crashes engines are rejected after five crashes"}
	g.Cases = len(c.observed.PartCrashes)
	if g.Cases < poisonCrashes {
		return g
	}
	from := c.observed.PartCrashes[poisonCrashes-1].Add(c.o.Bounds.ContactTime)
	var late []*Arrival
	for _, a := range c.observed.Arrivals {
		call := c.calls[a.key()]
		if call != nil && a.Ran && isPoisoned(a.Parts) && call.Sent.After(from) && c.undisturbed(call.Gateway, a.At) {
			late = append(late, a)
		}
	}
	if len(late) > maxPoisonRuns {
		var ids []string
		for _, a := range late {
			ids = append(ids, a.ID)
		}
		g.addViolation(late[0].ID, "%d requests reached engines, %d of which had ended: %s", len(late), g.Cases, strings.Join(ids, " "))
	}
	return g
}

// poison makes an engine crash under the part.
func (p *place) poison(e *fleetengine.Engine) {
	e.PoisonParts, e.PoisonDelay, e.Crash = []string{poisonPart}, poisonDelay, p.crashByPart
}
