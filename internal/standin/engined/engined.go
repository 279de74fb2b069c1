// Package engined is a stand-in for a model engine: it batches continuously,
// takes orders, reports its load with a lag and records every run and every
// order that took effect, so that tests can check them.
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
	// Fencing engines refuse an order that carries an old fencing token.
	Fencing bool
	Role    engine.Role
	Models  []string
	Timing  Timing
}

// Faults says how the engine misbehaves.
type Faults struct {
	// CutAfter ends each stream after that many pieces.
	CutAfter int `json:"cutAfter"`
	// CutBeforeHeaders closes the connection after the request was run.
	CutBeforeHeaders bool `json:"cutBeforeHeaders"`
	// WrongID answers as if for another request.
	WrongID bool `json:"wrongID"`
	// Silent accepts requests and says nothing.
	Silent bool `json:"silent"`
	// Refuse answers 503 without running.
	Refuse bool `json:"refuse"`
	// RateLimit is named in all answers as the rate limit, empty for none.
	RateLimit string `json:"rateLimit"`
	// Garbage answers with bytes that are no answer.
	Garbage bool `json:"garbage"`
	// CrashInOrder leaves the engine half-changed in its next order.
	CrashInOrder bool `json:"crashInOrder"`
}

// Run is the engine's record of one request.
type Run struct {
	Attempt string `json:"attempt"`
	LoadID  string `json:"loadID"`
	Engine  string `json:"engine"`
	Model   string `json:"model"`
	// Phase is prefill for a run that only read the prompt.
	Phase     string `json:"phase"`
	From      int    `json:"from"`
	Pieces    int    `json:"pieces"`
	Cancelled bool   `json:"cancelled"`
	// Aborted runs were cut by an order that the engine took.
	Aborted bool      `json:"aborted"`
	Start   time.Time `json:"start"`
	End     time.Time `json:"end"`
}

// Server is the stand-in. It is an http.Handler and safe for concurrent use.
type Server struct {
	opts   Options
	router *mux.Router
	sched  *scheduler

	mu       sync.Mutex
	faults   Faults
	runs     []Run
	orders   []engine.Order
	token    int64
	role     engine.Role
	changing bool
	// halfway is true after a crash in the middle of an order.
	halfway bool
	models  []string
	// abort ends all running requests; an engine that changes role drops them.
	abort   context.CancelFunc
	life    context.Context
	reports []engine.Status
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
	r.HandleFunc("/control/order", s.order).Methods(http.MethodPost)
	r.HandleFunc("/lab/runs", s.getRuns).Methods(http.MethodGet)
	r.HandleFunc("/lab/orders", s.getOrders).Methods(http.MethodGet)
	r.HandleFunc("/lab/faults", s.putFaults).Methods(http.MethodPut)
	s.router = r
	s.life, s.abort = context.WithCancel(context.Background())
	go s.sched.run()
	return s
}

// Close stops the engine.
func (s *Server) Close() {
	s.sched.close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abort()
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetRole changes the role at once, without an order.
func (s *Server) SetRole(r engine.Role) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.role = r
}

// Runs returns the record of all runs.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run{}, s.runs...)
}

// Orders returns the orders that took effect, in order.
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
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	if f.RateLimit != "" {
		w.Header().Set(openai.RateLimitHeader, f.RateLimit)
	}
	prompt := req.PromptText()
	phase, kv := r.Header.Get(openai.PhaseHeader), r.Header.Get(openai.KVHeader)
	if f.Refuse || !s.accepts(phase, kv, answer.Tokens(prompt)) {
		w.Header().Set(openai.NotRunHeader, "true")
		http.Error(w, "not accepting work", http.StatusServiceUnavailable)
		return
	}
	from, _ := strconv.Atoi(r.Header.Get(openai.ResumeHeader))
	priority, _ := strconv.Atoi(r.Header.Get(openai.PriorityHeader))
	total := answer.Length(prompt, req.MaxTokens)
	n := s.begin(Run{
		Attempt: r.Header.Get(openai.AttemptHeader), LoadID: r.Header.Get("X-Load-Id"),
		Engine: s.opts.Name, Model: req.Model, Phase: phase, From: from, Start: time.Now(),
	})
	pieces := 0
	ctx, life := s.runContext(r.Context())
	defer func() { s.end(n, pieces, r.Context().Err() != nil, life.Err() != nil) }()
	if f.Silent {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	q := &sequence{ctx: ctx, priority: priority, prefill: answer.Tokens(prompt) + from, decode: max(total-from, 0)}
	if phase == openai.PhasePrefill {
		if f.CutBeforeHeaders {
			panic(http.ErrAbortHandler)
		}
		s.export(w, r, q)
		return
	}
	if kv != "" {
		tokens, _ := strconv.Atoi(r.Header.Get(openai.KVTokensHeader))
		time.Sleep(s.opts.Timing.importTime(tokens))
		q.prefill = from
	}
	s.sched.add(q)
	id := r.Header.Get(openai.AttemptHeader)
	if f.WrongID {
		id = "other-" + id
	}
	w.Header().Set(openai.AttemptHeader, id)
	out := writer{w: w, id: id, req: &req, prompt: prompt, chat: r.URL.Path == "/v1/chat/completions"}
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
		out.piece(i)
		pieces++
	}
	out.finish(total)
}

