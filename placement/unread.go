package placement

import "github.com/rockdoor/rockdoor/fleet"

const (
	// Ranks is how many ranks engines know; firstRank is read first.
	Ranks     = 10
	firstRank = 0
	// lateRank is the first rank of requests that are not expected in time: they are
	// read when no others wait, among themselves in the order of their routes.
	lateRank = 5
)

// rankOf returns the rank at which an engine reads a prompt of a route.
func (p *Placer) rankOf(r *fleet.Route, late bool) int {
	rank := min(max(r.Rank, 0), lateRank-1)
	switch {
	case !late || !p.policy.Has(LateLast):
		return rank
	case !p.policy.Has(LateInOrder):
		return lateRank
	}
	return lateRank + rank
}

// Backlog is a number of prompts that are still to be read.
type Backlog struct {
	Prompts int `json:"prompts"`
	Work
}

// Add returns the sum of two backlogs.
func (b Backlog) Add(c Backlog) Backlog {
	return Backlog{b.Prompts + c.Prompts, Work{b.Tokens + c.Tokens, b.Pairs + c.Pairs}}
}

func (b Backlog) sub(c Backlog) Backlog {
	return Backlog{b.Prompts - c.Prompts, Work{b.Tokens - c.Tokens, b.Pairs - c.Pairs}}
}

// half returns half of the mean prompt: what is left on average of the one that is
// being read.
func (b Backlog) half() Work {
	if b.Prompts == 0 {
		return Work{}
	}
	return Work{b.Tokens / b.Prompts / 2, b.Pairs / b.Prompts / 2}
}

// PendingByRank is the prompts that are still to be read at an engine, by the rank at which
// it reads them.
type PendingByRank [Ranks]Backlog

// All returns the prompts of all ranks.
func (u *PendingByRank) All() Backlog { return u.through(Ranks - 1) }

// Late returns those of requests that are not expected in time.
func (u *PendingByRank) Late() Backlog { return u.All().sub(u.through(lateRank - 1)) }

// through returns the prompts that are read before a new one of a rank.
func (u *PendingByRank) through(rank int) Backlog {
	var sum Backlog
	for _, b := range u[:rank+1] {
		sum = sum.Add(b)
	}
	return sum
}

func (u PendingByRank) add(v PendingByRank) PendingByRank {
	for rank := range u {
		u[rank] = u[rank].Add(v[rank])
	}
	return u
}

func (u PendingByRank) sub(v PendingByRank) PendingByRank {
	for rank := range u {
		u[rank] = u[rank].sub(v[rank])
	}
	return u
}
