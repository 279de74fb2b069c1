package placement

import "github.com/rockdoor/rockdoor/fleet"

// groupTries is in how many groups a place is looked for at the most, as long as those have instances that
// take requests: what a decision costs stays bounded while everything is full.
const groupTries = 3

// choice is a decision among one group that is not counted yet.
type choice struct {
	// job permits the instances of the group only.
	job     *Job
	plan    Plan
	runners []*fleet.Instance
}

// placed reports whether there is an instance.
func (c *choice) placed() bool { return c.plan.PrefillEngine != nil || c.plan.Target != nil }

// better reports whether a choice is better than one of another group: one in time than one that is late,
// a late one sooner, and of two refusals that with the shorter time to come back.
func (c *choice) better(d *choice) bool {
	switch {
	case c.placed() != d.placed():
		return c.placed()
	case !c.placed():
		return c.plan.RetryAfter > 0 && (d.plan.RetryAfter == 0 || c.plan.RetryAfter < d.plan.RetryAfter)
	case c.plan.Late != d.plan.Late:
		return d.plan.Late
	}
	return c.plan.QueueDelay+c.plan.PrefillTime < d.plan.QueueDelay+d.plan.PrefillTime
}

// chooseGroup decides in a job's home group, and in the next ones if its answer would be late there or it
// would be refused. It answers bursts on subjects of one group, at a cost that does not grow with the
// number of instances; where all groups are full, the best of those that were tried stands. A prompt that
// a reader has read goes on in the reader's group first.
func (p *Placer) chooseGroup(j *Job, reader *fleet.Instance, choose func(*Job) choice) choice {
	groups := j.groups()
	if len(groups) <= 1 {
		return choose(j)
	}
	first := p.homeGroup(j, len(groups))
	if reader != nil {
		first = fleet.GroupIndex(reader.ID, len(groups))
	}
	var best choice
	for n := range groups {
		if n >= groupTries && (best.placed() || best.plan.Reason != ReasonNonePermitted) {
			break
		}
		part := *j
		part.Permitted = groups[(first+n)%len(groups)]
		c := choose(&part)
		if n == 0 || c.better(&best) {
			best = c
		}
		if best.placed() && !best.plan.Late {
			break
		}
	}
	return best
}

func (j *Job) groups() [][]*fleet.Instance {
	if j.Groups == nil {
		return nil
	}
	return j.Groups()
}

// homeGroup returns which of n groups is that of the job's subject, so that all deciders agree on where
// it is kept; of a job without one it is drawn.
func (p *Placer) homeGroup(j *Job, n int) int {
	if subject := j.Call.Subject(); subject != "" {
		return fleet.GroupIndex(subject, n)
	}
	return int(p.random() * float64(n))
}
