package roles

import "time"

// Meter computes the demand from the counters that processes report. It must be used by one
// goroutine only.
type Meter struct {
	counters  map[string]Counter // by process
	demand    Demand
	updatedAt time.Time
}

// Counter is the total work, in tokens, that one run of a process has admitted to a pool.
type Counter struct {
	Prefill uint64
	Decode  uint64
}

// averagingTime is the time over which the demand is averaged.
const averagingTime = 3 * time.Second

// Update applies the counters of all processes that reported and returns the demand. If only a
// sample of the processes reports, scale is the number of processes that each of them stands for.
func (m *Meter) Update(now time.Time, counters map[string]Counter, scale float64) Demand {
	var prefill, decode float64
	for process, c := range counters {
		old, known := m.counters[process]
		if known && c.Prefill >= old.Prefill && c.Decode >= old.Decode {
			prefill += float64(c.Prefill - old.Prefill)
			decode += float64(c.Decode - old.Decode)
		}
	}
	dt := now.Sub(m.updatedAt)
	first := m.updatedAt.IsZero()
	m.counters, m.updatedAt = counters, now
	if first || dt <= 0 {
		return m.demand
	}
	weight := min(1, dt.Seconds()/averagingTime.Seconds())
	m.demand.Prefill += weight * (prefill*scale/dt.Seconds() - m.demand.Prefill)
	m.demand.Decode += weight * (decode*scale/dt.Seconds() - m.demand.Decode)
	return m.demand
}
