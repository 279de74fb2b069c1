package discovery

import (
	"bytes"
	"slices"

	"github.com/go-kit/log/level"

	"github.com/rockdoor/rockdoor/fleet"
	"github.com/rockdoor/rockdoor/objstore"
)

// applyRules adopts newer rules. The copy of another process may be older than what is known
// here: rules only move up, and an object without a value says that there are none, since a
// copy that lacks the object may just not have heard of any.
func (d *Discovery) applyRules(c changed) {
	isRules := func(e objstore.Event) bool { return nameOf(e.Object.Key) == mainName }
	if c.reset && !c.settled && !slices.ContainsFunc(c.events, isRules) {
		d.putRules(objstore.Object{Key: d.o.Prefixes.Rules + mainName, Version: objstore.Version(c.revision)})
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

// deleteRules takes in that the rules were deleted. The object's version may still be that of
// its last change, and the deletion has a later one.
func (d *Discovery) deleteRules(obj objstore.Object) {
	if obj.Version < d.rulesObject.Version {
		return
	}
	d.putRules(objstore.Object{Key: obj.Key, Version: max(obj.Version, d.rulesObject.Version+1)})
}

// keepRules leaves the rules in force that an operator was told to be, where the store came
// back from a copy that may be older. They hold until an operator applies rules again.
func (d *Discovery) keepRules(obj objstore.Object) {
	if !bytes.Equal(obj.Value, d.rulesObject.Value) {
		level.Error(d.logger).Log("msg", "rules of the store's copy left out, apply the rules again", "revision", obj.Version.Number(), "era", obj.Version.Era(), "in_force", d.rulesObject.Version.Number())
	}
}

// putRules adopts rules, or, without a value, that there are none, if that is newer. Rules
// that cannot be read leave the last good ones in force.
func (d *Discovery) putRules(obj objstore.Object) {
	if obj.Version <= d.rulesObject.Version {
		return
	}
	if d.rulesObject.Version.Era() < obj.Version.Era() && d.era.ofCopy(obj.Version) {
		d.keepRules(obj)
		return
	}
	var rules *fleet.Rules
	if len(obj.Value) > 0 {
		var err error
		if rules, err = fleet.ParseRules(obj.Value); err != nil {
			level.Error(d.logger).Log("msg", "rules left out", "revision", obj.Version, "err", err)
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
	d.tell(objstore.Event{Object: obj})
}
