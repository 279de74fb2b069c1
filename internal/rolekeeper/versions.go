package rolekeeper

import (
	"maps"
	"time"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/roles"
)

// streamTime is how long clients may resume the streams of a software version of which no engine decodes any more.
const streamTime = 15 * time.Second

// softwareVersion is a version of the engines' program in a service.
type softwareVersion struct{ service, software string }

// decodingEngines returns the number of engines of each software version that decode.
func decodingEngines(v *fleet.View, in roles.Input) map[string]int {
	out := map[string]int{}
	for _, e := range in.Engines {
		if i := v.Instances[e.Name]; i != nil {
			out[i.Software] += decodes(e)
		}
	}
	return out
}

func decodes(e roles.Engine) int {
	if e.Role == engine.RolePrefill {
		return 0
	}
	return 1
}

// keepVersions lets no engine change its role that is the last one of its version to decode, while there are several versions: a
// stream continues only at the version that began it.
func (k *Keeper) keepVersions(v *fleet.View, service string, in roles.Input) {
	decoding := decodingEngines(v, in)
	maps.DeleteFunc(k.generatedAt, func(_ softwareVersion, at time.Time) bool { return in.Now.Sub(at) > streamTime })
	for software, n := range decoding {
		if n > 0 {
			k.generatedAt[softwareVersion{service, software}] = in.Now
		}
	}
	if len(decoding) < 2 {
		return
	}
	for n := range in.Engines {
		e := &in.Engines[n]
		if i := v.Instances[e.Name]; i != nil && decodes(*e) == 1 && decoding[i.Software] == 1 {
			e.Movable = false
		}
	}
}

// restoreVersion returns a change that lets a prefill engine decode if all engines of its version that did so were lost while
// their streams may be resumed, nil if there is none.
func (k *Keeper) restoreVersion(v *fleet.View, service string, in roles.Input) *roles.Change {
	decoding := decodingEngines(v, in)
	for _, e := range in.Engines {
		i := v.Instances[e.Name]
		if i == nil || !e.Movable || decoding[i.Software] > 0 {
			continue
		}
		if at, ok := k.generatedAt[softwareVersion{service, i.Software}]; ok && in.Now.Sub(at) <= streamTime {
			return &roles.Change{Engine: e.Name, From: engine.RolePrefill, To: engine.RoleMixed, Reason: "no other engine of version " + i.Software + " decodes, and its streams may be resumed"}
		}
	}
	return nil
}
