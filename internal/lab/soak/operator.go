package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/rockdoor/rockdoor/internal/standin/fleetstore"
)

const (
	hostName = "shop.example"
	// workspaceKey is the API key that clients send.
	workspaceKey = "soak-key"
	modelName    = "m"
	// onlyVersions is the number of consecutive configuration versions that have a given route of
	// kind Only.
	onlyVersions = 2
	// Timeouts of routes. Clients state the same timeouts.
	callTimeout   = 1500 * time.Millisecond
	streamTimeout = 4 * time.Second
)

// operator writes the configurations.
type operator struct {
	w *world

	mu    sync.Mutex
	index int
}

// versionOf returns the version number of the n-th configuration. The numbers rise in uneven steps.
func versionOf(index int) int { return index*3 + index%2 }

func onlyPath(index int) string { return fmt.Sprintf("/%s-%d/", Only, index) }

// newestIndex returns the index of the newest configuration that was written.
func (o *operator) newestIndex() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.index
}

// writeNext writes the next configuration.
func (o *operator) writeNext() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.index++
	a := ConfigWrite{Index: o.index, Sent: time.Now()}
	o.w.store.Configure(configuration(o.index))
	a.Done = time.Now()
	o.w.observed.record(func() { o.w.observed.ConfigWrites = append(o.w.observed.ConfigWrites, a) })
}

const (
	// routeLatency and routeGap are the latency targets of routes, by which gateways prioritize
	// requests.
	routeLatency = 200 * time.Millisecond
	routeGap     = 150 * time.Millisecond
	// Maximum connections to an instance. Engines get more, because streams last longer.
	plainConnections  = 200
	engineConnections = 400
)

func plainRoute(name string, kind fleetstore.RouteKind, service string, attempts int) fleetstore.Route {
	return fleetstore.Route{
		Name: name, Host: hostName, Prefix: "/" + name + "/", Kind: kind, Service: service,
		Timeout: callTimeout, Latency: routeLatency, Attempts: attempts,
	}
}

func streamRoute(kind Kind, attempts int, resumable bool) fleetstore.Route {
	r := plainRoute(string(kind), fleetstore.Streaming, serviceModels, attempts)
	r.Timeout, r.Gap, r.Affinity, r.Resumable = streamTimeout, routeGap, true, resumable
	return r
}

// configuration returns the n-th configuration. The mark route leads to another service in each
// version, and routes of kind Only exist in a few versions, so that a response shows which version
// is in force.
func configuration(index int) fleetstore.Configuration {
	routes := []fleetstore.Route{
		plainRoute(string(Once), fleetstore.Unsafe, serviceApp, 2),
		plainRoute(string(Repeat), fleetstore.Safe, serviceApp, 3),
		streamRoute(Stream, 3, true),
		streamRoute(StreamOnce, 2, false),
		plainRoute(string(Mark), fleetstore.Safe, markService(index), 2),
	}
	for n := max(1, index-onlyVersions+1); n <= index; n++ {
		routes = append(routes, plainRoute(fmt.Sprintf("%s-%d", Only, n), fleetstore.Safe, serviceApp, 2))
	}
	services := []fleetstore.Service{
		{Name: serviceApp, Connections: plainConnections},
		{Name: serviceModels, Connections: engineConnections, RoleChange: roleChangeTime},
	}
	for n := range markServiceCount {
		services = append(services, fleetstore.Service{Name: markService(n), Connections: plainConnections})
	}
	return fleetstore.Configuration{
		Version: versionOf(index), Routes: routes, Services: services,
		Workspaces: []fleetstore.Workspace{{Name: "w", Keys: []string{workspaceKey}}},
	}
}
