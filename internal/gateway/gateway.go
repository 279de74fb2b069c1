// Package gateway accepts client requests and forwards each one to an instance that
// the configuration and the placement rules permit. Every request ends with one complete
// response, or with an error whose status tells the client whether the request may have run.
package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/httpserve"
	"github.com/rockdoor/rockdoor/internal/lifecycle"
	"github.com/rockdoor/rockdoor/internal/notice"
	"github.com/rockdoor/rockdoor/internal/ratelimit"
	"github.com/rockdoor/rockdoor/internal/resumption"
	"github.com/rockdoor/rockdoor/internal/scheduler"
	"github.com/rockdoor/rockdoor/internal/suspects"
	"github.com/rockdoor/rockdoor/internal/upstream"
	"github.com/rockdoor/rockdoor/placement"
	"github.com/rockdoor/rockdoor/quarantine"
)

const (
	// defaultMaxBody is the request body limit in bytes if the configuration sets none.
	defaultMaxBody = 4 << 20
	// bodyTimeout bounds the time for reading a request body.
	bodyTimeout = 3 * time.Second
	// notReadyRetry is the Retry-After of a process that is not ready.
	notReadyRetry = time.Second
	// memoryFullRetry is the Retry-After while buffered bodies use up the memory limit.
	memoryFullRetry = time.Second
	// defaultTimeout applies if neither the client nor the route sets a timeout.
	defaultTimeout = time.Minute
)

// Options configures a Server.
type Options struct {
	// View returns the current view of the deployment.
	View func() *fleet.View
	// Ready is closed once the first view is ready. Requests that arrive earlier wait for it
	// for a limited time; if Ready is nil, they are rejected at once.
	Ready    <-chan struct{}
	Protocol engine.Protocol
	Client   *upstream.Client
	// Scheduler decides where requests run. Explain uses Placer to show what this process would
	// decide itself.
	Scheduler scheduler.Scheduler
	Placer    *placement.Placer
	// FailureDomain is the failure domain of this process.
	FailureDomain string
	// MaxConfigStaleness is the longest time since the configuration was last confirmed to be the
	// newest one at which API keys are still accepted. Beyond it, a key may have been revoked
	// without this process knowing. 0 means no limit.
	MaxConfigStaleness time.Duration
	// AwaitConfirmation, unless nil, is called before a request is matched to a route. It waits for a short time if the
	// configuration is old because the process was paused.
	AwaitConfirmation func(ctx context.Context)
	Budget            RetryBudgetConfig
	// Quarantine records which requests crash the instances that run them. If it is nil, the
	// server keeps a table of its own, which other processes do not share.
	Quarantine *quarantine.Table
	// RateLimits holds the rate limits that instances announce. The Placer applies them too.
	RateLimits *ratelimit.Table
	// GiveUpHungAttempts has the server try another instance if an attempt hangs.
	GiveUpHungAttempts bool
	// Streams knows which software version began a stream. If it is nil, the server keeps records of its own.
	Streams *resumption.Registry
	// OnRunStart is called once for each request of a workspace that starts to run. It may be nil.
	OnRunStart func(workspace string)
	Metrics    metrics.Registry
	Logger     log.Logger
}

// Server is the HTTP handler for client requests.
type Server struct {
	o             Options
	budget        *retryBudget
	crashDetector *suspects.CrashDetector
	notices       *notice.Table
	limits        *ratelimit.Table
	streams       *resumption.Registry
	withdrawals   withdrawals
	buffers       memoryBudget
	startup       startupWaiter
	inFlight      atomic.Int64
	drain         *httpserve.Drain
}

// New returns a server.
func New(o Options) *Server {
	if o.Quarantine == nil {
		o.Quarantine = quarantine.NewTable()
	}
	if o.RateLimits == nil {
		o.RateLimits = ratelimit.NewTable("", o.Metrics, o.Logger)
	}
	if o.Streams == nil {
		o.Streams = resumption.New(resumption.Options{View: o.View, Metrics: o.Metrics, Logger: o.Logger})
	}
	s := &Server{
		o: o, streams: o.Streams, budget: newRetryBudget(o.Budget), startup: startupWaiter{started: time.Now(), ready: o.Ready},
		notices: notice.NewTable(o.Logger), limits: o.RateLimits, drain: httpserve.NewDrain(),
		crashDetector: &suspects.CrashDetector{Table: o.Quarantine, RefusesConnections: o.Client.RefusesConnections, Logger: o.Logger},
	}
	s.withdrawals = withdrawals{server: s, attempts: map[*waitingAttempt]bool{}}
	return s
}

// SetRetryBudget replaces the ratio and the slack of the retry budget. Its window stays.
func (s *Server) SetRetryBudget(ratio, slack float64) { s.budget.setBounds(ratio, slack) }

// RetainInstances discards the announced shutdowns, backoffs and rate limits of instances, except
// those of the runs for which keep returns true.
func (s *Server) RetainInstances(keep func(run string) bool) {
	s.notices.Retain(keep)
	s.limits.Retain(keep)
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.closeIfStopping(w)
	arrived := time.Now()
	q, rep := s.accept(w, r, arrived)
	if rep != nil {
		s.rejectEarly(w, r, rep)
		return
	}
	defer q.releaseBuffers()
	s.closeIfStopping(w) // the stop may have begun while the body was read
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	defer context.AfterFunc(s.drain.Ending(), cancel)()
	q.ctx = ctx
	q.serve()
}

