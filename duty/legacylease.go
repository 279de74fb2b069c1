package duty

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/lease"
)

const (
	// legacyShard is the name of the lease of previous versions, which used it only for orders to
	// engines.
	legacyShard = "roles"
	// legacyTTL is the time to live of the legacy lease. It is renewed once in half of that time, at
	// 12 requests an hour. If its holder crashes, processes of previous versions wait that long.
	legacyTTL = 10 * time.Minute
)

// legacyLease is the lease for which processes of previous versions compete. The holder of the
// duties holds it too, so that only one process of either version acts at a time during a rolling
// upgrade or downgrade, and tokens increase from one holder to the next.
type legacyLease struct {
	lessee *lease.Lessee
	logger log.Logger
}

func newLegacyLease(o Options) *legacyLease {
	l := o.leaseOptions(legacyShard, legacyTTL)
	l.GoverningLease = shard
	return &legacyLease{lessee: lease.New(l), logger: log.With(o.Logger, "component", "duty")}
}

// acquire acquires the lease under a token of at least minToken, and returns the token. The error
// is of kind Conflict while a process of a previous version holds the lease.
func (l *legacyLease) acquire(ctx context.Context, minToken int64) (int64, error) {
	if err := l.lessee.Acquire(ctx, minToken); err != nil {
		return 0, err
	}
	g, held := l.lessee.Grant()
	if !held {
		level.Info(l.logger).Log("msg", "a process of a former version holds the lease", "waiting_for", l.lessee.WaitReason())
		return 0, fault.New(fault.Conflict, "a process of a former version holds the lease", "wait until the lease is released or expires")
	}
	return g.Token, nil
}

// resumed reports whether no other process has held the lease since this process last held it.
func (l *legacyLease) resumed() bool {
	g, held := l.lessee.Grant()
	return held && g.Resumed
}

// lostOnRenewal renews the lease if it is due. It is called while this process holds the lease of
// the duties under the given token. It returns true if a process of a previous version has acquired
// the legacy lease.
func (l *legacyLease) lostOnRenewal(ctx context.Context, token int64) bool {
	if g, _ := l.lessee.Grant(); g.Valid(legacyTTL / 2) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	_, err := l.acquire(ctx, token)
	if err != nil {
		level.Warn(l.logger).Log("msg", "legacy lease not renewed", "token", token, "err", err)
	}
	return fault.Is(err, fault.Conflict)
}

// release releases the lease.
func (l *legacyLease) release(ctx context.Context) {
	if err := l.lessee.Release(ctx); err != nil {
		level.Info(l.logger).Log("msg", "legacy lease not released", "err", err)
	}
}
