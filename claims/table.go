// Package claims ensures that a request with an idempotency key runs at most
// once, however often it is sent and to whichever processes.
//
// Keys are hashed to shards. Each shard has up to three holders in different
// failure domains, which record in memory who claimed a key. A process may run a
// request once a majority of the holders of its key has granted the claim.
//
// The assignment of holders to shards is one object in the store, the table.
// Each change of a shard's holders raises the shard's epoch, replaces at most one
// holder, and is made only if every granted claim is known to at least one of the
// remaining synced holders. A new holder abstains until it has copied the claims
// of all the others; by then these have stopped granting claims under earlier
// epochs. If too many holders are lost at once, the shard is reset: it gets new
// holders, which grant nothing until all claims that may have been lost have
// expired. A loss of claims therefore causes rejected requests, never a second
// run.
package claims

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/objstore"
)

const (
	// TableKey is the key of the table in the object store. It is below the
	// mirrored prefix.
	TableKey = "state/claims"
	// Shards is the number of shards of a new table.
	Shards = 64
	// Replicas is the number of holders of a shard, if the fleet has that many members.
	Replicas = 3
)

// Member is one incarnation of a process that may hold claims.
type Member struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Domain      string `json:"domain"`
}

// Holder is a member that is assigned to a shard.
type Holder struct {
	Member
	// Synced means that the holder has copied the claims granted under earlier epochs.
	Synced bool `json:"synced"`
}

// Shard is the assignment of one subset of the keys.
type Shard struct {
	Epoch   int64    `json:"epoch"`
	Holders []Holder `json:"holders"`
	// ResetEpoch is the epoch at which the shard was last reset, as long as claims
	// lost by the reset may not have expired; otherwise 0. Holders grant nothing
	// until it is 0 or they have waited for one window themselves.
	ResetEpoch int64 `json:"fresh,omitempty"`
	// MinSynced is set while some holder is not synced: any MinSynced of the synced
	// holders together know every granted claim. It is 0 in tables of earlier versions.
	MinSynced int `json:"known,omitempty"`
}

// Quorum returns how many of n holders must grant a claim.
func Quorum(n int) int { return n/2 + 1 }

// Table assigns holders to all shards. A Table is immutable.
type Table struct {
	Shards []Shard `json:"shards"`
}

// ParseTable decodes the object at TableKey.
func ParseTable(obj objstore.Object) (*Table, error) {
	var t Table
	if err := json.Unmarshal(obj.Value, &t); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "claim table cannot be read", "check who else writes to "+TableKey)
	}
	return &t, nil
}

// ShardOf returns the shard of a key.
func (t *Table) ShardOf(key string) int { return int(xxhash.Sum64String(key) % uint64(len(t.Shards))) }

// holder returns the entry of a member in a shard, or nil.
func (s *Shard) holder(m Member) *Holder {
	for i := range s.Holders {
		if s.Holders[i].Name == m.Name && s.Holders[i].Incarnation == m.Incarnation {
			return &s.Holders[i]
		}
	}
	return nil
}

// requiredSynced returns how many synced holders must remain so that each granted
// claim is known to at least one of them. While a new holder is not synced, the
// number stays what it was before that holder was added, because claims need a
// majority of all holders and so more of the synced ones. With the number for the
// larger shard, a shard that grew from two holders to three would count as lost
// if one of the two failed before the third had copied their claims.
func (s *Shard) requiredSynced() int {
	if s.MinSynced > 0 && slices.ContainsFunc(s.Holders, func(h Holder) bool { return !h.Synced }) {
		return s.MinSynced
	}
	return len(s.Holders) - Quorum(len(s.Holders)) + 1
}

// Next returns the table that follows t for the given live members, and whether
// it differs from t. A nil t makes a new table. At most one holder of each shard
// changes. A shard that has lost too many holders is reset if allowReset is set;
// otherwise it stays as it is, since the holders may return.
func Next(t *Table, live []Member, allowReset bool) (*Table, bool) {
	if t == nil {
		if len(live) == 0 {
			return nil, false
		}
		t = &Table{Shards: make([]Shard, Shards)}
	}
	next := &Table{Shards: make([]Shard, len(t.Shards))}
	changed := false
	for i := range t.Shards {
		var c bool
		next.Shards[i], c = nextShard(i, t.Shards[i], live, allowReset)
		changed = changed || c
	}
	return next, changed
}

