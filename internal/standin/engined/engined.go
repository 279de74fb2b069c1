// Package engined implements a stand-in for a model engine, for tests and
// experiments. It simulates continuous batching, applies orders and reports its
// load with a lag. It records every run and every order that took effect, so that
// tests can check them.
package engined

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/tmaxmax/go-sse"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/engine/openai"
	"github.com/rockdoor/rockdoor/internal/standin/answer"
)

// Options describes one engine.
type Options struct {
	Name string
	// Fencing makes the engine reject orders with an outdated fencing token.
	Fencing bool
	Role    engine.Role
	Models  []string
	Timing  Timing
}

// Faults selects the failures that the engine simulates.
type Faults struct {
	// CutAfter, if positive, closes the connection after this many pieces of a response.
	CutAfter int `json:"cutAfter"`
	// CutBeforeHeaders accepts the request and closes the connection before the response headers.
	CutBeforeHeaders bool `json:"cutBeforeHeaders"`
	// WrongID responds with the ID of another attempt.
	WrongID bool `json:"wrongID"`
	// NoResponse accepts requests and never responds to them.
	NoResponse bool `json:"silent"`
	// Refuse rejects requests with 503 and does not run them.
	Refuse bool `json:"refuse"`
	// RateLimit is sent in the rate limit header of all responses. If it is empty, the header is
	// left out.
	RateLimit string `json:"rateLimit"`
	// Garbage responds with a body that is not valid in the API.
	Garbage bool `json:"garbage"`
	// GarbageAfter, if positive, adds an event that is not valid in the API after this many pieces of a stream.
	GarbageAfter int `json:"garbageAfter"`
	// CrashInOrder makes the engine crash while it changes its role for an order. It then serves no
	// requests until a reset.
	CrashInOrder bool `json:"crashInOrder"`
}

// Run is the record of one request that the engine ran.
type Run struct {
	Attempt string `json:"attempt"`
	LoadID  string `json:"loadID"`
	Engine  string `json:"engine"`
	Model   string `json:"model"`
	// Phase is "prefill" for a run that only prefilled the prompt.
	Phase string `json:"phase"`
	// From is the index of the first generated piece. It is positive in a run that resumes a response.
	From      int  `json:"from"`
	Pieces    int  `json:"pieces"`
	Cancelled bool `json:"cancelled"`
	// Aborted is true if an order ended the run.
	Aborted bool      `json:"aborted"`
	Start   time.Time `json:"start"`
	End     time.Time `json:"end"`
}

// Server is a simulated engine. It is an http.Handler and safe for concurrent use.
type Server struct {
	opts   Options
	router *mux.Router
	sched  *scheduler

	mu       sync.Mutex
	faults   Faults
	runs     []Run
	orders   []engine.Order
	maxToken int64
	role     engine.Role
	changing bool
	// crashedInOrder is true from a simulated crash until the next reset.
	crashedInOrder bool
	models         []string
	// runsCtx is the parent context of all running requests. abortRuns cancels it, which aborts the
	// requests, when an order changes the role and when the engine is closed.
	abortRuns     context.CancelFunc
	runsCtx       context.Context
	statusHistory []engine.Status
}

// New starts an engine.
func New(o Options) *Server {
	if o.Role == "" {
		o.Role = engine.RoleMixed
	}
	s := &Server{opts: o, sched: newScheduler(o.Timing), role: o.Role, models: o.Models}
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", s.complete).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", s.complete).Methods(http.MethodPost)
	r.HandleFunc("/control/status", s.getStatus).Methods(http.MethodGet)
	r.HandleFunc("/control/order", s.postOrder).Methods(http.MethodPost)
	r.HandleFunc("/lab/runs", s.getRuns).Methods(http.MethodGet)
	r.HandleFunc("/lab/orders", s.getOrders).Methods(http.MethodGet)
	r.HandleFunc("/lab/faults", s.putFaults).Methods(http.MethodPut)
	s.router = r
	s.runsCtx, s.abortRuns = context.WithCancel(context.Background())
	go s.sched.run()
	return s
}

// Close stops the engine.
func (s *Server) Close() {
	s.sched.close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abortRuns()
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// SetFaults replaces the simulated failures.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetRole changes the role immediately and without an order.
func (s *Server) SetRole(r engine.Role) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.role = r
}

// Runs returns the recorded runs in the order of their start.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run{}, s.runs...)
}

