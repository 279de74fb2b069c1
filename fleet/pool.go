package fleet

import (
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// GroupSize is how many instances a group has about. What decides among one group costs the same
// however many instances a service has.
const GroupSize = 120

// Pool are the instances that may run the requests of one route to one service. It is immutable.
type Pool struct {
	// All has them in the order of their IDs.
	All []*Instance

	divide sync.Once
	groups [][]*Instance
}

// Groups divides the pool: into one group up to twice GroupSize, else into groups of about GroupSize,
// each in the order of the IDs. Processes that know the same instances have the same groups, and when
// the number of groups changes by one, one group's part of the instances moves.
func (p *Pool) Groups() [][]*Instance {
	p.divide.Do(func() {
		n := max(1, len(p.All)/GroupSize)
		if n == 1 {
			p.groups = [][]*Instance{p.All}
			return
		}
		p.groups = make([][]*Instance, n)
		for _, i := range p.All {
			g := GroupIndex(i.ID, n)
			p.groups[g] = append(p.groups[g], i)
		}
	})
	return p.groups
}

// Find returns the instance with an ID, nil if it is not in the pool.
func (p *Pool) Find(id string) *Instance { return Find(p.All, id) }

// Find returns the instance with an ID among instances in the order of their IDs, nil if there is none.
func Find(sorted []*Instance, id string) *Instance {
	if at, found := slices.BinarySearchFunc(sorted, id, compareID); found {
		return sorted[at]
	}
	return nil
}

// FindByRunID returns the instance whose present run has a name, nil if that is not in the pool.
func (p *Pool) FindByRunID(run string) *Instance {
	id := run // that of an instance that does not say when it was born
	if at := strings.LastIndexByte(run, runMark); at >= 0 {
		id = run[:at]
	}
	for _, id := range []string{id, run} {
		if i := p.Find(id); i != nil && i.RunID() == run {
			return i
		}
	}
	return nil
}

const (
	// jumpFactor and jumpBits are those of jump consistent hashing, by which a key moves to another of
	// n groups, if any, only to the one that is new.
	jumpFactor = 2862933555777941757
	jumpBits   = 31
	jumpShift  = 33
)

// GroupIndex returns in which of n groups a key is, an instance's ID or a subject.
func GroupIndex(key string, n int) int {
	hash := xxhash.Sum64String(key)
	group, next := int64(0), int64(0)
	for next < int64(n) {
		group = next
		hash = hash*jumpFactor + 1
		next = int64(float64(group+1) * (float64(1<<jumpBits) / float64(hash>>jumpShift+1)))
	}
	return int(group)
}

// pools are the pools of a view, made when they are asked for. It is safe for concurrent use.
type pools struct {
	mu  sync.Mutex
	all map[poolKey]*Pool
}

// poolKey names a pool. Without rules all routes to a service have the same one, under no name.
type poolKey struct{ route, service string }

func newPools() *pools { return &pools{all: map[poolKey]*Pool{}} }

// Pool returns the usable instances of a service at which the rules permit requests of the route. A
// view without an index has none.
func (v *View) Pool(route, service string) *Pool {
	if v.Rules == nil {
		route = ""
	}
	if v.pools == nil {
		return &Pool{}
	}
	key := poolKey{route, service}
	v.pools.mu.Lock()
	defer v.pools.mu.Unlock()
	p := v.pools.all[key]
	if p == nil {
		p = &Pool{All: v.permitted(route, service)}
		v.pools.all[key] = p
	}
	return p
}

func (v *View) permitted(route, service string) []*Instance {
	all := v.usable[service]
	if v.Rules == nil {
		return all
	}
	out := make([]*Instance, 0, len(all))
	for _, i := range all {
		if _, ok := v.Rules.Permits(route, i); ok {
			out = append(out, i)
		}
	}
	return out
}
