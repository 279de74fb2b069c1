// Package control owns the state on which the decisions of a process are based: the
// configuration in force, the members, and the loads that peers and engines report.
// One goroutine changes the state and publishes immutable snapshots. Goroutines that
// handle traffic only read snapshots.
package control

import (
	"encoding/json"
	"net"
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/orders"
	"github.com/rockdoor/rockdoor/roles"
	"github.com/rockdoor/rockdoor/routing"
)

// MemberState is a registered member and its state as known to this process.
type MemberState struct {
	members.Member
	Health members.Health `json:"health"`
	// LastContact is when this process last had contact with the member. If a peer reports
	// the member as unresponsive, it is the estimated last contact of that peer, if later.
	// It is zero if there was no contact.
	LastContact bootclock.Instant `json:"-"`
	// ConfigRevision is the revision of the configuration in force at the member, as of
	// LastContact.
	ConfigRevision int64 `json:"configRevision"`
	// MirrorRevision is the revision of the member's mirror as of LastContact.
	MirrorRevision objstore.Revision `json:"mirrorRevision"`
	Self           bool              `json:"self"`
}

// Report is the last status of an engine that this process received.
type Report struct {
	Status engine.Status
	// Err is the error of the last poll, nil if it succeeded.
	Err error
	At  bootclock.Instant
	// Failures counts consecutive failed polls.
	Failures int
}

// Snapshot is the control state at one instant. It is immutable.
type Snapshot struct {
	// Config is nil until the first configuration is in force.
	Config   *config.Compiled
	Revision int64
	ChangeID string
	Members  []MemberState
	// Serving is the number of members believed to be alive, including this one.
	Serving int
	// PeerLoads is the load that other processes have placed, by target.
	PeerLoads map[string]routing.Load
	Reports   map[string]Report
	// Demand is the demand that other processes have admitted.
	Demand map[string]map[string]roles.Counter // by pool and process
	// Orders holds the latest order to each engine.
	Orders map[string]orders.Record
	// Leaving holds the IP addresses of hosts that the platform lists as leaving.
	Leaving map[string]bool
	// Unresponsive lists the unresponsive members, as sent in heartbeats.
	Unresponsive []*peerpb.Silent
	// FreshUntil is when the staleness limit of the configuration ends: from then on
	// a newer one may be in force elsewhere.
	FreshUntil bootclock.Instant
}

// Fresh reports whether the configuration is within the staleness limit.
func (s *Snapshot) Fresh() bool { return bootclock.Now() < s.FreshUntil }

// Available reports whether a target may get new requests: its host is not leaving,
// no order to it is open, and it reports no change in progress.
func (s *Snapshot) Available(t *config.Target) bool {
	if len(s.Leaving) > 0 {
		if host, _, err := net.SplitHostPort(t.Address); err == nil && s.Leaving[host] {
			return false
		}
	}
	return !s.Orders[t.Name].Open() && !s.Reports[t.Name].Status.Changing
}

// LeavingKey is the key of the list of leaving hosts: a JSON array of IP addresses.
const LeavingKey = "state/leaving"

// ParseLeaving decodes the list at LeavingKey. The error is of kind Invalid.
func ParseLeaving(obj objstore.Object) ([]string, error) {
	var leaving []string
	if err := json.Unmarshal(obj.Value, &leaving); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "list of leaving hosts at "+obj.Key+" cannot be read", "check who else writes to it; the registrar writes it again")
	}
	return leaving, nil
}

// contact is the state of one run of a member, as known from heartbeats.
type contact struct {
	incarnation string
	lastContact bootclock.Instant
	// agreedAt is the latest instant at which the member is known to have held nothing
	// newer than this process.
	agreedAt      bootclock.Instant
	lastHeartbeat *peerpb.Heartbeat
	// lastLoads is the latest heartbeat that carried loads.
	lastLoads *peerpb.Heartbeat
	// failures counts consecutive heartbeats without a response.
	failures int
	failedAt bootclock.Instant
}

func (c *contact) shuttingDown() bool {
	return c.lastHeartbeat.GetPhase() == peerpb.Phase_PHASE_LEAVING
}

// unresponsive reports whether the member has not responded to recent heartbeats. The
// time since the last contact alone does not suffice: it also grows while this process
// is paused itself.
func (c *contact) unresponsive(interval time.Duration) bool {
	return c.failures >= members.SuspectAfter && bootclock.Since(c.lastContact) > members.SuspectAfter*interval
}

// unresponsiveReport is another process's report that a member is unresponsive.
type unresponsiveReport struct {
	incarnation string
	at          bootclock.Instant
}

// unresponsiveReportTTL is how long an unresponsiveReport counts unless it is repeated.
const unresponsiveReportTTL = 5 * time.Second

// memberStates returns the state of each registered member and of this process.
func (l *Loop) memberStates() []MemberState {
	out := make([]MemberState, 0, len(l.registered)+1)
	selfListed := false
	for _, m := range l.registered {
		if m.Name == l.o.Self.Name {
			selfListed = true
			out = append(out, MemberState{Member: m, Health: members.Alive, Self: true})
			continue
		}
		out = append(out, l.memberState(m))
	}
	if !selfListed {
		out = append(out, MemberState{Member: l.o.Self, Health: members.Alive, Self: true})
	}
	return out
}

func (l *Loop) memberState(m members.Member) MemberState {
	st := MemberState{Member: m, Health: members.Presumed}
	if l.gossipPeers[m.Name] {
		st.Health = members.Unheard
	}
	c := l.contacts[m.Name]
	if c != nil && c.incarnation == m.Incarnation && c.lastHeartbeat != nil {
		st.LastContact = c.lastContact
		st.ConfigRevision = c.lastHeartbeat.GetConfigRevision()
		st.MirrorRevision = objstore.Revision(c.lastHeartbeat.GetMirrorRevision())
		st.Health = members.HealthAt(true, bootclock.Since(c.lastContact), l.o.Heartbeat, c.shuttingDown())
	}
	if report, ok := l.unresponsiveReports[m.Name]; ok && report.incarnation == m.Incarnation && st.Health != members.Alive && st.Health != members.Leaving {
		st.Health = members.Suspected
		st.LastContact = max(st.LastContact, report.at.Add(-members.SuspectAfter*l.o.Heartbeat))
	}
	return st
}

// majorityAgreedAt returns the latest instant at which a majority is known to have held
// nothing newer than this process. In a small fleet it is a majority of all members, in
// a large one a majority of the gossip peers, which are a random sample. Members that
// are shutting down do not count.
func (l *Loop) majorityAgreedAt(states []MemberState) bootclock.Instant {
	now := bootclock.Now()
	var agreed []bootclock.Instant
	for _, s := range states {
		if s.Health == members.Leaving || !(s.Self || l.gossipPeers[s.Name]) {
			continue
		}
		at := bootclock.Instant(0)
		if s.Self {
			at = now
		} else if c := l.contacts[s.Name]; c != nil && c.incarnation == s.Incarnation {
			at = c.agreedAt
		}
		agreed = append(agreed, at)
	}
	return kthMostRecent(agreed, len(agreed)/2+1)
}
