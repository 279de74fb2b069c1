package claims

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
)

const (
	// maxClaims bounds the claims that one process holds. A full holder abstains.
	maxClaims = 400_000
	pageSize  = 4096
)

// Verdict of a holder on a claim.
type Verdict int

// Verdicts.
const (
	// Abstain: the holder cannot know, for instance after a restart.
	Abstain Verdict = iota
	Granted
	// Seen: another claimant holds the key.
	Seen
	// Mismatch: the key was used for another request.
	Mismatch
)

// Claim asks for the right to run a request.
type Claim struct {
	Key string
	// Claimant identifies one request of a caller.
	Claimant string
	// Digest identifies the request's content.
	Digest string
	// Process would run the request.
	Process string
	// Epoch of the key's shard, by the claimant's table.
	Epoch int64
}

// Reply is a holder's answer.
type Reply struct {
	Verdict Verdict
	// Claimant and Process hold the key, if seen.
	Claimant string
	Process  string
}

// Record is one held claim.
type Record struct {
	Key, Claimant, Digest, Process string
	// Abandoned claims let the next claimant in; the request has not run.
	Abandoned bool
	Age       time.Duration
}

type record struct {
	claimant, digest, process string
	abandoned                 bool
	at                        bootclock.Instant
	// rivals are other claimants that holders named whose claims were copied.
	// Nobody here can tell which of them was granted by a majority, so the key
	// is free only when all have been withdrawn.
	rivals []rival
}

type rival struct{ claimant, digest, process string }

// shardState is what a holder knows of one shard.
type shardState struct {
	epoch  int64
	synced bool
	// freshUntil is when lost claims are past their window.
	freshUntil bootclock.Instant
	claims     map[string]record
}

// Store holds claims in memory. It is safe for concurrent use.
type Store struct {
	self   Member
	window time.Duration

	mu     sync.Mutex
	table  *Table
	shards map[int]*shardState
	held   int
}

// NewStore returns a store of a process that remembers each claim for a window.
func NewStore(self Member, window time.Duration) *Store {
	return &Store{self: self, window: window, shards: map[int]*shardState{}}
}

// Adopt takes a newer table. From then on the store grants nothing under
// earlier epochs.
func (s *Store) Adopt(t *Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table = t
	for i := range t.Shards {
		s.adoptShard(i, &t.Shards[i])
	}
}

func (s *Store) adoptShard(i int, shard *Shard) {
	mine := shard.holder(s.self)
	st := s.shards[i]
	switch {
	case mine == nil:
		if st != nil {
			s.held -= len(st.claims)
			delete(s.shards, i)
		}
		return
	case st == nil:
		st = &shardState{claims: map[string]record{}}
		s.shards[i] = st
	}
	switch {
	case shard.Fresh == 0:
		st.freshUntil = 0
	case shard.Fresh > st.epoch:
		st.freshUntil = bootclock.Now().Add(s.window)
	}
	st.epoch, st.synced = shard.Epoch, mine.Synced
}

// Table returns the adopted table, nil if there is none yet.
func (s *Store) Table() *Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table
}

// state returns the shard of a key if this store may answer for it under the
// epoch. The caller holds s.mu.
func (s *Store) state(key string, epoch int64) *shardState {
	if s.table == nil {
		return nil
	}
	st := s.shards[s.table.ShardOf(key)]
	if st == nil || st.epoch != epoch || !st.synced || bootclock.Now() < st.freshUntil {
		return nil
	}
	return st
}

// Claim decides on a claim.
func (s *Store) Claim(c Claim) Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.state(c.Key, c.Epoch)
	if st == nil {
		return Reply{Verdict: Abstain}
	}
	old, ok := st.claims[c.Key]
	if ok && bootclock.Since(old.at) > s.window {
		ok = false
	}
	switch {
	case ok && old.claimant == c.Claimant && old.abandoned:
		return Reply{Verdict: Abstain} // the claim arrives after its withdrawal
	case ok && old.claimant == c.Claimant:
		return Reply{Verdict: Granted}
	case ok && !old.abandoned && old.digest != c.Digest:
		return Reply{Verdict: Mismatch, Claimant: old.claimant, Process: old.process}
	case ok && !old.abandoned:
		return Reply{Verdict: Seen, Claimant: old.claimant, Process: old.process}
	case !ok && s.full():
		return Reply{Verdict: Abstain}
	}
	s.put(st, c.Key, record{claimant: c.Claimant, digest: c.Digest, process: c.Process, at: bootclock.Now()})
	return Reply{Verdict: Granted}
}

