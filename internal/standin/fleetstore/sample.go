package fleetstore

import "time"

// Services of the sample configuration.
const (
	// SampleFlags is a service of backend servers.
	SampleFlags = "flags"
	// SampleModels is a service of model engines.
	SampleModels = "models"
)

// SetSample writes a small configuration with two routes: flag checks go to backend
// servers, rule reviews go to model engines.
func (s *Server) SetSample() {
	const host, connections = "shop.example", 100
	s.Configure(Configuration{
		Version: 1,
		Routes: []Route{
			{Name: "flag-check", Host: host, Prefix: "/flags/", Kind: Unsafe, Service: SampleFlags,
				Timeout: 600 * time.Millisecond, Latency: 100 * time.Millisecond, Attempts: 1, Rank: 2},
			{Name: "rule-review", Host: host, Prefix: "/review/", Kind: Streaming, Service: SampleModels,
				Timeout: 2 * time.Second, Latency: 200 * time.Millisecond, Gap: 150 * time.Millisecond, Attempts: 2, Resumable: true, Affinity: true},
		},
		Services: []Service{
			{Name: SampleFlags, Connections: connections},
			{Name: SampleModels, Connections: connections, RoleChange: 500 * time.Millisecond},
		},
	})
}
