package fleet

import (
	"bytes"
	"encoding/json"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/selector"
)

// RuleSpec is the stored form of the operators' labels and selectors. An empty RuleSpec permits
// everything.
type RuleSpec struct {
	// Labels are added to all instances of a failure domain or service. Keys are "domain/NAME" and
	// "service/NAME".
	Labels map[string]selector.Labels `json:"labels,omitempty"`
	// Selectors restrict, by route name, the instances on which requests may run. The selector at "*"
	// applies to all routes in addition to their own.
	Selectors map[string]string `json:"selectors,omitempty"`
}

// AllRoutes is the key of the selector that applies to every route.
const AllRoutes = "*"

// Rules holds validated labels and selectors.
type Rules struct {
	spec      RuleSpec
	selectors map[string]selector.Selector
}

// ParseRules decodes and validates stored rules. Errors have the kind Invalid.
func ParseRules(text []byte) (*Rules, error) {
	var spec RuleSpec
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&spec); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "rules cannot be read", `give {"labels": {...}, "selectors": {...}}`)
	}
	r := &Rules{spec: spec, selectors: map[string]selector.Selector{}}
	for route, text := range spec.Selectors {
		sel, err := selector.Parse(text)
		if err != nil {
			return nil, fault.Wrap(err, fault.Invalid, "invalid selector of route "+route, "correct the selector")
		}
		r.selectors[route] = sel
	}
	return r, nil
}

// Permits reports whether a request of the route may run on the instance. If not, it returns the
// rule that forbids it. A nil Rules permits everything.
func (r *Rules) Permits(route string, i *Instance) (rule string, ok bool) {
	if r == nil || len(r.selectors) == 0 {
		return "", true
	}
	var labels selector.Labels
	for _, name := range []string{AllRoutes, route} {
		sel, stated := r.selectors[name]
		if !stated || sel.Empty() {
			continue
		}
		if labels == nil {
			labels = r.labels(i)
		}
		if !sel.Matches(labels) {
			return name + " " + sel.String(), false
		}
	}
	return "", true
}

func (r *Rules) labels(i *Instance) selector.Labels {
	extra := selector.Labels{}
	for _, key := range []string{"domain/" + i.Domain, "service/" + i.Service} {
		for k, v := range r.spec.Labels[key] {
			extra[k] = v
		}
	}
	return i.Labels(extra)
}
