// Package load is an open-loop load generator for the completion API and plain services. It checks
// every response against the stand-ins' own records. Arrivals do not wait for responses, so that a
// slow system does not reduce its own load.
package load

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rockdoor/rockdoor/fault"
)

// Class is a kind of request.
type Class struct {
	Name string
	// Model is set for completions, Path for calls to a service.
	Model string
	Path  string
	// Workspace is the workspace of the clients. Its API key is "key-" followed by the name.
	Workspace string
	// PromptTokens and OutputTokens are means of log-normal distributions.
	PromptTokens int
	OutputTokens int
	// Spread is the standard deviation of the logarithm of the sizes.
	Spread float64
	Stream bool
	// WithIdempotencyKey has requests carry an Idempotency-Key header.
	WithIdempotencyKey bool
	Priority           string
	Selector           string
	// FirstTokenBound and TokenGapBound are the time bounds of a useful response; 0 means none.
	FirstTokenBound time.Duration
	TokenGapBound   time.Duration
	// TotalBound is the time bound of the complete response; 0 means none.
	TotalBound time.Duration
}

// Phase is a period with a constant request rate for each class.
type Phase struct {
	Name     string
	Duration time.Duration
	// Rates are in requests per second, by class name.
	Rates map[string]float64
}

// Mix is a named load.
type Mix struct {
	Name    string
	Doc     string
	Classes []Class
	Phases  []Phase
}

// Duration returns the total duration of all phases.
func (m Mix) Duration() time.Duration {
	var d time.Duration
	for _, p := range m.Phases {
		d += p.Duration
	}
	return d
}

// Class returns a class by name.
func (m Mix) Class(name string) *Class {
	for i := range m.Classes {
		if m.Classes[i].Name == name {
			return &m.Classes[i]
		}
	}
	return nil
}

// Time bounds of a useful response, from the users' requirements.
const (
	firstTokenBound = 810 * time.Millisecond
	tokenGapBound   = 44 * time.Millisecond
	serviceBound    = 100 * time.Millisecond
)

// flagService holds the classes of a feature-flag service.
var flagService = []Class{
	{Name: "review", Model: "rule-review", Workspace: "palermo", PromptTokens: 2000, OutputTokens: 8, Spread: 0.5, Stream: true, WithIdempotencyKey: true, FirstTokenBound: firstTokenBound, TokenGapBound: tokenGapBound},
	{Name: "notes", Model: "rollout-notes", Workspace: "releases", PromptTokens: 200, OutputTokens: 100, Spread: 0.4, Stream: true, FirstTokenBound: firstTokenBound, TokenGapBound: tokenGapBound},
	{Name: "flag", Path: "/flags/checkout", Workspace: "palermo", Priority: "urgent", TotalBound: serviceBound},
	{Name: "kill", Path: "/kill-switch/checkout", Workspace: "palermo", Priority: "urgent", TotalBound: serviceBound},
}

// collectionRounds holds the classes of collection rounds.
var collectionRounds = []Class{
	{Name: "review", Model: "load-review", Workspace: "coop-tartu", PromptTokens: 3000, OutputTokens: 6, Spread: 0.6, Stream: true, WithIdempotencyKey: true, FirstTokenBound: firstTokenBound, TokenGapBound: tokenGapBound},
	{Name: "notes", Model: "pickup-notes", Workspace: "coop-voru", PromptTokens: 150, OutputTokens: 80, Spread: 0.4, Stream: true, FirstTokenBound: firstTokenBound, TokenGapBound: tokenGapBound},
	{Name: "round", Path: "/rounds/today", Workspace: "coop-tartu", Priority: "urgent", TotalBound: serviceBound},
}

func rates(review, notes, urgent float64) map[string]float64 {
	return map[string]float64{"review": review, "notes": notes, "flag": urgent, "round": urgent}
}

