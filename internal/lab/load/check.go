package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/selector"
)

// TargetRun is a run that a stand-in recorded.
type TargetRun struct {
	LoadID string `json:"loadID"`
	Engine string `json:"engine"`
	Server string `json:"server"`
	From   int    `json:"from"`
	// Phase is "prefill" for a run that only prefilled the prompt; empty otherwise.
	Phase string `json:"phase"`
}

// Target returns the name of the engine or backend server.
func (t TargetRun) Target() string {
	if t.Engine != "" {
		return t.Engine
	}
	return t.Server
}

// FetchRuns reads the recorded runs from all targets of a configuration.
func FetchRuns(ctx context.Context, c *config.Compiled) ([]TargetRun, error) {
	var all []TargetRun
	client := http.Client{Timeout: 10 * time.Second}
	for _, t := range c.Targets {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address+"/lab/runs", nil)
		if err != nil {
			return nil, err
		}
		resp, err := client.Do(req)
		if err != nil {
			return nil, fault.Wrap(err, fault.Unavailable, "stand-in "+t.Name+" did not return its runs", "check that it is running")
		}
		var runs []TargetRun
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil {
			err = json.Unmarshal(body, &runs)
		}
		if err == nil && (runs == nil || resp.StatusCode != http.StatusOK) {
			err = errors.Newf("no list, status %d", resp.StatusCode)
		}
		if err != nil {
			return nil, fault.Wrap(err, fault.Internal, "list of runs of stand-in "+t.Name+" cannot be decoded", "check that the target is a stand-in of this version")
		}
		all = append(all, runs...)
	}
	return all, nil
}

// Violations counts violated guarantees.
type Violations struct {
	// WrongTarget counts runs at targets that the rules did not permit.
	WrongTarget int `json:"wrongPlace"`
	// RanMoreThanOnce counts requests that must not be retried but ran more than once.
	RanMoreThanOnce int `json:"doubled"`
	// FalseNotRun counts requests that ran although they were reported as not run.
	FalseNotRun int `json:"falseNotRun"`
	// WrongResponse counts complete responses that belonged to another request.
	WrongResponse int `json:"wrongAnswer"`
	// NoFinalResponse counts requests that got no final response.
	NoFinalResponse int `json:"broken"`
	// NoRecordedRun counts complete responses without a recorded run.
	NoRecordedRun int `json:"missing"`
}

// Any reports whether there was any violation. Requests without a final response count too, since
// no entry host is killed while a load runs.
func (v Violations) Any() bool { return v != Violations{} }

// Check compares the clients' results with the runs that the targets recorded.
func Check(m Mix, c *config.Compiled, results []Result, runs []TargetRun) Violations {
	var v Violations
	byID := map[string][]TargetRun{}
	for _, r := range runs {
		byID[r.LoadID] = append(byID[r.LoadID], r)
	}
	for _, r := range results {
		class := m.Class(r.Class)
		rules, idempotent := classRules(c, class)
		recorded := byID[r.ID]
		for _, run := range recorded {
			t := c.Targets[run.Target()]
			if _, rejected := rules.Rejects(t.Labels); rejected {
				v.WrongTarget++
			}
		}
		recorded = slices.DeleteFunc(recorded, func(r TargetRun) bool { return r.Phase != "" })
		if !idempotent && len(recorded) > 1 {
			v.RanMoreThanOnce++
		}
		switch {
		case r.Outcome == NotRun && len(recorded) > 0:
			v.FalseNotRun++
		case r.Outcome == Broken:
			v.NoFinalResponse++
		case r.Outcome == Complete && r.WrongResponse:
			v.WrongResponse++
		case r.Outcome == Complete && len(recorded) == 0:
			v.NoRecordedRun++
		}
	}
	return v
}

// classRules returns the placement rules of a class and whether its requests may be retried.
func classRules(c *config.Compiled, class *Class) (selector.All, bool) {
	var rules selector.All
	idempotent := false
	if class.Model != "" {
		m := c.Models[class.Model]
		rules, idempotent = append(rules, m.Rules...), m.Idempotent
	} else {
		rt := c.RouteFor(class.Path)
		rules, idempotent = append(rules, rt.Rules...), rt.Idempotent
	}
	rules = append(rules, c.Workspaces[class.Workspace].Rules...)
	if s, err := selector.Parse(class.Selector); err == nil && !s.Empty() {
		rules = append(rules, selector.Named{Rule: "request", Selector: s})
	}
	return rules, idempotent
}
