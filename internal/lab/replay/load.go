package replay

import (
	"cmp"
	"time"

	"github.com/rockdoor/rockdoor/placement"
)

// Kind is a kind of request.
type Kind struct {
	Name string
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// TargetLatency is the time within which a response must begin to be in time. ClientTimeout is
	// how long clients wait for it to begin.
	TargetLatency, ClientTimeout time.Duration
	PerSecond                    float64
	// Prefixes is the number of different prompt prefixes, of PrefixTokens each. OwnTokens is the
	// mean number of tokens that belong to one request only.
	Prefixes, PrefixTokens, OwnTokens int
	// Events is the number of events of a response; 0 means one. TargetGap is the longest time
	// between two events of a response that is in time; 0 means any.
	Events    int
	TargetGap time.Duration
	// Worth is the value of a response in time; 0 means 1. LateWorth is the value of a late one.
	Worth, LateWorth float64
	// StatedTimeout is the timeout that requests state in their header; 0 means ClientTimeout.
	StatedTimeout time.Duration
	// ResponseTimeout is the time within which a response must have ended to be worth anything; 0 means
	// any.
	ResponseTimeout time.Duration
	// Host is the number of the only placer that the clients reach, from 1; 0 means any. Workspace is
	// the workspace of all clients of this kind; if it is empty, Options decide.
	Host      int
	Workspace string
}

// Burst multiplies the request rate of a kind for a time; of all kinds if Kind is empty.
type Burst struct {
	Kind         string
	At, Duration time.Duration
	Factor       float64
}

// Fault is a fault of one engine for a time.
type Fault struct {
	// Engine is the index of the engine; prefill engines come first.
	Engine       int
	At, Duration time.Duration
	// SlowdownFactor is how many times longer the engine takes; 0 means that it rejects all
	// requests.
	SlowdownFactor float64
}

// EngineProfile is the performance of the simulated engines.
type EngineProfile struct {
	// PrefillBase is the fixed part of the prefill time, PrefillTokensPerMs the number of tokens
	// prefilled per millisecond, and MsPerMPairs the time in milliseconds that attention takes for
	// a million token pairs.
	PrefillBase                     time.Duration
	PrefillTokensPerMs, MsPerMPairs float64
	// CacheTokens is the size of the KV cache, Slots the number of requests decoded at once.
	CacheTokens, Slots int
	// EventInterval is the time between two events of a response.
	EventInterval time.Duration
	// EventTokens is the number of tokens of an event, 0 if the first event follows the prefill at once and
	// the engine's prefills don't delay the responses that it decodes. Otherwise it prefills a piece of
	// PieceTokens before each token.
	EventTokens, PieceTokens int
	// TransferBase is the fixed part of the time to transfer a KV cache, TransferTokensPerMs the
	// number of tokens transferred per millisecond.
	TransferBase        time.Duration
	TransferTokensPerMs float64
}

// SlowPhases has each engine slow down from time to time, independently of the others.
type SlowPhases struct {
	// Share is the share of the time in phases of a length; 0 means no phases.
	Share  float64
	Length time.Duration
	// Factor is how many times longer an engine takes in a phase.
	Factor float64
}

// slowEngines are the slowest engines known so far, fastEngines almost the fastest, according to
// their operators' data sheets.
var (
	slowEngines = EngineProfile{PrefillBase: 5 * time.Millisecond, PrefillTokensPerMs: 64, MsPerMPairs: 0.65, CacheTokens: 470_000, Slots: 64, EventInterval: 38 * time.Millisecond, TransferBase: 3 * time.Millisecond, TransferTokensPerMs: 1200}
	fastEngines = EngineProfile{PrefillBase: 5 * time.Millisecond, PrefillTokensPerMs: 307, MsPerMPairs: 0.15, CacheTokens: 305_000, Slots: 48, EventInterval: 35 * time.Millisecond, TransferBase: time.Millisecond, TransferTokensPerMs: 8400}
)

