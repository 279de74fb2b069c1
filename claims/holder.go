package claims

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
)

const (
	// maxClaims bounds the claims that one process keeps in memory. A full store abstains.
	maxClaims = 400_000
	// pageRecords is how many keys Page returns at most.
	pageRecords = 4096
)

// Verdict is a holder's decision on a claim.
type Verdict int

// Verdicts.
const (
	// Abstain means that the holder cannot decide, for instance because it has
	// restarted and does not know the earlier claims.
	Abstain Verdict = iota
	Granted
	// Seen means that another claimant holds the key.
	Seen
	// Mismatch means that another claimant holds the key for a request with
	// different content.
	Mismatch
)

// Claim asks for the right to run a request.
type Claim struct {
	Key string
	// Claimant identifies one client request.
	Claimant string
	// Digest identifies the request's content.
	Digest string
	// Process is the process that will run the request if the claim is granted.
	Process string
	// Epoch is the epoch of the key's shard in the claiming process's table.
	Epoch int64
}

// Reply is a holder's response to a claim.
type Reply struct {
	Verdict Verdict
	// Claimant and Process hold the key. They are set if Verdict is Seen or Mismatch.
	Claimant string
	Process  string
}

// Record is one claim as a holder stores it.
type Record struct {
	Key, Claimant, Digest, Process string
	// Abandoned marks a withdrawn claim: its request has not run, and another
	// claimant may be granted the key.
	Abandoned bool
	Age       time.Duration
}

type record struct {
	claimant, digest, process string
	abandoned                 bool
	at                        bootclock.Instant
	// rivals are the other claimants of the key in claims copied from other
	// holders. This store cannot tell which claimant a majority granted, so the
	// key is free only once all of them have withdrawn.
	rivals []rival
}

type rival struct{ claimant, digest, process string }

// shardState is a holder's state of one shard.
type shardState struct {
	epoch  int64
	synced bool
	// abstainUntil is when claims lost by a reset of the shard have expired.
	abstainUntil bootclock.Instant
	claims       map[string]record
}

// Store holds claims in memory. It is safe for concurrent use.
type Store struct {
	self   Member
	window time.Duration

	mu     sync.Mutex
	table  *Table
	shards map[int]*shardState
	count  int
}

// NewStore returns a store for process self that keeps each claim for the
// duration window.
func NewStore(self Member, window time.Duration) *Store {
	return &Store{self: self, window: window, shards: map[int]*shardState{}}
}

// Adopt installs a newer table. Afterwards the store grants no claim that
// carries an epoch of an earlier table.
func (s *Store) Adopt(t *Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table = t
	for i := range t.Shards {
		s.adoptShard(i, &t.Shards[i])
	}
}

func (s *Store) adoptShard(i int, shard *Shard) {
	entry := shard.holder(s.self)
	st := s.shards[i]
	switch {
	case entry == nil:
		if st != nil {
			s.count -= len(st.claims)
			delete(s.shards, i)
		}
		return
	case st == nil:
		st = &shardState{claims: map[string]record{}}
		s.shards[i] = st
	}
	switch {
	case shard.ResetEpoch == 0:
		st.abstainUntil = 0
	case shard.ResetEpoch > st.epoch:
		st.abstainUntil = bootclock.Now().Add(s.window)
	}
	st.epoch, st.synced = shard.Epoch, entry.Synced
}

// Table returns the adopted table, nil if there is none yet.
func (s *Store) Table() *Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table
}

// state returns the state of a key's shard, or nil if this store may not decide
// on claims of that shard and epoch. The caller holds s.mu.
func (s *Store) state(key string, epoch int64) *shardState {
	if s.table == nil {
		return nil
	}
	st := s.shards[s.table.ShardOf(key)]
	if st == nil || st.epoch != epoch || !st.synced || bootclock.Now() < st.abstainUntil {
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
		return Reply{Verdict: Abstain} // the claim arrived after its withdrawal
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

// Abandon withdraws a claim whose request has not run and will not run. The
// record stays, marked as abandoned, so that the claim has no effect if it
// arrives after its withdrawal.
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
	s.put(st, c.Key, old.withdraw(c.Claimant))
}

// withdraw returns the record after a claimant has withdrawn.
func (r record) withdraw(claimant string) record {
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
		s.count++
	}
	st.claims[key] = r
}

// full reports whether there is no room for another claim, even after removing
// the expired ones. The caller holds s.mu.
func (s *Store) full() bool {
	if s.count < maxClaims {
		return false
	}
	s.expire()
	return s.count >= maxClaims
}

// Expire removes claims that are older than the window.
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
				s.count--
			}
		}
	}
}

// ClaimCount returns the number of claims in memory.
func (s *Store) ClaimCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// HasShards reports whether this store holds any shard.
func (s *Store) HasShards() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.shards) > 0
}

// Page returns the next claims of a shard in key order, starting behind the key
// after, for a new holder to copy. It returns ready false if this store is not a
// synced holder of the shard, or has not adopted the epoch yet: until then it may
// still grant claims that the page would not contain.
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
	more = len(keys) > pageRecords
	for _, k := range keys[:min(len(keys), pageRecords)] {
		r := st.claims[k]
		page = append(page, Record{k, r.claimant, r.digest, r.process, r.abandoned, bootclock.Since(r.at)})
		for _, v := range r.rivals {
			page = append(page, Record{k, v.claimant, v.digest, v.process, false, bootclock.Since(r.at)})
		}
	}
	return page, more, true
}

// Import adds claims copied from another holder. Where two holders recorded
// different claimants for a key, both claimants are kept. It reports false if
// this store does not hold the shard under the given epoch.
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

// merge combines a record with another holder's record of the same key, which
// has no rivals. A withdrawal that only one of them contains is valid, since
// only the claimant's own process withdraws a claim.
func merge(a, b record) record {
	a.at = max(a.at, b.at)
	switch {
	case a.claimant == b.claimant && b.abandoned:
		return a.withdraw(b.claimant)
	case a.claimant == b.claimant, b.abandoned, a.hasRival(b.claimant):
		return a
	case a.abandoned:
		b.at = a.at
		return b
	}
	a.rivals = append(slices.Clone(a.rivals), rival{b.claimant, b.digest, b.process})
	return a
}

// hasRival reports whether a claimant is among the rivals.
func (r record) hasRival(claimant string) bool {
	return slices.ContainsFunc(r.rivals, func(v rival) bool { return v.claimant == claimant })
}

// unsynced returns, by shard number, the epochs of the shards that this store
// holds but whose earlier claims it has not copied yet.
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
