package scheduler

import (
	"math"
	"time"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/placement"
	"github.com/rockdoor/rockdoor/quarantine"
)

func encodeJob(j *placement.Job) *peerpb.Place {
	out := &peerpb.Place{
		Request: j.Call.ID, Model: j.Call.Model, Route: j.Route.Name, Service: j.Service.Name, Domain: j.Domain, PromptTokens: uint32(j.Call.PromptTokens),
		LeftUs: j.Remaining.Microseconds(), ResponseUs: j.ResponseTime.Microseconds(), SpentUs: j.Elapsed.Microseconds(), NoRead: j.SkipPrefill,
		Workspace: j.Workspace, Fingerprint: j.Fingerprint[:], LacksInstances: len(j.Permitted) == 0,
		Software: j.Software, OutputTokens: uint32(max(j.Call.OutputTokens, 0)), ExpectedOutputTokens: uint32(max(j.Call.ExpectedOutputTokens, 0)),
	}
	if j.WorkspaceRank {
		out.Rank = uint32(max(j.Route.Rank, 0)) + 1
	}
	for _, p := range j.Call.Parts {
		out.Parts = append(out.Parts, p.ID)
		out.Tokens = append(out.Tokens, uint32(p.Tokens))
	}
	for id := range j.Avoid {
		out.Avoid = append(out.Avoid, id)
	}
	return out
}

// decodeJob decodes a job against the view of this process. It fails if the view lacks the
// route or the service.
func decodeJob(m *peerpb.Place, v *fleet.View) (*placement.Job, error) {
	if !v.Ready() {
		return nil, fault.New(fault.Unavailable, "scheduler is not ready", "ask another one")
	}
	route := v.Config.RouteByName(m.GetRoute())
	service, known := v.Config.Services[m.GetService()]
	if route == nil || !known || len(m.GetParts()) != len(m.GetTokens()) {
		return nil, fault.Newf(fault.NotFound, "ask another scheduler", "route %s to %s is not known here", m.GetRoute(), m.GetService())
	}
	if rank := m.GetRank(); rank > 0 {
		ranked := *route
		ranked.Rank = int(rank) - 1
		route = &ranked
	}
	call := &engine.Call{ID: m.GetRequest(), PromptTokens: int(m.GetPromptTokens()), OutputTokens: int(m.GetOutputTokens()), ExpectedOutputTokens: int(m.GetExpectedOutputTokens())}
	for n, id := range m.GetParts() {
		call.Parts = append(call.Parts, engine.Part{ID: id, Tokens: int(m.GetTokens()[n])})
	}
	avoid := map[string]bool{}
	for _, id := range m.GetAvoid() {
		avoid[id] = true
	}
	pool := v.Pool(route.Name, service.Name)
	permitted, groups := pool.All, pool.Groups
	if m.Software != nil {
		permitted, groups = v.PermittedOf(route.Name, service.Name, m.GetSoftware()), nil
	}
	return &placement.Job{
		Route: route, Service: service, Call: call, Domain: m.GetDomain(), Remaining: micros(m.GetLeftUs()), ResponseTime: micros(m.GetResponseUs()), Elapsed: micros(m.GetSpentUs()),
		Permitted: permitted, Groups: groups, Software: m.Software, Avoid: avoid, SkipPrefill: m.GetNoRead(), WorkspaceRank: m.GetRank() > 0,
		Workspace: m.GetWorkspace(),
	}, nil
}

// fingerprintOf returns the fingerprint of a job, or zero if the sender did not set a valid one.
func fingerprintOf(m *peerpb.Place) quarantine.Fingerprint {
	if len(m.GetFingerprint()) != len(quarantine.Fingerprint{}) {
		return quarantine.Fingerprint{}
	}
	return quarantine.Fingerprint(m.GetFingerprint())
}

// partsOf returns the parts of a job's prompt that may crash instances. A process of an older version names no model.
func partsOf(m *peerpb.Place) []quarantine.Part {
	if m.GetModel() == "" {
		return nil
	}
	return quarantine.PartsOf(m.GetWorkspace(), m.GetModel(), m.GetParts()[:max(len(m.GetParts())-1, 0)])
}

