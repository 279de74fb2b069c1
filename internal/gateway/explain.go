package gateway

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/resumption"
	"github.com/rockdoor/rockdoor/placement"
)

// ExplainRequest describes a request to Explain.
type ExplainRequest struct {
	Host string
	Path string
	// ID selects the service if the route is split between several.
	ID string
	// PromptTokens is the length of the prompt of a request to a model, and SharedTokens the
	// length of its prefix that other requests share. PromptPrefix identifies that prefix.
	PromptTokens int
	SharedTokens int
	PromptPrefix string
	// Resumes is the ID of the attempt that began a stream which the request resumes, and Workspace the client's workspace.
	// Both may be empty.
	Resumes, Workspace string
}

// Resumption says which software version may continue a stream, and how that is known.
type Resumption struct {
	KnownBy  resumption.Source `json:"knownBy"`
	Service  string            `json:"service"`
	Software string            `json:"software"`
}

// Rejected is an instance that the placement rules exclude.
type Rejected struct {
	Instance string `json:"instance"`
	Rule     string `json:"rule"`
}

// Explanation lists the instances of a service and how each one fits a request.
type Explanation struct {
	Route   string `json:"route"`
	Service string `json:"service"`
	// Config is the version of the configuration in force.
	Config         int64 `json:"config"`
	ConfigAgeMs    int64 `json:"configAgeMs"`
	InstancesAgeMs int64 `json:"instancesAgeMs"`
	// Plan says how the request would run now and why. It does not name the target of a request that is
	// prefilled on another engine first: that is chosen after the prefill.
	Plan string `json:"plan"`
	// HangMs is the time without a first event after which the first attempt would be given up for another
	// instance, 0 if it would not.
	HangMs int64 `json:"hangMs"`
	// Resumption is nil unless the request resumes a stream. Considered then has only instances of its version.
	Resumption *Resumption           `json:"resumption,omitempty"`
	Considered []placement.Candidate `json:"considered"`
	Rejected   []Rejected            `json:"rejected"`
	// Draining lists the instances that finish their requests and accept no new ones.
	Draining []string `json:"draining"`
}

// Explain shows where this process would place a request. The error is of kind Unavailable
// until the configuration and the instances are known, and NotFound if no route matches.
func (s *Server) Explain(ctx context.Context, q ExplainRequest) (*Explanation, error) {
	v := s.o.View()
	if !v.Complete() {
		return nil, fault.New(fault.Unavailable, "no configuration has been loaded yet", "check the connection to the store")
	}
	route := v.Config.Route(hostOnly(q.Host), q.Path)
	if route == nil {
		return nil, fault.New(fault.NotFound, "no route for "+q.Host+q.Path, "check the host name and the path")
	}
	service := route.PickService(cmp.Or(q.Resumes, q.ID))
	resumed := s.explainResumption(ctx, q, route, service)
	if resumed != nil && resumed.Service != "" {
		service = resumed.Service
	}
	call := &engine.Call{ID: q.ID, PromptTokens: q.PromptTokens, Parts: []engine.Part{
		{ID: q.PromptPrefix, Tokens: q.SharedTokens}, {Tokens: q.PromptTokens - q.SharedTokens},
	}}
	pool := v.Pool(route.Name, service)
	job := &placement.Job{
		Route: route, Service: v.Config.Services[service], Call: call, Remaining: time.Minute, Domain: s.o.FailureDomain, Permitted: pool.All, Groups: pool.Groups,
	}
	if resumed != nil {
		job.Permitted, job.Groups = nil, nil
		if resumed.KnownBy != resumption.SourceNone {
			job.Permitted = v.PermittedOf(route.Name, service, resumed.Software)
		}
	}
	plan := s.o.Placer.Preview(job)
	out := &Explanation{
		Route: route.Name, Service: service, Config: v.Config.Version,
		ConfigAgeMs: v.ConfigAge().Milliseconds(), InstancesAgeMs: v.InstancesAge().Milliseconds(),
		Plan: describePlan(&plan), HangMs: s.hangTimeOf(route, &plan).Milliseconds(), Resumption: resumed, Considered: s.o.Placer.Explain(job), Rejected: []Rejected{}, Draining: []string{},
	}
	for id, i := range v.Instances {
		out.addExcluded(v, route, service, id, i)
	}
	slices.Sort(out.Draining)
	return out, nil
}

// explainResumption returns what may continue the stream that a request resumes, nil if it resumes none.
func (s *Server) explainResumption(ctx context.Context, q ExplainRequest, route *fleet.Route, service string) *Resumption {
	if q.Resumes == "" {
		return nil
	}
	o, source := s.streams.Find(ctx, q.Workspace, q.Resumes, service, resumptionTime(route))
	return &Resumption{KnownBy: source, Service: o.Service, Software: o.Software}
}

// addExcluded records an instance of the service that gets no new requests, and why.
func (e *Explanation) addExcluded(v *fleet.View, route *fleet.Route, service, id string, i *fleet.Instance) {
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

// describePlan says in words how a request would run.
func describePlan(p *placement.Plan) string {
	estimate := fmt.Sprintf("%s, %d ms queued, %d ms prefill", p.Reason, p.QueueDelay.Milliseconds(), p.PrefillTime.Milliseconds())
	switch {
	case p.Reason.Whole():
		return "whole on " + p.Target.ID + " (" + estimate + ")"
	case p.PrefillEngine != nil:
		return "split, prefilled on " + p.PrefillEngine.ID + " (" + estimate + ")"
	case p.Target != nil:
		return "on " + p.Target.ID + " (" + string(p.Reason) + ")"
	}
	return "rejected (" + string(p.Reason) + ")"
}
