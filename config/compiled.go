package config

import (
	"strings"
	"sync"

	"github.com/rockdoor/rockdoor/selector"
)

// Labels that every engine and backend server has besides those of the
// operator. An operator's label of the same name is refused.
const (
	LabelDomain = "domain"
	LabelHost   = "host"
	LabelServer = "server"
	LabelPool   = "pool"
)

// Target is an engine or a backend server with everything that routing needs.
type Target struct {
	Name     string
	Host     string
	Domain   string
	Address  string
	State    ServerState
	Capacity int
	// Labels are the merged labels of host and target.
	Labels selector.Labels
	// Engine is nil for a backend server.
	Engine *Engine
}

// CompiledModel is a model with the engines that its rules permit.
type CompiledModel struct {
	Model
	// Engines are permitted by the pool's and the model's selector.
	Engines []*Target
	Rules   selector.All
}

// CompiledRoute is a route with the servers that its rules permit.
type CompiledRoute struct {
	Route
	Servers []*Target
	Rules   selector.All
}

// CompiledWorkspace is a workspace with parsed selectors.
type CompiledWorkspace struct {
	Workspace
	Rules selector.All
	Entry selector.Selector
}

// Compiled is a configuration in the form that routing reads. It is immutable.
type Compiled struct {
	Config  *Config
	Hosts   map[string]*Host
	Pools   map[string]*Pool
	Targets map[string]*Target
	// TargetNames are the names of all targets in order, and TargetIndex the
	// place of each name in them.
	TargetNames []string
	TargetIndex map[string]int
	Models      map[string]*CompiledModel
	Routes      []*CompiledRoute // longest path first
	Workspaces  map[string]*CompiledWorkspace
	byKey       map[string]*CompiledWorkspace
	permitted   sync.Map // permitKey to []*Target
}

type permitKey struct {
	class string
	rules uint64
}

// Permitted returns the targets that find returns for a model or route under
// rules, and remembers them, since a configuration does not change. Only rules
// that come from the configuration may be given, of which there are few.
func (c *Compiled) Permitted(class string, rules selector.All, find func() []*Target) []*Target {
	key := permitKey{class, rules.Hash()}
	if v, ok := c.permitted.Load(key); ok {
		return v.([]*Target)
	}
	found := find()
	c.permitted.Store(key, found)
	return found
}

// WorkspaceByKey returns the workspace that owns an API key, given the SHA-256
// of the key in hexadecimal, or nil.
func (c *Compiled) WorkspaceByKey(digest string) *CompiledWorkspace { return c.byKey[digest] }

// RouteFor returns the route with the longest path prefix of path, or nil.
func (c *Compiled) RouteFor(path string) *CompiledRoute {
	for _, r := range c.Routes {
		if strings.HasPrefix(path, r.Path) {
			return r
		}
	}
	return nil
}

// HostLabels returns the labels of a host with its built-in ones.
func (c *Compiled) HostLabels(name string) selector.Labels {
	h := c.Hosts[name]
	if h == nil {
		return nil
	}
	return hostLabels(h)
}

func hostLabels(h *Host) selector.Labels {
	l := selector.Labels{}
	for k, v := range h.Labels {
		l[k] = v
	}
	l[LabelHost] = h.Name
	l[LabelDomain] = h.Domain
	return l
}
