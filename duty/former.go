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
	// formerShard is the name of the lease of versions that gave only orders to engines
	// under it.
	formerShard = "roles"
	// formerTTL is the life of the former lease. It is renewed once in half of it, at 12 calls
	// an hour, and it is how long processes of a former version wait for one that crashed.
	formerTTL = 10 * time.Minute
)

// former is the lease that processes of former versions want. The holder of the duties holds
// it too, so that in a rolling upgrade, or on the way back, one process of either version
// acts at a time, and tokens rise from one to the next.
type former struct {
	lessee *lease.Lessee
	logger log.Logger
}

func newFormer(o Options) *former {
	l := o.lease(formerShard, formerTTL)
	l.Heir = shard
	return &former{lessee: lease.New(l), logger: log.With(o.Logger, "component", "duty")}
}

// take gets the lease under a token of least or more, and returns the token. The error is of
// kind Conflict while a process of a former version holds the lease.
func (f *former) take(ctx context.Context, least int64) (int64, error) {
	if err := f.lessee.Acquire(ctx, least); err != nil {
		return 0, err
	}
	g, held := f.lessee.Grant()
	if !held {
		level.Info(f.logger).Log("msg", "a process of a former version holds the lease", "waiting_for", f.lessee.WaitReason())
		return 0, fault.New(fault.Conflict, "a process of a former version holds the lease", "its release or its end is waited for")
	}
	return g.Token, nil
}

// resumed reports whether no process of a former version has had the lease since this process
// had it last.
func (f *former) resumed() bool {
	g, held := f.lessee.Grant()
	return held && g.Resumed
}

// lost keeps the lease while this process holds the duties under a token, and reports whether
// a process of a former version has got it.
func (f *former) lost(ctx context.Context, token int64) bool {
	if g, _ := f.lessee.Grant(); g.Valid(formerTTL / 2) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	_, err := f.take(ctx, token)
	if err != nil {
		level.Warn(f.logger).Log("msg", "lease of former versions not kept", "token", token, "err", err)
	}
	return fault.Is(err, fault.Conflict)
}

// release gives the lease up.
func (f *former) release(ctx context.Context) {
	if err := f.lessee.Release(ctx); err != nil {
		level.Info(f.logger).Log("msg", "lease of former versions not released", "err", err)
	}
}
