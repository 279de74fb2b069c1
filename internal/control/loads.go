package control

import (
	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/roles"
	"github.com/rockdoor/rockdoor/routing"
)

// peerLoads sums what peers have outstanding. A peer that is no longer heard
// counts for a while, since its requests may still run. Loads of a peer under
// another configuration are left out, since its indexes mean other targets.
func (l *Loop) peerLoads() map[string]routing.Load {
	loads := map[string]routing.Load{}
	if l.cfg == nil {
		return loads
	}
	for _, c := range l.contacts {
		if bootclock.Since(c.heard) > loadsKeptFor*l.o.Heartbeat || c.loads.GetConfigRevision() != l.head.Revision {
			continue
		}
		v := c.loads.GetLoads()
		for ; len(v) >= loadFields; v = v[loadFields:] {
			if int(v[0]) >= len(l.cfg.TargetNames) {
				continue
			}
			name := l.cfg.TargetNames[v[0]]
			loads[name] = loads[name].Add(routing.Load{Requests: int(v[1]), PrefillTokens: int(v[2]), DecodeTokens: int(v[3])})
		}
	}
	return loads
}

// peerDemand returns what each peer that is heard has admitted to each pool.
func (l *Loop) peerDemand() map[string]map[string]roles.Counter {
	out := map[string]map[string]roles.Counter{}
	for name, c := range l.contacts {
		for _, d := range c.loads.GetDemand() {
			if out[d.GetPool()] == nil {
				out[d.GetPool()] = map[string]roles.Counter{}
			}
			out[d.GetPool()][name+c.incarnation] = roles.Counter{Prefill: d.GetPrefillTokens(), Decode: d.GetDecodeTokens()}
		}
	}
	return out
}

// loadFields is how many numbers a heartbeat has for each target.
const loadFields = 4
