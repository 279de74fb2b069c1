package fleet

import (
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// GroupSize is the approximate number of instances in a group. Decisions within one group have a
// bounded cost, however many instances a service has.
const GroupSize = 120

// Pool holds the instances that may run new requests of one route to one service. It is immutable.
type Pool struct {
	// All is sorted by ID.
	All []*Instance

	groupOnce sync.Once
	groups    [][]*Instance
}

// Groups divides the pool into groups of about GroupSize instances, sorted by ID. Pools smaller
// than two groups are not divided. Processes with the same instances compute the same groups. When
// the number of groups changes by one, only one group's share of the instances moves.
func (p *Pool) Groups() [][]*Instance {
	p.groupOnce.Do(func() {
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

// Find returns the instance with the ID, nil if it is not in the pool.
func (p *Pool) Find(id string) *Instance { return Find(p.All, id) }

// Find returns the instance with the ID from a slice sorted by ID, nil if there is none.
func Find(sorted []*Instance, id string) *Instance {
	if at, found := slices.BinarySearchFunc(sorted, id, compareIDTo); found {
		return sorted[at]
	}
	return nil
}

// FindByRunID returns the instance with the run ID, nil if that run is not in the pool.
func (p *Pool) FindByRunID(run string) *Instance {
	id := run // a run ID without a separator equals the instance ID
	if at := strings.LastIndexByte(run, runSeparator); at >= 0 {
		id = run[:at]
	}
	for _, id := range []string{id, run} {
		if i := p.Find(id); i != nil && i.RunID() == run {
			return i
		}
	}
	return nil
}

// OfSoftware returns the instances of a slice that have a software version, in the same order.
func OfSoftware(instances []*Instance, version string) []*Instance {
	var out []*Instance
	for _, i := range instances {
		if i.Software == version {
			out = append(out, i)
		}
	}
	return out
}

const (
	// The constants of jump consistent hashing. When the number of groups grows by one, a key either
	// stays in its group or moves to the new one.
	jumpFactor = 2862933555777941757
	jumpBits   = 31
	jumpShift  = 33
)

// GroupIndex returns the index, out of n groups, of the group that an instance ID or a prompt prefix
// belongs to.
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

// poolCache builds the pools of a view on demand. It is safe for concurrent use.
type poolCache struct {
	mu    sync.Mutex
	byKey map[poolKey]*Pool
}

// poolKey identifies a pool. If there are no rules, all routes to a service share a pool and route
// is empty.
type poolKey struct{ route, service string }

func newPoolCache() *poolCache { return &poolCache{byKey: map[poolKey]*Pool{}} }

// Pool returns the usable instances of a service on which the rules permit requests of the route, of published versions if
// there are any.
// It is empty if the view has not been indexed.
func (v *View) Pool(route, service string) *Pool {
	if v.Rules == nil {
		route = ""
	}
	if v.poolCache == nil {
		return &Pool{}
	}
	key := poolKey{route, service}
	v.poolCache.mu.Lock()
	defer v.poolCache.mu.Unlock()
	p := v.poolCache.byKey[key]
	if p == nil {
		p = &Pool{All: v.Published.filter(service, v.filterByRules(route, service), v.Instances)}
		v.poolCache.byKey[key] = p
	}
	return p
}

// PermittedOf returns the usable instances of a service that have a software version, published or not, and on which the rules
// permit requests of the route, sorted by ID.
func (v *View) PermittedOf(route, service, version string) []*Instance {
	return OfSoftware(v.filterByRules(route, service), version)
}

func (v *View) filterByRules(route, service string) []*Instance {
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