// PrefillHeavy is a load that consists mostly of prefill: few long prompts and many short urgent
// ones. A dispatch desk whose assistant reads long histories sends such a load.
var PrefillHeavy = []Kind{
	{Name: "long", Rank: 2, TargetLatency: 600 * time.Millisecond, ClientTimeout: 2400 * time.Millisecond, PerSecond: 27, Prefixes: 124, PrefixTokens: 13300, OwnTokens: 3720, Events: 13, TargetGap: 200 * time.Millisecond, Worth: 2.3, LateWorth: 0.68, StatedTimeout: 6 * time.Second},
	{Name: "middle", Rank: 1, TargetLatency: 500 * time.Millisecond, ClientTimeout: 2 * time.Second, PerSecond: 13, Prefixes: 61, PrefixTokens: 6300, OwnTokens: 2890, Events: 6, TargetGap: 200 * time.Millisecond, Worth: 2.3, LateWorth: 0.68, StatedTimeout: 4 * time.Second},
	{Name: "short", Rank: 0, TargetLatency: 300 * time.Millisecond, ClientTimeout: 2 * time.Second, PerSecond: 53, Prefixes: 161, PrefixTokens: 350, OwnTokens: 1110, Events: 19, TargetGap: 200 * time.Millisecond, Worth: 1, LateWorth: 0.31, StatedTimeout: 6 * time.Second},
}

// roster is the load of many workspaces: long digests, shorter suggestions and short urgent questions.
var roster = []Kind{
	{Name: "digest", Rank: 2, TargetLatency: 1500 * time.Millisecond, ClientTimeout: 8 * time.Second, PerSecond: 45, Prefixes: 118, PrefixTokens: 13300, OwnTokens: 3720, Events: 17, TargetGap: 400 * time.Millisecond, Worth: 0.87, LateWorth: 0.4},
	{Name: "suggestion", Rank: 1, TargetLatency: 600 * time.Millisecond, ClientTimeout: 5 * time.Second, PerSecond: 33, Prefixes: 50, PrefixTokens: 6300, OwnTokens: 2890, Events: 7, TargetGap: 400 * time.Millisecond, Worth: 1.9, LateWorth: 0.59},
	{Name: "question", Rank: 0, TargetLatency: 500 * time.Millisecond, ClientTimeout: 8 * time.Second, PerSecond: 50, Prefixes: 198, PrefixTokens: 350, OwnTokens: 1110, Events: 25, TargetGap: 400 * time.Millisecond, Worth: 2.4, LateWorth: 0.29},
}

// rosterEngines are the engines of the deployment with that load.
var rosterEngines = EngineProfile{PrefillBase: 6 * time.Millisecond, PrefillTokensPerMs: 56.1, MsPerMPairs: 0.309, CacheTokens: 530_189, Slots: 128, EventInterval: 8 * time.Millisecond, TransferBase: 5300 * time.Microsecond, TransferTokensPerMs: 1280}

// crowded are the options of a load of 72 workspaces at 1.9 times what the engines can serve.
func crowded(skew float64) Options {
	return Options{
		Load: roster, Factor: 1.9, Length: scenarioLength, EngineProfile: rosterEngines, PrefillEngines: 12, MixedEngines: 6, Placers: 6, Domains: 3,
		CrossDomainDelay: 1400 * time.Microsecond, Workspaces: 72, WorkspaceSkew: skew, WarmCaches: true, Features: placement.Features{WorkspaceShares: true},
	}
}

// reviewsAndNotes is a load of long prompts with short responses beside short prompts with long
// responses. reviews and notes are rates per second, prefixes is the number of prompt prefixes of
// the reviews.
func reviewsAndNotes(reviews, notes float64, prefixes int) []Kind {
	return []Kind{
		{Name: "review", Rank: 0, TargetLatency: 200 * time.Millisecond, ClientTimeout: 2 * time.Second, PerSecond: reviews, Prefixes: prefixes, PrefixTokens: 6300, OwnTokens: 2890, Events: 2, TargetGap: 150 * time.Millisecond, Worth: 2.5, LateWorth: 0.74},
		{Name: "note", Rank: 1, TargetLatency: 250 * time.Millisecond, ClientTimeout: 2 * time.Second, PerSecond: notes, Prefixes: 103, PrefixTokens: 79, OwnTokens: 141, Events: 89, TargetGap: 150 * time.Millisecond, Worth: 6.1, LateWorth: 1.8, StatedTimeout: 15 * time.Second},
	}
}

