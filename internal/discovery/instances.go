package discovery

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/bootclock"
	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/objstore"
)

const (
	// awayRecent is how long after a failed call a registration that goes counts
	// as lapsed. It covers the pause between two calls.
	awayRecent = time.Second
	// lapseTick is how often lapsed instances are reviewed.
	lapseTick = 100 * time.Millisecond
	// goneKept is for how long it is remembered that an instance has gone, against word of
	// it that is older.
	goneKept = time.Minute
	// lapseShare is the part of the time in which a change must have reached everybody for which an
	// instance whose registration went is used at the most, from when the store confirmed it last.
	// The rest is for two hops, each some tens of ms, and the way of a request, up to 0.5 s with a
	// new connection.
	lapseShare = 0.75
	// leastAbsence is for how long calls must have failed for the store to have been away. A watch
	// that it cut and a call that failed again are behind by then.
	leastAbsence = 500 * time.Millisecond
	// toldEach is up to how many registrations of one answer get a line each in the log,
	// which takes 2,000 a second. Of 3,000 at a start it dropped what came after them.
	toldEach = 200
)

// departure is an instance that has gone.
type departure struct {
	version objstore.Version
	at      bootclock.Instant
}

// lapse is an instance whose registration went, perhaps since the store was away.
type lapse struct {
	// until is when it is dropped if it has not come back.
	until bootclock.Instant
	// absence is true if the store was away for all that is known here: the time then begins at
	// the store's return.
	absence bool
}

// applyInstances takes in registrations. A copy of another process that was behind when this
// one changed to it took engines out that had just registered, for up to a minute.
func (d *Discovery) applyInstances(c changed) {
	if c.reset {
		d.cur.InstancesKnown = true
		listed := map[string]bool{}
		for _, e := range c.events {
			listed[nameOf(e.Object.Key)] = true
		}
		for id := range d.instances {
			// What another process has may be older than a registration that is known here.
			if !listed[id] && (!c.settled || objstore.Version(c.revision) >= d.versions[id]) {
				d.removeInstance(id, c.settled)
			}
		}
	}
	d.cur.InstancesRevision = max(d.cur.InstancesRevision, c.revision)
	bulk := len(c.events) > toldEach
	news := 0
	for _, e := range c.events {
		if e.Deleted {
			d.deleteInstance(e.Object, c.settled)
			continue
		}
		if d.putInstance(e.Object, c.decoded[e.Object.Key], !bulk) {
			news++
		}
	}
	if bulk {
		level.Info(d.logger).Log("msg", "instances", "listed", len(c.events), "news", news, "revision", c.revision)
	}
}

// deleteInstance takes in that a registration was deleted. One that has come back since, with
// a newer version, stays; a deletion whose object cannot be read has no version.
func (d *Discovery) deleteInstance(obj objstore.Object, settled bool) {
	id := nameOf(obj.Key)
	if obj.Version != 0 && obj.Version < d.versions[id] {
		return
	}
	d.removeInstance(id, settled)
}

// putInstance takes in one registration, decoded if it has been already, and reports whether it is news.
func (d *Discovery) putInstance(obj objstore.Object, i *fleet.Instance, tell bool) bool {
	var err error
	if i == nil {
		i, err = d.o.DecodeInstance(obj)
	}
	if err != nil {
		level.Error(d.logger).Log("msg", "registration left out", "key", obj.Key, "revision", obj.Version, "err", err)
		d.count("registrations_rejected")
		if id := nameOf(obj.Key); d.instances[id] != nil && obj.Version > d.versions[id] {
			d.versions[id] = obj.Version
			d.drop(id, "registration cannot be read")
		}
		return false
	}
	if went, ok := d.gone[i.ID]; obj.Version < d.versions[i.ID] || ok && obj.Version <= went.version {
		return false // word that is older than what is known, from another source
	}
	if d.leftBefore(i, obj.Version) {
		level.Info(d.logger).Log("msg", "instance of the copy has left", "id", i.ID, "revision", obj.Version.Number(), "era", obj.Version.Era())
		return false
	}
	d.versions[i.ID] = obj.Version
	old := d.instances[i.ID]
	if old != nil && *old == *i {
		return false
	}
	d.instances[i.ID], d.touched[i.ID] = i, true
	d.tell(objstore.Event{Object: obj})
	delete(d.gone, i.ID)
	delete(d.lapsed, i.ID)
	if tell {
		level.Info(d.logger).Log("msg", "instance", "id", i.ID, "service", i.Service, "address", i.Address, "role", i.Role,
			"draining", i.Draining, "known", old != nil, "revision", obj.Version)
	}
	return true
}

