package placement

import "github.com/rockdoor/rockdoor/fleet"

// maxGroupsTried is the maximum number of groups that are searched for a job, provided that one of
// them has instances which accept requests. It bounds the cost of a decision while all instances
// are full.
const maxGroupsTried = 3

// choice is a decision within one group that has not been added to the load yet.
type choice struct {
	// job is the placed job with only the group's instances permitted.
	job     *Job
	plan    Plan
	targets []*fleet.Instance
}

// hasInstance reports whether the plan has an instance.
func (c *choice) hasInstance() bool { return c.plan.PrefillEngine != nil || c.plan.Target != nil }

// betterThan compares the choices of two groups. A choice with an instance beats one without, a
// response in time beats a late one, and otherwise the earlier response wins. Of two rejections the
// one with the shorter retry delay wins.
func (c *choice) betterThan(d *choice) bool {
	switch {
	case c.hasInstance() != d.hasInstance():
		return c.hasInstance()
	case !c.hasInstance():
		return c.plan.RetryAfter > 0 && (d.plan.RetryAfter == 0 || c.plan.RetryAfter < d.plan.RetryAfter)
	case c.plan.Late != d.plan.Late:
		return d.plan.Late
	}
	return c.plan.QueueDelay+c.plan.PrefillTime < d.plan.QueueDelay+d.plan.PrefillTime
}

// chooseGroup decides within the job's preferred group, and tries the next groups if the response
// would be late there or the job would be rejected. A burst of requests with prefixes of one group
// thus spills over to others, at a cost that does not grow with the number of instances. If no
// group can meet the target, the best choice found is returned. After prefill, the search begins
// with the group of the prefill engine.
func (p *Placer) chooseGroup(j *Job, prefillEngine *fleet.Instance, choose func(*Job) choice) choice {
	groups := j.groups()
	if len(groups) <= 1 {
		return choose(j)
	}
	first := p.preferredGroup(j, len(groups))
	if prefillEngine != nil {
		first = fleet.GroupIndex(prefillEngine.ID, len(groups))
	}
	var best choice
	for n := range groups {
		if n >= maxGroupsTried && (best.hasInstance() || best.plan.Reason != ReasonNonePermitted) {
			break
		}
		groupJob := *j
		groupJob.Permitted = groups[(first+n)%len(groups)]
		c := choose(&groupJob)
		if n == 0 || c.betterThan(&best) {
			best = c
		}
		if best.hasInstance() && !best.plan.Late {
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

// preferredGroup returns the index of the job's preferred group out of n. It depends only on the
// prompt prefix, so that all processes look for cached parts in the same group. For a job without a
// prefix it is random.
func (p *Placer) preferredGroup(j *Job, n int) int {
	if prefix := j.Call.PromptPrefix(); prefix != "" {
		return fleet.GroupIndex(prefix, n)
	}
	return int(p.random() * float64(n))
}