// Orders returns the orders that took effect, oldest first.
func (s *Server) Orders() []engine.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]engine.Order{}, s.orders...)
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	f := s.currentFaults()
	var req openai.Request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, "request body is not valid JSON", http.StatusBadRequest)
		return
	}
	if f.RateLimit != "" {
		w.Header().Set(openai.RateLimitHeader, f.RateLimit)
	}
	prompt := req.PromptText()
	phase, kv := r.Header.Get(openai.PhaseHeader), r.Header.Get(openai.KVHeader)
	id := r.Header.Get(openai.AttemptHeader)
	if f.WrongID {
		id = "other-" + id
	}
	w.Header().Set(openai.AttemptHeader, id)
	if f.Refuse || !s.accepts(phase, kv, answer.Tokens(prompt)) {
		w.Header().Set(openai.NotRunHeader, "true")
		http.Error(w, "not accepting work", http.StatusServiceUnavailable)
		return
	}
	from, _ := strconv.Atoi(r.Header.Get(openai.ResumeHeader))
	priority, _ := strconv.Atoi(r.Header.Get(openai.PriorityHeader))
	total := answer.Length(prompt, req.MaxTokens)
	n := s.recordStart(Run{
		Attempt: r.Header.Get(openai.AttemptHeader), LoadID: r.Header.Get("X-Load-Id"),
		Engine: s.opts.Name, Model: req.Model, Phase: phase, From: from, Start: time.Now(),
	})
	pieces := 0
	ctx, allRuns := s.runContext(r.Context())
	defer func() { s.recordEnd(n, pieces, r.Context().Err() != nil, allRuns.Err() != nil) }()
	if f.NoResponse {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	q := &sequence{ctx: ctx, priority: priority, remainingPrefill: answer.Tokens(prompt) + from, remainingDecode: max(total-from, 0)}
	if phase == openai.PhasePrefill {
		if f.CutBeforeHeaders {
			panic(http.ErrAbortHandler)
		}
		s.exportKV(w, r, q)
		return
	}
	if kv != "" {
		tokens, _ := strconv.Atoi(r.Header.Get(openai.KVTokensHeader))
		time.Sleep(s.opts.Timing.importTime(tokens))
		q.remainingPrefill = from
	}
	s.sched.enqueue(q)
	out := responseWriter{w: w, id: id, req: &req, prompt: prompt, chat: r.URL.Path == "/v1/chat/completions"}
	if f.CutBeforeHeaders {
		panic(http.ErrAbortHandler)
	}
	if f.Garbage {
		_, _ = w.Write([]byte("\x00\x01garbage"))
		return
	}
	for i := from; i < total; i++ {
		select {
		case <-q.ready:
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
		if f.CutAfter > 0 && i-from >= f.CutAfter {
			panic(http.ErrAbortHandler)
		}
		if f.GarbageAfter > 0 && i-from == f.GarbageAfter && req.Stream {
			out.writeEvent("garbage")
		}
		out.writePiece(i)
		pieces++
	}
	out.finish(total)
}

// accepts reports whether the engine accepts a request in its current role.
func (s *Server) accepts(phase, kv string, promptTokens int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.changing:
		return false
	case s.role == engine.RolePrefill:
		return phase == openai.PhasePrefill
	case s.role == engine.RoleDecode:
		return phase == "" && (kv != "" || promptTokens <= openai.MaxDecodePrompt)
	}
	return true
}

// exportKV prefills the prompt and responds with the ID of the resulting KV cache.
func (s *Server) exportKV(w http.ResponseWriter, r *http.Request, q *sequence) {
	tokens := q.remainingPrefill
	q.remainingDecode = 1
	s.sched.enqueue(q)
	select {
	case <-q.ready:
	case <-q.ctx.Done():
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, openai.KVExport{KV: s.opts.Name + "/" + r.Header.Get(openai.AttemptHeader), PromptTokens: tokens})
}

// runContext returns a context that is cancelled with the request or when the engine aborts all
// running requests, and the context that is cancelled only when it aborts them.
func (s *Server) runContext(ctx context.Context) (run, all context.Context) {
	s.mu.Lock()
	all = s.runsCtx
	s.mu.Unlock()
	run, cancel := context.WithCancel(ctx)
	context.AfterFunc(all, cancel)
	return run, all
}

func (s *Server) recordStart(run Run) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, run)
	return len(s.runs) - 1
}

func (s *Server) recordEnd(n, pieces int, cancelled, aborted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[n].Pieces = pieces
	s.runs[n].Cancelled = cancelled
	s.runs[n].Aborted = aborted && !cancelled
	s.runs[n].End = time.Now()
}

