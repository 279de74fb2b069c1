// Package limits decides which requests a process takes in: a bound on requests
// in hand with a reserve for urgent ones, a rate and a concurrency for each
// workspace, fair shares when targets are short, and a budget for retries.
package limits

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"

	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/fault"
)

const (
	// maxWorkspaces bounds the workspaces whose limiters are kept.
	maxWorkspaces = 16384
	// batchShare is the share of the bound that batch requests may use.
	batchShare = 0.7
	// minBurst lets a workspace with a low rate send two requests at once.
	minBurst = 2
)

// RejectionError says why a request is not taken in and when to ask again.
type RejectionError struct {
	Err        *fault.Error
	RetryAfter time.Duration
}

// Error implements error.
func (r *RejectionError) Error() string { return r.Err.Error() }

// Unwrap returns the typed error.
func (r *RejectionError) Unwrap() error { return r.Err }

// NewRefusal returns a refusal whose time to ask again is spread over once to
// twice the given wait, so that refused callers don't return together.
func NewRefusal(err *fault.Error, wait time.Duration) *RejectionError {
	return &RejectionError{Err: err, RetryAfter: wait + rand.N(wait+1)}
}

// AdmissionController admits requests. It is safe for concurrent use.
type AdmissionController struct {
	bound   int
	reserve float64

	mu         sync.Mutex
	inHand     int
	workspaces *lru.Cache[string, *workspace]
	served     ewma
	// weights is the sum of the weights of the workspaces with requests in hand.
	weights float64
}

type workspace struct {
	inHand  int
	weight  float64
	limiter *rate.Limiter
}

// NewAdmissionController returns a gate for bound requests in hand, of which the share reserve
// is kept for urgent ones.
func NewAdmissionController(bound int, reserve float64) *AdmissionController {
	cache, err := lru.New[string, *workspace](maxWorkspaces)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &AdmissionController{bound: bound, reserve: reserve, workspaces: cache}
}

// InFlight returns the number of admitted requests that are not released.
func (g *AdmissionController) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inHand
}

// Admit takes a request in or refuses it. The limits of a workspace hold for
// the whole deployment; each of the serving processes enforces its share. The
// caller releases an admitted request exactly once.
func (g *AdmissionController) Admit(w *config.Workspace, p config.Priority, serving int) (release func(), err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inHand >= g.boundFor(p) {
		return nil, NewRefusal(fault.New(fault.Exhausted, "entry host is at its limit of requests", "ask again after the time in Retry-After"), g.served.wait(1))
	}
	ws := g.workspace(w, serving)
	if limit := share(w.Concurrency, serving); limit > 0 && ws.inHand >= limit {
		return nil, NewRefusal(fault.New(fault.Exhausted, "workspace "+w.Name+" is at its limit of concurrent requests", "wait for earlier requests, or raise workspaces.concurrency"), g.served.wait(1))
	}
	if r := ws.limiter.Reserve(); r.Delay() > 0 {
		wait := r.Delay()
		r.Cancel()
		return nil, NewRefusal(fault.New(fault.Exhausted, "workspace "+w.Name+" is over its rate of requests", "slow down, or raise workspaces.requestsPerSecond"), wait)
	}
	g.inHand++
	if ws.inHand++; ws.inHand == 1 {
		ws.weight = weightOf(w)
		g.weights += ws.weight
	}
	start := time.Now()
	return func() { g.release(ws, time.Since(start)) }, nil
}

func (g *AdmissionController) release(ws *workspace, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inHand--
	if ws.inHand--; ws.inHand == 0 {
		g.weights -= ws.weight
	}
	g.served.add(took, g.inHand+1)
}

const (
	// shareSlack is how far over its share a workspace may go when targets are
	// short, and freeRequests how many requests it may have in any case.
	shareSlack   = 1.2
	freeRequests = 4
)

// OverShare returns a refusal if a workspace has more than its weighted share of
// the requests in hand. It is asked only when targets are short, so that a
// workspace that floods them cannot starve the others. One more workspace than
// there are is counted, so that there is room for whoever comes next.
func (g *AdmissionController) OverShare(w *config.Workspace) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	ws, ok := g.workspaces.Peek(w.Name)
	if !ok || ws.inHand <= freeRequests {
		return nil
	}
	if fair := float64(g.inHand) * ws.weight / (g.weights + 1); float64(ws.inHand) <= fair*shareSlack {
		return nil
	}
	return NewRefusal(fault.New(fault.Exhausted, "workspace "+w.Name+" is over its share while targets are short", "wait for earlier requests, or raise workspaces.weight"), g.served.wait(1))
}

func weightOf(w *config.Workspace) float64 {
	if w.Weight > 0 {
		return w.Weight
	}
	return 1
}

func (g *AdmissionController) boundFor(p config.Priority) int {
	switch p {
	case config.Urgent:
		return g.bound
	case config.Batch:
		return int(float64(g.bound) * batchShare)
	}
	return int(float64(g.bound) * (1 - g.reserve))
}

// workspace returns the limiter of w, adjusted to the configuration in force.
func (g *AdmissionController) workspace(w *config.Workspace, serving int) *workspace {
	limit := rate.Inf
	if w.RequestsPerSecond > 0 {
		limit = rate.Limit(w.RequestsPerSecond / float64(max(serving, 1)))
	}
	burst := minBurst
	if limit != rate.Inf {
		burst = max(minBurst, int(math.Ceil(float64(limit))))
	}
	ws, ok := g.workspaces.Get(w.Name)
	if !ok {
		ws = &workspace{limiter: rate.NewLimiter(limit, burst)}
		g.workspaces.Add(w.Name, ws)
		return ws
	}
	if ws.limiter.Limit() != limit {
		ws.limiter.SetLimit(limit)
		ws.limiter.SetBurst(burst)
	}
	return ws
}

// share returns this process's part of a limit, at least 1; 0 stays no limit.
func share(limit, serving int) int {
	if limit == 0 {
		return 0
	}
	n := max(serving, 1)
	return (limit + n - 1) / n
}

// ewma averages how often requests end.
type ewma struct{ interval float64 } // seconds between two ends

const (
	ewmaWeight = 0.1
	minWait    = 100 * time.Millisecond
	maxWait    = 30 * time.Second
)

// add records a request that took that long while n were in hand, which ends
// requests at intervals of took/n.
func (e *ewma) add(took time.Duration, n int) {
	sample := took.Seconds() / float64(max(n, 1))
	e.interval += ewmaWeight * (sample - e.interval)
}

// wait returns when n requests will have ended.
func (e *ewma) wait(n int) time.Duration {
	return min(max(time.Duration(float64(n)*e.interval*float64(time.Second)), minWait), maxWait)
}

// RetryBudget bounds retries to a share of the requests, so that retries cannot
// multiply an overload. It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

const (
	retryShare  = 0.2
	retryBurst  = 20
	retryTokens = 1
)

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: retryBurst} }

// RecordRequest records a request, which earns a share of a retry.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryShare, retryBurst)
}

// TakeRetry reports whether a retry may be made now, and pays for it.
func (b *RetryBudget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < retryTokens {
		return false
	}
	b.tokens -= retryTokens
	return true
}
