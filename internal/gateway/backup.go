package gateway

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/lifecycle"
	"github.com/rockdoor/rockdoor/placement"
)

// chooseBackup returns the engine that is to get a copy of the run's memory as it grows, nil
// for none. Only streams that may not run twice need one: others are resumed, and read again
// what is lost. And only those at engines that the platform may take away: elsewhere copies cost
// more, as they wait in the way of prompts that are moved, than they save. The copy is kept in
// another failure domain, since those of one are taken away together, and copies are spread over
// all engines there.
func (q *request) chooseBackup(runner *fleet.Instance) *fleet.Instance {
	v := q.s.o.View()
	if !runner.Spot || q.route.Kind != fleet.Streaming || q.route.Resumable || !v.Config.Services[q.service].Backups {
		return nil
	}
	var others []*fleet.Instance
	for _, i := range v.Permitted(q.route.Name, q.service) {
		if i.Role == engine.RoleMixed && i.Domain != runner.Domain && !q.avoid[i.ID] && !q.s.notices.RefusesWork(i.RunID()) {
			others = append(others, i)
		}
	}
	return placement.PreferredEngine(q.call.ID, others)
}

// goOn has the backup go on with a stream that was cut at its runner, after the last event
// that the caller has. It is the same run for the platform, so that it is allowed for streams
// that may not run twice. The first error stands if the backup cannot.
func (q *request) goOn(cut error) (lifecycle.Outcome, error) {
	backup := q.backup
	q.backup = nil
	if backup == nil || q.lastEvent == "" || q.gone || q.ctx.Err() != nil {
		return lifecycle.Lost, cut
	}
	if err := q.mayGoOn(backup); err != nil {
		level.Info(q.s.o.Logger).Log("msg", "run does not go on", "request", q.call.ID, "backup", backup.ID, "err", err)
		return lifecycle.Lost, cut
	}
	q.plan.Granted = true // by mayGoOn, if a grant is needed
	a, verdict, err := q.exchange(q.ctx, backup, engine.Send{
		Instance: backup.ID, Left: time.Until(q.deadline), Rank: q.route.Rank, ResumeAfter: q.lastEvent,
		Source: &engine.KVSource{Address: backup.Address, Handle: q.call.ID},
	})
	q.sends++
	if err == nil {
		if verdict.NotRun || !verdict.Genuine || !isStream(a) {
			a.DiscardBody()
			err = fault.Newf(fault.Unavailable, "the stream ends here", "backup %s answered %d", backup.ID, a.Status)
		}
	}
	level.Info(q.s.o.Logger).Log("msg", "run goes on at its backup", "request", q.call.ID, "backup", backup.ID, "after", q.lastEvent, "cut", cut, "err", err)
	if err != nil {
		q.s.count("backup_failed")
		return lifecycle.Lost, cut
	}
	q.s.count("backup_used")
	res, err := q.relayEvents(a)
	if res == lifecycle.Lost {
		q.broke(backup)
	}
	return res, err
}

// mayGoOn reports why a run cannot go on at its backup, nil if it can.
func (q *request) mayGoOn(backup *fleet.Instance) error {
	takes := slices.ContainsFunc(q.s.o.View().Permitted(q.route.Name, q.service), func(i *fleet.Instance) bool {
		return i.ID == backup.ID && i.StartTime == backup.StartTime && i.Role == engine.RoleMixed
	})
	switch {
	case !takes:
		return fault.New(fault.Unavailable, "backup has left, generates no more or is not permitted any more", "the stream ends here")
	case !q.s.limits.TryAcquire(backup.RunID()):
		return fault.New(fault.Unavailable, "backup limits its rate of requests and takes no more now", "the stream ends here")
	case !q.s.budget.extra(q.service):
		q.s.count("budget_empty")
		return fault.New(fault.Exhausted, "retry budget is empty", "the stream ends here")
	}
	return nil
}