// responseWriter sends a completion, either as a stream of events or as one JSON document.
type responseWriter struct {
	w      http.ResponseWriter
	id     string
	req    *openai.Request
	prompt string
	chat   bool
	text   string
}

func (o *responseWriter) writeEvent(data string) {
	m := &sse.Message{}
	m.AppendData(data)
	_, _ = m.WriteTo(o.w)
	_ = http.NewResponseController(o.w).Flush()
}

func (o *responseWriter) writePiece(i int) {
	text := answer.Piece(o.prompt, i)
	if !o.req.Stream {
		o.text += text
		return
	}
	if i == 0 || o.w.Header().Get("Content-Type") == "" {
		o.w.Header().Set("Content-Type", "text/event-stream")
	}
	data, _ := json.Marshal(openai.NewChunk(o.id, o.req.Model, text, o.chat))
	o.writeEvent(string(data))
}

func (o *responseWriter) finish(total int) {
	if o.req.Stream {
		data, _ := json.Marshal(openai.NewFinalChunk(o.id, o.req.Model, o.chat))
		o.writeEvent(string(data))
		o.writeEvent(openai.Done)
		return
	}
	o.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(o.w).Encode(openai.NewResponse(o.id, o.req.Model, o.text, answer.Tokens(o.prompt), total, o.chat))
}

// getStatus reports the current role and models, and the load as of the time ReportLag ago.
func (s *Server) getStatus(w http.ResponseWriter, _ *http.Request) {
	running, waiting, prefill, decode := s.sched.queuedLoad()
	now := time.Now()
	s.mu.Lock()
	st := engine.Status{
		Role: s.role, Changing: s.changing, Token: s.maxToken, Models: s.models, AsOf: now,
		Running: running, Waiting: waiting, PrefillTokens: prefill, DecodeTokens: decode,
	}
	s.statusHistory = append(s.statusHistory, st)
	cutoff := now.Add(-s.opts.Timing.scale(s.opts.Timing.ReportLag))
	for len(s.statusHistory) > 1 && !s.statusHistory[1].AsOf.After(cutoff) {
		s.statusHistory = s.statusHistory[1:]
	}
	lagged := s.statusHistory[0]
	st.Running, st.Waiting = lagged.Running, lagged.Waiting
	st.PrefillTokens, st.DecodeTokens, st.AsOf = lagged.PrefillTokens, lagged.DecodeTokens, lagged.AsOf
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, st)
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}

// postOrder accepts an order. If the ID of an order repeats, the order has no further effect.
func (s *Server) postOrder(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, "order is not valid JSON", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.Fencing && o.Token < s.maxToken {
		http.Error(w, fmt.Sprintf("outdated fencing token %d, the highest is %d", o.Token, s.maxToken), http.StatusPreconditionFailed)
		return
	}
	s.maxToken = max(s.maxToken, o.Token)
	if o.Kind == engine.OrderFence || s.hasAccepted(o.ID) {
		return
	}
	if s.changing && o.Kind != engine.OrderReset {
		http.Error(w, "another order is in progress", http.StatusConflict)
		return
	}
	s.orders = append(s.orders, o)
	if s.faults.CrashInOrder && o.Kind == engine.OrderRole {
		s.abortAllRuns()
		s.changing, s.crashedInOrder = true, true
		panic(http.ErrAbortHandler)
	}
	s.execute(o)
}

// abortAllRuns cancels all running requests. The caller holds s.mu.
func (s *Server) abortAllRuns() {
	s.abortRuns()
	s.runsCtx, s.abortRuns = context.WithCancel(context.Background())
}

func (s *Server) hasAccepted(id string) bool {
	for _, o := range s.orders {
		if o.ID == id {
			return true
		}
	}
	return false
}

// execute starts the change that an order requests. The caller holds s.mu.
func (s *Server) execute(o engine.Order) {
	switch o.Kind {
	case engine.OrderRole:
		s.abortAllRuns()
		s.changeRole(o.Role)
	case engine.OrderReset:
		if s.crashedInOrder || !s.changing {
			s.crashedInOrder = false
			s.changeRole(o.Role)
		}
	case engine.OrderLoad:
		s.models = append(s.models[:len(s.models):len(s.models)], o.Model)
	}
}

// changeRole starts a change of the role. The engine rejects requests until it has
// ended. The caller holds s.mu.
func (s *Server) changeRole(to engine.Role) {
	s.changing = true
	time.AfterFunc(s.opts.Timing.scale(s.opts.Timing.RoleChange), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.role, s.changing = to, false
	})
}

func (s *Server) getRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Runs())
}

func (s *Server) getOrders(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Orders())
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}