// Scenario is a load together with the engines, bursts and faults that it meets.
type Scenario struct {
	Name string
	// Description says what characterizes the scenario.
	Description string
	Options     Options
}

// scenarioLength is how long the requests of a scenario arrive: two bursts and some time after
// each.
const scenarioLength = 14 * time.Second

// bursts returns two bursts that exceed the capacity of the engines.
func bursts(factor float64) []Burst {
	return []Burst{{At: 4 * time.Second, Duration: 3 * time.Second, Factor: factor}, {At: 10 * time.Second, Duration: 2 * time.Second, Factor: factor}}
}

// Scenarios returns the scenarios for comparing placement decisions, based on figures from
// operators' data sheets.
func Scenarios() []Scenario {
	long := Options{
		Load: PrefillHeavy, Factor: 1, Length: scenarioLength, EngineProfile: slowEngines, PrefillEngines: 10, MixedEngines: 8, Placers: 9, Domains: 3,
		CrossDomainDelay: 900 * time.Microsecond, Bursts: bursts(1.8),
	}
	mixed := Options{
		Load: reviewsAndNotes(173, 23, 1176), Factor: 1, Length: scenarioLength, EngineProfile: fastEngines, PrefillEngines: 8, MixedEngines: 4, Placers: 8, Domains: 3,
		CrossDomainDelay: 1400 * time.Microsecond, Bursts: bursts(1.7),
	}
	large := mixed
	large.Load = reviewsAndNotes(438, 47, 2206)
	large.Load[0].TargetLatency = 250 * time.Millisecond
	large.EngineProfile.Slots = 16
	large.PrefillEngines, large.MixedEngines, large.Placers, large.RejectionCost = 24, 20, 6, 0.5
	restart := long
	restart.WarmCaches = true
	restart.Bursts = []Burst{{Duration: 4 * time.Second, Factor: 1.8}}
	faults := mixed
	faults.Bursts = nil
	faults.Faults = []Fault{
		{Engine: 0, At: time.Second, Duration: 5 * time.Second, SlowdownFactor: 4},
		{Engine: 1, At: 3 * time.Second, Duration: 4 * time.Second},
		{Engine: 8, At: 2 * time.Second, Duration: 8 * time.Second, SlowdownFactor: 5},
		{Engine: 9, At: 8 * time.Second, Duration: 3 * time.Second},
	}
	whole, wholeLong, turning := wholeScenarios()
	unequal := mixed
	unequal.Load = reviewsAndNotes(173, 23, 1176)
	unequal.Load[1].ResponseTimeout = 5400 * time.Millisecond
	unequal.Speeds = []float64{0.7, 0.7, 1.7}
	unequal.SlowPhases = SlowPhases{Share: 0.15, Length: 600 * time.Millisecond, Factor: 2.5}
	unequal.PrefillEngines, unequal.MixedEngines, unequal.Features = 10, 6, placement.Features{EngineProfiles: true}
	return []Scenario{
		{"long-prompts", "mostly prefill, long prompts, slow engines", long},
		{"long-answers", "long prompts beside long responses, small KV caches", mixed},
		{"many-subjects", "more engines, more prompt prefixes than the KV caches hold, rejections cost half", large},
		{"restart", "long prompts, all gateways restart, engines keep their KV caches", restart},
		{"workspaces", "72 workspaces, a few of them large, ask for 1.9 times what the engines can serve", crowded(1.2)},
		{"faults", "long prompts beside long responses, slow and rejecting engines", faults},
		{"short-responses", "prompts of 17,000 and 9,200 tokens, responses of one or two events, pauses permitted", whole},
		{"long-responses", "prompts of 17,000 tokens, responses of 400 tokens, pauses permitted", wholeLong},
		{"turning-mix", "like short-responses, the mix turns each 2.8 s", turning},
		{"unequal-engines", "engines of different speeds with slow phases", unequal},
	}
}

