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
	wardInterval = time.Second
	// reapAfter is how long a member may be silent before its registration is
	// removed. If it lives after all, it registers again.
	reapAfter = time.Minute
)

// ward keeps what one process keeps for the whole fleet: it copies the
// platform's list of leaving hosts to an object that everybody mirrors, and
// removes the registrations of members that are long silent. It works only at
// the process that is the registrar of the claims.
func (d *Daemon) ward(ctx context.Context) error {
	tick := time.NewTicker(wardInterval)
	defer tick.Stop()
	for {
		if d.claims.registrar() {
			if err := d.copyLeaving(ctx); err != nil {
				level.Debug(d.logger).Log("msg", "leaving hosts not copied", "err", err)
			}
			d.reap(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// copyLeaving writes the addresses of leaving hosts where they are mirrored.
func (d *Daemon) copyLeaving(ctx context.Context) error {
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
	// One that cannot be read is written again.
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
	level.Info(d.logger).Log("msg", "leaving hosts", "addresses", string(value))
	d.refresh(ctx)
	return nil
}

// reap removes the registrations of members that are long silent.
func (d *Daemon) reap(ctx context.Context) {
	for _, m := range d.loop.Snapshot().Members {
		if m.Health != members.Suspected || bootclock.Since(m.Heard) < reapAfter {
			continue
		}
		cctx, cancel := context.WithTimeout(ctx, unregisterTime)
		err := members.Unregister(cctx, d.store, members.KeyPrefix, m.Member)
		cancel()
		level.Info(d.logger).Log("msg", "silent member removed", "member", m.Name, "incarnation", m.Incarnation, "err", err)
	}
}
