// Package claims lets a request with an idempotency key run at most once,
// whichever process it is sent to and however often.
//
// Keys are spread over shards. Each shard has up to three holders in different
// failure domains, which remember in memory who claimed a key. A process may
// run a request once a majority of the key's holders has granted its claim.
//
// Who holds a shard is agreed through one object, the table. Every change of a
// shard's holders raises its epoch, replaces at most one holder, and is made
// only if so many holders remain that each claim is known to one of them. A new
// holder abstains until it has copied the claims of all the others, which have
// then stopped to grant under earlier epochs. If too many holders are lost at
// once, the shard starts afresh and grants nothing until all claims that may
// have been lost are past their window. Losing claims so costs refusals, never a
// second run.
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
	// TableKey is where the table is kept. It is mirrored.
	TableKey = "state/claims"
	// Shards is the number of shards of a new table.
	Shards = 64
	// Replicas is how many holders a shard has in a fleet that is large enough.
	Replicas = 3
)

// Member is a run of a process that may hold claims.
type Member struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Domain      string `json:"domain"`
}

// Holder is a member that holds a shard.
type Holder struct {
	Member
	// Synced holders know every claim that was granted under earlier epochs.
	Synced bool `json:"synced"`
}

// Shard is a part of the keys.
type Shard struct {
	Epoch   int64    `json:"epoch"`
	Holders []Holder `json:"holders"`
	// Fresh is the epoch at which the shard started afresh, as long as claims
	// that were lost then may be within their window; else 0. Holders grant
	// nothing until it is 0 or they have waited for a window themselves.
	Fresh int64 `json:"fresh,omitempty"`
	// Known is how many synced holders know every claim between them, whichever they
	// are, while some holder is not synced; 0 in tables of earlier versions.
	Known int `json:"known,omitempty"`
}

// Quorum returns how many of n holders must grant a claim.
func Quorum(n int) int { return n/2 + 1 }

// Table says who holds what. A Table is immutable.
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

// remain returns how many synced holders must remain for each granted claim to
// be known to one of them. While a holder is not synced that is what it was before the
// holder came, since claims are granted by a majority of all and so by more of the synced
// ones: a shard that had grown from two holders to three was taken for lost when one of the
// two went before the third had copied their claims.
func (s *Shard) remain() int {
	if s.Known > 0 && slices.ContainsFunc(s.Holders, func(h Holder) bool { return !h.Synced }) {
		return s.Known
	}
	return len(s.Holders) - Quorum(len(s.Holders)) + 1
}

// Next returns the table that follows t, given the members that may hold
// claims, and whether it differs. A nil t makes a new table. At most one holder
// of each shard changes. With giveUp, a shard that has lost too many holders
// starts afresh; without, it is left alone in the hope that they come back.
func Next(t *Table, live []Member, giveUp bool) (*Table, bool) {
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
		next.Shards[i], c = nextShard(i, t.Shards[i], live, giveUp)
		changed = changed || c
	}
	return next, changed
}

func nextShard(i int, s Shard, live []Member, giveUp bool) (Shard, bool) {
	if s.Epoch == 0 {
		return startShard(i, 0, live), len(live) > 0
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
	if synced < s.remain() {
		if !giveUp || len(live) == 0 {
			return s, false
		}
		return startShard(i, s.Epoch, live), true
	}
	spare, ok := pick(i, s, live, lost)
	switch {
	case !ok:
		return s, false
	case lost >= 0:
		return s.with(lost, spare), true
	case len(s.Holders) < Replicas && synced == len(s.Holders):
		return s.with(len(s.Holders), spare), true
	}
	return s, false
}

// startShard returns a shard with new holders. If there was one before, its
// claims are lost.
func startShard(i int, epoch int64, live []Member) Shard {
	s := Shard{Epoch: epoch + 1}
	if epoch > 0 {
		s.Fresh = s.Epoch
	}
	for len(s.Holders) < Replicas {
		m, ok := pick(i, s, live, -1)
		if !ok {
			break
		}
		s.Holders = append(s.Holders, Holder{Member: m, Synced: true})
	}
	return s
}

// with returns the shard with m, not synced, as its j-th holder.
func (s Shard) with(j int, m Member) Shard {
	s.Known = s.remain()
	s.Holders = slices.Clone(s.Holders)
	if j == len(s.Holders) {
		s.Holders = append(s.Holders, Holder{})
	}
	s.Holders[j] = Holder{Member: m}
	s.Epoch++
	return s
}

// pick returns the member that should hold the shard besides its holders, but
// for the one at index except: one in a failure domain of its own if there is
// one, then the one with the highest hash.
func pick(i int, s Shard, live []Member, except int) (Member, bool) {
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
		return cmp.Compare(score(i, a), score(i, b))
	}), true
}

func score(shard int, m Member) uint64 {
	return xxhash.Sum64String(strconv.Itoa(shard) + "\x00" + m.Name)
}

// withoutFresh returns the table with no shard marked as fresh.
func (t *Table) withoutFresh() *Table {
	next := &Table{Shards: slices.Clone(t.Shards)}
	for i := range next.Shards {
		next.Shards[i].Fresh = 0
	}
	return next
}

// freshShards returns the highest epoch at which a shard started afresh and is
// still marked so, and how many shards are.
func freshShards(t *Table) (epoch int64, shards int) {
	if t == nil {
		return 0, 0
	}
	for i := range t.Shards {
		if f := t.Shards[i].Fresh; f > 0 {
			epoch = max(epoch, f)
			shards++
		}
	}
	return epoch, shards
}

// withSynced returns the table with a member synced in the given shards, where
// it still holds them under the same epoch.
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
