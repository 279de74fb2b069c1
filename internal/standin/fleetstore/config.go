package fleetstore

import "cmp"

import "time"

// Kinds of objects that the operator and the instances write.
const (
	kindConfig    = "config"
	kindInstances = "servers"
	// configName is the name of the only object of kind config.
	configName = "main"
)

const (
	// healthPath is the health check path of all services.
	healthPath = "/healthz"
	// kvCapacityTokens and handleTTLSeconds are the size of an engine's KV cache and the time for
	// which it keeps a prefilled prompt. The values are those of the platform's own sample.
	kvCapacityTokens = 305000
	handleTTLSeconds = 5
	// maxBodyBytes is the limit on the body of a request.
	maxBodyBytes = 4 << 20
)

// RouteKind is the type of a route, which decides whether a failed request may be retried.
type RouteKind string

// Kinds of routes.
const (
	// Unsafe requests must run at most once.
	Unsafe RouteKind = "unsafe"
	// Safe requests may run more than once.
	Safe RouteKind = "safe"
	// Streaming requests have a stream of events as their response.
	Streaming RouteKind = "streaming"
)

// Route is a route of a configuration.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	Kind    RouteKind
	Timeout time.Duration
	// Latency is the target for the time to the first byte, Gap that for the time between two
	// events. A Gap of 0 is omitted.
	Latency, Gap time.Duration
	Attempts     int
	// Rank is the priority of the route, omitted if it is 0.
	Rank                int
	Resumable, Affinity bool
}

func (r *Route) wire() map[string]any {
	out := map[string]any{
		"name": r.Name, "hostname": r.Host, "path_prefix": r.Prefix, "type": r.Kind, "service": r.Service,
		"timeout_ms": r.Timeout.Milliseconds(), "target_latency_ms": r.Latency.Milliseconds(), "max_attempts": r.Attempts,
	}
	if r.Gap > 0 {
		out["target_gap_ms"] = r.Gap.Milliseconds()
	}
	if r.Rank > 0 {
		out["priority"] = r.Rank
	}
	if r.Resumable {
		out["resumable"] = true
	}
	if r.Affinity {
		out["session_affinity"] = true
	}
	return out
}

// Service is a service of a configuration.
type Service struct {
	Name        string
	Connections int
	// RoleChange is the time that an engine needs to change its role, 0 for backend servers.
	RoleChange time.Duration
}

func (s *Service) wire() map[string]any {
	out := map[string]any{"name": s.Name, "health_path": healthPath, "max_connections": s.Connections}
	if s.RoleChange > 0 {
		out["engine"] = map[string]any{
			"kv_capacity_tokens": kvCapacityTokens, "handle_ttl_s": handleTTLSeconds, "reconfigure_s": s.RoleChange.Seconds(),
		}
	}
	return out
}

// Workspace is a workspace of a configuration, with the API keys of its clients.
type Workspace struct {
	Name string
	Keys []string
}

// Configuration is the configuration that the operator writes.
type Configuration struct {
	Version  int
	Routes   []Route
	Services []Service
	// Workspaces are omitted if there are none. Clients then need no API key.
	Workspaces []Workspace
}

func (c *Configuration) wire() map[string]any {
	var routes, services, workspaces []map[string]any
	for _, r := range c.Routes {
		routes = append(routes, r.wire())
	}
	for _, s := range c.Services {
		services = append(services, s.wire())
	}
	for _, w := range c.Workspaces {
		workspaces = append(workspaces, map[string]any{"name": w.Name, "api_keys": w.Keys})
	}
	out := map[string]any{
		"version": c.Version, "routes": routes, "services": services, "limits": map[string]any{"max_body_bytes": maxBodyBytes},
	}
	if len(workspaces) > 0 {
		out["tenants"] = workspaces
	}
	return out
}

// Configure writes the configuration to the store.
func (s *Server) Configure(c Configuration) { s.Set(kindConfig, configName, c.wire()) }

// Registration is the entry of an engine or backend server in the store.
type Registration struct {
	Service string
	// Stage is empty for a backend server.
	Stage   string
	Address string
	Domain  string
	Slots   int
	// Software is the version of the instance's program; "v1" if it is empty.
	Software string
	// Draining is true once the instance has announced its shutdown.
	Draining bool
}

// Register writes the registration of an instance.
func (s *Server) Register(id string, r Registration) {
	phase := "ready"
	if r.Draining {
		phase = "draining"
	}
	s.Set(kindInstances, id, map[string]any{
		"service": r.Service, "address": r.Address, "zone": r.Domain, "slots": r.Slots, "phase": phase, "stage": r.Stage, "version": cmp.Or(r.Software, "v1"),
	})
}

// Deregister removes the registration of an instance.
func (s *Server) Deregister(id string) { s.Remove(kindInstances, id) }
