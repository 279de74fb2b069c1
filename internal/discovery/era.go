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

// era is what is known of the store's newest era: it has come back from a copy that was older than
// what it had acknowledged.
type era struct {
	number int64
	// at is when it was seen first, base the store's number of the first revision that was seen of it.
	// What has a higher number was written in this era; the rest may be of the copy.
	at   bootclock.Instant
	base int64
	// restored is true if this process had seen an earlier era.
	restored bool
}

// ofCopy reports whether an object may be as the copy has it, with which the store came back.
func (e *era) ofCopy(v objstore.Version) bool {
	return e.restored && v.Era() == e.number && v.Number() <= e.base
}

// seeEra takes in the store's era as a revision shows it. from says who told it.
func (d *Discovery) seeEra(rev objstore.Revision, from string) {
	if rev == 0 || rev.Era() <= d.era.number {
		return
	}
	known := d.cur.InstancesRevision != 0 || d.cur.Config != nil
	old := d.era.number
	d.era = era{number: rev.Era(), at: bootclock.Now(), base: rev.Number(), restored: known}
	d.cur.Era = d.era.number
	metrics.GetOrRegisterGauge("discovery.era", d.o.Metrics).Update(d.era.number)
	if known {
		d.registerAgain()
		level.Warn(d.logger).Log("msg", "store came back from an older copy", "era", d.era.number, "before", old, "revision", rev.Number(),
			"last_revision", d.cur.InstancesRevision.Number(), "instances", len(d.instances), "from", from)
	}
}

// registerSpread is over how long a time the processes of a fleet look whether they are still
// registered, after the store came back from an older copy: 295 looks are some 200 calls a
// second.
const registerSpread = 1500 * time.Millisecond

// registerAgain has this process look whether the copy has its registration.
func (d *Discovery) registerAgain() {
	time.AfterFunc(d.ownPart(registerSpread), d.o.OnStoreRestored)
}

// resetMembers begins to take in a whole list of the members. Those that were known stay a while if the
// store has just come back from an older copy: the fleet would name other schedulers, or none.
func (d *Discovery) resetMembers() {
	d.unlisted = map[string]bool{}
	if !d.justRestored() {
		d.members = map[string]members.Member{}
		return
	}
	for key := range d.members {
		d.unlisted[key] = true
	}
}

// dropUnlisted takes out the members that have not registered again in time.
func (d *Discovery) dropUnlisted() {
	if len(d.unlisted) == 0 || d.justRestored() {
		return
	}
	for key := range d.unlisted {
		delete(d.members, key)
	}
	level.Info(d.logger).Log("msg", "members not registered again", "dropped", len(d.unlisted), "registered", len(d.members))
	d.unlisted = nil
	d.cur.Processes = len(d.members)
}

// justRestored reports whether what is missing may still be written again: the platform has those that
// run write again within about two seconds of the store's return.
func (d *Discovery) justRestored() bool {
	return d.era.restored && bootclock.Since(d.era.at) < max(d.o.ExpiredRetention, registerSpread)
}

// leftBefore reports whether a registration that may be of the copy is of an instance of which this
// process knows that it has said since that it leaves, or has gone.
func (d *Discovery) leftBefore(i *fleet.Instance, v objstore.Version) bool {
	if !d.era.ofCopy(v) {
		return false
	}
	if went, gone := d.gone[i.ID]; gone {
		return went.version.Era() < v.Era()
	}
	old := d.instances[i.ID]
	return old != nil && old.Draining && !i.Draining && old.StartTime == i.StartTime && d.versions[i.ID].Era() < v.Era()
}
