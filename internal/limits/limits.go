// Package limits implements admission control: a limit on the requests in flight with a
// reserve for urgent ones, rate and concurrency limits for each workspace, fair shares
// when targets are scarce, and a retry budget.
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
	// maxWorkspaces is the size of the LRU cache of workspace limiters.
	maxWorkspaces = 16384
	// batchShare is the share of the limit that batch requests may use.
	batchShare = 0.7
	// minBurst allows a workspace with a low rate limit to send two requests at once.
	minBurst = 2
)

// RejectionError is the error for a rejected request, with the time after which to retry.
type RejectionError struct {
	Err        *fault.Error
	RetryAfter time.Duration
}

// Error implements error.
func (r *RejectionError) Error() string { return r.Err.Error() }

// Unwrap returns the fault.Error.
func (r *RejectionError) Unwrap() error { return r.Err }

// NewRejectionError returns a rejection. Its RetryAfter is wait plus a random jitter of up to the
// same length, so that rejected clients do not all retry at once.
func NewRejectionError(err *fault.Error, wait time.Duration) *RejectionError {
	return &RejectionError{Err: err, RetryAfter: wait + rand.N(wait+1)}
}

// AdmissionController admits or rejects requests. It is safe for concurrent use.
type AdmissionController struct {
	maxInFlight   int
	urgentReserve float64

	mu          sync.Mutex
	inFlight    int
	workspaces  *lru.Cache[string, *workspaceState]
	completions ewma
	// weights is the sum of the weights of the workspaces with requests in flight.
	weights float64
}

type workspaceState struct {
	inFlight int
	weight   float64
	limiter  *rate.Limiter
}

// NewAdmissionController returns a controller that admits up to maxInFlight requests at a time. The share
// urgentReserve of them is reserved for urgent requests.
func NewAdmissionController(maxInFlight int, urgentReserve float64) *AdmissionController {
	cache, err := lru.New[string, *workspaceState](maxWorkspaces)
	if err != nil {
		panic(err) // fails only for a size that is not positive
	}
	return &AdmissionController{maxInFlight: maxInFlight, urgentReserve: urgentReserve, workspaces: cache}
}

// InFlight returns the number of admitted requests that have not been released.
func (c *AdmissionController) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}

// Admit admits a request or returns a *RejectionError. The limits of a workspace apply to the whole
// deployment: each of the serving processes enforces its share of them. The caller must call
// release exactly once for an admitted request.
func (c *AdmissionController) Admit(w *config.Workspace, p config.Priority, serving int) (release func(), err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight >= c.limitFor(p) {
		return nil, NewRejectionError(fault.New(fault.Exhausted, "entry host has reached its limit of requests in flight", "ask again after the time in Retry-After"), c.completions.expectedWait(1))
	}
	ws := c.stateOf(w, serving)
	if limit := processShare(w.Concurrency, serving); limit > 0 && ws.inFlight >= limit {
		return nil, NewRejectionError(fault.New(fault.Exhausted, "workspace "+w.Name+" has reached its limit of concurrent requests", "wait for earlier requests, or raise workspaces.concurrency"), c.completions.expectedWait(1))
	}
	if r := ws.limiter.Reserve(); r.Delay() > 0 {
		wait := r.Delay()
		r.Cancel()
		return nil, NewRejectionError(fault.New(fault.Exhausted, "workspace "+w.Name+" has exceeded its request rate limit", "slow down, or raise workspaces.requestsPerSecond"), wait)
	}
	c.inFlight++
	if ws.inFlight++; ws.inFlight == 1 {
		ws.weight = weightOf(w)
		c.weights += ws.weight
	}
	start := time.Now()
	return func() { c.release(ws, time.Since(start)) }, nil
}

func (c *AdmissionController) release(ws *workspaceState, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	if ws.inFlight--; ws.inFlight == 0 {
		c.weights -= ws.weight
	}
	c.completions.add(took, c.inFlight+1)
}

