package placement

import "github.com/rockdoor/rockdoor/fleet"

const (
	// Ranks is the number of prefill ranks that engines support. firstRank is the most urgent.
	Ranks     = 10
	firstRank = 0
	// lateRank is the first rank for late requests. They are prefilled only when no other prompts are
	// pending, in the order of their routes' ranks.
	lateRank = 5
)

// prefillRank returns the rank at which a prompt of a route is prefilled.
func (p *Placer) prefillRank(r *fleet.Route, late bool) int {
	rank := min(max(r.Rank, 0), lateRank-1)
	switch {
	case !late || !p.policy.Has(LateLast):
		return rank
	case !p.policy.Has(LateByRank):
		return lateRank
	}
	return lateRank + rank
}

// Backlog is the number and the total work of prompts pending prefill.
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

// halfMeanPrompt returns half of the mean prompt, the expected remainder of a running prefill.
func (b Backlog) halfMeanPrompt() Work {
	if b.Prompts == 0 {
		return Work{}
	}
	return Work{b.Tokens / b.Prompts / 2, b.Pairs / b.Prompts / 2}
}

// PendingByRank holds the prompts pending prefill at an engine, indexed by rank.
type PendingByRank [Ranks]Backlog

// All returns the backlog of all ranks.
func (u *PendingByRank) All() Backlog { return u.throughRank(Ranks - 1) }

// Late returns the backlog of late requests.
func (u *PendingByRank) Late() Backlog { return u.All().sub(u.throughRank(lateRank - 1)) }

// throughRank returns the backlog of the rank and of all more urgent ones.
func (u *PendingByRank) throughRank(rank int) Backlog {
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
