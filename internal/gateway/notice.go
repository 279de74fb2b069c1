package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/upstream"
)

// exchange sends the request to an instance, and takes in what the head of the answer says of the
// instance.
func (q *request) exchange(ctx context.Context, i *fleet.Instance, s engine.Send) (*upstream.Response, engine.Verdict, error) {
	q.withheld = false
	a, err := q.s.o.Client.Do(ctx, q.upstream(i, s))
	if err != nil {
		return nil, engine.Verdict{}, err
	}
	v := q.s.o.Protocol.Judge(a.Status, a.Header)
	if v.Replaced {
		return a, v, nil // another instance says it of itself
	}
	if v.Leaving {
		q.s.notices.RecordShutdown(i.RunID(), q.call.ID)
	}
	if v.Rest > 0 {
		q.s.notices.RecordBackoff(i.RunID(), q.call.ID, v.Rest)
	}
	q.s.limits.RecordResponse(i.RunID(), q.call.ID, v.RateLimit, q.sentAt)
	return a, v, nil
}

// unwilling returns the instances that are not to get the request: those that failed it, and those
// that have said that they leave, or that they want nothing from this process now. Another
// process that decides is told of them, since it may not have heard them.
func (q *request) unwilling(pool *fleet.Pool) map[string]bool {
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

// restLeft returns when the first of the instances that may run the request and rest wants some
// again, 0 if none rests.
func (q *request) restLeft() time.Duration {
	pool := q.s.o.View().Pool(q.route.Name, q.service)
	runs := slices.DeleteFunc(q.s.notices.InstancesRefusingWork(), func(run string) bool { return pool.FindByRunID(run) == nil })
	return q.s.notices.ShortestBackoff(runs)
}