// accept validates a request, matches it to a route, checks its API key and reads its body.
func (s *Server) accept(w http.ResponseWriter, r *http.Request, arrived time.Time) (*request, *reply) {
	call, err := s.o.Protocol.DecodeRequest(r.Header)
	if err != nil {
		return nil, replyWithStatus(http.StatusBadRequest, "bad-request", err, 0)
	}
	view := s.readyView(r.Context(), call.ClientTimeout)
	if !view.Ready() {
		return nil, replyWithStatus(http.StatusServiceUnavailable, "not-ready",
			fault.New(fault.Unavailable, "no configuration has been loaded yet", "ask again after the time in Retry-After"), notReadyRetry)
	}
	route := view.Config.Route(hostOnly(r.Host), targetPath(r))
	if route == nil {
		return nil, replyWithStatus(http.StatusNotFound, "no-route",
			fault.New(fault.NotFound, "no route for "+shorten(r.Host)+shorten(r.URL.Path), "check the host name and the path"), 0)
	}
	workspace, rep := s.admit(view, route, call.Key)
	if rep != nil {
		return nil, rep
	}
	q := &request{s: s, w: w, http: r, call: &call, route: withWorkspaceRank(route, workspace), workspace: workspace, arrived: arrived, avoid: map[string]bool{}, lifecycle: lifecycle.New(call.ID, s.o.Logger)}
	q.deadline = arrived.Add(requestTimeout(call.ClientTimeout, route.Timeout))
	defer s.endReading(w)()
	if rep := q.readBody(view.Config.Limits); rep != nil {
		q.releaseBuffers()
		return nil, rep
	}
	return q, nil
}

// requestTimeout returns the shorter of the client's and the route's timeout. A value of 0
// or less means that this side sets none.
func requestTimeout(client, route time.Duration) time.Duration {
	switch {
	case client <= 0 && route <= 0:
		return defaultTimeout
	case client <= 0:
		return route
	case route <= 0:
		return client
	}
	return min(client, route)
}

// targetPath returns the path of the request target as the client sent it, which is what an instance receives. The path of
// the parsed URL may differ.
func targetPath(r *http.Request) string {
	target := r.RequestURI
	if _, rest, absolute := strings.Cut(target, "://"); absolute && !strings.HasPrefix(target, "/") {
		_, path, _ := strings.Cut(rest, "/") // after the authority
		target = "/" + path
	}
	path, _, _ := strings.Cut(target, "?")
	return path
}

func hostOnly(hostport string) string {
	if host, _, err := net.SplitHostPort(hostport); err == nil {
		return host
	}
	return hostport
}

// readBody reads the complete request body within the size and time limits. After a
// failure the connection is closed, because unread bytes of the body may still arrive.
func (q *request) readBody(l fleet.Limits) *reply {
	if q.http.ContentLength == 0 {
		return nil
	}
	limit := l.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	rc := http.NewResponseController(q.w)
	if err := rc.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return q.bodyError(http.StatusRequestTimeout, err)
	}
	body, err := q.readRequestBody(http.MaxBytesReader(q.w, q.http.Body, limit), int(limit)+1)
	if errors.Is(err, errMemoryFull) {
		q.w.Header().Set("Connection", "close")
		return replyWithStatus(http.StatusServiceUnavailable, "memory-full", err, memoryFullRetry)
	}
	if !errors.Is(err, io.EOF) {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return q.bodyError(http.StatusRequestEntityTooLarge, err)
		}
		return q.bodyError(http.StatusRequestTimeout, err)
	}
	q.body = body
	if err := rc.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return q.bodyError(http.StatusRequestTimeout, err)
	}
	return nil
}

func (q *request) bodyError(status int, err error) *reply {
	q.w.Header().Set("Connection", "close")
	return replyWithStatus(status, "bad-body", fault.Wrap(err, fault.Invalid, "body did not arrive whole", "send the complete body, in time and within the size limit"), 0)
}

// rejectEarly sends and logs the reply to a request that accept rejected.
func (s *Server) rejectEarly(w http.ResponseWriter, r *http.Request, rep *reply) {
	call, _ := s.o.Protocol.DecodeRequest(r.Header) // only the request ID is needed; it is empty if the headers are invalid
	s.count("outcome." + rep.code)
	v := s.o.View()
	version := int64(0)
	if v.Config != nil {
		version = v.Config.Version
	}
	level.Warn(s.o.Logger).Log("msg", "request", "request", call.ID, "host", shorten(r.Host), "path", shorten(r.URL.Path), "status", rep.status, "outcome", rep.code,
		"config", version, "config_age", v.ConfigAge().Round(time.Millisecond), "proof_age", v.ConfigStaleness().Round(time.Millisecond), "err", rep.err)
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close") // the server would otherwise wait for the body before it responds
	}
	rep.write(w)
}

func (s *Server) count(name string) {
	metrics.GetOrRegisterCounter("gateway."+name, s.o.Metrics).Inc(1)
}

func (s *Server) time(name string, d time.Duration) {
	metrics.GetOrRegisterTimer("gateway."+name, s.o.Metrics).Update(d)
}
