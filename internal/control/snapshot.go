// Package control owns the state that all parts of a process decide by: the
// configuration in force, the members, the loads that peers and engines report.
// One goroutine changes it and publishes immutable snapshots; the goroutines
// that carry traffic only read snapshots.
package control

import (
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/config"
	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/orders"
	"github.com/rockdoor/rockdoor/platform"
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
	MirrorRevision platform.Revision `json:"mirrorRevision"`
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
	// Orders holds the last order to each engine.
	Orders map[string]orders.Record
	// FreshUntil is when this process can no longer know that the
	// configuration is the one in force.
	FreshUntil bootclock.Instant
}

// Fresh reports whether the configuration is known to be the one in force, up
// to the staleness limit.
func (s *Snapshot) Fresh() bool { return bootclock.Now() < s.FreshUntil }

// Available reports whether an engine may get new requests: no order to it is
// open and it does not say that it is changing.
func (s *Snapshot) Available(target string) bool {
	return !s.Orders[target].Open() && !s.Reports[target].Status.Changing
}

// contact is what heartbeats have told about one member.
type contact struct {
	incarnation string
	heard       bootclock.Instant
	// agreed is when the member was last heard to hold nothing newer than this
	// process does.
	agreed bootclock.Instant
	beat   *peerpb.Heartbeat
}

func (c *contact) leaving() bool { return c.beat.GetPhase() == peerpb.Phase_PHASE_LEAVING }

// memberStates joins the registrations with the contacts.
func memberStates(ms []members.Member, self members.Member, contacts map[string]*contact, interval time.Duration) []MemberState {
	out := make([]MemberState, 0, len(ms)+1)
	selfListed := false
	for _, m := range ms {
		if m.Name == self.Name {
			selfListed = true
			out = append(out, MemberState{Member: m, Health: members.Alive, Self: true})
			continue
		}
		st := MemberState{Member: m, Health: members.Unheard}
		if c := contacts[m.Name]; c != nil && c.incarnation == m.Incarnation {
			st.Heard = c.heard
			st.ConfigRevision = c.beat.GetConfigRevision()
			st.MirrorRevision = platform.Revision(c.beat.GetMirrorRevision())
			st.Health = members.HealthAt(true, bootclock.Since(c.heard), interval, c.leaving())
		}
		out = append(out, st)
	}
	if !selfListed {
		out = append(out, MemberState{Member: self, Health: members.Alive, Self: true})
	}
	return out
}

// majorityAgreed returns the latest instant at which a majority of all members,
// this one included, had been heard to hold nothing newer. Members that have
// said that they leave do not count.
func majorityAgreed(states []MemberState, contacts map[string]*contact) bootclock.Instant {
	now := bootclock.Now()
	var agreed []bootclock.Instant
	for _, s := range states {
		if s.Health == members.Leaving {
			continue
		}
		at := bootclock.Instant(0)
		if s.Self {
			at = now
		} else if c := contacts[s.Name]; c != nil && c.incarnation == s.Incarnation {
			at = c.agreed
		}
		agreed = append(agreed, at)
	}
	return kthLatest(agreed, len(agreed)/2+1)
}
