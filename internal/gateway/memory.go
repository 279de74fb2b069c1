package gateway

import "sync"

// bodyClass is what memory is reserved for.
type bodyClass int

const (
	requestBodies bodyClass = iota
	responseBodies
	bodyClasses
)

// responseShare is the share of the memory that response bodies may take. Responses that find none are relayed
// unbuffered, while requests that find none are rejected, so the rest is kept for requests.
const responseShare = 0.75

// maxOverFree is how many times what it leaves free a source may hold, by class. It is larger for requests since they are
// rejected beyond it.
var maxOverFree = [bodyClasses]int64{requestBodies: 2, responseBodies: 1}

// source is what memory is used on behalf of: a service and one of its instances, or a route and one of its workspaces.
type source struct {
	class       bodyClass
	owner, part string
}

func (s source) whole() source { return source{class: s.class, owner: s.owner} }

// memoryBudget limits the total size of the request and response bodies that are buffered until the
// receiver has read them, so that a thousand slow clients cost a bounded amount of memory. What an owner
// gets is limited by what it leaves free, and what each of its parts gets by what it leaves of that, so that
// no source can take the memory from others, and none is held to a fixed share. It is safe for concurrent use.
type memoryBudget struct {
	mu sync.Mutex
	// limit is in bytes; 0 means none.
	limit  int64
	used   [bodyClasses]int64
	owners map[source]int64
	parts  map[source]int64
	// holds are the reservations of each request.
	holds [bodyClasses]map[*request]*reservation
}

type reservation struct {
	by    source
	bytes int64
}

func (m *memoryBudget) setLimit(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = bytes
}

func (m *memoryBudget) currentLimit() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.limit
}

func (m *memoryBudget) reserved() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used[requestBodies] + m.used[responseBodies]
}

// reserve adds n bytes to what a request holds of a class. All of it counts for the source of the first call.
func (m *memoryBudget) reserve(q *request, by source, n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	hold := m.holds[by.class][q]
	if hold != nil {
		by = hold.by
	}
	if !m.fits(by, n) {
		return false
	}
	if hold == nil {
		hold = &reservation{by: by}
		m.setHold(q, hold)
	}
	hold.bytes += n
	m.add(by, n)
	return true
}

// fits reports whether a source may have n more bytes.
func (m *memoryBudget) fits(by source, n int64) bool {
	if m.limit <= 0 {
		return true
	}
	free := m.limit - m.used[requestBodies] - m.used[responseBodies] - n
	if by.class == responseBodies {
		free = min(free, int64(responseShare*float64(m.limit))-m.used[responseBodies]-n)
	}
	owner, part, factor := m.owners[by.whole()]+n, m.parts[by]+n, maxOverFree[by.class]
	return free > 0 && owner <= factor*free && part <= factor*(factor*free-owner)
}

func (m *memoryBudget) setHold(q *request, hold *reservation) {
	if m.owners == nil {
		m.owners, m.parts = map[source]int64{}, map[source]int64{}
	}
	if m.holds[hold.by.class] == nil {
		m.holds[hold.by.class] = map[*request]*reservation{}
	}
	m.holds[hold.by.class][q] = hold
}

func (m *memoryBudget) add(by source, n int64) {
	m.used[by.class] += n
	addTo(m.owners, by.whole(), n)
	addTo(m.parts, by, n)
}

func addTo(held map[source]int64, by source, n int64) {
	if held[by] += n; held[by] == 0 {
		delete(held, by)
	}
}

// release frees what a request holds of a class, and returns how many bytes that were.
func (m *memoryBudget) release(q *request, class bodyClass) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	hold := m.holds[class][q]
	if hold == nil {
		return 0
	}
	delete(m.holds[class], q)
	m.add(hold.by, -hold.bytes)
	return hold.bytes
}
