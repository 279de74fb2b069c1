// Package profile learns what each engine of a service can do: how fast one run of an engine prefills
// and decodes relative to the service's typical engine. It serves services whose engines differ in
// speed, and whose engines go through slow phases of less than a second. A slow engine differs lastingly,
// a slow phase fills a few intervals of a window, and a wrong sample at most one.
package profile

import (
	"math"
	"time"
)

const (
	// priorSamples is the largest weight, in samples, of what is known of an engine from before:
	// of an earlier run under the same ID, or from the store. It fades as the engine is measured.
	priorSamples = 6.0
	// crossStageSamples is the weight, in samples, of an engine's speed in one stage as an estimate of its
	// speed in the other.
	crossStageSamples = 4.0
	// maxSamples bounds the confidence that a peer may state. No process has more samples of an engine.
	maxSamples = windowSize
	// minSamples is the number of samples from which an engine counts towards the typical engine and
	// its speed is used.
	minSamples = 4.0
	// minDifference is the difference of the logarithm of a speed from which engines are served
	// differently. It is a quarter: below that, the queueing delay that a request causes on a slower
	// engine is less than the noise of the estimates of queueing delays.
	minDifference = 0.25
	// keepDifference is the difference below which engines are served as equal again.
	keepDifference = 0.12
	// minErrors is by how many standard errors a speed must differ. Among 10,003 equal engines, chance
	// alone exceeds it in one of 90 services.
	minErrors = 5.0
	// maxLog bounds the logarithm of a speed.
	maxLog = 2.8
)

// Estimate is the natural logarithm of a relative speed with its confidence in equivalent samples.
type Estimate struct{ Log, Samples float64 }

// FromSpeed returns the estimate for a speed from another process or the store, and an empty one if the
// numbers make no sense.
func FromSpeed(speed, samples float64) Estimate {
	log := math.Log(speed)
	if math.IsNaN(log) || math.IsInf(log, 0) || !(samples > 0) {
		return Estimate{}
	}
	return Estimate{Log: min(max(log, -maxLog), maxLog), Samples: min(samples, maxSamples)}
}

// Speed returns the relative speed, which is 1 while nothing is known.
func (e Estimate) Speed() float64 { return math.Exp(e.Log) }

// Known reports whether there are enough samples to use the estimate.
func (e Estimate) Known() bool { return e.Samples >= minSamples }

// Merge returns the mean of estimates from disjoint samples, by their samples.
func Merge(estimates ...Estimate) Estimate {
	out := Estimate{}
	for _, e := range estimates {
		if e.Samples > 0 {
			out.Log += e.Log * e.Samples
			out.Samples += e.Samples
		}
	}
	if out.Samples > 0 {
		out.Log /= out.Samples
	}
	return out
}

// AsPrior returns the estimate with the weight of what is known from before.
func (e Estimate) AsPrior() Estimate {
	return Estimate{Log: e.Log, Samples: min(e.Samples, priorSamples)}
}

// withPrior adds what is known from before. The prior loses a sample of its weight for each sample of the
// estimate, because both may contain the same ones.
func (e Estimate) withPrior(prior Estimate) Estimate {
	prior.Samples = max(0, prior.AsPrior().Samples-e.Samples)
	return Merge(e, prior)
}

// differs reports whether the speed differs from that of the typical engine by more than a difference
// and more than chance explains.
func (e Estimate) differs(difference float64) bool {
	return e.Known() && math.Abs(e.Log) >= max(difference, minErrors*typicalDeviation/math.Sqrt(e.Samples))
}

// Profile is what is known of one run of an engine.
type Profile struct{ Prefill, Decode Estimate }

// Merge returns the mean of profiles from disjoint samples.
func (p Profile) Merge(q Profile) Profile {
	return Profile{Merge(p.Prefill, q.Prefill), Merge(p.Decode, q.Decode)}
}

// WithPrior adds what is known from before.
func (p Profile) WithPrior(prior Profile) Profile {
	return Profile{p.Prefill.withPrior(prior.Prefill), p.Decode.withPrior(prior.Decode)}
}

// AsPrior returns the profile with the weight of what is known from before.
func (p Profile) AsPrior() Profile { return Profile{p.Prefill.AsPrior(), p.Decode.AsPrior()} }

// Differs reports whether the engine differs from the typical one beyond noise. A service whose engines
// differ already is served as such until they are much more alike, hence wasDifferent.
func (p Profile) Differs(wasDifferent bool) bool {
	difference := minDifference
	if wasDifferent {
		difference = keepDifference
	}
	return p.Prefill.differs(difference) || p.Decode.differs(difference)
}

