package profile

import "math"

const (
	// gapSmoothing is the weight of one response in the typical gap.
	gapSmoothing = 0.02
	// loadSmoothing is the weight of one response in the mean load and gap of an engine.
	loadSmoothing = 0.1
	// slopeDecay is the factor applied to the weight of earlier responses in the effect of the load, and
	// slopePrior the weight, in squared loads, of the assumption that the load has no effect.
	slopeDecay = 0.998
	slopePrior = 0.05
	// maxSlope bounds the effect of a full engine on the logarithm of the gap.
	maxSlope = 2.0
)

// Gaps is the model of the time between two events of a service's responses on a typical engine. The
// logarithm of the gap grows linearly with the load, the requests in flight per slot. The effect of the load
// is fitted to the changes at each engine, because faster engines get more load.
type Gaps struct {
	known  bool
	log    float64 // of the gap in ms without load
	xx, xy float64
}

// EngineGaps are the mean load and gap of one engine's responses.
type EngineGaps struct {
	known     bool
	load, log float64
}

// Observe adds the mean gap of a response from an engine with a speed and a load, and returns the ratio to
// the gap that is expected of a typical engine, 0 if none is known yet.
func (g *Gaps) Observe(e *EngineGaps, gapMs, load, speed float64) float64 {
	if !(gapMs > 0) || math.IsInf(gapMs, 1) || !(speed > 0) || !(load >= 0) || math.IsInf(load, 1) {
		return 0
	}
	log := math.Log(gapMs)
	if !e.known {
		*e = EngineGaps{true, load, log}
	}
	g.xx = g.xx*slopeDecay + (load-e.load)*(load-e.load)
	g.xy = g.xy*slopeDecay + (load-e.load)*(log-e.log)
	e.load += (load - e.load) * loadSmoothing
	e.log += (log - e.log) * loadSmoothing
	unloaded := log + math.Log(speed) - g.slope()*load
	if !g.known {
		g.known, g.log = true, unloaded
		return 0
	}
	ratio := gapMs / g.Typical(load)
	g.log += min(max(unloaded-g.log, -1), 1) * gapSmoothing
	return ratio
}

func (g *Gaps) slope() float64 { return min(max(g.xy/(g.xx+slopePrior), 0), maxSlope) }

// Typical returns the expected gap of a typical engine with a load, in ms, 0 if none is known.
func (g *Gaps) Typical(load float64) float64 {
	if !g.known {
		return 0
	}
	return math.Exp(g.log + g.slope()*load)
}
