package resumption

import (
	"sync"
	"time"

	"github.com/rockdoor/rockdoor/bootclock"
)

const (
	// maxRecords limits the records in a table, maxRecordBytes their memory. The oldest ones are dropped.
	maxRecords     = 1 << 16
	maxRecordBytes = 4 << 20
	// recordBytes is the memory of a record without its request ID, which the client chooses.
	recordBytes = 250
	// maxLife limits how long a record is kept, whatever its sender asks for.
	maxLife = historyRetention
)

// Origin says which software version began a stream.
type Origin struct {
	// Request is the ID of the client's attempt that brought the first event.
	Request   string
	Workspace string
	Service   string
	Software  string
	// Ambiguous is true if several versions may have begun the stream.
	Ambiguous bool
}

// streamKey identifies a stream. It has the workspace so that no workspace can change another one's records.
type streamKey struct{ workspace, request string }

func (o *Origin) key() streamKey { return streamKey{o.Workspace, o.Request} }

// record is an origin with its expiry.
type record struct {
	Origin
	expires bootclock.Instant
	// own is true if this process began the stream or resumed it.
	own bool
}

// table holds a bounded number of records. It is safe for concurrent use.
type table struct {
	now func() bootclock.Instant

	mu      sync.Mutex
	records map[streamKey]record
	// order has the keys of the records, oldest first. Keys of expired records may be left in it.
	order []streamKey
	// bytes is the memory of the keys in order and of their records.
	bytes int
}

func (k streamKey) bytes() int { return recordBytes + len(k.request) }

func newTable() *table { return &table{now: bootclock.Now, records: map[streamKey]record{}} }

// add adds a record, or extends its life. Two records that differ make the origin ambiguous.
func (t *table) add(o Origin, life time.Duration, own bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.removeExpired(now)
	key := o.key()
	old, known := t.records[key]
	if known && now < old.expires {
		o.Ambiguous = o.Ambiguous || old.Ambiguous || old.Service != o.Service || old.Software != o.Software
		own = own || old.own
	}
	if !known {
		t.order = append(t.order, key)
		t.bytes += key.bytes()
	}
	t.records[key] = record{o, now.Add(min(life, maxLife)), own}
}

// removeExpired removes expired records from the front, and the oldest ones if there are too many. The caller
// holds the lock.
func (t *table) removeExpired(now bootclock.Instant) {
	n := 0
	for ; n < len(t.order); n++ {
		if now < t.records[t.order[n]].expires && len(t.order)-n < maxRecords && t.bytes < maxRecordBytes {
			break
		}
		t.bytes -= t.order[n].bytes()
		delete(t.records, t.order[n])
	}
	t.order = t.order[n:]
}

// find returns the record of a stream.
func (t *table) find(workspace, request string) (record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[streamKey{workspace, request}]
	return r, ok && t.now() < r.expires
}

// ownOf returns the records of the streams of a service that this process began or resumed.
func (t *table) ownOf(service string) (out []record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, r := range t.records {
		if r.own && r.Service == service && now < r.expires {
			out = append(out, r)
		}
	}
	return out
}

// size returns the number of records.
func (t *table) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}
