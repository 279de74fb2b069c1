package roles

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/engine"
)

func pool(readers int) []Engine {
	es := make([]Engine, 12)
	for i := range es {
		es[i] = Engine{Name: fmt.Sprint("e", i), Domain: fmt.Sprint("d", i%3), Role: engine.RoleMixed, Movable: true, Requests: i}
		if i < readers {
			es[i].Role = engine.RolePrefill
		}
	}
	return es
}

// simulate lets a policy decide twice a second, with changes in force at once,
// and returns how many it made.
func simulate(p Policy, w Weights, readers int, d time.Duration, demand func(t time.Duration) Demand) (changes, left int) {
	es := pool(readers)
	now := time.Unix(0, 0)
	for t := time.Duration(0); t < d; t += 500 * time.Millisecond {
		c := p.Decide(Input{Now: now.Add(t), Engines: es, Demand: demand(t), Weights: w})
		if c == nil {
			continue
		}
		changes++
		for i := range es {
			if es[i].Name == c.Engine {
				es[i].Role = c.To
			}
		}
	}
	for _, e := range es {
		if e.Role == engine.RolePrefill {
			left++
		}
	}
	return changes, left
}

var (
	notes   = Demand{Prefill: 0, Decode: 2400}
	reviews = Demand{Prefill: 60000, Decode: 2400}
	// Trinacria and Piimaring are the weights of the first users.
	trinacria = Weights{Goodput: 3, Change: 1}
	piimaring = Weights{Goodput: 1, Change: 10}
)

func burst(length time.Duration) func(time.Duration) Demand {
	return func(t time.Duration) Demand {
		if t >= 10*time.Second && t < 10*time.Second+length {
			return reviews
		}
		return notes
	}
}

func TestNoChangeForAShiftShorterThanItPaysFor(t *testing.T) {
	for name, c := range map[string]struct {
		w      Weights
		length time.Duration
	}{"trinacria": {trinacria, 6 * time.Second}, "piimaring": {piimaring, 15 * time.Second}} {
		n, _ := simulate(&costBenefit{}, c.w, 0, time.Minute, burst(c.length))
		require.Zero(t, n, name)
	}
}

func TestLastingShiftIsFollowed(t *testing.T) {
	n, readers := simulate(&costBenefit{}, trinacria, 0, 2*time.Minute, burst(time.Hour))
	require.Equal(t, 5, readers, "60,000 tokens/s need 4.3 engines at 14,000 each")
	require.Equal(t, 5, n)
	n, readers = simulate(&costBenefit{}, trinacria, 5, 2*time.Minute, func(time.Duration) Demand { return Demand{Decode: 12000} })
	require.Equal(t, 2, readers, "9.5 engines have to generate")
	require.Equal(t, 3, n)
}

// swings alternates between a mix that needs readers and one that needs all
// engines to generate.
func swings(period time.Duration) func(time.Duration) Demand {
	return func(at time.Duration) Demand {
		if at/period%2 == 1 {
			return reviews
		}
		return Demand{Decode: 14000}
	}
}

func TestChangesWeighMoreForPiimaring(t *testing.T) {
	few, _ := simulate(&costBenefit{}, piimaring, 0, 10*time.Minute, swings(20*time.Second))
	more, _ := simulate(&costBenefit{}, trinacria, 0, 10*time.Minute, swings(20*time.Second))
	require.Less(t, few, more)
	require.LessOrEqual(t, few, 1)
}

// A swing that is shorter than two changes cost is not followed back and forth.
func TestShortSwingsAreNotFollowed(t *testing.T) {
	n, _ := simulate(&costBenefit{}, trinacria, 0, 10*time.Minute, swings(12*time.Second))
	require.LessOrEqual(t, n, 1)
}

func TestOnlyMovableEnginesAndTheLeastToLose(t *testing.T) {
	es := pool(0)
	es[0].Movable = false
	require.Equal(t, "e1", move(es, engine.RoleMixed, engine.RolePrefill, "").Engine)
	for i := range es {
		es[i].Movable = false
	}
	require.Nil(t, move(es, engine.RoleMixed, engine.RolePrefill, ""))
}

func TestMeterAveragesIncrementsAndForgetsRestarts(t *testing.T) {
	var m Meter
	at := time.Unix(0, 0)
	total := uint64(0)
	var d Demand
	for range 40 {
		d = m.Update(at, map[string]Counter{"a": {Prefill: total, Decode: total / 10}}, 2)
		at = at.Add(500 * time.Millisecond)
		total += 500
	}
	require.InDelta(t, 2000, d.Prefill, 50)
	require.InDelta(t, 200, d.Decode, 5)
	d = m.Update(at, map[string]Counter{"b": {Prefill: 1 << 40}}, 1)
	require.Less(t, d.Prefill, 2000.0, "a process that was not heard before adds nothing at first")
}

// TestAnEngineWithoutRequestsChangesFirst checks that a change takes an engine that
// can change at once, even from a failure domain with fewer of its role: one that was
// busy took 10 s on quiet-1.
func TestAnEngineWithoutRequestsChangesFirst(t *testing.T) {
	engines := []Engine{
		{Name: "a-1", Domain: "a", Role: engine.RoleMixed, Movable: true, Requests: 9},
		{Name: "a-2", Domain: "a", Role: engine.RoleMixed, Movable: true, Requests: 8},
		{Name: "b-1", Domain: "b", Role: engine.RoleMixed, Movable: true},
		{Name: "c-1", Domain: "c", Role: engine.RolePrefill, Movable: true},
	}
	require.Equal(t, "b-1", move(engines, engine.RoleMixed, engine.RolePrefill, "").Engine)
	engines[1].Requests = 1
	require.Equal(t, "a-2", move(engines, engine.RoleMixed, engine.RolePrefill, "").Engine, "the domain that has more of them, if it costs little")
}
