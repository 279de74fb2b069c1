package discovery

import (
	"bytes"
	"slices"

	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/objstore"
)

// applyRules adopts newer rules. Data from another process may be older than this process's own, so
// rules only change to a higher version. A relayed snapshot without the object does not mean that
// there are no rules, since its sender may not have received any yet; an object with an empty value
// does.
func (d *Discovery) applyRules(c feedUpdate) {
	isRules := func(e objstore.Event) bool { return objectName(e.Object.Key) == mainObject }
	if c.full && !c.relayed && !slices.ContainsFunc(c.events, isRules) {
		d.putRules(objstore.Object{Key: d.o.Prefixes.Rules + mainObject, Version: objstore.Version(c.revision)})
	}
	for _, e := range c.events {
		switch {
		case !isRules(e):
		case e.Deleted:
			d.deleteRules(e.Object)
		default:
			d.putRules(e.Object)
		}
	}
}

// deleteRules applies the deletion of the rules. The object may still have the version of its last
// change; the deletion then counts as a later version.
func (d *Discovery) deleteRules(obj objstore.Object) {
	if obj.Version < d.rulesObject.Version {
		return
	}
	d.putRules(objstore.Object{Key: obj.Key, Version: max(obj.Version, d.rulesObject.Version+1)})
}

// keepRules keeps the rules in force if the store was restored from a snapshot with rules that may be
// older: an operator was told that the current ones are in force. They stay until an operator applies
// rules again.
func (d *Discovery) keepRules(obj objstore.Object) {
	if !bytes.Equal(obj.Value, d.rulesObject.Value) {
		level.Error(d.logger).Log("msg", "rules of the restored store ignored because they may be outdated; apply the rules again", "revision", obj.Version.Number(), "era", obj.Version.Era(), "in_force", d.rulesObject.Version.Number())
	}
}

// putRules adopts rules, or their removal if the value is empty, if the version is newer. If the rules
// cannot be decoded, the last valid ones stay in force.
func (d *Discovery) putRules(obj objstore.Object) {
	if obj.Version <= d.rulesObject.Version {
		return
	}
	if d.rulesObject.Version.Era() < obj.Version.Era() && d.era.mayPredateRestore(obj.Version) {
		d.keepRules(obj)
		return
	}
	var rules *fleet.Rules
	if len(obj.Value) > 0 {
		var err error
		if rules, err = fleet.ParseRules(obj.Value); err != nil {
			level.Error(d.logger).Log("msg", "rules ignored: they cannot be decoded", "revision", obj.Version, "err", err)
			return
		}
	}
	switch {
	case rules != nil:
		level.Info(d.logger).Log("msg", "rules in force", "revision", obj.Version)
	case d.cur.Rules != nil:
		level.Info(d.logger).Log("msg", "rules removed", "revision", obj.Version)
	}
	d.cur.Rules, d.rulesObject = rules, obj
	d.queueEvent(objstore.Event{Object: obj})
}
