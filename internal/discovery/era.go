package discovery

import (
	"time"

	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/members"
	"github.com/rockdoor/rockdoor/objstore"
)

// era is the newest era of the store that this process has seen. The store's era rises each time
// the store is restored from a snapshot that lacks writes which it had acknowledged.
type era struct {
	number int64
	// seenAt is when this process first saw the era, and baseRevision the number of the first
	// revision that it saw of it. Objects with higher numbers were written in this era; the
	// others may stem from the snapshot.
	seenAt       bootclock.Instant
	baseRevision int64
	// restored is true if this process had seen the store before this era.
	restored bool
}

// mayPredateRestore reports whether an object may stem from the snapshot that the store was
// restored from.
func (e *era) mayPredateRestore(v objstore.Version) bool {
	return e.restored && v.Era() == e.number && v.Number() <= e.baseRevision
}

// observeEra records the era of a revision. from says where the revision came from, for the log.
func (d *Discovery) observeEra(rev objstore.Revision, from string) {
	if rev == 0 || rev.Era() <= d.era.number {
		return
	}
	known := d.cur.InstancesRevision != 0 || d.cur.Config != nil
	old := d.era.number
	d.era = era{number: rev.Era(), seenAt: bootclock.Now(), baseRevision: rev.Number(), restored: known}
	d.cur.Era = d.era.number
	metrics.GetOrRegisterGauge("discovery.era", d.o.Metrics).Update(d.era.number)
	if known {
		d.scheduleRegistrationCheck()
		level.Warn(d.logger).Log("msg", "store was restored from an older snapshot", "era", d.era.number, "before", old, "revision", rev.Number(),
			"last_revision", d.cur.InstancesRevision.Number(), "instances", len(d.instances), "from", from)
	}
}

// registrationCheckJitter is the time over which the processes of a fleet spread the check of their
// registrations after a restore of the store. With 295 processes it makes some 200 calls a second.
const registrationCheckJitter = 1500 * time.Millisecond

// scheduleRegistrationCheck has this process check later whether the restored store has its
// registration.
func (d *Discovery) scheduleRegistrationCheck() {
	time.AfterFunc(d.ownJitter(registrationCheckJitter), d.o.OnStoreRestored)
}

// resetMembers prepares for a full list of the members. Shortly after a restore of the store the
// known members are kept for a while: without them the fleet would choose other schedulers, or none.
func (d *Discovery) resetMembers() {
	d.unlistedMembers = map[string]bool{}
	if !d.recentlyRestored() {
		d.members = map[string]members.Member{}
		return
	}
	for key := range d.members {
		d.unlistedMembers[key] = true
	}
}

// dropUnlistedMembers removes the members that have not registered again in time after a restore.
func (d *Discovery) dropUnlistedMembers() {
	if len(d.unlistedMembers) == 0 || d.recentlyRestored() {
		return
	}
	for key := range d.unlistedMembers {
		delete(d.members, key)
	}
	level.Info(d.logger).Log("msg", "members dropped: not registered again after the restore of the store", "dropped", len(d.unlistedMembers), "registered", len(d.members))
	d.unlistedMembers = nil
	d.cur.Processes = len(d.members)
}

// recentlyRestored reports whether missing objects may still be written again after a restore. The
// platform rewrites the registrations of running instances within about two seconds.
func (d *Discovery) recentlyRestored() bool {
	return d.era.restored && bootclock.Since(d.era.seenAt) < max(d.o.ExpiredRetention, registrationCheckJitter)
}

// isOutdatedRegistration reports whether this process knows that an instance has begun to drain or was
// removed, while a registration that may stem from the restored snapshot says otherwise.
func (d *Discovery) isOutdatedRegistration(i *fleet.Instance, v objstore.Version) bool {
	if !d.era.mayPredateRestore(v) {
		return false
	}
	if r, ok := d.removed[i.ID]; ok {
		return r.version.Era() < v.Era()
	}
	old := d.instances[i.ID]
	return old != nil && old.Draining && !i.Draining && old.StartTime == i.StartTime && d.versions[i.ID].Era() < v.Era()
}
