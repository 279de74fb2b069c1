package fleetstore

// Services of the sample configuration.
const (
	sampleFlags  = "flags"
	sampleModels = "models"
)

// Registration is what an engine or backend server of the sample writes.
type Registration struct {
	// Models is true for a model engine, false for a backend server.
	Models  bool
	Stage   string
	Address string
	Domain  string
	Slots   int
}

// Register writes the registration of an instance of the sample's services.
func (s *Server) Register(id string, r Registration) {
	service := sampleFlags
	if r.Models {
		service = sampleModels
	}
	s.Set("servers", id, map[string]any{
		"service": service, "address": r.Address, "zone": r.Domain, "slots": r.Slots, "phase": "ready", "stage": r.Stage, "version": "v1",
	})
}

// SetSample writes a small configuration: flag checks to backend servers and rule
// reviews to model engines.
func (s *Server) SetSample() {
	s.Set("config", "main", map[string]any{
		"version": 1,
		"routes": []map[string]any{
			{"name": "flag-check", "hostname": "shop.example", "path_prefix": "/flags/", "type": "unsafe", "service": sampleFlags,
				"timeout_ms": 600, "target_latency_ms": 100, "max_attempts": 1, "priority": 2},
			{"name": "rule-review", "hostname": "shop.example", "path_prefix": "/review/", "type": "streaming", "service": sampleModels,
				"timeout_ms": 2000, "target_latency_ms": 200, "target_gap_ms": 150, "max_attempts": 2, "resumable": true, "session_affinity": true},
		},
		"services": []map[string]any{
			{"name": sampleFlags, "health_path": "/healthz", "max_connections": 100},
			{"name": sampleModels, "health_path": "/healthz", "max_connections": 100, "engine": map[string]any{"kv_capacity_tokens": 305000, "handle_ttl_s": 5, "reconfigure_s": 0.5}},
		},
		"limits": map[string]any{"max_body_bytes": 4194304},
	})
}
