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

// directory knows in which order a process asks the schedulers.
type directory struct {
	self     members.Member
	silences *peer.Backoffs
	logger   log.Logger
}

// order returns up to most of the schedulers in the order in which they are asked: those of the
// own failure domain first, as they are named, then those of the others, in an order that
// differs from process to process, so that they share the load of a domain that lost its
// own. Those that did not answer lately come last.
func (d *directory) order(all []members.Member, most int) []members.Member {
	var near, far, resting []members.Member
	for _, m := range all {
		switch {
		case m.Name == d.self.Name:
		case d.silences.InBackoff(m.Name):
			resting = append(resting, m)
		case m.Domain == d.self.Domain:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	slices.SortFunc(far, func(a, b members.Member) int { return cmp.Compare(d.score(a), d.score(b)) })
	out := append(append(near, far...), resting...)
	return out[:min(most, len(out))]
}

func (d *directory) score(m members.Member) uint64 {
	return xxhash.Sum64String(d.self.Name + "\x00" + m.Name)
}

func (d *directory) failed(m members.Member, err error) {
	if d.silences.Failed(m.Name) {
		level.Info(d.logger).Log("msg", "scheduler does not answer", "scheduler", m.Name, "address", m.Peer, "err", err)
	}
}

func (d *directory) answered(m members.Member) { d.silences.Answered(m.Name) }
