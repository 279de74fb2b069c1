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

// drained reports whether no request can be at an engine any more: its order
// record is known to every process that may send requests, no process has one
// outstanding, and since then the engine itself has reported none for longer
// than its reports lag.
func (c *controller) drained(ctx context.Context, t orders.Target, since time.Time, written objstore.Version) bool {
	s := c.m.o.Snapshot()
	d := c.drainOf(t.Name, written)
	if !c.spread(s, d, t.Name, since) {
		return false
	}
	st, err := c.status(ctx, t.Address)
	outstanding := s.PeerLoads[t.Name].Requests + c.m.o.Tracker.Load(t.Name).Requests
	if err != nil || outstanding > 0 || st.Running+st.Waiting > 0 {
		d.quiet = time.Time{}
		return false
	}
	if d.quiet.IsZero() {
		d.quiet = time.Now()
	}
	return time.Since(d.quiet) >= reportLag
}

// drainOf returns what is known about the drain for a record. Only the goroutine
// that gives the order uses it.
func (c *controller) drainOf(name string, written objstore.Version) *drainState {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.drains[name]
	if d == nil || d.version != written {
		d = &drainState{version: written, seen: mirror.NoRevision}
		c.drains[name] = d
	}
	return d
}

// spread reports whether every process knows the record: all living members say
// that they have it, and any other has been cut off for so long that it sends
// nothing.
func (c *controller) spread(s *control.Snapshot, d *drainState, name string, since time.Time) bool {
	if d.spread {
		return true
	}
	if d.seen == mirror.NoRevision {
		obj, ok := c.m.o.Mirror.Get(orders.KeyPrefix + name)
		if !ok || obj.Version != d.version {
			return false
		}
		d.seen = c.m.o.Mirror.Revision()
	}
	d.spread = everywhere(s, d.seen) || time.Since(since) >= c.m.o.StaleAfter+staleMargin
	return d.spread
}

// everywhere reports whether all members hold a mirror of at least rev.
func everywhere(s *control.Snapshot, rev objstore.Revision) bool {
	for _, m := range s.Members {
		if !m.Self && (m.MirrorRevision < rev || m.Health == members.Suspected || m.Health == members.Unheard) {
			return false
		}
	}
	return true
}

const (
	// staleMargin covers requests that were being sent when a process became stale.
	staleMargin = time.Second
	// reportLag bounds the age of the load that an engine reports.
	reportLag = 1500 * time.Millisecond
)