// encodePlan encodes a plan. It includes the chosen instances if the receiver does not know any.
func encodePlan(p *placement.Plan, ticket uint64, lacksInstances bool) *peerpb.Placed {
	out := &peerpb.Placed{
		Ticket: ticket, Reader: idOf(p.PrefillEngine), Runner: idOf(p.Target), FetchFrom: idOf(p.FetchFrom), Reason: string(p.Reason),
		Uncached: uint32(p.Uncached), AheadUs: p.QueueDelay.Microseconds(), ReadUs: p.PrefillTime.Microseconds(), Rank: uint32(p.Rank), Late: p.Late,
		RetryAfterUs: p.RetryAfter.Microseconds(), Granted: p.Granted, ShortResponse: p.ShortResponse,
	}
	if !lacksInstances {
		return out
	}
	for _, i := range []*fleet.Instance{p.PrefillEngine, p.Target, p.FetchFrom} {
		if i != nil {
			out.Instances = append(out.Instances, encodeInstance(i))
		}
	}
	return out
}

func encodeInstance(i *fleet.Instance) *peerpb.PlacedInstance {
	return &peerpb.PlacedInstance{
		Id: i.ID, Born: i.StartTime, Service: i.Service, Address: i.Address, Domain: i.Domain, Software: i.Software, Slots: uint32(max(i.Slots, 0)),
		Spot: i.Spot, Role: string(i.Role), Lapsed: i.Expired,
	}
}

func decodeInstance(m *peerpb.PlacedInstance) *fleet.Instance {
	return &fleet.Instance{
		ID: m.GetId(), StartTime: m.GetBorn(), Service: m.GetService(), Address: m.GetAddress(), Domain: m.GetDomain(), Software: m.GetSoftware(), Slots: int(m.GetSlots()),
		Spot: m.GetSpot(), Role: engine.Role(m.GetRole()), Expired: m.GetLapsed(),
	}
}

func idOf(i *fleet.Instance) string {
	if i == nil {
		return ""
	}
	return i.ID
}

// decodePlan decodes the plan for a job. It fails if the plan names an instance that the
// view of this process does not permit for the job.
func decodePlan(m *peerpb.Placed, j *placement.Job, v *fleet.View) (placement.Plan, error) {
	p := placement.Plan{
		Reason: placement.Reason(m.GetReason()), Uncached: int(m.GetUncached()), QueueDelay: micros(m.GetAheadUs()), PrefillTime: micros(m.GetReadUs()),
		Rank: int(m.GetRank()), Late: m.GetLate(), RetryAfter: micros(m.GetRetryAfterUs()), Granted: m.GetGranted(),
		ShortResponse: m.GetShortResponse(),
	}
	permitted := j.Permitted
	if len(m.GetInstances()) > 0 {
		var received []*fleet.Instance
		for _, i := range m.GetInstances() {
			received = append(received, decodeInstance(i))
		}
		permitted = v.FilterPermitted(j.Route.Name, j.Service.Name, received)
	}
	if j.Software != nil {
		permitted = fleet.OfSoftware(permitted, *j.Software)
	}
	var err error
	for _, part := range []struct {
		id  string
		dst **fleet.Instance
	}{{m.GetReader(), &p.PrefillEngine}, {m.GetRunner(), &p.Target}, {m.GetFetchFrom(), &p.FetchFrom}} {
		if *part.dst = fleet.Find(permitted, part.id); *part.dst == nil && part.id != "" {
			err = fault.Newf(fault.Conflict, "this process places the request itself", "the view of this process does not permit instance %s", part.id)
		}
	}
	return p, err
}

// micros returns a duration from a message, bounded to what a time.Duration can hold.
func micros(n int64) time.Duration {
	const most = math.MaxInt64 / int64(time.Microsecond)
	return time.Duration(min(max(n, -most), most)) * time.Microsecond
}