// removeInstance takes an instance out whose registration is gone. If it went
// while the store was away it is kept for a while, since the platform then drops
// registrations of instances that still run. One that was draining goes at once, and so
// does one of which another process has settled this.
func (d *Discovery) removeInstance(id string, settled bool) {
	i := d.instances[id]
	if i == nil || i.Expired && !settled {
		return
	}
	if !settled && !i.Draining && (d.justRestored() || d.storeWasAway()) {
		d.lapse(i)
		return
	}
	reason := "registration removed"
	if settled {
		reason = "another process settled it"
	}
	d.drop(id, reason)
}

// lapse keeps an instance for a while whose registration went. Calls of this process may have
// failed while the store answered others, which take what is kept here for registered: so the time
// counts from the store's last word that it was. Counted from when it was noticed, 50 of 96 requests
// reached an instance beyond the bound, after three watchers had been cut off for 1.1 s.
func (d *Discovery) lapse(i *fleet.Instance) {
	now := bootclock.Now()
	l := lapse{until: now.Add(d.o.ExpiredRetention), absence: d.absence || d.justRestored()}
	if !l.absence {
		l.until = min(l.until, d.lapseFrom().Add(time.Duration(lapseShare*float64(d.o.PropagationLimit))))
	}
	kept := *i
	kept.Expired = true
	d.instances[i.ID], d.touched[i.ID] = &kept, true
	d.lapsed[i.ID] = l
	level.Info(d.logger).Log("msg", "instance lapsed", "id", i.ID, "service", i.Service, "address", i.Address, "kept_for", l.until.Sub(now).Round(time.Millisecond),
		"absence", l.absence, "counted_from", sinceOrNever(d.lapseFrom()), "confirmed", sinceOrNever(d.confirmedAt), "failed", sinceOrNever(d.failedAt), "back", sinceOrNever(d.backAt))
}

// lapseFrom returns from when on the time counts for which a lapsed instance is kept: the last answer of the
// store to this process, or, if there was none, what another one said.
func (d *Discovery) lapseFrom() bootclock.Instant {
	if d.listedAt != 0 {
		return d.listedAt
	}
	return d.confirmedAt
}

// returned judges an answer about the registrations after calls for them had failed. The store
// counts as away only after a loss of the whole time in which a change must have reached everybody:
// by then those that follow this process have asked the store themselves. After a loss of 2.5 s of
// 3 s some had not, and took what was kept here for registered.
func (d *Discovery) returned(now bootclock.Instant) {
	loss := now.Sub(d.confirmedAt)
	d.absence = loss >= d.o.PropagationLimit && now.Sub(d.lostAt) >= leastAbsence
	for id, l := range d.lapsed {
		if d.absence && l.absence {
			l.until = now.Add(d.o.ExpiredRetention)
			d.lapsed[id] = l
		}
	}
}

// sinceOrNever returns how long ago something was, for the log.
func sinceOrNever(at bootclock.Instant) any {
	if at == 0 {
		return "never"
	}
	return bootclock.Since(at).Round(time.Millisecond)
}

func (d *Discovery) drop(id, reason string) {
	i := d.instances[id]
	d.gone[id] = departure{d.versions[id], bootclock.Now()}
	delete(d.instances, id)
	d.touched[id] = true
	delete(d.versions, id)
	delete(d.lapsed, id)
	d.tell(objstore.Event{Object: objstore.Object{Key: d.o.Prefixes.Instances + id}, Deleted: true})
	level.Info(d.logger).Log("msg", "instance gone", "id", id, "service", i.Service, "address", i.Address, "reason", reason)
}

// storeWasAway reports whether a registration that goes now may have lapsed
// because the store was away, as far as any feed has noticed.
func (d *Discovery) storeWasAway() bool {
	if d.failedAt == 0 {
		return false
	}
	return len(d.down) > 0 || bootclock.Since(d.failedAt) < awayRecent || bootclock.Since(d.backAt) < d.o.ExpiredRetention
}

// dropLapsed removes lapsed instances that did not come back in time.
func (d *Discovery) dropLapsed() {
	dropped := false
	for id, l := range d.lapsed {
		if l.absence && d.down[feedInstances] {
			continue // it cannot come back yet
		}
		if bootclock.Now() >= l.until {
			d.drop(id, "lapsed and not back")
			dropped = true
		}
	}
	for id, went := range d.gone {
		if bootclock.Since(went.at) > goneKept {
			delete(d.gone, id)
		}
	}
	if dropped {
		d.publish()
	}
}
