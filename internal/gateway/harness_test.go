package gateway_test

import (
	"cmp"
	"context"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/gateway"
	"github.com/rockdoor/rockdoor/internal/ratelimit"
	"github.com/rockdoor/rockdoor/internal/scheduler"
	"github.com/rockdoor/rockdoor/internal/standin/fleetengine"
	"github.com/rockdoor/rockdoor/internal/upstream"
	"github.com/rockdoor/rockdoor/placement"
	"github.com/rockdoor/rockdoor/platform"
	"github.com/rockdoor/rockdoor/quarantine"
)

const (
	testHost   = "shop.example"
	pathSafe   = "/safe/"
	pathOnce   = "/once/"
	pathStream = "/stream/"
	pathModel  = "/model/"
	// pathLong leads to streams that may not run twice.
	pathLong = "/long/"
	// testPatience is how long callers wait for a first event there.
	testPatience = time.Second
	// testProofAge is how old the proof of the configuration may be.
	testProofAge = time.Minute
)

// rig is a gateway in front of stand-ins.
type rig struct {
	gateway *gateway.Server
	t       testing.TB
	view    atomic.Pointer[fleet.View]
	url     string
	reg     metrics.Registry
	// servers are those of the stand-ins, by instance.
	servers map[string]*httptest.Server
}

type rigOptions struct {
	budget gateway.RetryBudgetConfig
	plain  []*fleetengine.Engine
	model  []*fleetengine.Engine
	// domains are those of instances that are not in domain a.
	domains map[string]string
	// quarantine knows which requests end instances; it may be nil.
	quarantine *quarantine.Table
	// hold bounds the bytes of bodies that the gateway holds, 0 for no bound.
	hold int64
	// ready is closed when the gateway has its first view; nil if it has it from the start.
	ready <-chan struct{}
	// spot is true if the platform may take the instances away.
	spot bool
	// placed is told of each plan before it is carried out; it may be nil.
	placed func(r *rig, p placement.Plan)
}

// observed is a scheduler whose plans are told.
type observed struct {
	scheduler.Scheduler
	placed func(p placement.Plan)
}

func (o observed) Place(ctx context.Context, j *placement.Job) (placement.Plan, scheduler.Ticket) {
	p, t := o.Scheduler.Place(ctx, j)
	o.placed(p)
	return p, t
}

func newRig(t testing.TB, o rigOptions) *rig {
	t.Helper()
	if o.budget.Window == 0 {
		o.budget = gateway.RetryBudgetConfig{Ratio: 0.2, Slack: 1000, Window: 10 * time.Second}
	}
	r := &rig{t: t, servers: map[string]*httptest.Server{}}
	v := &fleet.View{Config: config(), InstancesKnown: true, Instances: map[string]*fleet.Instance{}, StoreUp: true}
	for service, engines := range map[string][]*fleetengine.Engine{"plain": o.plain, "model": o.model} {
		for _, e := range engines {
			s := httptest.NewServer(e)
			t.Cleanup(s.Close)
			r.servers[e.ID] = s
			i := &fleet.Instance{ID: e.ID, Service: service, Address: s.Listener.Addr().String(), Domain: cmp.Or(o.domains[e.ID], "a"), Slots: 8, Spot: o.spot}
			switch e.Stage() {
			case "prefill":
				i.Role = engine.RolePrefill
			case "decode":
				i.Role = engine.RoleMixed
			}
			v.Instances[e.ID] = i
		}
	}
	v.Index()
	r.view.Store(v)
	reg := metrics.NewRegistry()
	r.reg = reg
	placer := placement.New("a", nil, nil)
	limits := ratelimit.NewTable("g", reg, log.NewNopLogger())
	placer.SetLimiter(limits)
	schedules := scheduler.Local(placer)
	if o.placed != nil {
		schedules = observed{schedules, func(p placement.Plan) { o.placed(r, p) }}
	}
	g := gateway.New(gateway.Options{
		View: r.view.Load, Ready: o.ready, Protocol: platform.Protocol{}, Client: upstream.New(reg), Placer: placer, Scheduler: schedules, FailureDomain: "a",
		MaxConfigStaleness: testProofAge, Quarantine: o.quarantine, Budget: o.budget, RateLimits: limits, Metrics: reg, Logger: log.NewNopLogger(),
	})
	g.SetBufferLimit(o.hold)
	r.gateway = g
	s := httptest.NewServer(g)
	t.Cleanup(s.Close)
	r.url = s.URL
	return r
}

func config() *fleet.Config {
	route := func(prefix string, kind fleet.Kind, service string, attempts int, resumable bool) fleet.Route {
		return fleet.Route{
			Name: prefix, Host: testHost, Prefix: prefix, Kind: kind, Shares: []fleet.Share{{Service: service, Weight: 1}},
			Timeout: 2 * time.Second, LatencyTarget: 200 * time.Millisecond, MaxAttempts: attempts, Resumable: resumable,
		}
	}
	long := route(pathLong, fleet.Streaming, "model", 1, false)
	model := route(pathModel, fleet.Streaming, "model", 2, true)
	model.FirstEventTimeout = testPatience
	c := &fleet.Config{
		Version: 1,
		Routes: []fleet.Route{
			route(pathSafe, fleet.Idempotent, "plain", 2, false), route(pathOnce, fleet.AtMostOnce, "plain", 1, false),
			route(pathStream, fleet.Streaming, "plain", 1, false), model, long,
		},
		Services: map[string]fleet.Service{"plain": {Name: "plain"}, "model": {Name: "model", KVCapacity: 1000, Backups: true}},
		Limits:   fleet.Limits{BodyBytes: 1000},
	}
	c.Index()
	return c
}

// leave has an instance state that it is leaving.
func (r *rig) leave(id string) {
	v := *r.view.Load()
	v.Instances = maps.Clone(v.Instances)
	left := *v.Instances[id]
	left.Draining = true
	v.Instances[id] = &left
	v.Index()
	r.view.Store(&v)
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	// cut is true if the body was broken off.
	cut bool
}

// send sends a request of the caller with the id.
func (r *rig) send(method, path, id, body string, more http.Header) answer {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, r.url+path, strings.NewReader(body))
	require.NoError(r.t, err)
	req.Host = testHost
	req.Header.Set("X-Request-Id", id)
	for k, v := range more {
		req.Header[k] = v
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	require.NoError(r.t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(text), err != nil}
}

// prompt returns the headers of a request to a model with a long prompt.
func prompt(subject string) http.Header {
	return http.Header{"X-Model": {"m"}, "X-Token-Count": {"9000,2"}, "X-Prompt-Prefix": {"aa:2500," + subject + ":3800,ff:2700"}}
}
