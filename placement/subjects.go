package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/rockdoor/rockdoor/fleet"
)

// maxSubjects bounds the subjects whose holders are remembered, some 100 bytes
// each.
const maxSubjects = 8192

// Read is one subject that an engine has read.
type Read struct {
	// Subject is the hash of the subject's ID.
	Subject  uint64
	Instance string
}

// subjects remembers which engine read each subject last.
type subjects struct {
	holders *lru.Cache[uint64, string]
	// recent are the reads of this process, for the other ones, oldest first.
	recent []ownRead
}

type ownRead struct {
	Read
	at time.Time
}

// recentKept is how long reads are kept for the other processes.
const recentKept = 2 * time.Second

func newSubjects() *subjects {
	holders, err := lru.New[uint64, string](maxSubjects)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &subjects{holders: holders}
}

// add remembers a read of this process.
func (s *subjects) add(subject uint64, instance string) {
	now := time.Now()
	s.holders.Add(subject, instance)
	for len(s.recent) > 0 && now.Sub(s.recent[0].at) > recentKept {
		s.recent = s.recent[1:]
	}
	s.recent = append(s.recent, ownRead{Read{subject, instance}, now})
}

func hashOf(subject string) uint64 { return xxhash.Sum64String(subject) }

// holder returns the engine among the given ones that read a subject last, nil
// if none is known. The caller holds the lock.
func (p *Placer) holder(subject string, among []*fleet.Instance) *fleet.Instance {
	if subject == "" {
		return nil
	}
	id, ok := p.subjects.holders.Get(hashOf(subject))
	if !ok {
		return nil
	}
	for _, i := range among {
		if i.ID == id {
			return i
		}
	}
	return nil
}

// RecentReads returns what this process had read within the given time.
func (p *Placer) RecentReads(within time.Duration) []Read {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Read
	for n := len(p.subjects.recent) - 1; n >= 0 && time.Since(p.subjects.recent[n].at) <= within; n-- {
		out = append(out, p.subjects.recent[n].Read)
	}
	return out
}

// Learn takes in what another process had read.
func (p *Placer) Learn(r Read) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.subjects.holders.Add(r.Subject, r.Instance)
}
