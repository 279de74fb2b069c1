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

// Timing of a Keeper.
const (
	// WatchWait is how long a watcher's call waits for changes. It bounds the
	// age of a proof.
	WatchWait = time.Second
	// selfCheckAge is the age at which a process that is no watcher reads the
	// store itself.
	selfCheckAge    = 3 * time.Second
	selfCheckJitter = 2 * time.Second
	idlePoll        = 200 * time.Millisecond
	maxRetryDelay   = 2 * time.Second
)

// Refresher moves a mirror forward from the store.
type Refresher struct {
	mirror *Mirror
	store  objstore.Store
	logger log.Logger
	// isWatcher says whether this process is one of the few that watch.
	isWatcher func() bool
}

// NewRefresher returns a keeper of m. isWatcher must be safe for concurrent use.
func NewRefresher(m *Mirror, store objstore.Store, isWatcher func() bool, logger log.Logger) *Refresher {
	return &Refresher{mirror: m, store: store, isWatcher: isWatcher, logger: log.With(logger, "component", "mirror")}
}

// Run keeps the mirror until ctx ends.
func (k *Refresher) Run(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.MaxInterval = maxRetryDelay
	for ctx.Err() == nil {
		if !k.due() {
			sleep(ctx, idlePoll)
			continue
		}
		if err := k.Refresh(ctx, WatchWait); err != nil {
			level.Debug(k.logger).Log("msg", "store not read", "err", err)
			sleep(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
	}
	return nil
}

// due reports whether this process has to read the store now.
func (k *Refresher) due() bool {
	if k.isWatcher() {
		return true
	}
	return k.mirror.Age() > selfCheckAge+rand.N(selfCheckJitter)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Refresh reads the store once: the whole prefix if the mirror is empty or has
// missed changes, else what has changed, waiting up to wait for a change.
func (k *Refresher) Refresh(ctx context.Context, wait time.Duration) error {
	before := bootclock.Now()
	rev := k.mirror.Revision()
	if rev == NoRevision {
		return k.relist(ctx)
	}
	events, newest, err := k.store.Watch(ctx, k.mirror.prefix, rev, wait)
	if errors.Is(err, objstore.ErrWatchGap) {
		return k.relist(ctx)
	}
	if err != nil {
		return err
	}
	k.mirror.Apply(Delta{Base: rev, Revision: newest, Age: bootclock.Since(before), Events: events})
	return nil
}

func (k *Refresher) relist(ctx context.Context) error {
	before := bootclock.Now()
	objs, rev, err := k.store.List(ctx, k.mirror.prefix)
	if err != nil {
		return err
	}
	events := make([]objstore.Event, len(objs))
	for i, o := range objs {
		events[i] = objstore.Event{Object: o, Revision: rev}
	}
	k.mirror.Apply(Delta{Revision: rev, Age: bootclock.Since(before), Full: true, Events: events})
	return nil
}
