package replay

import "container/list"

// promptCache is the actual KV cache of an engine: parts of prompts, with the least recently used
// evicted first. A placement.Placer has only an estimate of it.
type promptCache struct {
	capacity, used int
	// order holds the parts, the most recently used first.
	order *list.List
	parts map[string]*list.Element
}

type part struct {
	// id is empty for tokens that no other prompt shares.
	id     string
	tokens int
}

func newPromptCache(capacity int) *promptCache {
	return &promptCache{capacity: capacity, order: list.New(), parts: map[string]*list.Element{}}
}

func (m *promptCache) contains(id string) bool { return m.parts[id] != nil }

// add adds a prompt with a shared prefix and tokens of its own.
func (m *promptCache) add(id string, shared, own int) {
	m.push(part{tokens: own})
	if e := m.parts[id]; e != nil {
		m.order.MoveToFront(e)
	} else {
		m.parts[id] = m.push(part{id, shared})
	}
	for m.used > m.capacity {
		m.evictOldest()
	}
}

func (m *promptCache) push(p part) *list.Element {
	m.used += p.tokens
	return m.order.PushFront(p)
}

func (m *promptCache) evictOldest() {
	p, _ := m.order.Remove(m.order.Back()).(part)
	m.used -= p.tokens
	if p.id != "" {
		delete(m.parts, p.id)
	}
}
