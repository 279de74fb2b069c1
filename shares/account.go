package shares

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// refreshAfter is the age at which a division is computed again. A few prompts arrive in this time
	// at most, and a digest from each peer.
	refreshAfter = 25 * time.Millisecond
	// maxPeerAge is the age at which the use of a silent peer is dropped. By then less than 1 % of it
	// counts.
	maxPeerAge = 10 * time.Second
	// maxPause is the longest time between two decisions of a service that is tight. After a longer one,
	// for example a loss of all engines, what is known is from before it.
	maxPause = 500 * time.Millisecond
	// maxPeers bounds the number of peers. A deployment has fewer schedulers.
	maxPeers = 64
)

// Account combines the use that this process and its peers report for one service. It is not safe
// for concurrent use.
type Account struct {
	own        *Ledger
	peers      map[string]report
	settings   *Settings
	division   Division
	divided    bool
	dividedAt  time.Time
	dividedFor float64
	// since is when the current run of decisions began, lastAt the time of the last one.
	since, lastAt time.Time
}

// report is the last use that a peer reported.
type report struct {
	uses []Use
	at   time.Time
}

// NewAccount returns an account without any use.
func NewAccount() *Account { return &Account{own: NewLedger(), peers: map[string]report{}} }

// Own returns the ledger of this process.
func (a *Account) Own() *Ledger { return a.own }

// SetSettings replaces the operator's settings; nil means equal weights.
func (a *Account) SetSettings(s *Settings) { a.settings, a.divided = s, false }

// Report replaces the use that a peer reported. Entries that can't be right are dropped.
func (a *Account) Report(peer string, uses []Use, now time.Time) {
	if _, known := a.peers[peer]; !known && len(a.peers) >= maxPeers {
		return
	}
	valid := make([]Use, 0, len(uses))
	for _, u := range uses {
		if u.valid() {
			valid = append(valid, u)
		}
	}
	a.peers[peer] = report{valid, now}
}

// Forget drops the use of a peer.
func (a *Account) Forget(peer string) {
	if _, known := a.peers[peer]; known {
		delete(a.peers, peer)
		a.divided = false
	}
}

// maxReportedMs bounds the time in one report: that of ten thousand engines.
const maxReportedMs = 1e4 * float64(Window/time.Millisecond)

func (u Use) valid() bool {
	ok := func(ms float64) bool { return ms >= 0 && ms <= maxReportedMs } // false for NaN
	for n := range u.GrantedMs {
		if !ok(u.GrantedMs[n]) || !ok(u.HeldMs[n]) {
			return false
		}
	}
	return ok(u.DemandMs) && ok(u.PendingMs) && (u.Workspace != "" || u.Others > 0)
}

// Use returns the use of a workspace over all processes.
func (a *Account) Use(workspace string, now time.Time) Use {
	sum := a.own.Use(workspace, now)
	for _, peer := range a.peerNames() {
		r := a.peers[peer]
		for _, u := range r.uses {
			if u.Workspace == workspace {
				sum = sum.Add(u.Fade(now.Sub(r.at)))
				break
			}
		}
	}
	return sum
}

// Standing decides whether a prompt is within its workspace's share of a number of engines.
func (a *Account) Standing(workspace string, urgency int, busyMs, engines float64, now time.Time) Standing {
	if a.lastAt.IsZero() || now.Sub(a.lastAt) > maxPause || now.Before(a.since) {
		a.since = now
	}
	a.lastAt = now
	d := a.Division(engines, now)
	s := d.Standing(workspace, a.Use(workspace, now), urgency, busyMs)
	s.Young = now.Sub(a.since) < Window
	return s
}

// Division divides the time of a number of engines.
func (a *Account) Division(engines float64, now time.Time) Division {
	age := now.Sub(a.dividedAt)
	if a.divided && a.dividedFor == engines && age >= 0 && age < refreshAfter {
		return a.division
	}
	uses, rest := a.combined(now)
	a.division = Divide(engines, uses, rest, a.settings)
	a.divided, a.dividedAt, a.dividedFor = true, now, engines
	return a.division
}

// combined returns the use by workspace over all processes, and the sums of those that peers don't
// list.
func (a *Account) combined(now time.Time) (all, rest []Use) {
	uses := map[string]Use{}
	for _, u := range a.own.Top(math.MaxInt, now) {
		uses[u.Workspace] = u
	}
	for _, peer := range a.peerNames() {
		r := a.peers[peer]
		age := now.Sub(r.at)
		if age > maxPeerAge {
			delete(a.peers, peer)
			continue
		}
		for _, u := range r.uses {
			u = u.Fade(age)
			if u.Workspace == "" {
				rest = append(rest, u)
				continue
			}
			sum := uses[u.Workspace].Add(u)
			sum.Workspace = u.Workspace
			uses[u.Workspace] = sum
		}
	}
	for _, name := range slices.Sorted(maps.Keys(uses)) {
		all = append(all, uses[name])
	}
	return all, rest
}

// peerNames returns the names of the peers in a fixed order, in which their uses are added up.
func (a *Account) peerNames() []string { return slices.Sorted(maps.Keys(a.peers)) }

// Row is one workspace as operators see it.
type Row struct {
	Use
	ShareMs float64
}

// Rows returns the known workspaces with their shares of the engines, and whether there is too little
// engine time.
func (a *Account) Rows(engines float64, now time.Time) (rows []Row, tight bool) {
	d := a.Division(engines, now)
	for _, u := range d.uses {
		rows = append(rows, Row{u, d.Share(u.Workspace)})
	}
	return rows, d.Tight
}