// quizEngines are engines whose routes permit pauses, according to their operator's data sheet.
var quizEngines = EngineProfile{
	PrefillBase: 31 * time.Millisecond, PrefillTokensPerMs: 112, MsPerMPairs: 0.218, CacheTokens: 666_000, Slots: 128, EventInterval: 70 * time.Millisecond,
	EventTokens: 13, PieceTokens: 512, TransferBase: 5 * time.Millisecond, TransferTokensPerMs: 2500,
}

// quiz is a load of long prompts with responses of few tokens. Its bursts are left to the scenarios.
var quiz = []Kind{
	{Name: "draft", Rank: 0, TargetLatency: 600 * time.Millisecond, ClientTimeout: 4800 * time.Millisecond, PerSecond: 100, Prefixes: 150, PrefixTokens: 13300, OwnTokens: 3720, Events: 1, TargetGap: 500 * time.Millisecond, Worth: 2.1, LateWorth: 1},
	{Name: "check", Rank: 1, TargetLatency: time.Second, ClientTimeout: 3 * time.Second, PerSecond: 78, Prefixes: 150, PrefixTokens: 6300, OwnTokens: 2890, Events: 1, TargetGap: 500 * time.Millisecond, Worth: 2.2, LateWorth: 1.1},
	{Name: "blurb", Rank: 2, TargetLatency: 1200 * time.Millisecond, ClientTimeout: 6 * time.Second, PerSecond: 109, Prefixes: 150, PrefixTokens: 350, OwnTokens: 1110, Events: 2, TargetGap: 500 * time.Millisecond, Worth: 1.7, LateWorth: 0.86},
}

// wholeScenarios returns the scenarios for requests that may run as a whole: with short responses, with
// long ones, and with a mix that turns faster than roles change.
func wholeScenarios() (short, long, turning Options) {
	short = Options{
		Load: quiz, Factor: 1, Length: scenarioLength, EngineProfile: quizEngines, PrefillEngines: 30, MixedEngines: 30, Placers: 6, Domains: 3,
		CrossDomainDelay: 500 * time.Microsecond, Bursts: bursts(1.9), Features: placement.Features{WholeRequests: true},
	}
	long, turning = short, short
	long.Load = []Kind{quiz[0]}
	long.Load[0].Events, long.Load[0].PerSecond = 31, 150
	turning.Bursts = nil
	const turn = 2800 * time.Millisecond
	for n := range int(scenarioLength / turn) {
		turning.Bursts = append(turning.Bursts,
			Burst{Kind: quiz[n%2].Name, At: time.Duration(n) * turn, Duration: turn, Factor: 1.9},
			Burst{Kind: quiz[(n+1)%2].Name, At: time.Duration(n) * turn, Duration: turn, Factor: 0.4})
	}
	return short, long, turning
}

// rate returns the request rate of a kind, per second, at a time after the start.
func (o *Options) rate(k Kind, at time.Duration) float64 {
	rate := k.PerSecond * o.Factor
	for _, b := range o.Bursts {
		if (b.Kind == "" || b.Kind == k.Name) && at >= b.At && at < b.At+b.Duration {
			rate *= b.Factor
		}
	}
	return rate
}

// withDefaults sets the defaults for empty fields: one failure domain, four mixed engines, and the
// slowest engines known.
func (o Options) withDefaults() Options {
	o.Domains = cmp.Or(o.Domains, 1)
	o.MixedEngines = cmp.Or(o.MixedEngines, defaultMixedEngines)
	o.ExchangeInterval = cmp.Or(o.ExchangeInterval, defaultExchangeInterval)
	if o.EngineProfile == (EngineProfile{}) {
		o.EngineProfile = slowEngines
	}
	return o
}

// Worth returns the worth that was earned, less penalties, as a share of the maximum.
func (r Result) Worth() float64 {
	if r.MaxWorth == 0 {
		return 0
	}
	return (r.EarnedWorth - r.Penalties) / r.MaxWorth
}

// worthOf returns the worth of a response in time to a prompt. Longer prompts are worth more.
func (k Kind) worthOf(tokens int) float64 {
	sizes := float64(tokens) / float64(k.PrefixTokens+k.OwnTokens)
	return cmp.Or(k.Worth, 1) * min(fixedWorthShare+(1-fixedWorthShare)*sizes, maxSizeFactor)
}
