package suspects

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/duty"
	"github.com/rockdoor/rockdoor/internal/dutyobject"
	"github.com/rockdoor/rockdoor/internal/periodic"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/quarantine"
)

const (
	// objectName is the name of the object that holds what is quarantined.
	objectName = "main"
	// keepInterval is how often the quarantined causes are compared with the object.
	keepInterval = 500 * time.Millisecond
	// storeRetry is the time until a failed read is repeated.
	storeRetry = time.Second
	// loadInterval is how often a process that has started tries to read the object, loadPeriod for how long.
	loadInterval = 20 * time.Millisecond
	loadPeriod   = 30 * time.Second
)

// storedCrash is a crash that led to a quarantine, with its time in Unix milliseconds.
type storedCrash struct {
	Kind     quarantine.Kind `json:"kind"`
	Cause    string          `json:"cause"`
	Instance string          `json:"instance"`
	At       int64           `json:"at"`
}

// KeeperOptions of a Keeper.
type KeeperOptions struct {
	Table *quarantine.Table
	Store objstore.Store
	// Prefix is the key prefix of the object, Writer identifies this run of the process in its writes.
	Prefix, Writer string
	Authority      duty.Granter
	// Clock is the wall clock on which the processes agree.
	Clock  func() time.Time
	Logger log.Logger
}

// Keeper keeps what is quarantined in the store, for the time after the loss of all processes. The holder of the duties
// writes it.
type Keeper struct {
	o      KeeperOptions
	logger log.Logger
	object *dutyobject.Object[[]storedCrash]
}

// NewKeeper returns a keeper. The caller must call Run and Load.
func NewKeeper(o KeeperOptions) *Keeper {
	k := &Keeper{o: o, logger: log.With(o.Logger, "component", "suspects")}
	k.object = k.newObject()
	return k
}

func (k *Keeper) newObject() *dutyobject.Object[[]storedCrash] {
	return dutyobject.New[[]storedCrash](dutyobject.Options{Store: k.o.Store, Key: k.o.Prefix + objectName, Writer: k.o.Writer, Authority: k.o.Authority, Logger: k.logger})
}

// Run writes the object when the quarantined causes change, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	periodic.Run(ctx, keepInterval, func(ctx context.Context) {
		k.object.Update(ctx, func(stored []storedCrash) ([]storedCrash, bool) {
			current := k.current()
			return current, !sameCauses(current, stored)
		})
	})
}

// current returns the crashes that led to the present quarantines.
func (k *Keeper) current() []storedCrash {
	now, wall := bootclock.Now(), k.o.Clock()
	out := []storedCrash{}
	for _, o := range k.o.Table.BlamedCrashes() {
		out = append(out, storedCrash{o.Kind, o.Request.String(), o.Instance, wall.Add(-now.Sub(o.At)).UnixMilli()})
	}
	return out
}

// sameCauses reports whether two lists have crashes of the same causes.
func sameCauses(a, b []storedCrash) bool { return slices.Equal(causesOf(a), causesOf(b)) }

func causesOf(crashes []storedCrash) []string {
	var out []string
	for _, c := range crashes {
		out = append(out, c.Kind.String()+c.Cause)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Load reads the object once, when needed reports true, and merges its crashes into the table. It gives up after some time,
// and the process then learns from its peers only.
func (k *Keeper) Load(ctx context.Context, needed func() bool) {
	object := k.newObject() // that of Run belongs to another goroutine
	ctx, cancel := context.WithTimeout(ctx, loadPeriod)
	defer cancel()
	var triedAt time.Time
	periodic.Run(ctx, loadInterval, func(ctx context.Context) {
		if !needed() || time.Since(triedAt) < storeRetry {
			return
		}
		triedAt = time.Now()
		stored, err := object.Read(ctx)
		if err != nil {
			level.Info(k.logger).Log("msg", "quarantine not read from the store", "err", err)
			return
		}
		cancel()
		if len(stored) > 0 {
			k.o.Table.Merge(k.observations(stored))
			level.Info(k.logger).Log("msg", "quarantine read from the store", "crashes", len(stored))
		}
	})
}

// observations returns stored crashes.
func (k *Keeper) observations(stored []storedCrash) []quarantine.Observation {
	now, wall := bootclock.Now(), k.o.Clock()
	var out []quarantine.Observation
	for _, c := range stored {
		f, err := quarantine.ParseFingerprint(c.Cause)
		if err != nil {
			level.Error(k.logger).Log("msg", "quarantined cause in the store ignored", "err", err)
			continue
		}
		age := max(wall.Sub(time.UnixMilli(c.At)), 0)
		out = append(out, quarantine.Observation{Kind: c.Kind, Request: f, Instance: c.Instance, At: now.Add(-age)})
	}
	return out
}
