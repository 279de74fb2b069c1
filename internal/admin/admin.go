// Package admin serves the operators' API: health checks, metrics, the configuration and the state of the
// fleet. The command line uses the same API.
//
//	GET  /healthz                     liveness check
//	GET  /readyz                      readiness check: the process accepts requests
//	GET  /metrics                     metrics in the Prometheus text format
//	GET  /api/v1/config               the configuration in force
//	PUT  /api/v1/config?ifRevision=N  replace the configuration; 409 if N is not in force
//	POST /api/v1/config/validate      check a configuration without applying it
//	GET  /api/v1/config/history       accepted changes, newest first
//	POST /api/v1/edits                edit single labels and states
//	GET  /api/v1/status               members, engines and backend servers
//	POST /api/v1/vouch                confirm that a run of a process has ended
//	POST /api/v1/explain              explain where a request would run
package admin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/confstore"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/control"
	"github.com/rockdoor/rockdoor/internal/controller"
	"github.com/rockdoor/rockdoor/internal/entry"
	"github.com/rockdoor/rockdoor/jsonc"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/routing"
)

const (
	maxConfigBytes        = 64 << 20
	maxJSONBytes          = 1 << 20
	callTimeout           = 20 * time.Second
	defaultHistoryEntries = 20
	maxHistoryEntries     = 1000
)

// Options of a Server.
type Options struct {
	Store    objstore.Store
	Loader   *confstore.Loader
	Snapshot func() *control.Snapshot
	// OwnLoad returns the load that this process has placed on a target.
	OwnLoad func(target string) routing.Load
	// Refresh updates the mirror from the store, so that this process sees its own writes at once.
	Refresh func(context.Context)
	// Ready returns why the process does not accept requests, or nil if it does.
	Ready func() error
	// Explain returns where a request would run and why not elsewhere, without running it.
	Explain func(entry.ExplainRequest) (*entry.Explanation, error)
	// Pools returns the pools that this process controls or is a candidate to control.
	Pools func() []controller.PoolStatus
	// Watcher reports whether this process watches the store.
	Watcher func() bool
	Self    members.Member
	Metrics metrics.Registry
	Logger  log.Logger
}

// Server handles the requests of operators.
type Server struct {
	o      Options
	router *mux.Router
	writer *confstore.Writer
}

// New returns a server.
func New(o Options) *Server {
	s := &Server{o: o, writer: confstore.NewWriter(o.Store)}
	r := mux.NewRouter()
	r.HandleFunc("/healthz", s.healthz).Methods(http.MethodGet)
	r.HandleFunc("/readyz", s.readyz).Methods(http.MethodGet)
	r.HandleFunc("/metrics", s.metrics).Methods(http.MethodGet)
	r.HandleFunc("/api/v1/config", s.getConfig).Methods(http.MethodGet)
	r.HandleFunc("/api/v1/config", s.putConfig).Methods(http.MethodPut)
	r.HandleFunc("/api/v1/config/validate", s.validate).Methods(http.MethodPost)
	r.HandleFunc("/api/v1/config/history", s.history).Methods(http.MethodGet)
	r.HandleFunc("/api/v1/edits", s.edit).Methods(http.MethodPost)
	r.HandleFunc("/api/v1/status", s.status).Methods(http.MethodGet)
	r.HandleFunc("/api/v1/vouch", s.vouch).Methods(http.MethodPost)
	r.HandleFunc("/api/v1/explain", s.explain).Methods(http.MethodPost)
	s.router = r
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	s.router.ServeHTTP(w, r.WithContext(ctx))
}