const (
	// shareTolerance is the factor by which a workspace may exceed its share while targets
	// are scarce, and guaranteedRequests the number of requests in flight that is always
	// within its share.
	shareTolerance     = 1.2
	guaranteedRequests = 4
)

// CheckFairShare returns a *RejectionError if a workspace has more than its weighted share of the requests
// in flight, nil otherwise. It is called only while targets are scarce, so that a workspace that
// floods them cannot starve the others. The shares are computed as if one more workspace of
// weight 1 were active, which leaves room for the next one to arrive.
func (c *AdmissionController) CheckFairShare(w *config.Workspace) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	ws, ok := c.workspaces.Peek(w.Name)
	if !ok || ws.inFlight <= guaranteedRequests {
		return nil
	}
	if fair := float64(c.inFlight) * ws.weight / (c.weights + 1); float64(ws.inFlight) <= fair*shareTolerance {
		return nil
	}
	return NewRejectionError(fault.New(fault.Exhausted, "workspace "+w.Name+" is over its fair share while targets are scarce", "wait for earlier requests, or raise workspaces.weight"), c.completions.expectedWait(1))
}

func weightOf(w *config.Workspace) float64 {
	if w.Weight > 0 {
		return w.Weight
	}
	return 1
}

func (c *AdmissionController) limitFor(p config.Priority) int {
	switch p {
	case config.Urgent:
		return c.maxInFlight
	case config.Batch:
		return int(float64(c.maxInFlight) * batchShare)
	}
	return int(float64(c.maxInFlight) * (1 - c.urgentReserve))
}

// stateOf returns the state of w, with its rate limiter adjusted to the current configuration.
func (c *AdmissionController) stateOf(w *config.Workspace, serving int) *workspaceState {
	limit := rate.Inf
	if w.RequestsPerSecond > 0 {
		limit = rate.Limit(w.RequestsPerSecond / float64(max(serving, 1)))
	}
	burst := minBurst
	if limit != rate.Inf {
		burst = max(minBurst, int(math.Ceil(float64(limit))))
	}
	ws, ok := c.workspaces.Get(w.Name)
	if !ok {
		ws = &workspaceState{limiter: rate.NewLimiter(limit, burst)}
		c.workspaces.Add(w.Name, ws)
		return ws
	}
	if ws.limiter.Limit() != limit {
		ws.limiter.SetLimit(limit)
		ws.limiter.SetBurst(burst)
	}
	return ws
}

// processShare returns this process's share of a limit, at least 1. A limit of 0 means none and
// stays 0.
func processShare(limit, serving int) int {
	if limit == 0 {
		return 0
	}
	n := max(serving, 1)
	return (limit + n - 1) / n
}

// ewma is the exponentially weighted moving average of the interval at which requests complete.
type ewma struct{ interval float64 } // in seconds

const (
	ewmaWeight   = 0.1
	minRetryWait = 100 * time.Millisecond
	maxRetryWait = 30 * time.Second
)

// add records a completed request. With n requests in flight that take this long each, one
// completes every took/n.
func (e *ewma) add(took time.Duration, n int) {
	sample := took.Seconds() / float64(max(n, 1))
	e.interval += ewmaWeight * (sample - e.interval)
}

// expectedWait returns the time in which n requests are expected to complete, within
// minRetryWait and maxRetryWait.
func (e *ewma) expectedWait(n int) time.Duration {
	return min(max(time.Duration(float64(n)*e.interval*float64(time.Second)), minRetryWait), maxRetryWait)
}

// RetryBudget limits retries to a share of the requests with a token bucket, so that retries
// cannot amplify an overload. It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

const (
	retriesPerRequest = 0.2
	maxRetryTokens    = 20
	tokensPerRetry    = 1
)

// NewRetryBudget returns a budget with all its tokens.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: maxRetryTokens} }

// RecordRequest records a request, which adds retriesPerRequest tokens to the budget.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retriesPerRequest, maxRetryTokens)
}

// TakeRetry reports whether a retry is allowed now, and charges it to the budget if so.
func (b *RetryBudget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < tokensPerRetry {
		return false
	}
	b.tokens -= tokensPerRetry
	return true
}
