package claims

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/oklog/ulid/v2"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/objstore"
)

const (
	keepInterval   = 100 * time.Millisecond
	expireInterval = 5 * time.Second
	// giveUpAfter is how long a shard may miss too many holders before it
	// starts afresh.
	giveUpAfter  = 10 * time.Second
	writeTimeout = 2 * time.Second
)

// KeeperOptions of a Keeper.
type KeeperOptions struct {
	Store *Store
	Peers Peers
	// Objects is the object API, for the table.
	Objects objstore.Store
	// Mirrored returns the table's object from the mirror.
	Mirrored func() (objstore.Object, bool)
	// Live returns the members that may hold claims.
	Live func() []Member
	// Registrar reports whether this process is the one that changes the
	// holders. If two processes believe so, one of their writes fails.
	Registrar func() bool
	// Refresh makes this process see its own writes at once. It may be nil.
	Refresh func(context.Context)
	Logger  log.Logger
}

// Keeper keeps a process's claims in step with the table: it adopts new tables,
// copies claims that it should hold, and, at one process, replaces holders.
type Keeper struct {
	o      KeeperOptions
	logger log.Logger

	adopted objstore.Version
	object  objstore.Object
	short   time.Time // since when a shard has missed too many holders
	expired time.Time
	fresh   freshSince
	// settled is the table version and the members for which there was nothing
	// to change, so that the same question is not worked out again.
	settled settled
}

type settled struct {
	version objstore.Version
	live    []Member
}

// freshSince is since when a registrar has seen the same shards marked as fresh.
type freshSince struct {
	epoch  int64
	shards int
	at     bootclock.Instant
}

// NewKeeper returns a keeper that has to be run.
func NewKeeper(o KeeperOptions) *Keeper {
	return &Keeper{o: o, logger: log.With(o.Logger, "component", "claims")}
}

// Run keeps until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	tick := time.NewTicker(keepInterval)
	defer tick.Stop()
	for {
		k.Step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// Step does what is due once.
func (k *Keeper) Step(ctx context.Context) {
	if err := k.adopt(); err != nil {
		level.Error(k.logger).Log("msg", "claim table not adopted", "err", err)
		return
	}
	if time.Since(k.expired) > expireInterval {
		k.o.Store.Expire()
		k.expired = time.Now()
	}
	k.sync(ctx)
	if k.o.Registrar() {
		k.register(ctx)
	} else {
		k.short = time.Time{} // another process watches
	}
}

func (k *Keeper) adopt() error {
	obj, ok := k.o.Mirrored()
	if !ok || obj.Version == k.adopted {
		return nil
	}
	t, err := ParseTable(obj)
	if err != nil {
		return err
	}
	k.o.Store.Adopt(t)
	k.adopted, k.object = obj.Version, obj
	return nil
}

// sync copies the claims of the shards that this process has come to hold, and
// then says so in the table.
func (k *Keeper) sync(ctx context.Context) {
	done := map[int]int64{}
	for shard, epoch := range k.o.Store.unsynced() {
		if k.copyShard(ctx, shard, epoch) {
			done[shard] = epoch
		}
	}
	if len(done) == 0 {
		return
	}
	t := k.o.Store.Table().withSynced(k.o.Store.self, done)
	if err := k.write(ctx, t); err != nil {
		level.Debug(k.logger).Log("msg", "claim table not written", "err", err)
		return
	}
	level.Info(k.logger).Log("msg", "claims copied", "shards", len(done))
}

// copyShard copies the claims of a shard from all its other synced holders. It
// needs enough of them that every claim is known to one.
func (k *Keeper) copyShard(ctx context.Context, i int, epoch int64) bool {
	shard := &k.o.Store.Table().Shards[i]
	if shard.Epoch != epoch {
		return false
	}
	copied := 0
	for _, h := range shard.Holders {
		if !h.Synced {
			continue
		}
		if !k.copyFrom(ctx, h.Member, i, epoch) {
			return false
		}
		copied++
	}
	return copied >= min(shard.remain(), len(shard.Holders)-1)
}

func (k *Keeper) copyFrom(ctx context.Context, from Member, shard int, epoch int64) bool {
	after := ""
	for {
		pctx, cancel := context.WithTimeout(ctx, claimTimeout)
		page, more, ready, err := k.o.Peers.Page(pctx, from, shard, epoch, after)
		cancel()
		if err != nil || !ready || !k.o.Store.Import(shard, epoch, page) {
			return false
		}
		if !more {
			return true
		}
		after = page[len(page)-1].Key
	}
}

// register replaces holders that are gone.
func (k *Keeper) register(ctx context.Context) {
	t := k.o.Store.Table()
	live := k.o.Live()
	if t != nil && k.settled.version == k.adopted && slices.Equal(k.settled.live, live) {
		return
	}
	if !k.isShort(t, live) {
		k.short = time.Time{}
	} else if k.short.IsZero() {
		k.short = time.Now()
	}
	giveUp := !k.short.IsZero() && time.Since(k.short) > giveUpAfter
	next, changed := Next(t, live, giveUp)
	if !changed {
		next, changed = k.unmarkFresh(t)
	}
	if !changed {
		if _, fresh := freshShards(t); fresh == 0 && k.short.IsZero() {
			k.settled = settled{k.adopted, live}
		}
		return
	}
	if err := k.write(ctx, next); err != nil {
		level.Debug(k.logger).Log("msg", "claim table not written", "err", err)
		return
	}
	level.Info(k.logger).Log("msg", "claim holders changed", "members", len(live), "afresh", giveUp)
}

// unmarkFresh ends the waiting of shards that started afresh once a window has
// passed since this process first saw all of them so.
func (k *Keeper) unmarkFresh(t *Table) (*Table, bool) {
	epoch, shards := freshShards(t)
	if epoch != k.fresh.epoch || shards != k.fresh.shards {
		k.fresh = freshSince{epoch, shards, bootclock.Now()}
	}
	if shards == 0 || bootclock.Since(k.fresh.at) <= k.o.Store.window {
		return nil, false
	}
	return t.withoutFresh(), true
}

// isShort reports whether a shard misses too many holders to replace them.
func (k *Keeper) isShort(t *Table, live []Member) bool {
	if t == nil {
		return false
	}
	_, patient := Next(t, live, false)
	_, impatient := Next(t, live, true)
	return impatient && !patient
}

// write replaces the table if it is still the one that was adopted.
func (k *Keeper) write(ctx context.Context, t *Table) error {
	value, err := json.Marshal(t)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "claim table cannot be encoded", "report this as a defect")
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err = objstore.PutSettled(ctx, k.o.Objects, TableKey, value, k.object.Version, ulid.Make().String())
	if k.o.Refresh != nil {
		k.o.Refresh(ctx)
	}
	return err
}
