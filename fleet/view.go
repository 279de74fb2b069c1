package fleet

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore"
)

// View is what a process believes at one moment. It is immutable.
type View struct {
	// Config is nil until the first configuration is known.
	Config *Config
	// ConfigConfirmedAt and InstancesAt are when the store last confirmed that there was
	// nothing newer.
	ConfigConfirmedAt    bootclock.Instant
	InstancesConfirmedAt bootclock.Instant
	// ConfigFreshAt is the latest time of which it is proven that Config was the newest then: a
	// question was sent to the store, and its answer said so. An answer that was long on its
	// way proves nothing of the time in which it arrived.
	ConfigFreshAt bootclock.Instant
	// InstancesRevision is the store's revision up to which the registrations are known.
	InstancesRevision objstore.Revision
	// InstancesKnown is true once the registrations have been read for the first time.
	InstancesKnown bool
	// Partial is true once a scheduler has told the configuration and the rules: it places requests, and names
	// the instances, before the registrations are known here.
	Partial bool
	// FullSnapshotAt is from when on the registrations are copied then, 0 if there is no wait.
	FullSnapshotAt bootclock.Instant
	// Instances has every registered instance by its ID.
	Instances map[string]*Instance
	Rules     *Rules
	// Processes is how many processes of the product are registered.
	Processes int
	// Schedulers work for the others, Watchers are those of them that watch the store, and
	// Scheduling is true if this process is a scheduler. Mesh are the schedulers, and those
	// whose place another one has taken for as long as they are silent: all that tell each
	// other of their work.
	Schedulers  []members.Member
	Watchers    []members.Member
	GossipPeers []members.Member
	Scheduling  bool
	// StoreUp is false while the store does not answer.
	StoreUp bool
	// Era counts how often the store has come back from an older copy, 0 if it does not say.
	Era int64

	usable map[string][]*Instance
	pools  *pools
}

// Index prepares the view for look-ups. It is called once, before the view is
// published.
func (v *View) Index() {
	v.usable, v.pools = map[string][]*Instance{}, newPools()
	for _, i := range v.Instances {
		if !i.Draining {
			v.usable[i.Service] = append(v.usable[i.Service], i)
		}
	}
	for _, all := range v.usable {
		slices.SortFunc(all, byID)
	}
}

// IndexChanges does what Index does, from a view before of whose instances only those changed that
// changed names, by their IDs. It copies Instances if any did, and else shares those of before.
func (v *View) IndexChanges(before *View, changed map[string]bool) {
	if len(changed) == 0 {
		v.Instances, v.usable, v.pools = before.Instances, before.usable, before.pools
		if v.Rules != before.Rules {
			v.pools = newPools()
		}
		return
	}
	v.Instances = maps.Clone(v.Instances)
	v.usable, v.pools = maps.Clone(before.usable), newPools()
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

// mergeUsable returns the usable instances of a service: those of before, but for the changed ones, which
// are as they are now. The IDs of these are in order.
func (v *View) mergeUsable(service string, changed []string) []*Instance {
	old := v.usable[service]
	out := make([]*Instance, 0, len(old)+len(changed))
	for _, id := range changed {
		n, found := slices.BinarySearchFunc(old, id, compareID)
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

func byID(a, b *Instance) int { return cmp.Compare(a.ID, b.ID) }

func compareID(i *Instance, id string) int { return strings.Compare(i.ID, id) }

// Usable returns the instances of a service that take new requests, in the
// order of their IDs.
func (v *View) Usable(service string) []*Instance { return v.usable[service] }

// Permitted returns the usable instances of a service at which the rules permit
// requests of the route, in the order of their IDs.
func (v *View) Permitted(route, service string) []*Instance { return v.Pool(route, service).All }

// Accepts reports whether an instance still takes new requests of the service.
func (v *View) Accepts(service, id string) bool {
	i := v.Instances[id]
	return i != nil && !i.Draining && i.Service == service
}

// StoppedAccepting reports whether an instance is known to take no new requests of the service any more.
func (v *View) StoppedAccepting(service, id string) bool {
	return v.InstancesKnown && !v.Accepts(service, id)
}

// Complete reports whether the view suffices to decide where requests run.
func (v *View) Complete() bool { return v.Config != nil && v.InstancesKnown }

// Ready reports whether the view suffices to serve requests.
func (v *View) Ready() bool { return v.Complete() || v.Config != nil && v.Partial && !v.Scheduling }

// FilterPermitted returns those of some instances that take requests of the service and at which the rules permit
// requests of the route, in the order of their IDs.
func (v *View) FilterPermitted(route, service string, instances []*Instance) []*Instance {
	few := View{Config: v.Config, Rules: v.Rules, Instances: map[string]*Instance{}}
	for _, i := range instances {
		few.Instances[i.ID] = i
	}
	few.Index()
	return few.Permitted(route, service)
}

// ConfigAge returns how long ago the store confirmed the configuration.
func (v *View) ConfigAge() time.Duration { return bootclock.Since(v.ConfigConfirmedAt) }

// ConfigStaleness returns how old the proof is that Config is the newest one.
func (v *View) ConfigStaleness() time.Duration { return bootclock.Since(v.ConfigFreshAt) }

// InstancesAge returns how long ago the store confirmed the registrations.
func (v *View) InstancesAge() time.Duration { return bootclock.Since(v.InstancesConfirmedAt) }

// Age returns how long ago the store confirmed what it confirmed longest ago.
func (v *View) Age() time.Duration { return max(v.ConfigAge(), v.InstancesAge()) }
