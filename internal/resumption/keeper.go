package resumption

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log"

	"github.com/rockdoor/rockdoor/duty"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/dutyobject"
	"github.com/rockdoor/rockdoor/internal/periodic"
)

const (
	// keepInterval is how often the versions are compared with those in the store.
	keepInterval = 100 * time.Millisecond
	// confirmInterval is how often the object is read, in case that another writer has changed it.
	confirmInterval = 10 * time.Second
	// clockMargin covers the differences between the wall clocks of the processes.
	clockMargin = time.Second
)

// storedVersions are the software versions of all services, as they are in the store. Times are in Unix
// milliseconds.
type storedVersions struct {
	// Since is when the object was first written in the store's present era, 0 if it never was.
	Since int64 `json:"since"`
	// Era is the era of the store in which the object was written.
	Era int64 `json:"era,omitempty"`
	// From has, by service, when its first version was published.
	From map[string]int64 `json:"from,omitempty"`
	// Until has, by service and version, when the last instance of the version was seen, 0 if there is one.
	Until map[string]map[string]int64 `json:"until"`
}

// evidence returns what the object says of a service's versions during the latest period.
func (s *storedVersions) evidence(service string, now time.Time, period time.Duration) Evidence {
	from := now.Add(-period - clockMargin).UnixMilli()
	since := s.From[service]
	e := Evidence{Complete: s.Since != 0 && s.Since <= from && since != 0 && since <= from}
	e.Complete = e.Complete && len(s.Until[service]) > 0 // otherwise a version may serve that was never published
	for version, until := range s.Until[service] {
		if until == 0 || until >= from {
			e.Versions = append(e.Versions, version)
		}
	}
	return e
}

// serving returns the versions of each service that serve, sorted.
func (s *storedVersions) serving() map[string][]string {
	out := map[string][]string{}
	for service, versions := range s.Until {
		for version, until := range versions {
			if until == 0 {
				out[service] = append(out[service], version)
			}
		}
		slices.Sort(out[service])
	}
	return out
}

// with returns the object with the versions that serve now added.
func (s *storedVersions) with(serving map[string][]string, now time.Time, era int64) storedVersions {
	all := s.serving()
	for service, versions := range serving {
		all[service] = append(all[service], versions...)
	}
	out, _ := s.next(all, now, era)
	return out
}

// next returns the object for the versions that serve now. It reports whether it differs. In a later era of the store than that of
// the object, versions that were published meanwhile may be missing in it, so it begins anew.
func (s *storedVersions) next(serving map[string][]string, now time.Time, era int64) (storedVersions, bool) {
	out := storedVersions{Since: s.Since, Era: era, From: map[string]int64{}, Until: map[string]map[string]int64{}}
	maps.Copy(out.From, s.From)
	changed := s.Since == 0 || s.Era != era
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
		if len(out.Until[service]) == 0 || out.From[service] == 0 {
			out.From[service], changed = now.UnixMilli(), true
		}
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
	// StaleAfter is the age from which registrations count as out of date, 0 for never.
	StaleAfter time.Duration
	Logger     log.Logger
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
	confirmedAt := time.Now()
	periodic.Run(ctx, keepInterval, func(ctx context.Context) {
		if time.Since(confirmedAt) > confirmInterval {
			confirmedAt = time.Now()
			k.object.Reread()
		}
		if v := k.o.View(); v.InstancesKnown && (k.o.StaleAfter == 0 || v.InstancesAge() <= k.o.StaleAfter) {
			k.object.Update(ctx, func(stored storedVersions) (storedVersions, bool) {
				return stored.next(v.Software(), k.o.Clock(), v.Era)
			})
		}
	})
}
