package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/shares"
)

// smallWorkspaceShare is the fraction of its fair share of the pending prompts up to which a
// workspace counts as small. With a smaller fraction, workspaces that send little are served less than
// others while one floods the prefill engines; with a larger one, the flood costs more responses in all.
const smallWorkspaceShare = 0.5

// workspacePending tracks the prompts to one service that this process has placed and that are not
// prefilled yet, by workspace. Requests without a workspace are not tracked.
type workspacePending struct {
	byWorkspace map[string]pendingPrompts
	// busyMs is how long all tracked prompts together keep engines busy, in ms.
	busyMs float64
}

// pendingPrompts is the number and the prefill time of one workspace's pending prompts.
type pendingPrompts struct {
	prompts int
	busyMs  float64
}

// add adds a prompt that keeps an engine busy for a time in ms.
func (s *workspacePending) add(workspace string, busy float64) { s.change(workspace, 1, busy) }

// remove removes a prompt that was added with the same arguments.
func (s *workspacePending) remove(workspace string, busy float64) { s.change(workspace, -1, -busy) }

func (s *workspacePending) change(workspace string, prompts int, busy float64) {
	if workspace == "" {
		return
	}
	u := s.byWorkspace[workspace]
	u.prompts += prompts
	u.busyMs += busy
	s.busyMs += busy
	if u.prompts > 0 {
		s.byWorkspace[workspace] = u
		return
	}
	delete(s.byWorkspace, workspace)
	if len(s.byWorkspace) == 0 {
		s.busyMs = 0 // drop accumulated rounding errors
	}
}

// isSmall reports whether a workspace stays within smallWorkspaceShare of its fair share with one
// more prompt that keeps an engine busy for a time in ms. The fair share is the pending work divided
// by one more than the number of workspaces with pending prompts, which may include this workspace.
func (s *workspacePending) isSmall(workspace string, busy float64) bool {
	fair := s.busyMs / float64(len(s.byWorkspace)+1)
	return workspace != "" && s.byWorkspace[workspace].busyMs+busy <= smallWorkspaceShare*fair
}

const (
	// withinLateRank is the first of the two ranks for late prompts within their workspace's share,
	// overShareRank the first of the three for prompts over it. Both have one rank for each urgency,
	// and the last one for all less urgent ones: engines have no more ranks.
	withinLateRank = lateRank
	overShareRank  = lateRank + 2
)

// shareStanding is a job's standing in the division of engine time.
type shareStanding struct {
	shares.Standing
	urgency int
}

// sharesEnabled reports whether engine time is divided among workspaces for a job.
func (p *Placer) sharesEnabled(j *Job) bool {
	return p.features.WorkspaceShares && j.Workspace != "" && p.policy.Has(WorkspaceShares)
}

// shareAccount returns the account of a service. The caller holds the lock.
func (p *Placer) shareAccount(service string) *shareAccount {
	a := p.shareAccounts[service]
	if a == nil {
		a = &shareAccount{Account: shares.NewAccount()}
		a.SetSettings(p.shareSettings)
		p.shareAccounts[service] = a
	}
	return a
}

// shareAccount is the division of a service's engine time with the decisions that it led to.
type shareAccount struct {
	*shares.Account
	engines float64
	ShareDecisions
}

// ShareDecisions counts decisions while there was too little engine time.
type ShareDecisions struct {
	// Within counts the prompts within their workspace's share, Borrowed those over it that were
	// placed behind all others, Refused those over it that were refused.
	Within, Borrowed, Refused int64
}

// applyShares places a job by its workspace's share if there is too little engine time for all. It
// returns false if shares don't matter now. plan has the engine that is fastest at the route's rank.
func (p *Placer) applyShares(plan *Plan, j *Job, prefillEngines []*fleet.Instance, holders cacheHolders) bool {
	if !p.sharesEnabled(j) {
		return false
	}
	account := p.shareAccount(j.Service.Name)
	account.engines = float64(len(prefillEngines) * max(len(j.groups()), 1))
	s := account.Standing(j.Workspace, plan.Rank, p.planBusyMs(plan, j), account.engines, p.now())
	if !s.Tight {
		return false
	}
	plan.share = shareStanding{s, plan.Rank}
	if !s.Within {
		p.chooseFastest(plan, j, prefillEngines, holders, p.shareRank(plan))
	}
	return true
}

// shareRank returns the rank of a prompt over its workspace's share, or of a late one within it.
func (p *Placer) shareRank(plan *Plan) int {
	if plan.share.Within {
		return min(withinLateRank+plan.share.urgency, overShareRank-1)
	}
	return min(overShareRank+plan.share.urgency, Ranks-1)
}

// rejectOverShare rejects a job over its workspace's share that the engine time which the others leave
// is not expected to reach before the client times out.
func (p *Placer) rejectOverShare(plan *Plan, j *Job) {
	s := plan.share
	if !s.Tight || plan.PrefillEngine == nil || len(j.Avoid) > 0 { // an instance had it, or had part of it
		return
	}
	if s.Refuse(plan.QueueDelay, plan.PrefillTime, j.Remaining) {
		plan.PrefillEngine, plan.FetchFrom, plan.Reason = nil, nil, ReasonOverShare
		plan.RetryAfter = s.RetryAfter(plan.QueueDelay, minRetryAfter)
	}
}

// planBusyMs returns how long the planned prefill keeps an engine busy, in ms.
func (p *Placer) planBusyMs(plan *Plan, j *Job) float64 {
	return p.model(j.Service.Name).BusyMs(Backlog{1, PrefillWork(j.Call.PromptTokens, plan.Uncached)})
}

