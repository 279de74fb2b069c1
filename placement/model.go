package placement

import "time"

// Model estimates the time that an engine takes to prefill a prompt. It is the sum of a fixed part,
// a part proportional to the uncached tokens, and a part proportional to the pairs of an uncached
// token and a token before it, which is the cost of attention. The model is fitted by linear
// regression to prefills that had an engine to themselves, with the newest weighted most. It is not
// safe for concurrent use.
type Model struct {
	// xx and xy are the sums of the weighted linear regression.
	xx [featureCount][featureCount]float64
	xy [featureCount]float64
	// cost is the result of the fit, in ms per prompt, per tokenScale tokens and per pairScale pairs.
	cost [featureCount]float64
	// firstEventMs is the time from the end of prefill to the first event of the response, in ms.
	firstEventMs float64
	// samples is the number of measurements.
	samples int
	policy  Policy
}

// featureCount is the number of features of a prompt: a constant 1, its uncached tokens and its
// pairs.
const featureCount = 3

const (
	// The assumed costs until there are measurements: the fixed part, tokens per ms and millions of
	// pairs per ms. Engines known so far are within a factor of three of these.
	priorBaseMs            = 6.0
	priorTokensPerMs       = 120.0
	priorMillionPairsPerMs = 3.0
	// priorSamples is the weight of the assumed costs, in measurements.
	priorSamples = 2.0
	// sampleDecay is the factor applied to the weight of earlier measurements on each new one.
	sampleDecay = 0.99
	// busyBaseShare is the share of the fixed part during which the engine is busy. The rest is
	// network time.
	busyBaseShare = 0.6
	// outlierFactor is the ratio to the expected time above which a measurement gets only
	// outlierWeight. Such a prefill most likely waited for one of another process.
	outlierFactor = 1.5
	outlierWeight = 0.05
	// The assumed time from the end of prefill to the first event, and the smoothing weight of a new
	// measurement.
	priorFirstEventMs   = 10.0
	firstEventSmoothing = 0.05
	// pairScale and tokenScale bring the sums of the regression to similar magnitudes.
	pairScale  = 1e6
	tokenScale = 1e3
)

// NewModel returns a model with the assumed costs only.
func NewModel() *Model { return newModel(Policy{}) }

func newModel(policy Policy) *Model { return newSlowedModel(policy, 1) }

// newSlowedModel returns a model whose assumed costs are multiplied by a factor.
func newSlowedModel(policy Policy, factor float64) *Model {
	m := &Model{firstEventMs: priorFirstEventMs, policy: policy}
	for _, w := range []Work{{Tokens: 500, Pairs: 250_000}, {Tokens: 1000, Pairs: 15_000_000}, {Tokens: 10000, Pairs: 50_000_000}} {
		took := priorBaseMs + float64(w.Tokens)/priorTokensPerMs + float64(w.Pairs)/pairScale/priorMillionPairsPerMs
		m.add(w, factor*took, priorSamples/featureCount)
	}
	m.fit()
	return m
}

// Work is the amount of prefill work of one or more prompts.
type Work struct {
	// Tokens counts the uncached tokens. Pairs is the sum, over the uncached tokens, of the number of
	// tokens before each.
	Tokens int `json:"tokens"`
	Pairs  int `json:"pairs"`
}

// PrefillWork returns the work of a prompt whose last tokens are uncached.
func PrefillWork(prompt, uncached int) Work {
	return Work{uncached, uncached * (prompt - uncached/2)}
}

// featureVector returns the regression features of the work.
func (m *Model) featureVector(w Work) [featureCount]float64 {
	x := [featureCount]float64{1, float64(w.Tokens) / tokenScale, float64(w.Pairs) / pairScale}
	if !m.policy.Has(Attention) {
		x[featureCount-1] = 0
	}
	return x
}

func (m *Model) add(w Work, took, weight float64) {
	x := m.featureVector(w)
	for i := range featureCount {
		for j := range featureCount {
			m.xx[i][j] += weight * x[i] * x[j]
		}
		m.xy[i] += weight * x[i] * took
	}
}

// Observe adds the measurement of a prefill that had an engine to itself.
func (m *Model) Observe(w Work, took time.Duration) {
	for i := range featureCount {
		for j := range featureCount {
			m.xx[i][j] *= sampleDecay
		}
		m.xy[i] *= sampleDecay
	}
	m.samples++
	weight := 1.0
	if toMillis(took) > outlierFactor*m.PrefillMs(w) && m.policy.Has(Outliers) {
		weight = outlierWeight
	}
	m.add(w, toMillis(took), weight)
	m.fit()
}

// ObserveFirstEvent adds a measurement of the time from the end of prefill to the first event.
func (m *Model) ObserveFirstEvent(took time.Duration) {
	m.firstEventMs += (toMillis(took) - m.firstEventMs) * firstEventSmoothing
}

const (
	// minCost is the lower bound of each cost, in the units of Model.cost. It keeps costs positive if
	// the samples are degenerate.
	minCost = 0.01
	// ridge is added to the diagonal of the sums, so that costs which the samples don't distinguish
	// are split evenly.
	ridge = 1e-3
)

// fit solves the regression by Gaussian elimination.
func (m *Model) fit() {
	a, b := m.xx, m.xy
	for i := range featureCount {
		a[i][i] += ridge
	}
	for i := range featureCount {
		for k := i + 1; k < featureCount; k++ {
			f := a[k][i] / a[i][i]
			for j := i; j < featureCount; j++ {
				a[k][j] -= f * a[i][j]
			}
			b[k] -= f * b[i]
		}
	}
	for i := featureCount - 1; i >= 0; i-- {
		sum := b[i]
		for j := i + 1; j < featureCount; j++ {
			sum -= a[i][j] * m.cost[j]
		}
		m.cost[i] = max(sum/a[i][i], minCost)
	}
}

// PrefillMs returns how long an idle engine takes to prefill a prompt, in ms.
func (m *Model) PrefillMs(w Work) float64 {
	x := m.featureVector(w)
	sum := 0.0
	for i := range featureCount {
		sum += m.cost[i] * x[i]
	}
	return sum
}

// BusyMs returns how long a backlog keeps an engine busy, in ms.
func (m *Model) BusyMs(b Backlog) float64 {
	x := m.featureVector(b.Work)
	return float64(b.Prompts)*m.cost[0]*busyBaseShare + m.cost[1]*x[1] + m.cost[2]*x[2]
}

// QueueMs returns how long a new prompt of a rank waits in an engine's queue, in ms. Prompts of the
// same and of more urgent ranks go first, and a less urgent prefill that is already running is
// finished. Counting all less urgent prompts would predict that short urgent requests are late
// although they overtake the long ones.
func (m *Model) QueueMs(u *PendingByRank, rank int) float64 {
	if !m.policy.Has(RankedQueue) {
		return m.BusyMs(u.All())
	}
	first := u.throughRank(rank)
	ms := m.BusyMs(first)
	if others := u.All().sub(first); others.Prompts > 0 && first.Prompts == 0 && m.policy.Has(HalfOfRunning) {
		ms += m.BusyMs(Backlog{1, others.halfMeanPrompt()})
	}
	return ms
}

func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
