package config

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/rockdoor/rockdoor/jsonc"
	"github.com/rockdoor/rockdoor/selector"
)

// compiler builds a Compiled and collects the problems that it finds.
type compiler struct {
	cfg *Config
	doc *jsonc.Document
	out *Compiled
	ps  jsonc.Problems
}

// Compile validates and compiles a configuration that does not come from a file,
// such as one read from the store or modified by an edit.
func Compile(c *Config) (*Compiled, error) {
	out, ps := compile(c, &jsonc.Document{})
	return out, ps.Err()
}

func compile(c *Config, doc *jsonc.Document) (*Compiled, jsonc.Problems) {
	b := &compiler{cfg: c, doc: doc, out: &Compiled{
		Config:     c,
		Hosts:      map[string]*Host{},
		Pools:      map[string]*Pool{},
		Targets:    map[string]*Target{},
		Models:     map[string]*CompiledModel{},
		Workspaces: map[string]*CompiledWorkspace{},
		byKey:      map[string]*CompiledWorkspace{},
	}}
	b.hosts()
	b.pools()
	b.engines()
	b.models()
	b.routes(b.services())
	b.workspaces()
	b.indexTargets()
	return b.out, b.ps
}

func (b *compiler) indexTargets() {
	b.out.TargetNames = slices.Sorted(maps.Keys(b.out.Targets))
	b.out.TargetIndex = make(map[string]int, len(b.out.TargetNames))
	for i, name := range b.out.TargetNames {
		b.out.TargetIndex[name] = i
	}
}

func (b *compiler) problem(msg, remedy string, pointer ...string) {
	b.ps = append(b.ps, b.doc.Problem(jsonc.Pointer(pointer...), msg, remedy))
}

func (b *compiler) duplicate(kind, name string, pointer ...string) {
	b.problem(kind+" "+strconv.Quote(name)+" is defined twice", "rename one of them or remove it", pointer...)
}

func (b *compiler) undefined(kind, name string, pointer ...string) {
	b.problem(kind+" "+strconv.Quote(name)+" does not exist", "define it or correct the name", pointer...)
}

// selector parses a selector and returns rules with it appended. It returns rules
// unchanged if the selector is empty or invalid.
func (b *compiler) selector(rules selector.All, rule, text string, pointer ...string) selector.All {
	s, err := selector.Parse(text)
	if err != nil {
		b.problem(err.Error(), "correct the selector", pointer...)
		return rules
	}
	if s.Empty() {
		return rules
	}
	return append(rules, selector.Named{Rule: rule, Selector: s})
}

func (b *compiler) labels(l selector.Labels, pointer ...string) {
	for _, k := range []string{LabelDomain, LabelHost, LabelServer, LabelPool} {
		if _, ok := l[k]; ok {
			b.problem("label "+k+" is set by rockdoor", "use another name", append(pointer, k)...)
		}
	}
	for k := range l {
		if _, err := selector.Parse(k); err != nil {
			b.problem("label name "+strconv.Quote(k)+" cannot be used in a selector", "use letters, digits, '-', '_' and '.'", append(pointer, k)...)
		}
	}
}

func (b *compiler) hosts() {
	for i := range b.cfg.Hosts {
		h := &b.cfg.Hosts[i]
		at := []string{"hosts", strconv.Itoa(i)}
		if b.out.Hosts[h.Name] != nil {
			b.duplicate("host", h.Name, append(at, "name")...)
			continue
		}
		b.labels(h.Labels, append(at, "labels")...)
		b.out.Hosts[h.Name] = h
	}
}

func (b *compiler) pools() {
	for i := range b.cfg.Pools {
		p := &b.cfg.Pools[i]
		if b.out.Pools[p.Name] != nil {
			b.duplicate("pool", p.Name, "pools", strconv.Itoa(i), "name")
			continue
		}
		b.out.Pools[p.Name] = p
	}
}

