package capacity

import (
	"math"
	"time"
)

// Work is work for a service, in total since its scheduler started.
type Work struct {
	// PrefillMs is time of typical engines, DecodeMs time of slots, both in ms.
	PrefillMs, DecodeMs float64
}

// Report is the work that one scheduler has placed, as known at a time.
type Report struct {
	// Incarnation is the run of the scheduler. Its totals start at 0.
	Incarnation string
	At          time.Time
	Work        Work
}

// Rate is work per time.
type Rate struct {
	// Prefill is the number of typical engines that prompts keep busy.
	Prefill float64 `json:"prefill"`
	// Decode is the number of slots in which responses are decoded.
	Decode float64 `json:"decode"`
}

func (r Rate) max(o Rate) Rate { return Rate{max(r.Prefill, o.Prefill), max(r.Decode, o.Decode)} }

// valid reports whether the rate is a possible one.
func (r Rate) valid() bool {
	return r.Prefill >= 0 && r.Prefill <= maxRate && r.Decode >= 0 && r.Decode <= maxRate
}

// Demand is what is known of the work for a service.
type Demand struct {
	// Latest is the rate in the last window, Peak the highest rate that is remembered.
	Latest, Peak Rate
	// Known is true once the work has been observed in MinObserved windows.
	Known bool
	// Measured is true once this process itself has observed that many. Until then, what is known is what
	// another one has learned at an unknown time.
	Measured bool
	// ObservedAt is the end of the last window that counts as observed.
	ObservedAt time.Time
}

const (
	// meterWindow is the time over which work is averaged. A fifth more work than engines can do, for
	// that long, delays prompts by less than the latency targets, which are 0.5 s and more.
	meterWindow = 2 * time.Second
	// maxReportAge is the age from which a scheduler's report says nothing about the present window.
	maxReportAge = 500 * time.Millisecond
	// maxReportGap is the time between two reports from which their mean may hide a peak.
	maxReportGap = 2 * meterWindow
	// MinObserved is the number of windows after which the demand is known. Alternating kinds of
	// requests repeat within some 6 s and waves of traffic within some 11 s.
	MinObserved = 6
	// warmUpWindows is the number of windows with work that count as observed but not for the peak: at
	// first, nothing is cached and the speed of the engines has not been measured.
	warmUpWindows = 2
	// A peak is remembered for at least peakBuckets-1 times bucketWindows observed windows, which is 10
	// minutes: traffic returns after a lull more quickly than that.
	bucketWindows = 5
	peakBuckets   = 61
	// maxRate is the highest rate of one scheduler that counts as valid, in engines or slots.
	maxRate = 1e6
	// decodeHalfLife is the half-life, in windows, of the smoothed decode rate. A response is counted
	// at its end, which makes the rate of a single window that of few responses.
	decodeHalfLife = 2.0
)

// Meter measures the demand of one service from the reports of all schedulers. A window counts as
// observed if all schedulers have reported in it and there was work. Other windows can raise the
// demand, but never make it known or let a peak be forgotten. It must be used by one goroutine only.
type Meter struct {
	windowEnd time.Time
	last      map[string]Report // by scheduler
	decode    float64
	// peaks is a ring of the highest rates, each of bucketWindows observed windows.
	peaks    [peakBuckets]Rate
	current  int
	observed int
	// measured is the number of windows that this process itself has observed, at most MinObserved.
	measured int
	// warmUp is the number of windows with work that have not counted for the peak.
	warmUp int
	demand Demand
}

// Observe reads the latest reports, by scheduler. schedulers names all that there are. short is true if
// fewer engines serve than the operator had: the work is then less than the demand, and the window
// doesn't help to make it known.
func (m *Meter) Observe(now time.Time, schedulers []string, reports map[string]Report, short bool) {
	if now.Sub(m.windowEnd) < meterWindow {
		return
	}
	if m.windowEnd = m.windowEnd.Add(meterWindow); now.Sub(m.windowEnd) >= meterWindow {
		m.windowEnd = now
	}
	rate, complete := m.sum(now, schedulers, reports)
	m.decode += (rate.Decode - m.decode) * (1 - math.Exp2(-1/decodeHalfLife))
	rate.Decode = m.decode
	m.demand.Latest = rate
	if m.warmUp >= warmUpWindows {
		m.peaks[m.current] = m.peaks[m.current].max(rate)
	} else if rate.Prefill > 0 {
		m.warmUp++
	}
	if complete && rate.Prefill > 0 && (!short || m.demand.Known) {
		m.demand.ObservedAt = now
		m.measured = min(m.measured+1, MinObserved)
		if m.observed++; m.observed%bucketWindows == 0 {
			m.current = (m.current + 1) % peakBuckets
			m.peaks[m.current] = Rate{}
		}
	}
	m.updatePeak()
}

func (m *Meter) updatePeak() {
	m.demand.Peak, m.demand.Known, m.demand.Measured = Rate{}, m.observed >= MinObserved, m.measured >= MinObserved
	for _, r := range m.peaks {
		m.demand.Peak = m.demand.Peak.max(r)
	}
}

// sum returns the rate since the last reports, and whether it is that of all schedulers.
func (m *Meter) sum(now time.Time, schedulers []string, reports map[string]Report) (sum Rate, complete bool) {
	complete = len(schedulers) > 0
	last := make(map[string]Report, len(schedulers))
	for _, name := range schedulers {
		before, known := m.last[name]
		r, ok := reports[name]
		if !ok || now.Sub(r.At) > maxReportAge {
			complete = false
			if known {
				last[name] = before
			}
			continue
		}
		last[name] = r
		rate, ok := rateBetween(before, r)
		if !known || !ok {
			complete = false
			continue
		}
		complete = complete && r.At.Sub(before.At) <= maxReportGap
		sum.Prefill += rate.Prefill
		sum.Decode += rate.Decode
	}
	m.last = last
	return sum, complete
}

// rateBetween returns the rate between two reports of a scheduler. It returns false if they don't say.
func rateBetween(before, after Report) (Rate, bool) {
	if after.Incarnation != before.Incarnation {
		before.Work = Work{} // the scheduler has restarted since
	}
	elapsed := after.At.Sub(before.At)
	if elapsed < meterWindow/2 {
		return Rate{}, false
	}
	ms := elapsed.Seconds() * 1000
	r := Rate{Prefill: (after.Work.PrefillMs - before.Work.PrefillMs) / ms, Decode: (after.Work.DecodeMs - before.Work.DecodeMs) / ms}
	return r, r.valid()
}

// Demand returns what is known of the demand.
func (m *Meter) Demand() Demand { return m.demand }

// Learned is the part of the state that the next holder of the duty continues from.
type Learned struct {
	Peak Rate `json:"peak"`
	// Observed is the number of observed windows, at most as many as make the demand known.
	Observed int `json:"observed"`
	// Engines is the number of engines that stood or had been ordered.
	Engines int `json:"engines"`
}

// Learned returns the state to continue from, without the number of engines.
func (m *Meter) Learned() Learned {
	return Learned{Peak: m.demand.Peak, Observed: min(m.observed, MinObserved)}
}

// Restore continues from what another process has learned. The peak counts as seen now.
func (m *Meter) Restore(l Learned) {
	if !l.Peak.valid() || l.Peak.Prefill <= 0 {
		return
	}
	m.peaks[m.current] = m.peaks[m.current].max(l.Peak)
	if l.Observed >= MinObserved {
		m.observed = max(m.observed, MinObserved)
	}
	m.updatePeak()
}
