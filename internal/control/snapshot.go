// Package control owns the state that all parts of a process decide by: the
// configuration in force, the members, the loads that peers and engines report.
// One goroutine changes it and publishes immutable snapshots; the goroutines
// that carry traffic only read snapshots.
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

// MemberState is a registered member with what this process knows of it.
type MemberState struct {
	members.Member
	Health members.Health `json:"health"`
	// Heard is when the member was last heard; zero if never.
	Heard bootclock.Instant `json:"-"`
	// ConfigRevision is the configuration in force there when last heard.
	ConfigRevision int64 `json:"configRevision"`
	// MirrorRevision is how far its copy of the object API was when last heard.
	MirrorRevision objstore.Revision `json:"mirrorRevision"`
	Self           bool              `json:"self"`
}

// Report is the last status that an engine gave this process.
type Report struct {
	Status engine.Status
	// Err is why the last attempt to get a status failed, if it did.
	Err error
	At  bootclock.Instant
	// Failures counts the attempts that failed in a row.
	Failures int
}

// Snapshot is the state at one moment. It is immutable.
type Snapshot struct {
	// Config is nil until the first configuration is adopted.
	Config   *config.Compiled
	Revision int64
	ChangeID string
	Members  []MemberState
	// Serving is the number of members believed to serve, with this one.
	Serving int
	// PeerLoads is what other processes have outstanding, by target.
	PeerLoads map[string]routing.Load
	Reports   map[string]Report
	// Demand is what other processes have admitted to each pool.
	Demand map[string]map[string]roles.Counter // by pool and process
	// Orders holds the last order to each engine.
	Orders map[string]orders.Record
	// Leaving holds the IP numbers of hosts that the platform says are leaving.
	Leaving map[string]bool
	// Silent is what this process tells others about silent members.
	Silent []*peerpb.Silent
	// FreshUntil is when this process can no longer know that the
	// configuration is the one in force.
	FreshUntil bootclock.Instant
}

// Fresh reports whether the configuration is known to be the one in force, up
// to the staleness limit.
func (s *Snapshot) Fresh() bool { return bootclock.Now() < s.FreshUntil }

// Available reports whether a target may get new requests: its host is not
// leaving, no order to it is open and it does not say that it is changing.
func (s *Snapshot) Available(t *config.Target) bool {
	if len(s.Leaving) > 0 {
		if host, _, err := net.SplitHostPort(t.Address); err == nil && s.Leaving[host] {
			return false
		}
	}
	return !s.Orders[t.Name].Open() && !s.Reports[t.Name].Status.Changing
}

// LeavingKey is where the IP numbers of leaving hosts are kept, as a JSON list.
const LeavingKey = "state/leaving"

// ParseLeaving reads the list at LeavingKey. The error is of kind Invalid.
func ParseLeaving(obj objstore.Object) ([]string, error) {
	var leaving []string
	if err := json.Unmarshal(obj.Value, &leaving); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "list of leaving hosts at "+obj.Key+" cannot be read", "check who else writes to it; the registrar writes it again")
	}
	return leaving, nil
}

// contact is what heartbeats have told about one member.
type contact struct {
	incarnation string
	heard       bootclock.Instant
	// agreed is when the member was last heard to hold nothing newer than this
	// process does.
	agreed bootclock.Instant
	beat   *peerpb.Heartbeat
	// loads is the last heartbeat that carried loads.
	loads *peerpb.Heartbeat
	// failures counts heartbeats in a row that the member did not answer.
	failures int
	failedAt bootclock.Instant
}

func (c *contact) leaving() bool { return c.beat.GetPhase() == peerpb.Phase_PHASE_LEAVING }

// silent reports whether the member has been beaten in vain. A process that was
// itself paused has not heard its peers either, but has not beaten them in vain.
func (c *contact) silent(interval time.Duration) bool {
	return c.failures >= members.SuspectAfter && bootclock.Since(c.heard) > members.SuspectAfter*interval
}

// saidSilent is another process's word that a member is silent.
type saidSilent struct {
	incarnation string
	at          bootclock.Instant
}

// silentKeptFor is how long such word counts unless it is repeated.
const silentKeptFor = 5 * time.Second

// memberStates joins the registrations with what is known about each member.
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
	if l.neighbours[m.Name] {
		st.Health = members.Unheard
	}
	c := l.contacts[m.Name]
	if c != nil && c.incarnation == m.Incarnation && c.beat != nil {
		st.Heard = c.heard
		st.ConfigRevision = c.beat.GetConfigRevision()
		st.MirrorRevision = objstore.Revision(c.beat.GetMirrorRevision())
		st.Health = members.HealthAt(true, bootclock.Since(c.heard), l.o.Heartbeat, c.leaving())
	}
	if said, ok := l.said[m.Name]; ok && said.incarnation == m.Incarnation && st.Health != members.Alive && st.Health != members.Leaving {
		st.Health = members.Suspected
		st.Heard = max(st.Heard, said.at.Add(-members.SuspectAfter*l.o.Heartbeat))
	}
	return st
}

// majorityAgreed returns the latest instant at which a majority had been heard
// to hold nothing newer: of all members in a small fleet, and of this process's
// neighbours, which are a random sample, in a large one. Members that have said
// that they leave do not count.
func (l *Loop) majorityAgreed(states []MemberState) bootclock.Instant {
	now := bootclock.Now()
	var agreed []bootclock.Instant
	for _, s := range states {
		if s.Health == members.Leaving || !(s.Self || l.neighbours[s.Name]) {
			continue
		}
		at := bootclock.Instant(0)
		if s.Self {
			at = now
		} else if c := l.contacts[s.Name]; c != nil && c.incarnation == s.Incarnation {
			at = c.agreed
		}
		agreed = append(agreed, at)
	}
	return kthLatest(agreed, len(agreed)/2+1)
}
