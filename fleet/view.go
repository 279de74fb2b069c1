package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore"
)

// View is what a process believes at one moment. It is immutable.
type View struct {
	// Config is nil until the first configuration is known.
	Config *Config
	// ConfigAt and InstancesAt are when the store last confirmed that there was
	// nothing newer.
	ConfigAt    bootclock.Instant
	InstancesAt bootclock.Instant
	// ProvenAt is the latest time of which it is proven that Config was the newest then: a
	// question was sent to the store, and its answer said so. An answer that was long on its
	// way proves nothing of the time in which it arrived.
	ProvenAt bootclock.Instant
	// InstancesRevision is the store's revision up to which the registrations are known.
	InstancesRevision objstore.Revision
	// Listed is true once the registrations have been read for the first time.
	Listed bool
	// Instances has every registered instance by its ID.
	Instances map[string]*Instance
	Rules     *Rules
	// Processes is how many processes of the product are registered.
	Processes int
	// Schedulers work for the others, Watchers are those of them that watch the store, and
	// Scheduling is true if this process is a scheduler. Mesh are the schedulers, and those
	// whose place another one has taken for as long as they are silent: all that tell each
	// other of their work.
	Schedulers []members.Member
	Watchers   []members.Member
	Mesh       []members.Member
	Scheduling bool
	// StoreUp is false while the store does not answer.
	StoreUp bool
	// Era counts how often the store has come back from an older copy, 0 if it does not say.
	Era int64

	usable map[string][]*Instance
}

// Index prepares the view for look-ups. It is called once, before the view is
// published.
func (v *View) Index() {
	v.usable = map[string][]*Instance{}
	for _, i := range v.Instances {
		if !i.Draining {
			v.usable[i.Service] = append(v.usable[i.Service], i)
		}
	}
	for _, all := range v.usable {
		slices.SortFunc(all, func(a, b *Instance) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// Usable returns the instances of a service that take new requests, in the
// order of their IDs.
func (v *View) Usable(service string) []*Instance { return v.usable[service] }

// Permitted returns the usable instances of a service at which the rules permit
// requests of the route.
func (v *View) Permitted(route, service string) []*Instance {
	all := v.usable[service]
	if v.Rules == nil {
		return all
	}
	out := make([]*Instance, 0, len(all))
	for _, i := range all {
		if _, ok := v.Rules.Permits(route, i); ok {
			out = append(out, i)
		}
	}
	return out
}

// Takes reports whether an instance still takes new requests of the service.
func (v *View) Takes(service, id string) bool {
	i := v.Instances[id]
	return i != nil && !i.Draining && i.Service == service
}

// Ready reports whether the view suffices to serve requests.
func (v *View) Ready() bool { return v.Config != nil && v.Listed }

// ConfigAge returns how long ago the store confirmed the configuration.
func (v *View) ConfigAge() time.Duration { return bootclock.Since(v.ConfigAt) }

// ProofAge returns how old the proof is that Config is the newest one.
func (v *View) ProofAge() time.Duration { return bootclock.Since(v.ProvenAt) }

// InstancesAge returns how long ago the store confirmed the registrations.
func (v *View) InstancesAge() time.Duration { return bootclock.Since(v.InstancesAt) }

// Age returns how long ago the store confirmed what it confirmed longest ago.
func (v *View) Age() time.Duration { return max(v.ConfigAge(), v.InstancesAge()) }
