package daemon

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"github.com/oklog/ulid/v2"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/fault"
	"github.com/rockdoor/rockdoor/internal/control"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore"
)

const (
	maintenanceInterval = time.Second
	// removeMemberAfter is how long a member may be unresponsive before its registration
	// is removed. A member that is alive after all registers again.
	removeMemberAfter = time.Minute
)

// runMaintenance does the periodic tasks that one process, the registrar of the claims,
// does for the whole fleet: it copies the platform's list of leaving hosts to an object
// that every process mirrors, and removes the registrations of dead members.
func (d *Daemon) runMaintenance(ctx context.Context) error {
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	for {
		if d.claims.isRegistrar() {
			if err := d.publishLeavingHosts(ctx); err != nil {
				level.Debug(d.logger).Log("msg", "cannot publish leaving hosts", "err", err)
			}
			d.removeDeadMembers(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// publishLeavingHosts writes the addresses of leaving hosts to control.LeavingKey, if they
// have changed.
func (d *Daemon) publishLeavingHosts(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, objstore.DefaultCallTimeout)
	defer cancel()
	hosts, err := d.client.Hosts(ctx)
	if err != nil {
		return err
	}
	leaving := []string{}
	for _, h := range hosts {
		if h.State == objstore.HostLeaving {
			leaving = append(leaving, h.Address)
		}
	}
	slices.Sort(leaving)
	obj, known := d.mirror.Get(control.LeavingKey)
	if len(leaving) == 0 && !known {
		return nil
	}
	// A list that cannot be decoded is overwritten.
	if before, err := control.ParseLeaving(obj); err == nil && slices.Equal(before, leaving) {
		return nil
	}
	value, err := json.Marshal(leaving)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "list of leaving hosts cannot be encoded", "report this as a defect")
	}
	if _, err := objstore.PutSettled(ctx, d.store, control.LeavingKey, value, obj.Version, ulid.Make().String()); err != nil {
		return err
	}
	level.Info(d.logger).Log("msg", "leaving hosts published", "addresses", string(value))
	d.refresh(ctx)
	return nil
}

// removeDeadMembers removes the registrations of members that have been unresponsive for
// removeMemberAfter.
func (d *Daemon) removeDeadMembers(ctx context.Context) {
	for _, m := range d.loop.Snapshot().Members {
		if m.Health != members.Suspected || bootclock.Since(m.LastContact) < removeMemberAfter {
			continue
		}
		cctx, cancel := context.WithTimeout(ctx, unregisterTimeout)
		err := members.Unregister(cctx, d.store, members.KeyPrefix, m.Member)
		cancel()
		level.Info(d.logger).Log("msg", "unresponsive member removed", "member", m.Name, "incarnation", m.Incarnation, "err", err)
	}
}
