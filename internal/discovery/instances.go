package discovery

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/objstore"
)

const (
	// failureWindow is how long after a failed call a missing registration counts as expired
	// in an outage of the store. It covers the pause between two calls.
	failureWindow = time.Second
	// expiryInterval is how often the expired instances are reviewed.
	expiryInterval = 100 * time.Millisecond
	// removalRetention is how long the removal of an instance is remembered, so that an older
	// registration received later is ignored.
	removalRetention = time.Minute
	// expiredUseShare is the share of the propagation limit for which an instance stays in use
	// after the store last confirmed its registration. The rest of the limit is for two relay
	// hops of some tens of ms each, and for a request on its way, up to 0.5 s with a new
	// connection.
	expiredUseShare = 0.75
	// minOutage is how long calls must have failed for this to count as an outage of the
	// store. A watch whose connection was cut and one further failed call end before that.
	minOutage = 500 * time.Millisecond
	// maxLoggedEach is the maximum number of registrations in one answer that are logged one by
	// one. The log takes 2,000 lines a second; at a start with 3,000 registrations it dropped
	// the lines after them.
	maxLoggedEach = 200
)

// removal records that an instance was removed.
type removal struct {
	version objstore.Version
	at      bootclock.Instant
}

// expiry records that an instance's registration is missing, perhaps because of an outage of the
// store.
type expiry struct {
	// dropAt is when the instance is removed unless it has registered again.
	dropAt bootclock.Instant
	// outage is true if this process saw an outage of the store, or a restore shortly before. The
	// time to register again then counts from the end of an outage.
	outage bool
}

// applyInstances applies changes of registrations. Data from another process can be older than
// this process's own: when a process changed to a scheduler that lagged behind, it removed engines
// that had just registered, for up to a minute.
func (d *Discovery) applyInstances(c feedUpdate) {
	if c.full {
		d.cur.InstancesKnown = true
		listed := map[string]bool{}
		for _, e := range c.events {
			listed[objectName(e.Object.Key)] = true
		}
		for id := range d.instances {
			// A relayed list may be older than a registration that this process knows.
			if !listed[id] && (!c.relayed || objstore.Version(c.revision) >= d.versions[id]) {
				d.removeInstance(id, c.relayed)
			}
		}
	}
	d.cur.InstancesRevision = max(d.cur.InstancesRevision, c.revision)
	bulk := len(c.events) > maxLoggedEach
	changed := 0
	for _, e := range c.events {
		if e.Deleted {
			d.deleteInstance(e.Object, c.relayed)
			continue
		}
		if d.putInstance(e.Object, c.decoded[e.Object.Key], !bulk) {
			changed++
		}
	}
	if bulk {
		level.Info(d.logger).Log("msg", "instances", "listed", len(c.events), "news", changed, "revision", c.revision)
	}
}

// deleteInstance applies the deletion of a registration. It has no effect if the instance has
// registered again since, with a newer version. The deletion of an object that could not be decoded
// has version 0.
func (d *Discovery) deleteInstance(obj objstore.Object, relayed bool) {
	id := objectName(obj.Key)
	if obj.Version != 0 && obj.Version < d.versions[id] {
		return
	}
	d.removeInstance(id, relayed)
}

// putInstance applies one registration, decoding it unless i is given. It reports whether the
// instance is new or changed, and logs this if logged is true.
func (d *Discovery) putInstance(obj objstore.Object, i *fleet.Instance, logged bool) bool {
	var err error
	if i == nil {
		i, err = d.o.DecodeInstance(obj)
	}
	if err != nil {
		d.count("registrations_rejected")
		if id := objectName(obj.Key); d.instances[id] != nil && obj.Version > d.versions[id] {
			d.versions[id] = obj.Version
			d.dropInstance(id, "registration cannot be decoded")
		}
		return false
	}
	if r, ok := d.removed[i.ID]; obj.Version < d.versions[i.ID] || ok && obj.Version <= r.version {
		return false // stale: from a source that lags behind
	}
	if _, expired := d.expired[i.ID]; expired && obj.Version == d.versions[i.ID] {
		return false // the registration that has gone missing, from a source that lags behind
	}
	if d.isOutdatedRegistration(i, obj.Version) {
		level.Info(d.logger).Log("msg", "registration of the restored store ignored: the instance is known to be draining or removed", "id", i.ID, "revision", obj.Version.Number(), "era", obj.Version.Era())
		return false
	}
	d.versions[i.ID] = obj.Version
	old := d.instances[i.ID]
	if old != nil && *old == *i {
		return false
	}
	d.instances[i.ID], d.changedIDs[i.ID] = i, true
	d.queueEvent(objstore.Event{Object: obj})
	delete(d.removed, i.ID)
	delete(d.expired, i.ID)
	if logged {
		level.Info(d.logger).Log("msg", "instance", "id", i.ID, "service", i.Service, "address", i.Address, "software", i.Software, "role", i.Role,
			"draining", i.Draining, "known", old != nil, "revision", obj.Version)
	}
	return true
}

