package config

import (
	"strings"
	"sync"

	"github.com/rockdoor/rockdoor/selector"
)

// Built-in labels of every engine and backend server. A configuration that sets a
// label of the same name is rejected.
const (
	LabelDomain = "domain"
	LabelHost   = "host"
	LabelServer = "server"
	LabelPool   = "pool"
)

// Target is an engine or a backend server, with the settings that routing needs.
type Target struct {
	Name     string
	Host     string
	Domain   string
	Address  string
	State    ServerState
	Capacity int
	// Labels are the labels of the host and of the target, merged, with the
	// built-in ones.
	Labels selector.Labels
	// Engine is nil for a backend server.
	Engine *Engine
}

// CompiledModel is a model with the engines of its pool.
type CompiledModel struct {
	Model
	// Engines are all engines of the pool; Rules permit some of them.
	Engines []*Target
	// Rules are the selectors of the pool and of the model.
	Rules selector.All
}

// CompiledRoute is a route with the servers of its service. Rules, the selectors
// of the service and of the route, permit some of them.
type CompiledRoute struct {
	Route
	Servers []*Target
	Rules   selector.All
}

// CompiledWorkspace is a workspace with its selectors parsed.
type CompiledWorkspace struct {
	Workspace
	Rules selector.All
	Entry selector.Selector
}

// Compiled is a validated configuration in the form that routing uses. It is
// immutable.
type Compiled struct {
	Config  *Config
	Hosts   map[string]*Host
	Pools   map[string]*Pool
	Targets map[string]*Target
	// TargetNames are the sorted names of all targets. TargetIndex is the index of
	// each name in TargetNames.
	TargetNames []string
	TargetIndex map[string]int
	Models      map[string]*CompiledModel
	Routes      []*CompiledRoute // longest path first
	Workspaces  map[string]*CompiledWorkspace
	byKey       map[string]*CompiledWorkspace
	permitted   sync.Map // cache of Permitted: permittedKey to []*Target
}

type permittedKey struct {
	class string
	rules uint64
}

// Permitted returns the result of find, which is the targets that the rules permit
// for a class of requests, such as a model or route. The result is cached for the
// lifetime of the configuration and never evicted, so the rules must come from the
// configuration, which has few different ones.
func (c *Compiled) Permitted(class string, rules selector.All, find func() []*Target) []*Target {
	key := permittedKey{class, rules.Hash()}
	if v, ok := c.permitted.Load(key); ok {
		return v.([]*Target)
	}
	found := find()
	c.permitted.Store(key, found)
	return found
}

// WorkspaceByKey returns the workspace of an API key, or nil if there is none. The
// digest is the SHA-256 of the key in hexadecimal.
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

// HostLabels returns the labels of a host, including the built-in ones, or nil if
// the host does not exist.
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