// Mixes are the named loads.
var Mixes = []Mix{
	{
		Name: "demo", Doc: "a short run of all classes", Classes: flagService,
		Phases: []Phase{{Name: "all", Duration: 10 * time.Second, Rates: map[string]float64{"review": 6, "notes": 6, "flag": 40, "kill": 5}}},
	},
	{
		Name: "steady", Doc: "feature flags, an even mix", Classes: flagService,
		Phases: []Phase{{Name: "all", Duration: 15 * time.Second, Rates: rates(16, 20, 50)}},
	},
	{
		Name: "burst", Doc: "feature flags, long reviews in a burst between short notes", Classes: flagService,
		Phases: []Phase{
			{Name: "before", Duration: 4 * time.Second, Rates: rates(2, 24, 50)},
			{Name: "burst", Duration: 8 * time.Second, Rates: rates(36, 24, 50)},
			{Name: "after", Duration: 6 * time.Second, Rates: rates(2, 24, 50)},
		},
	},
	{
		Name: "shift", Doc: "feature flags, the share of prefill grows by half and falls back over a minute", Classes: flagService,
		Phases: []Phase{
			{Name: "low", Duration: 15 * time.Second, Rates: rates(8, 36, 50)},
			{Name: "high", Duration: 30 * time.Second, Rates: rates(30, 16, 50)},
			{Name: "low again", Duration: 15 * time.Second, Rates: rates(8, 36, 50)},
		},
	},
	{
		Name: "urgent", Doc: "flag checks alone", Classes: flagService,
		Phases: []Phase{{Name: "all", Duration: 10 * time.Second, Rates: rates(0, 0, 100)}},
	},
	{
		Name: "overload", Doc: "feature flags, about twice the capacity of the model pool beside flag checks", Classes: flagService,
		Phases: []Phase{{Name: "all", Duration: 10 * time.Second, Rates: rates(120, 150, 100)}},
	},
	{
		Name: "rounds", Doc: "collection rounds, farm histories in short bursts", Classes: collectionRounds,
		Phases: []Phase{
			{Name: "before", Duration: 4 * time.Second, Rates: rates(2, 24, 20)},
			{Name: "burst", Duration: 4 * time.Second, Rates: rates(30, 24, 20)},
			{Name: "between", Duration: 4 * time.Second, Rates: rates(2, 24, 20)},
			{Name: "burst again", Duration: 4 * time.Second, Rates: rates(30, 24, 20)},
		},
	},
}

// MixByName returns a mix.
func MixByName(name string) (Mix, error) {
	i := slices.IndexFunc(Mixes, func(m Mix) bool { return m.Name == name })
	if i < 0 {
		return Mix{}, fault.Newf(fault.Invalid, "rockdoor-lab load --help lists the mixes", "mix %q does not exist", name)
	}
	return Mixes[i], nil
}

// Arrival is one planned request.
type Arrival struct {
	At           time.Duration
	Class        *Class
	PromptTokens int // tokens
	OutputTokens int // tokens
}

// Plan generates the arrivals of a mix as a Poisson process for each class. The same seed gives the
// same plan.
func Plan(m Mix, seed uint64, scale float64) []Arrival {
	rng := rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))
	var plan []Arrival
	start := time.Duration(0)
	for _, p := range m.Phases {
		for i := range m.Classes {
			c := &m.Classes[i]
			rate := p.Rates[c.Name] * scale
			if rate <= 0 {
				continue
			}
			for at := exponential(rng, rate); at < p.Duration; at += exponential(rng, rate) {
				plan = append(plan, Arrival{At: start + at, Class: c, PromptTokens: logNormalSize(rng, c.PromptTokens, c.Spread), OutputTokens: logNormalSize(rng, c.OutputTokens, c.Spread)})
			}
		}
		start += p.Duration
	}
	slices.SortStableFunc(plan, func(a, b Arrival) int { return int(a.At - b.At) })
	return plan
}

func exponential(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// logNormalSize draws from a log-normal distribution with the given mean. spread is the standard
// deviation of the logarithm.
func logNormalSize(rng *rand.Rand, mean int, spread float64) int {
	if mean <= 0 {
		return 0
	}
	mu := math.Log(float64(mean)) - spread*spread/2
	return max(1, int(math.Round(math.Exp(mu+spread*rng.NormFloat64()))))
}
