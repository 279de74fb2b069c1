package loadshare

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/internal/peer/peerpb"
	"github.com/rockdoor/rockdoor/placement"
)

// digest is what a peer said last.
type digest struct {
	at       time.Time
	loads    map[string]placement.Load // by instance
	changing []*peerpb.RoleChange
}

// told is how far a peer and this process have told each other of their reads.
type told struct {
	// run is the peer's run: its numbers begin anew with each.
	run string
	// has is the newest of this process's reads that the peer has, seen the newest
	// of the peer's reads that this process has.
	has, seen uint64
}

// digest describes the work of this process to a peer.
func (s *Syncer) digest(peer string) *peerpb.LoadDigest {
	s.mu.Lock()
	t := s.told[peer]
	s.mu.Unlock()
	d := &peerpb.LoadDigest{SeenRead: t.seen, ClockUs: s.o.Clock.HostTime().UnixMicro()}
	for id, role := range s.o.RoleChanges() {
		d.Changing = append(d.Changing, &peerpb.RoleChange{Instance: id, Role: string(role)})
	}
	for id, l := range s.o.Placer.LocalLoads() {
		d.Instances = append(d.Instances, &peerpb.InstanceLoad{
			Instance: id, Requests: uint32(l.Requests), Unread: encodeUnread(l.Pending), Starting: uint32(l.Starting), Long: uint32(l.LongResponses),
		})
	}
	var reads []placement.Prefill
	reads, d.LastRead = s.o.Placer.PrefillsAfter(t.has)
	for _, r := range reads {
		d.Reads = append(d.Reads, encodeRead(r))
	}
	return d
}

// kilo is the unit in which pairs of tokens are told.
const kilo = 1000

func encodeUnread(u placement.PendingByRank) []*peerpb.Backlog {
	var out []*peerpb.Backlog
	for rank, b := range u {
		if b != (placement.Backlog{}) {
			out = append(out, &peerpb.Backlog{Rank: uint32(rank), Prompts: uint32(b.Prompts), Tokens: uint32(b.Tokens), Kilopairs: uint32(b.Pairs / kilo)})
		}
	}
	return out
}

// decodeUnread reads what a peer said; ranks that are not known are taken for the last.
func decodeUnread(list []*peerpb.Backlog) placement.PendingByRank {
	var out placement.PendingByRank
	for _, b := range list {
		rank := min(int(b.GetRank()), len(out)-1)
		out[rank] = out[rank].Add(placement.Backlog{
			Prompts: int(b.GetPrompts()), Work: placement.Work{Tokens: int(b.GetTokens()), Pairs: int(b.GetKilopairs()) * kilo},
		})
	}
	return out
}

func encodeRead(r placement.Prefill) *peerpb.PromptRead {
	out := &peerpb.PromptRead{Instance: r.Instance, OwnTokens: uint32(r.UnsharedTokens)}
	for _, p := range r.Parts {
		out.Parts = append(out.Parts, p.ID)
		out.Tokens = append(out.Tokens, uint32(p.Tokens))
	}
	return out
}

// decodeRead reads a message of a peer; parts without a number of tokens are left
// out.
func decodeRead(m *peerpb.PromptRead) placement.Prefill {
	out := placement.Prefill{Instance: m.GetInstance(), UnsharedTokens: int(m.GetOwnTokens())}
	tokens := m.GetTokens()
	for n, id := range m.GetParts() {
		if n < len(tokens) {
			out.Parts = append(out.Parts, placement.Part{ID: id, Tokens: int(tokens[n])})
		}
	}
	return out
}

// hear takes in a digest.
func (s *Syncer) hear(from *peerpb.Identity, d *peerpb.LoadDigest) {
	if d.GetClockUs() != 0 {
		s.o.Clock.ObservePeer(from.GetName(), time.UnixMicro(d.GetClockUs()))
	}
	for _, r := range s.fresh(from, d) {
		s.o.Placer.ApplyRemotePrefill(decodeRead(r))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name := from.GetName()
	if _, known := s.digests[name]; !known {
		level.Info(s.logger).Log("msg", "peer heard", "peer", name)
	}
	next := digest{time.Now(), decodeLoads(d.GetInstances()), d.GetChanging()}
	s.replace(s.digests[name], next)
	s.digests[name] = next
	s.heardAt[name] = next.at
	s.silent.Answered(name)
	s.sumChanging()
}

func decodeLoads(list []*peerpb.InstanceLoad) map[string]placement.Load {
	out := make(map[string]placement.Load, len(list))
	for _, l := range list {
		out[l.GetInstance()] = placement.Load{
			Requests: int(l.GetRequests()), Pending: decodeUnread(l.GetUnread()), Starting: int(l.GetStarting()), LongResponses: int(l.GetLong()),
		}
	}
	return out
}

// fresh returns the reads of a digest that were not heard before. Digests may
// overtake each other.
func (s *Syncer) fresh(from *peerpb.Identity, d *peerpb.LoadDigest) []*peerpb.PromptRead {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.told[from.GetName()]
	if t.run != from.GetIncarnation() {
		t = told{run: from.GetIncarnation()}
	}
	reads, last := d.GetReads(), d.GetLastRead()
	missing := uint64(0)
	if last > t.seen {
		missing = min(last-t.seen, uint64(len(reads)))
		t.seen = last
	}
	t.has = d.GetSeenRead()
	s.told[from.GetName()] = t
	return reads[uint64(len(reads))-missing:]
}

// replace puts a peer's new digest in the place of its old one in the sums, which costs
// the same however many peers there are. The caller holds the lock.
func (s *Syncer) replace(old, next digest) {
	for id, l := range old.loads {
		if s.sum[id] = s.sum[id].Sub(l); s.sum[id] == (placement.Load{}) {
			delete(s.sum, id)
		}
	}
	for id, l := range next.loads {
		s.sum[id] = s.sum[id].Add(l)
	}
}

// sumChanging joins what the digests say of role changes. The caller holds the lock.
func (s *Syncer) sumChanging() {
	changing := map[string]engine.Role{}
	for _, d := range s.digests {
		for _, c := range d.changing {
			changing[c.GetInstance()] = engine.Role(c.GetRole())
		}
	}
	s.changing = changing
}
