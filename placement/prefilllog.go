package placement

import (
	"time"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fleet"
)

// Prefill records that an engine has prefilled a prompt and has its parts cached since.
type Prefill struct {
	Instance string
	// Parts are the shared parts in order.
	Parts          []Part
	UnsharedTokens int
}

// prefillLog holds the recent prefills of this process, which other processes poll. They are
// numbered from 1.
type prefillLog struct {
	// lastSequence is the number of the newest entry.
	lastSequence uint64
	recent       []loggedPrefill
	// parts is the number of parts in all entries.
	parts int
}

type loggedPrefill struct {
	Prefill
	at time.Time
}

// prefillLogRetention is how long entries are kept. A process that has not polled for
// that long has missed other updates as well.
const prefillLogRetention = 2 * time.Second

// maxLoggedParts bounds the parts of all entries, so that a message with all of them is far smaller than a message may be.
const maxLoggedParts = 1 << 15

func (l *prefillLog) add(r Prefill, now time.Time) {
	l.lastSequence++
	l.recent = append(l.recent, loggedPrefill{r, now})
	l.parts += len(r.Parts)
	for len(l.recent) > 0 && (now.Sub(l.recent[0].at) > prefillLogRetention || l.parts > maxLoggedParts) {
		l.parts -= len(l.recent[0].Parts)
		l.recent = l.recent[1:]
	}
}

// PrefillsAfter returns the retained prefills of this process with a number above the given one, and
// the number of the newest.
func (p *Placer) PrefillsAfter(number uint64) ([]Prefill, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &p.prefillLog
	if number > l.lastSequence {
		number = 0 // the number is from an earlier run of this process
	}
	fresh := min(l.lastSequence-number, uint64(len(l.recent)))
	out := make([]Prefill, 0, fresh)
	for _, r := range l.recent[uint64(len(l.recent))-fresh:] {
		out = append(out, r.Prefill)
	}
	return out, l.lastSequence
}

// ApplyRemotePrefill applies a prefill that another process reported.
func (p *Placer) ApplyRemotePrefill(r Prefill) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stateByID(r.Instance).recordPrefill(r.Parts, r.UnsharedTokens, len(p.instances))
}

// RestoreCache records prompt parts that the present run of an engine has cached, in addition to
// those known already. memory is in tokens, 0 if unknown.
func (p *Placer) RestoreCache(i *fleet.Instance, memory int, parts []engine.Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.state(i).cache
	c.resize(memory)
	for _, part := range parts {
		c.add([]Part{hashPart(part)}, 0)
	}
}

// cacheHolder returns the permitted engine that has the most tokens of the shared parts cached, and
// their number; nil if none has any. On a tie an engine in the job's failure domain wins. The
// caller holds the lock.
func (p *Placer) cacheHolder(parts []Part, j *Job) (*fleet.Instance, int) {
	var best *fleet.Instance
	maxTokens := 0
	for _, i := range j.Permitted {
		n := p.state(i).cache.cachedTokens(parts)
		if n > maxTokens || n == maxTokens && n > 0 && i.Domain == j.Domain && best.Domain != j.Domain {
			best, maxTokens = i, n
		}
	}
	return best, maxTokens
}
