package entry

import (
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
	// notReadyWait is when to ask again while a process starts or is cut off.
	notReadyWait = time.Second
	pathChat     = "/v1/chat/completions"
	pathText     = "/v1/completions"
)

// Options of a Server.
type Options struct {
	Settings *settings.Settings
	// Snapshot returns the latest control state.
	Snapshot func() *control.Snapshot
	Tracker  *routing.Tracker
	// Process identifies this run of the process to the others.
	Process string
	// Claims grants requests with an idempotency key.
	Claims Claims
	// Quarantine knows which calls end the targets that run them; without one this process
	// alone learns it.
	Quarantine *quarantine.Table
	// Limits are the rates that targets limit themselves to; without any this process alone
	// keeps them.
	Limits  *ratelimit.Table
	Metrics metrics.Registry
	Logger  log.Logger
}

// Server is the handler of callers' requests.
type Server struct {
	o        Options
	router   *mux.Router
	gate     *limits.AdmissionController
	runner   *attempt.Sender
	breakers *breakers
	watch    *suspects.CrashDetector
	notices  *notice.Table
	limits   *ratelimit.Table
	retries  *limits.RetryBudget
	outcomes *outcomes
	lengths  *lengths

	// placing is held while the share of a call's workspace is looked at and the call is counted.
	placing sync.Mutex

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
	s := &Server{
		o:        o,
		gate:     limits.NewAdmissionController(o.Settings.Limits.Requests, o.Settings.Limits.UrgentReserve),
		runner:   attempt.NewSender(o.Metrics),
		breakers: newBreakers(),
		notices:  notice.NewTable(o.Logger),
		limits:   o.Limits,
		retries:  limits.NewRetryBudget(),
		outcomes: newOutcomes(),
		lengths:  newLengths(),
		policies: map[string]routing.Policy{},
	}
	s.watch = &suspects.CrashDetector{Table: o.Quarantine, RefusesConnections: s.runner.RefusesConnections, Logger: o.Logger}
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

// InHand returns the number of requests that are being served.
func (s *Server) InHand() int { return s.gate.InFlight() }

// Close drops idle connections to the targets.
func (s *Server) Close() { s.runner.Close() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

func (s *Server) noRoute(w http.ResponseWriter, r *http.Request) {
	err := fault.New(fault.NotFound, "no route for "+r.URL.Path, "check the path, or add it to routes in the configuration")
	refusal(http.StatusNotFound, codeNoRoute, err, 0).write(w, "")
}

func (s *Server) wrongMethod(w http.ResponseWriter, r *http.Request) {
	err := fault.New(fault.Invalid, "method "+r.Method+" is not allowed for "+r.URL.Path, "use a method that the route takes")
	refusal(http.StatusMethodNotAllowed, codeMethod, err, 0).write(w, "")
}

// models lists the models that the caller's workspace may use.
func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	c, rep := s.open(r)
	if rep != nil {
		rep.write(w, "")
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

// open starts a call: the process must be ready and know the configuration, the
// workspace must be known, and its data may be carried by this entry host.
func (s *Server) open(r *http.Request) (*call, *reply) {
	snap := s.o.Snapshot()
	if snap.Config == nil {
		err := fault.New(fault.Unavailable, "no configuration yet", "ask again, or accept one with: rockdoor config apply")
		return nil, refusal(http.StatusServiceUnavailable, codeNotReady, err, notReadyWait)
	}
	c := newCall(r, snap)
	var err error
	if c.workspace, err = identify(r, snap.Config); err != nil {
		return nil, refusalFor(err)
	}
	if rep := s.mayCarry(c); rep != nil {
		return nil, rep
	}
	return c, nil
}

// mayCarry refuses a call that this entry host may not carry, as far as it knows
// or because it cannot know. The caller sets the outcome of the reply if the
// call has been attempted before.
func (s *Server) mayCarry(c *call) *reply {
	if !c.snapshot.Fresh() {
		err := fault.New(fault.Unavailable, "this entry host is cut off and cannot know where requests may run", "ask again; the balancer leads to another entry host")
		return refusal(http.StatusServiceUnavailable, codeStale, err, notReadyWait)
	}
	if !c.workspace.Entry.Matches(s.hostLabels(c.snapshot)) {
		err := fault.New(fault.Denied, "this entry host may not carry data of workspace "+c.workspace.Name, "use an entry host that matches the workspace's entrySelector")
		return refusal(http.StatusMisdirectedRequest, codeWrongEntry, err, 0)
	}
	return nil
}

func (s *Server) hostLabels(snap *control.Snapshot) selector.Labels {
	if l := snap.Config.HostLabels(s.o.Settings.Host); l != nil {
		return l
	}
	return selector.Labels{"host": s.o.Settings.Host, "domain": s.o.Settings.Domain}
}

// complete serves the completion API.
func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	c, rep := s.open(r)
	if rep != nil {
		rep.write(w, "")
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
		err = c.preferences(r.Header, time.Now(), m.Timeout.Std())
	}
	if err != nil {
		refusalFor(err).write(w, c.id)
		return
	}
	s.serve(w, r, c)
}

// service serves the routes to plain services.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	c, rep := s.open(r)
	if rep != nil {
		rep.write(w, "")
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
	if err := c.preferences(r.Header, time.Now(), rt.Timeout.Std()); err != nil {
		refusalFor(err).write(w, c.id)
		return
	}
	if rep := s.readBody(w, r, c); rep != nil {
		rep.write(w, c.id)
		return
	}
	s.serve(w, r, c)
}

// readBody reads the whole body within the limits on size and time. After a
// failure the read deadline stays in force and the connection is closed, since
// the HTTP server would otherwise wait for the rest of the body before it sends
// the answer.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, c *call) *reply {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(s.o.Settings.Limits.BodyTimeout.Std()))
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
		return refusal(http.StatusRequestEntityTooLarge, codeTooLarge, e, 0)
	default:
		e := fault.Wrap(err, fault.Invalid, "request body did not arrive whole", "send it faster than the limit bodyTimeout")
		return refusal(http.StatusRequestTimeout, codeSlowBody, e, 0)
	}
}

// serve admits a call and runs it.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, c *call) {
	s.count("requests", c)
	run := newRun(s, c, w, r)
	release, err := s.gate.Admit(&c.workspace.Workspace, c.priority, c.snapshot.Serving)
	if err != nil {
		run.life.Fire(charts.Refused)
		run.finish(refusalFor(err))
		return
	}
	defer release()
	run.life.Fire(charts.Admitted)
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
