package placement

import (
	"time"

	"github.com/rockdoor/rockdoor/engine"
	"github.com/rockdoor/rockdoor/fleet"
)

// Prefill says that an engine has read a prompt, and so keeps its parts.
type Prefill struct {
	Instance string
	// Parts are the shared parts in order, Own the tokens that nobody shares.
	Parts          []Part
	UnsharedTokens int
}

// readLog holds the reads of this process for the other ones, numbered from 1 on.
type readLog struct {
	// last is the number of the newest read.
	last   uint64
	recent []loggedRead
}

type loggedRead struct {
	Prefill
	at time.Time
}

// logKept is how long reads are kept for the other processes: one that has not
// asked for so long has lost more than these.
const logKept = 2 * time.Second

func (l *readLog) add(r Prefill, now time.Time) {
	for len(l.recent) > 0 && now.Sub(l.recent[0].at) > logKept {
		l.recent = l.recent[1:]
	}
	l.last++
	l.recent = append(l.recent, loggedRead{r, now})
}

// PrefillsAfter returns the reads of this process after the one with the number, as
// far as they are kept, and the number of the newest read.
func (p *Placer) PrefillsAfter(number uint64) ([]Prefill, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &p.reads
	if number > l.last {
		number = 0 // of an earlier run of this process
	}
	fresh := min(l.last-number, uint64(len(l.recent)))
	out := make([]Prefill, 0, fresh)
	for _, r := range l.recent[uint64(len(l.recent))-fresh:] {
		out = append(out, r.Prefill)
	}
	return out, l.last
}

// ApplyRemotePrefill takes in what another process had an engine read.
func (p *Placer) ApplyRemotePrefill(r Prefill) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stateOf(r.Instance).read(r.Parts, r.UnsharedTokens)
}

// RestoreCache takes in which parts of prompts this run of an engine, with a memory in tokens,
// keeps.
func (p *Placer) RestoreCache(i *fleet.Instance, memory int, parts []engine.Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.state(i).cache
	c.resize(memory)
	for _, part := range parts {
		c.read([]Part{hashed(part)}, 0)
	}
}

// keeper returns the engine among those permitted that keeps most of a prompt's
// shared parts, and how many tokens; nil if none keeps any. The caller holds the
// lock.
func (p *Placer) keeper(parts []Part, j *Job) (*fleet.Instance, int) {
	var best *fleet.Instance
	most := 0
	for _, i := range j.Permitted {
		n := p.state(i).cache.kept(parts)
		if n > most || n == most && n > 0 && i.Domain == j.Domain && best.Domain != j.Domain {
			best, most = i, n
		}
	}
	return best, most
}
