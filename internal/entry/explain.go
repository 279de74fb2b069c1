package entry

import (
	"slices"

	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/engine/openai"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/control"
	"github.com/rockdoor/rockdoor/routing"
)

// ExplainRequest describes a request whose placement is to be explained. Either Model
// or Path is set.
type ExplainRequest struct {
	Workspace string `json:"workspace"`
	Model     string `json:"model,omitempty"`
	Path      string `json:"path,omitempty"`
	Selector  string `json:"selector,omitempty"`
	// PromptTokens and OutputTokens are the size of the request.
	PromptTokens int `json:"promptTokens,omitempty"`
	OutputTokens int `json:"outputTokens,omitempty"`
}

// TargetEvaluation says whether one target could serve the request, and with which score.
type TargetEvaluation struct {
	Target string  `json:"target"`
	Domain string  `json:"domain"`
	Score  float64 `json:"score"`
	// Load is the number of requests in flight at the target.
	Load int `json:"load"`
	// Broken is true if the circuit breaker of the target is open.
	Broken bool `json:"broken"`
	// Rule is the rule that excludes the target, empty if the target is permitted.
	Rule string `json:"rule,omitempty"`
}

// Explanation names the target that a request would be sent to and says why the
// other targets are excluded or rank lower.
type Explanation struct {
	Revision int64              `json:"revision"`
	Policy   string             `json:"policy"`
	Chosen   string             `json:"chosen"`
	Targets  []TargetEvaluation `json:"targets"`
	// Entry is the rule by which this entry host must not handle the request,
	// empty if it may.
	Entry string `json:"entry,omitempty"`
}

// Explain evaluates the placement of a request under the current loads, without
// sending it.
func (s *Server) Explain(q ExplainRequest) (*Explanation, error) {
	snap := s.o.Snapshot()
	c, err := s.callFor(snap, q)
	if err != nil {
		return nil, err
	}
	e := &Explanation{Revision: snap.Revision, Policy: c.policy, Targets: []TargetEvaluation{}}
	if !c.workspace.Entry.Matches(s.hostLabels(snap)) {
		e.Entry = "entrySelector " + c.workspace.Entry.String()
	}
	permitted := routing.Permit(c.targets, c.rules, func(r routing.Rejection) {
		e.Targets = append(e.Targets, TargetEvaluation{Target: r.Target, Domain: snap.Config.Targets[r.Target].Domain, Rule: r.Rule})
	})
	p := s.policy(c.policy)
	for _, t := range permitted {
		if why := s.unavailableReason(snap, t); why != "" {
			e.Targets = append(e.Targets, TargetEvaluation{Target: t.Name, Domain: t.Domain, Rule: why})
			continue
		}
		cand := routing.Candidate{Target: t, Load: s.load(t, c), Rates: routing.DefaultRates, BreakerOpen: s.breakers.broken(t.Name)}
		e.Targets = append(e.Targets, TargetEvaluation{
			Target: t.Name, Domain: t.Domain, Score: p.Score(c.cost, &cand), Load: cand.Load.Requests, Broken: cand.BreakerOpen,
		})
	}
	slices.SortStableFunc(e.Targets, compareVerdicts)
	if len(e.Targets) > 0 && e.Targets[0].Rule == "" {
		e.Chosen = e.Targets[0].Target
	}
	return e, nil
}

// unavailableReason says why a permitted target accepts no client requests at
// present. It returns "" if the target accepts them.
func (s *Server) unavailableReason(snap *control.Snapshot, t *config.Target) string {
	switch {
	case !snap.Available(t):
		return "an order is open, a change is in progress, or its host is shutting down"
	case snap.Reports[t.Name].Status.Role == engine.RolePrefill:
		return "role is prefill: it accepts only prefill requests"
	}
	return ""
}

// compareVerdicts sorts by preference: the target that would be chosen comes
// first, targets that are not permitted come last.
func compareVerdicts(a, b TargetEvaluation) int {
	switch {
	case (a.Rule == "") != (b.Rule == ""):
		return compareFirst(a.Rule == "")
	case a.Broken != b.Broken:
		return compareFirst(!a.Broken)
	case a.Score != b.Score:
		return compareFirst(a.Score < b.Score)
	}
	return 0
}

func compareFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}

func (s *Server) callFor(snap *control.Snapshot, q ExplainRequest) (*call, error) {
	if snap.Config == nil {
		return nil, fault.New(fault.Unavailable, "no configuration yet", "accept one with: rockdoor config apply")
	}
	c := &call{snapshot: snap, workspace: snap.Config.Workspaces[q.Workspace]}
	if c.workspace == nil {
		return nil, fault.Newf(fault.NotFound, "rockdoor config get lists the workspaces", "workspace %q does not exist", q.Workspace)
	}
	switch {
	case q.Model != "":
		if err := c.forModel(&openai.Request{Model: q.Model, MaxTokens: q.OutputTokens}, s.lengths); err != nil {
			return nil, err
		}
		c.cost.PrefillTokens = q.PromptTokens
	case q.Path != "":
		rt := snap.Config.RouteFor(q.Path)
		if rt == nil {
			return nil, fault.New(fault.NotFound, "no route for "+q.Path, "rockdoor config get lists the routes")
		}
		c.forRoute(rt)
	default:
		return nil, fault.New(fault.Invalid, "neither model nor path is given", "give one with --model or --path")
	}
	return c, c.restrict(q.Selector)
}
