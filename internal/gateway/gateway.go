// Package gateway takes callers' requests and has each run at an instance that
// the configuration and the rules permit. Every request gets one whole answer
// or a refusal that says truly whether it may have run.
package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/lifecycle"
	"github.com/rockdoor/rockdoor/internal/notice"
	"github.com/rockdoor/rockdoor/internal/ratelimit"
	"github.com/rockdoor/rockdoor/internal/scheduler"
	"github.com/rockdoor/rockdoor/internal/suspects"
	"github.com/rockdoor/rockdoor/internal/upstream"
	"github.com/rockdoor/rockdoor/placement"
	"github.com/rockdoor/rockdoor/quarantine"
)

const (
	// defaultBody bounds a body while the operator states no limit.
	defaultBody = 4 << 20
	// bodyTime is how long a body may take to arrive.
	bodyTime = 3 * time.Second
	// startRetry is when to ask again at a process that is not ready.
	startRetry = time.Second
	// holdRetry is when to ask again while bodies take as much memory as they may.
	holdRetry = time.Second
	// defaultWait bounds a request for which neither caller nor route states a time.
	defaultWait = time.Minute
)

// Options of a Server.
type Options struct {
	// View returns the latest view of the deployment.
	View func() *fleet.View
	// Ready is closed once the first view is ready: until then requests wait for a while. Without it none do.
	Ready    <-chan struct{}
	Protocol engine.Protocol
	Client   *upstream.Client
	// Scheduler decides where requests run, Placer explains what this process would do.
	Scheduler scheduler.Scheduler
	Placer    *placement.Placer
	// FailureDomain is the failure domain of this process.
	FailureDomain string
	// MaxConfigStaleness is how old the proof may be that the configuration is the newest one, for
	// requests with a key to run: later, the key may have been taken away. 0 is no bound.
	MaxConfigStaleness time.Duration
	Budget             RetryBudgetConfig
	// Quarantine knows which requests end the instances that run them; without one this
	// process alone learns it.
	Quarantine *quarantine.Table
	// RateLimits are the rates that instances limit themselves to. The Placer keeps them too.
	RateLimits *ratelimit.Table
	// OnRunStart is told of each request of a workspace that begins to run; it may be nil.
	OnRunStart func(workspace string)
	Metrics    metrics.Registry
	Logger     log.Logger
}

// Server is the handler of callers' requests.
type Server struct {
	o        Options
	budget   *budget
	watch    *suspects.CrashDetector
	notices  *notice.Table
	limits   *ratelimit.Table
	holdings holdings
	startup  startup
	inHand   atomic.Int64
	stopping atomic.Bool
}

// New returns a server.
func New(o Options) *Server {
	if o.Quarantine == nil {
		o.Quarantine = quarantine.NewTable()
	}
	if o.RateLimits == nil {
		o.RateLimits = ratelimit.NewTable("", o.Metrics, o.Logger)
	}
	return &Server{
		o: o, budget: newBudget(o.Budget), startup: startup{began: time.Now(), ready: o.Ready},
		notices: notice.NewTable(o.Logger), limits: o.RateLimits,
		watch: &suspects.CrashDetector{Table: o.Quarantine, RefusesConnections: o.Client.RefusesConnections, Logger: o.Logger},
	}
}

// SetRetryBudget replaces the bounds of the retry budget but for its window.
func (s *Server) SetRetryBudget(ratio, slack float64) { s.budget.allow(ratio, slack) }

// RetainInstances forgets what instances have said, but for those whose runs keep names.
func (s *Server) RetainInstances(keep func(run string) bool) {
	s.notices.Retain(keep)
	s.limits.Retain(keep)
}

// InFlight returns the number of requests that are being served.
func (s *Server) InFlight() int64 { return s.inHand.Load() }

// DisableKeepAlives makes each further answer close its connection, so that callers move to
// other processes.
func (s *Server) DisableKeepAlives() { s.stopping.Store(true) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inHand.Add(1)
	defer s.inHand.Add(-1)
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	arrived := time.Now()
	q, rep := s.open(w, r, arrived)
	if rep != nil {
		s.refuseEarly(w, r, rep)
		return
	}
	defer q.release()
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	q.ctx = ctx
	q.serve()
}

