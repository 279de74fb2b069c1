package placement

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"github.com/rockdoor/rockdoor/engine"
)

// Part is a shared part of a prompt as it is sent to other processes.
type Part struct {
	// ID is the hash of the engine.Part's ID.
	ID     uint64
	Tokens int
}

// sharedParts returns the shared parts of a call's prompt, in order.
func sharedParts(c *engine.Call) []Part {
	if len(c.Parts) < 2 {
		return nil
	}
	shared := c.Parts[:len(c.Parts)-1]
	out := make([]Part, len(shared))
	for n, p := range shared {
		out[n] = hashPart(p)
	}
	return out
}

func hashPart(p engine.Part) Part { return Part{xxhash.Sum64String(p.ID), p.Tokens} }

// prefixCache models which prompt parts one engine has cached. Like the engine it evicts the least
// recently used parts. It is not safe for concurrent use.
type prefixCache struct {
	// capacity and used are in tokens. maxEntries bounds the entries, since clients choose how many tokens a part has.
	capacity, used int
	maxEntries     int
	// order holds the entries, most recently used first.
	order *list.List
	parts map[uint64]*list.Element
}

// cacheEntry is a cached part. The unshared tokens of a request are one entry without a key.
type cacheEntry struct {
	key    uint64
	shared bool
	tokens int
}

const (
	// defaultCapacityTokens is the memory of an engine if the configuration states none.
	defaultCapacityTokens = 100_000
	// prefixCacheShare is the share of an engine's memory that is available for cached parts. The
	// rest is used by requests in flight.
	prefixCacheShare = 0.85
	// maxCacheEntries bounds the entries of the caches of all engines together, each of about 150 bytes, and
	// minCacheEntries what each engine may have at least.
	maxCacheEntries = 1 << 15
	minCacheEntries = 1 << 8
)

func newPrefixCache() *prefixCache {
	return &prefixCache{capacity: defaultCapacityTokens, maxEntries: maxCacheEntries, order: list.New(), parts: map[uint64]*list.Element{}}
}

// limitEntries sets the share of one of a number of engines in the entries.
func (c *prefixCache) limitEntries(engines int) {
	c.maxEntries = max(minCacheEntries, maxCacheEntries/max(engines, 1))
}

// resize sets the engine's memory in tokens.
func (c *prefixCache) resize(memory int) {
	if memory > 0 {
		c.capacity = int(prefixCacheShare * float64(memory))
	}
}

// add records that the engine has prefilled a prompt, given its shared parts and the number of its
// unshared tokens.
func (c *prefixCache) add(parts []Part, unshared int) {
	if unshared > 0 {
		c.pushFront(cacheEntry{tokens: unshared})
	}
	// The first parts go to the front last: a cached part is usable only together with all parts
	// before it.
	for n := len(parts) - 1; n >= 0; n-- {
		p := parts[n]
		if e := c.parts[p.ID]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.parts[p.ID] = c.pushFront(cacheEntry{p.ID, true, p.Tokens})
	}
	for c.used > c.capacity || c.order.Len() > c.maxEntries {
		c.dropOldest()
	}
}

func (c *prefixCache) pushFront(e cacheEntry) *list.Element {
	c.used += e.tokens
	return c.order.PushFront(e)
}

func (c *prefixCache) dropOldest() {
	last := c.order.Back()
	e, _ := c.order.Remove(last).(cacheEntry)
	c.used -= e.tokens
	if e.shared {
		delete(c.parts, e.key)
	}
}

// cachedTokens returns how many tokens of a prompt's leading shared parts are cached.
func (c *prefixCache) cachedTokens(parts []Part) int {
	tokens := 0
	for _, p := range parts {
		if c.parts[p.ID] == nil {
			return tokens
		}
		tokens += p.Tokens
	}
	return tokens
}
