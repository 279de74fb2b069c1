package objstore

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sony/gobreaker/v2"
	"golang.org/x/time/rate"

	"github.com/rockdoor/rockdoor/fault"
)

// Budget limits the calls of one process to the object API.
type Budget struct {
	// CallsPerSecond is the sustained rate of calls.
	CallsPerSecond float64 `json:"callsPerSecond"`
	// Burst is the size of the token bucket: how many calls may be made at once
	// after an idle period.
	Burst int `json:"burst"`
	// CallTimeout limits each call. A Watch may take that long in addition to its wait.
	CallTimeout time.Duration `json:"-"`
}

// DefaultBudget lets 610 processes share an object API that handles 2000 calls
// per second.
var DefaultBudget = Budget{CallsPerSecond: 3, Burst: 60, CallTimeout: DefaultCallTimeout}

const (
	breakerFailures = 5
	breakerOpenTime = 2 * time.Second
)

// Limited wraps a Store with a rate limit, a timeout for each call, metrics by
// kind of call and a circuit breaker, which rejects calls for a while after
// several consecutive failures.
type Limited struct {
	next    Store
	limiter *rate.Limiter
	breaker *gobreaker.TwoStepCircuitBreaker[any]
	timeout time.Duration
	reg     metrics.Registry
}

var _ Store = (*Limited)(nil)

// NewLimited wraps next. Calls and failures are counted in reg as
// platform.calls.KIND and platform.errors.KIND.
func NewLimited(next Store, b Budget, reg metrics.Registry) *Limited {
	return &Limited{
		next:    next,
		limiter: rate.NewLimiter(rate.Limit(b.CallsPerSecond), b.Burst),
		timeout: b.CallTimeout,
		reg:     reg,
		breaker: gobreaker.NewTwoStepCircuitBreaker[any](gobreaker.Settings{
			Name:        "platform",
			Timeout:     breakerOpenTime,
			ReadyToTrip: func(c gobreaker.Counts) bool { return c.ConsecutiveFailures >= breakerFailures },
		}),
	}
}

// Reachable reports whether the circuit breaker is closed, which it is unless the
// latest calls have failed.
func (l *Limited) Reachable() bool { return l.breaker.State() == gobreaker.StateClosed }

func call[T any](ctx context.Context, l *Limited, kind string, timeout time.Duration, f func(context.Context) (T, error)) (T, error) {
	var zero T
	if err := l.limiter.Wait(ctx); err != nil {
		return zero, fault.Wrap(err, fault.Unavailable, "platform call budget is used up", "wait a second; if the error persists, raise platformCalls.perSecond in the settings")
	}
	done, err := l.breaker.Allow()
	if err != nil {
		return zero, fault.Wrap(err, fault.Unavailable, "platform store is not responding", "wait until the store responds again; client requests are not affected meanwhile")
	}
	metrics.GetOrRegisterCounter("platform.calls."+kind, l.reg).Inc(1)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	v, err := f(ctx)
	if failed := fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Unknown); failed {
		metrics.GetOrRegisterCounter("platform.errors."+kind, l.reg).Inc(1)
		done(err)
	} else {
		done(nil)
	}
	return v, err
}

// Get implements Store.
func (l *Limited) Get(ctx context.Context, key string) (Object, error) {
	return call(ctx, l, "get", l.timeout, func(ctx context.Context) (Object, error) { return l.next.Get(ctx, key) })
}

type listResult struct {
	objs []Object
	rev  Revision
}

// List implements Store.
func (l *Limited) List(ctx context.Context, prefix string) ([]Object, Revision, error) {
	v, err := call(ctx, l, "list", l.timeout, func(ctx context.Context) (listResult, error) {
		objs, rev, err := l.next.List(ctx, prefix)
		return listResult{objs, rev}, err
	})
	return v.objs, v.rev, err
}

// Put implements Store.
func (l *Limited) Put(ctx context.Context, key string, value []byte, ifVersion Version, writeID string) (Object, error) {
	return call(ctx, l, "put", l.timeout, func(ctx context.Context) (Object, error) {
		return l.next.Put(ctx, key, value, ifVersion, writeID)
	})
}

// Delete implements Store.
func (l *Limited) Delete(ctx context.Context, key string, ifVersion Version) error {
	_, err := call(ctx, l, "delete", l.timeout, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, l.next.Delete(ctx, key, ifVersion)
	})
	return err
}

type watchResult struct {
	events []Event
	rev    Revision
}

// Watch implements Store.
func (l *Limited) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error) {
	v, err := call(ctx, l, "watch", wait+l.timeout, func(ctx context.Context) (watchResult, error) {
		events, rev, err := l.next.Watch(ctx, prefix, after, wait)
		return watchResult{events, rev}, err
	})
	return v.events, v.rev, err
}
