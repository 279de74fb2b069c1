package load

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/selector"
)

// TargetRun is a run as a stand-in recorded it.
type TargetRun struct {
	LoadID string `json:"loadID"`
	Engine string `json:"engine"`
	Server string `json:"server"`
	From   int    `json:"from"`
	// Phase is prefill for a run that only read the prompt.
	Phase string `json:"phase"`
}

// Target returns the name of the engine or backend server.
func (t TargetRun) Target() string {
	if t.Engine != "" {
		return t.Engine
	}
	return t.Server
}

// Records reads the runs that all targets of a configuration recorded.
func Records(ctx context.Context, c *config.Compiled) ([]TargetRun, error) {
	var all []TargetRun
	client := http.Client{Timeout: 10 * time.Second}
	for _, t := range c.Targets {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address+"/lab/runs", nil)
		if err != nil {
			return nil, err
		}
		resp, err := client.Do(req)
		if err != nil {
			return nil, fault.Wrap(err, fault.Unavailable, "stand-in "+t.Name+" gave no record", "check that it runs")
		}
		var runs []TargetRun
		err = json.NewDecoder(resp.Body).Decode(&runs)
		resp.Body.Close()
		if err != nil {
			return nil, fault.Wrap(err, fault.Internal, "record of "+t.Name+" cannot be read", "check the stand-in")
		}
		all = append(all, runs...)
	}
	return all, nil
}

// Violations counts broken promises.
type Violations struct {
	// WrongPlace are runs where the rules did not permit them.
	WrongPlace int `json:"wrongPlace"`
	// Doubled are requests that must not be repeated and ran more than once.
	Doubled int `json:"doubled"`
	// FalseNotRun are requests reported as not run that ran.
	FalseNotRun int `json:"falseNotRun"`
	// WrongAnswer are complete answers that were not the request's.
	WrongAnswer int `json:"wrongAnswer"`
	// Broken are requests that got no final answer.
	Broken int `json:"broken"`
	// Missing are complete answers without any run.
	Missing int `json:"missing"`
}

// Any reports whether any promise was broken. Broken connections count, since a
// planned run kills no entry host.
func (v Violations) Any() bool { return v != Violations{} }

// Check compares the callers' results with the targets' records.
func Check(m Mix, c *config.Compiled, results []Result, runs []TargetRun) Violations {
	var v Violations
	byID := map[string][]TargetRun{}
	for _, r := range runs {
		byID[r.LoadID] = append(byID[r.LoadID], r)
	}
	for _, r := range results {
		class := m.Class(r.Class)
		rules, idempotent := rulesOf(c, class)
		mine := byID[r.ID]
		for _, run := range mine {
			t := c.Targets[run.Target()]
			if _, rejected := rules.Rejects(t.Labels); rejected {
				v.WrongPlace++
			}
		}
		mine = slices.DeleteFunc(mine, func(r TargetRun) bool { return r.Phase != "" })
		if !idempotent && len(mine) > 1 {
			v.Doubled++
		}
		switch {
		case r.Outcome == NotRun && len(mine) > 0:
			v.FalseNotRun++
		case r.Outcome == Broken:
			v.Broken++
		case r.Outcome == Complete && r.Wrong:
			v.WrongAnswer++
		case r.Outcome == Complete && len(mine) == 0:
			v.Missing++
		}
	}
	return v
}

// rulesOf returns the placement rules of a class and whether it may be repeated.
func rulesOf(c *config.Compiled, class *Class) (selector.All, bool) {
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