// AcrossStages completes the estimate of each stage by that of the other.
func (p Profile) AcrossStages() Profile {
	return Profile{p.Prefill.complete(p.Decode), p.Decode.complete(p.Prefill)}
}

func (e Estimate) complete(other Estimate) Estimate {
	other.Samples = min(other.Samples, crossStageSamples) * max(0, 1-e.Samples/(2*crossStageSamples))
	return Merge(e, other)
}

// Class is how an engine compares with the typical one.
type Class string

// Classes.
const (
	Unknown Class = "unknown"
	Slow    Class = "slow"
	Typical Class = "typical"
	Fast    Class = "fast"
)

// Class returns the engine's class. before is the class so far, which is kept near the boundaries.
func (p Profile) Class(before Class) Class {
	e := p.Decode
	if !e.Known() || p.Prefill.Samples > e.Samples {
		e = p.Prefill
	}
	boundary := func(c Class) float64 {
		if before == c {
			return keepDifference
		}
		return minDifference
	}
	switch {
	case !e.Known():
		return Unknown
	case e.Log >= boundary(Fast):
		return Fast
	case e.Log <= -boundary(Slow):
		return Slow
	}
	return Typical
}

// Reference is the logarithm of the speeds of a service's typical engine.
type Reference struct{ Prefill, Decode float64 }

// References is the geometric mean of the engines of a service. Engines that are not known count as
// typical, because only profiles that differ from the typical engine are exchanged.
type References struct {
	known stages
	all   int
}

// Add adds an engine.
func (r *References) Add(p Profile) {
	r.known.add(p)
	r.all++
}

// Reference returns the mean.
func (r *References) Reference() Reference {
	if r.all == 0 {
		return Reference{}
	}
	all, prefill, decode := float64(r.all), r.known.prefill, r.known.decode
	return Reference{prefill.log * prefill.count / all, decode.log * decode.count / all}
}

// RelativeTo returns the profile relative to a typical engine.
func (p Profile) RelativeTo(t Reference) Profile {
	p.Prefill.Log, p.Decode.Log = relativeLog(p.Prefill, t.Prefill), relativeLog(p.Decode, t.Decode)
	return p
}

func relativeLog(e Estimate, typical float64) float64 {
	if e.Samples <= 0 {
		return 0
	}
	return e.Log - typical
}

// Offsets is by how much the measurements of this process lie above what others know of the same
// engines. The processes compare durations with models of their own, which differ in scale. Without engines
// in common, it is the measured typical engine.
type Offsets struct{ common, own stages }

// Add adds what this process has measured of an engine and what others know of it.
func (o *Offsets) Add(measured, others Profile) {
	o.common.add(Profile{measured.Prefill.minus(others.Prefill), measured.Decode.minus(others.Decode)})
	o.own.add(measured)
}

// Reference returns the mean offset.
func (o *Offsets) Reference() Reference {
	prefill, decode := o.common.prefill, o.common.decode
	if prefill.count == 0 {
		prefill = o.own.prefill
	}
	if decode.count == 0 {
		decode = o.own.decode
	}
	return Reference{prefill.log, decode.log}
}

// minus returns the difference of two estimates. It is known if both are.
func (e Estimate) minus(other Estimate) Estimate {
	return Estimate{Log: e.Log - other.Log, Samples: min(e.Samples, other.Samples)}
}

// mean is the mean of the estimates that are known.
type mean struct{ log, count float64 }

func (m *mean) add(e Estimate) {
	if e.Known() {
		m.count++
		m.log += (e.Log - m.log) / m.count
	}
}

// stages has a mean for each stage.
type stages struct{ prefill, decode mean }

func (s *stages) add(p Profile) {
	s.prefill.add(p.Prefill)
	s.decode.add(p.Decode)
}

// Measurement is what one process has measured of an engine itself.
type Measurement struct {
	prefill, decode Window
	// profile is the profile of the measurements up to the last call of Profile.
	profile Profile
	changed bool
}

// AddPrefill adds the ratio of a prefill's duration to the one that is expected of a typical engine.
func (m *Measurement) AddPrefill(at time.Time, ratio float64) {
	m.prefill.Add(at, ratio)
	m.changed = true
}

// AddDecode adds the ratio of the mean gap of a response to the one expected of a typical engine.
func (m *Measurement) AddDecode(at time.Time, ratio float64) {
	m.decode.Add(at, ratio)
	m.changed = true
}

// Profile returns the profile by the measurements.
func (m *Measurement) Profile() Profile {
	if m.changed {
		m.profile, m.changed = Profile{m.prefill.Estimate(), m.decode.Estimate()}, false
	}
	return m.profile
}
