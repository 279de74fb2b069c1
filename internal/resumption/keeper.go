package resumption

import (
	"context"
	"maps"
	"time"

	"github.com/go-kit/log"

	"github.com/rockdoor/rockdoor/duty"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/dutyobject"
	"github.com/rockdoor/rockdoor/internal/periodic"
)

const (
	// keepInterval is how often the versions are compared with those in the store.
	keepInterval = 500 * time.Millisecond
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
	o      KeeperOptions
	object *dutyobject.Object[storedVersions]
}

// NewKeeper returns a keeper. The caller must call Run.
func NewKeeper(o KeeperOptions) *Keeper {
	object := dutyobject.Options{Store: o.Store, Key: o.Prefix + versionsName, Writer: o.Writer, Authority: o.Authority, Logger: log.With(o.Logger, "component", "resumption")}
	return &Keeper{o: o, object: dutyobject.New[storedVersions](object)}
}

// Run keeps the versions until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	periodic.Run(ctx, keepInterval, func(ctx context.Context) {
		if v := k.o.View(); v.InstancesKnown {
			k.object.Update(ctx, func(stored storedVersions) (storedVersions, bool) { return stored.next(v.Software(), k.o.Clock()) })
		}
	})
}
