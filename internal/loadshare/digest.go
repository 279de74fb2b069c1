package loadshare

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/placement"
)

// digest is the last digest received from a peer.
type digest struct {
	receivedAt  time.Time
	loads       map[string]placement.Load // by instance
	roleChanges []*peerpb.RoleChange
}

// peerState is how far a peer and this process have synchronized the prefills that they completed.
type peerState struct {
	// incarnation is that of the peer. Each run of a process numbers its prefills anew.
	incarnation string
	// acked is the newest prefill of this process that the peer has, received the newest prefill
	// of the peer that this process has.
	acked, received uint64
}

// newDigest returns a digest of the work of this process for a peer.
func (s *Syncer) newDigest(peer string) *peerpb.LoadDigest {
	s.mu.Lock()
	t := s.peerStates[peer]
	s.mu.Unlock()
	d := &peerpb.LoadDigest{SeenRead: t.received, ClockUs: s.o.Clock.HostTime().UnixMicro()}
	for id, role := range s.o.RoleChanges() {
		d.Changing = append(d.Changing, &peerpb.RoleChange{Instance: id, Role: string(role)})
	}
	for id, l := range s.o.Placer.LocalLoads() {
		d.Instances = append(d.Instances, &peerpb.InstanceLoad{
			Instance: id, Requests: uint32(l.Requests), Unread: encodePending(l.Pending), Starting: uint32(l.Starting), Long: uint32(l.LongResponses),
		})
	}
	var prefills []placement.Prefill
	prefills, d.LastRead = s.o.Placer.PrefillsAfter(t.acked)
	for _, p := range prefills {
		d.Reads = append(d.Reads, encodePrefill(p))
	}
	for _, x := range s.o.Extensions {
		x.AddTo(d)
	}
	return d
}

// pairsPerUnit is the number of token pairs in one unit of Backlog.Kilopairs.
const pairsPerUnit = 1000

func encodePending(u placement.PendingByRank) []*peerpb.Backlog {
	var out []*peerpb.Backlog
	for rank, b := range u {
		if b != (placement.Backlog{}) {
			out = append(out, &peerpb.Backlog{Rank: uint32(rank), Prompts: uint32(b.Prompts), Tokens: uint32(b.Tokens), Kilopairs: uint32(b.Pairs / pairsPerUnit)})
		}
	}
	return out
}

// decodePending decodes the backlog sent by a peer. Unknown ranks are treated as the last one.
func decodePending(list []*peerpb.Backlog) placement.PendingByRank {
	var out placement.PendingByRank
	for _, b := range list {
		rank := min(int(b.GetRank()), len(out)-1)
		out[rank] = out[rank].Add(placement.Backlog{
			Prompts: int(b.GetPrompts()), Work: placement.Work{Tokens: int(b.GetTokens()), Pairs: int(b.GetKilopairs()) * pairsPerUnit},
		})
	}
	return out
}

func encodePrefill(r placement.Prefill) *peerpb.PromptRead {
	out := &peerpb.PromptRead{Instance: r.Instance, OwnTokens: uint32(r.UnsharedTokens)}
	for _, p := range r.Parts {
		out.Parts = append(out.Parts, p.ID)
		out.Tokens = append(out.Tokens, uint32(p.Tokens))
	}
	return out
}

// decodePrefill decodes a prefill sent by a peer. Parts without a number of tokens are left out.
func decodePrefill(m *peerpb.PromptRead) placement.Prefill {
	out := placement.Prefill{Instance: m.GetInstance(), UnsharedTokens: int(m.GetOwnTokens())}
	tokens := m.GetTokens()
	for n, id := range m.GetParts() {
		if n < len(tokens) {
			out.Parts = append(out.Parts, placement.Part{ID: id, Tokens: int(tokens[n])})
		}
	}
	return out
}

// applyDigest applies a digest received from a peer.
func (s *Syncer) applyDigest(from *peerpb.Identity, d *peerpb.LoadDigest) {
	if d.GetClockUs() != 0 {
		s.o.Clock.ObservePeer(from.GetName(), time.UnixMicro(d.GetClockUs()))
	}
	for _, r := range s.newPrefills(from, d) {
		s.o.Placer.ApplyRemotePrefill(decodePrefill(r))
	}
	for _, x := range s.o.Extensions {
		x.Apply(from, d)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name := from.GetName()
	if _, known := s.digests[name]; !known {
		level.Info(s.logger).Log("msg", "contact with peer", "peer", name)
	}
	next := digest{time.Now(), decodeLoads(d.GetInstances()), d.GetChanging()}
	s.updateTotals(s.digests[name], next)
	s.digests[name] = next
	s.lastContact[name] = next.receivedAt
	s.backoffs.Responded(name)
	s.mergeRoleChanges()
}

func decodeLoads(list []*peerpb.InstanceLoad) map[string]placement.Load {
	out := make(map[string]placement.Load, len(list))
	for _, l := range list {
		out[l.GetInstance()] = placement.Load{
			Requests: int(l.GetRequests()), Pending: decodePending(l.GetUnread()), Starting: int(l.GetStarting()), LongResponses: int(l.GetLong()),
		}
	}
	return out
}

// newPrefills returns the prefills of a digest that were not received before. Digests may arrive
// out of order.
func (s *Syncer) newPrefills(from *peerpb.Identity, d *peerpb.LoadDigest) []*peerpb.PromptRead {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.peerStates[from.GetName()]
	if t.incarnation != from.GetIncarnation() {
		t = peerState{incarnation: from.GetIncarnation()}
	}
	prefills, last := d.GetReads(), d.GetLastRead()
	missing := uint64(0)
	if last > t.received {
		missing = min(last-t.received, uint64(len(prefills)))
		t.received = last
	}
	t.acked = d.GetSeenRead()
	s.peerStates[from.GetName()] = t
	return prefills[uint64(len(prefills))-missing:]
}

// updateTotals replaces a peer's old digest by its new one in the totals. The cost does not
// depend on the number of peers. The caller holds the lock.
func (s *Syncer) updateTotals(old, next digest) {
	for id, l := range old.loads {
		if s.totals[id] = s.totals[id].Sub(l); s.totals[id] == (placement.Load{}) {
			delete(s.totals, id)
		}
	}
	for id, l := range next.loads {
		s.totals[id] = s.totals[id].Add(l)
	}
}

// mergeRoleChanges merges the role changes of all digests. The caller holds the lock.
func (s *Syncer) mergeRoleChanges() {
	changing := map[string]engine.Role{}
	for _, d := range s.digests {
		for _, c := range d.roleChanges {
			changing[c.GetInstance()] = engine.Role(c.GetRole())
		}
	}
	s.roleChanges = changing
}
