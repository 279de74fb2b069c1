package control

import (
	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/roles"
	"github.com/rockdoor/rockdoor/routing"
)

// peerLoads sums the loads of all peers by target. An unresponsive peer counts for a
// while, since its requests may still be running. Peers under another configuration
// revision are skipped, since their target indexes denote other targets.
func (l *Loop) peerLoads() map[string]routing.Load {
	loads := map[string]routing.Load{}
	if l.cfg == nil {
		return loads
	}
	for _, c := range l.contacts {
		if bootclock.Since(c.lastContact) > loadRetentionIntervals*l.o.Heartbeat || c.lastLoads.GetConfigRevision() != l.head.Revision {
			continue
		}
		v := c.lastLoads.GetLoads()
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

// peerDemand returns the demand that each known peer has admitted, by pool and process.
func (l *Loop) peerDemand() map[string]map[string]roles.Counter {
	out := map[string]map[string]roles.Counter{}
	for name, c := range l.contacts {
		for _, d := range c.lastLoads.GetDemand() {
			if out[d.GetPool()] == nil {
				out[d.GetPool()] = map[string]roles.Counter{}
			}
			out[d.GetPool()][name+c.incarnation] = roles.Counter{Prefill: d.GetPrefillTokens(), Decode: d.GetDecodeTokens()}
		}
	}
	return out
}

// loadFields is the number of values that a heartbeat carries for each target: its index,
// requests, prefill tokens and decode tokens.
const loadFields = 4
