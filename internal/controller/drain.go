package controller

import (
	"context"
	"time"

	"github.com/rockdoor/rockdoor/internal/control"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/mirror"
	"github.com/rockdoor/rockdoor/objstore"
	"github.com/rockdoor/rockdoor/orders"
)

// drained reports whether an engine certainly has no requests left: every process that
// may send requests knows the order record, no process has a request in flight there,
// and the engine itself has since reported none for at least reportLag.
func (c *controller) drained(ctx context.Context, t orders.Target, since time.Time, written objstore.Version) bool {
	s := c.m.o.Snapshot()
	d := c.drainStateFor(t.Name, written)
	if !c.recordPropagated(s, d, t.Name, since) {
		return false
	}
	st, err := c.status(ctx, t.Address)
	outstanding := s.PeerLoads[t.Name].Requests + c.m.o.Tracker.Load(t.Name).Requests
	if err != nil || outstanding > 0 || st.Running+st.Waiting > 0 {
		d.idleSince = time.Time{}
		return false
	}
	if d.idleSince.IsZero() {
		d.idleSince = time.Now()
	}
	return time.Since(d.idleSince) >= reportLag
}

// drainStateFor returns the drain state for a version of an engine's order record. Only
// the goroutine that carries out the order uses the state.
func (c *controller) drainStateFor(name string, written objstore.Version) *drainState {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.drains[name]
	if d == nil || d.version != written {
		d = &drainState{version: written, seenAt: mirror.NoRevision}
		c.drains[name] = d
	}
	return d
}

// recordPropagated reports whether every process that may send requests knows the order
// record: either the mirrors of all members include it, or the record is so old that a
// process without it has become stale and has stopped sending.
func (c *controller) recordPropagated(s *control.Snapshot, d *drainState, name string, since time.Time) bool {
	if d.propagated {
		return true
	}
	if d.seenAt == mirror.NoRevision {
		obj, ok := c.m.o.Mirror.Get(orders.KeyPrefix + name)
		if !ok || obj.Version != d.version {
			return false
		}
		d.seenAt = c.m.o.Mirror.Revision()
	}
	d.propagated = allMembersHave(s, d.seenAt) || time.Since(since) >= c.m.o.StaleAfter+staleMargin
	return d.propagated
}

// allMembersHave reports whether the mirror of every other member is at revision rev or
// later. It is false if any of them is suspected or unheard.
func allMembersHave(s *control.Snapshot, rev objstore.Revision) bool {
	for _, m := range s.Members {
		if !m.Self && (m.MirrorRevision < rev || m.Health == members.Suspected || m.Health == members.Unheard) {
			return false
		}
	}
	return true
}

const (
	// staleMargin covers requests that are being sent when a process becomes stale.
	staleMargin = time.Second
	// reportLag is the maximum age of the load that an engine reports.
	reportLag = 1500 * time.Millisecond
)