func nextShard(i int, s Shard, live []Member, allowReset bool) (Shard, bool) {
	if s.Epoch == 0 {
		return newShard(i, 0, live), len(live) > 0
	}
	lost, synced := -1, 0
	for j, h := range s.Holders {
		switch {
		case !slices.Contains(live, h.Member):
			lost = j
		case h.Synced:
			synced++
		}
	}
	if synced < s.requiredSynced() {
		if !allowReset || len(live) == 0 {
			return s, false
		}
		return newShard(i, s.Epoch, live), true
	}
	spare, ok := pickMember(i, s, live, lost)
	switch {
	case !ok:
		return s, false
	case lost >= 0:
		return s.withHolder(lost, spare), true
	case len(s.Holders) < Replicas && synced == len(s.Holders):
		return s.withHolder(len(s.Holders), spare), true
	}
	return s, false
}

// newShard returns a shard with new holders, all of them synced. An epoch above 0
// is that of the shard it replaces, whose claims are lost: the new shard is marked
// as reset.
func newShard(i int, epoch int64, live []Member) Shard {
	s := Shard{Epoch: epoch + 1}
	if epoch > 0 {
		s.ResetEpoch = s.Epoch
	}
	for len(s.Holders) < Replicas {
		m, ok := pickMember(i, s, live, -1)
		if !ok {
			break
		}
		s.Holders = append(s.Holders, Holder{Member: m, Synced: true})
	}
	return s
}

// withHolder returns the shard of the next epoch with m, not synced, as its j-th
// holder.
func (s Shard) withHolder(j int, m Member) Shard {
	s.MinSynced = s.requiredSynced()
	s.Holders = slices.Clone(s.Holders)
	if j == len(s.Holders) {
		s.Holders = append(s.Holders, Holder{})
	}
	s.Holders[j] = Holder{Member: m}
	s.Epoch++
	return s
}

// pickMember chooses a further holder for the shard, or a replacement for the
// holder at index except. It prefers a member in a failure domain that no other
// holder is in, and among equals the one with the highest rendezvous hash.
func pickMember(i int, s Shard, live []Member, except int) (Member, bool) {
	taken, domains := map[string]bool{}, map[string]bool{}
	for j, h := range s.Holders {
		if j != except {
			taken[h.Name] = true
			domains[h.Domain] = true
		}
	}
	var spare []Member
	for _, m := range live {
		if !taken[m.Name] {
			spare = append(spare, m)
		}
	}
	if len(spare) == 0 {
		return Member{}, false
	}
	return slices.MaxFunc(spare, func(a, b Member) int {
		if domains[a.Domain] != domains[b.Domain] {
			if domains[a.Domain] {
				return -1
			}
			return 1
		}
		return cmp.Compare(rendezvousHash(i, a), rendezvousHash(i, b))
	}), true
}

func rendezvousHash(shard int, m Member) uint64 {
	return xxhash.Sum64String(strconv.Itoa(shard) + "\x00" + m.Name)
}

// withoutResetMarks returns the table with the ResetEpoch of all shards cleared.
func (t *Table) withoutResetMarks() *Table {
	next := &Table{Shards: slices.Clone(t.Shards)}
	for i := range next.Shards {
		next.Shards[i].ResetEpoch = 0
	}
	return next
}

// resetShards returns the highest ResetEpoch and the number of shards that have one.
func resetShards(t *Table) (epoch int64, shards int) {
	if t == nil {
		return 0, 0
	}
	for i := range t.Shards {
		if f := t.Shards[i].ResetEpoch; f > 0 {
			epoch = max(epoch, f)
			shards++
		}
	}
	return epoch, shards
}

// withSynced returns the table with m marked as synced in the given shards, as
// far as m still holds them under the given epochs.
func (t *Table) withSynced(m Member, epochs map[int]int64) *Table {
	next := &Table{Shards: slices.Clone(t.Shards)}
	for i, epoch := range epochs {
		s := &next.Shards[i]
		if s.Epoch != epoch || s.holder(m) == nil {
			continue
		}
		s.Holders = slices.Clone(s.Holders)
		s.holder(m).Synced = true
	}
	return next
}