// open reads and checks a request.
func (s *Server) open(w http.ResponseWriter, r *http.Request, arrived time.Time) (*request, *reply) {
	call, err := s.o.Protocol.Read(r.Header)
	if err != nil {
		return nil, refusal(http.StatusBadRequest, "bad-request", err, 0)
	}
	view := s.readyView(r.Context(), call.Wait)
	if !view.Ready() {
		return nil, refusal(http.StatusServiceUnavailable, "not-ready",
			fault.New(fault.Unavailable, "no configuration is known yet", "ask again after the time in Retry-After"), startRetry)
	}
	route := view.Config.Route(hostOnly(r.Host), r.URL.EscapedPath())
	if route == nil {
		return nil, refusal(http.StatusNotFound, "no-route",
			fault.New(fault.NotFound, "no route for "+r.Host+r.URL.Path, "check the host name and the path"), 0)
	}
	workspace, rep := s.admit(view, route, call.Key)
	if rep != nil {
		return nil, rep
	}
	q := &request{s: s, w: w, http: r, call: &call, route: ranked(route, workspace), workspace: workspace, arrived: arrived, avoid: map[string]bool{}, life: lifecycle.New(call.ID, s.o.Logger)}
	q.deadline = arrived.Add(wait(call.Wait, route.Timeout))
	if rep := q.readBody(view.Config.Limits); rep != nil {
		q.release()
		return nil, rep
	}
	return q, nil
}

// wait returns the shorter of two times of which each may be unstated.
func wait(caller, route time.Duration) time.Duration {
	switch {
	case caller <= 0 && route <= 0:
		return defaultWait
	case caller <= 0:
		return route
	case route <= 0:
		return caller
	}
	return min(caller, route)
}

func hostOnly(hostport string) string {
	if host, _, err := net.SplitHostPort(hostport); err == nil {
		return host
	}
	return hostport
}

// readBody reads the whole body within the limits on size and time. After a
// failure the connection is closed, since the rest of the body may follow.
func (q *request) readBody(l fleet.Limits) *reply {
	if q.http.ContentLength == 0 {
		return nil
	}
	limit := l.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	rc := http.NewResponseController(q.w)
	if err := rc.SetReadDeadline(time.Now().Add(bodyTime)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return q.badBody(http.StatusRequestTimeout, err)
	}
	body, err := q.hold(http.MaxBytesReader(q.w, q.http.Body, limit), int(limit)+1)
	if errors.Is(err, errHoldFull) {
		q.w.Header().Set("Connection", "close")
		return refusal(http.StatusServiceUnavailable, "memory-full", err, holdRetry)
	}
	if !errors.Is(err, io.EOF) {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return q.badBody(http.StatusRequestEntityTooLarge, err)
		}
		return q.badBody(http.StatusRequestTimeout, err)
	}
	q.body = body
	if err := rc.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return q.badBody(http.StatusRequestTimeout, err)
	}
	return nil
}

func (q *request) badBody(status int, err error) *reply {
	q.w.Header().Set("Connection", "close")
	return refusal(status, "bad-body", fault.Wrap(err, fault.Invalid, "body did not arrive whole", "send it whole, in time and within the limit"), 0)
}

// refuseEarly answers a request that was refused before it was routed.
func (s *Server) refuseEarly(w http.ResponseWriter, r *http.Request, rep *reply) {
	call, _ := s.o.Protocol.Read(r.Header) // only for the id, which is empty if it cannot be read
	s.count("outcome." + rep.code)
	v := s.o.View()
	version := int64(0)
	if v.Config != nil {
		version = v.Config.Version
	}
	level.Warn(s.o.Logger).Log("msg", "request", "request", call.ID, "host", r.Host, "path", r.URL.Path, "status", rep.status, "outcome", rep.code,
		"config", version, "config_age", v.ConfigAge().Round(time.Millisecond), "proof_age", v.ConfigStaleness().Round(time.Millisecond), "err", rep.err)
	rep.write(w)
}

func (s *Server) count(name string) {
	metrics.GetOrRegisterCounter("gateway."+name, s.o.Metrics).Inc(1)
}

func (s *Server) time(name string, d time.Duration) {
	metrics.GetOrRegisterTimer("gateway."+name, s.o.Metrics).Update(d)
}
