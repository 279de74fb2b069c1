package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/engine/openai"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/attempt"
	"github.com/rockdoor/rockdoor/internal/charts"
	"github.com/rockdoor/rockdoor/internal/control"
	"github.com/rockdoor/rockdoor/internal/httpserve"
	"github.com/rockdoor/rockdoor/internal/limits"
	"github.com/rockdoor/rockdoor/internal/notice"
	"github.com/rockdoor/rockdoor/internal/ratelimit"
	"github.com/rockdoor/rockdoor/internal/settings"
	"github.com/rockdoor/rockdoor/internal/suspects"
	"github.com/rockdoor/rockdoor/quarantine"
	"github.com/rockdoor/rockdoor/routing"
	"github.com/rockdoor/rockdoor/selector"
)

const (
	// notReadyRetryAfter is the Retry-After time while the process starts or its
	// configuration is stale.
	notReadyRetryAfter = time.Second
	pathChat           = "/v1/chat/completions"
	pathText           = "/v1/completions"
)

// Options configures a Server.
type Options struct {
	Settings *settings.Settings
	// Snapshot returns the latest control state.
	Snapshot func() *control.Snapshot
	Tracker  *routing.Tracker
	// Process identifies this run of the process to its peers.
	Process string
	// Claims grants requests with an idempotency key.
	Claims Claims
	// Quarantine records which requests crash the targets that run them. If it is nil, the server
	// uses a table that is not shared with peers.
	Quarantine *quarantine.Table
	// Sender sends the requests to the targets. If it is nil, the server uses one that connects directly.
	Sender *attempt.Sender
	// Limits records the rate limits that targets announce. If it is nil, the server uses a table
	// that is not shared with peers.
	Limits  *ratelimit.Table
	Metrics metrics.Registry
	Logger  log.Logger
}

// Server handles client requests.
type Server struct {
	o         Options
	router    *mux.Router
	admission *limits.AdmissionController
	sender    *attempt.Sender
	breakers  *breakers
	crashes   *suspects.CrashDetector
	notices   *notice.Table
	limits    *ratelimit.Table
	retries   *limits.RetryBudget
	outcomes  *outcomes
	lengths   *lengths
	drain     *httpserve.Drain

	// placementMu makes the check of a workspace's share and the counting of the admitted call atomic.
	placementMu sync.Mutex

	policyMu sync.Mutex
	policies map[string]routing.Policy
}

// New returns a server.
func New(o Options) *Server {
	if o.Quarantine == nil {
		o.Quarantine = quarantine.NewTable()
	}
	if o.Limits == nil {
		o.Limits = ratelimit.NewTable(o.Process, o.Metrics, o.Logger)
	}
	if o.Sender == nil {
		o.Sender = attempt.NewSender(o.Metrics)
	}
	s := &Server{
		o:         o,
		admission: limits.NewAdmissionController(o.Settings.Limits.Requests, o.Settings.Limits.UrgentReserve),
		sender:    o.Sender,
		breakers:  newBreakers(),
		notices:   notice.NewTable(o.Logger),
		limits:    o.Limits,
		retries:   limits.NewRetryBudget(),
		outcomes:  newOutcomes(),
		lengths:   newLengths(),
		drain:     httpserve.NewDrain(),
		policies:  map[string]routing.Policy{},
	}
	s.crashes = &suspects.CrashDetector{Table: o.Quarantine, RefusesConnections: s.sender.RefusesConnections, Logger: o.Logger}
	r := mux.NewRouter().SkipClean(true)
	r.HandleFunc("/v1/models", s.models).Methods(http.MethodGet)
	r.HandleFunc(pathChat, s.complete).Methods(http.MethodPost)
	r.HandleFunc(pathText, s.complete).Methods(http.MethodPost)
	for _, path := range []string{"/v1/models", pathChat, pathText} {
		r.HandleFunc(path, s.wrongMethod)
	}
	r.PathPrefix("/v1/").HandlerFunc(s.noRoute)
	r.PathPrefix("/").HandlerFunc(s.service)
	s.router = r
	return s
}

// InFlight returns the number of in-flight requests.
func (s *Server) InFlight() int { return s.admission.InFlight() }

// Drain returns what decides during a stop which requests are still taken, and ends those in flight.
func (s *Server) Drain() *httpserve.Drain { return s.drain }

