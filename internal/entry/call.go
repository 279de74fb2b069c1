// Package entry handles client requests. It validates and admits a request,
// selects the targets that the request's rules permit, sends the request to one
// of them and retries where a retry is safe. The client gets either one complete
// response or an error that states whether the request may have run.
package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/engine/openai"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/control"
	"github.com/rockdoor/rockdoor/routing"
	"github.com/rockdoor/rockdoor/selector"
)

// Request headers.
const (
	// HeaderSelector restricts where the request may run.
	HeaderSelector = "Rockdoor-Selector"
	// HeaderPriority is urgent, normal or batch.
	HeaderPriority = "Rockdoor-Priority"
	// HeaderDeadline is the client timeout, such as 2s.
	HeaderDeadline = "Rockdoor-Deadline"
	// HeaderIdempotent is true or false and overrides the route's setting.
	HeaderIdempotent = "Rockdoor-Idempotent"
	// HeaderKey is the idempotency key. Requests with the same key run at most
	// once, whichever entry hosts receive them.
	HeaderKey = "Idempotency-Key"
	// HeaderWorkspace names the workspace if that workspace has no API keys.
	HeaderWorkspace = "Rockdoor-Workspace"
)

// Response headers.
const (
	// HeaderOutcome is the final state of the request: complete, not_run, unknown
	// or failed. For a stream it is a trailer.
	HeaderOutcome = "Rockdoor-Outcome"
	// HeaderRequest is the id under which the request is logged.
	HeaderRequest = "Rockdoor-Request"
	// HeaderRevision is the configuration revision under which the target was
	// chosen.
	HeaderRevision = "Rockdoor-Revision"
)

const (
	maxDeadline         = 10 * time.Minute
	bytesPerToken       = 4
	defaultOutputTokens = 128
	maxKeyBytes         = 255
	bearerPrefix        = "Bearer "
)

// call is one validated client request.
type call struct {
	id        string
	snapshot  *control.Snapshot
	workspace *config.CompiledWorkspace
	// class names the model or route in logs and metrics.
	class   string
	targets []*config.Target
	rules   selector.All
	// requestSelector comes from HeaderSelector.
	requestSelector selector.Selector
	policy          string
	pool            string // empty for a call to a plain service
	idempotent      bool
	priority        config.Priority
	deadline        time.Time
	key             string
	cost            routing.Cost

	method string
	uri    string
	header http.Header
	body   []byte
	// completion is nil for a call to a plain service.
	completion *openai.Request
}

func newCall(r *http.Request, s *control.Snapshot) *call {
	return &call{id: ulid.Make().String(), snapshot: s, method: r.Method, uri: targetOf(r), header: endToEndHeaders(r.Header)}
}

// targetOf returns the request target for a target server: as the client sent it, unless it names the host too.
func targetOf(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// stream reports whether the response is a stream of events.
func (c *call) stream() bool { return c.completion != nil && c.completion.Stream }

// hopHeaders are hop-by-hop headers and headers addressed to rockdoor itself.
// They are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization", "Content-Length", "Expect", "Accept-Encoding",
	HeaderSelector, HeaderPriority, HeaderDeadline, HeaderIdempotent, HeaderWorkspace,
	openai.AttemptHeader, openai.PriorityHeader, openai.ResumeHeader,
	openai.PhaseHeader, openai.KVHeader, openai.KVTokensHeader, openai.NotRunHeader,
}