func (b *compiler) engines() {
	for i := range b.cfg.Engines {
		e := &b.cfg.Engines[i]
		at := []string{"engines", strconv.Itoa(i)}
		if b.out.Pools[e.Pool] == nil {
			b.undefined("pool", e.Pool, append(at, "pool")...)
		}
		t := b.target(e.Name, e.Host, e.Address, e.Labels, at)
		if t == nil {
			continue
		}
		t.Labels[LabelPool] = e.Pool
		t.State, t.Capacity, t.Engine = e.State, e.Capacity, e
	}
}

// target adds an engine or backend server. It returns nil if the name is taken or
// the host does not exist.
func (b *compiler) target(name, host, address string, labels selector.Labels, at []string) *Target {
	at = slices.Clip(at)
	if b.out.Targets[name] != nil {
		b.duplicate("engine or backend server", name, append(at, "name")...)
		return nil
	}
	b.labels(labels, append(at, "labels")...)
	if _, err := netip.ParseAddrPort(address); err != nil {
		b.problem("address "+strconv.Quote(address)+" is not an IP address and port", "write it like 10.0.0.1:8000", append(at, "address")...)
	}
	h := b.out.Hosts[host]
	if h == nil {
		b.undefined("host", host, append(at, "host")...)
		return nil
	}
	t := &Target{Name: name, Host: host, Domain: h.Domain, Address: address, Labels: hostLabels(h)}
	for k, v := range labels {
		t.Labels[k] = v
	}
	t.Labels[LabelServer] = name
	b.out.Targets[name] = t
	return t
}

func (b *compiler) models() {
	poolRules := map[string]selector.All{}
	members := map[string][]*Target{}
	for i := range b.cfg.Engines {
		e := &b.cfg.Engines[i]
		if t := b.out.Targets[e.Name]; t != nil && t.Engine == e {
			members[e.Pool] = append(members[e.Pool], t)
		}
	}
	for i, p := range b.cfg.Pools {
		at := []string{"pools", strconv.Itoa(i), "selector"}
		poolRules[p.Name] = b.selector(nil, "pool "+p.Name, p.Selector, at...)
		b.mustMatch(members[p.Name], poolRules[p.Name], "engine of pool "+p.Name, at...)
	}
	for i, m := range b.cfg.Models {
		at := []string{"models", strconv.Itoa(i)}
		if b.out.Models[m.Name] != nil {
			b.duplicate("model", m.Name, append(at, "name")...)
			continue
		}
		if b.out.Pools[m.Pool] == nil {
			b.undefined("pool", m.Pool, append(at, "pool")...)
			continue
		}
		rules := b.selector(slices.Clip(poolRules[m.Pool]), "model "+m.Name, m.Selector, append(at, "selector")...)
		if len(rules) > len(poolRules[m.Pool]) {
			b.mustMatch(members[m.Pool], rules, "engine of pool "+m.Pool, append(at, "selector")...)
		}
		b.out.Models[m.Name] = &CompiledModel{Model: m, Rules: rules, Engines: members[m.Pool]}
	}
}

// mustMatch records a problem if there are rules and they permit none of the targets.
func (b *compiler) mustMatch(targets []*Target, rules selector.All, what string, pointer ...string) {
	if len(rules) == 0 {
		return
	}
	for _, t := range targets {
		if _, rejected := rules.Rejects(t.Labels); !rejected {
			return
		}
	}
	b.problem("selector matches no "+what, "correct the selector or label the hosts or servers that it should match", pointer...)
}

