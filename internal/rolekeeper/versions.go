package rolekeeper

import (
	"maps"
	"slices"
	"time"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/roles"
)

// streamTime is how long clients may resume the streams of a software version of which no engine decodes any more.
const streamTime = 15 * time.Second

// softwareVersion is a version of the engines' program in a service.
type softwareVersion struct{ service, software string }

// versionCount is the number of engines of one software version that decode.
type versionCount struct {
	software string
	decoding int
}

// versionCounts has an entry for each version, also for those of which all engines prefill. There are few.
type versionCounts []versionCount

// add counts an engine.
func (c *versionCounts) add(software string, role engine.Role) {
	n := slices.IndexFunc(*c, func(v versionCount) bool { return v.software == software })
	if n < 0 {
		*c, n = append(*c, versionCount{software: software}), len(*c)
	}
	if role != engine.RolePrefill {
		(*c)[n].decoding++
	}
}

// decoding returns the number of engines of a version that decode.
func (c versionCounts) decoding(software string) int {
	n := slices.IndexFunc(c, func(v versionCount) bool { return v.software == software })
	return c[n].decoding
}

// keepVersions lets no engine change its role that is the last one of its version to decode, while there are several versions: a
// stream continues only at the version that began it.
func (k *Keeper) keepVersions(v *fleet.View, service string, in roles.Input) {
	maps.DeleteFunc(k.decodedAt, func(_ softwareVersion, at time.Time) bool { return in.Now.Sub(at) > streamTime })
	for _, c := range k.versions {
		if c.decoding > 0 {
			k.decodedAt[softwareVersion{service, c.software}] = in.Now
		}
	}
	if len(k.versions) < 2 {
		return
	}
	for n := range in.Engines {
		e := &in.Engines[n]
		if e.Role != engine.RolePrefill && k.versions.decoding(v.Instances[e.Name].Software) == 1 {
			e.Movable = false
		}
	}
}

// restoreVersion returns a change that lets a prefill engine decode if all engines of its version that did so were lost while
// their streams may be resumed, nil if there is none.
func (k *Keeper) restoreVersion(v *fleet.View, service string, in roles.Input) *roles.Change {
	for _, c := range k.versions {
		at, decoded := k.decodedAt[softwareVersion{service, c.software}]
		if c.decoding > 0 || !decoded || in.Now.Sub(at) > streamTime {
			continue
		}
		for _, e := range in.Engines {
			if e.Movable && v.Instances[e.Name].Software == c.software {
				return &roles.Change{Engine: e.Name, From: engine.RolePrefill, To: engine.RoleMixed, Reason: "no other engine of version " + c.software + " decodes, and its streams may be resumed"}
			}
		}
	}
	return nil
}
