package profile

import (
	"math"
	"slices"
	"time"
)

const (
	// windowSize is the number of intervals that a window holds. A lasting change of an engine's speed
	// moves the median after half of them.
	windowSize = 24
	// sampleInterval is the length of an interval. The samples of one interval count as one, so that a
	// slow phase shorter than a second fills only a few of the intervals, however many samples it has.
	sampleInterval = 200 * time.Millisecond
	// maxRatio bounds a single sample. Engines of one service differ by less.
	maxRatio = 16.0
	// typicalDeviation is the standard deviation of the logarithm of one interval for which the
	// interval counts as one equivalent sample: durations vary by about a third even on equal engines,
	// because prompts of other processes and network delays are not seen.
	typicalDeviation = 0.35
	// deviationOfMAD is the ratio of the standard deviation to the median absolute deviation of a
	// normal distribution.
	deviationOfMAD = 1.4826
)

// Window holds the latest measurements of one engine in one stage. The zero value is empty.
type Window struct {
	// logs holds the logarithms of measured durations relative to the expected ones, one per interval.
	logs [windowSize]float32
	// used is the number of intervals that have been recorded, and newest the index of the last one.
	used, newest int
	// inNewest is the number of samples in the newest interval, which began at newestAt.
	inNewest int
	newestAt time.Time
}

// Add adds the ratio of a measured duration to the one that is expected of a typical engine. A ratio
// that is not a positive number is ignored.
func (w *Window) Add(at time.Time, ratio float64) {
	if !(ratio > 0) || math.IsInf(ratio, 1) {
		return
	}
	sample := math.Log(min(max(ratio, 1/maxRatio), maxRatio))
	age := at.Sub(w.newestAt)
	if w.used > 0 && age >= 0 && age < sampleInterval {
		w.inNewest++
		w.logs[w.newest] += (float32(sample) - w.logs[w.newest]) / float32(w.inNewest)
		return
	}
	if w.used > 0 {
		w.newest = (w.newest + 1) % windowSize
	}
	w.used = min(w.used+1, windowSize)
	w.logs[w.newest], w.newestAt, w.inNewest = float32(sample), at, 1
}

// Estimate returns the speed by the median of the intervals, which neither slow phases nor single wrong
// samples move much. Intervals that vary more than usual count as fewer samples.
func (w *Window) Estimate() Estimate {
	if w.used == 0 {
		return Estimate{}
	}
	copied := w.logs
	logs := copied[:w.used]
	center := median(logs)
	for n := range logs {
		logs[n] = float32(math.Abs(float64(logs[n]) - center))
	}
	samples := float64(w.used)
	if deviation := deviationOfMAD * median(logs); deviation > typicalDeviation {
		samples *= typicalDeviation * typicalDeviation / (deviation * deviation)
	}
	return Estimate{Log: -center, Samples: samples}
}

// median sorts the values, of which there is at least one, and returns their median.
func median(values []float32) float64 {
	slices.Sort(values)
	n := len(values)
	return float64(values[(n-1)/2]+values[n/2]) / 2
}
