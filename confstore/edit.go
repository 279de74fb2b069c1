package confstore

import (
	"context"
	"slices"

	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/selector"
)

// maxRebases bounds how many times an edit is applied, each time to a newer configuration.
const maxRebases = 16

// Edit is a small change to one host, engine or server that commutes with changes
// to others. It is applied to the configuration in force, and again to the newer
// one if another change was accepted in the meantime.
type Edit struct {
	// Kind is "host", "engine" or "server".
	Kind string `json:"kind"`
	Name string `json:"name"`
	// SetLabels are the labels to add or replace.
	SetLabels selector.Labels `json:"setLabels,omitempty"`
	// RemoveLabels are the names of the labels to remove.
	RemoveLabels []string `json:"removeLabels,omitempty"`
	// State is the new state of an engine or server.
	State config.ServerState `json:"state,omitempty"`
	// Role is the new role of an engine.
	Role *engine.Role `json:"role,omitempty"`
	// Address and Host move an engine or server to another address or host.
	Address string `json:"address,omitempty"`
	Host    string `json:"host,omitempty"`
}

// Kinds of objects that an Edit can change.
const (
	KindHost   = "host"
	KindEngine = "engine"
	KindServer = "server"
)

// EditAll applies edits to the configuration in force. Either all of them are
// accepted, as one change, or none.
func (w *Writer) EditAll(ctx context.Context, l *Loader, edits []Edit, ch Change) (StoredHead, error) {
	var err error
	for range maxRebases {
		var base, next StoredHead
		if base, err = ReadHead(ctx, w.store); err != nil {
			return StoredHead{}, err
		}
		var current *config.Compiled
		if current, err = l.Load(ctx, base.Head); err != nil {
			return StoredHead{}, err
		}
		c := cloneForEdit(current.Config)
		for _, e := range edits {
			if err := e.apply(c); err != nil {
				return StoredHead{}, err
			}
		}
		if _, err := config.Compile(c); err != nil {
			return StoredHead{}, err
		}
		next, err = w.Apply(ctx, base, c, ch)
		if !fault.Is(err, fault.Conflict) {
			return next, err
		}
	}
	return StoredHead{}, err
}

// cloneForEdit copies the slices that edits modify and shares the rest.
func cloneForEdit(c *config.Config) *config.Config {
	out := *c
	out.Hosts = slices.Clone(c.Hosts)
	out.Engines = slices.Clone(c.Engines)
	out.Services = slices.Clone(c.Services)
	for i := range out.Services {
		out.Services[i].Servers = slices.Clone(out.Services[i].Servers)
	}
	return &out
}

func (e Edit) apply(c *config.Config) error {
	switch e.Kind {
	case KindHost:
		for i := range c.Hosts {
			if c.Hosts[i].Name == e.Name {
				c.Hosts[i].Labels = e.labels(c.Hosts[i].Labels)
				return nil
			}
		}
	case KindEngine:
		for i := range c.Engines {
			if c.Engines[i].Name == e.Name {
				e.applyEngine(&c.Engines[i])
				return nil
			}
		}
	case KindServer:
		for i := range c.Services {
			for j := range c.Services[i].Servers {
				if s := &c.Services[i].Servers[j]; s.Name == e.Name {
					e.applyServer(s)
					return nil
				}
			}
		}
	default:
		return fault.Newf(fault.Invalid, "use host, engine or server", "unknown kind %q", e.Kind)
	}
	return fault.Newf(fault.NotFound, "check the name with: rockdoor config get", "%s %q does not exist", e.Kind, e.Name)
}

func (e Edit) labels(old selector.Labels) selector.Labels {
	l := selector.Labels{}
	for k, v := range old {
		l[k] = v
	}
	for k, v := range e.SetLabels {
		l[k] = v
	}
	for _, k := range e.RemoveLabels {
		delete(l, k)
	}
	return l
}

func (e Edit) applyEngine(t *config.Engine) {
	t.Labels = e.labels(t.Labels)
	if e.State != "" {
		t.State = e.State
	}
	if e.Role != nil {
		t.Role = *e.Role
	}
	if e.Address != "" {
		t.Address = e.Address
	}
	if e.Host != "" {
		t.Host = e.Host
	}
}

func (e Edit) applyServer(t *config.Server) {
	t.Labels = e.labels(t.Labels)
	if e.State != "" {
		t.State = e.State
	}
	if e.Address != "" {
		t.Address = e.Address
	}
	if e.Host != "" {
		t.Host = e.Host
	}
}
