// Package fleet holds what one entry process believes about the deployment that
// it serves: the operator's routes and services, the running instances of each
// service, and where labels and selectors permit a request to run. All values
// are immutable once they are published.
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

// Kind says how a route's requests may be handled.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests must not run twice.
	AtMostOnce Kind = "at-most-once"
	// Streaming requests are answered by a stream of events.
	Streaming Kind = "streaming"
)

// Share is a part of a route's traffic.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight int
}

// Route leads requests to services.
type Route struct {
	Name string
	// Host is the host name that callers use.
	Host string
	// Prefix is the start of the paths, with a slash at both ends.
	Prefix string
	Kind   Kind
	Shares []Share
	// Timeout is the longest that the operator wants a request held; 0 is no bound.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer, or the first event of a
	// stream, is in time.
	LatencyTarget time.Duration
	// GapTarget is the longest pause between events of a stream that is in time.
	GapTarget time.Duration
	// FirstEventTimeout is how long callers wait for the first event of a stream, however long
	// they say that they wait for all of it; 0 is no bound.
	FirstEventTimeout time.Duration
	// MaxAttempts is how many instances one request may be sent to.
	MaxAttempts int
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank int
	// Affinity is true if requests share parts of prompts, which engines keep.
	Affinity bool
	// Resumable streams may go on at another instance after their last event.
	Resumable bool
	// Public routes are open to callers without a key.
	Public bool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable }

// Service is a group of instances that answer the same requests.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConns bounds the connections to one instance from all callers together;
	// 0 is no bound.
	MaxConns int
	// KVCapacity is the memory of one engine in tokens, 0 for plain services.
	KVCapacity int
	// HandleTTL is how long an engine keeps a prompt that was read for another.
	HandleTTL time.Duration
	// RoleChange is how long a change of role takes an engine away.
	RoleChange time.Duration
	// Backups is true if engines send a copy of a run's memory to another one as it grows.
	Backups bool
	// Scaling says how many engines may be ordered; nil if none may.
	Scaling *Scaling
}

// Scaling bounds the number of a service's engines in each failure domain, and says what
// they cost.
type Scaling struct {
	// MinEngines and Most hold for engines of both kinds together.
	MinEngines, MaxEngines int
	// Startup is how long an engine takes until it serves.
	Startup time.Duration
	// SpotPrice is that of an engine that the platform may take away, as a share of another.
	// It is 0 if there are none.
	SpotPrice float64
	// Prices are those of one engine by failure domain. Engines may be ordered there.
	Prices map[string]float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operator's configuration.
type Config struct {
	// Version rises with each change.
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	byHost map[string][]*Route
	byName map[string]*Route
	// byKey has the workspaces by their keys.
	byKey      map[KeyHash]*Workspace
	workspaces int
}

// Index prepares the configuration for look-ups. It is called once, before the
// configuration is published.
func (c *Config) Index() {
	c.byHost, c.byName = map[string][]*Route{}, map[string]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byName[r.Name] = r
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
}

// Route returns the route with the longest prefix of the path at the host, or
// nil if there is none. The path is compared as it was sent, without decoding.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RouteByName returns the route with the name, or nil if there is none.
func (c *Config) RouteByName(name string) *Route { return c.byName[name] }

// Pick returns the service that a request goes to. The same id goes to the same
// share, so that a decision can be explained from the id.
func (r *Route) Pick(id string) string {
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

// Instance is one run of an engine or backend server.
type Instance struct {
	// ID names an instance and no other.
	ID string
	// StartTime differs for each run of the instance that keeps its ID; 0 if it does not say. A
	// later run knows nothing of what an earlier one had.
	StartTime int64
	Service   string
	// Address is IP:PORT.
	Address string
	Domain  string
	// Software is the version of the program that runs there.
	Software string
	Slots    int
	// Spot instances may be taken away by the platform at short notice.
	Spot bool
	// Draining instances finish what they have.
	Draining bool
	// Role is empty for plain services.
	Role engine.Role
	// Expired is true for an instance whose registration went while the store was
	// away. It is used until it is known whether it comes back.
	Expired bool
}

// runMark parts the ID of an instance from what differs from run to run.
const runMark = '@'

// RunID names this run of the instance and no other.
func (i *Instance) RunID() string {
	if i.StartTime == 0 {
		return i.ID
	}
	return i.ID + string(runMark) + strconv.FormatInt(i.StartTime, 10)
}

// Labels returns the labels that selectors match: those that operators gave the
// instance's service and domain, and the built-in ones.
func (i *Instance) Labels(extra selector.Labels) selector.Labels {
	l := selector.Labels{"service": i.Service, "domain": i.Domain, "software": i.Software}
	for k, v := range extra {
		l[k] = v
	}
	return l
}
