package resumption

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/duty"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/periodic"
	"github.com/rockdoor/rockdoor/objstore"
)

const (
	// keepInterval is how often the versions are compared with those in the store.
	keepInterval = 200 * time.Millisecond
	// keepRetry is the minimum time between two calls of the store of which the first failed.
	keepRetry = time.Second
	// clockMargin covers the differences between the wall clocks of the processes.
	clockMargin = time.Second
)

// storedVersions are the software versions of all services, as they are in the store. Times are in Unix
// milliseconds.
type storedVersions struct {
	// Since is when the object was first written, 0 if it never was.
	Since int64 `json:"since"`
	// Until has, by service and version, when the last instance of the version was seen, 0 if there is one.
	Until map[string]map[string]int64 `json:"until"`
}

// evidence returns what the object says of a service's versions during the latest period.
func (s *storedVersions) evidence(service string, now time.Time, period time.Duration) Evidence {
	from := now.Add(-period - clockMargin).UnixMilli()
	e := Evidence{Complete: s.Since != 0 && s.Since <= from}
	for version, until := range s.Until[service] {
		if until == 0 || until >= from {
			e.Versions = append(e.Versions, version)
		}
	}
	return e
}

// next returns the object for the versions that serve now. It reports whether it differs.
func (s *storedVersions) next(serving map[string][]string, now time.Time) (storedVersions, bool) {
	out := storedVersions{Since: s.Since, Until: map[string]map[string]int64{}}
	changed := s.Since == 0
	if changed {
		out.Since = now.UnixMilli()
	}
	forget := now.Add(-historyRetention).UnixMilli()
	for service, versions := range s.Until {
		kept := maps.Clone(versions)
		maps.DeleteFunc(kept, func(_ string, until int64) bool { return until != 0 && until < forget })
		for version, until := range kept {
			if until == 0 {
				kept[version] = now.UnixMilli()
			}
		}
		out.Until[service] = kept
	}
	for service, versions := range serving {
		if out.Until[service] == nil {
			out.Until[service] = map[string]int64{}
		}
		for _, version := range versions {
			out.Until[service][version] = 0
		}
	}
	for service, versions := range out.Until {
		for version, until := range versions {
			old, known := s.Until[service][version]
			changed = changed || !known || (old == 0) != (until == 0)
		}
	}
	return out, changed
}

// KeeperOptions of a Keeper.
type KeeperOptions struct {
	StoreOptions
	Authority duty.Granter
	View      func() *fleet.View
	Logger    log.Logger
}

// Keeper keeps the versions in the store while its process holds the duties.
type Keeper struct {
	o       KeeperOptions
	logger  log.Logger
	triedAt time.Time
	// token is the fencing token under which the object was read, 0 if it has to be read again. version and stored
	// are what it was then, or was written as.
	token   int64
	version objstore.Version
	stored  storedVersions
}

// NewKeeper returns a keeper. The caller must call Run.
func NewKeeper(o KeeperOptions) *Keeper {
	return &Keeper{o: o, logger: log.With(o.Logger, "component", "resumption")}
}

// Run keeps the versions until ctx ends.
func (k *Keeper) Run(ctx context.Context) { periodic.Run(ctx, keepInterval, k.review) }

func (k *Keeper) review(ctx context.Context) {
	g, ok := k.o.Authority.Grant()
	v := k.o.View()
	if !ok || !v.InstancesKnown || k.token == 0 && time.Since(k.triedAt) < keepRetry {
		return
	}
	if k.token != g.Token {
		k.triedAt = time.Now()
		if !k.read(ctx) {
			return
		}
		k.token = g.Token
	}
	next, changed := k.stored.next(v.Software(), k.o.Clock())
	if !changed {
		return
	}
	k.triedAt = time.Now()
	if err := k.write(ctx, next); err != nil {
		k.token = 0
		level.Info(k.logger).Log("msg", "software versions not written to the store", "err", err)
		return
	}
	level.Info(k.logger).Log("msg", "software versions written to the store", "services", len(next.Until), "token", g.Token)
}

// read reads the object. It reports whether its content is known now.
func (k *Keeper) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	obj, err := k.o.Store.Get(ctx, k.o.Prefix+versionsName)
	k.version, k.stored = 0, storedVersions{}
	if fault.Is(err, fault.NotFound) {
		return true
	}
	if err != nil {
		level.Info(k.logger).Log("msg", "software versions not read from the store", "err", err)
		return false
	}
	k.version = obj.Version
	if err := json.Unmarshal(obj.Value, &k.stored); err != nil {
		level.Error(k.logger).Log("msg", "software versions in the store cannot be parsed; they are written anew", "err", err)
		k.stored = storedVersions{}
	}
	return true
}

func (k *Keeper) write(ctx context.Context, next storedVersions) error {
	value, err := json.Marshal(next)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "software versions cannot be encoded", "report this as a defect")
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	obj, err := k.o.Store.Put(ctx, k.o.Prefix+versionsName, value, k.version, k.o.Writer)
	if err != nil {
		return err
	}
	k.version, k.stored = obj.Version, next
	return nil
}
