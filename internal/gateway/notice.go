package gateway

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/upstream"
	"github.com/rockdoor/rockdoor/placement"
)

// exchange sends the request to an instance, and records what the response headers say about the
// instance: its shutdown, a requested backoff, its rate limit.
func (q *request) exchange(ctx context.Context, i *fleet.Instance, s engine.SendOptions) (*upstream.Response, engine.Verdict, error) {
	q.notSent, q.evidence = false, nil
	resp, err := q.s.o.Client.Do(ctx, q.upstreamRequest(i, s))
	if err != nil {
		if e, ok := upstream.EvidenceOf(err); ok {
			q.evidence = &e
		}
		return nil, engine.Verdict{}, err
	}
	q.evidence = &resp.Evidence
	v := q.s.o.Protocol.ReadOutcome(resp.Status, resp.Header)
	if v.Misdirected {
		return resp, v, nil // the headers may describe another instance
	}
	if v.ShuttingDown {
		q.s.notices.RecordShutdown(i.RunID(), q.call.ID)
	}
	if v.Backoff > 0 {
		q.s.notices.RecordBackoff(i.RunID(), q.call.ID, v.Backoff)
	}
	q.s.limits.RecordResponse(i.RunID(), q.call.ID, v.RateLimit, q.sentAt)
	return resp, v, nil
}

// Announced returns what a run of an instance has announced to this process: whether it shuts down, and how long it wants no
// requests.
func (s *Server) Announced(run string) (shuttingDown bool, backoff time.Duration) {
	return s.notices.ShuttingDown(run), s.notices.Backoff(run)
}

// outOfUse names the permitted instances to which this process sends nothing, with the reasons.
func (q *request) outOfUse() string {
	permitted, _ := q.permitted(q.s.o.View().Pool(q.route.Name, q.service))
	var out []string
	for _, i := range permitted {
		reasons := q.s.o.Placer.Suspensions(i.ID)
		switch {
		case q.avoid[i.ID]:
			out = append(out, i.ID+":tried")
		case q.s.notices.RefusesWork(i.RunID()):
			out = append(out, i.ID+":announced")
		case len(reasons) > 0:
			out = append(out, i.ID+":"+string(reasons[0].Reason))
		}
		if len(out) == maxLoggedInstances {
			break
		}
	}
	return strings.Join(out, ",")
}

// maxLoggedInstances bounds the instances named in one log line.
const maxLoggedInstances = 16

// logUnanswered logs an attempt that got no response before the client's timeout.
func (q *request) logUnanswered(i *fleet.Instance, o placement.Outcome) {
	if o == placement.Unanswered {
		level.Info(q.s.o.Logger).Log("msg", "attempt timed out without a response", "request", q.call.ID, "instance", i.ID, "waited", bootclock.Since(q.sentAt).Round(time.Millisecond))
	}
}

// excludedInstances returns the IDs of the instances that must not get the request: those that
// failed it, and those that have announced to this process that they are shutting down or want no
// requests for a while. A scheduler in another process gets this list too, because it may not
// have received these announcements.
func (q *request) excludedInstances(pool *fleet.Pool) map[string]bool {
	runs := q.s.notices.InstancesRefusingWork()
	if len(runs) == 0 {
		return q.avoid
	}
	out := maps.Clone(q.avoid)
	for _, run := range runs {
		if i := pool.FindByRunID(run); i != nil {
			out[i.ID] = true
		}
	}
	return out
}

// shortestBackoff returns how long it takes until the first of the permitted instances that asked
// for a backoff accepts requests again, 0 if none has asked for one.
func (q *request) shortestBackoff() time.Duration {
	pool := q.s.o.View().Pool(q.route.Name, q.service)
	runs := slices.DeleteFunc(q.s.notices.InstancesRefusingWork(), func(run string) bool { return pool.FindByRunID(run) == nil })
	return q.s.notices.ShortestBackoff(runs)
}
