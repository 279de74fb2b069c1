// Package fleet holds one gateway's view of the deployment: the operator's routes and services, the
// running instances of each service, and the labels and selectors that restrict where a request may
// run. All values are immutable once they are published.
package fleet

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/selector"
)

// Kind determines whether a route's requests may be repeated.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests must not run twice.
	AtMostOnce Kind = "at-most-once"
	// Streaming requests are answered with a stream of events.
	Streaming Kind = "streaming"
)

// Share is a service's part of a route's traffic.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight int
}

// Route maps requests to services.
type Route struct {
	Name string
	// Host is the host name in the requests.
	Host string
	// Prefix is a path prefix that begins and ends with a slash.
	Prefix string
	Kind   Kind
	Shares []Share
	// Timeout is the maximum duration of a request, 0 for no limit.
	Timeout time.Duration
	// LatencyTarget is the target for the time to the response, or to the first event of a stream.
	LatencyTarget time.Duration
	// GapTarget is the target for the longest time between two events of a stream.
	GapTarget time.Duration
	// FirstEventTimeout is how long clients wait for the first event of a stream, regardless of the
	// timeout that they state for the whole stream. 0 is no limit.
	FirstEventTimeout time.Duration
	// MaxAttempts is the maximum number of instances that one request is sent to.
	MaxAttempts int
	// Rank is the urgency of the route; 0 is the most urgent.
	Rank int
	// Affinity is true if requests share parts of their prompts, which engines cache.
	Affinity bool
	// Resumable streams may continue at another instance after the last delivered event.
	Resumable bool
	// Public routes need no API key.
	Public bool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable }

// Service is a group of interchangeable instances.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the maximum number of connections to one instance from all processes together, 0
	// for no limit.
	MaxConns int
	// KVCapacity is the KV cache size of one engine in tokens, 0 for services of backend servers.
	KVCapacity int
	// KVTokenBytes is the size of one token's KV cache and LinkBytesPerSecond the bandwidth at which
	// an engine moves KV caches; 0 if unknown.
	KVTokenBytes       int
	LinkBytesPerSecond float64
	// MinGapTarget is the smallest GapTarget of the streaming routes to the service, 0 if one of them
	// has none. Config.Index sets it.
	MinGapTarget time.Duration
	// HandleTTL is how long an engine retains the KV cache of a prompt that it prefilled for another
	// engine.
	HandleTTL time.Duration
	// RoleChange is how long an engine is unavailable while it changes its role.
	RoleChange time.Duration
	// Backups is true if engines replicate the KV cache of a running request to another engine as it
	// grows.
	Backups bool
	// Scaling limits the engines that may be ordered, nil if none may be.
	Scaling *Scaling
}

// Scaling has the limits for the number of a service's engines per failure domain, and their
// prices.
type Scaling struct {
	// MinEngines and MaxEngines are the minimum and maximum of on-demand and spot engines together.
	MinEngines, MaxEngines int
	// StartupTime is the time from the order of an engine until it serves requests.
	StartupTime time.Duration
	// SpotPrice is the price of a spot engine relative to an on-demand engine, 0 if there are no spot
	// engines. The platform may reclaim spot engines at any time.
	SpotPrice float64
	// Prices has the price of an on-demand engine by failure domain. Engines may be ordered only in
	// these domains.
	Prices map[string]float64
}

// Limits are the limits for requests from clients.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operator's configuration.
type Config struct {
	// Version increases with each change.
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	routesByHost   map[string][]*Route
	routesByName   map[string]*Route
	workspaceByKey map[KeyHash]*Workspace
	workspaces     int
}

// Index builds the lookup tables. It must be called once before the configuration is published.
func (c *Config) Index() {
	c.routesByHost, c.routesByName = map[string][]*Route{}, map[string]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.routesByName[r.Name] = r
		host := strings.ToLower(r.Host)
		c.routesByHost[host] = append(c.routesByHost[host], r)
	}
	for _, routes := range c.routesByHost {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for name, s := range c.Services {
		s.MinGapTarget = c.minGapTarget(name)
		c.Services[name] = s
	}
}

// minGapTarget returns the smallest GapTarget of the streaming routes to a service; 0 if there are none
// or if one of them has no target.
func (c *Config) minGapTarget(service string) time.Duration {
	gap, first := time.Duration(0), true
	for _, r := range c.Routes {
		if r.Kind != Streaming || !slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service }) {
			continue
		}
		if first || r.GapTarget < gap {
			gap, first = r.GapTarget, false
		}
	}
	return gap
}

// Route returns the route of the host whose prefix is the longest that matches the path, or nil if
// none matches. The path is compared as sent, without decoding.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RouteByName returns the route with the name, or nil if there is none.
func (c *Config) RouteByName(name string) *Route { return c.routesByName[name] }

// PickService returns the service for a request. It depends only on the request ID, so that the choice can
// be reproduced later.
func (r *Route) PickService(id string) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		if len(r.Shares) == 0 {
			return ""
		}
		return r.Shares[0].Service
	}
	at := int(xxhash.Sum64String(id) % uint64(total))
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return ""
}

// Instance is one run of an engine or of a backend server.
type Instance struct {
	// ID is unique among instances. An instance that restarts may keep its ID.
	ID string
	// StartTime is the start time of the run in Unix milliseconds, 0 if the registration has none. It
	// distinguishes the runs of one instance ID. A later run has none of the state of an earlier one.
	StartTime int64
	Service   string
	// Address is IP:PORT.
	Address string
	Domain  string
	// Software is the version of the program that the instance runs.
	Software string
	// Slots is the number of requests that the instance runs concurrently, 0 if unknown.
	Slots int
	// Spot instances may be reclaimed by the platform at short notice.
	Spot bool
	// Draining instances finish their requests and accept no new ones.
	Draining bool
	// Role is empty for backend servers.
	Role engine.Role
	// Expired is true if the registration expired while the store was unavailable. The instance stays
	// in use until it is known whether it registers again.
	Expired bool
}

// runSeparator separates the instance ID from the start time in a run ID.
const runSeparator = '@'

// RunID returns an ID that is unique to this run of the instance.
func (i *Instance) RunID() string {
	if i.StartTime == 0 {
		return i.ID
	}
	return i.ID + string(runSeparator) + strconv.FormatInt(i.StartTime, 10)
}

// Labels returns the labels that selectors match: the built-in ones, and those in extra, which
// operators set for the instance's service or failure domain.
func (i *Instance) Labels(extra selector.Labels) selector.Labels {
	l := selector.Labels{"service": i.Service, "domain": i.Domain, "software": i.Software}
	for k, v := range extra {
		l[k] = v
	}
	return l
}
