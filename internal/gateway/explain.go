package gateway

import (
	"slices"
	"time"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/placement"
)

// ExplainRequest asks where a request would run now.
type ExplainRequest struct {
	Host string
	Path string
	// ID decides the service of a route that is split.
	ID string
	// PromptTokens and Subject describe the prompt of a request to a model;
	// SharedTokens of it belong to parts that other requests share.
	PromptTokens int
	SharedTokens int
	PromptPrefix string
}

// Rejected is an instance that the rules forbid.
type Rejected struct {
	Instance string `json:"instance"`
	Rule     string `json:"rule"`
}

// Explanation says where a request would run and why not elsewhere.
type Explanation struct {
	Route   string `json:"route"`
	Service string `json:"service"`
	// Config is the version of the configuration in force.
	Config         int64                 `json:"config"`
	ConfigAgeMs    int64                 `json:"configAgeMs"`
	InstancesAgeMs int64                 `json:"instancesAgeMs"`
	Considered     []placement.Candidate `json:"considered"`
	Rejected       []Rejected            `json:"rejected"`
	// Draining are instances that finish what they have.
	Draining []string `json:"draining"`
}

// Explain answers a question. The error is of kind Unavailable while nothing is
// known and of kind NotFound if there is no route.
func (s *Server) Explain(q ExplainRequest) (*Explanation, error) {
	v := s.o.View()
	if !v.Complete() {
		return nil, fault.New(fault.Unavailable, "no configuration is known yet", "check the path to the store")
	}
	route := v.Config.Route(hostOnly(q.Host), q.Path)
	if route == nil {
		return nil, fault.New(fault.NotFound, "no route for "+q.Host+q.Path, "check the host name and the path")
	}
	service := route.Pick(q.ID)
	call := &engine.Call{ID: q.ID, PromptTokens: q.PromptTokens, Parts: []engine.Part{
		{ID: q.PromptPrefix, Tokens: q.SharedTokens}, {Tokens: q.PromptTokens - q.SharedTokens},
	}}
	pool := v.Pool(route.Name, service)
	out := &Explanation{
		Route: route.Name, Service: service, Config: v.Config.Version,
		ConfigAgeMs: v.ConfigAge().Milliseconds(), InstancesAgeMs: v.InstancesAge().Milliseconds(),
		Considered: s.o.Placer.Explain(&placement.Job{
			Route: route, Service: v.Config.Services[service], Call: call, Remaining: time.Minute, Domain: s.o.FailureDomain, Permitted: pool.All, Groups: pool.Groups,
		}),
		Rejected: []Rejected{}, Draining: []string{},
	}
	for id, i := range v.Instances {
		out.leftOut(v, route, service, id, i)
	}
	slices.Sort(out.Draining)
	return out, nil
}

// leftOut adds an instance of the service that gets no requests.
func (e *Explanation) leftOut(v *fleet.View, route *fleet.Route, service, id string, i *fleet.Instance) {
	if i.Service != service {
		return
	}
	if i.Draining {
		e.Draining = append(e.Draining, id)
		return
	}
	if rule, ok := v.Rules.Permits(route.Name, i); !ok {
		e.Rejected = append(e.Rejected, Rejected{Instance: id, Rule: rule})
	}
}
