package gateway

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/internal/lifecycle"
	"github.com/rockdoor/rockdoor/internal/upstream"
	"github.com/rockdoor/rockdoor/placement"
)

// chooseBackup returns the engine that continuously receives copies of the run's KV cache, nil
// for none. Only streams that may run at most once need a backup: resumable streams are
// resumed at another engine, which prefills again what was lost. Only runs on spot instances get
// one: elsewhere the copies cost more than they save, because they delay KV cache transfers. So they do
// for short responses, which end before the copy of a long prompt is complete.
// The backup is in another failure domain, because the platform reclaims the spot instances of
// a domain together. Backups are spread over all eligible engines by request ID.
func (q *request) chooseBackup(target *fleet.Instance) *fleet.Instance {
	v := q.s.o.View()
	if q.plan.ShortResponse || !target.Spot || q.route.Kind != fleet.Streaming || q.route.Resumable || !v.Config.Services[q.service].Backups {
		return nil
	}
	var candidates []*fleet.Instance
	for _, i := range v.Permitted(q.route.Name, q.service) {
		if i.Role == engine.RoleMixed && i.Domain != target.Domain && i.Software == target.Software && !q.avoid[i.ID] && !q.s.notices.RefusesWork(i.RunID()) {
			candidates = append(candidates, i)
		}
	}
	return placement.PreferredEngine(q.call.ID, candidates)
}

// resumeAtBackup continues an interrupted stream at its backup, after the last event that the
// client received. The platform treats it as the same run, so it is allowed for streams that
// may run at most once. If the backup cannot continue, the original error is returned. The
// continued stream has no further backup, so a second interruption ends it.
func (q *request) resumeAtBackup(streamErr error) (lifecycle.Outcome, error) {
	backup := q.backup
	q.backup = nil
	if backup == nil || q.lastEventID == "" || q.clientGone || q.ctx.Err() != nil {
		return lifecycle.Lost, streamErr
	}
	if err := q.checkBackup(backup); err != nil {
		level.Info(q.s.o.Logger).Log("msg", "run cannot continue at its backup", "request", q.call.ID, "backup", backup.ID, "err", err)
		return lifecycle.Lost, streamErr
	}
	q.plan.Granted = true // checkBackup has counted the send against the backup's rate limit
	resp, verdict, err := q.exchange(q.ctx, backup, engine.SendOptions{
		Instance: backup.ID, Remaining: time.Until(q.deadline), Rank: q.route.Rank, ResumeAfter: q.lastEventID,
		Source: &engine.KVSource{Address: backup.Address, Handle: q.call.ID},
	})
	q.sends++
	if err == nil && verdict.NotRun {
		resp.DiscardBody()
		err = fault.Newf(fault.Unavailable, "the stream ends here", "backup %s rejected the request with status %d", backup.ID, resp.Status)
	} else if err == nil {
		err = q.checkContinuation(resp, verdict, backup)
	}
	level.Info(q.s.o.Logger).Log("msg", "continuing run at its backup", "request", q.call.ID, "backup", backup.ID, "after", q.lastEventID, "cut", streamErr, "err", err)
	if err != nil {
		q.s.count("backup_failed")
		return lifecycle.Lost, streamErr
	}
	q.s.count("backup_used")
	res, err := q.relayEvents(resp, backup)
	if res == lifecycle.Lost {
		q.reportBrokenConnection(backup)
	}
	return res, err
}

// checkContinuation returns an error if a response cannot be the rest of the stream, and closes it then.
func (q *request) checkContinuation(resp *upstream.Response, verdict engine.Verdict, from *fleet.Instance) error {
	err := checkStreamHead(resp)
	if err == nil && !verdict.Sealed {
		err = errNoSeal
	}
	if err != nil {
		resp.Close(false)
		q.logUnexpectedResponse(from, resp, err)
		return fault.Wrap(err, fault.Unavailable, "backup "+from.ID+" did not continue the stream", "the stream ends here")
	}
	return nil
}

// checkBackup returns an error if a run cannot continue at its backup. Otherwise it charges
// the send to the backup's rate limit and to the retry budget.
func (q *request) checkBackup(backup *fleet.Instance) error {
	available := slices.ContainsFunc(q.s.o.View().Permitted(q.route.Name, q.service), func(i *fleet.Instance) bool {
		return i.ID == backup.ID && i.StartTime == backup.StartTime && i.Role == engine.RoleMixed
	})
	switch {
	case !available:
		return fault.New(fault.Unavailable, "backup has stopped accepting requests, has changed its role, or is no longer permitted by the rules", "the stream ends here")
	case !q.s.limits.TryAcquire(backup.RunID()):
		return fault.New(fault.Unavailable, "backup has reached its rate limit", "the stream ends here")
	case !q.s.budget.takeRetry(q.service):
		q.s.count("budget_empty")
		return fault.New(fault.Exhausted, "retry budget is empty", "the stream ends here")
	}
	return nil
}
