package placement

import "time"

// Model estimates how long an engine takes to read a prompt: a fixed part, a part that
// grows with the tokens that it reads, and one that grows with the pairs of these and
// the tokens before them, over which attention goes. It is fitted to reads that had an
// engine to themselves, the newest counting most. It is not safe for concurrent use.
type Model struct {
	// xx and xy are the sums of a weighted linear regression.
	xx [features][features]float64
	xy [features]float64
	// cost is the fit: ms of a prompt, of a token and of a pair.
	cost [features]float64
	// after is the time from the end of reading to the first event, in ms.
	after  float64
	policy Policy
}

// features of a prompt: one, its uncached tokens, its pairs.
const features = 3

const (
	// priorBase, priorRate and priorPairs are assumed until there are measurements: the
	// fixed part in ms, tokens a ms and millions of pairs a ms, within a factor of three
	// of what the engines known so far do.
	priorBase  = 6.0
	priorRate  = 120.0
	priorPairs = 3.0
	// priorWeight is how many measurements the assumption counts for.
	priorWeight = 2.0
	// forget is the weight that older measurements lose with each new one.
	forget = 0.99
	// promptShare is the part of the fixed time that keeps the engine busy; the
	// rest is spent on the way.
	promptShare = 0.6
	// outlierFactor is how much longer than expected a read may take to count fully:
	// one that takes longer has most likely waited for one of another process.
	outlierFactor = 1.5
	outlierWeight = 0.05
	// afterPrior and afterStep are for the time from reading to the first event.
	afterPrior = 10.0
	afterStep  = 0.05
	// million scales pairs so that the regression's sums are of like size, thousand
	// does so for tokens.
	million  = 1e6
	thousand = 1e3
)

// NewModel returns a model that knows only the assumed figures.
func NewModel() *Model { return newModel(Policy{}) }

func newModel(policy Policy) *Model {
	m := &Model{after: afterPrior, policy: policy}
	for _, w := range []Work{{Tokens: 500, Pairs: 250_000}, {Tokens: 1000, Pairs: 15_000_000}, {Tokens: 10000, Pairs: 50_000_000}} {
		took := priorBase + float64(w.Tokens)/priorRate + float64(w.Pairs)/million/priorPairs
		m.add(w, took, priorWeight/features)
	}
	m.fit()
	return m
}

// Work is what an engine has to do to read a prompt or a number of them.
type Work struct {
	// Tokens are those that are not kept, Pairs the sum over them of the tokens before.
	Tokens int `json:"tokens"`
	Pairs  int `json:"pairs"`
}

// PrefillWork returns the work of a prompt of which the last tokens are not kept.
func PrefillWork(prompt, uncached int) Work {
	return Work{uncached, uncached * (prompt - uncached/2)}
}

// vector returns the features of work.
func (m *Model) vector(w Work) [features]float64 {
	x := [features]float64{1, float64(w.Tokens) / thousand, float64(w.Pairs) / million}
	if !m.policy.Has(Attention) {
		x[features-1] = 0
	}
	return x
}

func (m *Model) add(w Work, took, weight float64) {
	x := m.vector(w)
	for i := range features {
		for j := range features {
			m.xx[i][j] += weight * x[i] * x[j]
		}
		m.xy[i] += weight * x[i] * took
	}
}

// Observe takes in a read that had an engine to itself.
func (m *Model) Observe(w Work, took time.Duration) {
	for i := range features {
		for j := range features {
			m.xx[i][j] *= forget
		}
		m.xy[i] *= forget
	}
	weight := 1.0
	if toMillis(took) > outlierFactor*m.Read(w) && m.policy.Has(Outliers) {
		weight = outlierWeight
	}
	m.add(w, toMillis(took), weight)
	m.fit()
}

// ObserveAfter takes in the time from the end of reading to the first event.
func (m *Model) ObserveAfter(took time.Duration) { m.after += (toMillis(took) - m.after) * afterStep }

const (
	// leastCost keeps each of the costs positive where samples are degenerate, in ms of
	// a prompt, of a thousand tokens and of a million pairs.
	leastCost = 0.01
	// ridge is added to the diagonal of the sums: what the samples do not tell apart is
	// shared out.
	ridge = 1e-3
)

// fit solves the regression by elimination.
func (m *Model) fit() {
	a, b := m.xx, m.xy
	for i := range features {
		a[i][i] += ridge
	}
	for i := range features {
		for k := i + 1; k < features; k++ {
			f := a[k][i] / a[i][i]
			for j := i; j < features; j++ {
				a[k][j] -= f * a[i][j]
			}
			b[k] -= f * b[i]
		}
	}
	for i := features - 1; i >= 0; i-- {
		sum := b[i]
		for j := i + 1; j < features; j++ {
			sum -= a[i][j] * m.cost[j]
		}
		m.cost[i] = max(sum/a[i][i], leastCost)
	}
}

// Read returns how long an idle engine takes to read a prompt, in ms.
func (m *Model) Read(w Work) float64 {
	x := m.vector(w)
	sum := 0.0
	for i := range features {
		sum += m.cost[i] * x[i]
	}
	return sum
}

// Busy returns how long prompts keep an engine busy, in ms.
func (m *Model) Busy(b Backlog) float64 {
	x := m.vector(b.Work)
	return float64(b.Prompts)*m.cost[0]*promptShare + m.cost[1]*x[1] + m.cost[2]*x[2]
}

// Ahead returns how long an engine is busy before it reads a new prompt at a rank, in
// ms: the prompts of this rank and the more urgent ones are read first, and one of the
// others that is being read is finished. With all prompts counted, short urgent ones would be
// late behind long ones that they pass.
func (m *Model) Ahead(u *PendingByRank, rank int) float64 {
	if !m.policy.Has(RankedQueue) {
		return m.Busy(u.All())
	}
	first := u.through(rank)
	ms := m.Busy(first)
	if others := u.All().sub(first); others.Prompts > 0 && first.Prompts == 0 && m.policy.Has(HalfOfBegun) {
		ms += m.Busy(Backlog{1, others.half()})
	}
	return ms
}

func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
