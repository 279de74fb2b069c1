package shares

import (
	"cmp"
	"slices"
	"time"
)

// maxTracked is the number of workspaces of a service that a ledger tracks by name. With more, the
// one with the least demand is replaced, and the new one takes over its demand (the Space-Saving
// sketch of Metwally, Agrawal and El Abbadi). So the sum of all demands stays exact, and a
// workspace's demand is overstated by at most the sum divided by maxTracked.
const maxTracked = 256

// Ledger is the use that one process knows of by its own placements. It is not safe for concurrent
// use.
type Ledger struct {
	entries map[string]*entry
}

type entry struct {
	use Use
	at  time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{entries: map[string]*entry{}} }

func (e *entry) fadeTo(now time.Time) {
	if now.Before(e.at) {
		return
	}
	before := e.use
	e.use = e.use.Fade(now.Sub(e.at))
	e.use.PendingMs, e.use.HeldMs = before.PendingMs, before.HeldMs // what is pending here is known exactly
	e.at = now
}

func (l *Ledger) entry(workspace string, now time.Time) *entry {
	e := l.entries[workspace]
	if e == nil {
		e = &entry{at: now, use: Use{Workspace: workspace}}
		if len(l.entries) >= maxTracked {
			e.use.DemandMs = l.evict(now)
		}
		l.entries[workspace] = e
	}
	e.fadeTo(now)
	return e
}

// evict removes the workspace with the least demand and returns that demand.
func (l *Ledger) evict(now time.Time) float64 {
	var least *entry
	for _, e := range l.entries {
		e.fadeTo(now)
		if least == nil || e.use.DemandMs < least.use.DemandMs {
			least = e
		}
	}
	delete(l.entries, least.use.Workspace)
	return least.use.DemandMs
}

// Ask records a prompt that was placed or refused.
func (l *Ledger) Ask(workspace string, busyMs float64, now time.Time) {
	l.entry(workspace, now).use.DemandMs += busyMs
}

// Refuse records a prompt that was refused because of its share.
func (l *Ledger) Refuse(workspace string, busyMs float64, now time.Time) {
	l.entry(workspace, now).use.RefusedMs += busyMs
}

// Grant records a prompt placed within its share. Release must follow.
func (l *Ledger) Grant(workspace string, urgency int, busyMs float64, now time.Time) {
	l.entry(workspace, now).use.HeldMs[clampUrgency(urgency)] += busyMs
}

// Release records that a granted prompt is no longer pending. used is true if it was prefilled.
func (l *Ledger) Release(workspace string, urgency int, busyMs float64, used bool, now time.Time) {
	e := l.entries[workspace]
	if e == nil {
		return // it was replaced
	}
	e.fadeTo(now)
	urgency = clampUrgency(urgency)
	e.use.HeldMs[urgency] = max(e.use.HeldMs[urgency]-busyMs, 0)
	if used {
		e.use.GrantedMs[urgency] += busyMs
	}
}

// Pend adds to the pending prompts, or removes from them if busyMs is negative. Removing from a
// workspace that was replaced has no effect.
func (l *Ledger) Pend(workspace string, busyMs float64, now time.Time) {
	if busyMs < 0 && l.entries[workspace] == nil {
		return
	}
	e := l.entry(workspace, now)
	e.use.PendingMs = max(e.use.PendingMs+busyMs, 0)
}

// Use returns the use of one workspace.
func (l *Ledger) Use(workspace string, now time.Time) Use {
	e := l.entries[workspace]
	if e == nil {
		return Use{Workspace: workspace}
	}
	e.fadeTo(now)
	return e.use
}

// forgottenMs is the demand below which a workspace without pending prompts is dropped. No prompt is
// prefilled in less.
const forgottenMs = 0.1

// Top returns the k workspaces with the most demand, in that order, and one entry with the sum of the
// others if there are any.
func (l *Ledger) Top(k int, now time.Time) []Use {
	var all []Use
	for name, e := range l.entries {
		e.fadeTo(now)
		if e.use.DemandMs < forgottenMs && e.use.PendingMs < forgottenMs {
			delete(l.entries, name)
			continue
		}
		all = append(all, e.use)
	}
	slices.SortFunc(all, func(a, b Use) int {
		return cmp.Or(cmp.Compare(b.DemandMs, a.DemandMs), cmp.Compare(a.Workspace, b.Workspace))
	})
	if len(all) <= k {
		return all
	}
	rest := Use{}
	for _, u := range all[k:] {
		rest = rest.Add(u)
	}
	rest.Others = len(all) - k
	return append(slices.Clip(all[:k]), rest)
}
