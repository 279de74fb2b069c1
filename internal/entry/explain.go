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

// Question asks where a request would run. Model or Path is set.
type Question struct {
	Workspace string `json:"workspace"`
	Model     string `json:"model,omitempty"`
	Path      string `json:"path,omitempty"`
	Selector  string `json:"selector,omitempty"`
	// PromptTokens and OutputTokens describe the request's size.
	PromptTokens int `json:"promptTokens,omitempty"`
	OutputTokens int `json:"outputTokens,omitempty"`
}

// Verdict on one target.
type Verdict struct {
	Target string  `json:"target"`
	Domain string  `json:"domain"`
	Score  float64 `json:"score"`
	Load   int     `json:"load"`
	Broken bool    `json:"broken"`
	// Rule is what does not permit the target; empty if it is permitted.
	Rule string `json:"rule,omitempty"`
}

// Explanation says where a request would run, and why not elsewhere.
type Explanation struct {
	Revision int64     `json:"revision"`
	Policy   string    `json:"policy"`
	Chosen   string    `json:"chosen"`
	Targets  []Verdict `json:"targets"`
	// Entry is the rule that keeps this entry host from carrying the request.
	Entry string `json:"entry,omitempty"`
}

// Explain answers a question with the present loads. Nothing is run.
func (s *Server) Explain(q Question) (*Explanation, error) {
	snap := s.o.Snapshot()
	c, err := s.callFor(snap, q)
	if err != nil {
		return nil, err
	}
	e := &Explanation{Revision: snap.Revision, Policy: c.policy, Targets: []Verdict{}}
	if !c.workspace.Entry.Matches(s.hostLabels(snap)) {
		e.Entry = "entrySelector " + c.workspace.Entry.String()
	}
	permitted := routing.Permit(c.targets, c.rules, func(r routing.Rejection) {
		e.Targets = append(e.Targets, Verdict{Target: r.Target, Domain: snap.Config.Targets[r.Target].Domain, Rule: r.Rule})
	})
	p := s.policy(c.policy)
	for _, t := range permitted {
		if why := s.unfit(snap, t); why != "" {
			e.Targets = append(e.Targets, Verdict{Target: t.Name, Domain: t.Domain, Rule: why})
			continue
		}
		cand := routing.Candidate{Target: t, Load: s.load(t, c), Rates: routing.DefaultRates, Broken: s.breakers.broken(t.Name)}
		e.Targets = append(e.Targets, Verdict{
			Target: t.Name, Domain: t.Domain, Score: p.Score(c.cost, &cand), Load: cand.Load.Requests, Broken: cand.Broken,
		})
	}
	slices.SortStableFunc(e.Targets, compareVerdicts)
	if len(e.Targets) > 0 && e.Targets[0].Rule == "" {
		e.Chosen = e.Targets[0].Target
	}
	return e, nil
}

// unfit says why a permitted target runs no whole requests now, or nothing.
func (s *Server) unfit(snap *control.Snapshot, t *config.Target) string {
	switch {
	case !snap.Available(t):
		return "an order is open, it is changing, or its host is leaving"
	case snap.Reports[t.Name].Status.Role == engine.RolePrefill:
		return "role is prefill: it reads prompts only"
	}
	return ""
}

// compareVerdicts puts the target that would be chosen first and those that are
// not permitted last.
func compareVerdicts(a, b Verdict) int {
	switch {
	case (a.Rule == "") != (b.Rule == ""):
		return order(a.Rule == "")
	case a.Broken != b.Broken:
		return order(!a.Broken)
	case a.Score != b.Score:
		return order(a.Score < b.Score)
	}
	return 0
}

func order(first bool) int {
	if first {
		return -1
	}
	return 1
}

func (s *Server) callFor(snap *control.Snapshot, q Question) (*call, error) {
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