// removeInstance removes an instance whose registration is missing. If the registration may have
// expired in an outage of the store, the instance is kept for a while, since the platform then drops
// registrations of instances that still run. A draining instance is removed at once, and so is one
// whose removal was relayed, since its sender has decided about that already.
func (d *Discovery) removeInstance(id string, relayed bool) {
	i := d.instances[id]
	if i == nil || i.Expired && !relayed {
		return
	}
	if !relayed && !i.Draining && (d.recentlyRestored() || d.storeRecentlyFailed()) {
		d.keepExpired(i)
		return
	}
	reason := "registration removed"
	if relayed {
		reason = "another process removed it"
	}
	d.dropInstance(id, reason)
}

// keepExpired keeps an instance in use for a while after its registration has gone missing. The calls
// of this process may have failed while the store answered other processes, and those that follow this
// one take the instance for registered. The time therefore counts from when the store last confirmed
// the registration. When it counted from when the loss was noticed, 50 of 96 requests reached an
// instance beyond the propagation limit after three watchers had lost the store for 1.1 s.
func (d *Discovery) keepExpired(i *fleet.Instance) {
	now := bootclock.Now()
	e := expiry{dropAt: now.Add(d.o.ExpiredRetention), outage: d.outage || d.recentlyRestored()}
	if !e.outage {
		e.dropAt = min(e.dropAt, d.expiryStart().Add(time.Duration(expiredUseShare*float64(d.o.PropagationLimit))))
	}
	expired := *i
	expired.Expired = true
	d.instances[i.ID], d.changedIDs[i.ID] = &expired, true
	d.expired[i.ID] = e
	level.Info(d.logger).Log("msg", "instance lapsed", "id", i.ID, "service", i.Service, "address", i.Address, "kept_for", e.dropAt.Sub(now).Round(time.Millisecond),
		"absence", e.outage, "counted_from", ageOrNever(d.expiryStart()), "confirmed", ageOrNever(d.prevConfirmedAt), "failed", ageOrNever(d.failedAt), "back", ageOrNever(d.recoveredAt))
}

// expiryStart returns the time from which the use of an expired instance counts: when the store last
// confirmed the registrations to this process or, if it never did, to another one.
func (d *Discovery) expiryStart() bootclock.Instant {
	if d.prevOwnConfirmedAt != 0 {
		return d.prevOwnConfirmedAt
	}
	return d.prevConfirmedAt
}

// assessOutage decides, at the first answer about the registrations after failed calls, whether the
// store had an outage. The registrations must have been unconfirmed for the whole propagation limit:
// by then the processes that follow this one have read the store directly. After 2.5 s, with a limit
// of 3 s, some had not, and took instances that this process only kept for registered ones.
func (d *Discovery) assessOutage(now bootclock.Instant) {
	unconfirmed := now.Sub(d.prevConfirmedAt)
	d.outage = unconfirmed >= d.o.PropagationLimit && now.Sub(d.failingSince) >= minOutage
	for id, e := range d.expired {
		if d.outage && e.outage {
			e.dropAt = now.Add(d.o.ExpiredRetention)
			d.expired[id] = e
		}
	}
}

// ageOrNever returns how long ago an instant was, for the log.
func ageOrNever(at bootclock.Instant) any {
	if at == 0 {
		return "never"
	}
	return bootclock.Since(at).Round(time.Millisecond)
}

func (d *Discovery) dropInstance(id, reason string) {
	i := d.instances[id]
	d.removed[id] = removal{d.versions[id], bootclock.Now()}
	delete(d.instances, id)
	d.changedIDs[id] = true
	delete(d.versions, id)
	delete(d.expired, id)
	d.queueEvent(objstore.Event{Object: objstore.Object{Key: d.o.Prefixes.Instances + id}, Deleted: true})
	level.Info(d.logger).Log("msg", "instance gone", "id", id, "service", i.Service, "address", i.Address, "reason", reason)
}

// storeRecentlyFailed reports whether a registration that goes missing now may have expired because of
// an outage of the store, which any feed may have noticed.
func (d *Discovery) storeRecentlyFailed() bool {
	if d.failedAt == 0 {
		return false
	}
	return len(d.failingFeeds) > 0 || bootclock.Since(d.failedAt) < failureWindow || bootclock.Since(d.recoveredAt) < d.o.ExpiredRetention
}

// dropExpired removes the expired instances that did not register again in time.
func (d *Discovery) dropExpired() {
	dropped := false
	for id, e := range d.expired {
		if e.outage && d.failingFeeds[feedInstances] {
			continue // a new registration could not be seen yet
		}
		if bootclock.Now() >= e.dropAt {
			d.dropInstance(id, "expired and not registered again")
			dropped = true
		}
	}
	for id, r := range d.removed {
		if bootclock.Since(r.at) > removalRetention {
			delete(d.removed, id)
		}
	}
	if dropped {
		d.publish()
	}
}