// Abandon withdraws a claim whose request has not run and will not run. It
// leaves a mark, so that a claim that arrives later has no effect.
func (s *Store) Abandon(c Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return
	}
	st := s.shards[s.table.ShardOf(c.Key)]
	if st == nil {
		return
	}
	old, ok := st.claims[c.Key]
	if !ok {
		old = record{claimant: c.Claimant, digest: c.Digest, process: c.Process, at: bootclock.Now()}
	}
	s.put(st, c.Key, old.without(c.Claimant))
}

// without returns the record after a claimant has withdrawn.
func (r record) without(claimant string) record {
	r.rivals = slices.DeleteFunc(slices.Clone(r.rivals), func(v rival) bool { return v.claimant == claimant })
	if r.claimant != claimant {
		return r
	}
	if len(r.rivals) == 0 {
		r.abandoned = true
		return r
	}
	next := r.rivals[0]
	r.claimant, r.digest, r.process, r.rivals = next.claimant, next.digest, next.process, r.rivals[1:]
	return r
}

func (s *Store) put(st *shardState, key string, r record) {
	if _, ok := st.claims[key]; !ok {
		s.held++
	}
	st.claims[key] = r
}

// full reports whether there is no room for another claim, after dropping those
// that are past their window. The caller holds s.mu.
func (s *Store) full() bool {
	if s.held < maxClaims {
		return false
	}
	s.expire()
	return s.held >= maxClaims
}

// Expire drops claims that are past their window.
func (s *Store) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
}

func (s *Store) expire() {
	for _, st := range s.shards {
		for k, r := range st.claims {
			if bootclock.Since(r.at) > s.window {
				delete(st.claims, k)
				s.held--
			}
		}
	}
}

// Held returns the number of claims in memory.
func (s *Store) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

// Holds reports whether this store holds any shard.
func (s *Store) Holds() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.shards) > 0
}

// Page returns the claims of a shard after a key, for a new holder. It is not
// ready if this store does not hold the shard, or has not adopted the epoch and
// so might still grant claims that the page would lack.
func (s *Store) Page(shard int, epoch int64, after string) (page []Record, more, ready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.shards[shard]
	if st == nil || st.epoch < epoch || !st.synced {
		return nil, false, false
	}
	var keys []string
	for k, r := range st.claims {
		if k > after && bootclock.Since(r.at) <= s.window {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, strings.Compare)
	more = len(keys) > pageSize
	for _, k := range keys[:min(len(keys), pageSize)] {
		r := st.claims[k]
		page = append(page, Record{k, r.claimant, r.digest, r.process, r.abandoned, bootclock.Since(r.at)})
		for _, v := range r.rivals {
			page = append(page, Record{k, v.claimant, v.digest, v.process, false, bootclock.Since(r.at)})
		}
	}
	return page, more, true
}

// Import takes over claims of another holder. Where two holders name different
// claimants, both are kept.
func (s *Store) Import(shard int, epoch int64, page []Record) bool {
	now := bootclock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.shards[shard]
	if st == nil || st.epoch != epoch {
		return false
	}
	for _, r := range page {
		in := record{claimant: r.Claimant, digest: r.Digest, process: r.Process, abandoned: r.Abandoned, at: now.Add(-r.Age)}
		if old, ok := st.claims[r.Key]; ok {
			in = merge(old, in)
		}
		s.put(st, r.Key, in)
	}
	return true
}

// merge returns what follows from a record and another holder's record of the
// same key, which has no rivals. A withdrawal that one of them knows is true,
// since only the claimant's own process withdraws.
func merge(a, b record) record {
	a.at = max(a.at, b.at)
	switch {
	case a.claimant == b.claimant && b.abandoned:
		return a.without(b.claimant)
	case a.claimant == b.claimant, b.abandoned, a.named(b.claimant):
		return a
	case a.abandoned:
		b.at = a.at
		return b
	}
	a.rivals = append(slices.Clone(a.rivals), rival{b.claimant, b.digest, b.process})
	return a
}

// named reports whether a claimant is among the rivals.
func (r record) named(claimant string) bool {
	return slices.ContainsFunc(r.rivals, func(v rival) bool { return v.claimant == claimant })
}

// unsynced returns the epochs of the shards that this store holds without
// knowing all their claims.
func (s *Store) unsynced() map[int]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[int]int64{}
	for i, st := range s.shards {
		if !st.synced {
			out[i] = st.epoch
		}
	}
	return out
}