// ErrorBody is the response to a call that failed.
type ErrorBody struct {
	Kind     fault.Kind     `json:"kind"`
	Message  string         `json:"message"`
	Problems jsonc.Problems `json:"problems,omitempty"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

func writeError(w http.ResponseWriter, err error) {
	kind := fault.KindOf(err)
	status := http.StatusInternalServerError
	switch kind {
	case fault.Invalid:
		status = http.StatusUnprocessableEntity
	case fault.NotFound:
		status = http.StatusNotFound
	case fault.Conflict:
		status = http.StatusConflict
	case fault.Unavailable, fault.Exhausted:
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", "1")
	case fault.Unknown:
		status = http.StatusGatewayTimeout
	}
	writeJSON(w, status, ErrorBody{Kind: kind, Message: err.Error(), Problems: jsonc.ProblemsOf(err)})
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") }

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := s.o.Ready(); err != nil {
		writeError(w, err)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

// readAll reads a body up to limit bytes.
func readAll(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, fault.Newf(fault.Invalid, "send less", "body is larger than %d bytes", limit)
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "body did not arrive whole", "send it again")
	}
	return body, nil
}

// Accepted is the response to a change of the configuration that was accepted.
type Accepted struct {
	Revision int64  `json:"revision"`
	ChangeID string `json:"changeID"`
}

func (s *Server) getConfig(w http.ResponseWriter, _ *http.Request) {
	snap := s.o.Snapshot()
	if snap.Config == nil {
		writeError(w, fault.New(fault.NotFound, "no configuration yet", "accept one with: rockdoor config apply"))
		return
	}
	w.Header().Set("Rockdoor-Revision", strconv.FormatInt(snap.Revision, 10))
	writeJSON(w, http.StatusOK, snap.Config.Config)
}

func (s *Server) putConfig(w http.ResponseWriter, r *http.Request) {
	text, err := readAll(w, r, maxConfigBytes)
	if err != nil {
		writeError(w, err)
		return
	}
	c, _, err := config.Parse(fileName(r), text)
	if err != nil {
		writeError(w, err)
		return
	}
	base, err := confstore.ReadHead(r.Context(), s.o.Store)
	if err != nil {
		writeError(w, err)
		return
	}
	if err := checkRevision(r.URL.Query().Get("ifRevision"), base.Head.Revision); err != nil {
		writeError(w, err)
		return
	}
	a, err := s.writer.Apply(r.Context(), base, c, changeFromQuery(r))
	s.writeChange(w, r, a, err)
}

func fileName(r *http.Request) string {
	if name := r.URL.Query().Get("file"); name != "" {
		return name
	}
	return "configuration"
}

func checkRevision(text string, inForce int64) error {
	if text == "" {
		return nil
	}
	want, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return fault.New(fault.Invalid, "ifRevision is not a number", "give the revision that the change is based on")
	}
	if want != inForce {
		return fault.Newf(fault.Conflict, "read the configuration again and repeat the change",
			"revision %d is in force, the change is based on %d", inForce, want)
	}
	return nil
}

func changeFromQuery(r *http.Request) confstore.Change {
	q := r.URL.Query()
	return confstore.Change{ID: q.Get("changeID"), Author: q.Get("author"), Note: q.Get("note")}
}

func (s *Server) writeChange(w http.ResponseWriter, r *http.Request, a confstore.StoredHead, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	level.Info(s.o.Logger).Log("msg", "change accepted", "revision", a.Head.Revision, "change", a.Head.ChangeID, "author", a.Head.Author, "note", a.Head.Note)
	s.o.Refresh(r.Context())
	writeJSON(w, http.StatusOK, Accepted{Revision: a.Head.Revision, ChangeID: a.Head.ChangeID})
}

func (s *Server) validate(w http.ResponseWriter, r *http.Request) {
	text, err := readAll(w, r, maxConfigBytes)
	if err == nil {
		_, _, err = config.Parse(fileName(r), text)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit < 1 {
		limit = defaultHistoryEntries
	}
	heads, err := confstore.History(r.Context(), s.o.Store, min(limit, maxHistoryEntries))
	if err != nil {
		writeError(w, err)
		return
	}
	for i := range heads {
		heads[i].Chunks = nil
	}
	writeJSON(w, http.StatusOK, heads)
}

func (s *Server) edit(w http.ResponseWriter, r *http.Request) {
	var edits []confstore.Edit
	if err := decodeJSON(w, r, &edits); err != nil {
		writeError(w, err)
		return
	}
	a, err := s.writer.EditAll(r.Context(), s.o.Loader, edits, changeFromQuery(r))
	s.writeChange(w, r, a, err)
}

func decodeJSON(w http.ResponseWriter, r *http.Request, out any) error {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxJSONBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return fault.Wrap(err, fault.Invalid, "body cannot be read", "send the JSON that the API describes")
	}
	return nil
}

// Vouch is an operator's confirmation that a run of a process has ended and will never act again.
type Vouch struct {
	Incarnation string `json:"incarnation"`
	By          string `json:"by"`
}

func (s *Server) vouch(w http.ResponseWriter, r *http.Request) {
	var v Vouch
	err := decodeJSON(w, r, &v)
	if err == nil && (v.Incarnation == "" || v.By == "") {
		err = fault.New(fault.Invalid, "incarnation or by is missing", "give both; rockdoor status -o json shows the incarnations")
	}
	if err == nil {
		_, err = objstore.PutSettled(r.Context(), s.o.Store, controller.VouchPrefix+v.Incarnation, []byte(v.By), 0, v.By)
	}
	if err != nil && !fault.Is(err, fault.Conflict) {
		writeError(w, err)
		return
	}
	level.Warn(s.o.Logger).Log("msg", "operator confirmed that a process has ended", "incarnation", v.Incarnation, "by", v.By)
	s.o.Refresh(r.Context())
	writeJSON(w, http.StatusOK, v)
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	var q entry.ExplainRequest
	if err := decodeJSON(w, r, &q); err != nil {
		writeError(w, err)
		return
	}
	e, err := s.o.Explain(q)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, e)
}