// recordShare records the decision about a job that is to be prefilled separately. The caller holds
// the lock.
func (p *Placer) recordShare(j *Job, plan *Plan) {
	if !p.sharesEnabled(j) || plan.PrefillEngine == nil && plan.Reason != ReasonOverShare && plan.Reason != ReasonWouldTimeOut {
		return
	}
	account, now := p.shareAccount(j.Service.Name), p.now()
	busy := p.planBusyMs(plan, j)
	if !j.AwaitsRateLimit { // counted at its first attempt
		account.Own().Ask(j.Workspace, busy, now)
	}
	switch {
	case plan.PrefillEngine == nil && plan.Reason == ReasonOverShare:
		account.Own().Refuse(j.Workspace, busy, now)
		account.Refused++
	case plan.PrefillEngine == nil:
	case !plan.share.Tight:
	case plan.share.Within:
		account.Within++
	default:
		account.Borrowed++
	}
}

// shareHold is a prompt's part of its workspace's share until it is prefilled.
type shareHold struct {
	account   *shareAccount
	workspace string
	urgency   int
	busyMs    float64
	granted   bool
}

// holdShare counts a placed prompt. The caller holds the lock.
func (p *Placer) holdShare(j *Job, plan *Plan, busyMs float64) *shareHold {
	if !p.sharesEnabled(j) {
		return nil
	}
	h := &shareHold{p.shareAccount(j.Service.Name), j.Workspace, p.prefillRank(j.Route, false), busyMs, !plan.share.Tight || plan.share.Within}
	now := p.now()
	h.account.Own().Pend(h.workspace, busyMs, now)
	if h.granted {
		h.account.Own().Grant(h.workspace, h.urgency, busyMs, now)
	}
	return h
}

// release ends the hold. prefilled is true if the prompt was prefilled.
func (h *shareHold) release(prefilled bool, now time.Time) {
	if h == nil {
		return
	}
	h.account.Own().Pend(h.workspace, -h.busyMs, now)
	if h.granted {
		h.account.Own().Release(h.workspace, h.urgency, h.busyMs, prefilled, now)
	}
}

// SetShareSettings replaces the operator's settings of workspaces; nil means none.
func (p *Placer) SetShareSettings(s *shares.Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shareSettings = s
	for _, a := range p.shareAccounts {
		a.SetSettings(s)
	}
}

// WorkspaceUse returns the use by service of the k workspaces with the most demand at this process,
// and of the others as a sum.
func (p *Placer) WorkspaceUse(k int) map[string][]shares.Use {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string][]shares.Use{}
	for service, a := range p.shareAccounts {
		if uses := a.Own().Top(k, p.now()); len(uses) > 0 {
			out[service] = uses
		}
	}
	return out
}

// ApplyPeerUse replaces the use that a peer reported, by service.
func (p *Placer) ApplyPeerUse(peer string, uses map[string][]shares.Use) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for service, list := range uses {
		if _, known := p.shareAccounts[service]; known || len(p.shareAccounts) < maxShareServices {
			p.shareAccount(service).Report(peer, list, p.now())
		}
	}
	for service, a := range p.shareAccounts {
		if len(uses[service]) == 0 {
			a.Forget(peer)
		}
	}
}

// maxShareServices bounds the services for which use is kept.
const maxShareServices = 64

// ForgetPeerUse drops the use that a peer reported.
func (p *Placer) ForgetPeerUse(peer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.shareAccounts {
		a.Forget(peer)
	}
}

// ServiceShares is the division of a service's engine time as this process sees it.
type ServiceShares struct {
	Service string `json:"service"`
	// Tight is true if workspaces ask for more engine time than there is.
	Tight      bool             `json:"tight"`
	Engines    float64          `json:"engines"`
	Decisions  ShareDecisions   `json:"decisions"`
	Workspaces []WorkspaceShare `json:"workspaces"`
}

// WorkspaceShare is the use and the share of a workspace, in engines.
type WorkspaceShare struct {
	Workspace string  `json:"workspace"`
	Demand    float64 `json:"demand"`
	Share     float64 `json:"share"`
	Granted   float64 `json:"granted"`
	// Refused is what this process refused.
	Refused float64 `json:"refused"`
	// PendingMs is the engine time of the prompts that all processes have pending, in ms.
	PendingMs float64 `json:"pendingMs"`
	// State is "borrows" if the workspace asks for more than its share while there is too little engine
	// time, otherwise "within".
	State string `json:"state"`
}

// Shares returns the division of each service's engine time, with the workspaces of most demand
// first.
func (p *Placer) Shares() []ServiceShares {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []ServiceShares{}
	for service, a := range p.shareAccounts {
		out = append(out, p.serviceShares(service, a))
	}
	slices.SortFunc(out, func(a, b ServiceShares) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

func (p *Placer) serviceShares(service string, a *shareAccount) ServiceShares {
	window := float64(shares.Window.Milliseconds())
	rows, tight := a.Rows(a.engines, p.now())
	out := ServiceShares{Service: service, Tight: tight, Engines: a.engines, Decisions: a.ShareDecisions, Workspaces: []WorkspaceShare{}}
	for _, r := range rows {
		w := WorkspaceShare{
			Workspace: r.Workspace, Demand: r.DemandMs / window, Share: r.ShareMs / window, Refused: r.RefusedMs / window, Granted: r.Granted(shares.Urgencies-1) / window,
			PendingMs: r.PendingMs, State: "within",
		}
		if tight && r.DemandMs > r.ShareMs {
			w.State = "borrows"
		}
		out.Workspaces = append(out.Workspaces, w)
	}
	slices.SortFunc(out.Workspaces, func(a, b WorkspaceShare) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Workspace, b.Workspace))
	})
	return out
}
