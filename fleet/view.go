package fleet

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore"
)

// View is a process's knowledge of the deployment at one moment. It is immutable.
type View struct {
	// Config is nil until the first configuration has been received.
	Config *Config
	// ConfigConfirmedAt and InstancesConfirmedAt are when the store last confirmed that the
	// configuration and the registrations were current.
	ConfigConfirmedAt    bootclock.Instant
	InstancesConfirmedAt bootclock.Instant
	// ConfigFreshAt is the latest time at which Config is known to have been current. It is the send
	// time of a request to the store whose response confirmed Config. The time at which the response
	// arrived would not do, because Config may have changed while it was in transit.
	ConfigFreshAt bootclock.Instant
	// InstancesRevision is the store revision up to which registrations have been applied.
	InstancesRevision objstore.Revision
	// InstancesKnown is true once the registrations have been read for the first time.
	InstancesKnown bool
	// RelayReceived is true once a scheduler has sent a partial snapshot with the configuration and the
	// rules. Until the registrations are known here, the scheduler chooses the instances and sends
	// their registrations with its decisions.
	RelayReceived bool
	// FullSnapshotAt is the earliest time at which this process requests the full snapshot after the
	// partial one, 0 if it need not wait.
	FullSnapshotAt bootclock.Instant
	// Instances holds all registered instances by ID.
	Instances map[string]*Instance
	Rules     *Rules
	// Processes is the number of registered rockdoor processes.
	Processes int
	// Schedulers place requests for the other processes. Watchers are the schedulers that watch the
	// store. GossipPeers are the processes that exchange their load: the schedulers, and the
	// processes that these schedulers replace while they are unresponsive. Scheduling is true if
	// this process is a scheduler.
	Schedulers  []members.Member
	Watchers    []members.Member
	GossipPeers []members.Member
	Scheduling  bool
	// StoreUp is false while the store does not respond.
	StoreUp bool
	// ConfigUnconfirmed is true while neither the store nor another scheduler confirms the configuration to the scheduler
	// that this process follows, or to this process if it is a scheduler.
	ConfigUnconfirmed bool
	// Era is the number of times that the store was restored from an older snapshot, 0 if the store
	// doesn't report it.
	Era int64
	// Published are the software versions that may begin streams, nil if they are not known.
	Published *Published

	usable    map[string][]*Instance
	poolCache *poolCache
	addresses *addressIndex
	software  *softwareIndex
}

// softwareIndex holds the software versions of a view's instances. It is built when it is first needed.
type softwareIndex struct {
	once sync.Once
	all  map[string][]string // by service
}

// addressIndex finds a view's instances by address. It is built when it is first needed.
type addressIndex struct {
	once sync.Once
	all  map[string]*Instance
}

// Index builds the lookup tables. It must be called once before the view is published.
func (v *View) Index() {
	v.usable, v.poolCache, v.addresses = map[string][]*Instance{}, newPoolCache(), &addressIndex{}
	v.software = &softwareIndex{}
	for _, i := range v.Instances {
		if !i.Draining {
			v.usable[i.Service] = append(v.usable[i.Service], i)
		}
	}
	for _, all := range v.usable {
		slices.SortFunc(all, compareByID)
	}
}

// IndexChanges does the same as Index by updating the tables of an earlier view. changed has the IDs
// of all instances that differ. If there are any, Instances is copied, otherwise it is shared with
// the earlier view.
func (v *View) IndexChanges(before *View, changed map[string]bool) {
	if len(changed) == 0 {
		v.Instances, v.usable, v.poolCache, v.addresses = before.Instances, before.usable, before.poolCache, before.addresses
		v.software = before.software
		if v.Rules != before.Rules || v.Published != before.Published {
			v.poolCache = newPoolCache()
		}
		return
	}
	v.Instances = maps.Clone(v.Instances)
	v.usable, v.poolCache, v.addresses = maps.Clone(before.usable), newPoolCache(), &addressIndex{}
	v.software = &softwareIndex{}
	ids := slices.Sorted(maps.Keys(changed))
	affected := map[string]bool{}
	for _, id := range ids {
		for _, i := range []*Instance{before.Instances[id], v.Instances[id]} {
			if i != nil {
				affected[i.Service] = true
			}
		}
	}
	for service := range affected {
		v.usable[service] = v.mergeUsable(service, ids)
	}
}

