package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// blamed returns the requests that are to blame for the ends of instances: each end is put
// down to one request only, the one under which most have ended, so that those that were in
// hand beside it, and went on elsewhere beside it again, are not refused with it. Among equals it is
// the one that had been there for the shortest time: instances end when they begin to run it. The
// caller holds the lock.
func (t *Table) blamed() map[Fingerprint]bool {
	if t.judged == t.last {
		return t.convicted
	}
	var candidates []*candidate
	for f, s := range t.suspects {
		if ends := s.since(); len(ends) >= convictAfter {
			candidates = append(candidates, newCandidate(f, ends))
		}
	}
	t.convicted, t.judged = map[Fingerprint]bool{}, t.last
	for len(candidates) > 0 {
		worst := slices.MaxFunc(candidates, (*candidate).compare)
		if len(worst.ended) < convictAfter {
			break
		}
		t.convicted[worst.f] = true
		explained := worst.ended
		for _, c := range candidates {
			c.ended = slices.DeleteFunc(slices.Clone(c.ended), func(e numbered) bool {
				return slices.ContainsFunc(explained, func(x numbered) bool { return x.same(e.Observation) })
			})
		}
	}
	return t.convicted
}

// candidate is a request that may be to blame for the ends of instances.
type candidate struct {
	f     Fingerprint
	ended []numbered
	// ran is how long it had been at the instances when they ended, in all.
	ran time.Duration
}

func newCandidate(f Fingerprint, ends []numbered) *candidate {
	c := &candidate{f: f, ended: ends}
	for _, e := range ends {
		c.ran += e.RunTime
	}
	return c
}

// compare orders candidates by how much speaks against them.
func (c *candidate) compare(d *candidate) int {
	return cmp.Or(
		cmp.Compare(len(c.ended), len(d.ended)),
		cmp.Compare(d.meanRun(), c.meanRun()),
		bytes.Compare(c.f[:], d.f[:]),
	)
}

// meanRun returns how long it had been at an instance in the mean.
func (c *candidate) meanRun() time.Duration {
	return c.ran / time.Duration(max(len(c.ended), 1))
}