// Close closes the idle connections to the targets.
func (s *Server) Close() { s.sender.Close() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

func (s *Server) noRoute(w http.ResponseWriter, r *http.Request) {
	err := fault.New(fault.NotFound, "no route for "+r.URL.Path, "check the path, or add it to routes in the configuration")
	errorReply(http.StatusNotFound, codeNoRoute, err, 0).writeUnread(w, r, "")
}

func (s *Server) wrongMethod(w http.ResponseWriter, r *http.Request) {
	err := fault.New(fault.Invalid, "method "+r.Method+" is not allowed for "+r.URL.Path, "use a method that the route allows")
	errorReply(http.StatusMethodNotAllowed, codeMethod, err, 0).writeUnread(w, r, "")
}

// models lists the models that the client's workspace may use.
func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	c, rep := s.openCall(r)
	if rep != nil {
		rep.writeUnread(w, r, "")
		return
	}
	list := openai.ModelList{Object: "list", Data: []openai.Model{}}
	for i := range c.snapshot.Config.Config.Models {
		m := c.snapshot.Config.Models[c.snapshot.Config.Config.Models[i].Name]
		rules := append(m.Rules[:len(m.Rules):len(m.Rules)], c.workspace.Rules...)
		if len(routing.Permit(m.Engines, rules, nil)) > 0 {
			list.Data = append(list.Data, openai.Model{ID: m.Name, Object: "model", OwnedBy: "rockdoor"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// openCall creates the call for a request. It fails if the process has no
// configuration yet, if the workspace is unknown, or if this entry host must not
// handle the workspace's data.
func (s *Server) openCall(r *http.Request) (*call, *reply) {
	snap := s.o.Snapshot()
	if snap.Config == nil {
		err := fault.New(fault.Unavailable, "no configuration yet", "retry, or accept one with: rockdoor config apply")
		return nil, errorReply(http.StatusServiceUnavailable, codeNotReady, err, notReadyRetryAfter)
	}
	c := newCall(r, snap)
	var err error
	if c.workspace, err = identifyWorkspace(r, snap.Config); err != nil {
		return nil, errorReplyFor(err)
	}
	if rep := s.checkEntryHost(c); rep != nil {
		return nil, rep
	}
	return c, nil
}

// checkEntryHost rejects a call if the workspace doesn't permit this entry host, or
// if the configuration is too stale to decide that. If the call has been attempted
// before, the caller of checkEntryHost must set the outcome of the reply.
func (s *Server) checkEntryHost(c *call) *reply {
	if !c.snapshot.Fresh() {
		err := fault.New(fault.Unavailable, "this entry host has a stale configuration and cannot decide where requests may run", "retry; the load balancer routes to another entry host")
		return errorReply(http.StatusServiceUnavailable, codeStale, err, notReadyRetryAfter)
	}
	if !c.workspace.Entry.Matches(s.hostLabels(c.snapshot)) {
		err := fault.New(fault.Denied, "this entry host may not handle data of workspace "+c.workspace.Name, "use an entry host that matches the workspace's entrySelector")
		return errorReply(http.StatusMisdirectedRequest, codeWrongEntry, err, 0)
	}
	return nil
}

func (s *Server) hostLabels(snap *control.Snapshot) selector.Labels {
	if l := snap.Config.HostLabels(s.o.Settings.Host); l != nil {
		return l
	}
	return selector.Labels{"host": s.o.Settings.Host, "domain": s.o.Settings.Domain}
}

// complete handles requests of the completion API.
func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	c, rep := s.openCall(r)
	if rep != nil {
		rep.writeUnread(w, r, "")
		return
	}
	if rep := s.readBody(w, r, c); rep != nil {
		rep.write(w, c.id)
		return
	}
	req, err := openai.Parse(c.body, r.URL.Path == pathChat)
	if err == nil {
		err = c.forModel(req, s.lengths)
	}
	if err == nil {
		m := c.snapshot.Config.Models[c.class]
		err = c.applyHeaders(r.Header, time.Now(), m.Timeout.Std())
	}
	if err != nil {
		errorReplyFor(err).write(w, c.id)
		return
	}
	s.serve(w, r, c)
}

// service handles requests to plain services.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	c, rep := s.openCall(r)
	if rep != nil {
		rep.writeUnread(w, r, "")
		return
	}
	rt := c.snapshot.Config.RouteFor(r.URL.Path)
	if rt == nil {
		s.noRoute(w, r)
		return
	}
	if !slices.Contains(rt.Methods, r.Method) {
		s.wrongMethod(w, r)
		return
	}
	c.forRoute(rt)
	if err := c.applyHeaders(r.Header, time.Now(), rt.Timeout.Std()); err != nil {
		errorReplyFor(err).writeUnread(w, r, c.id)
		return
	}
	if rep := s.readBody(w, r, c); rep != nil {
		rep.write(w, c.id)
		return
	}
	s.serve(w, r, c)
}

// readBody reads the complete body within the limits on size and time. After a
// failure the read deadline stays in force and the connection is closed, since
// the HTTP server would otherwise wait for the remaining body before it sends the
// response.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, c *call) *reply {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(s.o.Settings.Limits.BodyTimeout.Std()))
	defer context.AfterFunc(s.drain.Ending(), func() { _ = rc.SetReadDeadline(time.Now()) })()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.o.Settings.Limits.BodyBytes))
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
		c.body = body
		return nil
	}
	w.Header().Set("Connection", "close")
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		e := fault.Newf(fault.Invalid, "send less", "request body is larger than %d bytes", large.Limit)
		return errorReply(http.StatusRequestEntityTooLarge, codeTooLarge, e, 0)
	default:
		e := fault.Wrap(err, fault.Invalid, "request body was not received completely", "send it within the limit bodyTimeout")
		return errorReply(http.StatusRequestTimeout, codeSlowBody, e, 0)
	}
}

// serve admits a call, runs it and sends the reply.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, c *call) {
	s.count("requests", c)
	run := newRun(s, c, w, r)
	release, err := s.admission.Admit(&c.workspace.Workspace, c.priority, c.snapshot.Serving)
	if err != nil {
		run.lifecycle.Fire(charts.Refused)
		run.finish(errorReplyFor(err))
		return
	}
	defer release()
	run.lifecycle.Fire(charts.Admitted)
	if c.claimed() {
		run.serveClaimed()
		return
	}
	run.finish(run.do())
}

func (s *Server) count(what string, c *call) {
	metrics.GetOrRegisterCounter("entry."+what+"."+string(c.priority), s.o.Metrics).Inc(1)
}

func (s *Server) policy(name string) routing.Policy {
	s.policyMu.Lock()
	defer s.policyMu.Unlock()
	p := s.policies[name]
	if p == nil {
		var err error
		if p, err = routing.New(name); err != nil {
			p, _ = routing.New(routing.CompletionTime)
		}
		s.policies[name] = p
	}
	return p
}
