package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/objstore"
)

// Timing of a Refresher.
const (
	// WatchWait is how long a watcher's call waits for changes. It bounds the staleness of a
	// watcher's mirror.
	WatchWait = time.Second
	// directReadAge is the age of the mirror from which on a process that is not a watcher reads
	// the store directly.
	directReadAge    = 3 * time.Second
	directReadJitter = 2 * time.Second
	idlePollInterval = 200 * time.Millisecond
	maxRetryDelay    = 2 * time.Second
)

// Refresher updates a mirror from the store.
type Refresher struct {
	mirror *Mirror
	store  objstore.Store
	logger log.Logger
	// isWatcher reports whether this process is one of the few that watch the store.
	isWatcher func() bool
}

// NewRefresher returns a Refresher of m. isWatcher must be safe for concurrent use.
func NewRefresher(m *Mirror, store objstore.Store, isWatcher func() bool, logger log.Logger) *Refresher {
	return &Refresher{mirror: m, store: store, isWatcher: isWatcher, logger: log.With(logger, "component", "mirror")}
}

// Run keeps the mirror up to date until ctx ends.
func (r *Refresher) Run(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.MaxInterval = maxRetryDelay
	for ctx.Err() == nil {
		if !r.due() {
			sleep(ctx, idlePollInterval)
			continue
		}
		if err := r.Refresh(ctx, WatchWait); err != nil {
			level.Debug(r.logger).Log("msg", "could not read the store", "err", err)
			sleep(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
	}
	return nil
}

// due reports whether this process must read the store now.
func (r *Refresher) due() bool {
	if r.isWatcher() {
		return true
	}
	return r.mirror.Age() > directReadAge+rand.N(directReadJitter)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Refresh reads the store once. It lists the whole prefix if the mirror is empty or has missed
// changes; otherwise it waits for changes, up to wait.
func (r *Refresher) Refresh(ctx context.Context, wait time.Duration) error {
	before := bootclock.Now()
	rev := r.mirror.Revision()
	if rev == NoRevision {
		return r.relist(ctx)
	}
	events, newest, err := r.store.Watch(ctx, r.mirror.prefix, rev, wait)
	if errors.Is(err, objstore.ErrWatchGap) {
		return r.relist(ctx)
	}
	if err != nil {
		return err
	}
	r.mirror.Apply(Delta{Base: rev, Revision: newest, Age: bootclock.Since(before), Events: events})
	return nil
}

func (r *Refresher) relist(ctx context.Context) error {
	before := bootclock.Now()
	objs, rev, err := r.store.List(ctx, r.mirror.prefix)
	if err != nil {
		return err
	}
	events := make([]objstore.Event, len(objs))
	for i, o := range objs {
		events[i] = objstore.Event{Object: o, Revision: rev}
	}
	r.mirror.Apply(Delta{Revision: rev, Age: bootclock.Since(before), Full: true, Events: events})
	return nil
}
