package controller

import (
	"context"
	"time"

	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/internal/control"
	"github.com/rockdoor/rockdoor/roles"
	"github.com/rockdoor/rockdoor/selector"
)

// planner holds the role policy of a pool and the policy's state.
type planner struct {
	name   string
	policy roles.Policy
	meter  roles.Meter
}

// plan returns the role change that the pool's policy decides on, or nil.
func (c *controller) plan(ctx context.Context, s *control.Snapshot) *roles.Change {
	set := s.Config.Pools[c.pool].Roles
	if c.planner.policy == nil || c.planner.name != set.Policy {
		p, err := roles.New(set.Policy)
		if err != nil {
			p, _ = roles.New(roles.Manual)
		}
		c.planner.name, c.planner.policy = set.Policy, p
	}
	now := time.Now()
	in := roles.Input{
		Now:     now,
		Demand:  c.planner.meter.Update(now, c.counters(s), c.sampleScale(s)),
		Engines: c.engineStates(ctx, s),
		Weights: roles.Weights{Goodput: set.GoodputWeight, Change: set.ChangeWeight},
	}
	return c.planner.policy.Decide(in)
}

// counters returns the demand that this process and each known peer have admitted.
func (c *controller) counters(s *control.Snapshot) map[string]roles.Counter {
	out := map[string]roles.Counter{}
	for process, n := range s.Demand[c.pool] {
		out[process] = n
	}
	c.m.o.Tracker.Demand.Each(func(pool string, prefill, decode uint64) {
		if pool == c.pool {
			out[c.m.o.Self.Name+c.m.o.Self.Incarnation] = roles.Counter{Prefill: prefill, Decode: decode}
		}
	})
	return out
}

// sampleScale returns the ratio of live processes to those whose demand is known, by
// which the known demand is extrapolated.
func (c *controller) sampleScale(s *control.Snapshot) float64 {
	known := 0
	for _, m := range s.Members {
		if m.Self || m.LastContact != 0 {
			known++
		}
	}
	return max(1, float64(s.Serving)/float64(max(known, 1)))
}

// engineStates returns the active engines of the pool that report a status.
func (c *controller) engineStates(ctx context.Context, s *control.Snapshot) []roles.Engine {
	var out []roles.Engine
	set := s.Config.Pools[c.pool].Roles
	for _, e := range c.engines(s) {
		if e.State != config.Active {
			continue
		}
		st, err := c.status(ctx, e.Address)
		if err != nil {
			continue
		}
		last := s.Orders[e.Name]
		if last.Open() && last.Order.Kind == engine.OrderRole {
			st.Role = last.Order.Role // counts as changed already, so that the policy does not order the same change again
		}
		load := s.PeerLoads[e.Name].Add(c.m.o.Tracker.Load(e.Name))
		out = append(out, roles.Engine{
			Name: e.Name, Domain: s.Config.Targets[e.Name].Domain, Role: st.Role, Requests: load.Requests, PrefillTokens: load.PrefillTokens,
			Movable: e.Role == "" && !st.Changing && c.domainIsFree(s, e.Name) && time.Since(last.Since) >= set.MinDwell.Std() &&
				(st.Role == engine.RolePrefill || c.canStopServing(s, e.Name)),
		})
	}
	return out
}

// canStopServing reports whether an engine may stop serving client requests, that is,
// become a prefill engine. For every model of the pool and the rules of every workspace
// that permit the engine, another engine must remain that serves client requests. At
// least one model must be able to use the engine.
func (c *controller) canStopServing(s *control.Snapshot, name string) bool {
	t := s.Config.Targets[name]
	useful := false
	for _, m := range s.Config.Models {
		if m.Pool != c.pool {
			continue
		}
		for _, rules := range workspaceRules(s.Config) {
			all := append(m.Rules[:len(m.Rules):len(m.Rules)], rules...)
			if _, rejected := all.Rejects(t.Labels); rejected {
				continue
			}
			useful = true
			if !c.otherEngineServes(s, m.Engines, all, name) {
				return false
			}
		}
	}
	return useful
}

// otherEngineServes reports whether an engine other than the named one is permitted by
// the rules and serves client requests.
func (c *controller) otherEngineServes(s *control.Snapshot, engines []*config.Target, rules selector.All, name string) bool {
	for _, t := range engines {
		if t.Name == name || t.State != config.Active || !s.Available(t) || s.Reports[t.Name].Status.Role == engine.RolePrefill {
			continue
		}
		if _, rejected := rules.Rejects(t.Labels); !rejected {
			return true
		}
	}
	return false
}

// workspaceRules returns the distinct rules of all workspaces.
func workspaceRules(c *config.Compiled) []selector.All {
	seen := map[string]bool{}
	var out []selector.All
	for _, w := range c.Workspaces {
		if !seen[w.Selector] {
			seen[w.Selector] = true
			out = append(out, w.Rules)
		}
	}
	return out
}
