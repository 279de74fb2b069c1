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
func (r *ranking) order(all []members.Member, limit int) []members.Member {
	var near, far, inBackoff []members.Member
	for _, m := range all {
		switch {
		case m.Name == r.self.Name:
		case r.backoffs.InBackoff(m.Name):
			inBackoff = append(inBackoff, m)
		case m.Domain == r.self.Domain:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	slices.SortFunc(far, func(a, b members.Member) int { return cmp.Compare(r.score(a), r.score(b)) })
	out := append(append(near, far...), inBackoff...)
	return out[:min(limit, len(out))]
}

func (r *ranking) score(m members.Member) uint64 {
	return xxhash.Sum64String(r.self.Name + "\x00" + m.Name)
}

func (r *ranking) recordFailure(m members.Member, err error) {
	if r.backoffs.Failed(m.Name) {
		level.Info(r.logger).Log("msg", "scheduler does not respond", "scheduler", m.Name, "address", m.Peer, "err", err)
	}
}

func (r *ranking) recordResponse(m members.Member) { r.backoffs.Responded(m.Name) }