func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range strings.Split(h.Get("Connection"), ",") {
		if name = strings.TrimSpace(name); name != "" {
			out.Del(name)
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// identifyWorkspace finds the workspace of a request by its API key, or by name
// for workspaces without keys.
func identifyWorkspace(r *http.Request, c *config.Compiled) (*config.CompiledWorkspace, error) {
	if key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix); ok {
		sum := sha256.Sum256([]byte(key))
		if w := c.WorkspaceByKey(hex.EncodeToString(sum[:])); w != nil {
			return w, nil
		}
	}
	if name := r.Header.Get(HeaderWorkspace); name != "" {
		if w := c.Workspaces[name]; w != nil && len(w.Keys) == 0 {
			return w, nil
		}
	}
	return nil, fault.New(fault.Denied, "workspace is unknown", "send the workspace's API key as Authorization: Bearer KEY")
}

// applyHeaders sets priority, idempotency, deadline, idempotency key and selector
// from the request headers. The call must already hold the defaults of its model
// or route.
func (c *call) applyHeaders(h http.Header, now time.Time, timeout time.Duration) error {
	if p := config.Priority(h.Get(HeaderPriority)); p != "" {
		if p != config.Urgent && p != config.Normal && p != config.Batch {
			return fault.Newf(fault.Invalid, "use urgent, normal or batch", "%s %q is not known", HeaderPriority, p)
		}
		c.priority = p
	}
	if text := h.Get(HeaderIdempotent); text != "" {
		v, err := strconv.ParseBool(text)
		if err != nil {
			return fault.Newf(fault.Invalid, "use true or false", "%s %q is not known", HeaderIdempotent, text)
		}
		c.idempotent = v
	}
	if text := h.Get(HeaderDeadline); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 || d > maxDeadline {
			return fault.Newf(fault.Invalid, "give a time from 1ms to "+maxDeadline.String()+", such as 2s", "%s %q is invalid", HeaderDeadline, text)
		}
		timeout = d
	}
	c.deadline = now.Add(timeout)
	if c.key = h.Get(HeaderKey); len(c.key) > maxKeyBytes {
		return fault.Newf(fault.Invalid, "shorten it", "%s has %d bytes, the limit is %d", HeaderKey, len(c.key), maxKeyBytes)
	}
	return c.restrict(h.Get(HeaderSelector))
}

// restrict parses a selector and adds it to the rules of the call.
func (c *call) restrict(text string) error {
	own, err := selector.Parse(text)
	if err != nil {
		return err
	}
	c.requestSelector = own
	c.addRequestRule()
	return nil
}

func (c *call) addRequestRule() {
	if !c.requestSelector.Empty() {
		c.rules = append(c.rules[:len(c.rules):len(c.rules)], selector.Named{Rule: "request", Selector: c.requestSelector})
	}
}

// applyConfig recomputes targets and rules under a newer configuration, so that
// a retry or a resumed stream does not run on a target that is no longer
// permitted.
func (c *call) applyConfig(s *control.Snapshot) error {
	older := c.snapshot.Revision
	c.snapshot = s
	if s.Revision == older {
		return nil
	}
	if c.workspace = s.Config.Workspaces[c.workspace.Name]; c.workspace == nil {
		return fault.New(fault.Denied, "workspace has been removed", "none")
	}
	if c.completion != nil {
		m := s.Config.Models[c.class]
		if m == nil {
			return fault.New(fault.NotFound, "model has been removed", "GET /v1/models lists the models")
		}
		c.setModelTargets(m)
	} else {
		rt := s.Config.RouteFor(c.class)
		if rt == nil || rt.Path != c.class {
			return fault.New(fault.NotFound, "route has been removed", "rockdoor config get lists the routes")
		}
		c.setRouteTargets(rt)
	}
	c.addRequestRule()
	return nil
}

// permitted returns the active targets that all rules permit.
func (c *call) permitted() []*config.Target {
	find := func() []*config.Target { return routing.Permit(c.targets, c.rules, nil) }
	if !c.requestSelector.Empty() {
		return find()
	}
	return c.snapshot.Config.Permitted(c.class, c.rules, find)
}

// forModel fills in the call from a completion request.
func (c *call) forModel(req *openai.Request, l *lengths) error {
	m := c.snapshot.Config.Models[req.Model]
	if m == nil {
		return fault.Newf(fault.NotFound, "GET /v1/models lists the models", "model %q does not exist", req.Model)
	}
	c.completion, c.class = req, m.Name
	c.setModelTargets(m)
	c.idempotent, c.priority = m.Idempotent, m.Priority
	c.cost = routing.Cost{PrefillTokens: req.PromptBytes()/bytesPerToken + 1, DecodeTokens: req.MaxTokens}
	if req.MaxTokens == 0 {
		c.cost.DecodeTokens = l.estimate(c.workspace.Name, m.Name)
	}
	return nil
}

func (c *call) setModelTargets(m *config.CompiledModel) {
	c.targets, c.pool, c.policy = m.Engines, m.Pool, c.snapshot.Config.Pools[m.Pool].Policy
	c.rules = append(m.Rules[:len(m.Rules):len(m.Rules)], c.workspace.Rules...)
}

// forRoute fills in the call from a route to a plain service.
func (c *call) forRoute(rt *config.CompiledRoute) {
	c.class = rt.Path
	c.setRouteTargets(rt)
	c.idempotent, c.priority = rt.Idempotent, rt.Priority
}

func (c *call) setRouteTargets(rt *config.CompiledRoute) {
	c.targets, c.policy = rt.Servers, routing.LeastOutstanding
	c.rules = append(rt.Rules[:len(rt.Rules):len(rt.Rules)], c.workspace.Rules...)
}
