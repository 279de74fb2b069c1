package placement

import "time"

// Model estimates how long an engine takes to read a prompt: a fixed part and a
// part that grows with the uncached tokens. It is fitted to reads that found the
// engine idle, the newest counting most. It is not safe for concurrent use.
type Model struct {
	// n, x, y, xx, xy are the sums of a weighted linear regression.
	n, x, y, xx, xy float64
	// after is the time from the end of reading to the first event, in ms.
	after float64
}

const (
	// priorBase and priorRate are assumed until there are measurements: the fixed
	// part in ms and the speed in tokens a ms.
	priorBase = 8.0
	priorRate = 180.0
	// priorWeight is how many measurements the assumption counts for.
	priorWeight = 8.0
	// forget is the weight that older measurements lose with each new one.
	forget = 0.99
	// promptShare is the part of the fixed time that keeps the engine busy; the
	// rest is spent on the way.
	promptShare = 0.6
	// minRate and maxRate bound the fitted speed against degenerate samples.
	minRate = 20.0
	maxRate = 2000.0
	// afterPrior and afterStep are for the time from reading to the first event.
	afterPrior = 10.0
	afterStep  = 0.05
)

// NewModel returns a model that knows only the assumed figures.
func NewModel() *Model {
	m := &Model{after: afterPrior}
	for _, tokens := range []float64{500, 10000} {
		m.add(tokens, priorBase+tokens/priorRate, priorWeight/2)
	}
	return m
}

func (m *Model) add(x, y, weight float64) {
	m.n += weight
	m.x += weight * x
	m.y += weight * y
	m.xx += weight * x * x
	m.xy += weight * x * y
}

// Observe takes in a read at an idle engine.
func (m *Model) Observe(tokens int, took time.Duration) {
	m.n, m.x, m.y, m.xx, m.xy = m.n*forget, m.x*forget, m.y*forget, m.xx*forget, m.xy*forget
	m.add(float64(tokens), toMillis(took), 1)
}

// ObserveAfter takes in the time from the end of reading to the first event.
func (m *Model) ObserveAfter(took time.Duration) { m.after += (toMillis(took) - m.after) * afterStep }

// rate returns the speed of reading in tokens a ms.
func (m *Model) rate() float64 {
	det := m.n*m.xx - m.x*m.x
	if det <= 0 {
		return priorRate
	}
	slope := (m.n*m.xy - m.x*m.y) / det
	if slope <= 0 {
		return maxRate
	}
	return min(max(1/slope, minRate), maxRate)
}

// base returns the fixed part in ms.
func (m *Model) base() float64 { return max(1, (m.y-m.x/m.rate())/m.n) }

// Read returns how long an idle engine takes to read a prompt, in ms.
func (m *Model) Read(tokens int) float64 { return m.base() + float64(tokens)/m.rate() }

// Busy returns how long a load of prompts keeps an engine busy, in ms.
func (m *Model) Busy(l Load) float64 {
	return float64(l.Prompts)*m.base()*promptShare + float64(l.PromptTokens)/m.rate()
}

func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