// accepts reports whether the engine takes a request in its present role.
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

// export reads the prompt and names the KV cache that it leaves.
func (s *Server) export(w http.ResponseWriter, r *http.Request, q *sequence) {
	tokens := q.prefill
	q.decode = 1
	s.sched.add(q)
	select {
	case <-q.ready:
	case <-q.ctx.Done():
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(openai.AttemptHeader)
	w.Header().Set(openai.AttemptHeader, id)
	writeJSON(w, http.StatusOK, openai.KVExport{KV: s.opts.Name + "/" + id, PromptTokens: tokens})
}

// runContext ends with the request or when the engine drops all requests.
func (s *Server) runContext(ctx context.Context) (run, life context.Context) {
	s.mu.Lock()
	life = s.life
	s.mu.Unlock()
	run, cancel := context.WithCancel(ctx)
	context.AfterFunc(life, cancel)
	return run, life
}

func (s *Server) begin(run Run) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, run)
	return len(s.runs) - 1
}

func (s *Server) end(n, pieces int, cancelled, aborted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[n].Pieces = pieces
	s.runs[n].Cancelled = cancelled
	s.runs[n].Aborted = aborted && !cancelled
	s.runs[n].End = time.Now()
}

// writer sends an answer, as a stream or whole.
type writer struct {
	w      http.ResponseWriter
	id     string
	req    *openai.Request
	prompt string
	chat   bool
	whole  string
}

func (o *writer) event(data string) {
	m := &sse.Message{}
	m.AppendData(data)
	_, _ = m.WriteTo(o.w)
	_ = http.NewResponseController(o.w).Flush()
}

func (o *writer) piece(i int) {
	text := answer.Piece(o.prompt, i)
	if !o.req.Stream {
		o.whole += text
		return
	}
	if i == 0 || o.w.Header().Get("Content-Type") == "" {
		o.w.Header().Set("Content-Type", "text/event-stream")
	}
	data, _ := json.Marshal(openai.NewChunk(o.id, o.req.Model, text, o.chat))
	o.event(string(data))
}

func (o *writer) finish(total int) {
	if o.req.Stream {
		data, _ := json.Marshal(openai.NewFinalChunk(o.id, o.req.Model, o.chat))
		o.event(string(data))
		o.event(openai.Done)
		return
	}
	o.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(o.w).Encode(openai.NewResponse(o.id, o.req.Model, o.whole, answer.Tokens(o.prompt), total, o.chat))
}

// getStatus reports the load as it was ReportLag ago.
func (s *Server) getStatus(w http.ResponseWriter, _ *http.Request) {
	running, waiting, prefill, decode := s.sched.load()
	now := time.Now()
	s.mu.Lock()
	st := engine.Status{
		Role: s.role, Changing: s.changing, Token: s.token, Models: s.models, AsOf: now,
		Running: running, Waiting: waiting, PrefillTokens: prefill, DecodeTokens: decode,
	}
	s.reports = append(s.reports, st)
	cut := now.Add(-s.opts.Timing.scale(s.opts.Timing.ReportLag))
	for len(s.reports) > 1 && !s.reports[1].AsOf.After(cut) {
		s.reports = s.reports[1:]
	}
	lagged := s.reports[0]
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

// order takes an order. A repeated order id has no further effect.
func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, "bad order", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.Fencing && o.Token < s.token {
		http.Error(w, fmt.Sprintf("old token %d, have %d", o.Token, s.token), http.StatusPreconditionFailed)
		return
	}
	s.token = max(s.token, o.Token)
	if o.Kind == engine.OrderFence || s.hasTaken(o.ID) {
		return
	}
	if s.changing && o.Kind != engine.OrderReset {
		http.Error(w, "busy with another order", http.StatusConflict)
		return
	}
	s.orders = append(s.orders, o)
	if s.faults.CrashInOrder && o.Kind == engine.OrderRole {
		s.dropRequests()
		s.changing, s.halfway = true, true
		panic(http.ErrAbortHandler)
	}
	s.take(o)
}

// dropRequests ends all running requests. The caller holds s.mu.
func (s *Server) dropRequests() {
	s.abort()
	s.life, s.abort = context.WithCancel(context.Background())
}

func (s *Server) hasTaken(id string) bool {
	for _, o := range s.orders {
		if o.ID == id {
			return true
		}
	}
	return false
}

// take starts the change that an order asks for. The caller holds s.mu.
func (s *Server) take(o engine.Order) {
	switch o.Kind {
	case engine.OrderRole:
		s.dropRequests()
		s.changeRole(o.Role)
	case engine.OrderReset:
		if s.halfway || !s.changing {
			s.halfway = false
			s.changeRole(o.Role)
		}
	case engine.OrderLoad:
		s.models = append(s.models[:len(s.models):len(s.models)], o.Model)
	}
}

// changeRole makes the engine unavailable for the time of a change. The caller
// holds s.mu.
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
