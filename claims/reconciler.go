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
	stepInterval   = 100 * time.Millisecond
	expireInterval = 5 * time.Second
	// resetAfter is how long a shard may have too few synced holders before it
	// is reset: it gets new holders, and its claims are lost.
	resetAfter   = 10 * time.Second
	writeTimeout = 2 * time.Second
)

// ReconcilerOptions contains the dependencies of the reconciliation.
type ReconcilerOptions struct {
	Store *Store
	Peers Peers
	// Objects is the object store that the table is written to.
	Objects objstore.Store
	// Mirrored returns the table's object from the local mirror of the store.
	Mirrored func() (objstore.Object, bool)
	// Live returns the members that may hold claims.
	Live func() []Member
	// Registrar reports whether this process is the one that assigns holders to
	// shards. If two processes take that role at once, the conditional write of
	// one of them fails.
	Registrar func() bool
	// Refresh updates the mirror, so that this process sees its own write at
	// once. It may be nil.
	Refresh func(context.Context)
	Logger  log.Logger
}

// Reconciler reconciles a process's claims with the table: it adopts new tables and
// copies the claims of shards assigned to this process. In the registrar it also
// replaces holders that are no longer live.
type Reconciler struct {
	o      ReconcilerOptions
	logger log.Logger

	adopted    objstore.Version
	object     objstore.Object
	shortSince time.Time // since when some shard has had too few synced holders, or zero
	lastExpiry time.Time
	reset      resetSighting
	// noChange is the last table version and member list for which the holders
	// needed no change, so that Next is not computed again for the same input.
	noChange noChangeInputs
}

type noChangeInputs struct {
	version objstore.Version
	live    []Member
}

// resetSighting is when the registrar first saw the present set of reset marks.
type resetSighting struct {
	epoch  int64
	shards int
	at     bootclock.Instant
}

// NewReconciler sets up the reconciliation, which starts when Run is called.
func NewReconciler(o ReconcilerOptions) *Reconciler {
	return &Reconciler{o: o, logger: log.With(o.Logger, "component", "claims")}
}

// Run calls Step at a fixed interval until ctx ends.
func (k *Reconciler) Run(ctx context.Context) error {
	tick := time.NewTicker(stepInterval)
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

// Step does one round of reconciliation.
func (k *Reconciler) Step(ctx context.Context) {
	if err := k.adoptTable(); err != nil {
		level.Error(k.logger).Log("msg", "claim table could not be adopted", "err", err)
		return
	}
	if time.Since(k.lastExpiry) > expireInterval {
		k.o.Store.Expire()
		k.lastExpiry = time.Now()
	}
	k.syncShards(ctx)
	if k.o.Registrar() {
		k.updateHolders(ctx)
	} else {
		k.shortSince = time.Time{} // the registrar is another process
	}
}

func (k *Reconciler) adoptTable() error {
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

// syncShards copies the claims of the shards that were assigned to this process
// and then marks it as synced in the table.
func (k *Reconciler) syncShards(ctx context.Context) {
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
	if err := k.writeTable(ctx, t); err != nil {
		level.Debug(k.logger).Log("msg", "claim table could not be written", "err", err)
		return
	}
	level.Info(k.logger).Log("msg", "claims copied from other holders", "shards", len(done))
}

// copyShard copies the claims of a shard from all its other synced holders. It
// reports success only if there were enough of them that every claim is known to
// at least one.
func (k *Reconciler) copyShard(ctx context.Context, i int, epoch int64) bool {
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
	return copied >= min(shard.requiredSynced(), len(shard.Holders)-1)
}

func (k *Reconciler) copyFrom(ctx context.Context, from Member, shard int, epoch int64) bool {
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

// updateHolders replaces holders that are no longer live and resets shards that
// have had too few synced holders for too long.
func (k *Reconciler) updateHolders(ctx context.Context) {
	t := k.o.Store.Table()
	live := k.o.Live()
	if t != nil && k.noChange.version == k.adopted && slices.Equal(k.noChange.live, live) {
		return
	}
	if !k.lacksSynced(t, live) {
		k.shortSince = time.Time{}
	} else if k.shortSince.IsZero() {
		k.shortSince = time.Now()
	}
	allowReset := !k.shortSince.IsZero() && time.Since(k.shortSince) > resetAfter
	next, changed := Next(t, live, allowReset)
	if !changed {
		next, changed = k.clearResetMarks(t)
	}
	if !changed {
		if _, marked := resetShards(t); marked == 0 && k.shortSince.IsZero() {
			k.noChange = noChangeInputs{k.adopted, live}
		}
		return
	}
	if err := k.writeTable(ctx, next); err != nil {
		level.Debug(k.logger).Log("msg", "claim table could not be written", "err", err)
		return
	}
	level.Info(k.logger).Log("msg", "claim holders changed", "members", len(live), "afresh", allowReset)
}

// clearResetMarks returns the table without reset marks once a window has passed
// since this process first saw the present marks, so that all claims lost by
// those resets have expired.
func (k *Reconciler) clearResetMarks(t *Table) (*Table, bool) {
	epoch, shards := resetShards(t)
	if epoch != k.reset.epoch || shards != k.reset.shards {
		k.reset = resetSighting{epoch, shards, bootclock.Now()}
	}
	if shards == 0 || bootclock.Since(k.reset.at) <= k.o.Store.window {
		return nil, false
	}
	return t.withoutResetMarks(), true
}

// lacksSynced reports whether some shard has too few synced holders to replace
// the lost ones, so that only a reset would change the table.
func (k *Reconciler) lacksSynced(t *Table, live []Member) bool {
	if t == nil {
		return false
	}
	_, changes := Next(t, live, false)
	_, changesWithReset := Next(t, live, true)
	return changesWithReset && !changes
}

// writeTable replaces the stored table if it is still the adopted version.
func (k *Reconciler) writeTable(ctx context.Context, t *Table) error {
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
