package placement

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"github.com/rockdoor/rockdoor/engine"
)

// Part is a shared part of a prompt as it is told to other processes.
type Part struct {
	// ID is the hash of the part's ID.
	ID     uint64
	Tokens int
}

// partsOf returns the shared parts of a call's prompt, in order.
func partsOf(c *engine.Call) []Part {
	if len(c.Parts) < 2 {
		return nil
	}
	shared := c.Parts[:len(c.Parts)-1]
	out := make([]Part, len(shared))
	for n, p := range shared {
		out[n] = hashed(p)
	}
	return out
}

func hashed(p engine.Part) Part { return Part{xxhash.Sum64String(p.ID), p.Tokens} }

// prefixCache is what one engine is believed to keep of the prompts that it has
// read. The engine drops the parts that were unused for the longest time, and so
// does the belief. It is not safe for concurrent use.
type prefixCache struct {
	// capacity is in tokens.
	capacity, used int
	// order holds entries, the newest first.
	order *list.List
	parts map[uint64]*list.Element
}

// entry is a part that is kept. The parts of one request that nobody shares have
// no key.
type entry struct {
	key    uint64
	shared bool
	tokens int
}

const (
	// defaultCapacity is assumed, in tokens, while the configuration states none.
	defaultCapacity = 100_000
	// cacheShare is the part of an engine's memory in which parts are kept: the
	// rest is taken by requests in hand.
	cacheShare = 0.85
)

func newPrefixCache() *prefixCache {
	return &prefixCache{capacity: defaultCapacity, order: list.New(), parts: map[uint64]*list.Element{}}
}

// resize sets the memory of the engine in tokens.
func (c *prefixCache) resize(memory int) {
	if memory > 0 {
		c.capacity = int(cacheShare * float64(memory))
	}
}

// read takes in that the engine has read a prompt: its shared parts, and own
// tokens that nobody shares.
func (c *prefixCache) read(parts []Part, own int) {
	c.push(entry{tokens: own})
	// The first parts last: an engine keeps a part only with those before it.
	for n := len(parts) - 1; n >= 0; n-- {
		p := parts[n]
		if e := c.parts[p.ID]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.parts[p.ID] = c.push(entry{p.ID, true, p.Tokens})
	}
	for c.used > c.capacity {
		c.dropOldest()
	}
}

func (c *prefixCache) push(e entry) *list.Element {
	c.used += e.tokens
	return c.order.PushFront(e)
}

func (c *prefixCache) dropOldest() {
	last := c.order.Back()
	e, _ := c.order.Remove(last).(entry)
	c.used -= e.tokens
	if e.shared {
		delete(c.parts, e.key)
	}
}

// kept returns how many tokens of a prompt's shared parts the engine keeps.
func (c *prefixCache) kept(parts []Part) int {
	tokens := 0
	for _, p := range parts {
		if c.parts[p.ID] == nil {
			return tokens
		}
		tokens += p.Tokens
	}
	return tokens
}
