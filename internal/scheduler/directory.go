package scheduler

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/internal/peer"
	"github.com/rockdoor/rockdoor/members"
)

// ranking determines the order in which a process calls the schedulers.
type ranking struct {
	self     members.Member
	backoffs *peer.Backoffs
	logger   log.Logger
}

// order returns up to limit schedulers in the order in which to call them. Schedulers in the
// process's own failure domain come first, in the given order, then the others in an order
// that differs between processes. This spreads the load of a failure domain that lost its
// schedulers. Schedulers that recently failed to respond come last.
func (d *ranking) order(all []members.Member, limit int) []members.Member {
	var near, far, resting []members.Member
	for _, m := range all {
		switch {
		case m.Name == d.self.Name:
		case d.backoffs.InBackoff(m.Name):
			resting = append(resting, m)
		case m.Domain == d.self.Domain:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	slices.SortFunc(far, func(a, b members.Member) int { return cmp.Compare(d.score(a), d.score(b)) })
	out := append(append(near, far...), resting...)
	return out[:min(limit, len(out))]
}

func (d *ranking) score(m members.Member) uint64 {
	return xxhash.Sum64String(d.self.Name + "\x00" + m.Name)
}

func (d *ranking) recordFailure(m members.Member, err error) {
	if d.backoffs.Failed(m.Name) {
		level.Info(d.logger).Log("msg", "scheduler does not respond", "scheduler", m.Name, "address", m.Peer, "err", err)
	}
}

func (d *ranking) recordResponse(m members.Member) { d.backoffs.Responded(m.Name) }