// mergeUsable returns the usable instances of a service by merging the earlier list with the
// current state of the changed instances, whose IDs are sorted.
func (v *View) mergeUsable(service string, changed []string) []*Instance {
	old := v.usable[service]
	out := make([]*Instance, 0, len(old)+len(changed))
	for _, id := range changed {
		n, found := slices.BinarySearchFunc(old, id, compareIDTo)
		out = append(out, old[:n]...)
		if old = old[n:]; found {
			old = old[1:]
		}
		if i := v.Instances[id]; i != nil && i.Service == service && !i.Draining {
			out = append(out, i)
		}
	}
	return append(out, old...)
}

func compareByID(a, b *Instance) int { return cmp.Compare(a.ID, b.ID) }

func compareIDTo(i *Instance, id string) int { return strings.Compare(i.ID, id) }

// Usable returns the instances of a service that accept new requests, sorted by ID.
func (v *View) Usable(service string) []*Instance { return v.usable[service] }

// Software returns the software versions of the registered instances of each service, also of draining ones.
func (v *View) Software() map[string][]string {
	if v.software == nil {
		return nil // a view that was never indexed has no instances
	}
	v.software.once.Do(func() {
		v.software.all = map[string][]string{}
		for _, i := range v.Instances {
			if versions := v.software.all[i.Service]; !slices.Contains(versions, i.Software) {
				v.software.all[i.Service] = append(versions, i.Software)
			}
		}
	})
	return v.software.all
}

// SameInstances reports whether another view has the same instances, as far as that is known without comparing them.
func (v *View) SameInstances(other *View) bool { return other != nil && v.software == other.software }

// InstanceAt returns the ID of the registered instance at an address, empty if there is none. If there are several, it
// is the one that started last, since the address was reused.
func (v *View) InstanceAt(address string) string {
	if v.addresses == nil {
		return "" // a view that was never indexed has no instances
	}
	v.addresses.once.Do(func() {
		v.addresses.all = make(map[string]*Instance, len(v.Instances))
		for _, i := range v.Instances {
			if old := v.addresses.all[i.Address]; old == nil || old.StartTime < i.StartTime {
				v.addresses.all[i.Address] = i
			}
		}
	})
	if i := v.addresses.all[address]; i != nil {
		return i.ID
	}
	return ""
}

// AddressOf returns the address of a registered instance, empty if there is none. If the ID is empty, the address must
// be that of an instance.
func (v *View) AddressOf(id, address string) string {
	if id == "" {
		id = v.InstanceAt(address)
	}
	if i := v.Instances[id]; i != nil {
		return i.Address
	}
	return ""
}

// Permitted returns the usable instances of a service on which the rules permit requests of the
// route, sorted by ID.
func (v *View) Permitted(route, service string) []*Instance { return v.Pool(route, service).All }

// Accepts reports whether the instance accepts new requests for the service.
func (v *View) Accepts(service, id string) bool {
	i := v.Instances[id]
	return i != nil && !i.Draining && i.Service == service
}

// StoppedAccepting reports whether the instance is known not to accept new requests for the service.
func (v *View) StoppedAccepting(service, id string) bool {
	return v.InstancesKnown && !v.Accepts(service, id)
}

// Complete reports whether the view has all that is needed to place requests.
func (v *View) Complete() bool { return v.Config != nil && v.InstancesKnown }

// Ready reports whether the view has all that is needed to serve requests.
func (v *View) Ready() bool {
	return v.Complete() || v.Config != nil && v.RelayReceived && !v.Scheduling
}

// FilterPermitted filters instances by Permitted: it returns those that accept requests for the
// service and on which the rules permit requests of the route, sorted by ID.
func (v *View) FilterPermitted(route, service string, instances []*Instance) []*Instance {
	few := View{Config: v.Config, Rules: v.Rules, Instances: map[string]*Instance{}}
	for _, i := range instances {
		few.Instances[i.ID] = i
	}
	few.Index()
	return few.Permitted(route, service)
}

// ConfigAge returns the time since the store last confirmed the configuration.
func (v *View) ConfigAge() time.Duration { return bootclock.Since(v.ConfigConfirmedAt) }

// ConfigStaleness returns the time since Config was last known to be current.
func (v *View) ConfigStaleness() time.Duration { return bootclock.Since(v.ConfigFreshAt) }

// InstancesAge returns the time since the store last confirmed the registrations.
func (v *View) InstancesAge() time.Duration { return bootclock.Since(v.InstancesConfirmedAt) }

// Age returns the age of the configuration or of the registrations, whichever is greater.
func (v *View) Age() time.Duration { return max(v.ConfigAge(), v.InstancesAge()) }
