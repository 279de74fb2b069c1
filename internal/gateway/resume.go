package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/resumption"
	"github.com/rockdoor/rockdoor/internal/scheduler"
	"github.com/rockdoor/rockdoor/placement"
)

// codeUnknownOrigin is the outcome of a request that resumes a stream of which no process knows what
// software version began it.
const codeUnknownOrigin = "unknown-origin"

// resumptionMargin is added to the timeout of a route to get the time within which a client may take a stream
// up: clients count from their first attempt, which may have waited for its first event.
const resumptionMargin = time.Second

// resumes reports whether the client resumes a stream.
func (q *request) resumes() bool { return q.call.LastEvent != "" || q.call.Resumes != "" }

// continuationForbidden returns a reply if the client has events of a stream and the route, as it is configured now, has no streams:
// nothing says then what the rest of the stream may be.
func (q *request) continuationForbidden() *reply {
	if q.route.Kind == fleet.Streaming || !q.resumes() && q.lastEventID == "" {
		return nil
	}
	err := fault.New(fault.Unavailable, "the route no longer answers with streams", "send the request anew, without the events received")
	return replyFromState(codeUnknownOrigin, err, defaultRetry)
}

// resumptionTime returns the time within which clients may resume a stream of a route.
func resumptionTime(r *fleet.Route) time.Duration { return r.Timeout + resumptionMargin }

// findOrigin finds out what began the stream that the client resumes. It returns a reply if the stream can't continue.
func (q *request) findOrigin() *reply {
	service := q.route.PickService(q.call.Resumes)
	o, source := q.s.streams.Find(q.ctx, q.workspaceName(), q.call.Resumes, service, resumptionTime(q.route))
	level.Info(q.s.o.Logger).Log("msg", "resuming stream", "request", q.call.ID, "resumes", q.call.Resumes, "after", q.call.LastEvent, "known_by", source, "service", o.Service, "software", o.Software)
	if source == resumption.SourceNone {
		err := fault.New(fault.Unavailable, "no process knows which software version began the stream", "send the request anew, without the events received")
		return replyFromState(codeUnknownOrigin, err, defaultRetry)
	}
	q.origin = &o
	return nil
}

// serviceOf returns the service that runs the request, empty if the route no longer sends requests to the service that
// began the stream.
func (q *request) serviceOf(route *fleet.Route) string {
	if q.origin == nil {
		return route.PickService(q.call.ID)
	}
	if slices.ContainsFunc(route.Shares, func(s fleet.Share) bool { return s.Service == q.origin.Service }) {
		return q.origin.Service
	}
	return ""
}

// permitted returns the instances that may run the request, and their groups. A stream continues only at the version
// that began it.
func (q *request) permitted(pool *fleet.Pool) (all []*fleet.Instance, groups func() [][]*fleet.Instance) {
	if q.origin == nil {
		return pool.All, pool.Groups
	}
	if all = q.s.o.View().PermittedOf(q.route.Name, q.service, q.origin.Software); len(all) == 0 {
		all = q.lastOfVersion()
	}
	return all, nil
}

// lastOfVersion returns the draining instances that may still continue the stream, sorted by ID.
func (q *request) lastOfVersion() []*fleet.Instance {
	v := q.s.o.View()
	var out []*fleet.Instance
	for _, i := range v.Instances {
		if i.Draining && i.Service == q.service && i.Software == q.origin.Software && q.mayContinueAt(v, i) {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b *fleet.Instance) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// mayContinueAt reports whether the rules permit a draining instance, and it began to drain so lately that it still takes
// requests.
func (q *request) mayContinueAt(v *fleet.View, i *fleet.Instance) bool {
	_, ok := v.Rules.Permits(q.route.Name, i)
	return ok && q.s.streams.MayContinueAt(i)
}

// scheduler returns who places the request. Schedulers place nothing on draining instances, so this process does that
// itself.
func (q *request) scheduler(j *placement.Job) scheduler.Scheduler {
	if len(j.Permitted) > 0 && j.Permitted[0].Draining {
		return scheduler.Local(q.s.o.Placer)
	}
	return q.s.o.Scheduler
}

// stoppedAccepting reports whether an instance is known not to accept the request.
func (q *request) stoppedAccepting(i *fleet.Instance) bool {
	v := q.s.o.View()
	if !v.StoppedAccepting(q.service, i.ID) {
		return false
	}
	now := v.Instances[i.ID]
	return q.origin == nil || now == nil || now.RunID() != i.RunID() || !q.mayContinueAt(v, now)
}

// requiredSoftware returns the only version that may run the request, nil if every version may.
func (q *request) requiredSoftware() *string {
	if q.origin == nil {
		return nil
	}
	return &q.origin.Software
}

// recordOrigin records that an instance has begun a stream or continued it.
func (q *request) recordOrigin(i *fleet.Instance) {
	if q.route.Kind != fleet.Streaming {
		return
	}
	if q.origin == nil {
		now := q.s.o.View().Instances[i.ID]
		q.origin = &resumption.Origin{
			Request: q.call.ID, Workspace: q.workspaceName(), Service: q.service, Software: i.Software,
			// The instance may have come back under its ID with another version since it was chosen.
			Ambiguous: now != nil && now.Software != i.Software,
		}
	}
	if q.route.Resumable && q.origin.Request != "" {
		q.s.streams.Began(*q.origin, resumptionTime(q.route))
	}
}

// hasOtherSoftware reports whether an instance is now known to have another version than the one that began the stream.
func (q *request) hasOtherSoftware(i *fleet.Instance) bool {
	now := q.s.o.View().Instances[i.ID]
	return q.origin != nil && now != nil && now.Software != q.origin.Software
}
