package roles

import "time"

// Meter turns the counters that processes report into a demand. It is used by
// one goroutine.
type Meter struct {
	seen   map[string]Counter // by process
	demand Demand
	last   time.Time
}

// Counter is how much work one run of a process has admitted to a pool so far,
// in tokens.
type Counter struct {
	Prefill uint64
	Decode  uint64
}

// averaging is over how long the demand is averaged.
const averaging = 3 * time.Second

// Update takes in the counters of all processes that are heard, and returns the
// demand. If only a sample of the fleet is heard, scale is how many processes
// each of them stands for.
func (m *Meter) Update(now time.Time, counters map[string]Counter, scale float64) Demand {
	var prefill, decode float64
	for process, c := range counters {
		old, known := m.seen[process]
		if known && c.Prefill >= old.Prefill && c.Decode >= old.Decode {
			prefill += float64(c.Prefill - old.Prefill)
			decode += float64(c.Decode - old.Decode)
		}
	}
	dt := now.Sub(m.last)
	first := m.last.IsZero()
	m.seen, m.last = counters, now
	if first || dt <= 0 {
		return m.demand
	}
	weight := min(1, dt.Seconds()/averaging.Seconds())
	m.demand.Prefill += weight * (prefill*scale/dt.Seconds() - m.demand.Prefill)
	m.demand.Decode += weight * (decode*scale/dt.Seconds() - m.demand.Decode)
	return m.demand
}
