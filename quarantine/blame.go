package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// partCrashesAmongOthers is the number of crashes from which a part is blamed while instances crash for other reasons
// as well, such as the loss of their failure domain.
const partCrashesAmongOthers = 5

// blame has the causes to which crashes of instances are attributed.
type blame struct {
	requests map[Fingerprint]bool
	// parts has sets of parts. Parts with the same crashes are blamed together, since each of them may be the cause.
	parts [][]Fingerprint
}

// has reports whether a cause is blamed.
func (b *blame) has(c cause) bool {
	if c.kind == KindRequest {
		return b.requests[c.id]
	}
	return c.kind == KindPart && slices.ContainsFunc(b.parts, func(members []Fingerprint) bool { return slices.Contains(members, c.id) })
}

// blamed returns the causes to which crashes of instances are attributed: the fewest that explain them. Each crash is
// attributed to only one cause: the one with the most crashes. Otherwise requests that were in
// flight together with a poison request, and were retried on the same instance as it, would be
// rejected too. If several have the same number of crashes, whole requests come first, and among them
// the one with the shortest mean run time, since instances crash soon after they start to run a poison request. The caller
// holds the lock.
func (t *Table) blamed() *blame {
	if t.blameAsOf == t.lastNumber {
		return &t.blame
	}
	picked := pickCauses(t.candidates())
	t.blame, t.blameAsOf = blame{requests: map[Fingerprint]bool{}}, t.lastNumber
	for _, c := range picked {
		switch {
		case c.kind == KindRequest:
			t.blame.requests[c.id] = true
		case len(c.crashes) >= partCrashesAmongOthers || !t.hasOtherCrashes(c, picked):
			t.blame.parts = append(t.blame.parts, c.members)
		}
	}
	return &t.blame
}

// candidates returns the causes that have enough crashes to be blamed.
func (t *Table) candidates() []*candidate {
	var out []*candidate
	for key, s := range t.suspects {
		if key.kind == KindWorkspacePart || len(s.crashes) < quarantineThreshold {
			continue
		}
		if crashes := s.evidence(); len(crashes) >= quarantineThreshold {
			out = append(out, newCandidate(key, crashes))
		}
	}
	return out
}

// pickCauses picks the worst candidate, attributes its crashes to it, and goes on until no candidate has enough crashes
// left.
func pickCauses(candidates []*candidate) []*candidate {
	var picked []*candidate
	for len(candidates) > 0 {
		worst := slices.MaxFunc(candidates, (*candidate).compare)
		if len(worst.crashes) < quarantineThreshold {
			break
		}
		pick := *worst
		pick.members = partsWithSameCrashes(worst, candidates)
		picked = append(picked, &pick)
		for _, c := range candidates {
			c.crashes = slices.DeleteFunc(slices.Clone(c.crashes), pick.explains)
		}
	}
	return picked
}

// partsWithSameCrashes returns the parts that have the same crashes as c, and c itself if it is a part.
func partsWithSameCrashes(c *candidate, all []*candidate) (out []Fingerprint) {
	for _, other := range all {
		if c.kind == KindPart && other.kind == KindPart && len(other.crashes) == len(c.crashes) && !slices.ContainsFunc(other.crashes, func(e numberedObservation) bool { return !c.explains(e) }) {
			out = append(out, other.id)
		}
	}
	slices.SortFunc(out, func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	return out
}

// hasOtherCrashes reports whether instances have crashed at the time of a candidate's crashes that no picked cause
// explains.
func (t *Table) hasOtherCrashes(c *candidate, picked []*candidate) bool {
	from, to := c.crashes[0].At.Add(-sameCrashWindow), c.crashes[len(c.crashes)-1].At.Add(sameCrashWindow)
	for _, s := range t.suspects {
		for _, e := range s.crashes {
			if e.At >= from && e.At <= to && !slices.ContainsFunc(picked, func(p *candidate) bool { return p.explains(e) }) {
				return true
			}
		}
	}
	return false
}

// candidate is a cause that may be blamed.
type candidate struct {
	cause
	crashes []numberedObservation
	// members are the parts that are blamed together.
	members []Fingerprint
	// totalRunTime is the sum of the times from the start of the request on an instance to the
	// crash of the instance.
	totalRunTime time.Duration
}

func newCandidate(key cause, crashes []numberedObservation) *candidate {
	c := &candidate{cause: key, crashes: crashes}
	for _, e := range crashes {
		c.totalRunTime += e.RunTime
	}
	return c
}

// explains reports whether a crash is one of the candidate's.
func (c *candidate) explains(e numberedObservation) bool {
	return slices.ContainsFunc(c.crashes, func(x numberedObservation) bool { return x.sameCrash(e.Observation) })
}

// compare orders candidates from the least to the most likely cause of crashes.
func (c *candidate) compare(d *candidate) int {
	return cmp.Or(
		cmp.Compare(len(c.crashes), len(d.crashes)),
		cmp.Compare(d.kind, c.kind),
		cmp.Compare(d.meanRunTime(), c.meanRunTime()),
		bytes.Compare(c.id[:], d.id[:]),
	)
}

// meanRunTime returns the mean time from the start of the request on an instance to the crash.
func (c *candidate) meanRunTime() time.Duration {
	return c.totalRunTime / time.Duration(max(len(c.crashes), 1))
}
