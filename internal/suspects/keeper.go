package suspects

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/duty"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/periodic"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/quarantine"
)

const (
	// objectName is the name of the object that holds what is quarantined.
	objectName = "main"
	// keepInterval is how often the quarantined causes are compared with the object.
	keepInterval = 200 * time.Millisecond
	// storeTimeout limits one call of the store, and storeRetry is the time until a failed one is repeated.
	storeTimeout = time.Second
	storeRetry   = time.Second
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
	o       KeeperOptions
	logger  log.Logger
	triedAt time.Time
	// token is the fencing token under which the object was read, 0 if it has to be read again.
	token   int64
	version objstore.Version
	stored  []storedCrash
}

// NewKeeper returns a keeper. The caller must call Run and Load.
func NewKeeper(o KeeperOptions) *Keeper {
	return &Keeper{o: o, logger: log.With(o.Logger, "component", "suspects")}
}

// Run writes the object when the quarantined causes change, until ctx ends.
func (k *Keeper) Run(ctx context.Context) { periodic.Run(ctx, keepInterval, k.review) }

func (k *Keeper) review(ctx context.Context) {
	g, ok := k.o.Authority.Grant()
	if !ok || time.Since(k.triedAt) < storeRetry && k.token == 0 {
		return
	}
	if k.token != g.Token {
		k.triedAt = time.Now()
		if err := k.read(ctx); err != nil {
			level.Info(k.logger).Log("msg", "quarantine not read from the store", "err", err)
			return
		}
		k.token = g.Token
	}
	current := k.current()
	if sameCauses(current, k.stored) {
		return
	}
	k.triedAt = time.Now()
	err := k.write(ctx, current)
	if err != nil {
		k.token = 0 // the version is unknown
	}
	level.Info(k.logger).Log("msg", "quarantine written to the store", "crashes", len(current), "token", g.Token, "err", err)
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

func (k *Keeper) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	obj, err := k.o.Store.Get(ctx, k.o.Prefix+objectName)
	k.version, k.stored = 0, nil
	if fault.Is(err, fault.NotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	k.version = obj.Version
	if err := json.Unmarshal(obj.Value, &k.stored); err != nil {
		level.Error(k.logger).Log("msg", "quarantine in the store cannot be parsed; it is written anew", "err", err)
		k.stored = nil
	}
	return nil
}

func (k *Keeper) write(ctx context.Context, crashes []storedCrash) error {
	value, err := json.Marshal(crashes)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "quarantine cannot be encoded", "report this as a defect")
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	obj, err := k.o.Store.Put(ctx, k.o.Prefix+objectName, value, k.version, k.o.Writer)
	if err != nil {
		return err
	}
	k.version, k.stored = obj.Version, crashes
	return nil
}

// Load reads the object once, when needed reports true, and merges its crashes into the table. It gives up after some time,
// and the process then learns from its peers only.
func (k *Keeper) Load(ctx context.Context, needed func() bool) {
	loader := &Keeper{o: k.o, logger: k.logger}
	ctx, cancel := context.WithTimeout(ctx, loadPeriod)
	defer cancel()
	var triedAt time.Time
	periodic.Run(ctx, loadInterval, func(ctx context.Context) {
		if !needed() || time.Since(triedAt) < storeRetry {
			return
		}
		triedAt = time.Now()
		if loader.read(ctx) != nil {
			return
		}
		cancel()
		if len(loader.stored) > 0 {
			k.o.Table.Merge(loader.observations())
			level.Info(k.logger).Log("msg", "quarantine read from the store", "crashes", len(loader.stored))
		}
	})
}

// observations returns the stored crashes.
func (k *Keeper) observations() []quarantine.Observation {
	now, wall := bootclock.Now(), k.o.Clock()
	var out []quarantine.Observation
	for _, c := range k.stored {
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