// services compiles the services. It returns, by service name, the rules and servers
// from which the routes to that service are compiled.
func (b *compiler) services() map[string]*CompiledRoute {
	byName := map[string]*CompiledRoute{}
	for i, s := range b.cfg.Services {
		at := []string{"services", strconv.Itoa(i)}
		if byName[s.Name] != nil {
			b.duplicate("service", s.Name, append(at, "name")...)
			continue
		}
		r := &CompiledRoute{Rules: b.selector(nil, "service "+s.Name, s.Selector, append(at, "selector")...)}
		for j := range s.Servers {
			srv := &s.Servers[j]
			t := b.target(srv.Name, srv.Host, srv.Address, srv.Labels, append(slices.Clip(at), "servers", strconv.Itoa(j)))
			if t != nil {
				t.State, t.Capacity = srv.State, srv.Capacity
				r.Servers = append(r.Servers, t)
			}
		}
		b.mustMatch(r.Servers, r.Rules, "server of service "+s.Name, append(at, "selector")...)
		byName[s.Name] = r
	}
	return byName
}

func (b *compiler) routes(services map[string]*CompiledRoute) {
	seen := map[string]bool{}
	for i, r := range b.cfg.Routes {
		at := []string{"routes", strconv.Itoa(i)}
		svc := services[r.Service]
		switch {
		case svc == nil:
			b.undefined("service", r.Service, append(at, "service")...)
			continue
		case seen[r.Path]:
			b.duplicate("route", r.Path, append(at, "path")...)
			continue
		case strings.HasPrefix(r.Path, "/v1/") || r.Path == "/v1":
			b.problem("paths below /v1/ belong to the completion API", "use another path", append(at, "path")...)
			continue
		}
		seen[r.Path] = true
		rules := b.selector(slices.Clip(svc.Rules), "route "+r.Path, r.Selector, append(at, "selector")...)
		if len(rules) > len(svc.Rules) {
			b.mustMatch(svc.Servers, rules, "server of service "+r.Service, append(at, "selector")...)
		}
		b.out.Routes = append(b.out.Routes, &CompiledRoute{Route: r, Rules: rules, Servers: svc.Servers})
	}
	slices.SortFunc(b.out.Routes, func(x, y *CompiledRoute) int { return cmp.Compare(len(y.Path), len(x.Path)) })
}

func (b *compiler) workspaces() {
	// There are many workspaces but few different selectors, so each pair of
	// Selector and EntrySelector is parsed and checked only once.
	type parsed struct {
		rules selector.All
		entry selector.Selector
	}
	cache := map[[2]string]parsed{}
	for i, w := range b.cfg.Workspaces {
		if b.out.Workspaces[w.Name] != nil {
			b.duplicate("workspace", w.Name, "workspaces", strconv.Itoa(i), "name")
			continue
		}
		id := [2]string{w.Selector, w.EntrySelector}
		p, ok := cache[id]
		if !ok {
			p.rules, p.entry = b.workspaceRules(w, i)
			cache[id] = p
		}
		cw := &CompiledWorkspace{Workspace: w, Rules: p.rules, Entry: p.entry}
		b.out.Workspaces[w.Name] = cw
		for j, k := range w.Keys {
			if b.out.byKey[k] != nil {
				b.duplicate("key", k[:8]+"…", "workspaces", strconv.Itoa(i), "keys", strconv.Itoa(j))
			}
			b.out.byKey[k] = cw
		}
	}
}

func (b *compiler) workspaceRules(w Workspace, i int) (selector.All, selector.Selector) {
	at := []string{"workspaces", strconv.Itoa(i), "selector"}
	rules := b.selector(nil, "workspace", w.Selector, at...)
	targets := make([]*Target, 0, len(b.out.Targets))
	for _, t := range b.out.Targets {
		targets = append(targets, t)
	}
	b.mustMatch(targets, rules, "engine or backend server", at...)
	at = []string{"workspaces", strconv.Itoa(i), "entrySelector"}
	entry, err := selector.Parse(w.EntrySelector)
	if err != nil {
		b.problem(err.Error(), "correct the selector", at...)
		return rules, entry
	}
	if entry.Empty() {
		return rules, entry
	}
	for _, h := range b.out.Hosts {
		if entry.Matches(hostLabels(h)) {
			return rules, entry
		}
	}
	b.problem("selector matches no host", "correct the selector or label the hosts that it should match", at...)
	return rules, entry
}
